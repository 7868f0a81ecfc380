"""Determines how fresh a configuration is from the publisher's heartbeats, which all headers carry."""

from __future__ import annotations

from saltcourse.gossip.messages import Freshness, Heartbeat
from saltcourse.gossip.settings import Timing

# After a stall, datagrams that were queued before it are read first; their heartbeats don't prove freshness.
STALL_GRACE_SECONDS = 0.5


class FreshnessMonitor:
    """Tracks the highest heartbeat and the time at which it was received."""

    def __init__(self, timing: Timing) -> None:
        self.heartbeat = Heartbeat()
        self._stale_after = timing.stale_after
        self._fresh_until: float | None = None  # None: no new heartbeat since the start or a stall
        self._ignore_until = float("-inf")

    def observe(self, now: float, heartbeat: Heartbeat, epoch: int) -> bool:
        """Record a heartbeat; return whether it is higher than all earlier ones.

        ``epoch`` is the epoch of the configuration's position. A publisher of an older epoch has been
        replaced, so its heartbeats are ignored.
        """
        if heartbeat <= self.heartbeat or heartbeat.epoch < epoch:
            return False
        self.heartbeat = heartbeat
        if now >= self._ignore_until:
            self._fresh_until = now + self._stale_after
        return True

    def on_stall(self, now: float) -> None:
        """Mark this member stale until the next new heartbeat, since this process did not run for a while."""
        self._fresh_until = None
        self._ignore_until = now + STALL_GRACE_SECONDS

    def freshness(self, now: float, behind: bool) -> Freshness:
        """Return the freshness. ``STALE`` has precedence over ``BEHIND``: even newer versions may exist."""
        if self._fresh_until is not None and now >= self._fresh_until:
            self._fresh_until = None  # otherwise ``next_deadline`` would stay in the past
        if self._fresh_until is None:
            return Freshness.STALE
        return Freshness.BEHIND if behind else Freshness.CURRENT

    def next_deadline(self) -> float:
        """Return the time at which this member becomes stale unless it receives a new heartbeat."""
        return self._fresh_until if self._fresh_until is not None else float("inf")
