"""The witness command, and errors of all commands that read the operator's file."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from saltcourse.cli.main import main
from tests.config.operator_files import (
    ADDRESS_FAILOVER_SECTION,
    EXAMPLE,
    write_operator_file,
    write_proxy_config,
)


@pytest.mark.parametrize(
    "arguments, message",
    [
        (["check-config", "--operator", "none.txtpb"], "none.txtpb: No such file"),
        (["serve", "--operator", "FILE"], "'settings.limits.peers'"),
        (["witness", "--operator", "FILE"], "'a' must have witness: true"),
        (["witness"], "needs an operator's file with a section membership"),
    ],
)
def test_configuration_errors_exit_with_code_2_and_name_the_cause(
    arguments: list[str], message: str, tmp_path: Path
) -> None:
    file = write_operator_file(tmp_path)
    full = [str(file) if argument == "FILE" else argument for argument in arguments]
    if arguments[0] != "witness":
        full += ["--config", write_proxy_config(tmp_path, peers=False)]
    result = CliRunner().invoke(main, full)
    assert result.exit_code == 2 and message in result.output and "Traceback" not in result.output


def test_a_witness_reloads_keys_on_sighup_and_exits_on_sigterm(tmp_path: Path) -> None:
    """Keys are rotated member by member: the new key is put before the old one, and SIGHUP loads both.

    An invalid key file must not end the process, which keeps its previous keys.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    file = write_operator_file(
        tmp_path,
        ADDRESS_FAILOVER_SECTION.replace('me: "a"', 'me: "w"', 1).replace("[::1]:7001", f"127.0.0.1:{port}"),
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "saltcourse", "witness", "--operator", str(file)],
        stderr=subprocess.PIPE,
        text=True,
        cwd=EXAMPLE.parent.parent,
    )
    assert process.stderr is not None
    try:
        assert 'event="witness started"' in process.stderr.readline()
        (tmp_path / "key").write_text("cd" * 32 + "\n" + "ab" * 32)
        process.send_signal(signal.SIGHUP)
        assert "keys=2" in process.stderr.readline()
        (tmp_path / "key").write_text("short")
        process.send_signal(signal.SIGHUP)
        assert "operator file rejected, keeping previous settings" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
