"""Binary encoding of the records in messages: strings, addresses, positions, updates and changes.

Integers are big-endian. Strings and values are preceded by their length in bytes. Encoders raise
``EncodeError`` for a record that can't be encoded; ``Reader`` raises ``CodecError`` for malformed data and
never reads past its end.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable, Sequence
from functools import lru_cache
from struct import Struct
from typing import TypeVar

from saltcourse.gossip.errors import CodecError, EncodeError, Reason
from saltcourse.gossip.messages import (
    MAX_CHANGE_BYTES,
    MAX_KEY_BYTES,
    MAX_LABEL_BYTES,
    MAX_NAME_BYTES,
    AcceptedChange,
    Address,
    Change,
    MemberRecord,
    Position,
    Role,
    Status,
    StatusUpdate,
    Update,
    Write,
    ZoneSum,
)

Record = TypeVar("Record")

RECORD_CACHE_SIZE = 1_024  # member records per cache; an entry takes about 600 bytes of memory
MAX_LIST_LENGTH = 255  # records in a list, whose count is encoded in one byte
MAX_VALUE_BYTES = 0xFFFE  # configuration value; the next higher length marks a deleted key
DELETED = 0xFFFF  # value length that marks a deleted key
CONTROL_CHARACTER = re.compile("[\x00-\x1f\x7f-\x9f]")

U8 = Struct("!B")
U32 = Struct("!I")
U64 = Struct("!Q")
POSITION = Struct("!II")
STATUS_UPDATE = Struct("!BQI")  # kind, member, incarnation
# kind, role and status, incarnation, process id, lengths of name, region, zone and address, port
MEMBER_RECORD = Struct("!BBIIBBBBH")
ZONE_SUM = Struct("!BIIIB")  # kind, sequence, members, connections, length of the zone name
WRITE = Struct("!BH")  # lengths of key and value

# Kinds of updates, which are their first byte. The kind of a status update is its status.
STATUSES = tuple(Status)
MEMBER_RECORD_KIND = 16
ZONE_SUM_KIND = 17

ROLES = tuple(Role)
ROLE_SHIFT = 4  # the upper four bits are the role, the lower four the status
STATUS_MASK = 0x0F

IPV4_BYTES = 4
IPV6_BYTES = 16
ADDRESS_FAMILIES = {IPV4_BYTES: socket.AF_INET, IPV6_BYTES: socket.AF_INET6}


class Reader:
    """Reads records from ``data``, starting at ``offset``. All methods raise ``CodecError``."""

    __slots__ = ("data", "offset")

    def __init__(self, data: bytes, offset: int = 0) -> None:
        self.data = data
        self.offset = offset

    def unpack(self, layout: Struct) -> tuple[int, ...]:
        """Read the numbers of a fixed layout."""
        start = self.offset
        end = start + layout.size
        if end > len(self.data):
            raise CodecError(
                Reason.SCHEMA, f"truncated record: {len(self.data) - start} of {layout.size} bytes"
            )
        self.offset = end
        return layout.unpack_from(self.data, start)

    def read_number(self, layout: Struct) -> int:
        """Read a number."""
        return self.unpack(layout)[0]

    def read_bytes(self, length: int) -> bytes:
        """Read ``length`` bytes."""
        start = self.offset
        end = start + length
        if end > len(self.data):
            raise CodecError(Reason.SCHEMA, f"truncated value: {len(self.data) - start} of {length} bytes")
        self.offset = end
        return self.data[start:end]

    def read_text(self, length: int, max_bytes: int) -> str:
        """Read a UTF-8 string of ``length`` bytes, 1 to ``max_bytes``, without control characters."""
        if not 0 < length <= max_bytes:
            raise CodecError(Reason.SCHEMA, f"string of {length} bytes, expected 1 to {max_bytes}")
        try:
            text = self.read_bytes(length).decode()
        except UnicodeDecodeError:
            raise CodecError(Reason.SCHEMA, f"string of {length} bytes is not valid UTF-8") from None
        if CONTROL_CHARACTER.search(text):
            raise CodecError(Reason.SCHEMA, f"string contains a control character: {text!r}")
        return text

    def read_address(self, length: int, port: int) -> Address:
        """Read an IP address of ``length`` bytes; return it as formatted by ``inet_ntop``, with ``port``."""
        family = ADDRESS_FAMILIES.get(length)
        if family is None:
            raise CodecError(Reason.SCHEMA, f"IP address of {length} bytes, expected 4 or 16")
        if port == 0:
            raise CodecError(Reason.SCHEMA, "port is 0, expected 1 to 65535")
        return socket.inet_ntop(family, self.read_bytes(length)), port

    def read_list(self, read: Callable[[Reader], Record]) -> tuple[Record, ...]:
        """Read a list of up to ``MAX_LIST_LENGTH`` records."""
        return tuple([read(self) for _ in range(self.read_number(U8))])

    def expect_end(self) -> None:
        """Raise ``CodecError`` if data is left."""
        if self.offset != len(self.data):
            raise CodecError(Reason.SCHEMA, f"{len(self.data) - self.offset} bytes after the message")


# ---- encoding ---------------------------------------------------------------------------------------


def encode_text(text: str, max_bytes: int) -> bytes:
    """Encode a string that has 1 to ``max_bytes`` bytes in UTF-8 and no control characters."""
    try:
        data = text.encode()
    except UnicodeEncodeError:
        raise EncodeError(f"string can't be encoded in UTF-8: {text!r}") from None
    if not 0 < len(data) <= max_bytes or CONTROL_CHARACTER.search(text):
        raise EncodeError(f"string must have 1 to {max_bytes} bytes and no control characters: {text!r}")
    return data


def encode_address(host: str) -> bytes:
    """Encode an IP address in 4 or 16 bytes."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.inet_pton(family, host)
    except (OSError, ValueError):  # ValueError: null character or lone surrogate
        raise EncodeError(f"invalid IP address: {host!r}") from None


