"""Placement: leads each request from its arrival through its attempts to a connection or a final answer.

The rules:

1. A request is placed on arrival, unless the proxy is overloaded. If loads are reported, up to three backends
   are first drawn and health-checked, one after another; a backend found to be full is not drawn again. The
   placement waits a short time for each check, and then continues with the loads known so far.
2. A failed attempt is followed by another one if ``retries`` permits it and the proxy is not overloaded.
3. The client gets its answer by its deadline, even if an attempt is still in flight.

Inputs: requests, and the time in seconds. Output: ``StartAttempt``, ``StartHealthCheck``, timers and final
answers.

Why: the client gives up at its deadline, so a late answer is worthless.
"""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.balancing.admission import FinalAnswers, OverloadDetector
from saltcourse.balancing.attempts import AttemptStarter
from saltcourse.balancing.load_reports import LoadReports
from saltcourse.balancing.retries import Retries
from saltcourse.balancing.selection import Selection
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.state import Backend, Request
from saltcourse.balancing.timers import RequestTimers

MAX_LOAD_CHECKS = 3  # Maximum number of backends that are health-checked before a placement.
LOAD_CHECK_WAIT_SECONDS = 0.05  # Maximum wait for each health check.
LOAD_CHECK_WAIT_DIVISOR = 5  # The wait is also limited to the class's latency objective divided by this.


@dataclass(slots=True, eq=False)
class Placement:
    """Decides the next step of each request."""

    settings: Settings
    timers: RequestTimers
    selection: Selection
    reports: LoadReports
    retries: Retries
    overload: OverloadDetector
    answers: FinalAnswers
    attempts: AttemptStarter

    def request_received(self, now: float, request: Request, time_left: float) -> None:
        """Place a new request, or reject it under overload; the client gives up in ``time_left`` seconds."""
        self.retries.request_received()
        self.timers.start(request, time_left)
        if self.overload.is_overloaded:
            self.answers.answer(request)
        else:
            self._check_load_or_place(now, request)

    def retry(self, now: float, request: Request) -> None:
        """Start another attempt after a failed one, or give the final answer."""
        backend = None
        if self.retries.may_retry(now, request) and not self.overload.is_overloaded:
            self.retries.spend()
            backend = self.selection.choose(now, request)
        self._start_or_answer(now, request, backend)

    def health_check_finished(self, now: float, backend: Backend) -> None:
        """Continue the placement of the requests that waited for this backend's health check."""
        waiting, backend.report.waiting_requests = backend.report.waiting_requests, []
        for request in waiting:
            if request.awaited_backend is backend and not request.is_answered:
                request.awaited_backend = None
                self._check_load_or_place(now, request)

    def timer_fired(self, now: float, request: Request) -> None:
        """Place the request after the wait for a health check, or give the final answer at the deadline."""
        if request.is_answered or request.is_established:
            return
        if request.awaited_backend is not None:
            request.awaited_backend = None
            request.load_checks = MAX_LOAD_CHECKS
            self._check_load_or_place(now, request)
        elif now >= request.deadline - self.settings.time_step / 2:
            self.answers.answer(request)

    def _check_load_or_place(self, now: float, request: Request) -> None:
        """Health-check a drawn backend if its load report is too old, otherwise place the request."""
        backend = None
        if self.settings.uses_load_reports and request.load_checks < MAX_LOAD_CHECKS:
            backend = self.selection.choose(now, request)
            if backend is not None and self.reports.request_for_placement(now, backend):
                self._wait_for_report(request, backend)
                return
        if backend is None:
            backend = self.selection.choose(now, request)
        self._start_or_answer(now, request, backend)

    def _wait_for_report(self, request: Request, backend: Backend) -> None:
        request.awaited_backend = backend
        request.load_checks += 1
        backend.report.waiting_requests.append(request)
        longest = request.request_class.latency_objective / LOAD_CHECK_WAIT_DIVISOR
        self.timers.start(request, min(LOAD_CHECK_WAIT_SECONDS, longest))

    def _start_or_answer(self, now: float, request: Request, backend: Backend | None) -> None:
        if backend is None:
            self.answers.answer(request)
        else:
            self.attempts.start(now, request, backend)
