"""Retry times of unanswered quorum messages: exponential backoff without jitter."""

from __future__ import annotations

RETRY_INITIAL_SECONDS = 0.3  # longer than a round trip between regions
MAX_DOUBLINGS = 3  # limits the backoff to 2.4 s


def backoff_seconds(attempts: int) -> float:
    """Return the seconds to wait after ``attempts`` earlier attempts."""
    return RETRY_INITIAL_SECONDS * float(2 ** min(attempts, MAX_DOUBLINGS))


class RetryTimer:
    """Computes ``deadline``, the time of the next attempt in seconds on the caller's clock."""

    __slots__ = ("_attempts", "deadline")

    def __init__(self) -> None:
        self.deadline = 0.0
        self._attempts = 0

    def restart(self, now: float) -> None:
        """Schedule the next attempt after the shortest wait."""
        self._attempts = 0
        self.schedule(now)

    def schedule(self, now: float) -> None:
        """Schedule the next attempt after one was made at ``now``."""
        self.deadline = now + backoff_seconds(self._attempts)
        self._attempts += 1

    def reset(self) -> None:
        """Make the next wait the shortest, since there was progress; ``deadline`` does not change."""
        self._attempts = 0
