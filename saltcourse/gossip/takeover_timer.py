"""When a voter that follows may try to become the publisher.

Two times run side by side. ``takeover``: no publisher has been seen for ``takeover_after``; staggered by the
voter's index and at random, so that voters which miss the same publisher do not duel. ``attempt``: operators'
changes wait here; it lies in the future only for a backoff after this voter had to step down.
"""

from __future__ import annotations

import random

from saltcourse.gossip.retry_timer import backoff_seconds

TAKEOVER_STAGGER_SECONDS = 0.3  # between voters by index, and the spread of each at random


class TakeoverTimer:
    """Times on the caller's clock. Draws from the member's random number generator."""

    def __init__(self, index: int, takeover_after: float, rng: random.Random) -> None:
        self._stagger = index * TAKEOVER_STAGGER_SECONDS
        self._takeover_after = takeover_after
        self._rng = rng
        self._takeover_at = 0.0
        self._attempt_at = 0.0
        self._failures = 0  # step-downs since the last commit

    def start(self, now: float) -> None:
        """At the start of the process: changes may be published at once."""
        self._attempt_at = now
        self.publisher_seen(now)

    def publisher_seen(self, now: float) -> None:
        """A publisher or a candidate showed itself: the time until a takeover begins anew."""
        stagger = self._stagger + self._rng.uniform(0, TAKEOVER_STAGGER_SECONDS)
        self._takeover_at = now + self._takeover_after + stagger

    def back_off(self, now: float) -> None:
        """This voter stepped down: waiting changes are tried again after a randomised backoff."""
        self._attempt_at = now + self._rng.uniform(0.5, 1.5) * backoff_seconds(self._failures)
        self._failures += 1
        self.publisher_seen(now)

    def reset_backoff(self) -> None:
        """A change of this publisher was committed."""
        self._failures = 0

    def may_attempt(self, now: float) -> bool:
        """Whether a change that arrives now may start a takeover."""
        return now >= self._attempt_at

    def deadline(self, has_waiting: bool) -> float:
        """When to take over; ``has_waiting``: operators' changes wait at this voter."""
        return min(self._attempt_at, self._takeover_at) if has_waiting else self._takeover_at
