"""The timers of a worker process and statistics on their lag."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from random import Random

from saltcourse.emulator.scale.summary import percentile

LAG_SAMPLES = 4_096
MAX_TIMERS_AT_ONCE = 256  # timers run per call, so that the sockets are read in between
Callback = Callable[[], None]


class LagSample:
    """A bounded random sample of timer lags in seconds, uniform over the whole run (reservoir sampling)."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._lags: list[float] = []
        self._count = 0
        self.max = 0.0

    def add(self, lag: float) -> None:
        """Add one timer that ran ``lag`` seconds late."""
        self._count += 1
        self.max = max(self.max, lag)
        if len(self._lags) < LAG_SAMPLES:
            self._lags.append(lag)
        elif (slot := self._random.randrange(self._count)) < LAG_SAMPLES:
            self._lags[slot] = lag

    @property
    def p99(self) -> float:
        """The 99th percentile in seconds; 0 if no timer has run."""
        return percentile(self._lags, 0.99) if self._lags else 0.0


class TimerQueue:
    """Callbacks ordered by expiry time on CLOCK_MONOTONIC; equal times run in the order they were added."""

    def __init__(self, random: Random) -> None:
        self._heap: list[tuple[float, int, Callback]] = []
        self._sequence = 0
        self.lag = LagSample(random)

    def call_at(self, when: float, callback: Callback) -> None:
        """Schedule the callback to run once, at or after ``when``."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, callback))

    def call_every(self, start: float, interval: float, callback: Callable[[], object]) -> None:
        """Schedule the callback at ``start`` plus each multiple of ``interval`` seconds, without drift."""
        self._repeat(start, interval, callback, 1)

    def _repeat(self, start: float, interval: float, callback: Callable[[], object], count: int) -> None:
        def expire() -> None:
            callback()
            self._repeat(start, interval, callback, count + 1)

        self.call_at(start + count * interval, expire)

    def next_expiry(self, default: float) -> float:
        """Return the time of the next expiry, or ``default`` if that is earlier."""
        return min(self._heap[0][0], default) if self._heap else default

    def run_expired(self) -> None:
        """Run up to ``MAX_TIMERS_AT_ONCE`` expired timers."""
        for _ in range(MAX_TIMERS_AT_ONCE):
            now = time.monotonic()
            if not self._heap or self._heap[0][0] > now:
                return
            expired_at, _, callback = heapq.heappop(self._heap)
            self.lag.add(now - expired_at)
            callback()
