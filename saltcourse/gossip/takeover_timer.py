"""Times at which a following voter may try to become the publisher.

There are two independent times. The takeover time is reached when no publisher has been seen for
``takeover_after``. It is staggered by the voter's index and a random amount, so that voters that notice the
same missing publisher do not compete. The attempt time applies when operators' changes wait at this voter. It
lies in the future only as a backoff after this voter had to step down.
"""

from __future__ import annotations

import random

from saltcourse.gossip.retry_timer import backoff_seconds

TAKEOVER_STAGGER_SECONDS = 0.3  # delay per voter index, and the maximum random delay added to it


class TakeoverTimer:
    """Computes the times, in seconds on the caller's clock, with the member's random number generator."""

    def __init__(self, index: int, takeover_after: float, rng: random.Random) -> None:
        self._stagger = index * TAKEOVER_STAGGER_SECONDS
        self._takeover_after = takeover_after
        self._rng = rng
        self._takeover_at = 0.0
        self._attempt_at = 0.0
        self._failures = 0  # step-downs since the last commit

    def start(self, now: float) -> None:
        """Start the timer when the process starts; waiting changes may be published immediately."""
        self._attempt_at = now
        self.on_publisher_seen(now)

    def on_publisher_seen(self, now: float) -> None:
        """Restart the wait before a takeover, since a publisher or a candidate was seen."""
        stagger = self._stagger + self._rng.uniform(0, TAKEOVER_STAGGER_SECONDS)
        self._takeover_at = now + self._takeover_after + stagger

    def back_off(self, now: float) -> None:
        """Delay the next attempt by a randomised backoff, since this voter stepped down."""
        self._attempt_at = now + self._rng.uniform(0.5, 1.5) * backoff_seconds(self._failures)
        self._failures += 1
        self.on_publisher_seen(now)

    def reset_backoff(self) -> None:
        """Reset the backoff, since this publisher committed a change."""
        self._failures = 0

    def may_attempt(self, now: float) -> bool:
        """Return whether a change that arrives at ``now`` may start a takeover."""
        return now >= self._attempt_at

    def deadline(self, has_waiting: bool) -> float:
        """Return the time to take over; ``has_waiting``: whether operators' changes wait at this voter."""
        return min(self._attempt_at, self._takeover_at) if has_waiting else self._takeover_at
