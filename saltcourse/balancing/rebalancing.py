"""Rebalancing: established connections are migrated, a few each tick, to where new ones would be placed.

The rules, both only where loads are not reported:

- Zone failback: while less than a tenth of the local backends have a cut ceiling, 5% of the connections in
  other zones are migrated each second. Not where groups count: a connection of a group would lose its
  others.
- Group consolidation: the fullest backend gives up what it holds above the most that it would be sent, of
  its largest group; else a group of at most two connections there, if another backend holds more of it and
  less in all. While any listed backend is ejected or probed nothing is given up for fullness: the others
  are fuller then, and what is migrated would come back.

Inputs: occupancies in slots, the tick in seconds. Output: ``MigrateConnection`` actions.

Why: crossing zones costs, and each backend that holds any of a group pays for it. Connections resumed after
a restart, or placed while the local zone was down, are often not where they would be placed now.
"""

from __future__ import annotations

import math

from saltcourse.balancing.backend_pool import BackendPool
from saltcourse.balancing.events import BackendState
from saltcourse.balancing.group_affinity import group_occupancy_limit
from saltcourse.balancing.migration import Migration
from saltcourse.balancing.occupancy import GROUP_SLOTS
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.state import Backend, HealthState, Request

FAILBACK_SHARE_PER_SECOND = 0.05  # of the connections in other zones
MAX_CUT_SHARE = 0.1  # of the local backends; from it on nothing fails back
MAX_STRAGGLERS = 2  # connections of a group, at most, that are migrated to where more of it are
MIN_CAPACITY = 0.1  # relative; a backend that warms up is not taken for the fullest by a single connection


class Rebalancing:
    """Migrates connections to better places."""

    __slots__ = ("_has_groups", "_migration", "_pool")

    def __init__(self, settings: Settings, pool: BackendPool, migration: Migration) -> None:
        self._has_groups = settings.has_groups
        self._pool = pool
        self._migration = migration

    def fail_back(self, now: float, elapsed: float) -> None:
        """Migrate a share of the connections in other zones, for a tick of ``elapsed`` seconds."""
        local = [b for b in self._pool.candidates if b.is_local]
        cut = sum([b.ceiling_record.cut_until > now for b in local])
        if self._has_groups or cut >= MAX_CUT_SHARE * len(local):
            return
        remote = [
            connection
            for backend in self._pool.backends.values()
            if not backend.is_local
            for connection in backend.connections.values()
        ]
        self._migration.migrate_share(remote, FAILBACK_SHARE_PER_SECOND * elapsed)

    def consolidate_groups(self) -> None:
        """Let the fullest backend give up connections of one group."""
        fullest = max(self._pool.candidates, key=_fullness, default=None)
        if fullest is None or not fullest.groups:
            return
        counts = sorted((count, group) for group, count in fullest.groups.items())
        smallest_count, smallest = counts[0]
        _, largest = counts[-1]
        excess = self._excess_slots(fullest)
        if excess > 0:
            self._migration.migrate(_connections_of(fullest, largest)[:excess])
        elif smallest_count <= MAX_STRAGGLERS and self._has_better_backend(fullest, smallest, smallest_count):
            self._migration.migrate(_connections_of(fullest, smallest))

    def _excess_slots(self, fullest: Backend) -> int:
        """Slots that the backend holds above the most that it would be sent; 0 while any other is ejected."""
        healthy = [b for b in self._pool.candidates if b.health.state is HealthState.HEALTHY]
        if len(healthy) != sum([b.state is BackendState.READY for b in self._pool.backends.values()]):
            return 0
        return math.ceil(_fullness(fullest) - group_occupancy_limit(healthy))

    def _has_better_backend(self, fullest: Backend, group: str, count: int) -> bool:
        return any(
            [
                b.groups.get(group, 0) > count and b.occupancy < fullest.occupancy - GROUP_SLOTS
                for b in self._pool.candidates
            ]
        )


def _fullness(backend: Backend) -> float:
    return backend.occupancy / max(backend.current_capacity, MIN_CAPACITY)


def _connections_of(backend: Backend, group: str) -> list[Request]:
    return [c for c in backend.connections.values() if c.group == group]
