"""Encoding and authentication of datagrams.

    magic, version | tag | header, message type | message

The tag is a truncated HMAC-SHA256, with the fleet's key, of everything after the tag. Cheap checks come
first; header and message are not parsed before the tag has been verified.
"""

from __future__ import annotations

import hmac
from struct import Struct
from struct import error as struct_error
from typing import Any

from saltcourse.gossip.codec.configuration import CONFIGURATION_SCHEMAS
from saltcourse.gossip.codec.membership import MEMBERSHIP_SCHEMAS
from saltcourse.gossip.codec.quorum import QUORUM_SCHEMAS
from saltcourse.gossip.codec.schema import Schema
from saltcourse.gossip.errors import CodecError, EncodeError, Reason
from saltcourse.gossip.fields import Reader
from saltcourse.gossip.messages import MAX_DATAGRAM_BYTES, Header, Heartbeat, Message, Position

MAGIC = b"SG"
VERSION = 1
TAG_BYTES = 16
HASH = "sha256"

PREFIX = MAGIC + bytes((VERSION,))
TAG_END = len(PREFIX) + TAG_BYTES
# sender, incarnation, process id, position, heartbeat, message type
HEADER = Struct("!QIIIIIIB")
HEADER_BYTES = TAG_END + HEADER.size  # bytes before the message

SCHEMAS: tuple[Schema[Any], ...] = (*MEMBERSHIP_SCHEMAS, *CONFIGURATION_SCHEMAS, *QUORUM_SCHEMAS)
SCHEMA_BY_TYPE: dict[type[Any], Schema[Any]] = {schema.type: schema for schema in SCHEMAS}
SCHEMA_BY_CODE: dict[int, Schema[Any]] = {schema.code: schema for schema in SCHEMAS}


class Codec:
    """Encodes and decodes datagrams authenticated with ``key``."""

    def __init__(self, key: bytes) -> None:
        self._key = key

    def encode(self, header: Header, message: Message) -> bytes:
        """Return the datagram. Raise ``EncodeError`` if the message is too long or can't be encoded."""
        schema = SCHEMA_BY_TYPE[type(message)]
        position = header.position
        heartbeat = header.heartbeat
        try:
            fixed = HEADER.pack(
                header.sender,
                header.incarnation,
                header.process_id,
                position.epoch,
                position.version,
                heartbeat.epoch,
                heartbeat.count,
                schema.code,
            )
            signed = fixed + schema.encode(message)
        except struct_error as error:
            raise EncodeError(f"{type(message).__name__}: number out of range: {error}") from None
        size = TAG_END + len(signed)
        if size > MAX_DATAGRAM_BYTES:
            raise EncodeError(f"{type(message).__name__}: {size} bytes; the limit is {MAX_DATAGRAM_BYTES}")
        return PREFIX + self._tag(signed) + signed

    def decode(self, datagram: bytes) -> tuple[Header, Message]:
        """Authenticate and parse a datagram. Raise ``CodecError`` if it is rejected."""
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
        sender, incarnation, process_id, epoch, version, heartbeat_epoch, count, code = reader.unpack(HEADER)
        schema = SCHEMA_BY_CODE.get(code)
        if schema is None:
            raise CodecError(Reason.SCHEMA, f"unknown message type {code}")
        message: Message = schema.read(reader)
        reader.expect_end()
        position = Position(epoch, version)
        heartbeat = Heartbeat(heartbeat_epoch, count)
        return Header(sender, incarnation, process_id, position, heartbeat), message

    def _tag(self, signed: bytes) -> bytes:
        return hmac.digest(self._key, signed, HASH)[:TAG_BYTES]
