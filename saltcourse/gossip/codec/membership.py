"""Binary encoding of the messages of failure detection, table sync and aggregation."""

from __future__ import annotations

from struct import Struct
from typing import Any

from saltcourse.gossip.codec.schema import Schema, read_flag
from saltcourse.gossip.errors import CodecError, EncodeError, Reason
from saltcourse.gossip.fields import (
    MEMBER_RECORD,
    STATUS_UPDATE,
    U8,
    U32,
    U64,
    ZONE_SUM,
    Reader,
    encode_address,
    encode_list,
    encode_member_record,
    encode_text,
    encode_update,
    read_member_record,
    read_update,
)
from saltcourse.gossip.messages import (
    MAX_LABEL_BYTES,
    SYNC_BUCKETS,
    Ack,
    Gossip,
    MemberId,
    MemberRecord,
    Nack,
    Ping,
    PingRequest,
    StatusUpdate,
    SyncReply,
    SyncRequest,
    Tally,
    Update,
)

PROBE = Struct("!IQ")  # sequence, target
SYNC_REQUEST = Struct("!QB")  # cursor, number of digests
TALLY = Struct("!IIB")  # members, connections, length of the zone name


def update_size(update: Update) -> int:
    """Return the encoded size of an update in bytes. Raise ``EncodeError`` if its address is invalid."""
    if isinstance(update, StatusUpdate):
        return STATUS_UPDATE.size
    if isinstance(update, MemberRecord):
        text_bytes = len(update.name.encode()) + len(update.region.encode()) + len(update.zone.encode())
        return MEMBER_RECORD.size + text_bytes + len(encode_address(update.address[0]))
    return ZONE_SUM.size + len(update.zone.encode())


def _encode_updates(updates: tuple[Update, ...]) -> bytes:
    return encode_list(updates, encode_update)


def _read_updates(reader: Reader) -> tuple[Update, ...]:
    return reader.read_list(read_update)


def _encode_probe(message: Ping | PingRequest) -> bytes:
    return PROBE.pack(message.sequence, message.target) + _encode_updates(message.updates)


def _read_probe(reader: Reader) -> tuple[int, MemberId, tuple[Update, ...]]:
    sequence, target = reader.unpack(PROBE)
    return sequence, target, _read_updates(reader)


def _read_ping(reader: Reader) -> Ping:
    return Ping(*_read_probe(reader))


def _read_ping_request(reader: Reader) -> PingRequest:
    return PingRequest(*_read_probe(reader))


def _encode_ack(message: Ack) -> bytes:
    return U32.pack(message.sequence) + _encode_updates(message.updates)


def _read_ack(reader: Reader) -> Ack:
    return Ack(reader.read_number(U32), _read_updates(reader))


def _encode_nack(message: Nack) -> bytes:
    return U32.pack(message.sequence)


def _read_nack(reader: Reader) -> Nack:
    return Nack(reader.read_number(U32))


def _encode_gossip(message: Gossip) -> bytes:
    return _encode_updates(message.updates)


def _read_gossip(reader: Reader) -> Gossip:
    return Gossip(_read_updates(reader))


def _encode_sync_request(message: SyncRequest) -> bytes:
    count = len(message.digests)
    if count not in (0, SYNC_BUCKETS):
        raise EncodeError(f"SyncRequest with {count} digests, expected 0 or {SYNC_BUCKETS}")
    return SYNC_REQUEST.pack(message.cursor, count) + b"".join(map(U64.pack, message.digests))


def _read_sync_request(reader: Reader) -> SyncRequest:
    cursor, count = reader.unpack(SYNC_REQUEST)
    if count not in (0, SYNC_BUCKETS):
        raise CodecError(Reason.SCHEMA, f"SyncRequest with {count} digests, expected 0 or {SYNC_BUCKETS}")
    return SyncRequest(cursor, tuple([reader.read_number(U64) for _ in range(count)]))


def _encode_sync_reply(message: SyncReply) -> bytes:
    return U8.pack(message.more) + encode_list(message.records, encode_member_record)


def _read_sync_reply(reader: Reader) -> SyncReply:
    more = read_flag(reader.read_number(U8))
    return SyncReply(reader.read_list(read_member_record), more)


def _encode_tally(message: Tally) -> bytes:
    zone = encode_text(message.zone, MAX_LABEL_BYTES)
    return TALLY.pack(message.members, message.connections, len(zone)) + zone


def _read_tally(reader: Reader) -> Tally:
    members, connections, length = reader.unpack(TALLY)
    return Tally(reader.read_text(length, MAX_LABEL_BYTES), members, connections)


MEMBERSHIP_SCHEMAS: tuple[Schema[Any], ...] = (
    Schema(1, Ping, _encode_probe, _read_ping),
    Schema(2, Ack, _encode_ack, _read_ack),
    Schema(3, PingRequest, _encode_probe, _read_ping_request),
    Schema(4, Nack, _encode_nack, _read_nack),
    Schema(5, Gossip, _encode_gossip, _read_gossip),
    Schema(6, SyncRequest, _encode_sync_request, _read_sync_request),
    Schema(7, SyncReply, _encode_sync_reply, _read_sync_reply),
    Schema(8, Tally, _encode_tally, _read_tally),
)
