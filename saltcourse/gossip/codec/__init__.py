"""Bytes of a datagram, both ways. Any bytes give one message or one ``CodecError``.

    datagram        prefix, authentication and header; ``Codec``
    schema          one type of message
    membership, configuration, quorum   the types of messages

The records inside messages are encoded by ``saltcourse.gossip.fields``.
"""

from __future__ import annotations

from saltcourse.gossip.codec.configuration import change_size, decode_configuration, encode_configuration
from saltcourse.gossip.codec.datagram import HEADER_BYTES, SCHEMA_BY_TYPE, SCHEMAS, Codec
from saltcourse.gossip.codec.membership import update_size
from saltcourse.gossip.errors import CodecError, EncodeError, Reason

__all__ = [
    "HEADER_BYTES",
    "SCHEMAS",
    "SCHEMA_BY_TYPE",
    "Codec",
    "CodecError",
    "EncodeError",
    "Reason",
    "change_size",
    "decode_configuration",
    "encode_configuration",
    "update_size",
]
