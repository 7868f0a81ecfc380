"""Aggregated logging of gossip events.

Writes at most one line of each kind per ``LOG_INTERVAL_SECONDS``, regardless of the number of events.
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
MAX_LOGGED_NAMES = 8  # names written out per line; the others are only counted

log = structlog.get_logger("saltcourse")

LoggedEvent = MemberChanged | Applied | FreshnessChanged | ZoneReachability


class EventLog:
    """Collects events and logs them together ``LOG_INTERVAL_SECONDS`` after the first of them."""

    def __init__(self) -> None:
        self._members: dict[str, MemberChanged] = {}  # latest change by member name
        self._position: Position | None = None
        self._keys: set[str] = set()
        self._applied_count = 0
        self._freshness: Freshness | None = None
        self._zones: dict[str, bool] = {}
        self._timer: asyncio.TimerHandle | None = None

    def record(self, event: LoggedEvent) -> None:
        """Add an event to those that are logged within ``LOG_INTERVAL_SECONDS``."""
        match event:
            case MemberChanged():
                self._members[event.name] = event
            case Applied(position, changed):
                self._position = position
                self._keys.update(changed)
                self._applied_count += 1
            case FreshnessChanged(freshness):
                self._freshness = freshness
            case ZoneReachability(zone, reachable):
                self._zones[zone] = reachable
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(LOG_INTERVAL_SECONDS, self.flush)

    def flush(self) -> None:
        """Log the collected events immediately."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._log_zones()
        self._log_members()
        self._log_configuration()
        self._log_freshness()

    def _log_zones(self) -> None:
        unreachable = [zone for zone, reachable in self._zones.items() if not reachable]
        if unreachable:
            log.warning("gossip zones unreachable", zones=_join_names(unreachable))
        reachable = [zone for zone, is_reachable in self._zones.items() if is_reachable]
        if reachable:
            log.info("gossip zones reachable again", zones=_join_names(reachable))
        self._zones.clear()

    def _log_members(self) -> None:
        if not self._members:
            return
        counts = Counter(change.status.name.lower() for change in self._members.values())
        described = [f"{change.name}={change.status.name.lower()}" for change in self._members.values()]
        log.info("gossip members changed", **counts, members=_join_names(described))
        self._members.clear()

    def _log_configuration(self) -> None:
        if self._position is None:
            return
        position = self._position
        log.info(
            "gossip configuration applied",
            epoch=position.epoch,
            version=position.version,
            times=self._applied_count,
            keys=_join_names(sorted(self._keys)),
        )
        self._position = None
        self._keys.clear()
        self._applied_count = 0

    def _log_freshness(self) -> None:
        if self._freshness is None:
            return
        log_method = log.warning if self._freshness is Freshness.STALE else log.info
        log_method("gossip configuration freshness changed", freshness=self._freshness.name.lower())
        self._freshness = None


def _join_names(names: list[str]) -> str:
    shown = ",".join(names[:MAX_LOGGED_NAMES])
    omitted = len(names) - MAX_LOGGED_NAMES
    return f"{shown},and {omitted} more" if omitted > 0 else shown
