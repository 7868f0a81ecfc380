"""Log lines that sum up, every few seconds, where connections went and what the balancer believes.

They answer, for whoever asks later why connections went where they went: the connections at each backend, the
balancer's occupancy over its ceiling, why nothing new goes there, and how attempts and requests ended.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum

import structlog

from saltcourse.balancing.backend_report import BackendReport
from saltcourse.balancing.events import AttemptStatus, BackendState

log = structlog.get_logger("saltcourse")


class RequestOutcome(Enum):
    """What the balancer decided on a request; the value is its key in the log."""

    REJECTED = "rejected"
    FAILED = "failed"
    MIGRATED = "migrated"


class TrafficSummary:
    """Counts outcomes between two summaries."""

    def __init__(self) -> None:
        self._attempts: dict[str, Counter[str]] = {}  # by backend: how attempts ended
        self._requests: Counter[str] = Counter()

    def count_attempt(self, backend: str, status: AttemptStatus) -> None:
        """An attempt, or its connection, ended so."""
        self._attempts.setdefault(backend, Counter())[status.value] += 1

    def count_request(self, outcome: RequestOutcome) -> None:
        """A request was rejected or failed, or its connection migrated."""
        self._requests[outcome.value] += 1

    def write(
        self,
        reports: Iterable[BackendReport],
        established: Mapping[str, int],
        requests: int,
        is_failing: bool,
    ) -> None:
        """Log one line for each backend and one for all, and count from 0 again.

        ``established``: connections by backend; ``requests``: those that are open, established or not.
        ``is_failing``: whether more attempts failed than succeeded of late.
        """
        for report in reports:
            self._write_backend(report, established.get(report.backend, 0))
        log.info(
            "traffic",
            requests=requests,
            established=sum(established.values()),
            # The key is older than the term: requests are rejected only under ``is_overloaded``.
            overloaded=is_failing,
            **dict(sorted(self._requests.items())),
        )
        self._attempts.clear()
        self._requests.clear()

    def _write_backend(self, report: BackendReport, established: int) -> None:
        outcomes = dict(sorted(self._attempts.get(report.backend, Counter()).items()))
        if report.state is BackendState.REMOVED and not established and not outcomes:
            return
        log.info(
            "backend traffic",
            backend=report.backend,
            established=established,
            occupancy=f"{report.occupancy:.1f}/{report.ceiling:.1f}",
            limits=",".join(report.reasons),
            **outcomes,
        )
