"""Timers of suspicions: who is declared dead when, unless it refutes the suspicion.

A suspect is pinged directly before it is declared dead: its refutation may have missed this member, as an
epidemic broadcast misses one in a hundred. Cost that grows with the fleet: one timer for each suspect, none
for members alive; and len(PING_FRACTIONS) Pings of each member for each death in the fleet.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field

from saltcourse.gossip.messages import MemberId
from saltcourse.gossip.settings import Timing

PING_FRACTIONS = (0.4, 0.6, 0.8)  # of a suspicion's time
_HEAP_SLACK = 64  # stopped timers left in the heap before it is built anew


def suspicion_timeout(timing: Timing, fleet: int) -> float:
    """Seconds that a suspect has to refute it; updates need longer to pass through a larger fleet."""
    return timing.suspicion_multiplier * max(1.0, math.log10(fleet)) * timing.probe_interval


@dataclass(slots=True)
class Suspicion:
    """A suspicion that has begun. Times in seconds."""

    started_at: float
    timeout: float
    pings: int = 0

    @property
    def deadline(self) -> float:
        """Of the next step: to ping the suspect, or to declare it dead."""
        share = PING_FRACTIONS[self.pings] if self.pings < len(PING_FRACTIONS) else 1.0
        return self.started_at + share * self.timeout


@dataclass(slots=True)
class ReadySuspicions:
    """Suspects whose next step has come."""

    to_ping: list[MemberId] = field(default_factory=list)
    expired: list[MemberId] = field(default_factory=list)


class SuspicionTimers:
    """One timer for each suspect. A stopped one stays in the heap until its time or until there are many."""

    def __init__(self) -> None:
        self._suspicions: dict[MemberId, Suspicion] = {}
        self._heap: list[tuple[float, MemberId]] = []

    def __len__(self) -> int:
        """Count the suspicions."""
        return len(self._suspicions)

    def __contains__(self, member: object) -> bool:
        """Whether the member is suspect and its timer runs."""
        return member in self._suspicions

    def start(self, now: float, member: MemberId, timeout: float) -> None:
        """Begin a suspicion, or begin it anew; ``timeout`` in seconds."""
        self._suspicions[member] = Suspicion(now, timeout)
        self._push(member)
        if len(self._heap) > 2 * len(self._suspicions) + _HEAP_SLACK:
            self._rebuild()

    def stop(self, member: MemberId) -> None:
        """End a suspicion, if there is one."""
        self._suspicions.pop(member, None)

    def restart(self, now: float, timeout: float) -> None:
        """Begin all suspicions anew."""
        for member in self._suspicions:
            self._suspicions[member] = Suspicion(now, timeout)
        self._rebuild()

    def take_ready(self, now: float) -> ReadySuspicions:
        """Return the suspects to ping and those to declare dead; the timers of the latter are gone."""
        ready = ReadySuspicions()
        while self.next_deadline() <= now:
            _, member = heapq.heappop(self._heap)
            suspicion = self._suspicions[member]
            if suspicion.pings < len(PING_FRACTIONS):
                suspicion.pings += 1
                self._push(member)
                ready.to_ping.append(member)
            else:
                del self._suspicions[member]
                ready.expired.append(member)
        return ready

    def next_deadline(self) -> float:
        """When ``take_ready`` is to be called, in seconds on the clock of ``now``."""
        while self._heap:
            deadline, member = self._heap[0]
            suspicion = self._suspicions.get(member)
            if suspicion is not None and suspicion.deadline == deadline:
                return deadline
            heapq.heappop(self._heap)
        return math.inf

    def _push(self, member: MemberId) -> None:
        heapq.heappush(self._heap, (self._suspicions[member].deadline, member))

    def _rebuild(self) -> None:
        self._heap = [(suspicion.deadline, member) for member, suspicion in self._suspicions.items()]
        heapq.heapify(self._heap)
