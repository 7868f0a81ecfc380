"""The established connections, and what is checked on them four times a second.

At each check, in this order:

1. connections that bring nothing back are migrated;
2. backends that have stopped answering are reported to the balancer;
3. once a second, response latencies are reported to the balancer;
4. while the program drains, the connections that are due are migrated.

A connection is monitored from its establishment until it ends or is migrated.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from saltcourse.balancing.drain_schedule import DrainSchedule
from saltcourse.balancing.events import ConnectionResumed, RequestReceived, ResponseLatencyMeasured
from saltcourse.balancing.response_latency import (
    REPORT_INTERVAL_SECONDS,
    LatencyReport,
    ResponseLatencyMeter,
)
from saltcourse.proxy.clock import Clock

CHECK_INTERVAL_SECONDS = 0.25
MAX_CHECK_DELAY_SECONDS = 0.1  # by which a check may be late before it calls no backend hung

log = structlog.get_logger("saltcourse")


@dataclass(frozen=True, slots=True)
class EstablishedConnection:
    """What a new balancer has to be given of an established connection."""

    request: str
    request_class: str
    backend: str
    load_hint: float = 0.0
    group: str = ""

    @classmethod
    def of_resumed(cls, event: ConnectionResumed) -> EstablishedConnection:
        """A connection from before this program's start."""
        return cls(event.request, event.request_class, event.backend, event.load_hint, event.group)

    @classmethod
    def of_request(cls, event: RequestReceived, backend: str) -> EstablishedConnection:
        """A request that was established at ``backend``."""
        return cls(event.request, event.request_class, backend, event.load_hint, event.group)

    def as_resumed(self) -> ConnectionResumed:
        """The event by which a new balancer learns of it."""
        return ConnectionResumed(self.request, self.request_class, self.backend, self.load_hint, self.group)


class ConnectionMonitor:
    """Owns the established connections; migrates and reports by its callbacks.

    ``migrate`` is given a request, ``report`` a latency for the balancer.
    """

    def __init__(
        self,
        meter: ResponseLatencyMeter,
        clock: Clock,
        migrate: Callable[[str], None],
        report: Callable[[ResponseLatencyMeasured], None],
    ) -> None:
        self.established: dict[str, EstablishedConnection] = {}  # by request
        self._meter = meter
        self._clock = clock
        self._migrate = migrate
        self._report = report
        self._drain_schedule: DrainSchedule | None = None  # None: connections stay where they are
        self._last_check = clock.now()
        self._last_reports = 0.0

    @property
    def is_draining(self) -> bool:
        """Whether every connection is migrated as soon as it is established."""
        return self._drain_schedule is not None

    def add(self, connection: EstablishedConnection) -> None:
        """Monitor a connection from now on."""
        self.established[connection.request] = connection
        self._meter.connection_established(connection.request, connection.backend)

    def remove(self, request: str) -> None:
        """Monitor it no longer: it has ended, or is being migrated."""
        self.established.pop(request, None)
        self._meter.connection_ended(request)

    def backend_counts(self) -> Counter[str]:
        """Connections by backend."""
        return Counter(connection.backend for connection in self.established.values())

    def line_sent(self, request: str, time: float) -> None:
        """A client's line went to its backend at ``time`` (s)."""
        self._meter.line_sent(request, time)

    def line_received(self, request: str, time: float) -> None:
        """A backend's line came back at ``time`` (s)."""
        self._meter.line_received(request, time)

    def latency_of_load_line(self, request: str, figure: float) -> float | None:
        """The latency (s) in a LOAD line, by its figure; None when the figure is a load."""
        return self._meter.latency_of_load_line(request, figure, self._clock.now())

    def start_draining(self, begin: float, end: float) -> None:
        """Migrate all connections, spread between ``begin`` and ``end`` (s, the loop's time)."""
        self._drain_schedule = DrainSchedule(begin, end)
        self._migrate_due()

    def stop_draining(self) -> None:
        """Leave the connections where they are."""
        self._drain_schedule = None

    def check(self) -> None:
        """Make the checks; to be called every ``CHECK_INTERVAL_SECONDS``."""
        now = self._clock.now()
        is_late = now - self._last_check > CHECK_INTERVAL_SECONDS + MAX_CHECK_DELAY_SECONDS
        self._last_check = now
        self._migrate_silent(now)
        if not is_late:  # else lines that came meanwhile may not have been read yet
            self._report_hung(now)
        if now - self._last_reports >= REPORT_INTERVAL_SECONDS:
            self._last_reports = now
            self._report_all(self._meter.latency_reports(now))
        self._migrate_due()

    def _migrate_silent(self, now: float) -> None:
        """Such a connection must not wait for a decision: its client hears nothing."""
        for request in self._meter.silent_connections(now):
            log.info("connection silent", request=request, backend=self.established[request].backend)
            self._migrate(request)

    def _report_hung(self, now: float) -> None:
        reports = self._meter.hung_backends(now)
        for report in reports:
            backend = self.established[report.request].backend
            log.info("backend stopped answering", backend=backend, elapsed_s=round(report.latency, 2))
        self._report_all(reports)

    def _report_all(self, reports: list[LatencyReport]) -> None:
        for report in reports:
            self._report(ResponseLatencyMeasured(report.request, report.latency))

    def _migrate_due(self) -> None:
        """Migrate what is due by the drain schedule; its times are the loop's, as the checks are."""
        if self._drain_schedule is None:
            return
        now = asyncio.get_running_loop().time()
        due = self._drain_schedule.connections_to_migrate(now, len(self.established), CHECK_INTERVAL_SECONDS)
        for request in list(self.established)[:due]:
            self._migrate(request)
