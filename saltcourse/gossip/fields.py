"""Binary form of the records that messages are made of: texts, addresses, positions, updates and changes.

Integers are big-endian. A text or value is a length and its bytes. Writers raise ``EncodeError`` on a record
that has no binary form; ``Reader`` raises ``CodecError`` and never reads behind the end of its data.
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

RECORD_CACHE_SIZE = 1_024  # member records and their bytes, each about 600 bytes of memory
MAX_LIST_LENGTH = 255  # records in one list: its count is one byte
MAX_VALUE_BYTES = 0xFFFE  # of one value; the next length stands for a deleted key
DELETED = 0xFFFF  # in place of a value's length
CONTROL_CHARACTER = re.compile("[\x00-\x1f\x7f-\x9f]")

U8 = Struct("!B")
U32 = Struct("!I")
U64 = Struct("!Q")
POSITION = Struct("!II")
STATUS_UPDATE = Struct("!BQI")  # kind, member, incarnation
# kind, role and status, incarnation, process, lengths of name, region, zone and address, port
MEMBER_RECORD = Struct("!BBIIBBBBH")
ZONE_SUM = Struct("!BIIIB")  # kind, sequence, members, connections, length of the zone
WRITE = Struct("!BH")  # lengths of key and value

# The first byte of an update. A status update's kind is the status itself.
STATUSES = tuple(Status)
MEMBER_RECORD_KIND = 16
ZONE_SUM_KIND = 17

ROLES = tuple(Role)
ROLE_SHIFT = 4  # the role is in the upper half of its byte, the status in the lower
STATUS_MASK = 0x0F

IPV4_BYTES = 4
IPV6_BYTES = 16
ADDRESS_FAMILIES = {IPV4_BYTES: socket.AF_INET, IPV6_BYTES: socket.AF_INET6}


class Reader:
    """Takes records from the front of ``data``, one after the other."""

    __slots__ = ("data", "offset")

    def __init__(self, data: bytes, offset: int = 0) -> None:
        self.data = data
        self.offset = offset

    def unpack(self, layout: Struct) -> tuple[int, ...]:
        """Take the numbers of a fixed layout."""
        start = self.offset
        end = start + layout.size
        if end > len(self.data):
            raise CodecError(Reason.SCHEMA, "ends within a record")
        self.offset = end
        return layout.unpack_from(self.data, start)

    def number(self, layout: Struct) -> int:
        """Take one number."""
        return self.unpack(layout)[0]

    def raw(self, length: int) -> bytes:
        """Take so many bytes."""
        start = self.offset
        end = start + length
        if end > len(self.data):
            raise CodecError(Reason.SCHEMA, "ends within a value")
        self.offset = end
        return self.data[start:end]

    def text(self, length: int, max_bytes: int) -> str:
        """Take a text of ``length`` bytes in UTF-8, 1 to ``max_bytes``, without control characters."""
        if not 0 < length <= max_bytes:
            raise CodecError(Reason.SCHEMA, f"a text of {length} bytes")
        try:
            text = self.raw(length).decode()
        except UnicodeDecodeError:
            raise CodecError(Reason.SCHEMA, "a text is not UTF-8") from None
        if CONTROL_CHARACTER.search(text):
            raise CodecError(Reason.SCHEMA, "a control character in a text")
        return text

    def address(self, length: int, port: int) -> Address:
        """Take the bytes of an IP address, in the system's canonical text."""
        family = ADDRESS_FAMILIES.get(length)
        if family is None:
            raise CodecError(Reason.SCHEMA, f"an address of {length} bytes")
        if port == 0:
            raise CodecError(Reason.SCHEMA, "port 0")
        return socket.inet_ntop(family, self.raw(length)), port

    def records(self, read: Callable[[Reader], Record]) -> tuple[Record, ...]:
        """Take a list of up to ``MAX_LIST_LENGTH`` records."""
        return tuple([read(self) for _ in range(self.number(U8))])

    def end(self) -> None:
        """``CodecError`` unless all bytes were taken."""
        if self.offset != len(self.data):
            raise CodecError(Reason.SCHEMA, "bytes behind the end")


# ---- writers ----------------------------------------------------------------------------------------


def encode_text(text: str, max_bytes: int) -> bytes:
    """Return 1 to ``max_bytes`` bytes of UTF-8 without control characters."""
    try:
        data = text.encode()
    except UnicodeEncodeError:
        raise EncodeError(f"not a text that UTF-8 can hold: {text!r}") from None
    if not 0 < len(data) <= max_bytes or CONTROL_CHARACTER.search(text):
        raise EncodeError(f"not a text of 1 to {max_bytes} bytes without control characters: {text!r}")
    return data


