"""BGP-4 messages (RFC 4271) and their encoding, for a speaker that announces host routes and accepts none.

``bgp_decoder`` decodes them. Capabilities (RFC 5492), four-octet AS numbers (RFC 6793), IPv6 routes
(RFC 4760) and the shutdown communication (RFC 9003) are supported.
"""

from __future__ import annotations

import ipaddress
import struct
from dataclasses import dataclass

MARKER = b"\xff" * 16
HEADER_LENGTH, MAX_MESSAGE_LENGTH = 19, 4096  # bytes
VERSION = 4
MAX_U32 = 2**32 - 1
AS_TRANS = 23456  # sent in a two-octet field in place of a larger AS number (RFC 6793)

# Message types.
OPEN, UPDATE, NOTIFICATION, KEEPALIVE = 1, 2, 3, 4
# The optional parameter of an OPEN message that carries capabilities, and the capabilities that are used.
PARAMETER_CAPABILITIES = 2
CAPABILITY_MULTIPROTOCOL, CAPABILITY_FOUR_OCTET_ASN = 1, 65
AFI_IPV4, AFI_IPV6, SAFI_UNICAST = 1, 2, 1
# Path attributes, their flags, and the segment type that is used in AS_PATH.
ORIGIN, AS_PATH, NEXT_HOP, MED, LOCAL_PREF, MP_REACH_NLRI, MP_UNREACH_NLRI = 1, 2, 3, 4, 5, 14, 15
OPTIONAL, TRANSITIVE, EXTENDED_LENGTH = 0x80, 0x40, 0x10
AS_SEQUENCE = 2
ORIGIN_IGP = b"\0"

# Error codes of a NOTIFICATION message, and the subcodes that are used of each code.
HEADER_ERROR, OPEN_ERROR, UPDATE_ERROR, HOLD_TIMER_EXPIRED, FSM_ERROR, CEASE = 1, 2, 3, 4, 5, 6
NOT_SYNCHRONIZED, BAD_LENGTH, BAD_TYPE = 1, 2, 3
BAD_VERSION, BAD_PEER_AS, BAD_IDENTIFIER, BAD_PARAMETER, BAD_HOLD_TIME = 1, 2, 3, 4, 6
MALFORMED_ATTRIBUTES, ATTRIBUTE_LENGTH, BAD_NETWORK = 1, 5, 10
ADMINISTRATIVE_SHUTDOWN, ADMINISTRATIVE_RESET = 2, 4
MAX_SHUTDOWN_TEXT = 128  # bytes

Address = ipaddress.IPv4Address | ipaddress.IPv6Address


class BgpError(Exception):
    """A message violates RFC 4271.

    ``code``, ``subcode`` and ``data`` are those of the NOTIFICATION message to send to the peer.
    """

    def __init__(self, code: int, subcode: int, text: str, data: bytes = b"") -> None:
        super().__init__(text)
        self.code = code
        self.subcode = subcode
        self.data = data


@dataclass(frozen=True, slots=True)
class Open:
    """An OPEN message.

    ``hold_time`` is in seconds, 0 disables the hold timer; ``families`` holds (AFI, SAFI) pairs.
    """

    asn: int
    hold_time: int
    identifier: ipaddress.IPv4Address
    families: frozenset[tuple[int, int]] = frozenset()
    four_octet_asn: bool = True


@dataclass(frozen=True, slots=True)
class Keepalive:
    """A KEEPALIVE message."""


@dataclass(frozen=True, slots=True)
class Notification:
    """A NOTIFICATION message: the peer closes the session because of the error ``code``."""

    code: int
    subcode: int
    data: bytes = b""

    def describe(self) -> str:
        """Return the code and subcode for logs, and the peer's shutdown communication if it sent one."""
        text = ""
        if (
            self.code == CEASE
            and self.subcode in (ADMINISTRATIVE_SHUTDOWN, ADMINISTRATIVE_RESET)
            and self.data
        ):
            text = f" ({self.data[1 : 1 + self.data[0]].decode(errors='replace')})"
        return f"NOTIFICATION {self.code}/{self.subcode}{text}"


@dataclass(frozen=True, slots=True)
class Route:
    """A host route.

    ``local_pref`` ranks routes within one AS (the highest wins), ``med`` between two ASes (the lowest wins).
    """

    address: Address
    next_hop: Address
    as_path: tuple[int, ...] = ()
    local_pref: int | None = None
    med: int | None = None


@dataclass(frozen=True, slots=True)
class Update:
    """An UPDATE message; ``other_prefixes`` counts the prefixes in it that are not host routes."""

    announced: tuple[Route, ...] = ()
    withdrawn: tuple[Address, ...] = ()
    other_prefixes: int = 0


Message = Open | Update | Notification | Keepalive


