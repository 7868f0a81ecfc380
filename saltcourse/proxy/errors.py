"""Exceptions of the proxy's sockets and calls."""

from __future__ import annotations


class ProxyError(Exception):
    """Base class of the proxy's exceptions."""


class ListenError(ProxyError):
    """Listening on an address or descriptor failed.

    ``key`` is the configuration key or environment variable that sets it.
    """

    def __init__(self, key: str, where: str, error: OSError) -> None:
        super().__init__(f"'{key}': cannot listen on {where}: {error.strerror or error}")


class ConnectionLostError(ProxyError):
    """The connection failed, or was closed on our side."""


class OutOfSocketsError(ProxyError):
    """No socket could be created, for lack of file descriptors or memory."""


class AttemptAbandonedError(ProxyError):
    """The client stopped waiting for an answer, so the attempt's OPEN line must not be written."""


class DiscoveryError(ProxyError):
    """A call to discovery returned no endpoint list."""


class DiscoveryCallError(DiscoveryError):
    """Discovery could not be reached, returned an HTTP error, or sent an invalid endpoint list."""


class DiscoveryTimeoutError(DiscoveryError):
    """Discovery did not answer within the timeout."""
