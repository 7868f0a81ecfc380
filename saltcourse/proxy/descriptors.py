"""The limit on file descriptors, and how it is divided between connections and the process itself."""

from __future__ import annotations

import sys

from saltcourse.proxy.stream import SocketStream

OWN_DESCRIPTORS = 24  # of this process: discovery calls, event loop, health checks and interpreter


class DescriptorLimit:
    """The configured limit (``limits.sockets``), minus the descriptors that the process itself needs.

    ``within_memory`` is the number of descriptors of connections that the memory limit has room for, if it is
    known.
    """

    def __init__(self, limit: int, within_memory: int = sys.maxsize) -> None:
        self.limit = limit
        self.within_memory = within_memory

    @property
    def for_connections(self) -> int:
        """The descriptors that client and backend connections may use in total."""
        return min(self.limit - OWN_DESCRIPTORS, self.within_memory)

    def can_accept(self) -> bool:
        """Return whether another client connection may be accepted."""
        return SocketStream.open_count < self.for_connections

    def can_serve(self, descriptors: int) -> bool:
        """Return whether a backend connection is possible in addition to ``descriptors`` that are needed."""
        return descriptors + 1 <= self.for_connections
