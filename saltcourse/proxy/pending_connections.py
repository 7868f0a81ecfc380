"""Client connections that have not sent a request yet: bounded, so that silent ones cannot shut others out.

A connection is pending from its acceptance to its OPEN line, and closing while it waits for the client's end.
When descriptors are short, the pending one that has been quiet longest is shed. A usual client sends its
request as soon as it is connected, so whoever is shed for later ones has nothing to send; one that has is
back in a moment.
"""

from __future__ import annotations

from typing import Protocol

MAX_PENDING_SHARE = 0.25  # of the descriptors
RESERVED_DESCRIPTORS = 8  # left for those who have sent a request: an answer, an attempt, a health check
MAX_CLOSING = 4  # of those shed that may wait for their client's end; the descriptors are wanted
MIN_PENDING = 4  # even when descriptors are short, so that a client always gets to send something


class PendingConnection(Protocol):
    """What is done to a pending connection when descriptors are short."""

    def shed(self) -> None:
        """Half-close it; its descriptor may come back a moment later."""

    def drop(self) -> None:
        """Close it now."""


class PendingConnections:
    """The pending connections in the order of their last activity, the one quiet longest first."""

    def __init__(self, max_descriptors: int) -> None:
        self.max_descriptors = max_descriptors
        self._pending: dict[PendingConnection, None] = {}
        self._closing: dict[PendingConnection, None] = {}  # their descriptors come back in a moment

    def __len__(self) -> int:
        """Pending connections; not those that are closing."""
        return len(self._pending)

    def touch(self, connection: PendingConnection) -> None:
        """It has just connected, or sent something that is no request (PING)."""
        self._pending.pop(connection, None)
        self._pending[connection] = None

    def mark_closing(self, connection: PendingConnection) -> None:
        """Our side of it is ended; the client's end is waited for."""
        self._pending.pop(connection, None)
        self._closing[connection] = None

    def remove(self, connection: PendingConnection) -> None:
        """It has sent its request, or is closed."""
        self._pending.pop(connection, None)
        self._closing.pop(connection, None)

    def make_room(self, open_descriptors: int) -> None:
        """Shed the oldest until one more connection fits beside the ``open_descriptors``."""
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
