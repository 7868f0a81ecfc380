"""Arbitrary values in any place of the configuration give a valid configuration or a typed error.

Otherwise an invalid value, such as null in a list, could pass ``check-config`` and cause a traceback at
start-up.
"""

from __future__ import annotations

import copy
import io
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from saltcourse import simulator_adapter
from saltcourse.balancing.balancer import Balancer
from saltcourse.balancing.events import EndpointsUpdated, EndpointUpdateKind
from saltcourse.codec.errors import InvalidObjectError
from saltcourse.config import ConfigError, read_config
from saltcourse.config.deployment_settings import read_settings

ROOT = Path(__file__).parents[2]
SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "self_index": 1,
    "zone": "a",
    "failure_domains": ["a", "b"],
    "discovery": "on_request",
    "classes": [
        {
            "name": "feed",
            "aim": 0.5,
            "give_up": 2.0,
            "repeat": "keyed",
            "dedup_scope": "zone",
            "window": 3.0,
            "worth": 2.0,
        },
        {"name": "bulk", "aim": 1, "give_up": 4},
    ],
    "parties": [{"name": "north", "share": 0.5}, {"name": "south", "share": 0.5}],
    "limits": {
        "send_cap": 3,
        "may_probe": True,
        "may_cancel": False,
        "peers": True,
        "parallel_tries": False,
        "retry_after": True,
        "connect_timeout": 0.2,
        "max_retry_after": 1.5,
    },
    "obligations": {
        "ask_within": 10.0,
        "drain_grace": 2.0,
        "warm_after": 9.0,
        "start_capacity": 0.3,
        "grace_to_answer": 0.01,
        "overload_factor": 2.0,
        "overload_for": 1.0,
    },
    "report": {"how": "pull", "fields": ["busy", "x0"]},
    "weights": "live",
    "step": 0.002,
    "extra": {
        "message_aim": [0.06, 0.1],
        "tenant_quota_connections": [87.0, 45],
        "groups": True,
        "tells_delay": True,
    },
    "charges": {"cross_zone": 0.1, "probe": 0.0, "moves": 0.2, "peer": 0.0},
    "over_share_worth": 0.5,
    "value_by": "work",
}
CONFIG: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:8081",
    "discovery": "127.0.0.1:8500",
    "admin": "127.0.0.1:8082",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
    "peer_listen": "127.0.0.1:9001",
    "peers": ["127.0.0.1:9000", "127.0.0.1:9001"],
    "peers_all": "127.0.0.1:9100",
    "known": {
        "version": 4,
        "full": True,
        "servers": [
            {
                "id": "p1",
                "state": "SERVING",
                "zone": "a",
                "kind": "k",
                "cell": 1,
                "weight": 1.5,
                "started_ms": 1000,
                "addr": "127.0.0.1:7000",
            },
            {"id": "p2", "state": "DRAINING", "addr": "127.0.0.1:7001"},
        ],
    },
    "settings": SETTINGS,
}
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.sampled_from(["silent", "on_request", "keyed", "x0", "127.0.0.1:1", "DELETED"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=5,
)

JsonPath = tuple[str | int, ...]


def paths(value: Any, above: JsonPath = ()) -> Iterator[JsonPath]:
    """Yield the path of each place in a value parsed from JSON, starting with the value itself."""
    yield above
    if isinstance(value, (dict, list)):
        for key, inner in value.items() if isinstance(value, dict) else enumerate(value):
            yield from paths(inner, (*above, key))


def replaced(value: Any, path: JsonPath, new: Any) -> Any:
    """Return a copy of the value with ``new`` at ``path``."""
    if not path:
        return new
    changed = copy.deepcopy(value)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = new
    return changed


def with_quotas(quotas: list[Any]) -> dict[str, Any]:
    return replaced(SETTINGS, ("extra", "tenant_quota_connections"), quotas)  # type: ignore[no-any-return]


def test_the_unmodified_configuration_is_valid() -> None:
    config = read_config(CONFIG, {})
    assert config.settings == read_settings(SETTINGS) and config.peers is not None
    assert [tenant.connection_quota for tenant in config.settings.tenants] == [87.0, 45]


@hypothesis_settings(max_examples=400, deadline=None, derandomize=True)
@given(path=st.sampled_from(list(paths(CONFIG))), new=JSON_VALUES)
def test_any_value_in_any_place_gives_a_configuration_or_the_named_error(path: JsonPath, new: Any) -> None:
    try:
        config = read_config(replaced(CONFIG, path, new), {})
    except ConfigError:
        return
    balancer = Balancer(config.settings, config.seed)
    balancer.handle(0.0, EndpointsUpdated(EndpointUpdateKind.CACHED, config.known.endpoints))


@hypothesis_settings(max_examples=400, deadline=None, derandomize=True)
@given(path=st.sampled_from(list(paths(SETTINGS))), new=JSON_VALUES)
def test_the_adapter_takes_any_value_in_any_place_or_names_the_error(path: JsonPath, new: Any) -> None:
    hello = {"msg": "hello", "node": 1, "init_seed": 5, "env": replaced(SETTINGS, path, new)}
    line = json.dumps({"at_time": 0.0, "events": [hello]}).encode()
    sink = io.BytesIO()
    code = simulator_adapter.serve([line], sink)
    assert (code, sink.getvalue()) in ((0, b'{"actions":[]}\n'), (simulator_adapter.EXIT_MALFORMED, b""))


@pytest.mark.parametrize("path", list(paths(CONFIG)))
def test_null_in_any_place_gives_a_configuration_or_a_config_error(path: JsonPath) -> None:
    try:
        config = read_config(replaced(CONFIG, path, None), {})
    except ConfigError:
        return
    Balancer(config.settings, config.seed)


@pytest.mark.parametrize(
    ("quotas", "read"),
    [
        ([None], [0.0, 0.0]),
        ([None, 3], [0.0, 3]),
        ([3], [3, 0.0]),
        ([], [0.0, 0.0]),
        ([1, 2, 9], [1, 2]),
    ],
)
def test_null_quotas_and_missing_quotas_are_0(quotas: list[Any], read: list[float]) -> None:
    """A quota of null once passed ``check-config`` and then caused a traceback at start-up."""
    settings = read_settings(with_quotas(quotas))
    assert [tenant.connection_quota for tenant in settings.tenants] == read
    Balancer(settings, 1)


@pytest.mark.parametrize(
    ("path", "new", "message"),
    [
        (("extra", "tenant_quota_connections"), [1, "7"], r"tenant_quota_connections\[1\]"),
        (("extra", "tenant_quota_connections"), [-3], r"tenant_quota_connections\[0\]"),
        (("extra", "tenant_quota_connections"), [True], r"tenant_quota_connections\[0\]"),
        (("extra", "tenant_quota_connections"), [1, 2, {}], r"tenant_quota_connections\[2\]"),
        (("extra", "tenant_quota_connections"), [float("inf")], r"tenant_quota_connections\[0\]"),
        (("extra", "tenant_quota_connections"), [10**400], r"tenant_quota_connections\[0\]"),
        (("extra", "message_aim"), [0.1, -1], r"message_aim\[1\]"),
        (("failure_domains",), ["a", None], r"failure_domains\[1\]"),
        (("report", "fields"), ["x0", []], r"fields\[1\]"),
        (("classes",), [3], r"classes\[0\]"),
        (("parties", 1), "south", r"parties\[1\]"),
    ],
)
def test_an_invalid_element_is_named_with_its_index(path: JsonPath, new: Any, message: str) -> None:
    settings = replaced(SETTINGS, path, new)
    with pytest.raises(InvalidObjectError, match=message):
        read_settings(settings)
    with pytest.raises(ConfigError, match=message):
        read_config(CONFIG | {"settings": settings}, {})