def encode_address(host: str) -> bytes:
    """Return the 4 or 16 bytes of an IP address."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.inet_pton(family, host)
    except (OSError, ValueError):  # ValueError: a character that no address has
        raise EncodeError(f"not an IP address: {host!r}") from None


def encode_list(records: Sequence[Record], encode: Callable[[Record], bytes]) -> bytes:
    """Return the count of the records and their bytes."""
    if len(records) > MAX_LIST_LENGTH:
        raise EncodeError(f"{len(records)} records in a list")
    return U8.pack(len(records)) + b"".join([encode(record) for record in records])


def encode_position(position: Position) -> bytes:
    """Return 8 bytes."""
    return POSITION.pack(position.epoch, position.version)


@lru_cache(maxsize=RECORD_CACHE_SIZE)
def encode_member_record(record: MemberRecord) -> bytes:
    """Return the bytes of a full record. Cached: one record is sent many times over."""
    host, port = record.address
    if port == 0:
        raise EncodeError("port 0")
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
    """Return the bytes of an update, which begin with its kind."""
    if isinstance(update, StatusUpdate):
        return STATUS_UPDATE.pack(update.status, update.member, update.incarnation)
    if isinstance(update, MemberRecord):
        return encode_member_record(update)
    zone = encode_text(update.zone, MAX_LABEL_BYTES)
    return ZONE_SUM.pack(ZONE_SUM_KIND, update.sequence, update.members, update.connections, len(zone)) + zone


def encode_write(write: Write) -> bytes:
    """Return the bytes of one key and its value, or of its deletion."""
    name, value = write
    key = encode_text(name, MAX_KEY_BYTES)
    if value is None:
        return WRITE.pack(len(key), DELETED) + key
    if len(value) > MAX_VALUE_BYTES:
        raise EncodeError(f"a value of {len(value)} bytes")
    return WRITE.pack(len(key), len(value)) + key + value


def encode_change(change: Change) -> bytes:
    """Return at most ``MAX_CHANGE_BYTES`` bytes."""
    data = encode_position(change.position) + encode_list(change.writes, encode_write)
    if len(data) > MAX_CHANGE_BYTES:
        raise EncodeError(f"a change of {len(data)} bytes")
    return data


def encode_accepted_change(accepted: AcceptedChange) -> bytes:
    """Return the bytes of the epoch and the change."""
    return U32.pack(accepted.epoch) + encode_change(accepted.change)


# ---- readers ----------------------------------------------------------------------------------------


def read_position(reader: Reader) -> Position:
    """Read what ``encode_position`` writes."""
    epoch, version = reader.unpack(POSITION)
    return Position(epoch, version)


def read_update(reader: Reader) -> Update:
    """Read what ``encode_update`` writes."""
    if reader.offset >= len(reader.data):
        raise CodecError(Reason.SCHEMA, "ends before an update")
    kind = reader.data[reader.offset]
    if kind < len(STATUSES):
        _, member, incarnation = reader.unpack(STATUS_UPDATE)
        return StatusUpdate(member, incarnation, STATUSES[kind])
    if kind == MEMBER_RECORD_KIND:
        return read_member_record(reader)
    if kind == ZONE_SUM_KIND:
        return read_zone_sum(reader)
    raise CodecError(Reason.SCHEMA, f"an update of kind {kind}")


def read_member_record(reader: Reader) -> MemberRecord:
    """Read one record. It comes many times over while it spreads: its bytes are decoded once."""
    start = reader.offset
    *_, name, region, zone, address, _ = reader.unpack(MEMBER_RECORD)
    reader.raw(name + region + zone + address)
    return decode_member_record(reader.data[start : reader.offset])


@lru_cache(maxsize=RECORD_CACHE_SIZE)
def decode_member_record(data: bytes) -> MemberRecord:
    """Decode exactly one record; cached by its bytes."""
    reader = Reader(data)
    kind, flags, incarnation, process_id, name, region, zone, address, port = reader.unpack(MEMBER_RECORD)
    role = flags >> ROLE_SHIFT
    status = flags & STATUS_MASK
    if kind != MEMBER_RECORD_KIND or role >= len(ROLES) or status >= len(STATUSES):
        raise CodecError(Reason.SCHEMA, "not a member record")
    return MemberRecord(
        name=reader.text(name, MAX_NAME_BYTES),
        region=reader.text(region, MAX_LABEL_BYTES),
        zone=reader.text(zone, MAX_LABEL_BYTES),
        address=reader.address(address, port),
        role=ROLES[role],
        incarnation=incarnation,
        process_id=process_id,
        status=STATUSES[status],
    )


def read_zone_sum(reader: Reader) -> ZoneSum:
    """Read the update of kind ``ZONE_SUM_KIND``."""
    _, sequence, members, connections, length = reader.unpack(ZONE_SUM)
    return ZoneSum(reader.text(length, MAX_LABEL_BYTES), sequence, members, connections)


def read_write(reader: Reader) -> Write:
    """Read what ``encode_write`` writes."""
    key_length, value_length = reader.unpack(WRITE)
    key = reader.text(key_length, MAX_KEY_BYTES)
    if value_length == DELETED:
        return key, None
    return key, reader.raw(value_length)


def read_change(reader: Reader) -> Change:
    """Read what ``encode_change`` writes."""
    start = reader.offset
    change = Change(read_position(reader), reader.records(read_write))
    if reader.offset - start > MAX_CHANGE_BYTES:
        raise CodecError(Reason.SCHEMA, "a change is too long")
    return change


def read_accepted_change(reader: Reader) -> AcceptedChange:
    """Read what ``encode_accepted_change`` writes."""
    return AcceptedChange(reader.number(U32), read_change(reader))
