"""Load reports: health checks bring a backend's load, and are sent only when the last report is too old.

The rule: a report says nothing more after ``MAX_REPORT_AGE_SECONDS``. A backend without a fresh report is
health-checked when a placement considers it; each tick the candidate whose report is longest overdue is
checked as well. One check at a time is in flight for each backend, within the fleet's budget of health
checks.

Inputs: reported loads (load over capacity), ages in seconds, and the health-check budget of the shared
state. Output: ``StartHealthCheck`` actions and each backend's ``LoadReportRecord``.

Why: a report is worth its cost just before a placement. A backend whose last report said "full" is out of
the draw, no placement would check it again, and it would stay empty: so its report is renewed by the tick.
"""

from __future__ import annotations

from saltcourse.balancing.actions import Action, StartHealthCheck
from saltcourse.balancing.state import Backend
from saltcourse.shared_state.state import SharedState

TARGET_LOAD = 0.8  # reported load at which a backend has no free slot: loads sway by a seventh around it
MAX_REPORT_AGE_SECONDS = 5.0
FULL_REPORT_AGE_SECONDS = 1.0  # after which the report of a full backend is renewed
BUSY_LOAD = TARGET_LOAD / 2  # reported load from which on a placement wants a fresher report
BUSY_REPORT_AGE_SECONDS = 0.5


class LoadReports:
    """Asks for load reports and records them."""

    __slots__ = ("_actions", "_shared_state")

    def __init__(self, actions: list[Action], shared_state: SharedState) -> None:
        self._actions = actions
        self._shared_state = shared_state

    def request_if_older(self, now: float, backend: Backend, max_age: float) -> bool:
        """Start a health check if the report is older than ``max_age`` seconds and the budget allows it.

        Returns whether a check is in flight now.
        """
        report = backend.report
        is_wanted = not report.check_in_flight and report.received_at < now - max_age
        if is_wanted and self._shared_state.may_health_check(now, backend.name):
            report.check_in_flight = True
            self._actions.append(StartHealthCheck(backend.name))
        return report.check_in_flight

    def request_for_placement(self, now: float, backend: Backend) -> bool:
        """Start a health check if a placement there should wait for one.

        Returns whether a check is in flight now.
        """
        is_idle = backend.report.load < BUSY_LOAD
        return self.request_if_older(
            now, backend, MAX_REPORT_AGE_SECONDS if is_idle else BUSY_REPORT_AGE_SECONDS
        )

    def request_most_overdue(self, now: float, candidates: list[Backend]) -> None:
        """Renew the report that has been wanted for the longest time."""
        backend = min(candidates, key=lambda candidate: candidate.report.refresh_at)
        self.request_if_older(now, backend, backend.report.refresh_at - backend.report.received_at)

    def check_finished(self, backend: Backend) -> None:
        """Record that the backend's health check has ended, however it did."""
        backend.report.check_in_flight = False

    def record(self, now: float, backend: Backend, load: float) -> None:
        """Record a report that has come now."""
        report = backend.report
        if load != report.load:
            report.previous_load, report.load = report.load, load
        report.received_at = now
        report.refresh_at = now + (MAX_REPORT_AGE_SECONDS if load < TARGET_LOAD else FULL_REPORT_AGE_SECONDS)
