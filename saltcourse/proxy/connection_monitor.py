"""Monitors the established connections with a check four times a second.

Each check does the following, in this order:

1. migrate connections whose lines get no answer;
2. report backends that have stopped answering to the balancer;
3. once a second, report response latencies to the balancer;
4. while the proxy drains, migrate the connections that its schedule calls for.

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
MAX_CHECK_DELAY_SECONDS = 0.1  # a check that is later than this does not report hung backends

log = structlog.get_logger("saltcourse")


@dataclass(frozen=True, slots=True)
class EstablishedConnection:
    """An established connection, with the properties that a replacement balancer needs."""

    request: str
    request_class: str
    backend: str
    load_hint: float = 0.0
    group: str = ""

    @classmethod
    def from_resumed(cls, event: ConnectionResumed) -> EstablishedConnection:
        """Return the connection of a resume event, which was established before this process started."""
        return cls(event.request, event.request_class, event.backend, event.load_hint, event.group)

    @classmethod
    def from_request(cls, event: RequestReceived, backend: str) -> EstablishedConnection:
        """Return the connection of a request that was established at ``backend``."""
        return cls(event.request, event.request_class, backend, event.load_hint, event.group)

    def as_resumed(self) -> ConnectionResumed:
        """Return the event that registers this connection with a replacement balancer."""
        return ConnectionResumed(self.request, self.request_class, self.backend, self.load_hint, self.group)


class ConnectionMonitor:
    """Stores the established connections and checks them periodically.

    ``migrate`` is called with the id of each request whose connection has to be migrated, ``report`` with
    each latency for the balancer.
    """

    def __init__(
        self,
        meter: ResponseLatencyMeter,
        clock: Clock,
        migrate: Callable[[str], None],
        report: Callable[[ResponseLatencyMeasured], None],
    ) -> None:
        self.established: dict[str, EstablishedConnection] = {}  # by request id
        self._meter = meter
        self._clock = clock
        self._migrate = migrate
        self._report = report
        self._drain_schedule: DrainSchedule | None = None  # None while the proxy is not draining
        self._last_check = clock.now()
        self._last_reports = 0.0

    @property
    def is_draining(self) -> bool:
        """Whether the proxy is draining, so that newly established connections are migrated as well."""
        return self._drain_schedule is not None

    def add(self, connection: EstablishedConnection) -> None:
        """Start monitoring a connection."""
        self.established[connection.request] = connection
        self._meter.connection_established(connection.request, connection.backend)

    def remove(self, request: str) -> None:
        """Stop monitoring a connection that has ended or is being migrated."""
        self.established.pop(request, None)
        self._meter.connection_ended(request)

    def backend_counts(self) -> Counter[str]:
        """Return the number of established connections by backend."""
        return Counter(connection.backend for connection in self.established.values())

    def line_sent(self, request: str, time: float) -> None:
        """Record that a client's line was sent to its backend at ``time`` (s)."""
        self._meter.line_sent(request, time)

    def line_received(self, request: str, time: float) -> None:
        """Record that a line was received from the backend at ``time`` (s)."""
        self._meter.line_received(request, time)

    def latency_of_load_line(self, request: str, value: float) -> float | None:
        """Return the latency (s) that a LOAD line carries, or None if its value is a load."""
        return self._meter.latency_of_load_line(request, value, self._clock.now())

    def start_draining(self, begin: float, end: float) -> None:
        """Migrate all connections, spread evenly between ``begin`` and ``end`` (s, event loop time)."""
        self._drain_schedule = DrainSchedule(begin, end)
        self._migrate_scheduled()

    def stop_draining(self) -> None:
        """Stop migrating connections."""
        self._drain_schedule = None

    def check(self) -> None:
        """Run all checks; must be called every ``CHECK_INTERVAL_SECONDS``."""
        now = self._clock.now()
        is_late = now - self._last_check > CHECK_INTERVAL_SECONDS + MAX_CHECK_DELAY_SECONDS
        self._last_check = now
        self._migrate_silent(now)
        if not is_late:  # after the event loop was blocked, received lines may be unread
            self._report_hung(now)
        if now - self._last_reports >= REPORT_INTERVAL_SECONDS:
            self._last_reports = now
            self._report_all(self._meter.latency_reports(now))
        self._migrate_scheduled()

    def _migrate_silent(self, now: float) -> None:
        """Migrate silent connections without asking the balancer, because their clients get no answers."""
        for request in self._meter.silent_connections(now):
            log.info(
                "migrating silent connection",
                request=request,
                backend=self.established[request].backend,
            )
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

    def _migrate_scheduled(self) -> None:
        """Migrate as many connections as the drain schedule calls for; its times are event loop times."""
        if self._drain_schedule is None:
            return
        now = asyncio.get_running_loop().time()
        count = self._drain_schedule.connections_to_migrate(
            now, len(self.established), CHECK_INTERVAL_SECONDS
        )
        for request in list(self.established)[:count]:
            self._migrate(request)
