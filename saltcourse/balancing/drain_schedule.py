"""When each standing connection of a proxy that is emptied is told MOVE: choices only, no I/O, no clock.

Moved clients come back through the front to the other proxies (or to the process that replaces this
one), and each of those sets their connections up again. All at once, they find set-ups slow and
ceilings that grow a slot at a time, and many are refused. So the moves are spread evenly over the
time that the rules leave: at each look, what still stands is moved in proportion to the time that
is left, and whatever stands at the end is moved then.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class DrainPlan:
    begin: float  # s: the first moves
    end: float  # s: all that stands is moved by then

    def due(self, now: float, standing: int, step: float) -> int:
        """How many of the ``standing`` connections are moved now; the next look comes ``step`` later."""
        if standing <= 0 or now < self.begin:
            return 0
        left = self.end - now
        if left <= step:
            return standing
        return min(standing, math.ceil(standing * step / left))
