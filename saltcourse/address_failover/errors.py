"""Errors of this package; the texts give what was found or what was expected."""

from __future__ import annotations


class AddressFailoverError(Exception):
    """Base of all errors that this package raises."""


class InvalidTimingError(AddressFailoverError):
    """An ``ElectionTiming`` that the election cannot run with."""

    def __init__(self, field: str, expected: str) -> None:
        super().__init__(f"{field}: {expected}")
        self.field = field  # of ElectionTiming
        self.expected = expected


class InvalidVotersError(AddressFailoverError):
    """A set of voters that cannot elect a holder, or that lacks this member."""


class InvalidKeysError(AddressFailoverError):
    """Keys that cannot authenticate datagrams."""


class InvalidPeeringError(AddressFailoverError):
    """A BGP peering that RFC 4271 does not allow."""


class VoteStoreError(AddressFailoverError):
    """The vote file cannot be used; the text names the file and the reason."""
