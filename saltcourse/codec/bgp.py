"""BGP-4 messages (RFC 4271), as far as a speaker needs that announces host routes and learns none.

Pure functions and one small buffer. Any bytes give a message or a ``BgpError``, whose code and subcode are
those of the NOTIFICATION that answers it (RFC 4271, section 4.5). Also here: capabilities (RFC 5492),
four-octet AS numbers (RFC 6793), IPv6 routes (RFC 4760), the text of a shutdown (RFC 9003).
"""

from __future__ import annotations

import ipaddress
import struct
from dataclasses import dataclass, field

MARKER = b"\xff" * 16
HEAD, LONGEST = 19, 4096  # bytes
VERSION = 4
OPEN, UPDATE, NOTIFICATION, KEEPALIVE = 1, 2, 3, 4
AS_TRANS = 23456  # stands in the two-octet field for a larger AS number
CAP_MULTIPROTOCOL, CAP_AS4 = 1, 65
AFI_IPV4, AFI_IPV6, SAFI_UNICAST = 1, 2, 1
ORIGIN, AS_PATH, NEXT_HOP, MED, LOCAL_PREF, MP_REACH, MP_UNREACH = 1, 2, 3, 4, 5, 14, 15
OPTIONAL, TRANSITIVE, EXTENDED = 0x80, 0x40, 0x10
AS_SEQUENCE = 2
LARGEST_U32 = 2**32 - 1

# NOTIFICATION codes and the subcodes used
HEADER_ERROR, OPEN_ERROR, UPDATE_ERROR, HOLD_EXPIRED, FSM_ERROR, CEASE = 1, 2, 3, 4, 5, 6
NOT_SYNCHRONISED, BAD_LENGTH, BAD_TYPE = 1, 2, 3
BAD_VERSION, BAD_PEER_AS, BAD_IDENTIFIER, BAD_PARAMETER, BAD_HOLD_TIME = 1, 2, 3, 4, 6
MALFORMED_ATTRIBUTES, ATTRIBUTE_LENGTH, BAD_NETWORK = 1, 5, 10
SHUTDOWN, PEER_GONE = 2, 3

Address = ipaddress.IPv4Address | ipaddress.IPv6Address


class BgpError(Exception):
    """What a peer sent can't be; the NOTIFICATION to answer with."""

    def __init__(self, code: int, subcode: int, text: str, data: bytes = b"") -> None:
        super().__init__(text)
        self.code, self.subcode, self.data = code, subcode, data


@dataclass(frozen=True, slots=True)
class Open:
    """``hold`` in seconds, 0 for never; ``families`` are (AFI, SAFI) pairs."""

    asn: int
    hold: int
    identifier: ipaddress.IPv4Address
    families: frozenset[tuple[int, int]] = frozenset()
    as4: bool = True


@dataclass(frozen=True, slots=True)
class Keepalive:
    pass


@dataclass(frozen=True, slots=True)
class Notification:
    code: int
    subcode: int
    data: bytes = b""

    def text(self) -> str:
        """For people; RFC 9003 has the peer say why it shuts down."""
        said = ""
        if self.code == CEASE and self.subcode in (SHUTDOWN, 4) and self.data:
            said = f" ({self.data[1 : 1 + self.data[0]].decode(errors='replace')})"
        return f"NOTIFICATION {self.code}/{self.subcode}{said}"


@dataclass(frozen=True, slots=True)
class Route:
    """A host route. ``local_pref`` counts within an AS (higher is better), ``med`` between two (lower is)."""

    address: Address
    next_hop: Address
    as_path: tuple[int, ...] = ()
    local_pref: int | None = None
    med: int | None = None


@dataclass(frozen=True, slots=True)
class Update:
    """Routes announced and addresses withdrawn; prefixes that are no host routes are ``others``."""

    announced: tuple[Route, ...] = ()
    withdrawn: tuple[Address, ...] = ()
    others: int = 0


Message = Open | Update | Notification | Keepalive