def encode_keepalive() -> bytes:
    """Return the bytes of a KEEPALIVE message."""
    return _frame(KEEPALIVE, b"")


def encode_notification(code: int, subcode: int, data: bytes = b"") -> bytes:
    """Return the bytes of a NOTIFICATION message; data beyond the maximum message length is truncated."""
    return _frame(NOTIFICATION, bytes((code, subcode)) + data[: MAX_MESSAGE_LENGTH - HEADER_LENGTH - 2])


def encode_shutdown(text: str) -> bytes:
    """Return the bytes of the NOTIFICATION message of an administrative shutdown (RFC 9003).

    ``text`` is for the peer's operators; bytes beyond ``MAX_SHUTDOWN_TEXT`` are truncated.
    """
    data = text.encode()[:MAX_SHUTDOWN_TEXT]
    return encode_notification(CEASE, ADMINISTRATIVE_SHUTDOWN, bytes((len(data),)) + data)


def encode_open(message: Open) -> bytes:
    """Return the bytes of an OPEN message with its capabilities."""
    capabilities = b"".join(
        struct.pack("!BBHBB", CAPABILITY_MULTIPROTOCOL, 4, afi, 0, safi)
        for afi, safi in sorted(message.families)
    )
    if message.four_octet_asn:
        capabilities += struct.pack("!BBI", CAPABILITY_FOUR_OCTET_ASN, 4, message.asn)
    parameters = b""
    if capabilities:
        parameters = struct.pack("!BB", PARAMETER_CAPABILITIES, len(capabilities)) + capabilities
    two_octet_asn = _two_octet_asn(message.asn)
    identifier = message.identifier.packed
    fixed = struct.pack("!BHH4sB", VERSION, two_octet_asn, message.hold_time, identifier, len(parameters))
    return _frame(OPEN, fixed + parameters)


def encode_announcement(route: Route, four_octet_asn: bool = True) -> bytes:
    """Return the bytes of an UPDATE message that announces one host route.

    ``four_octet_asn`` is true if both ends sent the capability in their OPEN messages.
    """
    is_ipv4 = route.address.version == 4
    attributes = _attribute(TRANSITIVE, ORIGIN, ORIGIN_IGP)
    attributes += _attribute(TRANSITIVE, AS_PATH, _encode_as_path(route.as_path, four_octet_asn))
    if is_ipv4:
        attributes += _attribute(TRANSITIVE, NEXT_HOP, route.next_hop.packed)
    if route.med is not None:
        attributes += _attribute(OPTIONAL, MED, struct.pack("!I", route.med))
    if route.local_pref is not None:
        attributes += _attribute(TRANSITIVE, LOCAL_PREF, struct.pack("!I", route.local_pref))
    if not is_ipv4:
        next_hop = struct.pack("!HBB", AFI_IPV6, SAFI_UNICAST, 16) + route.next_hop.packed + b"\0"
        attributes += _attribute(OPTIONAL, MP_REACH_NLRI, next_hop + _prefix(route.address))
    reachable = _prefix(route.address) if is_ipv4 else b""
    return _frame(UPDATE, struct.pack("!HH", 0, len(attributes)) + attributes + reachable)


def encode_withdrawal(address: Address) -> bytes:
    """Return the bytes of an UPDATE message that withdraws one host route."""
    prefix = _prefix(address)
    if address.version == 4:
        return _frame(UPDATE, struct.pack("!H", len(prefix)) + prefix + struct.pack("!H", 0))
    unreachable = struct.pack("!HB", AFI_IPV6, SAFI_UNICAST) + prefix
    attributes = _attribute(OPTIONAL, MP_UNREACH_NLRI, unreachable)
    return _frame(UPDATE, struct.pack("!HH", 0, len(attributes)) + attributes)


def _frame(message_type: int, body: bytes) -> bytes:
    return MARKER + struct.pack("!HB", HEADER_LENGTH + len(body), message_type) + body


def _two_octet_asn(asn: int) -> int:
    return asn if asn < 2**16 else AS_TRANS


def _encode_as_path(as_path: tuple[int, ...], four_octet_asn: bool) -> bytes:
    if not as_path:
        return b""
    numbers = [asn if four_octet_asn else _two_octet_asn(asn) for asn in as_path]
    octets = "I" if four_octet_asn else "H"
    return struct.pack(f"!BB{len(numbers)}{octets}", AS_SEQUENCE, len(numbers), *numbers)


def _attribute(flags: int, attribute_type: int, value: bytes) -> bytes:
    if len(value) > 255:
        return struct.pack("!BBH", flags | EXTENDED_LENGTH, attribute_type, len(value)) + value
    return struct.pack("!BBB", flags, attribute_type, len(value)) + value


def _prefix(address: Address) -> bytes:
    return bytes((address.max_prefixlen,)) + address.packed
