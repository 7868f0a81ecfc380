"""Load reports: requests the load of backends by health checks when their last report is too old.

The rules:

- A report expires after ``MAX_REPORT_AGE_SECONDS``. When a placement considers a backend whose report is too
  old, the backend is health-checked first.
- On each tick, the candidate whose report is most overdue is health-checked as well.
- At most one check per backend is in flight, and all checks are subject to the fleet's health-check budget.

Inputs: reported loads (load over capacity), ages in seconds, and the health-check budget of the shared
state. Output: ``StartHealthCheck`` actions and each backend's ``LoadReportRecord``.

Why: a report is most useful just before a placement. A backend whose last report was "full" is never drawn,
so no placement would check it again and it would stay empty. The check on each tick renews its report.
"""

from __future__ import annotations

from saltcourse.balancing.actions import Action, StartHealthCheck
from saltcourse.balancing.state import Backend
from saltcourse.shared_state.state import SharedState

TARGET_LOAD = 0.8  # A backend with this reported load has no free slot; loads vary by 1/7 around it.
MAX_REPORT_AGE_SECONDS = 5.0
FULL_REPORT_AGE_SECONDS = 1.0  # The report of a full backend is renewed after this time.
# At or above this load, a placement requires a report that is not older than ``BUSY_REPORT_AGE_SECONDS``.
BUSY_LOAD = TARGET_LOAD / 2
BUSY_REPORT_AGE_SECONDS = 0.5


class LoadReports:
    """Requests and records load reports."""

    __slots__ = ("_actions", "_shared_state")

    def __init__(self, actions: list[Action], shared_state: SharedState) -> None:
        self._actions = actions
        self._shared_state = shared_state

    def request_if_older(self, now: float, backend: Backend, max_age: float) -> bool:
        """Start a health check if the report is older than ``max_age`` seconds and the budget allows it.

        Return whether a check of the backend is in flight now.
        """
        report = backend.report
        needs_check = not report.check_in_flight and report.received_at < now - max_age
        if needs_check and self._shared_state.may_health_check(now, backend.name):
            report.check_in_flight = True
            self._actions.append(StartHealthCheck(backend.name))
        return report.check_in_flight

    def request_for_placement(self, now: float, backend: Backend) -> bool:
        """Start a health check if the report is too old for a placement and the budget allows it.

        Return whether a check of the backend is in flight now.
        """
        is_idle = backend.report.load < BUSY_LOAD
        return self.request_if_older(
            now, backend, MAX_REPORT_AGE_SECONDS if is_idle else BUSY_REPORT_AGE_SECONDS
        )

    def request_most_overdue(self, now: float, candidates: list[Backend]) -> None:
        """Start a health check of the candidate whose report is most overdue, if the budget allows it."""
        backend = min(candidates, key=lambda candidate: candidate.report.refresh_at)
        self.request_if_older(now, backend, backend.report.refresh_at - backend.report.received_at)

    def check_finished(self, backend: Backend) -> None:
        """Record that the backend's health check has ended, successfully or not."""
        backend.report.check_in_flight = False

    def record(self, now: float, backend: Backend, load: float) -> None:
        """Record a load (load over capacity) that the backend has reported now."""
        report = backend.report
        if load != report.load:
            report.previous_load, report.load = report.load, load
        report.received_at = now
        report.refresh_at = now + (MAX_REPORT_AGE_SECONDS if load < TARGET_LOAD else FULL_REPORT_AGE_SECONDS)