# ---- writing --------------------------------------------------------------------------------------


def _framed(kind: int, body: bytes) -> bytes:
    return MARKER + struct.pack("!HB", HEAD + len(body), kind) + body


def keepalive() -> bytes:
    return _framed(KEEPALIVE, b"")


def notification(code: int, subcode: int, data: bytes = b"") -> bytes:
    return _framed(NOTIFICATION, bytes((code, subcode)) + data[: LONGEST - HEAD - 2])


def shutdown(text: str) -> bytes:
    said = text.encode()[:128]
    return notification(CEASE, SHUTDOWN, bytes((len(said),)) + said)


def open_message(told: Open) -> bytes:
    caps = b"".join(
        struct.pack("!BBHBB", CAP_MULTIPROTOCOL, 4, afi, 0, safi) for afi, safi in sorted(told.families)
    )
    if told.as4:
        caps += struct.pack("!BBI", CAP_AS4, 4, told.asn)
    parameter = struct.pack("!BB", 2, len(caps)) + caps if caps else b""
    two = told.asn if told.asn < 2**16 else AS_TRANS
    fixed = struct.pack("!BHH4sB", VERSION, two, told.hold, told.identifier.packed, len(parameter))
    return _framed(OPEN, fixed + parameter)


def _attribute(flags: int, kind: int, value: bytes) -> bytes:
    if len(value) > 255:
        return struct.pack("!BBH", flags | EXTENDED, kind, len(value)) + value
    return struct.pack("!BBB", flags, kind, len(value)) + value


def _prefix(address: Address) -> bytes:
    return bytes((address.max_prefixlen,)) + address.packed


def announce(route: Route, as4: bool = True) -> bytes:
    """An UPDATE with one host route; ``as4`` as both sides' OPENs agreed."""
    path = b""
    if route.as_path:
        numbers = [n if as4 or n < 2**16 else AS_TRANS for n in route.as_path]
        path = struct.pack("!BB", AS_SEQUENCE, len(numbers))
        path += struct.pack(f"!{len(numbers)}{'I' if as4 else 'H'}", *numbers)
    attributes = _attribute(TRANSITIVE, ORIGIN, b"\0") + _attribute(TRANSITIVE, AS_PATH, path)
    four = route.address.version == 4
    if four:
        attributes += _attribute(TRANSITIVE, NEXT_HOP, route.next_hop.packed)
    if route.med is not None:
        attributes += _attribute(OPTIONAL, MED, struct.pack("!I", route.med))
    if route.local_pref is not None:
        attributes += _attribute(TRANSITIVE, LOCAL_PREF, struct.pack("!I", route.local_pref))
    if not four:
        reach = struct.pack("!HBB", AFI_IPV6, SAFI_UNICAST, 16) + route.next_hop.packed + b"\0"
        attributes += _attribute(OPTIONAL, MP_REACH, reach + _prefix(route.address))
    body = struct.pack("!HH", 0, len(attributes)) + attributes
    return _framed(UPDATE, body + (_prefix(route.address) if four else b""))


def withdraw(address: Address) -> bytes:
    if address.version == 4:
        prefix = _prefix(address)
        return _framed(UPDATE, struct.pack("!H", len(prefix)) + prefix + struct.pack("!H", 0))
    gone = _attribute(OPTIONAL, MP_UNREACH, struct.pack("!HB", AFI_IPV6, SAFI_UNICAST) + _prefix(address))
    return _framed(UPDATE, struct.pack("!HH", 0, len(gone)) + gone)


# ---- reading --------------------------------------------------------------------------------------


