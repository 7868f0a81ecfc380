"""Decodes BGP-4 messages (RFC 4271): a buffer that splits the stream into messages, and pure functions.

Any input gives either a message of ``bgp`` or a ``BgpError``, whose code and subcode are those of the
NOTIFICATION message to send to the peer (RFC 4271, section 4.5).
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from saltcourse.codec import bgp
from saltcourse.codec.bgp import Address, BgpError, Message, Route

# Message type -> shortest valid message in bytes, header included.
MIN_LENGTHS = {bgp.OPEN: 29, bgp.UPDATE: 23, bgp.NOTIFICATION: 21, bgp.KEEPALIVE: 19}


@dataclass(frozen=True, slots=True)
class Frame:
    """A complete message whose body is not decoded yet."""

    message_type: int
    body: bytes


@dataclass(slots=True)
class MessageBuffer:
    """Splits a byte stream into messages; buffers at most one message and the data of one read."""

    _bytes: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> None:
        """Append bytes read from the connection."""
        self._bytes += data

    def next(self) -> Frame | None:
        """Remove and return the next complete message, or None if more bytes are needed.

        Raises ``BgpError`` if the header is invalid.
        """
        self._check_marker()
        if len(self._bytes) < bgp.HEADER_LENGTH:
            return None
        length, message_type = struct.unpack_from("!HB", self._bytes, len(bgp.MARKER))
        _check_header(length, message_type)
        if len(self._bytes) < length:
            return None
        body = bytes(self._bytes[bgp.HEADER_LENGTH : length])
        del self._bytes[:length]
        return Frame(message_type, body)

    def _check_marker(self) -> None:
        if not bgp.MARKER.startswith(bytes(self._bytes[: len(bgp.MARKER)])):
            raise BgpError(bgp.HEADER_ERROR, bgp.NOT_SYNCHRONIZED, "header: marker is not 16 bytes of 0xff")


def _check_header(length: int, message_type: int) -> None:
    min_length = MIN_LENGTHS.get(message_type)
    if min_length is None:
        reason = f"header: unknown message type {message_type}"
        raise BgpError(bgp.HEADER_ERROR, bgp.BAD_TYPE, reason, bytes((message_type,)))
    max_length = min_length if message_type == bgp.KEEPALIVE else bgp.MAX_MESSAGE_LENGTH
    if not min_length <= length <= max_length:
        data = struct.pack("!H", length)
        reason = f"header: length must be from {min_length} to {max_length} bytes, not {length}"
        raise BgpError(bgp.HEADER_ERROR, bgp.BAD_LENGTH, reason, data)


def decode(frame: Frame, four_octet_asn: bool = True) -> Message:
    """Decode the body of a message.

    ``four_octet_asn`` is true if both ends sent the capability in their OPEN messages. Raises ``BgpError``.
    """
    body = frame.body
    if frame.message_type == bgp.OPEN:
        return _decode_open(body)
    if frame.message_type == bgp.NOTIFICATION:
        return bgp.Notification(body[0], body[1], body[2:])
    if frame.message_type == bgp.KEEPALIVE:
        return bgp.Keepalive()
    return _decode_update(body, four_octet_asn)


# ---- OPEN -------------------------------------------------------------------------------------------


@dataclass(slots=True)
class _Capabilities:
    families: set[tuple[int, int]] = field(default_factory=set)
    asn: int | None = None  # the four-octet AS number; None if the peer does not send the capability


def _decode_open(body: bytes) -> bgp.Open:
    version, two_octet_asn, hold_time, identifier, length = struct.unpack_from("!BHH4sB", body)
    if version != bgp.VERSION:
        data = struct.pack("!H", bgp.VERSION)
        raise BgpError(bgp.OPEN_ERROR, bgp.BAD_VERSION, f"OPEN: version must be 4, not {version}", data)
    if hold_time in (1, 2):
        reason = f"OPEN: hold time must be 0 or at least 3 s, not {hold_time}"
        raise BgpError(bgp.OPEN_ERROR, bgp.BAD_HOLD_TIME, reason)
    if identifier == b"\0\0\0\0":
        raise BgpError(bgp.OPEN_ERROR, bgp.BAD_IDENTIFIER, "OPEN: BGP identifier must not be 0.0.0.0")
    parameters = body[10:]
    if len(parameters) != length:
        reason = f"OPEN: optional parameters must have {length} bytes, not {len(parameters)}"
        raise BgpError(bgp.OPEN_ERROR, bgp.BAD_PARAMETER, reason)
    capabilities = _decode_capabilities(parameters)
    asn = two_octet_asn if capabilities.asn is None else capabilities.asn
    if asn == 0:
        raise BgpError(bgp.OPEN_ERROR, bgp.BAD_PEER_AS, "OPEN: AS number must not be 0")
    return bgp.Open(
        asn,
        hold_time,
        ipaddress.IPv4Address(identifier),
        frozenset(capabilities.families),
        capabilities.asn is not None,
    )


def _decode_capabilities(parameters: bytes) -> _Capabilities:
    found = _Capabilities()
    for parameter, capabilities in _split_fields(parameters):
        if parameter != bgp.PARAMETER_CAPABILITIES:
            raise BgpError(bgp.OPEN_ERROR, bgp.BAD_PARAMETER, f"OPEN: unknown optional parameter {parameter}")
        for capability, value in _split_fields(capabilities):
            if capability == bgp.CAPABILITY_MULTIPROTOCOL and len(value) == 4:
                afi, _, safi = struct.unpack("!HBB", value)
                found.families.add((afi, safi))
            elif capability == bgp.CAPABILITY_FOUR_OCTET_ASN and len(value) == 4:
                found.asn = _decode_u32(value)
    return found


def _split_fields(data: bytes) -> list[tuple[int, bytes]]:
    """Split fields with a one-octet type and a one-octet length into pairs of type and value."""
    fields = []
    while data:
        if len(data) < 2 or len(data) < 2 + data[1]:
            raise BgpError(bgp.OPEN_ERROR, bgp.BAD_PARAMETER, "OPEN: optional parameter is truncated")
        end = 2 + data[1]
        fields.append((data[0], data[2:end]))
        data = data[end:]
    return fields


# ---- UPDATE -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class _Prefixes:
    """The host routes in a list of prefixes, and the number of shorter prefixes."""

    hosts: list[Address] = field(default_factory=list)
    other_count: int = 0


@dataclass(frozen=True, slots=True)
class _RouteTemplate:
    """The path attributes that all routes of one UPDATE message share."""

    as_path: tuple[int, ...]
    med: int | None
    local_pref: int | None

    def route(self, address: Address, next_hop: Address) -> Route:
        return Route(address, next_hop, self.as_path, self.local_pref, self.med)


def _decode_update(body: bytes, four_octet_asn: bool) -> bgp.Update:
    withdrawn_bytes, rest = _split_counted(body, min_rest=2)
    withdrawn = _decode_prefixes(withdrawn_bytes, ipaddress.IPv4Address)
    attribute_bytes, announced_bytes = _split_counted(rest, min_rest=0)
    attributes = _split_attributes(attribute_bytes)
    template = _RouteTemplate(
        as_path=_decode_as_path(attributes.get(bgp.AS_PATH, b""), four_octet_asn),
        med=_optional_u32(attributes, bgp.MED),
        local_pref=_optional_u32(attributes, bgp.LOCAL_PREF),
    )
    announced = _decode_prefixes(announced_bytes, ipaddress.IPv4Address)
    routes = _ipv4_routes(announced, attributes, template)
    reachable = _decode_reachable(attributes.get(bgp.MP_REACH_NLRI))
    routes += [
        template.route(address, _ipv6_next_hop(attributes[bgp.MP_REACH_NLRI])) for address in reachable.hosts
    ]
    unreachable = _decode_unreachable(attributes.get(bgp.MP_UNREACH_NLRI))
    other_prefixes = sum(prefixes.other_count for prefixes in (withdrawn, announced, reachable, unreachable))
    return bgp.Update(tuple(routes), (*withdrawn.hosts, *unreachable.hosts), other_prefixes)


def _split_counted(data: bytes, min_rest: int) -> tuple[bytes, bytes]:
    """Split off a part that follows its two-octet length; the rest must have ``min_rest`` bytes or more."""
    end = 2 + struct.unpack_from("!H", data)[0]
    if len(data) < end + min_rest:
        raise BgpError(bgp.UPDATE_ERROR, bgp.MALFORMED_ATTRIBUTES, "UPDATE: length field exceeds the message")
    return data[2:end], data[end:]


def _decode_prefixes(data: bytes, address_type: Callable[[bytes], Address]) -> _Prefixes:
    host_bits = 32 if address_type is ipaddress.IPv4Address else 128
    prefixes = _Prefixes()
    while data:
        bits, end = data[0], 1 + (data[0] + 7) // 8
        if bits > host_bits or len(data) < end:
            raise BgpError(bgp.UPDATE_ERROR, bgp.BAD_NETWORK, "UPDATE: prefix is truncated or too long")
        if bits == host_bits:
            prefixes.hosts.append(address_type(data[1:end]))
        else:
            prefixes.other_count += 1
        data = data[end:]
    return prefixes


def _ipv4_routes(announced: _Prefixes, attributes: dict[int, bytes], template: _RouteTemplate) -> list[Route]:
    if not announced.hosts:
        return []
    next_hop = attributes.get(bgp.NEXT_HOP, b"")
    if len(next_hop) != 4:
        raise BgpError(bgp.UPDATE_ERROR, bgp.ATTRIBUTE_LENGTH, "UPDATE: NEXT_HOP must have 4 bytes")
    return [template.route(address, ipaddress.IPv4Address(next_hop)) for address in announced.hosts]


def _decode_reachable(value: bytes | None) -> _Prefixes:
    """Return the IPv6 prefixes of MP_REACH_NLRI; prefixes of other address families are skipped."""
    if value is None:
        return _Prefixes()
    if len(value) < 5 or len(value) < 5 + value[3]:
        raise BgpError(bgp.UPDATE_ERROR, bgp.ATTRIBUTE_LENGTH, "UPDATE: MP_REACH_NLRI is truncated")
    if not _is_ipv6_unicast(value):
        return _Prefixes()
    next_hop_length = value[3]
    if next_hop_length not in (16, 32):  # a link-local address may follow the global one
        raise BgpError(bgp.UPDATE_ERROR, bgp.ATTRIBUTE_LENGTH, "UPDATE: IPv6 next hop must be 16 or 32 bytes")
    return _decode_prefixes(value[5 + next_hop_length :], ipaddress.IPv6Address)


def _ipv6_next_hop(reachable: bytes) -> Address:
    return ipaddress.IPv6Address(reachable[4:20])


def _decode_unreachable(value: bytes | None) -> _Prefixes:
    """Return the IPv6 prefixes of MP_UNREACH_NLRI; prefixes of other address families are skipped."""
    if value is None:
        return _Prefixes()
    if len(value) < 3:
        raise BgpError(bgp.UPDATE_ERROR, bgp.ATTRIBUTE_LENGTH, "UPDATE: MP_UNREACH_NLRI is truncated")
    if not _is_ipv6_unicast(value):
        return _Prefixes()
    return _decode_prefixes(value[3:], ipaddress.IPv6Address)


def _is_ipv6_unicast(value: bytes) -> bool:
    return struct.unpack_from("!HB", value) == (bgp.AFI_IPV6, bgp.SAFI_UNICAST)


def _split_attributes(data: bytes) -> dict[int, bytes]:
    """Map the type of each path attribute to its value."""
    attributes: dict[int, bytes] = {}
    while data:
        is_extended = data[0] & bgp.EXTENDED_LENGTH
        start = 4 if is_extended else 3
        if len(data) < start:
            raise BgpError(bgp.UPDATE_ERROR, bgp.MALFORMED_ATTRIBUTES, "UPDATE: truncated attribute header")
        length = struct.unpack_from("!H", data, 2)[0] if is_extended else data[2]
        attribute_type, end = data[1], start + length
        if len(data) < end:
            raise BgpError(bgp.UPDATE_ERROR, bgp.ATTRIBUTE_LENGTH, "UPDATE: path attribute is truncated")
        if attribute_type in attributes:
            reason = f"UPDATE: duplicate path attribute {attribute_type}"
            raise BgpError(bgp.UPDATE_ERROR, bgp.MALFORMED_ATTRIBUTES, reason)
        attributes[attribute_type] = data[start:end]
        data = data[end:]
    return attributes


def _decode_as_path(data: bytes, four_octet_asn: bool) -> tuple[int, ...]:
    as_path: list[int] = []
    octets, size = ("I", 4) if four_octet_asn else ("H", 2)
    while data:
        end = 2 + data[1] * size if len(data) >= 2 else len(data) + 1
        if len(data) < end:
            raise BgpError(bgp.UPDATE_ERROR, bgp.MALFORMED_ATTRIBUTES, "UPDATE: AS_PATH is truncated")
        as_path += struct.unpack_from(f"!{data[1]}{octets}", data, 2)
        data = data[end:]
    return tuple(as_path)


def _optional_u32(attributes: dict[int, bytes], attribute_type: int) -> int | None:
    value = attributes.get(attribute_type)
    return None if value is None else _decode_u32(value)


def _decode_u32(value: bytes) -> int:
    if len(value) != 4:
        raise BgpError(bgp.UPDATE_ERROR, bgp.ATTRIBUTE_LENGTH, "a four-octet number must have 4 bytes")
    return int(struct.unpack("!I", value)[0])
