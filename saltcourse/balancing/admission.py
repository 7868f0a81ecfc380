"""Admission: under overload new requests are rejected at once, and how a request that cannot be placed ends.

The rules:

- The proxy counts its attempts that failed (also connections dropped within seconds) and that succeeded,
  and forgets a fifth of both each second. More than four failures above the successes, wherever they went,
  are an overload: new requests are rejected without an attempt, and nothing is retried. As nothing new is
  tried, the overload ends by that forgetting and by attempts still in flight. Errors, cancelled attempts
  and attempts that were not sent do not count.
- A request that cannot be placed is rejected, with a Retry-After of a half to all of the longest one at
  random, where a repeat does no harm and no attempt is in flight; else it fails, which promises nothing.

Inputs: outcomes of attempts, the request and its class. Output: ``RejectRequest`` or ``FailRequest``.

Why: when clients overload all backends, retries and new attempts make set-ups slower still; rejected
clients come back spread over time.
"""

from __future__ import annotations

import random

from saltcourse.balancing.actions import Action, FailRequest, RejectRequest
from saltcourse.balancing.events import AttemptStatus
from saltcourse.balancing.retries import is_safe_to_retry
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.state import Request

OUTCOME_MEMORY_SECONDS = 5.0  # each tick forgets tick / this of both counts
EARLY_RESET_SECONDS = 3.0  # a connection dropped within this counts as an attempt that failed
OVERLOAD_MARGIN = 4.0  # failures above the successes that are bad luck and no overload
STATUSES_NOT_COUNTED = (AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT, AttemptStatus.ERROR)


class OverloadDetector:
    """How the attempts of the last seconds went, over all backends."""

    __slots__ = ("failures", "successes")

    def __init__(self) -> None:
        self.failures = 0.0  # attempts, decaying
        self.successes = 0.0  # attempts, decaying

    @property
    def is_overloaded(self) -> bool:
        """Whether clearly more attempts fail than succeed."""
        return self.failures - self.successes > OVERLOAD_MARGIN

    @property
    def is_failing(self) -> bool:
        """Whether more attempts failed than succeeded of late."""
        return self.failures > self.successes

    def attempt_failed(self, status: AttemptStatus) -> None:
        """Count an attempt that ended before its connection was established."""
        if status not in STATUSES_NOT_COUNTED:
            self.failures += 1

    def connection_established(self) -> None:
        """Count an attempt that succeeded."""
        self.successes += 1

    def connection_finished(self, now: float, established_at: float, status: AttemptStatus) -> None:
        """Count a connection that was dropped young as a failure after all."""
        if status is AttemptStatus.RESET and now < established_at + EARLY_RESET_SECONDS:
            self.successes -= 1
            self.failures += 1

    def decay(self, elapsed: float) -> None:
        """Forget a part after ``elapsed`` seconds."""
        self.failures *= max(0.0, 1 - elapsed / OUTCOME_MEMORY_SECONDS)
        self.successes = max(0.0, self.successes * (1 - elapsed / OUTCOME_MEMORY_SECONDS))


class FinalAnswers:
    """Gives the final answer to requests that get no further attempt."""

    __slots__ = ("_actions", "_longest_retry_after", "_random", "_requests")

    def __init__(
        self,
        settings: Settings,
        requests: dict[str, Request],
        actions: list[Action],
        random_source: random.Random,
    ) -> None:
        self._longest_retry_after = settings.longest_retry_after  # s
        self._requests = requests
        self._actions = actions
        self._random = random_source

    def answer(self, request: Request) -> None:
        """Reject the request, or fail it where a repeat may do harm."""
        if is_safe_to_retry(request) and not request.is_in_flight:
            retry_after = self._longest_retry_after * self._random.uniform(0.5, 1)
            self._actions.append(RejectRequest(request.id, retry_after))
        else:
            self._actions.append(FailRequest(request.id))
        request.is_answered = True
        if not request.is_in_flight:
            self._requests.pop(request.id, None)
