"""Exceptions raised by this package. Each message states the invalid value or the expected one."""

from __future__ import annotations


class AddressFailoverError(Exception):
    """Base class of all errors that this package raises."""


class InvalidTimingError(AddressFailoverError):
    """A field of an ``ElectionTiming`` is out of range.

    ``field`` is its name, ``expected`` describes the allowed range.
    """

    def __init__(self, field: str, expected: str, value: float) -> None:
        super().__init__(f"{field}: expected {expected}, got {value}")
        self.field = field
        self.expected = expected


class InvalidVotersError(AddressFailoverError):
    """The configured voters cannot elect a holder, or do not include this member."""


class InvalidKeysError(AddressFailoverError):
    """The keys cannot be used to authenticate datagrams: wrong number, too short or duplicate."""


class InvalidPeeringError(AddressFailoverError):
    """A BGP peering has a parameter that RFC 4271 does not allow."""


class VoteStoreError(AddressFailoverError):
    """The vote file cannot be used. The message names the file and the reason."""
