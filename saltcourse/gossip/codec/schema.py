"""Description of a message type: its code on the wire, its encoder and its decoder."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from saltcourse.gossip.errors import CodecError, Reason
from saltcourse.gossip.fields import Reader

MessageType = TypeVar("MessageType")


@dataclass(frozen=True, slots=True)
class Schema(Generic[MessageType]):
    """A message type and its binary encoding.

    ``encode`` raises ``EncodeError``, or ``struct.error`` if a number is out of range; ``read`` raises
    ``CodecError``.
    """

    code: int
    type: type[MessageType]
    encode: Callable[[MessageType], bytes]
    read: Callable[[Reader], MessageType]


def read_flag(value: int) -> bool:
    """Return the boolean encoded as 0 or 1.

    Raises ``CodecError`` for other values, so that each message has exactly one encoding.
    """
    if value > 1:
        raise CodecError(Reason.SCHEMA, f"flag of {value}, expected 0 or 1")
    return value == 1
