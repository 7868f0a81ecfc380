"""Client connections that have not sent a request yet, limited so that idle clients cannot block others.

A connection is pending from accept to its OPEN line, and closing from our half-close to the client's close.
When descriptors run short, the pending connection with the oldest activity is shed. A normal client sends its
request as soon as it has connected, so a connection that is shed in favour of later ones most likely has
nothing to send; a client that does have a request reconnects.
"""

from __future__ import annotations

from typing import Protocol

MAX_PENDING_SHARE = 0.25  # fraction of the descriptors that pending connections may use
RESERVED_DESCRIPTORS = 8  # descriptors kept free for answers, attempts and health checks
MAX_CLOSING = 4  # shed connections that may wait for their clients; the oldest above that is closed
MIN_PENDING = 4  # allowed even when descriptors run short, so that new clients can always send a request


class PendingConnection(Protocol):
    """The interface of a pending connection that is used when descriptors run short."""

    def shed(self) -> None:
        """Half-close the connection; its descriptor is freed shortly afterwards."""

    def drop(self) -> None:
        """Close the connection immediately."""


class PendingConnections:
    """The pending connections in the order of their last activity, oldest first.

    ``max_descriptors`` is the number of descriptors that client and backend connections may use in total.
    """

    def __init__(self, max_descriptors: int) -> None:
        self.max_descriptors = max_descriptors
        self._pending: dict[PendingConnection, None] = {}
        self._closing: dict[PendingConnection, None] = {}  # half-closed; their descriptors are freed shortly

    def __len__(self) -> int:
        """Return the number of pending connections, without those that are closing."""
        return len(self._pending)

    def touch(self, connection: PendingConnection) -> None:
        """Record activity: the connection was accepted, or its client sent a PING."""
        self._pending.pop(connection, None)
        self._pending[connection] = None

    def mark_closing(self, connection: PendingConnection) -> None:
        """Record that our side is half-closed, and that the connection waits for the client's close."""
        self._pending.pop(connection, None)
        self._closing[connection] = None

    def remove(self, connection: PendingConnection) -> None:
        """Remove a connection that has sent its request or is closed."""
        self._pending.pop(connection, None)
        self._closing.pop(connection, None)

    def make_room(self, open_descriptors: int) -> None:
        """Shed the oldest connections until one more can be accepted; ``open_descriptors`` are in use now."""
        others = open_descriptors - len(self) - len(self._closing)
        available = self.max_descriptors - RESERVED_DESCRIPTORS - others
        limit = max(MIN_PENDING, min(int(MAX_PENDING_SHARE * self.max_descriptors), available))
        while len(self) >= limit:
            oldest = next(iter(self._pending))
            self.mark_closing(oldest)
            oldest.shed()
            if len(self._closing) > MAX_CLOSING:
                first = next(iter(self._closing))
                self.remove(first)
                first.drop()
