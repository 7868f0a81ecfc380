"""Whether this member may be behind, by the publisher's heartbeat that all headers carry."""

from __future__ import annotations

from saltcourse.gossip.messages import Freshness, Heartbeat
from saltcourse.gossip.settings import Timing

WAKE_GRACE_SECONDS = 0.5  # after a stall, datagrams of before are read: their heartbeats prove nothing


class FreshnessMonitor:
    """Keeps the highest heartbeat and when it was received."""

    def __init__(self, timing: Timing) -> None:
        self.heartbeat = Heartbeat()
        self._stale_after = timing.stale_after
        self._fresh_until: float | None = None  # None: no heartbeat since the start or since a stall
        self._ignore_until = float("-inf")

    def observe(self, now: float, heartbeat: Heartbeat, epoch: int) -> bool:
        """Take a heartbeat. Whether it is higher than all before.

        ``epoch`` is that of the configuration's position: a publisher of an older one has been replaced, and
        what it still sends is not new.
        """
        if heartbeat <= self.heartbeat or heartbeat.epoch < epoch:
            return False
        self.heartbeat = heartbeat
        if now >= self._ignore_until:
            self._fresh_until = now + self._stale_after
        return True

    def on_stall(self, now: float) -> None:
        """This process did not run for a while; it is stale until the next new heartbeat."""
        self._fresh_until = None
        self._ignore_until = now + WAKE_GRACE_SECONDS

    def freshness(self, now: float, behind: bool) -> Freshness:
        """``STALE`` also where a higher version is known: there may be still higher ones."""
        if self._fresh_until is not None and now >= self._fresh_until:
            self._fresh_until = None  # or the deadline would lie in the past from now on
        if self._fresh_until is None:
            return Freshness.STALE
        return Freshness.BEHIND if behind else Freshness.CURRENT

    def next_deadline(self) -> float:
        """When this member becomes stale unless a heartbeat comes."""
        return self._fresh_until if self._fresh_until is not None else float("inf")
