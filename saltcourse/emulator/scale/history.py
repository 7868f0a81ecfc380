"""Who ran when, and who could reach whom: worked out from what the workers carried out, not from the plan."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from saltcourse.emulator.scale.records import Lifecycle
from saltcourse.emulator.scale.timeline import Act
from saltcourse.emulator.scale.topology import Place, Topology


@dataclass(frozen=True, slots=True)
class Interval:
    begin: float
    end: float  # infinite where it did not end in the run

    def meets(self, begin: float, end: float) -> bool:
        return self.begin <= end and begin <= self.end

    def holds(self, at: float) -> bool:
        return self.begin <= at < self.end


@dataclass(frozen=True, slots=True)
class Outage:
    """A member that was killed, and when it was started again."""

    member: int
    interval: Interval


class History:
    def __init__(self, topology: Topology, records: Iterable[Lifecycle]) -> None:
        self._topology = topology
        self._first_region = topology.places[0].region
        self.outages: list[Outage] = []
        self._running_from: dict[int, float] = {place.index: 0.0 for place in topology.real}
        self._away: dict[int, list[Interval]] = {place.index: [] for place in topology.places}
        self.cuts: list[Interval] = []
        killed: dict[int, float] = {}
        stopped: dict[int, float] = {}
        cut_at = math.inf
        for record in sorted(records, key=lambda record: record.at):
            member = record.member
            match Act(record.act):
                case Act.START if member in killed:
                    self._outage(member, Interval(killed.pop(member), record.at))
                case Act.START:
                    self._running_from.setdefault(member, record.at)
                case Act.KILL:
                    if member in stopped:
                        self._away[member].append(Interval(stopped.pop(member), record.at))
                    killed[member] = record.at
                case Act.STOP:
                    stopped[member] = record.at
                case Act.RESUME if member in stopped:
                    self._away[member].append(Interval(stopped.pop(member), record.at))
                case Act.CUT:
                    cut_at = min(cut_at, record.at)
                case Act.HEAL if cut_at < math.inf:
                    self.cuts.append(Interval(cut_at, record.at))
                    cut_at = math.inf
                case Act.HEAL if self.cuts:  # another worker's: all have healed with the last one
                    self.cuts[-1] = Interval(self.cuts[-1].begin, record.at)
                case _:
                    pass
        for member, at in killed.items():
            self._outage(member, Interval(at, math.inf))
        for member, at in stopped.items():
            self._away[member].append(Interval(at, math.inf))
        if cut_at < math.inf:
            self.cuts.append(Interval(cut_at, math.inf))

    def _outage(self, member: int, interval: Interval) -> None:
        self.outages.append(Outage(member, interval))
        self._away[member].append(interval)

    def live(self, at: float) -> list[Place]:
        """Those that run and are not stopped."""
        return [
            place
            for place in self._topology.places
            if self._running_from.get(place.index, math.inf) <= at
            and not any(away.holds(at) for away in self._away[place.index])
        ]

    def present(self, member: int, begin: float, end: float) -> bool:
        """Whether one process of the member ran through all of this time, and was never stopped."""
        started = self._running_from.get(member, math.inf)
        return started <= begin and not any(away.meets(begin, end) for away in self._away[member])

    def undisturbed(self, member: int, begin: float, end: float) -> bool:
        """As ``present``, but that it may have been started for the first time meanwhile."""
        started = self._running_from.get(member, math.inf)
        return started <= end and not any(away.meets(begin, end) for away in self._away[member])

    def cut_between(self, one: int, other: int, begin: float, end: float) -> bool:
        """Whether a cut lay between them at any time."""
        if self._in_first_region(one) == self._in_first_region(other):
            return False
        return any(cut.meets(begin, end) for cut in self.cuts)

    def cut_off(self, member: int, begin: float, end: float) -> bool:
        """Whether it was cut off from a majority of the voters at any time."""
        side = self._in_first_region(member)
        near = [voter for voter in self._topology.voters if self._in_first_region(voter.index) == side]
        return 2 * len(near) <= len(self._topology.voters) and any(cut.meets(begin, end) for cut in self.cuts)

    def zone_lost(self, member: int, at: float) -> bool:
        """Whether its whole zone was down."""
        zone = self._topology.places[member].zone
        return not any(place.zone == zone for place in self.live(at))

    def _in_first_region(self, member: int) -> bool:
        return self._topology.places[member].region == self._first_region


class Steps:
    """Values that a member told, each in force until its next one."""

    def __init__(self) -> None:
        self._times: list[float] = []
        self._values: list[tuple[int, int]] = []

    def add(self, at: float, value: tuple[int, int]) -> None:
        """In the order of time."""
        self._times.append(at)
        self._values.append(value)

    def at(self, at: float) -> tuple[int, int] | None:
        place = bisect_right(self._times, at)
        return self._values[place - 1] if place else None
