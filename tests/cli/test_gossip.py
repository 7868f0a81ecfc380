"""Commands with gossip from an operator's view: exit codes and error messages."""

from __future__ import annotations

import re
import socket
from pathlib import Path

import pytest
from click.testing import CliRunner

from saltcourse.cli.main import main
from saltcourse.gossip.errors import StoreError
from saltcourse.gossip.messages import ReplicaState
from saltcourse.gossip.store import ReplicaStore
from tests.cli.gossip_commands import PROXY_SECTION, on_loopback, run_command, write_config
from tests.config.operator_files import GOSSIP_SECTION, write_operator_file
from tests.free_ports import free_port


@pytest.mark.parametrize(
    "text, peers, arguments, message",
    [
        (PROXY_SECTION, False, ["serve"], "gossip: .*'settings.limits.peers'"),
        (PROXY_SECTION, False, ["check-config"], "gossip: .*'settings.limits.peers'"),
        (GOSSIP_SECTION, True, ["serve"], "gossip.role: must be PROXY for a proxy"),
        (PROXY_SECTION, True, ["control"], "gossip.role: must be CONTROL for a control member"),
        ("fleet {}", True, ["control"], "a control member needs an operator's file with a section gossip"),
        (
            GOSSIP_SECTION.replace("n1", "z" * 17),
            True,
            ["control"],
            r"txtpb:5: gossip.zone: must be 1 to 16 bytes",
        ),
    ],
)
def test_configuration_errors_exit_with_code_2_and_one_line(
    text: str, peers: bool, arguments: list[str], message: str, tmp_path: Path
) -> None:
    full = [*arguments, "--operator", str(write_operator_file(tmp_path, text))]
    if arguments[0] != "control":
        full += ["--config", str(write_config(tmp_path, peers))]
    result = CliRunner().invoke(main, full)
    assert result.exit_code == 2 and "Traceback" not in result.output
    assert len(result.output.splitlines()) == 1 and re.search(message, result.output)


def test_check_config_summarizes_gossip(tmp_path: Path) -> None:
    result = CliRunner().invoke(
        main,
        [
            "check-config",
            "--config",
            str(write_config(tmp_path)),
            "--operator",
            str(write_operator_file(tmp_path, PROXY_SECTION)),
        ],
    )
    assert result.exit_code == 0
    assert "gossip: p in zone n1 of north, listens on 0.0.0.0:7500, 1 seeds, 3 voters" in result.output


@pytest.mark.parametrize(
    "arguments, message",
    [
        ([], "--admin"),
        (["--admin", "127.0.0.1"], "must be HOST:PORT"),
        (["--admin", "127.0.0.1:1"], "nothing to publish"),
        (["--admin", "127.0.0.1:1", "novalue"], "must be KEY=VALUE"),
        (["--admin", "127.0.0.1:1", "=v"], "must be KEY=VALUE"),
        (["--admin", "127.0.0.1:1", "k=v", "--delete", "k"], "duplicate key 'k'"),
    ],
)
def test_publish_exits_with_code_2_on_usage_errors(arguments: list[str], message: str) -> None:
    result = CliRunner().invoke(main, ["publish", *arguments])
    assert result.exit_code == 2 and message in result.output


def test_an_address_in_use_exits_with_code_3(tmp_path: Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as used:
        used.bind(("127.0.0.1", 0))
        port = used.getsockname()[1]
        control = run_command(
            "control", "--operator", str(write_operator_file(tmp_path, on_loopback(GOSSIP_SECTION, port)))
        )
        serve = run_command(
            "serve",
            "--config",
            str(write_config(tmp_path)),
            "--operator",
            str(write_operator_file(tmp_path, on_loopback(PROXY_SECTION, port))),
        )
    with socket.socket() as used:
        used.bind(("127.0.0.1", 0))
        used.listen()
        admin = "{}:{}".format(*used.getsockname())
        file = write_operator_file(tmp_path, on_loopback(GOSSIP_SECTION, free_port()))
        control_admin = run_command("control", "--operator", str(file), "--admin", admin)
    for process, key in (
        (control, "'gossip.listen'"),
        (serve, "'gossip.listen'"),
        (control_admin, "'--admin'"),
    ):
        assert process.returncode == 3, process.stderr
        assert f"{key}: cannot listen on 127.0.0.1:" in process.stderr
        assert "Address already in use" in process.stderr and "Traceback" not in process.stderr


def test_a_corrupt_store_exits_with_code_2(tmp_path: Path) -> None:
    (tmp_path / "c0.store").write_text("not a database" * 1_000)
    process = run_command(
        "control", "--operator", str(write_operator_file(tmp_path, on_loopback(GOSSIP_SECTION, free_port())))
    )
    assert process.returncode == 2 and "gossip.store_file: " in process.stderr
    assert "c0.store" in process.stderr and "Traceback" not in process.stderr


def test_a_voter_that_can_not_store_its_state_exits_with_code_1(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail_to_save(store: ReplicaStore, state: ReplicaState) -> None:
        raise StoreError("c0.store: database or disk is full")

    monkeypatch.setattr(ReplicaStore, "save", fail_to_save)
    text = re.sub(r"  voter .*c[12].*\n", "", on_loopback(GOSSIP_SECTION, free_port()))
    text = text.replace("probe_interval_s: 2", "heartbeat_interval_s: 0.1 takeover_after_s: 0.2")
    result = CliRunner().invoke(main, ["control", "--operator", str(write_operator_file(tmp_path, text))])
    assert result.exit_code == 1
    assert "gossip.store_file: c0.store: database or disk is full" in result.output
