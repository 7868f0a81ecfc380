"""Errors of the gossip package. Each says what was wrong and what was expected.

GossipError
    CodecError              bytes that are no message
    EncodeError             a record without a binary form; also a ValueError
    InvalidChangeError      an operator's change that can't be published
        ChangeTooLargeError
    StoreError              a voter's file can't be used, or its state not stored
"""

from __future__ import annotations

from enum import Enum, auto


class GossipError(Exception):
    """Base of all errors that the package raises for its callers to handle."""


class Reason(Enum):
    """Why a datagram is rejected, in the order in which it is found out."""

    TOO_LONG = auto()  # more than ``MAX_DATAGRAM_BYTES``
    FORM = auto()  # too short, or not of this protocol
    VERSION = auto()  # of another version of this protocol
    AUTHENTICATION = auto()  # made without the key, or changed on its way
    SCHEMA = auto()  # made with the key, and yet not a message


class CodecError(GossipError):
    """Bytes that are no message."""

    def __init__(self, reason: Reason, detail: str = "") -> None:
        super().__init__(detail or reason.name.lower())
        self.reason = reason


class EncodeError(GossipError, ValueError):
    """A record that has no binary form or is too long: the caller's fault."""


class InvalidChangeError(GossipError):
    """An operator's change that can't be published; the text names what is wrong."""


class ChangeTooLargeError(InvalidChangeError):
    """More than ``MAX_CHANGE_BYTES`` or ``MAX_LIST_LENGTH`` keys."""


class StoreError(GossipError):
    """A voter's file can't be used, or its state not stored; the text names the file and says why."""
