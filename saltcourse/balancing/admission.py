"""Admission: detects overload, and gives the final answer to requests that cannot be placed.

The rules:

- The proxy counts failed and successful attempts over all backends, and reduces both counts by a fifth each
  second. A connection that is reset within seconds counts as a failure. Errors, cancelled attempts and
  attempts that were not sent are not counted. The proxy is overloaded while failures exceed successes by
  more than four: new requests are rejected without an attempt, and nothing is retried. The overload ends as
  the counts decay, and as attempts that are still in flight succeed.
- A request that cannot be placed is rejected if it is safe to retry and no attempt is in flight. Its
  Retry-After is a random 50 to 100% of the maximum. Any other request fails, without advice to retry.

Inputs: outcomes of attempts, the request and its class. Output: ``RejectRequest`` or ``FailRequest``.

Why: when clients overload all backends, retries and new attempts make connection setup even slower, while
rejected clients retry at different times.
"""

from __future__ import annotations

import random

from saltcourse.balancing.actions import Action, FailRequest, RejectRequest
from saltcourse.balancing.events import AttemptStatus
from saltcourse.balancing.retries import is_safe_to_retry
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.state import Request
from saltcourse.balancing.timers import RequestTimers

OUTCOME_MEMORY_SECONDS = 5.0  # Each tick of t seconds reduces both counts by the share t / 5.
EARLY_RESET_SECONDS = 3.0  # A connection that is reset within this time counts as a failed attempt.
OVERLOAD_MARGIN = 4.0  # Excess of failures over successes that may still be chance.
STATUSES_NOT_COUNTED = (AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT, AttemptStatus.ERROR)


class OverloadDetector:
    """Counts recent failed and successful attempts over all backends, and detects overload."""

    __slots__ = ("failures", "successes")

    def __init__(self) -> None:
        self.failures = 0.0  # decaying count of attempts
        self.successes = 0.0  # decaying count of attempts

    @property
    def is_overloaded(self) -> bool:
        """Whether failures exceed successes by more than the margin."""
        return self.failures - self.successes > OVERLOAD_MARGIN

    @property
    def is_failing(self) -> bool:
        """Whether more attempts have failed than succeeded within the last few seconds."""
        return self.failures > self.successes

    def attempt_failed(self, status: AttemptStatus) -> None:
        """Count an attempt that ended before its connection was established."""
        if status not in STATUSES_NOT_COUNTED:
            self.failures += 1

    def connection_established(self) -> None:
        """Count an attempt that succeeded."""
        self.successes += 1

    def connection_finished(self, now: float, established_at: float, status: AttemptStatus) -> None:
        """Turn the success of a connection into a failure if it was reset soon after its setup."""
        if status is AttemptStatus.RESET and now < established_at + EARLY_RESET_SECONDS:
            self.successes -= 1
            self.failures += 1

    def decay(self, elapsed: float) -> None:
        """Reduce both counts by their decay over ``elapsed`` seconds."""
        self.failures *= max(0.0, 1 - elapsed / OUTCOME_MEMORY_SECONDS)
        self.successes = max(0.0, self.successes * (1 - elapsed / OUTCOME_MEMORY_SECONDS))


class FinalAnswers:
    """Gives the final answer to requests that get no further attempt."""

    __slots__ = ("_actions", "_longest_retry_after", "_random", "_requests", "_timers")

    def __init__(
        self,
        settings: Settings,
        requests: dict[str, Request],
        timers: RequestTimers,
        actions: list[Action],
        random_source: random.Random,
    ) -> None:
        self._longest_retry_after = settings.longest_retry_after  # seconds
        self._requests = requests
        self._timers = timers
        self._actions = actions
        self._random = random_source

    def answer(self, request: Request) -> None:
        """Reject the request, or fail it if it is not safe to retry."""
        if is_safe_to_retry(request) and not request.is_in_flight:
            retry_after = self._longest_retry_after * self._random.uniform(0.5, 1)
            self._actions.append(RejectRequest(request.id, retry_after))
        else:
            self._actions.append(FailRequest(request.id))
        request.is_answered = True
        self._timers.cancel(request)
        if not request.is_in_flight:
            self._requests.pop(request.id, None)
