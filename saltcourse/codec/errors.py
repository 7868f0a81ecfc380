"""Errors of the decoders: the bytes are another program's, so each says what was wrong with them."""

from __future__ import annotations


class DecodeError(Exception):
    """Received bytes do not have the promised form; the text says what is wrong."""


class ProtocolError(DecodeError):
    """A client or backend sent a line that the line protocol does not allow."""


class HttpResponseError(DecodeError):
    """Discovery's HTTP response cannot be used."""


class EndpointListError(DecodeError):
    """The endpoint list is not what discovery promises."""


class AddressError(DecodeError, ValueError):
    """An address is not of the form ``host:port``."""


class InvalidObjectError(DecodeError):
    """An object parsed from JSON does not have the promised fields; the text names the one at fault."""
