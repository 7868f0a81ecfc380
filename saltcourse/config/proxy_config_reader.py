"""Reads and validates the proxy's own configuration, and fills in defaults.

The configuration is a JSON file (``--config`` or EDGE_CONFIG). EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and
EDGE_ADMIN override its values, so that several proxies can use the same file. On a reload the file is newer
than the environment, so its ``discovery`` takes precedence. Every error is a ``ConfigError`` that names the
key.
"""

from __future__ import annotations

import resource
from collections.abc import Mapping
from typing import Any

import orjson

from saltcourse.balancing.settings import Settings
from saltcourse.codec.endpoint_list import Address, EndpointUpdate, read_address, read_endpoint_update
from saltcourse.codec.errors import EndpointListError, InvalidObjectError
from saltcourse.codec.json_fields import is_finite_number
from saltcourse.config.deployment_settings import read_settings
from saltcourse.config.errors import ConfigError, InvalidValueError
from saltcourse.config.proxy_config import Config, Limits, PeerAddresses

DEFAULT_NAME = "proxy"
DEFAULT_LISTEN = "127.0.0.1:8081"
DEFAULT_SEED = "0"
DEFAULT_SOCKETS = 4096
DEFAULT_MEMORY_MB = 2048
DEFAULT_CORES = 1.0
MIN_SOCKETS = 64  # fewer would not suffice for the program's own descriptors and a single client
MIN_MEMORY_MB = 16
MIN_CORES = 0.01
EMPTY_ENDPOINT_LIST = {"version": 0, "full": True, "servers": []}


def load_config(path: str | None, environment: Mapping[str, str], reloading: bool = False) -> Config:
    """Read the file at ``path``, or the file that EDGE_CONFIG names if ``path`` is empty.

    ``reloading`` is true if the program is already running. Raises ``ConfigError``.
    """
    source = "--config" if path else "EDGE_CONFIG"  # errors name the source that the operator set
    path = path or environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("no configuration file: use --config FILE or set EDGE_CONFIG")
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        raise ConfigError(f"{source} {path}: {error.strerror}") from None
    try:
        values = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not valid JSON: {error}") from None
    return read_config(values, environment, reloading)


def read_config(values: Any, environment: Mapping[str, str], reloading: bool = False) -> Config:
    """Check and convert a configuration parsed from JSON.

    ``reloading`` is true if the program is already running. Raises ``ConfigError``.
    """
    if not isinstance(values, dict):
        raise ConfigError("the configuration must be a JSON object")
    name, listen, discovery, admin = (
        environment.get(f"EDGE_{key.upper()}") or values.get(key)
        for key in ("name", "listen", "discovery", "admin")
    )
    if reloading:
        discovery = values.get("discovery") or discovery
    settings_values = _read_object(values.get("settings"), "settings")
    settings = _read_deployment_settings(settings_values)
    known = _read_endpoint_list(values.get("known", EMPTY_ENDPOINT_LIST))
    extra = _read_object(settings_values.get("extra"), "settings.extra")
    return Config(
        name=str(name or DEFAULT_NAME),
        listen=_read_address(listen or DEFAULT_LISTEN, "listen"),
        discovery=_read_address(discovery, "discovery"),
        seed=_read_seed(values.get("seed", DEFAULT_SEED)),
        limits=_read_limits(_read_object(values.get("limits"), "limits")),
        known=known,
        settings=settings,
        measures_message_latency=bool(extra.get("tells_delay", False)),
        admin=None if admin is None else _read_address(admin, "admin"),
        peers=_read_peers(values, settings),
        listen_fd=_read_descriptor(environment.get("EDGE_LISTEN_FD")),
    )


def cap_sockets(sockets: int) -> int:
    """Return the number of sockets, capped at the limit of file descriptors of the process."""
    max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sockets if max_descriptors == resource.RLIM_INFINITY else min(sockets, max_descriptors)


def _read_deployment_settings(values: dict[str, Any]) -> Settings:
    if not values:
        raise InvalidValueError("settings", "missing")
    try:
        return read_settings(values)
    except InvalidObjectError as error:
        raise InvalidValueError("settings", str(error)) from None


def _read_endpoint_list(value: Any) -> EndpointUpdate:
    try:
        return read_endpoint_update(value)
    except EndpointListError as error:
        raise InvalidValueError("known", str(error)) from None


def _read_object(value: Any, key: str) -> dict[str, Any]:
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise InvalidValueError(key, f"must be a JSON object, not {value!r}")
    return value


def _read_address(value: Any, key: str) -> Address:
    if value is None:
        raise InvalidValueError(key, f"missing, and EDGE_{key.upper()} is not set")
    try:
        return read_address(value)
    except ValueError:
        raise InvalidValueError(key, f"must be host:port, not {value!r}") from None


def _read_seed(value: Any) -> int:
    """Parse the seed: hexadecimal digits, or a number."""
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (ValueError, TypeError, OverflowError):
        raise InvalidValueError("seed", f"must be hexadecimal digits or a number, not {value!r}") from None


def _read_limits(values: dict[str, Any]) -> Limits:
    sockets = int(_read_limit(values, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS))
    return Limits(
        cores=_read_limit(values, "cores", DEFAULT_CORES, MIN_CORES),
        memory_mb=_read_limit(values, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB),
        sockets=cap_sockets(sockets),
    )


def _read_limit(values: dict[str, Any], key: str, default: float, minimum: float) -> float:
    value = values.get(key, default)
    if not (is_finite_number(value) and value >= minimum):
        raise InvalidValueError(f"limits.{key}", f"must be a number of at least {minimum:g}, not {value!r}")
    return float(value)


def _read_peers(values: dict[str, Any], settings: Settings) -> PeerAddresses | None:
    """Return the peers' addresses; None unless the settings allow peers and ``peer_listen`` is set."""
    if not settings.peers_allowed or values.get("peer_listen") is None:
        return None
    entries = values.get("peers")
    if not isinstance(entries, list) or len(entries) != settings.proxy_count:
        raise InvalidValueError(
            "peers",
            f"must be a list of {settings.proxy_count} addresses, as many as 'settings.balancers'",
        )
    if settings.proxy_index >= settings.proxy_count:
        raise InvalidValueError(
            "settings.self_index",
            f"must be less than {settings.proxy_count} ('settings.balancers'), not {settings.proxy_index}",
        )
    addresses = tuple(_read_address(str(entry), f"peers[{i}]") for i, entry in enumerate(entries))
    if len(set(addresses)) < len(addresses):
        raise InvalidValueError("peers", "duplicate address")
    broadcast = values.get("peers_all")
    return PeerAddresses(
        listen=_read_address(values["peer_listen"], "peer_listen"),
        proxies=addresses,
        broadcast=None if broadcast is None else _read_address(broadcast, "peers_all"),
        own_index=settings.proxy_index,
    )


def _read_descriptor(value: str | None) -> int | None:
    if not value:
        return None
    if not value.isdigit():
        raise ConfigError(f"EDGE_LISTEN_FD: must be the number of a file descriptor, not {value!r}")
    return int(value)
