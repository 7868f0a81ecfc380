"""Bytes of a datagram, both ways. Any bytes give one message or one ``CodecError``.

    magic, version | tag | header, message type | message

The tag is a truncated HMAC-SHA256 with the fleet's key over all that follows it. What is cheap to find out
is checked first, and nothing of the message is read before the tag was found to be right.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from struct import Struct
from struct import error as StructError
from typing import Any, Generic, TypeVar

from saltcourse.gossip.fields import (
    MAX_VALUE_BYTES,
    MEMBER_RECORD,
    STATUS_UPDATE,
    U8,
    U32,
    U64,
    ZONE_SUM,
    CodecError,
    Reader,
    Reason,
    encode_accepted_change,
    encode_address,
    encode_change,
    encode_list,
    encode_member_record,
    encode_position,
    encode_text,
    encode_update,
    read_accepted_change,
    read_change,
    read_member_record,
    read_position,
    read_update,
)
from saltcourse.gossip.messages import (
    MAX_CONFIGURATION_BYTES,
    MAX_DATAGRAM_BYTES,
    MAX_KEY_BYTES,
    MAX_LABEL_BYTES,
    SYNC_BUCKETS,
    Accepted,
    Ack,
    Change,
    Changes,
    Fetch,
    Gossip,
    Header,
    Heartbeat,
    LeaseGrant,
    LeaseRequest,
    MemberRecord,
    Message,
    Nack,
    Ping,
    PingRequest,
    Position,
    Prepare,
    Promise,
    Propose,
    Rejected,
    SnapshotFetch,
    SnapshotPart,
    StatusUpdate,
    SyncReply,
    SyncRequest,
    Tally,
    Update,
)

__all__ = [
    "HEADER_BYTES",
    "Codec",
    "CodecError",
    "Reason",
    "change_size",
    "decode_configuration",
    "encode_configuration",
    "update_size",
]

MAGIC = b"SG"
VERSION = 1
TAG_BYTES = 16
HASH = "sha256"

PREFIX = MAGIC + bytes((VERSION,))
TAG_END = len(PREFIX) + TAG_BYTES
# sender, incarnation, process, position, heartbeat, message type
HEADER = Struct("!QIIIIIIB")
HEADER_BYTES = TAG_END + HEADER.size  # of every datagram before the message

PROBE = Struct("!IQ")  # sequence, target
SYNC_REQUEST = Struct("!QB")  # cursor, count of digests
TALLY = Struct("!IIB")  # members, connections, length of the zone
SNAPSHOT_PART = Struct("!IQIH")  # size, digest, offset, length of the data
PROMISE = Struct("!IIB")  # epoch, last accepted version, whether an accepted change follows
LEASE = Struct("!II")  # epoch, count
CONFIGURATION_ITEM = Struct("!BH")  # lengths of key and value

MessageType = TypeVar("MessageType")


@dataclass(frozen=True, slots=True)
class Schema(Generic[MessageType]):
    """One type of message, and its binary form."""

    code: int
    type: type[MessageType]
    encode: Callable[[MessageType], bytes]
    read: Callable[[Reader], MessageType]


# ---- membership -------------------------------------------------------------------------------------


def _encode_updates(updates: tuple[Update, ...]) -> bytes:
    return encode_list(updates, encode_update)


def _read_updates(reader: Reader) -> tuple[Update, ...]:
    return reader.records(read_update)


def _encode_ping(message: Ping) -> bytes:
    return PROBE.pack(message.sequence, message.target) + _encode_updates(message.updates)


def _read_ping(reader: Reader) -> Ping:
    sequence, target = reader.unpack(PROBE)
    return Ping(sequence, target, _read_updates(reader))


def _encode_ping_request(message: PingRequest) -> bytes:
    return PROBE.pack(message.sequence, message.target) + _encode_updates(message.updates)


def _read_ping_request(reader: Reader) -> PingRequest:
    sequence, target = reader.unpack(PROBE)
    return PingRequest(sequence, target, _read_updates(reader))


def _encode_ack(message: Ack) -> bytes:
    return U32.pack(message.sequence) + _encode_updates(message.updates)


def _read_ack(reader: Reader) -> Ack:
    return Ack(reader.number(U32), _read_updates(reader))


def _encode_nack(message: Nack) -> bytes:
    return U32.pack(message.sequence)


def _read_nack(reader: Reader) -> Nack:
    return Nack(reader.number(U32))


def _encode_gossip(message: Gossip) -> bytes:
    return _encode_updates(message.updates)


def _read_gossip(reader: Reader) -> Gossip:
    return Gossip(_read_updates(reader))


def _encode_sync_request(message: SyncRequest) -> bytes:
    count = len(message.digests)
    if count not in (0, SYNC_BUCKETS):
        raise ValueError(f"{count} digests")
    return SYNC_REQUEST.pack(message.cursor, count) + b"".join(map(U64.pack, message.digests))


def _read_sync_request(reader: Reader) -> SyncRequest:
    cursor, count = reader.unpack(SYNC_REQUEST)
    if count not in (0, SYNC_BUCKETS):
        raise CodecError(Reason.SCHEMA, f"{count} digests")
    return SyncRequest(cursor, tuple([reader.number(U64) for _ in range(count)]))


def _encode_sync_reply(message: SyncReply) -> bytes:
    return U8.pack(message.more) + encode_list(message.records, encode_member_record)


def _read_sync_reply(reader: Reader) -> SyncReply:
    more = _read_flag(reader.number(U8))
    return SyncReply(reader.records(read_member_record), more)


def _encode_tally(message: Tally) -> bytes:
    zone = encode_text(message.zone, MAX_LABEL_BYTES)
    return TALLY.pack(message.members, message.connections, len(zone)) + zone


def _read_tally(reader: Reader) -> Tally:
    members, connections, length = reader.unpack(TALLY)
    return Tally(reader.text(length, MAX_LABEL_BYTES), members, connections)


def _read_flag(value: int) -> bool:
    if value > 1:
        raise CodecError(Reason.SCHEMA, f"a flag of {value}")
    return value == 1


# ---- configuration ----------------------------------------------------------------------------------


def _encode_fetch(message: Fetch) -> bytes:
    return encode_position(message.after)


def _read_fetch(reader: Reader) -> Fetch:
    return Fetch(read_position(reader))


def _encode_changes(message: Changes) -> bytes:
    return encode_list(message.changes, encode_change)


def _read_changes(reader: Reader) -> Changes:
    return Changes(reader.records(read_change))


def _encode_snapshot_fetch(message: SnapshotFetch) -> bytes:
    return encode_position(message.position) + U32.pack(message.offset)


def _read_snapshot_fetch(reader: Reader) -> SnapshotFetch:
    position = read_position(reader)
    offset = reader.number(U32)
    if offset > MAX_CONFIGURATION_BYTES:
        raise CodecError(Reason.SCHEMA, f"a snapshot's offset of {offset}")
    return SnapshotFetch(position, offset)


def _encode_snapshot_part(message: SnapshotPart) -> bytes:
    fixed = SNAPSHOT_PART.pack(message.size, message.digest, message.offset, len(message.data))
    return encode_position(message.position) + fixed + message.data


def _read_snapshot_part(reader: Reader) -> SnapshotPart:
    position = read_position(reader)
    size, digest, offset, length = reader.unpack(SNAPSHOT_PART)
    if size > MAX_CONFIGURATION_BYTES or offset + length > size:
        raise CodecError(Reason.SCHEMA, f"{length} bytes at {offset} of a snapshot of {size}")
    return SnapshotPart(position, size, digest, offset, reader.raw(length))


# ---- agreement --------------------------------------------------------------------------------------


def _encode_prepare(message: Prepare) -> bytes:
    return U32.pack(message.epoch)


def _read_prepare(reader: Reader) -> Prepare:
    return Prepare(reader.number(U32))


def _encode_promise(message: Promise) -> bytes:
    accepted = b"" if message.accepted is None else encode_accepted_change(message.accepted)
    fixed = PROMISE.pack(message.epoch, message.last_accepted, message.accepted is not None)
    return encode_position(message.committed) + fixed + accepted


def _read_promise(reader: Reader) -> Promise:
    committed = read_position(reader)
    epoch, last_accepted, flag = reader.unpack(PROMISE)
    accepted = read_accepted_change(reader) if _read_flag(flag) else None
    return Promise(epoch, committed, last_accepted, accepted)


def _encode_propose(message: Propose) -> bytes:
    return U32.pack(message.epoch) + encode_change(message.change)


def _read_propose(reader: Reader) -> Propose:
    return Propose(reader.number(U32), read_change(reader))


def _encode_accepted(message: Accepted) -> bytes:
    return U32.pack(message.epoch) + encode_position(message.position)


def _read_accepted(reader: Reader) -> Accepted:
    return Accepted(reader.number(U32), read_position(reader))


def _encode_lease_request(message: LeaseRequest) -> bytes:
    return LEASE.pack(message.epoch, message.count)


def _read_lease_request(reader: Reader) -> LeaseRequest:
    epoch, count = reader.unpack(LEASE)
    return LeaseRequest(epoch, count)


def _encode_lease_grant(message: LeaseGrant) -> bytes:
    return LEASE.pack(message.epoch, message.count)


def _read_lease_grant(reader: Reader) -> LeaseGrant:
    epoch, count = reader.unpack(LEASE)
    return LeaseGrant(epoch, count)


def _encode_rejected(message: Rejected) -> bytes:
    return U32.pack(message.epoch)


def _read_rejected(reader: Reader) -> Rejected:
    return Rejected(reader.number(U32))


SCHEMAS: tuple[Schema[Any], ...] = (
    Schema(1, Ping, _encode_ping, _read_ping),
    Schema(2, Ack, _encode_ack, _read_ack),
    Schema(3, PingRequest, _encode_ping_request, _read_ping_request),
    Schema(4, Nack, _encode_nack, _read_nack),
    Schema(5, Gossip, _encode_gossip, _read_gossip),
    Schema(6, SyncRequest, _encode_sync_request, _read_sync_request),
    Schema(7, SyncReply, _encode_sync_reply, _read_sync_reply),
    Schema(8, Tally, _encode_tally, _read_tally),
    Schema(16, Fetch, _encode_fetch, _read_fetch),
    Schema(17, Changes, _encode_changes, _read_changes),
    Schema(18, SnapshotFetch, _encode_snapshot_fetch, _read_snapshot_fetch),
    Schema(19, SnapshotPart, _encode_snapshot_part, _read_snapshot_part),
    Schema(32, Prepare, _encode_prepare, _read_prepare),
    Schema(33, Promise, _encode_promise, _read_promise),
    Schema(34, Propose, _encode_propose, _read_propose),
    Schema(35, Accepted, _encode_accepted, _read_accepted),
    Schema(36, LeaseRequest, _encode_lease_request, _read_lease_request),
    Schema(37, LeaseGrant, _encode_lease_grant, _read_lease_grant),
    Schema(38, Rejected, _encode_rejected, _read_rejected),
)
SCHEMA_BY_TYPE: dict[type[Any], Schema[Any]] = {schema.type: schema for schema in SCHEMAS}
SCHEMA_BY_CODE: dict[int, Schema[Any]] = {schema.code: schema for schema in SCHEMAS}


class Codec:
    """Bytes of datagrams under one key."""

    def __init__(self, key: bytes) -> None:
        self._key = key

    def encode(self, header: Header, message: Message) -> bytes:
        """``ValueError`` where the message has no binary form or is too long: the caller's fault."""
        schema = SCHEMA_BY_TYPE[type(message)]
        position = header.position
        heartbeat = header.heartbeat
        try:
            fixed = HEADER.pack(
                header.sender,
                header.incarnation,
                header.process,
                position.epoch,
                position.version,
                heartbeat.epoch,
                heartbeat.count,
                schema.code,
            )
            signed = fixed + schema.encode(message)
        except StructError as error:
            raise ValueError(f"a number does not fit: {error}") from None
        size = TAG_END + len(signed)
        if size > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a datagram of {size} bytes: {type(message).__name__}")
        return PREFIX + self._tag(signed) + signed

    def decode(self, datagram: bytes) -> tuple[Header, Message]:
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise CodecError(Reason.TOO_LONG)
        if len(datagram) < HEADER_BYTES or not datagram.startswith(MAGIC):
            raise CodecError(Reason.FORM)
        if not datagram.startswith(PREFIX):
            raise CodecError(Reason.VERSION)
        tag = self._tag(datagram[TAG_END:])
        if not hmac.compare_digest(tag, datagram[len(PREFIX) : TAG_END]):
            raise CodecError(Reason.AUTHENTICATION)
        return self._read(datagram)

    def _read(self, datagram: bytes) -> tuple[Header, Message]:
        reader = Reader(datagram, TAG_END)
        sender, incarnation, process, epoch, version, heartbeat_epoch, count, code = reader.unpack(HEADER)
        schema = SCHEMA_BY_CODE.get(code)
        if schema is None:
            raise CodecError(Reason.SCHEMA, f"a message of type {code}")
        message: Message = schema.read(reader)
        reader.end()
        position = Position(epoch, version)
        heartbeat = Heartbeat(heartbeat_epoch, count)
        return Header(sender, incarnation, process, position, heartbeat), message

    def _tag(self, signed: bytes) -> bytes:
        return hmac.digest(self._key, signed, HASH)[:TAG_BYTES]