@dataclass(slots=True)
class Buffer:
    """Cuts a stream into messages; holds one message at most."""

    _bytes: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> None:
        self._bytes += data

    def next(self) -> tuple[int, bytes] | None:
        """Type and body of the next whole message."""
        if len(self._bytes) < HEAD:
            if not MARKER.startswith(bytes(self._bytes[:16])):
                raise BgpError(HEADER_ERROR, NOT_SYNCHRONISED, "no marker")
            return None
        if self._bytes[:16] != MARKER:
            raise BgpError(HEADER_ERROR, NOT_SYNCHRONISED, "no marker")
        length, kind = struct.unpack_from("!HB", self._bytes, 16)
        least = {OPEN: 29, UPDATE: 23, NOTIFICATION: 21, KEEPALIVE: 19}.get(kind)
        if least is None:
            raise BgpError(HEADER_ERROR, BAD_TYPE, f"a message of type {kind}", bytes((kind,)))
        if not least <= length <= LONGEST or (kind == KEEPALIVE and length != HEAD):
            raise BgpError(HEADER_ERROR, BAD_LENGTH, f"{length} bytes long", struct.pack("!H", length))
        if len(self._bytes) < length:
            return None
        body = bytes(self._bytes[HEAD:length])
        del self._bytes[:length]
        return kind, body


def read(kind: int, body: bytes, as4: bool = True) -> Message:
    """``as4``: whether both sides' OPENs said so."""
    if kind == OPEN:
        return _read_open(body)
    if kind == NOTIFICATION:
        return Notification(body[0], body[1], body[2:])
    if kind == KEEPALIVE:
        return Keepalive()
    return _read_update(body, as4)


def _read_open(body: bytes) -> Open:
    version, asn, hold, identifier, length = struct.unpack_from("!BHH4sB", body)
    if version != VERSION:
        raise BgpError(OPEN_ERROR, BAD_VERSION, f"version {version}", struct.pack("!H", VERSION))
    if hold in (1, 2):
        raise BgpError(OPEN_ERROR, BAD_HOLD_TIME, f"a hold time of {hold} s")
    if identifier == b"\0\0\0\0":
        raise BgpError(OPEN_ERROR, BAD_IDENTIFIER, "an identifier of 0.0.0.0")
    parameters = body[10:]
    if len(parameters) != length:
        raise BgpError(OPEN_ERROR, BAD_PARAMETER, "parameters of another length than told")
    families: set[tuple[int, int]] = set()
    as4 = False
    for kind, value in _triples(parameters):
        if kind != 2:
            raise BgpError(OPEN_ERROR, BAD_PARAMETER, f"parameter {kind}")
        for cap, said in _triples(value):
            if cap == CAP_MULTIPROTOCOL and len(said) == 4:
                afi, _, safi = struct.unpack("!HBB", said)
                families.add((afi, safi))
            elif cap == CAP_AS4 and len(said) == 4:
                asn, as4 = struct.unpack("!I", said)[0], True
    if asn == 0:
        raise BgpError(OPEN_ERROR, BAD_PEER_AS, "AS 0")
    return Open(asn, hold, ipaddress.IPv4Address(identifier), frozenset(families), as4)


def _triples(data: bytes) -> list[tuple[int, bytes]]:
    """Type, length of one octet, value."""
    found = []
    while data:
        if len(data) < 2 or len(data) < 2 + data[1]:
            raise BgpError(OPEN_ERROR, BAD_PARAMETER, "a parameter that is cut short")
        found.append((data[0], data[2 : 2 + data[1]]))
        data = data[2 + data[1] :]
    return found


def _prefixes(data: bytes, version: int) -> tuple[list[Address], int]:
    """Host routes, and how many shorter prefixes stood beside them."""
    whole = 32 if version == 4 else 128
    found: list[Address] = []
    others = 0
    while data:
        bits, count = data[0], (data[0] + 7) // 8
        if bits > whole or len(data) < 1 + count:
            raise BgpError(UPDATE_ERROR, BAD_NETWORK, "a prefix that is too long or cut short")
        if bits == whole:
            packed = data[1 : 1 + count]
            found.append(ipaddress.IPv4Address(packed) if version == 4 else ipaddress.IPv6Address(packed))
        else:
            others += 1
        data = data[1 + count :]
    return found, others


