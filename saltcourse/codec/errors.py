"""Errors of the decoders. The input comes from other programs, so each text says what is invalid in it."""

from __future__ import annotations


class DecodeError(Exception):
    """The input does not have the expected format; the text says what is invalid."""


class ProtocolError(DecodeError):
    """A client or backend sent a line that violates the line protocol."""


class HttpResponseError(DecodeError):
    """Discovery's HTTP response is invalid, incomplete or too large."""


class EndpointListError(DecodeError):
    """The endpoint list does not have the expected format."""


class AddressError(DecodeError, ValueError):
    """An address does not have the form ``host:port``."""


class InvalidObjectError(DecodeError):
    """An object parsed from JSON has a missing or invalid field; the text names the field."""
