"""What all client connections of the program share."""

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

PROTOCOL_ERROR_LOG_INTERVAL_SECONDS = 5.0  # they come in floods

log = structlog.get_logger("saltcourse")


class RequestIds:
    """The ids of the requests that are open, each with one owner."""

    def __init__(self) -> None:
        self._open: set[str] = set()

    def claim(self, request: str) -> None:
        """Raises ``ProtocolError`` for an id that is open: its owner must not be touched."""
        if request in self._open:
            raise ProtocolError("OPEN: an id that is open")
        self._open.add(request)

    def release(self, request: str) -> None:
        """The id's owner is done."""
        self._open.discard(request)


class ProtocolErrorLog:
    """Counts each protocol error of a client's first line, and logs them now and then."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._count = 0
        self._last_logged = -PROTOCOL_ERROR_LOG_INTERVAL_SECONDS

    def record(self, reason: str) -> None:
        """Count one, and log what has gathered if the last log line is long enough ago."""
        self._count += 1
        now = self._clock.now()
        if now - self._last_logged >= PROTOCOL_ERROR_LOG_INTERVAL_SECONDS:
            log.info("client protocol errors", count=self._count, last=reason)
            self._count = 0
            self._last_logged = now


@dataclass(slots=True)
class ConnectionContext:
    """The callbacks reach the rest of the program; ``answer_deadline`` is on the clock (s)."""

    settings: Settings
    request_classes: frozenset[str]  # their names in the settings
    clock: Clock
    metrics: Metrics
    pending: PendingConnections
    protocol_errors: ProtocolErrorLog
    send_to_dispatcher: Callable[[DispatcherMessage], None]
    address_of: Callable[[str], Address | None]  # of a backend
    may_answer_ping: Callable[[], bool]
    is_short_of_descriptors: Callable[[], bool]
    request_ids: RequestIds = field(default_factory=RequestIds)
    answer_deadline: float = float("inf")  # for all answers, when the program ends soon after
