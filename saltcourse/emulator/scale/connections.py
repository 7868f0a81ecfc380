"""The client connections that a hollow proxy pretends to hold: when they come and end, and nothing else."""

from __future__ import annotations

import heapq
from random import Random

from saltcourse.emulator.scale.scenario import Arrivals


class ConnectionLives:
    """Connections come as a Poisson process and last for exponentially drawn times. Each has a number."""

    def __init__(self, arrivals: Arrivals, random: Random) -> None:
        self._arrivals = arrivals
        self._random = random
        self._ends: list[tuple[float, int]] = []  # the next one first
        self._next_arrival = 0.0
        self._number = 0

    def __len__(self) -> int:
        return len(self._ends)

    def start(self, now: float) -> list[int]:
        """The proxy holds as many as it does in the mean."""
        self._next_arrival = now
        standing = round(self._arrivals.connections_per_s * self._arrivals.life)
        return [self._begin(now) for _ in range(standing)]

    def begun(self, now: float) -> list[int]:
        """Those that have come since the last call."""
        found: list[int] = []
        rate = self._arrivals.connections_per_s
        while rate > 0 and self._next_arrival <= now:
            found.append(self._begin(now))
            self._next_arrival += self._random.expovariate(rate)
        return found

    def ended(self, now: float) -> list[int]:
        """Those that have ended since the last call."""
        found: list[int] = []
        while self._ends and self._ends[0][0] <= now:
            found.append(heapq.heappop(self._ends)[1])
        return found

    def _begin(self, now: float) -> int:
        self._number += 1
        heapq.heappush(self._ends, (now + self._random.expovariate(1 / self._arrivals.life), self._number))
        return self._number
