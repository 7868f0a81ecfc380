"""One type of message: its code on the wire, and how it is encoded and read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from saltcourse.gossip.errors import CodecError, Reason
from saltcourse.gossip.fields import Reader

MessageType = TypeVar("MessageType")


@dataclass(frozen=True, slots=True)
class Schema(Generic[MessageType]):
    """One type of message, and its binary form.

    ``encode`` raises ``EncodeError``, or ``struct.error`` where a number does not fit; ``read`` raises
    ``CodecError``.
    """

    code: int
    type: type[MessageType]
    encode: Callable[[MessageType], bytes]
    read: Callable[[Reader], MessageType]


def read_flag(value: int) -> bool:
    """Return a byte as a truth value. ``CodecError`` for all but 0 and 1: a message has one form only."""
    if value > 1:
        raise CodecError(Reason.SCHEMA, f"a flag of {value}")
    return value == 1
