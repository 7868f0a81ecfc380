"""Encoding and decoding of datagrams.

Decoding returns a message or raises ``CodecError``, for any input.

    datagram        ``Codec``: prefix, authentication tag and header
    schema          wire code, encoder and decoder of a message type
    membership, configuration, quorum   the message types

``saltcourse.gossip.fields`` encodes the records in messages.
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
