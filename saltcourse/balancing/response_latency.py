"""Response latency: measures the latency of each backend from the lines of its connections.

The balancer detects slow backends by latency reports. A backend is reported once a second while the median
latency of the lines on its connections is above a third of the shortest message latency objective, and once
more when it is back below that.

Latency has two sources:

1. ``LOAD X`` lines. A backend that reports its latency sends it as a ``LOAD`` line, exactly as it sends a
   load; only the size of the value shows which one it is. A latency that is mistaken for a load makes an
   overloaded backend look empty.
2. The time from a client's line to the next line of the backend. The age of an unanswered line is a lower
   bound for it. If a backend's echo does not queue behind its work, this time does not show an overload, but
   it shows a hung backend, which leaves lines unanswered.

The module does no I/O and reads no clock. ``silent_connections``, ``hung_backends`` and ``latency_reports``
take time linear in the number of connections.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

REPORT_INTERVAL_SECONDS = 1.0  # Interval between the latency reports on one backend.
# A backend is hung if lines on several connections stay unanswered for this time; healthy backends answer
# within milliseconds. ``load_shedding`` uses the same time to migrate all connections of a backend: with a
# longer one there, a hung backend that is reported here would keep its connections.
HUNG_AFTER_SECONDS = 0.7
HUNG_CONNECTIONS = 2  # Minimum connections with unanswered lines on a hung backend, or all if it has fewer.
# A smaller value in a LOAD line is a latency: loads are in microseconds of work per second, 1,900 and more.
MAX_LATENCY_MILLISECONDS = 1000.0
# A connection is silent if a line stays unanswered for this time. Clients send a line every 2 s, and may wait
# up to 7 s for an answer.
SILENT_AFTER_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class LatencyReport:
    """The latency (s) of a backend, with one of its connections."""

    request: str
    latency: float


@dataclass(frozen=True, slots=True)
class _LatencyLine:
    """The last ``LOAD`` line of a backend that contained a latency."""

    received: float = 0.0  # seconds
    milliseconds: float = 0.0


NO_LATENCY_LINE = _LatencyLine()


class ResponseLatencyMeter:
    """Measures the round trips on established connections, by backend.

    ``slow_latency`` is the latency (s) above which a backend is reported. It is infinite if no request class
    has a message latency objective; then every ``LOAD`` line is a load.
    """

    def __init__(self, slow_latency: float) -> None:
        self.slow_latency = slow_latency
        self.backend_by_connection: dict[str, str] = {}
        self.unanswered_since: dict[str, float] = {}  # connection -> time (s) of its oldest unanswered line
        self.round_trips: dict[str, list[float]] = {}  # backend -> round trips (s) since the last reports
        self.latency_lines: dict[str, _LatencyLine] = {}  # backend -> its last latency line
        self.reported_slow: set[str] = set()  # Backends whose last report was above ``slow_latency``.
        self.last_answer: dict[str, float] = {}  # backend -> time (s) of its last answer to a line

    def connection_established(self, request: str, backend: str) -> None:
        """Start measuring the connection's lines for the backend."""
        self.backend_by_connection[request] = backend

    def connection_ended(self, request: str) -> None:
        """Stop measuring a connection that has ended or is being migrated."""
        self.backend_by_connection.pop(request, None)
        self.unanswered_since.pop(request, None)

    def line_sent(self, request: str, now: float) -> None:
        """Record that a line of the client was sent to its backend."""
        self.unanswered_since.setdefault(request, now)

    def line_received(self, request: str, now: float) -> None:
        """Record a line from the backend, other than LOAD; it answers all earlier lines of the client."""
        sent = self.unanswered_since.pop(request, None)
        backend = self.backend_by_connection.get(request)
        if sent is not None and backend is not None:
            self.last_answer[backend] = now
            self.round_trips.setdefault(backend, []).append(now - sent)

    def latency_of_load_line(self, request: str, value: float, now: float) -> float | None:
        """Return the latency (s) in a ``LOAD`` line, or None if its value is a load.

        A backlog grows by at most one second of work per second, so the first latency line of a slow period
        contains a short latency. Only after such a line may a value that could be a small load be a longer
        latency.
        """
        backend = self.backend_by_connection.get(request)
        if backend is None or self.slow_latency == float("inf"):
            return None
        last = self.latency_lines.get(backend, NO_LATENCY_LINE)
        is_slow_period = now - last.received < 2 * REPORT_INTERVAL_SECONDS
        growth = min(last.milliseconds, MAX_LATENCY_MILLISECONDS) if is_slow_period else 0.0
        if value >= MAX_LATENCY_MILLISECONDS + growth:
            return None
        self.latency_lines[backend] = _LatencyLine(now, value)
        return value / 1000

    def silent_connections(self, now: float) -> list[str]:
        """Return the connections with a line that has been unanswered for ``SILENT_AFTER_SECONDS``."""
        return [
            request
            for request, sent in self.unanswered_since.items()
            if now - sent >= SILENT_AFTER_SECONDS and request in self.backend_by_connection
        ]

    def hung_backends(self, now: float) -> list[LatencyReport]:
        """Return a report for each backend that has stopped answering on several connections at once.

        The list is empty while no backend answers at all, because then this proxy or its network has stalled.
        """
        limit = now - HUNG_AFTER_SECONDS
        if not any(answered > limit for answered in self.last_answer.values()):
            return []
        waiting: dict[str, list[tuple[float, str]]] = {}
        for request, sent in self.unanswered_since.items():
            backend = self.backend_by_connection.get(request)
            if backend is not None and self.last_answer.get(backend, 0.0) < sent <= limit:
                waiting.setdefault(backend, []).append((sent, request))
        connections = Counter(self.backend_by_connection.values())
        reports = []
        for backend, lines in waiting.items():
            if len(lines) >= min(HUNG_CONNECTIONS, connections[backend]):
                sent, request = min(lines)
                reports.append(LatencyReport(request, now - sent))
        return reports

    def latency_reports(self, now: float) -> list[LatencyReport]:
        """Return a report for each slow backend, and for each one that has recovered since its last report.

        The host calls this every ``REPORT_INTERVAL_SECONDS``.
        """
        connection_by_backend = {backend: request for request, backend in self.backend_by_connection.items()}
        round_trips = self._collect_round_trips(now)
        reports = []
        for backend, request in connection_by_backend.items():
            if backend not in round_trips:
                continue
            latency = _median(round_trips[backend])
            was_reported_slow = backend in self.reported_slow
            if latency > self.slow_latency:
                self.reported_slow.add(backend)
            elif was_reported_slow:
                self.reported_slow.discard(backend)
            else:
                continue
            reports.append(LatencyReport(request, latency))
        self._forget_backends_except(connection_by_backend)
        return reports

    def _collect_round_trips(self, now: float) -> dict[str, list[float]]:
        """Return the round trips since the last reports and the ages of slow unanswered lines, by backend."""
        round_trips, self.round_trips = self.round_trips, {}
        for request, backend in self.backend_by_connection.items():
            age = now - self.unanswered_since.get(request, now)
            if age > self.slow_latency:
                round_trips.setdefault(backend, []).append(age)
        return round_trips

    def _forget_backends_except(self, connected: dict[str, str]) -> None:
        self.reported_slow.intersection_update(connected)
        self.latency_lines = {b: line for b, line in self.latency_lines.items() if b in connected}
        self.last_answer = {b: answered for b, answered in self.last_answer.items() if b in connected}


def _median(values: list[float]) -> float:
    """Return the median; importing the statistics module would increase the memory of an idle proxy."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
