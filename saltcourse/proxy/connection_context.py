"""State and callbacks that all client connections share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saltcourse.balancing.settings import Settings
from saltcourse.codec.endpoint_list import Address
from saltcourse.metrics import Metrics
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.messages import DispatcherMessage
from saltcourse.proxy.pending_connections import PendingConnections
from saltcourse.proxy.request_ids import RequestIds

PROTOCOL_ERROR_LOG_INTERVAL_SECONDS = 5.0  # a hostile client can cause thousands of errors per second

log = structlog.get_logger("saltcourse")


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
    request_ids: RequestIds
    answer_deadline: float = float("inf")  # clock time (s) by which all answers must be written in a shutdown