# ---- sizes, to fill a datagram ----------------------------------------------------------------------


def update_size(update: Update) -> int:
    """Encoded bytes of one update."""
    if isinstance(update, StatusUpdate):
        return STATUS_UPDATE.size
    if isinstance(update, MemberRecord):
        texts = len(update.name.encode()) + len(update.region.encode()) + len(update.zone.encode())
        return MEMBER_RECORD.size + texts + len(encode_address(update.address[0]))
    return ZONE_SUM.size + len(update.zone.encode())


def change_size(change: Change) -> int:
    """Encoded bytes of one change. ``ValueError`` where it has no binary form or is too long."""
    return len(encode_change(change))


# ---- a whole configuration --------------------------------------------------------------------------


def encode_configuration(items: Iterable[tuple[str, bytes]]) -> bytes:
    """The same bytes for the same keys and values in any order."""
    parts = [_encode_item(key, value) for key, value in sorted(items)]
    data = b"".join(parts)
    if len(data) > MAX_CONFIGURATION_BYTES:
        raise ValueError(f"a configuration of {len(data)} bytes")
    return data


def _encode_item(name: str, value: bytes) -> bytes:
    key = encode_text(name, MAX_KEY_BYTES)
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError(f"a value of {len(value)} bytes")
    return CONFIGURATION_ITEM.pack(len(key), len(value)) + key + value


def decode_configuration(data: bytes) -> dict[str, bytes]:
    """``CodecError`` for all bytes but those that ``encode_configuration`` makes."""
    if len(data) > MAX_CONFIGURATION_BYTES:
        raise CodecError(Reason.TOO_LONG)
    reader = Reader(data)
    configuration: dict[str, bytes] = {}
    last = ""
    while reader.offset < len(data):
        key_length, value_length = reader.unpack(CONFIGURATION_ITEM)
        key = reader.text(key_length, MAX_KEY_BYTES)
        if key <= last or value_length > MAX_VALUE_BYTES:
            raise CodecError(Reason.SCHEMA, "keys out of order, or a value too long")
        configuration[key] = reader.raw(value_length)
        last = key
    return configuration
