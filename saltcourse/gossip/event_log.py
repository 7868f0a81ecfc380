"""Log lines about a member's events, summed up.

At most one line of each kind in ``LOG_INTERVAL_SECONDS``, however many members come and go.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import structlog

from saltcourse.gossip.messages import (
    Applied,
    Freshness,
    FreshnessChanged,
    MemberChanged,
    Position,
    ZoneReachability,
)

LOG_INTERVAL_SECONDS = 1.0
MAX_NAMES = 8  # in one line; more are counted

log = structlog.get_logger("saltcourse")

Reported = MemberChanged | Applied | FreshnessChanged | ZoneReachability


class EventLog:
    """Collects events from the first one on, and logs them ``LOG_INTERVAL_SECONDS`` later."""

    def __init__(self) -> None:
        self._members: dict[str, MemberChanged] = {}  # the last change of each
        self._position: Position | None = None
        self._keys: set[str] = set()
        self._applied = 0
        self._freshness: Freshness | None = None
        self._zones: dict[str, bool] = {}
        self._timer: asyncio.TimerHandle | None = None

    def record(self, event: Reported) -> None:
        """Collect an event; it is logged within ``LOG_INTERVAL_SECONDS``."""
        match event:
            case MemberChanged():
                self._members[event.name] = event
            case Applied(position, changed):
                self._position = position
                self._keys.update(changed)
                self._applied += 1
            case FreshnessChanged(freshness):
                self._freshness = freshness
            case ZoneReachability(zone, reachable):
                self._zones[zone] = reachable
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(LOG_INTERVAL_SECONDS, self.flush)

    def flush(self) -> None:
        """Log at once what was collected."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._log_zones()
        self._log_members()
        self._log_applied()
        self._log_freshness()

    def _log_zones(self) -> None:
        unreachable = [zone for zone, reachable in self._zones.items() if not reachable]
        if unreachable:
            log.warning("gossip zones unreachable", zones=_names(unreachable))
        reachable = [zone for zone, is_reachable in self._zones.items() if is_reachable]
        if reachable:
            log.info("gossip zones reachable again", zones=_names(reachable))
        self._zones.clear()

    def _log_members(self) -> None:
        if not self._members:
            return
        counts = Counter(change.status.name.lower() for change in self._members.values())
        described = [f"{change.name}={change.status.name.lower()}" for change in self._members.values()]
        log.info("gossip members changed", **counts, members=_names(described))
        self._members.clear()

    def _log_applied(self) -> None:
        if self._position is None:
            return
        position = self._position
        log.info(
            "gossip configuration applied",
            epoch=position.epoch,
            version=position.version,
            times=self._applied,
            keys=_names(sorted(self._keys)),
        )
        self._position = None
        self._keys.clear()
        self._applied = 0

    def _log_freshness(self) -> None:
        if self._freshness is None:
            return
        write = log.warning if self._freshness is Freshness.STALE else log.info
        write("gossip configuration freshness", freshness=self._freshness.name.lower())
        self._freshness = None


def _names(names: list[str]) -> str:
    shown = ",".join(names[:MAX_NAMES])
    more = len(names) - MAX_NAMES
    return f"{shown},and {more} more" if more > 0 else shown
