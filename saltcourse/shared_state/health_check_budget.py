"""Limits the health checks that this proxy sends to a backend to its share of a fleet-wide rate."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.shared_state.quota import QuotaLeases

BURST_PER_PROXY = 2.0  # health checks; the smallest share, which is half an equal part, still allows one


@dataclass(slots=True)
class SharedTokenBucket:
    """A token bucket that is refilled at this proxy's share of a fleet-wide rate.

    Over any time span, all proxies together spend at most ``rate`` times the span plus ``burst`` tokens. A
    share that grows raises the refill rate and the capacity but adds no tokens.
    """

    rate: float  # refill rate of the whole fleet, tokens per second
    burst: float  # capacity for the whole fleet, tokens
    tokens: float = 0.0
    refilled_at: float = 0.0  # seconds

    def spend(self, now: float, share: float, amount: float = 1.0) -> bool:
        """Take ``amount`` tokens; return False and take none if there are not enough."""
        gained = share * self.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(share * self.burst, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class HealthCheckBudget:
    """One token bucket per backend. ``rate``: health checks per second to one backend, of the whole fleet."""

    def __init__(self, rate: float, leases: QuotaLeases) -> None:
        self.rate = rate
        self.leases = leases
        self.buckets: dict[str, SharedTokenBucket] = {}

    def restart(self) -> None:
        """Begin with empty buckets, because another process of this proxy may have spent the tokens."""
        self.buckets.clear()

    def spend(self, now: float, backend: str, started_at: float) -> bool:
        """Return whether a health check of the backend may start now, and take its token.

        ``started_at``: when this proxy started (seconds); a new bucket is refilled from then.
        """
        bucket = self.buckets.get(backend)
        if bucket is None:
            bucket = self.buckets[backend] = self._new_bucket(started_at)
        return bucket.spend(now, self.leases.share(now))

    def _new_bucket(self, started_at: float) -> SharedTokenBucket:
        """Return a full bucket for an isolated proxy, otherwise an empty one.

        The bucket is empty because an earlier process of this proxy may have spent the tokens.
        """
        burst = BURST_PER_PROXY * self.leases.proxy_count
        tokens = burst if self.leases.isolated else 0.0
        return SharedTokenBucket(self.rate, burst, tokens, started_at)
