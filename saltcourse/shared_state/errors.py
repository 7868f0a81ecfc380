"""Exceptions raised by this package. Each message states what was found."""

from __future__ import annotations


class SharedStateError(Exception):
    """Base class of all errors that this package raises."""


class MalformedMessageError(SharedStateError):
    """The text of a peer's datagram is not a message of this protocol version."""
