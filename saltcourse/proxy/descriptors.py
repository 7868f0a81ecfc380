"""The descriptors that this process may open, and who may have them."""

from __future__ import annotations

from saltcourse.proxy.stream import SocketStream

OWN_DESCRIPTORS = 24  # for the endpoint list, the loop, health checks and what the interpreter holds


class DescriptorLimit:
    """The platform's limit (``limits.sockets`` of the configuration), less what the program itself needs."""

    def __init__(self, limit: int) -> None:
        self.limit = limit

    @property
    def for_connections(self) -> int:
        """Descriptors that clients and their backends may have together."""
        return self.limit - OWN_DESCRIPTORS

    def can_accept(self) -> bool:
        """Whether another client connection may be accepted."""
        return SocketStream.open_count < self.for_connections

    def can_serve(self, descriptors: int) -> bool:
        """Whether one more is left beside these ``descriptors``, for the backend of a client."""
        return descriptors + 1 <= self.for_connections
