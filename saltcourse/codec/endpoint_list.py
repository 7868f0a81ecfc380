"""Converts discovery's endpoint list from JSON to the balancer's endpoints and their addresses.

Discovery's servers are called backends in the code: ``servers`` holds the endpoints, ``full`` is true for a
snapshot and false for a delta, and the states SERVING, DRAINING and DELETED map to ``BackendState``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from saltcourse.balancing.events import BackendState, Endpoint
from saltcourse.codec.errors import AddressError, EndpointListError

STATES = {
    "SERVING": BackendState.READY,
    "DRAINING": BackendState.DRAINING,
    "DELETED": BackendState.REMOVED,
}
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A snapshot of the endpoint list, or a delta to the previous version.

    ``addresses`` maps the name of a backend to the address at which this proxy reaches it.
    """

    version: int
    is_snapshot: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[str, Address]


def read_address(value: object) -> Address:
    """Parse ``host:port``. Raises ``AddressError``, which is a ``ValueError``."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536):
        raise AddressError("must be host:port")
    return host.strip("[]"), int(port)


def read_endpoint_update(value: object) -> EndpointUpdate:
    """Check and convert an update parsed from JSON. Raises ``EndpointListError``."""
    if not isinstance(value, dict):
        raise EndpointListError("endpoint list must be a JSON object")
    version, is_snapshot, entries = value.get("version"), value.get("full"), value.get("servers")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise EndpointListError("'version' must be an integer of 0 or more")
    if not isinstance(is_snapshot, bool) or not isinstance(entries, list):
        raise EndpointListError("'full' must be true or false, and 'servers' a list")
    endpoints, addresses = [], {}
    for entry in entries:
        endpoint = _read_endpoint(entry)
        endpoints.append(endpoint)
        if "addr" in entry or endpoint.state is not BackendState.REMOVED:
            addresses[endpoint.backend] = _read_endpoint_address(entry)
    return EndpointUpdate(version, is_snapshot, tuple(endpoints), addresses)


def decode_endpoint_update(body: bytes | bytearray) -> EndpointUpdate:
    """Decode the body of discovery's response. Raises ``EndpointListError``."""
    try:
        return read_endpoint_update(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise EndpointListError(f"endpoint list is not valid JSON: {error}") from None


def _read_endpoint(entry: object) -> Endpoint:
    if not isinstance(entry, dict):
        raise EndpointListError("servers: each entry must be an object")
    backend = _field(entry, "id", str, None)
    state = STATES.get(str(entry.get("state")))
    if state is None:
        raise EndpointListError("servers: 'state' must be one of " + ", ".join(STATES))
    return Endpoint(
        backend=backend,
        state=state,
        zone=_field(entry, "zone", str, ""),
        machine_type=_field(entry, "kind", str, ""),
        cell=_field(entry, "cell", int, 0),
        weight=float(_field(entry, "weight", (int, float), 1.0)),
        started=_field(entry, "started_ms", (int, float), 0) / 1000,
    )


def _read_endpoint_address(entry: dict[str, Any]) -> Address:
    try:
        return read_address(entry.get("addr"))
    except AddressError:
        raise EndpointListError("servers: 'addr' must be host:port") from None


def _field(entry: dict[str, Any], key: str, kind: type | tuple[type, ...], default: Any) -> Any:
    value = entry.get(key, default)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise EndpointListError(f"servers: '{key}' is missing or has the wrong type")
    return value