def encode_list(records: Sequence[Record], encode: Callable[[Record], bytes]) -> bytes:
    """Encode the number of records, then each record with ``encode``."""
    if len(records) > MAX_LIST_LENGTH:
        raise EncodeError(f"list of {len(records)} records; the limit is {MAX_LIST_LENGTH}")
    return U8.pack(len(records)) + b"".join([encode(record) for record in records])


def encode_position(position: Position) -> bytes:
    """Encode a position in 8 bytes."""
    return POSITION.pack(position.epoch, position.version)


@lru_cache(maxsize=RECORD_CACHE_SIZE)
def encode_member_record(record: MemberRecord) -> bytes:
    """Encode a member record. Cached, since a record is usually sent many times."""
    host, port = record.address
    if port == 0:
        raise EncodeError(f"member {record.name!r}: port is 0, expected 1 to 65535")
    name = encode_text(record.name, MAX_NAME_BYTES)
    region = encode_text(record.region, MAX_LABEL_BYTES)
    zone = encode_text(record.zone, MAX_LABEL_BYTES)
    address = encode_address(host)
    fixed = MEMBER_RECORD.pack(
        MEMBER_RECORD_KIND,
        record.role << ROLE_SHIFT | record.status,
        record.incarnation,
        record.process_id,
        len(name),
        len(region),
        len(zone),
        len(address),
        port,
    )
    return fixed + name + region + zone + address


def encode_update(update: Update) -> bytes:
    """Encode an update, starting with its kind."""
    if isinstance(update, StatusUpdate):
        return STATUS_UPDATE.pack(update.status, update.member, update.incarnation)
    if isinstance(update, MemberRecord):
        return encode_member_record(update)
    zone = encode_text(update.zone, MAX_LABEL_BYTES)
    return ZONE_SUM.pack(ZONE_SUM_KIND, update.sequence, update.members, update.connections, len(zone)) + zone


def encode_write(write: Write) -> bytes:
    """Encode a key and its value, or its deletion."""
    name, value = write
    key = encode_text(name, MAX_KEY_BYTES)
    if value is None:
        return WRITE.pack(len(key), DELETED) + key
    if len(value) > MAX_VALUE_BYTES:
        raise EncodeError(f"key {name!r}: value of {len(value)} bytes; the limit is {MAX_VALUE_BYTES}")
    return WRITE.pack(len(key), len(value)) + key + value


