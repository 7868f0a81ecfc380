"""The commands of the proxy from an operator's view."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from saltcourse.cli.main import main
from tests.config.operator_files import EXAMPLE, write_operator_file, write_proxy_config
from tests.config.test_deployment_settings import CONFIG, with_quotas
from tests.free_ports import free_port


@pytest.mark.parametrize("arguments", [["serve"], ["check-config"], []])
def test_invalid_json_exits_without_a_traceback(arguments: list[str], tmp_path: Path) -> None:
    invalid = tmp_path / "config.json"
    invalid.write_text("{")
    result = CliRunner().invoke(main, arguments, env={"EDGE_CONFIG": str(invalid)})
    assert result.exit_code == 2 and "not valid JSON" in result.stderr and "Traceback" not in result.output


def test_check_config_and_version() -> None:
    runner = CliRunner()
    result = runner.invoke(main, ["check-config", "--config", str(EXAMPLE)])
    assert result.exit_code == 0 and "127.0.0.1:8081" in result.output
    assert runner.invoke(main, ["version"]).output.startswith("saltcourse ")
    assert "no configuration file" in runner.invoke(main, ["serve"], env={"EDGE_CONFIG": ""}).stderr
    missing = runner.invoke(main, ["check-config", "--config", "/no/such.json"], env={"EDGE_CONFIG": "x"})
    assert missing.exit_code == 2 and "--config /no/such.json" in missing.stderr


@pytest.mark.parametrize(
    ("environment", "message", "code"),
    [
        ({"EDGE_ADMIN": "nowhere"}, "'admin': must be host:port", 2),
        ({"EDGE_LISTEN_FD": "three"}, "EDGE_LISTEN_FD: must be the number of a file descriptor", 2),
        ({"EDGE_LISTEN_FD": "987"}, "'EDGE_LISTEN_FD': cannot listen on descriptor 987", 3),
        ({"EDGE_ADMIN": "IN_USE"}, "'admin': cannot listen on 127.0.0.1:", 3),
    ],
)
def test_an_unusable_address_or_descriptor_is_named(
    environment: dict[str, str], message: str, code: int, tmp_path: Path
) -> None:
    used = socket.create_server(("127.0.0.1", 0))
    values = json.loads(EXAMPLE.read_text()) | {"listen": f"127.0.0.1:{free_port()}"}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(values))
    used_address = f"127.0.0.1:{used.getsockname()[1]}"
    variables = {key: value.replace("IN_USE", used_address) for key, value in environment.items()}
    process = subprocess.run(
        [sys.executable, "-m", "saltcourse", "serve", "--config", str(path)],
        capture_output=True,
        env=os.environ | variables,
        timeout=20,
        cwd=EXAMPLE.parent.parent,
    )
    used.close()
    assert (
        process.returncode == code
        and message in process.stderr.decode()
        and b"Traceback" not in process.stderr
    )


@pytest.mark.parametrize("command", ["check-config", "serve"])
def test_an_invalid_quota_exits_with_code_2_and_no_traceback(command: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG | {"settings": with_quotas(["many"])}))
    process = subprocess.run(
        [sys.executable, "-m", "saltcourse", command, "--config", str(path)],
        capture_output=True,
        env=os.environ,
        timeout=20,
        cwd=EXAMPLE.parent.parent,
    )
    assert process.returncode == 2 and "tenant_quota_connections[0]" in process.stderr.decode()
    assert b"Traceback" not in process.stderr


def test_check_config_summarizes_address_failover(tmp_path: Path) -> None:
    result = CliRunner().invoke(
        main,
        [
            "check-config",
            "--config",
            write_proxy_config(tmp_path, peers=True),
            "--operator",
            str(write_operator_file(tmp_path)),
        ],
    )
    assert (
        result.exit_code == 0
        and "membership: a of 3 members" in result.output
        and "memory only" in result.output
    )
