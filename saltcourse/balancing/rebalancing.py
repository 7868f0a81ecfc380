"""Rebalancing: on each tick, migrates a few established connections to the backends that new ones would get.

Both rules apply only if loads are not reported:

- Zone failback: 5% of the connections in other zones are migrated each second, while less than a tenth of the
  local backends have a cut ceiling. The rule does not apply if the deployment has groups, because it would
  separate connections of a group.
- Group consolidation: if the fullest backend exceeds the limit for new connections of its groups, the excess
  is migrated from its largest group. Otherwise a group with at most two connections on it is migrated if
  another backend has more connections of that group and a lower occupancy. No excess is migrated unless all
  listed backends are healthy: an ejected backend makes the others fuller, and the clients would return.

Inputs: occupancies in slots, the tick in seconds. Output: ``MigrateConnection`` actions.

Why: crossing zones is costly, and a group has a cost at each backend that serves any of its connections.
Connections that were resumed after a restart, or placed while the local zone was down, are often on backends
where they would not be placed now.
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

FAILBACK_SHARE_PER_SECOND = 0.05  # Share of the connections in other zones.
MAX_CUT_SHARE = 0.1  # No failback at or above this share of local backends with a cut ceiling.
MAX_SMALL_PART = 2  # Connections; a part of a group up to this size is migrated to join a larger part.
MIN_CAPACITY = 0.1  # Lower bound, so that one connection does not make a warming backend the fullest one.


class Rebalancing:
    """Migrates connections to preferred backends."""

    __slots__ = ("_has_groups", "_migration", "_pool")

    def __init__(self, settings: Settings, pool: BackendPool, migration: Migration) -> None:
        self._has_groups = settings.has_groups
        self._pool = pool
        self._migration = migration

    def fail_back(self, now: float, elapsed: float) -> None:
        """Migrate a share of the connections in other zones; ``elapsed`` is the length of the tick (s)."""
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
        """Migrate connections of one group away from the fullest backend."""
        fullest = max(self._pool.candidates, key=_fullness, default=None)
        if fullest is None or not fullest.groups:
            return
        counts = sorted((count, group) for group, count in fullest.groups.items())
        smallest_count, smallest = counts[0]
        _, largest = counts[-1]
        excess = self._excess_slots(fullest)
        if excess > 0:
            self._migration.migrate(_connections_of(fullest, largest)[:excess])
        elif smallest_count <= MAX_SMALL_PART and self._has_better_backend(fullest, smallest, smallest_count):
            self._migration.migrate(_connections_of(fullest, smallest))

    def _excess_slots(self, fullest: Backend) -> int:
        """Return the backend's slots above the limit, or 0 unless all listed backends are healthy."""
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
