"""Which members ran when, and which could reach each other.

Worked out from the actions that the workers carried out, not from the plan.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from saltcourse.emulator.scale.records import Lifecycle
from saltcourse.emulator.scale.timeline import FaultAction
from saltcourse.emulator.scale.topology import MemberSpec, Topology


@dataclass(frozen=True, slots=True)
class Interval:
    """A span of time in seconds since the begin of the run."""

    begin: float
    end: float  # infinite where it did not end in the run

    def overlaps(self, begin: float, end: float) -> bool:
        """Whether the two spans have a moment in common."""
        return self.begin <= end and begin <= self.end

    def contains(self, at: float) -> bool:
        """Whether the moment is within the span; its end is not."""
        return self.begin <= at < self.end


@dataclass(frozen=True, slots=True)
class Outage:
    """A member that was killed, and when it was started again."""

    member: int
    interval: Interval


class _Outages:
    """Builds the spans in which members were down or stopped, from actions in the order of time."""

    def __init__(self, topology: Topology) -> None:
        self.outages: list[Outage] = []
        self.running_from: dict[int, float] = {spec.index: 0.0 for spec in topology.real}
        self.unavailable: dict[int, list[Interval]] = {spec.index: [] for spec in topology.members}
        self._killed: dict[int, float] = {}
        self._stopped: dict[int, float] = {}

    def add(self, record: Lifecycle) -> None:
        member = record.member
        match FaultAction(record.action):
            case FaultAction.START if member in self._killed:
                self._add_outage(member, Interval(self._killed.pop(member), record.at))
            case FaultAction.START:
                self.running_from.setdefault(member, record.at)
            case FaultAction.KILL:
                self._end_stop(member, record.at)
                self._killed[member] = record.at
            case FaultAction.STOP:
                self._stopped[member] = record.at
            case FaultAction.RESUME:
                self._end_stop(member, record.at)

    def finish(self) -> None:
        """Whoever has not come back stays away for ever."""
        for member, at in self._killed.items():
            self._add_outage(member, Interval(at, math.inf))
        for member, at in self._stopped.items():
            self.unavailable[member].append(Interval(at, math.inf))

    def _end_stop(self, member: int, at: float) -> None:
        if member in self._stopped:
            self.unavailable[member].append(Interval(self._stopped.pop(member), at))

    def _add_outage(self, member: int, interval: Interval) -> None:
        self.outages.append(Outage(member, interval))
        self.unavailable[member].append(interval)


class _Partitions:
    """Builds the spans of partitions. Each worker records both ends, at slightly different times."""

    def __init__(self) -> None:
        self.intervals: list[Interval] = []
        self._begin = math.inf

    def add(self, record: Lifecycle) -> None:
        match FaultAction(record.action):
            case FaultAction.PARTITION:
                self._begin = min(self._begin, record.at)
            case FaultAction.HEAL if self._begin < math.inf:
                self.intervals.append(Interval(self._begin, record.at))
                self._begin = math.inf
            case FaultAction.HEAL if self.intervals:  # another worker's: all have healed with the last one
                self.intervals[-1] = Interval(self.intervals[-1].begin, record.at)

    def finish(self) -> None:
        """A partition that was not healed lasts for ever."""
        if self._begin < math.inf:
            self.intervals.append(Interval(self._begin, math.inf))


class History:
    """Outages, stops and partitions of a run. Times are seconds since its begin."""

    def __init__(self, topology: Topology, records: Iterable[Lifecycle]) -> None:
        self._topology = topology
        self._first_region = topology.members[0].region
        outages = _Outages(topology)
        partitions = _Partitions()
        for record in sorted(records, key=lambda record: record.at):
            outages.add(record)
            partitions.add(record)
        outages.finish()
        partitions.finish()
        self.outages = outages.outages
        self.partitions = partitions.intervals
        self._running_from = outages.running_from
        self._unavailable = outages.unavailable

    def live(self, at: float) -> list[MemberSpec]:
        """Members that run and are not stopped."""
        return [
            spec
            for spec in self._topology.members
            if self._running_from.get(spec.index, math.inf) <= at
            and not any(interval.contains(at) for interval in self._unavailable[spec.index])
        ]

    def ran_throughout(self, member: int, begin: float, end: float) -> bool:
        """Whether one process of the member ran through all of this time, and was never stopped."""
        started = self._running_from.get(member, math.inf)
        return started <= begin and not any(
            interval.overlaps(begin, end) for interval in self._unavailable[member]
        )

    def undisturbed(self, member: int, begin: float, end: float) -> bool:
        """Like ``present``, but the member may have been started for the first time meanwhile."""
        started = self._running_from.get(member, math.inf)
        return started <= end and not any(
            interval.overlaps(begin, end) for interval in self._unavailable[member]
        )

    def partitioned_between(self, one: int, other: int, begin: float, end: float) -> bool:
        """Whether a partition separated the two members at any time."""
        if self._in_first_region(one) == self._in_first_region(other):
            return False
        return any(partition.overlaps(begin, end) for partition in self.partitions)

    def in_minority(self, member: int, begin: float, end: float) -> bool:
        """Whether a partition separated the member from a majority of the voters at any time."""
        side = self._in_first_region(member)
        same_side = [voter for voter in self._topology.voters if self._in_first_region(voter.index) == side]
        return 2 * len(same_side) <= len(self._topology.voters) and any(
            partition.overlaps(begin, end) for partition in self.partitions
        )

    def zone_lost(self, member: int, at: float) -> bool:
        """Whether all members of the member's zone were down."""
        zone = self._topology.members[member].zone
        return not any(spec.zone == zone for spec in self.live(at))

    def _in_first_region(self, member: int) -> bool:
        return self._topology.members[member].region == self._first_region


class ValueHistory:
    """Values that a member reported, each in force until its next one."""

    def __init__(self) -> None:
        self._times: list[float] = []
        self._values: list[tuple[int, int]] = []

    def add(self, at: float, value: tuple[int, int]) -> None:
        """Appends a value; calls come in the order of time."""
        self._times.append(at)
        self._values.append(value)

    def at(self, at: float) -> tuple[int, int] | None:
        """The value in force at this moment; None before the first one."""
        position = bisect_right(self._times, at)
        return self._values[position - 1] if position else None
