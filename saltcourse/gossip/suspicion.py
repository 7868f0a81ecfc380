"""Suspicion timers: a suspect that does not refute the suspicion in time is declared dead.

A suspect is pinged directly before it is declared dead, because its refutation may not have reached this
member: an epidemic broadcast misses about one member in a hundred.

Costs that grow with the fleet: one timer for each suspect, none for other members. For each death in the
fleet, every member sends len(PING_FRACTIONS) Pings.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field

from saltcourse.gossip.messages import MemberId
from saltcourse.gossip.settings import Timing

PING_FRACTIONS = (0.4, 0.6, 0.8)  # fractions of the suspicion timeout at which the suspect is pinged
_HEAP_SLACK = 64  # number of stale heap entries that are always tolerated before the heap is rebuilt


def suspicion_timeout(timing: Timing, fleet_size: int) -> float:
    """Return the seconds that a suspect has to refute the suspicion.

    The timeout grows with log10 of the fleet size, since updates take longer to reach a larger fleet.
    """
    return timing.suspicion_multiplier * max(1.0, math.log10(fleet_size)) * timing.probe_interval


@dataclass(slots=True)
class Suspicion:
    """A running suspicion. Times in seconds."""

    started_at: float
    timeout: float
    pings: int = 0  # Pings sent to the suspect so far

    @property
    def deadline(self) -> float:
        """Time of the next step: a Ping to the suspect, or its declaration as dead."""
        fraction = PING_FRACTIONS[self.pings] if self.pings < len(PING_FRACTIONS) else 1.0
        return self.started_at + fraction * self.timeout


@dataclass(slots=True)
class ReadySuspicions:
    """Suspects to ping now and suspects whose timeout has expired."""

    to_ping: list[MemberId] = field(default_factory=list)
    expired: list[MemberId] = field(default_factory=list)


class SuspicionTimers:
    """One timer for each suspect.

    The heap entry of a stopped timer is removed when it comes to the top or when the heap is rebuilt.
    """

    def __init__(self) -> None:
        self._suspicions: dict[MemberId, Suspicion] = {}
        self._heap: list[tuple[float, MemberId]] = []

    def __len__(self) -> int:
        """Return the number of running suspicions."""
        return len(self._suspicions)

    def __contains__(self, member: object) -> bool:
        """Return whether a suspicion timer runs for the member."""
        return member in self._suspicions

    def start(self, now: float, member: MemberId, timeout: float) -> None:
        """Start or restart the timer of a member; ``timeout`` in seconds."""
        self._suspicions[member] = Suspicion(now, timeout)
        self._push(member)
        if len(self._heap) > 2 * len(self._suspicions) + _HEAP_SLACK:
            self._rebuild()

    def stop(self, member: MemberId) -> None:
        """Stop the timer of a member, if there is one."""
        self._suspicions.pop(member, None)

    def restart(self, now: float, timeout: float) -> None:
        """Restart all timers; ``timeout`` in seconds."""
        for member in self._suspicions:
            self._suspicions[member] = Suspicion(now, timeout)
        self._rebuild()

    def take_ready(self, now: float) -> ReadySuspicions:
        """Return the suspects to ping and those to declare dead, and remove the timers of the latter."""
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
        """Return the time of the next required ``take_ready``, in seconds; infinity without suspicions."""
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
