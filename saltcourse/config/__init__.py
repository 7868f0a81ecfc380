"""The one place where the program's configuration is read, checked and given its defaults.

A file of JSON (``--config`` or EDGE_CONFIG) tells all; EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and
EDGE_ADMIN override it, so that one file can serve several proxies. When the file is read again, in a running
program, it is newer than the environment and its ``discovery`` wins. Whatever is wrong raises
``ConfigError``, which names the key.
"""

from __future__ import annotations

import resource
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from saltcourse.balancing.settings import Settings
from saltcourse.codec.endpoint_list import Address, EndpointUpdate, read_address, read_endpoint_update
from saltcourse.codec.errors import EndpointListError
from saltcourse.codec.json_fields import Malformed, is_finite_number
from saltcourse.config.deployment_settings import read_settings

DEFAULT_LISTEN = "127.0.0.1:8081"
DEFAULT_SOCKETS, DEFAULT_MEMORY_MB, DEFAULT_CORES = 4096, 2048, 1.0
NEED_RESTART = ("name", "listen", "admin", "seed", "settings", "peers")  # keys that a reload leaves alone
FEWEST_SOCKETS = 64  # under this not even one client could be served beside what the program holds


class ConfigError(Exception):
    """The configuration cannot be used; the text names the key at fault."""


@dataclass(frozen=True, slots=True)
class Limits:
    cores: float
    memory_mb: float
    sockets: int


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Where proxies of the same tier reach each other; ``each`` in the order of ``self_index``."""

    listen: Address
    each: tuple[Address, ...]
    everyone: Address | None  # what is sent there reaches all of them
    own: int


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    known: EndpointUpdate
    settings: Settings
    tells_delay: bool
    admin: Address | None = None  # the operators' address; none, and nobody can call
    peers: PeerAddresses | None = None  # none: this proxy talks to no other
    listen_fd: int | None = None  # a listening socket given by the platform, instead of binding ``listen``


def _object(value: Any, key: str) -> dict[str, Any]:
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise ConfigError(f"'{key}': must be an object")
    return value


def _address(value: Any, key: str) -> Address:
    if value is None:
        raise ConfigError(f"'{key}': missing, and EDGE_{key.upper()} is not set")
    try:
        return read_address(value)
    except ValueError:
        raise ConfigError(f"'{key}': must be host:port, not {value!r}") from None


def _number(values: dict[str, Any], key: str, default: float, least: float) -> float:
    value = values.get(key, default)
    if not (is_finite_number(value) and value >= least):
        raise ConfigError(f"'limits.{key}': must be a number of at least {least:g}, not {value!r}")
    return float(value)


def allowed_sockets(wanted: int) -> int:
    """At most as many as the process may hold."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return wanted if allowed == resource.RLIM_INFINITY else min(wanted, allowed)


def _limits(values: dict[str, Any]) -> Limits:
    sockets = int(_number(values, "sockets", DEFAULT_SOCKETS, FEWEST_SOCKETS))
    return Limits(
        _number(values, "cores", DEFAULT_CORES, 0.01),
        _number(values, "memory_mb", DEFAULT_MEMORY_MB, 16),
        allowed_sockets(sockets),
    )


def _seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (ValueError, TypeError, OverflowError):
        raise ConfigError(f"'seed': must be hexadecimal digits, not {value!r}") from None


def read_config(values: Any, environment: Mapping[str, str], again: bool = False) -> Config:
    """Check a configuration as parsed from JSON; ``again`` when the program runs already."""
    if not isinstance(values, dict):
        raise ConfigError("the configuration must be a JSON object")
    told = {
        key: environment.get(f"EDGE_{key.upper()}") or values.get(key)
        for key in ("name", "listen", "discovery", "admin")
    }
    if again:
        told["discovery"] = values.get("discovery") or told["discovery"]
    settings = _object(values.get("settings"), "settings")
    if not settings:
        raise ConfigError("'settings': missing")
    try:
        read = read_settings(settings)
    except Malformed as wrong:
        raise ConfigError(f"'settings': {wrong}") from None
    try:
        known = read_endpoint_update(values.get("known", {"version": 0, "full": True, "servers": []}))
    except EndpointListError as wrong:
        raise ConfigError(f"'known': {wrong}") from None
    extra = _object(settings.get("extra"), "settings.extra")
    return Config(
        name=str(told["name"] or "proxy"),
        listen=_address(told["listen"] or DEFAULT_LISTEN, "listen"),
        discovery=_address(told["discovery"], "discovery"),
        seed=_seed(values.get("seed", "0")),
        limits=_limits(_object(values.get("limits"), "limits")),
        known=known,
        settings=read,
        tells_delay=bool(extra.get("tells_delay", False)),
        admin=None if told["admin"] is None else _address(told["admin"], "admin"),
        peers=_peers(values, read),
        listen_fd=_descriptor(environment.get("EDGE_LISTEN_FD")),
    )


def _peers(values: dict[str, Any], settings: Settings) -> PeerAddresses | None:
    """The addresses, where the settings allow proxies to talk and ``peer_listen`` says where to hear them."""
    if not settings.peers_allowed or values.get("peer_listen") is None:
        return None
    each = values.get("peers")
    if not isinstance(each, list) or len(each) != settings.proxy_count:
        raise ConfigError(
            f"'peers': must be a list of {settings.proxy_count} addresses, "
            "one for each of 'settings.balancers'"
        )
    if settings.proxy_index >= settings.proxy_count:
        raise ConfigError(
            f"'settings.self_index': must be under {settings.proxy_count}, 'settings.balancers'"
        )
    found = tuple(_address(str(value), f"peers[{i}]") for i, value in enumerate(each))
    if len(set(found)) < len(found):
        raise ConfigError("'peers': an address stands twice")
    everyone = values.get("peers_all")
    return PeerAddresses(
        _address(values["peer_listen"], "peer_listen"),
        found,
        None if everyone is None else _address(everyone, "peers_all"),
        settings.proxy_index,
    )


def _descriptor(value: str | None) -> int | None:
    """EDGE_LISTEN_FD: the number of an inherited listening socket, used instead of binding ``listen``."""
    if not value:
        return None
    if not value.isdigit():
        raise ConfigError(f"EDGE_LISTEN_FD: must be a descriptor's number, not {value!r}")
    return int(value)


def load_config(path: str | None, environment: Mapping[str, str], again: bool = False) -> Config:
    """The configuration from the file at ``path``, or else from the one that EDGE_CONFIG names."""
    named = "--config" if path else "EDGE_CONFIG"  # the error names what the operator gave
    path = path or environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("no configuration: give --config FILE or set EDGE_CONFIG")
    try:
        text = Path(path).read_bytes()
    except OSError as wrong:
        raise ConfigError(f"{named} {path}: {wrong.strerror}") from None
    try:
        values = orjson.loads(text)
    except orjson.JSONDecodeError as wrong:
        raise ConfigError(f"{path}: not JSON: {wrong}") from None
    return read_config(values, environment, again)