def _read_update(body: bytes, as4: bool) -> Update:
    malformed = BgpError(UPDATE_ERROR, MALFORMED_ATTRIBUTES, "lengths that do not fit")
    length = struct.unpack_from("!H", body)[0]
    if len(body) < 4 + length:
        raise malformed
    withdrawn, others = _prefixes(body[2 : 2 + length], 4)
    rest = body[2 + length :]
    length = struct.unpack_from("!H", rest)[0]
    if len(rest) < 2 + length:
        raise malformed
    values = _read_attributes(rest[2 : 2 + length])
    path = _read_path(values.get(AS_PATH, b""), as4)
    med, pref = (_u32(values[k]) if k in values else None for k in (MED, LOCAL_PREF))
    announced: list[Route] = []
    four, more = _prefixes(rest[2 + length :], 4)
    others += more
    if four:
        hop = values.get(NEXT_HOP, b"")
        if len(hop) != 4:
            raise BgpError(UPDATE_ERROR, ATTRIBUTE_LENGTH, "no next hop of four octets")
        announced += [Route(a, ipaddress.IPv4Address(hop), path, pref, med) for a in four]
    if MP_REACH in values:
        value = values[MP_REACH]
        if len(value) < 5 or len(value) < 5 + value[3]:
            raise BgpError(UPDATE_ERROR, ATTRIBUTE_LENGTH, "MP_REACH_NLRI that is cut short")
        if struct.unpack_from("!HB", value) == (AFI_IPV6, SAFI_UNICAST):
            if value[3] not in (16, 32):
                raise BgpError(UPDATE_ERROR, ATTRIBUTE_LENGTH, "a next hop of neither 16 nor 32 octets")
            hop6 = ipaddress.IPv6Address(value[4:20])
            six, more = _prefixes(value[5 + value[3] :], 6)
            others += more
            announced += [Route(a, hop6, path, pref, med) for a in six]
    if MP_UNREACH in values:
        value = values[MP_UNREACH]
        if len(value) < 3:
            raise BgpError(UPDATE_ERROR, ATTRIBUTE_LENGTH, "MP_UNREACH_NLRI that is cut short")
        if struct.unpack_from("!HB", value) == (AFI_IPV6, SAFI_UNICAST):
            gone, more = _prefixes(value[3:], 6)
            withdrawn += gone
            others += more
    return Update(tuple(announced), tuple(withdrawn), others)


def _read_attributes(data: bytes) -> dict[int, bytes]:
    found: dict[int, bytes] = {}
    while data:
        wide = len(data) > 0 and data[0] & EXTENDED
        start = 4 if wide else 3
        if len(data) < start:
            raise BgpError(UPDATE_ERROR, MALFORMED_ATTRIBUTES, "an attribute that is cut short")
        length = struct.unpack_from("!H", data, 2)[0] if wide else data[2]
        if len(data) < start + length:
            raise BgpError(UPDATE_ERROR, ATTRIBUTE_LENGTH, "an attribute that is cut short")
        if data[1] in found:
            raise BgpError(UPDATE_ERROR, MALFORMED_ATTRIBUTES, f"attribute {data[1]} twice")
        found[data[1]] = data[start : start + length]
        data = data[start + length :]
    return found


def _read_path(data: bytes, as4: bool) -> tuple[int, ...]:
    found: list[int] = []
    size = 4 if as4 else 2
    while data:
        if len(data) < 2 or len(data) < 2 + data[1] * size:
            raise BgpError(UPDATE_ERROR, MALFORMED_ATTRIBUTES, "an AS path that is cut short")
        found += struct.unpack_from(f"!{data[1]}{'I' if as4 else 'H'}", data, 2)
        data = data[2 + data[1] * size :]
    return tuple(found)


def _u32(value: bytes) -> int:
    if len(value) != 4:
        raise BgpError(UPDATE_ERROR, ATTRIBUTE_LENGTH, "a figure that is not of four octets")
    return int(struct.unpack("!I", value)[0])
