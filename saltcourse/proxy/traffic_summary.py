"""Periodic log lines that summarise traffic, to explain later why connections went to which backend.

They show how attempts and requests ended, and for each backend the connections, the balancer's occupancy and
slot ceiling, and the reasons that limit new connections.
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
    """A decision of the balancer that ends a request; the value is its key in the log."""

    REJECTED = "rejected"
    FAILED = "failed"
    MIGRATED = "migrated"


class TrafficSummary:
    """Counts outcomes and logs them as a summary."""

    def __init__(self) -> None:
        self._attempts: dict[str, Counter[str]] = {}  # backend -> attempt status -> count
        self._requests: Counter[str] = Counter()  # by request outcome

    def count_attempt(self, backend: str, status: AttemptStatus) -> None:
        """Count an attempt, or its established connection, that ended with ``status``."""
        self._attempts.setdefault(backend, Counter())[status.value] += 1

    def count_request(self, outcome: RequestOutcome) -> None:
        """Count a request that was rejected or failed, or whose connection was migrated."""
        self._requests[outcome.value] += 1

    def write(
        self,
        reports: Iterable[BackendReport],
        established: Mapping[str, int],
        requests: int,
        is_failing: bool,
    ) -> None:
        """Log one line per backend and one for the total, then reset the counts.

        ``established`` has the established connections by backend; ``requests`` is the number of open
        requests, established or not; ``is_failing`` tells whether more attempts failed than succeeded
        recently.
        """
        for report in reports:
            self._write_backend(report, established.get(report.backend, 0))
        log.info(
            "traffic",
            requests=requests,
            established=sum(established.values()),
            # The key has a historical name. Its value is not the balancer's ``is_overloaded``, which is the
            # condition for rejecting requests.
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
