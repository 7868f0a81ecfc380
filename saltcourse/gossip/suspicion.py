"""Timers of suspicions: who is dead when, unless it objects.

Cost that grows with the fleet: one timer for each suspect, none for members alive.
"""

from __future__ import annotations

import heapq
import math

from saltcourse.gossip.messages import MemberId
from saltcourse.gossip.settings import Timing

_HEAP_SLACK = 64  # stopped timers left in the heap before it is built anew


def suspicion_timeout(timing: Timing, fleet: int) -> float:
    """Seconds that a suspect has to object; news need longer to pass through a larger fleet."""
    return timing.suspicion_multiplier * max(1.0, math.log10(fleet)) * timing.probe_interval


class SuspicionTimers:
    """One timer for each suspect. A stopped one stays in the heap until its time or until there are many."""

    def __init__(self) -> None:
        self._deadlines: dict[MemberId, float] = {}
        self._heap: list[tuple[float, MemberId]] = []

    def __len__(self) -> int:
        return len(self._deadlines)

    def start(self, member: MemberId, deadline: float) -> None:
        self._deadlines[member] = deadline
        heapq.heappush(self._heap, (deadline, member))
        if len(self._heap) > 2 * len(self._deadlines) + _HEAP_SLACK:
            self._rebuild()

    def stop(self, member: MemberId) -> None:
        self._deadlines.pop(member, None)

    def restart(self, deadline: float) -> None:
        """All of them, to one new deadline."""
        self._deadlines = dict.fromkeys(self._deadlines, deadline)
        self._rebuild()

    def expired(self, now: float) -> list[MemberId]:
        """Those whose time is up; their timers are gone."""
        members = []
        while self.next_deadline() <= now:
            _, member = heapq.heappop(self._heap)
            del self._deadlines[member]
            members.append(member)
        return members

    def next_deadline(self) -> float:
        while self._heap:
            deadline, member = self._heap[0]
            if self._deadlines.get(member) == deadline:
                return deadline
            heapq.heappop(self._heap)
        return math.inf

    def _rebuild(self) -> None:
        self._heap = [(deadline, member) for member, deadline in self._deadlines.items()]
        heapq.heapify(self._heap)
