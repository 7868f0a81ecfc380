"""Binary form of the messages that bring changes to members, and of a whole configuration in a snapshot."""

from __future__ import annotations

from collections.abc import Iterable
from struct import Struct
from typing import Any

from saltcourse.gossip.codec.schema import Schema
from saltcourse.gossip.errors import CodecError, EncodeError, Reason
from saltcourse.gossip.fields import (
    MAX_VALUE_BYTES,
    U32,
    Reader,
    encode_change,
    encode_list,
    encode_position,
    encode_text,
    read_change,
    read_position,
)
from saltcourse.gossip.messages import (
    MAX_CONFIGURATION_BYTES,
    MAX_KEY_BYTES,
    Change,
    Changes,
    Fetch,
    SnapshotFetch,
    SnapshotPart,
)

SNAPSHOT_PART = Struct("!IQIH")  # size, digest, offset, length of the data
CONFIGURATION_ITEM = Struct("!BH")  # lengths of key and value


def change_size(change: Change) -> int:
    """Encoded bytes of one change. ``EncodeError`` where it has no binary form or is too long."""
    return len(encode_change(change))


# ---- messages ---------------------------------------------------------------------------------------


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


CONFIGURATION_SCHEMAS: tuple[Schema[Any], ...] = (
    Schema(16, Fetch, _encode_fetch, _read_fetch),
    Schema(17, Changes, _encode_changes, _read_changes),
    Schema(18, SnapshotFetch, _encode_snapshot_fetch, _read_snapshot_fetch),
    Schema(19, SnapshotPart, _encode_snapshot_part, _read_snapshot_part),
)

# ---- a whole configuration --------------------------------------------------------------------------


def encode_configuration(items: Iterable[tuple[str, bytes]]) -> bytes:
    """Return the same bytes for the same items in any order. ``EncodeError`` where they are too large."""
    parts = [_encode_item(key, value) for key, value in sorted(items)]
    data = b"".join(parts)
    if len(data) > MAX_CONFIGURATION_BYTES:
        raise EncodeError(f"a configuration of {len(data)} bytes; at most {MAX_CONFIGURATION_BYTES}")
    return data


def _encode_item(name: str, value: bytes) -> bytes:
    key = encode_text(name, MAX_KEY_BYTES)
    if len(value) > MAX_VALUE_BYTES:
        raise EncodeError(f"a value of {len(value)} bytes; at most {MAX_VALUE_BYTES}")
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
