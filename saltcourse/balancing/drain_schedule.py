"""When each established connection of a draining proxy is migrated: no I/O, no clock.

Migrated clients come back through the front to the other proxies (or to the process that replaces this one),
and each of those sets their connections up again. All at once, they find slow set-ups and ceilings that grow
a slot at a time, and many are rejected. So the migrations are spread evenly over the time that the drain
leaves: at each check, the connections that are still established are migrated in proportion to the time
left, and whatever is established at the end is migrated then.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Spreads migrations between ``begin`` and ``end`` (s, on the clock that ``due`` is given)."""

    begin: float  # the first migrations
    end: float  # all are migrated by then

    def connections_to_migrate(self, now: float, established: int, interval: float) -> int:
        """How many of the ``established`` connections to migrate now; the next check is in ``interval`` s."""
        if established <= 0 or now < self.begin:
            return 0
        time_left = self.end - now
        if time_left <= interval:
            return established
        return min(established, math.ceil(established * interval / time_left))
