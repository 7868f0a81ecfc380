"""Discovery's list, in JSON, as the module's members and as addresses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from saltcourse.balancing.events import BackendState, Endpoint

STATES = {
    "SERVING": BackendState.READY,
    "DRAINING": BackendState.DRAINING,
    "DELETED": BackendState.REMOVED,
}
Address = tuple[str, int]


class BadList(Exception):
    """The list is not what discovery promises; the text names what is wrong."""


@dataclass(frozen=True, slots=True)
class Listing:
    """A whole list or the changes to one. ``addresses`` hold for this proxy alone."""

    version: int
    full: bool
    members: tuple[Endpoint, ...]
    addresses: dict[str, Address]


def read_address(value: object) -> Address:
    """``host:port``; raises ValueError."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536):
        raise ValueError("not host:port")
    return host.strip("[]"), int(port)


def _value(entry: dict[str, Any], key: str, kind: type | tuple[type, ...], default: Any) -> Any:
    value = entry.get(key, default)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise BadList(f"servers: '{key}' is missing or of the wrong type")
    return value


def read_list(value: object) -> Listing:
    """A list as parsed from JSON, checked."""
    if not isinstance(value, dict):
        raise BadList("not an object")
    version, full, entries = value.get("version"), value.get("full"), value.get("servers")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise BadList("'version' is not a whole number")
    if not isinstance(full, bool) or not isinstance(entries, list):
        raise BadList("'full' or 'servers' is missing or of the wrong type")
    members, addresses = [], {}
    for entry in entries:
        if not isinstance(entry, dict):
            raise BadList("servers: an entry that is not an object")
        name, state = _value(entry, "id", str, None), STATES.get(str(entry.get("state")))
        if state is None:
            raise BadList("servers: 'state' is missing or unknown")
        members.append(
            Endpoint(
                name,
                state,
                _value(entry, "zone", str, ""),
                _value(entry, "kind", str, ""),
                _value(entry, "cell", int, 0),
                float(_value(entry, "weight", (int, float), 1.0)),
                _value(entry, "started_ms", (int, float), 0) / 1000,
            )
        )
        if "addr" in entry or state is not BackendState.REMOVED:
            try:
                addresses[name] = read_address(entry.get("addr"))
            except ValueError:
                raise BadList("servers: 'addr' is not host:port") from None
    return Listing(version, full, tuple(members), addresses)


def parse_list(body: bytes | bytearray) -> Listing:
    try:
        return read_list(orjson.loads(body))
    except orjson.JSONDecodeError as wrong:
        raise BadList(f"not JSON: {wrong}") from None