def encode_change(change: Change) -> bytes:
    """Encode a change in at most ``MAX_CHANGE_BYTES`` bytes."""
    data = encode_position(change.position) + encode_list(change.writes, encode_write)
    if len(data) > MAX_CHANGE_BYTES:
        raise EncodeError(f"change of {len(data)} bytes; the limit is {MAX_CHANGE_BYTES}")
    return data


def encode_accepted_change(accepted: AcceptedChange) -> bytes:
    """Encode the epoch and the change."""
    return U32.pack(accepted.epoch) + encode_change(accepted.change)


# ---- decoding ---------------------------------------------------------------------------------------


def read_position(reader: Reader) -> Position:
    """Read a position encoded by ``encode_position``."""
    epoch, version = reader.unpack(POSITION)
    return Position(epoch, version)


def read_update(reader: Reader) -> Update:
    """Read an update encoded by ``encode_update``."""
    if reader.offset >= len(reader.data):
        raise CodecError(Reason.SCHEMA, "truncated before an update")
    kind = reader.data[reader.offset]
    if kind < len(STATUSES):
        _, member, incarnation = reader.unpack(STATUS_UPDATE)
        return StatusUpdate(member, incarnation, STATUSES[kind])
    if kind == MEMBER_RECORD_KIND:
        return read_member_record(reader)
    if kind == ZONE_SUM_KIND:
        return read_zone_sum(reader)
    raise CodecError(Reason.SCHEMA, f"unknown kind of update: {kind}")


def read_member_record(reader: Reader) -> MemberRecord:
    """Read a member record.

    While an update spreads, the same record is received many times; the cache avoids decoding it again.
    """
    start = reader.offset
    *_, name, region, zone, address, _ = reader.unpack(MEMBER_RECORD)
    reader.read_bytes(name + region + zone + address)
    return decode_member_record(reader.data[start : reader.offset])


@lru_cache(maxsize=RECORD_CACHE_SIZE)
def decode_member_record(data: bytes) -> MemberRecord:
    """Decode one member record; cached by its bytes."""
    reader = Reader(data)
    kind, flags, incarnation, process_id, name, region, zone, address, port = reader.unpack(MEMBER_RECORD)
    role = flags >> ROLE_SHIFT
    status = flags & STATUS_MASK
    if kind != MEMBER_RECORD_KIND or role >= len(ROLES) or status >= len(STATUSES):
        raise CodecError(Reason.SCHEMA, f"invalid member record: kind {kind}, role {role}, status {status}")
    return MemberRecord(
        name=reader.read_text(name, MAX_NAME_BYTES),
        region=reader.read_text(region, MAX_LABEL_BYTES),
        zone=reader.read_text(zone, MAX_LABEL_BYTES),
        address=reader.read_address(address, port),
        role=ROLES[role],
        incarnation=incarnation,
        process_id=process_id,
        status=STATUSES[status],
    )


def read_zone_sum(reader: Reader) -> ZoneSum:
    """Read an update of kind ``ZONE_SUM_KIND``."""
    _, sequence, members, connections, length = reader.unpack(ZONE_SUM)
    return ZoneSum(reader.read_text(length, MAX_LABEL_BYTES), sequence, members, connections)


def read_write(reader: Reader) -> Write:
    """Read a write encoded by ``encode_write``."""
    key_length, value_length = reader.unpack(WRITE)
    key = reader.read_text(key_length, MAX_KEY_BYTES)
    if value_length == DELETED:
        return key, None
    return key, reader.read_bytes(value_length)


def read_change(reader: Reader) -> Change:
    """Read a change encoded by ``encode_change``."""
    start = reader.offset
    change = Change(read_position(reader), reader.read_list(read_write))
    if reader.offset - start > MAX_CHANGE_BYTES:
        raise CodecError(Reason.SCHEMA, f"change is longer than {MAX_CHANGE_BYTES} bytes")
    return change


def read_accepted_change(reader: Reader) -> AcceptedChange:
    """Read an accepted change encoded by ``encode_accepted_change``."""
    return AcceptedChange(reader.read_number(U32), read_change(reader))
