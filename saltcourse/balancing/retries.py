"""Retries: decides whether and where a request may be retried, and sets the timeouts of attempts.

The rules:

- A request gets at most ``max_attempts`` attempts. It is not retried if less than 0.1 s remains until its
  deadline.
- Retry budget: each request adds 0.3 retries to the budget, which holds at most 10. Each permitted retry
  takes one, even if no backend is found for it.
- A request that may have run is retried only where it cannot take effect twice. An idempotent request may be
  retried on any backend. A request with an idempotency key may be retried on backends within the
  deduplication scope, until the deduplication window ends. Any other request is not retried.
- The timeout of an attempt is the longer of the class's latency objective and the connect timeout. It is all
  the remaining time if that would leave too little for another attempt, if the attempt is the last one, or if
  the request is not idempotent.

Inputs: the request and its class, the time in seconds. Output: whether to retry, and timeouts in seconds.

Why: retries must neither run a request twice nor amplify an overload, and an attempt that may use all the
remaining time leaves none for a retry.
"""

from __future__ import annotations

from saltcourse.balancing.events import NEVER_RAN, AttemptStatus
from saltcourse.balancing.settings import DeduplicationScope, Idempotency, Settings
from saltcourse.balancing.state import Backend, Request

RETRIES_PER_REQUEST = 0.3  # Number of retries that each request adds to the budget.
RETRY_BUDGET_MAX = 10.0  # Maximum burst of retries.
MIN_ATTEMPT_SECONDS = 0.1  # An attempt with less time until the deadline is unlikely to succeed.


def is_safe_to_retry(request: Request) -> bool:
    """Return whether the client may retry the request at any backend without running it twice."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT or request.may_have_run_on is None:
        return True
    return (
        request_class.idempotency is Idempotency.KEYED
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )


def is_safe_to_retry_on(now: float, request: Request, backend: Backend) -> bool:
    """Return whether an attempt at this backend cannot make the request take effect a second time."""
    ran_on, request_class = request.may_have_run_on, request.request_class
    if ran_on is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return False
    if now >= request.may_have_run_at + request_class.deduplication_window:
        return False
    if request_class.deduplication_scope is DeduplicationScope.ALL:
        return True
    if backend.zone != ran_on.zone:
        return False
    return request_class.deduplication_scope is DeduplicationScope.ZONE or backend.cell == ran_on.cell


def record_attempt(request: Request, backend: Backend, status: AttemptStatus, started_at: float) -> None:
    """Record a failed attempt. The first one that may have run the request restricts its retries."""
    if status not in NEVER_RAN and request.may_have_run_on is None:
        request.may_have_run_on = backend
        request.may_have_run_at = started_at


class Retries:
    """Keeps this proxy's retry budget, and limits the number and duration of attempts."""

    __slots__ = ("_budget", "_connect_timeout", "_max_attempts")

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self._connect_timeout = settings.connect_timeout
        self._budget = RETRY_BUDGET_MAX  # number of retries

    def request_received(self) -> None:
        """Add to the budget for a new request."""
        self._budget = min(RETRY_BUDGET_MAX, self._budget + RETRIES_PER_REQUEST)

    def may_retry(self, now: float, request: Request) -> bool:
        """Return whether the attempt limit, the deadline and the budget permit another attempt."""
        time_left = request.deadline - now
        return request.attempts < self._max_attempts and time_left > MIN_ATTEMPT_SECONDS and self._budget >= 1

    def spend(self) -> None:
        """Take one retry from the budget."""
        self._budget -= 1

    def attempt_timeout(self, now: float, request: Request) -> float:
        """Return the timeout (s) of an attempt that starts now and is counted in ``request.attempts``."""
        time_left = request.deadline - now
        request_class = request.request_class
        is_last = request.attempts >= self._max_attempts
        if is_last or request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return time_left
        timeout = max(request_class.latency_objective, self._connect_timeout)
        return time_left if time_left < timeout + MIN_ATTEMPT_SECONDS else timeout
