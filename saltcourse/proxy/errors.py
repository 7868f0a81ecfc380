"""Errors of the proxy's sockets and calls."""

from __future__ import annotations


class ProxyError(Exception):
    """The base of them all."""


class ListenError(ProxyError):
    """An address or descriptor to listen on cannot be had; ``key`` is the configuration's name for it."""

    def __init__(self, key: str, where: str, error: OSError) -> None:
        super().__init__(f"'{key}': cannot listen on {where}: {error.strerror or error}")


class ConnectionLostError(ProxyError):
    """The connection broke, or was closed on our side."""


class OutOfSocketsError(ProxyError):
    """This process has no descriptor, or no memory, left for another socket."""


class AttemptAbandonedError(ProxyError):
    """Nobody waits for the attempt's answer any more: its OPEN line must not be written."""


class DiscoveryError(ProxyError):
    """A call at discovery brought no endpoint list."""


class DiscoveryCallError(DiscoveryError):
    """Discovery could not be reached, rejected the call, or answered with what is no endpoint list."""


class DiscoveryTimeoutError(DiscoveryError):
    """Discovery took the call and has not answered in time."""
