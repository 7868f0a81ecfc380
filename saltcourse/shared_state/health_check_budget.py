"""How many health checks of a backend this proxy may start: its share of what the whole fleet may send."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.shared_state.quota import QuotaLeases

BURST_PER_PROXY = 2.0  # health checks: the smallest share of the burst, half an equal part, then holds one


@dataclass(slots=True)
class SharedTokenBucket:
    """A bucket that this proxy's share of a rate fills.

    What all proxies spend in any span of time stays under ``rate`` times the span plus ``burst``, for a
    share that grows adds no tokens.
    """

    rate: float  # of the whole fleet, tokens per second
    burst: float  # of the whole fleet, tokens
    tokens: float = 0.0
    refilled_at: float = 0.0  # s

    def spend(self, now: float, share: float, amount: float = 1.0) -> bool:
        """Take tokens, if there are enough."""
        gained = share * self.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(share * self.burst, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class HealthCheckBudget:
    """A bucket for each backend that was ever checked; ``rate``: health checks a second of the fleet."""

    def __init__(self, rate: float, leases: QuotaLeases) -> None:
        self.rate = rate
        self.leases = leases
        self.buckets: dict[str, SharedTokenBucket] = {}

    def spend(self, now: float, backend: str, started_at: float) -> bool:
        """Take a token for a health check, if there is one; a new bucket fills from ``started_at``."""
        bucket = self.buckets.get(backend)
        if bucket is None:
            bucket = self.buckets[backend] = self._new_bucket(started_at)
        return bucket.spend(now, self.leases.share(now))

    def _new_bucket(self, started_at: float) -> SharedTokenBucket:
        """Empty, unless this proxy is alone: an earlier incarnation may have spent the tokens."""
        burst = BURST_PER_PROXY * self.leases.proxy_count
        tokens = burst if self.leases.alone else 0.0
        return SharedTokenBucket(self.rate, burst, tokens, started_at)
