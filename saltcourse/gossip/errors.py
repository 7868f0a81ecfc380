"""Exceptions of the gossip package.

GossipError
    CodecError              the bytes are not a valid message
    EncodeError             the record can't be encoded; also a ValueError
    InvalidChangeError      the operator's change can't be published
        ChangeTooLargeError
    StoreError              the replica file can't be opened, read or written
"""

from __future__ import annotations

from enum import Enum, auto


class GossipError(Exception):
    """Base class of the exceptions that this package raises."""


class Reason(Enum):
    """Reasons to reject a datagram, in the order in which they are checked.

    The lower-case names are the suffixes of the ``dropped.*`` metrics.
    """

    TOO_LONG = auto()  # longer than ``MAX_DATAGRAM_BYTES``
    FORM = auto()  # shorter than a header, or without the protocol's magic bytes
    VERSION = auto()  # another version of the protocol
    AUTHENTICATION = auto()  # wrong authentication tag: another key, or altered in transit
    SCHEMA = auto()  # correctly authenticated, but not a valid message


class CodecError(GossipError):
    """The bytes are not a valid message; ``reason`` says which check failed."""

    def __init__(self, reason: Reason, detail: str = "") -> None:
        super().__init__(detail or reason.name.lower())
        self.reason = reason


class EncodeError(GossipError, ValueError):
    """The record is too long or has a value that can't be encoded; a programming error of the caller."""


class InvalidChangeError(GossipError):
    """The operator's change can't be published; the message names the offending key or value."""


class ChangeTooLargeError(InvalidChangeError):
    """The change has more than ``MAX_CHANGE_BYTES`` bytes or more than ``MAX_LIST_LENGTH`` keys."""


class StoreError(GossipError):
    """The replica file can't be opened, read or written; the message has its path and the cause."""
