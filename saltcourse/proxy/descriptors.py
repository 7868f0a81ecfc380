"""The limit on file descriptors, and how it is divided between connections and the process itself."""

from __future__ import annotations

from saltcourse.proxy.stream import SocketStream

OWN_DESCRIPTORS = 24  # of this process: discovery calls, event loop, health checks and interpreter


class DescriptorLimit:
    """The configured limit (``limits.sockets``), minus the descriptors that the process itself needs."""

    def __init__(self, limit: int) -> None:
        self.limit = limit

    @property
    def for_connections(self) -> int:
        """The descriptors that client and backend connections may use in total."""
        return self.limit - OWN_DESCRIPTORS

    def can_accept(self) -> bool:
        """Return whether another client connection may be accepted."""
        return SocketStream.open_count < self.for_connections

    def can_serve(self, descriptors: int) -> bool:
        """Return whether a backend connection is possible in addition to ``descriptors`` that are needed."""
        return descriptors + 1 <= self.for_connections
