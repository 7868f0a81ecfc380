"""Drain schedule: spreads the migrations of a draining proxy evenly over the duration of the drain.

Migrated clients reconnect to the other proxies, or to the process that replaces this one. If all reconnected
together, connection setup would be slow, ceilings would grow by only one slot at a time, and many clients
would be rejected. Therefore each check migrates connections in proportion to the check interval over the
time left, and the last check migrates the rest.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Spreads migrations between ``begin`` and ``end`` (s, on the caller's clock)."""

    begin: float  # Time of the first migrations.
    end: float  # Time by which all connections have been migrated.

    def connections_to_migrate(self, now: float, established: int, interval: float) -> int:
        """Return how many of the ``established`` connections to migrate now.

        ``interval`` is the time (s) until the next check.
        """
        if established <= 0 or now < self.begin:
            return 0
        time_left = self.end - now
        if time_left <= interval:
            return established
        return min(established, math.ceil(established * interval / time_left))
