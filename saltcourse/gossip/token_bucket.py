"""Token bucket: a rate limit that allows bursts."""

from __future__ import annotations

import math


class TokenBucket:
    """Bucket that is filled with ``rate`` tokens per second and holds at most ``burst`` tokens.

    Times are in seconds on one monotonic clock. If the clock goes back, no tokens are added until it has
    caught up.
    """

    def __init__(self, rate: float, burst: float) -> None:
        if rate <= 0 or burst <= 0:
            raise ValueError(f"token bucket: rate and burst must be above 0, got rate={rate}, burst={burst}")
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._filled_at: float | None = None  # last update of ``_tokens``; None before the first use

    def take(self, now: float, amount: float) -> bool:
        """Spend ``amount`` tokens if they are available. Return whether they were."""
        if self.available(now) < amount:
            return False
        self._tokens -= amount
        return True

    def force(self, now: float, amount: float) -> None:
        """Spend ``amount`` tokens even if they are not available.

        The debt is limited to ``burst`` tokens, so that it is paid back within ``burst / rate`` seconds.
        """
        self._tokens = max(self.available(now) - amount, -self.burst)

    def available(self, now: float) -> float:
        """Return the number of available tokens; negative while in debt."""
        if self._filled_at is None:
            self._filled_at = now
        elapsed = now - self._filled_at
        if elapsed > 0:
            self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
            self._filled_at = now
        return self._tokens

    def available_at(self) -> float:
        """Return the time in seconds at which one token is available if none is spent until then.

        It is in the past if a token is already available.
        """
        if self._filled_at is None:
            return -math.inf
        return self._filled_at + max(0.0, 1.0 - self._tokens) / self.rate
