"""When an unanswered quorum message is sent again: exponential backoff without jitter."""

from __future__ import annotations

RETRY_INITIAL_SECONDS = 0.3  # above a round trip between regions
MAX_DOUBLINGS = 3


def backoff_seconds(attempts: int) -> float:
    """Seconds to wait after so many attempts that came before."""
    return RETRY_INITIAL_SECONDS * float(2 ** min(attempts, MAX_DOUBLINGS))


class RetryTimer:
    """``deadline`` is when the next attempt is to be made, on the caller's clock."""

    __slots__ = ("_attempts", "deadline")

    def __init__(self) -> None:
        self.deadline = 0.0
        self._attempts = 0

    def restart(self, now: float) -> None:
        """First attempt: the shortest wait."""
        self._attempts = 0
        self.schedule(now)

    def schedule(self, now: float) -> None:
        """One more attempt was made just now."""
        self.deadline = now + backoff_seconds(self._attempts)
        self._attempts += 1

    def reset(self) -> None:
        """There was progress: the next wait is the shortest again. ``deadline`` stays."""
        self._attempts = 0
