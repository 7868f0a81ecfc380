"""Binary encoding of the messages that distribute changes, and of configurations in snapshots."""

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
    """Return the encoded size of a change in bytes. Raise ``EncodeError`` if it can't be encoded."""
    return len(encode_change(change))


# ---- messages ---------------------------------------------------------------------------------------


def _encode_fetch(message: Fetch) -> bytes:
    return encode_position(message.after)


def _read_fetch(reader: Reader) -> Fetch:
    return Fetch(read_position(reader))


def _encode_changes(message: Changes) -> bytes:
    return encode_list(message.changes, encode_change)


def _read_changes(reader: Reader) -> Changes:
    return Changes(reader.read_list(read_change))


def _encode_snapshot_fetch(message: SnapshotFetch) -> bytes:
    return encode_position(message.position) + U32.pack(message.offset)


def _read_snapshot_fetch(reader: Reader) -> SnapshotFetch:
    position = read_position(reader)
    offset = reader.read_number(U32)
    if offset > MAX_CONFIGURATION_BYTES:
        raise CodecError(Reason.SCHEMA, f"snapshot offset {offset} exceeds {MAX_CONFIGURATION_BYTES}")
    return SnapshotFetch(position, offset)


def _encode_snapshot_part(message: SnapshotPart) -> bytes:
    fixed = SNAPSHOT_PART.pack(message.size, message.digest, message.offset, len(message.data))
    return encode_position(message.position) + fixed + message.data


def _read_snapshot_part(reader: Reader) -> SnapshotPart:
    position = read_position(reader)
    size, digest, offset, length = reader.unpack(SNAPSHOT_PART)
    if size > MAX_CONFIGURATION_BYTES or offset + length > size:
        raise CodecError(Reason.SCHEMA, f"snapshot of {size} bytes: part of {length} bytes at {offset}")
    return SnapshotPart(position, size, digest, offset, reader.read_bytes(length))


CONFIGURATION_SCHEMAS: tuple[Schema[Any], ...] = (
    Schema(16, Fetch, _encode_fetch, _read_fetch),
    Schema(17, Changes, _encode_changes, _read_changes),
    Schema(18, SnapshotFetch, _encode_snapshot_fetch, _read_snapshot_fetch),
    Schema(19, SnapshotPart, _encode_snapshot_part, _read_snapshot_part),
)

# ---- snapshots --------------------------------------------------------------------------------------


def encode_configuration(items: Iterable[tuple[str, bytes]]) -> bytes:
    """Encode a configuration; the order of ``items`` does not matter.

    Raises ``EncodeError`` if a key, a value or the configuration is too large.
    """
    parts = [_encode_item(key, value) for key, value in sorted(items)]
    data = b"".join(parts)
    if len(data) > MAX_CONFIGURATION_BYTES:
        raise EncodeError(f"configuration of {len(data)} bytes; the limit is {MAX_CONFIGURATION_BYTES}")
    return data


def _encode_item(name: str, value: bytes) -> bytes:
    key = encode_text(name, MAX_KEY_BYTES)
    if len(value) > MAX_VALUE_BYTES:
        raise EncodeError(f"key {name!r}: value of {len(value)} bytes; the limit is {MAX_VALUE_BYTES}")
    return CONFIGURATION_ITEM.pack(len(key), len(value)) + key + value


def decode_configuration(data: bytes) -> dict[str, bytes]:
    """Decode a configuration.

    Raises ``CodecError`` for all bytes that ``encode_configuration`` would not produce.
    """
    if len(data) > MAX_CONFIGURATION_BYTES:
        raise CodecError(Reason.TOO_LONG)
    reader = Reader(data)
    configuration: dict[str, bytes] = {}
    last = ""
    while reader.offset < len(data):
        key_length, value_length = reader.unpack(CONFIGURATION_ITEM)
        key = reader.read_text(key_length, MAX_KEY_BYTES)
        if key <= last or value_length > MAX_VALUE_BYTES:
            raise CodecError(
                Reason.SCHEMA, f"key {key!r} not after {last!r}, or its value too long: {value_length}"
            )
        configuration[key] = reader.read_bytes(value_length)
        last = key
    return configuration
