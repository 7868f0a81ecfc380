"""Retries: whether a request may be tried again, where, and how long an attempt may take.

The rules:

- A request gets at most ``max_attempts`` attempts, and none when less than 0.1 s of its time is left.
- Retry budget: each request earns 0.3 retries, at most 10 are saved, and each retry that is allowed
  spends one, also where no backend is found for it.
- A request that may have run is retried only where that does no harm: anywhere if it is idempotent; with an
  idempotency key, on backends within the scope that drops duplicates, and within its window; else nowhere.
- An attempt's time-out is the class's latency objective or the connect time-out, whichever is longer, if
  that leaves time for another attempt; else all the time that is left.

Inputs: the request and its class, the time in seconds. Output: yes or no, and time-outs in seconds.

Why: retries must neither run a request twice nor feed an overload; and a time-out that takes all the time
leaves none for a retry.
"""

from __future__ import annotations

from saltcourse.balancing.events import NEVER_RAN, AttemptStatus
from saltcourse.balancing.settings import DeduplicationScope, Idempotency, Settings
from saltcourse.balancing.state import Backend, Request

RETRIES_PER_REQUEST = 0.3  # that each request adds to the budget
RETRY_BUDGET_MAX = 10.0  # retries that may come at once
MIN_ATTEMPT_SECONDS = 0.1  # of a request's time; with less left an attempt is not worth starting


def is_safe_to_retry(request: Request) -> bool:
    """Whether the client may send the request again to any backend."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT or request.may_have_run_on is None:
        return True
    return (
        request_class.idempotency is Idempotency.KEYED
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )


def is_safe_to_retry_on(now: float, request: Request, backend: Backend) -> bool:
    """Whether an attempt at this backend cannot run the request a second time with an effect."""
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
    """Record an attempt that ended so: the first one that may have run limits where the request may go."""
    if status not in NEVER_RAN and request.may_have_run_on is None:
        request.may_have_run_on = backend
        request.may_have_run_at = started_at


class Retries:
    """The retry budget of this proxy, and the limits of a request's attempts."""

    __slots__ = ("_budget", "_connect_timeout", "_max_attempts")

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self._connect_timeout = settings.connect_timeout
        self._budget = RETRY_BUDGET_MAX  # retries that may be started now

    def request_received(self) -> None:
        """Add to the budget for a new request."""
        self._budget = min(RETRY_BUDGET_MAX, self._budget + RETRIES_PER_REQUEST)

    def may_retry(self, now: float, request: Request) -> bool:
        """Whether attempts, time and budget are left for another attempt."""
        time_left = request.deadline - now
        return request.attempts < self._max_attempts and time_left > MIN_ATTEMPT_SECONDS and self._budget >= 1

    def spend(self) -> None:
        """Take a retry that is about to be placed from the budget."""
        self._budget -= 1

    def attempt_timeout(self, now: float, request: Request) -> float:
        """Seconds for the attempt that begins now; it is counted in ``request.attempts`` already."""
        time_left = request.deadline - now
        request_class = request.request_class
        is_last = request.attempts >= self._max_attempts
        if is_last or request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return time_left
        wanted = max(request_class.latency_objective, self._connect_timeout)
        return time_left if time_left < wanted + MIN_ATTEMPT_SECONDS else wanted
