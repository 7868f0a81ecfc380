"""The proxy's own file: values that are read from it, and errors that name the key."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from saltcourse.config import ConfigError, read_config

EXAMPLE = Path(__file__).parents[2] / "example" / "config.json"


def example(**changes: Any) -> dict[str, Any]:
    values: dict[str, Any] = json.loads(EXAMPLE.read_text()) | changes
    return values


def test_the_example_is_valid_and_the_environment_overrides_it() -> None:
    config = read_config(example(), {"EDGE_LISTEN": "127.0.0.2:99", "EDGE_NAME": "n3"})
    assert (config.name, config.listen, config.discovery) == ("n3", ("127.0.0.2", 99), ("127.0.0.1", 8500))
    assert config.settings.classes[0].message_latency_objective == 0.05 and config.measures_message_latency


@pytest.mark.parametrize(
    ("changes", "message"),
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
def test_errors_name_the_key(changes: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        read_config(example(**changes), {})


@pytest.mark.parametrize(
    ("changes", "message"),
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
def test_peers_are_read_if_the_deployment_allows_them_and_errors_name_the_key(
    changes: dict[str, Any], message: str
) -> None:
    values = example(peer_listen="h:9", peers=["h:1", "h:2", "h:3"], peers_all="h:8") | changes
    values["settings"] = values["settings"] | {"balancers": 3, "self_index": 1}
    assert read_config(values, {}).peers is None  # the settings forbid traffic between proxies
    values["settings"]["limits"] = values["settings"]["limits"] | {"peers": True}
    if message:
        with pytest.raises(ConfigError, match=message):
            read_config(values, {})
        return
    peers = read_config(values, {}).peers
    assert (
        peers is not None
        and peers.proxies[2] == ("h", 3)
        and peers.broadcast == ("h", 8)
        and peers.own_index == 1
    )
    values["settings"]["self_index"] = 3
    with pytest.raises(ConfigError, match="self_index"):
        read_config(values, {})


@pytest.mark.parametrize(
    ("balancers", "read"),
    [(0, None), (-3, None), (2.5, None), ("2", None), (True, None), (40, 40), (None, 1)],
)
def test_an_invalid_number_of_proxies_is_named(balancers: Any, read: int | None) -> None:
    values = example()
    values["settings"] |= {"balancers": balancers}
    if read is None:
        with pytest.raises(ConfigError, match="balancers"):
            read_config(values, {})
    else:
        assert read_config(values, {}).settings.proxy_count == read
