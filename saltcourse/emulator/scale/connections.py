"""Arrivals and ends of a simulated proxy's client connections. No connection is actually opened."""

from __future__ import annotations

import heapq
from random import Random

from saltcourse.emulator.scale.scenario import Arrivals


class ConnectionChurn:
    """Numbered connections that arrive as a Poisson process and have exponentially distributed lifetimes.

    Times are seconds of any one clock.
    """

    def __init__(self, arrivals: Arrivals, random: Random) -> None:
        self._arrivals = arrivals
        self._random = random
        self._ends: list[tuple[float, int]] = []  # heap of (end time, connection number)
        self._next_arrival = 0.0
        self._number = 0

    def __len__(self) -> int:
        return len(self._ends)

    def start(self, now: float) -> list[int]:
        """Open the mean number of concurrent connections and return their numbers."""
        self._next_arrival = now
        established = round(self._arrivals.connections_per_s * self._arrivals.mean_lifetime)
        return [self._open(now) for _ in range(established)]

    def begun(self, now: float) -> list[int]:
        """Return the numbers of the connections that began since the previous call."""
        begun: list[int] = []
        rate = self._arrivals.connections_per_s
        while rate > 0 and self._next_arrival <= now:
            begun.append(self._open(now))
            self._next_arrival += self._random.expovariate(rate)
        return begun

    def ended(self, now: float) -> list[int]:
        """Return the numbers of the connections that ended since the previous call."""
        ended: list[int] = []
        while self._ends and self._ends[0][0] <= now:
            ended.append(heapq.heappop(self._ends)[1])
        return ended

    def _open(self, now: float) -> int:
        self._number += 1
        heapq.heappush(
            self._ends, (now + self._random.expovariate(1 / self._arrivals.mean_lifetime), self._number)
        )
        return self._number
