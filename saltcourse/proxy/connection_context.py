"""State and callbacks that all client connections share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from saltcourse.balancing.settings import Settings
from saltcourse.codec.endpoint_list import Address
from saltcourse.codec.errors import ProtocolError
from saltcourse.metrics import Metrics
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.messages import DispatcherMessage
from saltcourse.proxy.pending_connections import PendingConnections

PROTOCOL_ERROR_LOG_INTERVAL_SECONDS = 5.0  # a hostile client can cause thousands of errors per second

log = structlog.get_logger("saltcourse")


class RequestIds:
    """The ids of all open requests; each id has exactly one owner."""

    def __init__(self) -> None:
        self._open: set[str] = set()

    def claim(self, request: str) -> None:
        """Register an id. Raises ``ProtocolError`` if it is in use; this does not affect its owner."""
        if request in self._open:
            raise ProtocolError("OPEN: request id is already in use")
        self._open.add(request)

    def release(self, request: str) -> None:
        """Make the id available again when its request has ended."""
        self._open.discard(request)


class ProtocolErrorLog:
    """Counts protocol errors in the first lines of clients, with rate-limited logging."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._count = 0
        self._last_logged = -PROTOCOL_ERROR_LOG_INTERVAL_SECONDS

    def record(self, reason: str) -> None:
        """Count an error; log the count since the last log line if the interval has passed."""
        self._count += 1
        now = self._clock.now()
        if now - self._last_logged >= PROTOCOL_ERROR_LOG_INTERVAL_SECONDS:
            log.info("client protocol errors", count=self._count, last_reason=reason)
            self._count = 0
            self._last_logged = now


@dataclass(slots=True)
class ConnectionContext:
    """Settings, shared objects and callbacks into the rest of the proxy."""

    settings: Settings
    request_classes: frozenset[str]  # the names of the request classes in the settings
    clock: Clock
    metrics: Metrics
    pending: PendingConnections
    protocol_errors: ProtocolErrorLog
    send_to_dispatcher: Callable[[DispatcherMessage], None]
    address_of: Callable[[str], Address | None]  # returns the address of a backend
    may_answer_ping: Callable[[], bool]
    is_short_of_descriptors: Callable[[], bool]
    request_ids: RequestIds = field(default_factory=RequestIds)
    answer_deadline: float = float("inf")  # clock time (s) by which all answers must be written in a shutdown
