"""Response latency of each backend, measured from the lines that pass: no I/O, no clock.

The balancer learns of a slow backend by latency reports: one a second for each backend while a message takes
over a third of the shortest latency objective on one of its connections, and one more when it is back under.

Two sources are read:

1. Real backends send their latency, where they send any, as a ``LOAD X`` line like that of a load, and only
   the size of the figure shows which it is. Read as a load it makes a crowded backend look empty.
2. The time from a client's line to the backend's next line. A line that has not been answered yet has taken
   at least its age. A backend whose echo does not queue behind its work shows nothing by that while it is
   merely crowded; one that hangs leaves lines unanswered, and their age shows it.

Costs: ``silent_connections``, ``hung_backends`` and ``latency_reports`` walk over all connections.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

REPORT_INTERVAL_SECONDS = 1.0  # between the latency reports on one backend
# Without any line back on several connections; healthy backends answer in ms. ``load_shedding`` migrates all
# connections of a backend whose message took as long: with a longer time there, a hung backend that is
# reported here would keep its connections.
HUNG_AFTER_SECONDS = 0.7
HUNG_CONNECTIONS = 2  # whose unanswered lines make a backend look hung; fewer if it has fewer
MAX_LATENCY_MILLISECONDS = 1000.0  # of a LOAD line: loads are in us of work per second, 1,900 and more
SILENT_AFTER_SECONDS = 4.0  # without a line back; clients speak every 2 s and 7 s are allowed


@dataclass(frozen=True, slots=True)
class LatencyReport:
    """The latency (s) of a backend, reported on one of its connections."""

    request: str
    latency: float


@dataclass(frozen=True, slots=True)
class _LatencyLine:
    """The last ``LOAD`` line of a backend that carried a latency."""

    received: float = 0.0
    milliseconds: float = 0.0


NO_LATENCY_LINE = _LatencyLine()


class ResponseLatencyMeter:
    """Round trips of the established connections, by backend.

    ``slow_latency`` is the latency (s) over which a backend is reported; infinity when backends never send
    theirs.
    """

    def __init__(self, slow_latency: float) -> None:
        self.slow_latency = slow_latency
        self.backend_by_connection: dict[str, str] = {}  # by connection
        self.unanswered_since: dict[str, float] = {}  # connection -> when its oldest unanswered line was sent
        self.round_trips: dict[str, list[float]] = {}  # backend -> since the last reports (s)
        self.latency_lines: dict[str, _LatencyLine] = {}  # by backend
        self.reported_slow: set[str] = set()  # backends whose last report was over ``slow_latency``
        self.last_answer: dict[str, float] = {}  # backend -> when it last answered a line

    def connection_established(self, request: str, backend: str) -> None:
        """Count the connection's lines for this backend from now on."""
        self.backend_by_connection[request] = backend

    def connection_ended(self, request: str) -> None:
        """Forget a connection that has ended or is migrated."""
        self.backend_by_connection.pop(request, None)
        self.unanswered_since.pop(request, None)

    def line_sent(self, request: str, now: float) -> None:
        """A line of the client went to its backend."""
        self.unanswered_since.setdefault(request, now)

    def line_received(self, request: str, now: float) -> None:
        """A line of the backend, other than LOAD, came back; it answers all lines before it."""
        sent = self.unanswered_since.pop(request, None)
        backend = self.backend_by_connection.get(request)
        if sent is not None and backend is not None:
            self.last_answer[backend] = now
            self.round_trips.setdefault(backend, []).append(now - sent)

    def latency_of_load_line(self, request: str, figure: float, now: float) -> float | None:
        """The latency (s) in a ``LOAD`` line, by its figure; None when the figure is a load.

        A backlog grows by no more than a second of work per second, so the first latency line of a spell
        is short; only after such a one may a longer latency be meant by a figure that could be a small load.
        """
        backend = self.backend_by_connection.get(request)
        if backend is None or self.slow_latency == float("inf"):
            return None
        last = self.latency_lines.get(backend, NO_LATENCY_LINE)
        in_spell = now - last.received < 2 * REPORT_INTERVAL_SECONDS
        growth = min(last.milliseconds, MAX_LATENCY_MILLISECONDS) if in_spell else 0.0
        if figure >= MAX_LATENCY_MILLISECONDS + growth:
            return None
        self.latency_lines[backend] = _LatencyLine(now, figure)
        return figure / 1000

    def silent_connections(self, now: float) -> list[str]:
        """The connections on which a line has not been answered for ``SILENT_AFTER_SECONDS``."""
        return [
            request
            for request, sent in self.unanswered_since.items()
            if now - sent >= SILENT_AFTER_SECONDS and request in self.backend_by_connection
        ]

    def hung_backends(self, now: float) -> list[LatencyReport]:
        """One report for each backend that has stopped answering on several connections at once.

        None while no backend answers: then this proxy, or its network, stands still.
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
        """The reports that are due, to be asked for every ``REPORT_INTERVAL_SECONDS``.

        One for each backend that is slow, and one for each that was reported slow and is not any more.
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
        """The round trips since the last reports, with the ages of unanswered lines that are slow already."""
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
    """The middle value, or the mean of the two in the middle; the statistics module costs idle memory."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
