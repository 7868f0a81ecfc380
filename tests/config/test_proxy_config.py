"""The configuration's messages and the command line, as an operator meets them."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from saltcourse.cli.main import main
from saltcourse.config import ConfigError, read_config
from tests.admin.test_server import free_port

EXAMPLE = Path(__file__).parents[2] / "example" / "config.json"


def example(**changes: Any) -> dict[str, Any]:
    values: dict[str, Any] = json.loads(EXAMPLE.read_text()) | changes
    return values


def test_the_example_is_sound_and_the_environment_overrides_it() -> None:
    config = read_config(example(), {"EDGE_LISTEN": "127.0.0.2:99", "EDGE_NAME": "n3"})
    assert (config.name, config.listen, config.discovery) == ("n3", ("127.0.0.2", 99), ("127.0.0.1", 8500))
    assert config.settings.classes[0].message_latency_objective == 0.05 and config.tells_delay


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"listen": "nowhere"}, "'listen'"),
        ({"listen": "h:70000"}, "'listen'"),
        ({"discovery": None}, "'discovery'"),
        ({"seed": "xyz"}, "'seed'"),
        ({"limits": {"sockets": 3}}, "'limits.sockets'"),
        ({"limits": {"memory_mb": "much"}}, "'limits.memory_mb'"),
        ({"limits": []}, "'limits'"),
        ({"known": {"version": 1}}, "'known'"),
        ({"settings": None}, "'settings'"),
        ({"settings": {"limits": {}}}, "'obligations'"),
        ({"settings": {"limits": {}, "obligations": {}, "classes": [3]}}, "'settings'"),
        ({"settings": {"limits": {}, "obligations": {}, "discovery": "x", "classes": []}}, "'discovery'"),
    ],
)
def test_errors_name_the_key(changes: dict[str, Any], named: str) -> None:
    with pytest.raises(ConfigError, match=named):
        read_config(example(**changes), {})


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({}, ""),
        ({"peers": None}, "'peers'"),
        ({"peers": ["h:1"]}, "'peers'"),
        ({"peers": ["h:1", "h:2", 3]}, r"'peers\[2\]'"),
        ({"peers": ["h:1", "h:2", "h:1"]}, "'peers'"),
        ({"peers_all": "h"}, "'peers_all'"),
        ({"peer_listen": "h:0"}, "'peer_listen'"),
    ],
)
def test_peers_are_read_where_proxies_may_talk_and_errors_name_the_key(
    changes: dict[str, Any], named: str
) -> None:
    values = example(peer_listen="h:9", peers=["h:1", "h:2", "h:3"], peers_all="h:8") | changes
    values["settings"] = values["settings"] | {"balancers": 3, "self_index": 1}
    assert read_config(values, {}).peers is None  # its settings say that proxies share nothing
    values["settings"]["limits"] = values["settings"]["limits"] | {"peers": True}
    if named:
        with pytest.raises(ConfigError, match=named):
            read_config(values, {})
        return
    peers = read_config(values, {}).peers
    assert peers is not None and peers.each[2] == ("h", 3) and peers.everyone == ("h", 8) and peers.own == 1
    values["settings"]["self_index"] = 3
    with pytest.raises(ConfigError, match="self_index"):
        read_config(values, {})


@pytest.mark.parametrize(
    ("balancers", "read"),
    [(0, None), (-3, None), (2.5, None), ("2", None), (True, None), (40, 40), (None, 1)],
)
def test_a_number_of_proxies_that_makes_no_sense_is_named(balancers: Any, read: int | None) -> None:
    values = example()
    values["settings"] |= {"balancers": balancers}
    if read is None:
        with pytest.raises(ConfigError, match="balancers"):
            read_config(values, {})
    else:
        assert read_config(values, {}).settings.proxy_count == read


@pytest.mark.parametrize("arguments", [["serve"], ["check-config"], []])
def test_a_wrong_configuration_ends_without_a_traceback(arguments: list[str], tmp_path: Path) -> None:
    broken = tmp_path / "config.json"
    broken.write_text("{")
    result = CliRunner().invoke(main, arguments, env={"EDGE_CONFIG": str(broken)})
    assert result.exit_code == 2 and "not JSON" in result.stderr and "Traceback" not in result.output


def test_check_config_and_version() -> None:
    runner = CliRunner()
    result = runner.invoke(main, ["check-config", "--config", str(EXAMPLE)])
    assert result.exit_code == 0 and "127.0.0.1:8081" in result.output
    assert runner.invoke(main, ["version"]).output.startswith("saltcourse ")
    assert "no configuration" in runner.invoke(main, ["serve"], env={"EDGE_CONFIG": ""}).stderr
    missing = runner.invoke(main, ["check-config", "--config", "/no/such.json"], env={"EDGE_CONFIG": "x"})
    assert missing.exit_code == 2 and "--config /no/such.json" in missing.stderr


@pytest.mark.parametrize(
    ("environment", "named", "code"),
    [
        ({"EDGE_ADMIN": "nowhere"}, "'admin': must be host:port", 2),
        ({"EDGE_LISTEN_FD": "three"}, "EDGE_LISTEN_FD: must be a descriptor's number", 2),
        ({"EDGE_LISTEN_FD": "987"}, "'EDGE_LISTEN_FD': cannot listen on descriptor 987", 3),
        ({"EDGE_ADMIN": "TAKEN"}, "'admin': cannot listen on 127.0.0.1:", 3),
    ],
)
def test_a_second_address_or_descriptor_that_cannot_be_had_is_named(
    environment: dict[str, str], named: str, code: int, tmp_path: Path
) -> None:
    taken = socket.create_server(("127.0.0.1", 0))
    values = example(listen=f"127.0.0.1:{free_port()}")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(values))
    where = f"127.0.0.1:{taken.getsockname()[1]}"
    told = {key: value.replace("TAKEN", where) for key, value in environment.items()}
    ran = subprocess.run(
        [sys.executable, "-m", "saltcourse", "serve", "--config", str(path)],
        capture_output=True,
        env=os.environ | told,
        timeout=20,
        cwd=EXAMPLE.parent.parent,
    )
    taken.close()
    assert ran.returncode == code and named in ran.stderr.decode() and b"Traceback" not in ran.stderr
