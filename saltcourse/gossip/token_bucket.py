"""A token bucket: bounds what is spent over time, and allows a burst."""

from __future__ import annotations

import math


class TokenBucket:
    """Fills with ``rate`` tokens a second up to ``burst``.

    Times are seconds of one monotonic clock; one that goes back counts as stopped.
    """

    def __init__(self, rate: float, burst: float) -> None:
        if rate <= 0 or burst <= 0:
            raise ValueError("rate and burst must be above 0")
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._filled_at: float | None = None  # when ``_tokens`` was true; None: before the first use

    def take(self, now: float, amount: float) -> bool:
        """Whether there were ``amount`` tokens; then they are spent."""
        if self.available(now) < amount:
            return False
        self._tokens -= amount
        return True

    def force(self, now: float, amount: float) -> None:
        """Spend ``amount`` in any case.

        The debt ends at ``burst``, so that it is paid back within ``burst / rate`` seconds.
        """
        self._tokens = max(self.available(now) - amount, -self.burst)

    def available(self, now: float) -> float:
        """Tokens that there are; negative while in debt."""
        if self._filled_at is None:
            self._filled_at = now
        elapsed = now - self._filled_at
        if elapsed > 0:
            self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
            self._filled_at = now
        return self._tokens

    def available_at(self) -> float:
        """When there is a token again if none is spent until then; in the past where there is one already."""
        if self._filled_at is None:
            return -math.inf
        return self._filled_at + max(0.0, 1.0 - self._tokens) / self.rate
