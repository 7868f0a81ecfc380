"""Reconstructs when each member ran and which members could reach each other.

The input is the fault actions that the workers recorded, not the planned timeline.
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
    """A time interval in seconds since the start of the run."""

    start: float
    end: float  # infinite if the interval did not end during the run

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether the interval and the given one (both ends included) have a moment in common."""
        return self.start <= end and start <= self.end

    def contains(self, at: float) -> bool:
        """Return whether ``at`` is within the interval; the end is excluded."""
        return self.start <= at < self.end


@dataclass(frozen=True, slots=True)
class Outage:
    """The time from the kill of a member to its restart."""

    member: int
    interval: Interval


class _Outages:
    """Builds the intervals in which members were down or stopped, from actions in time order."""

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
        """Add intervals without an end for the members that are still down or stopped."""
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
    """Builds the intervals of partitions.

    Each worker records the start and end of a partition, at slightly different times: an interval lasts from
    the first start to the last end.
    """

    def __init__(self) -> None:
        self.intervals: list[Interval] = []
        self._start = math.inf

    def add(self, record: Lifecycle) -> None:
        match FaultAction(record.action):
            case FaultAction.PARTITION:
                self._start = min(self._start, record.at)
            case FaultAction.HEAL if self._start < math.inf:
                self.intervals.append(Interval(self._start, record.at))
                self._start = math.inf
            case FaultAction.HEAL if self.intervals:  # recorded by another worker: extend to the latest end
                self.intervals[-1] = Interval(self.intervals[-1].start, record.at)

    def finish(self) -> None:
        """Add an interval without an end for a partition that was not healed."""
        if self._start < math.inf:
            self.intervals.append(Interval(self._start, math.inf))


class History:
    """Outages, stops and partitions of a run. Times are seconds since its start."""

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

    def live_members(self, at: float) -> list[MemberSpec]:
        """Return the members that run and are not stopped at this time."""
        return [
            spec
            for spec in self._topology.members
            if self._running_from.get(spec.index, math.inf) <= at
            and not any(interval.contains(at) for interval in self._unavailable[spec.index])
        ]

    def ran_throughout(self, member: int, start: float, end: float) -> bool:
        """Return whether the same process of the member ran from ``start`` to ``end`` and was not stopped."""
        started = self._running_from.get(member, math.inf)
        return started <= start and not any(
            interval.overlaps(start, end) for interval in self._unavailable[member]
        )

    def undisturbed(self, member: int, start: float, end: float) -> bool:
        """Return whether the member was neither killed nor stopped between ``start`` and ``end``.

        Unlike in ``ran_throughout``, the member's first start may be in this interval.
        """
        started = self._running_from.get(member, math.inf)
        return started <= end and not any(
            interval.overlaps(start, end) for interval in self._unavailable[member]
        )

    def partitioned_between(self, one: int, other: int, start: float, end: float) -> bool:
        """Return whether a partition separated the two members at any time in the interval."""
        if self._in_first_region(one) == self._in_first_region(other):
            return False
        return any(partition.overlaps(start, end) for partition in self.partitions)

    def in_minority(self, member: int, start: float, end: float) -> bool:
        """Return whether a partition separated the member from a majority of voters in the interval."""
        side = self._in_first_region(member)
        same_side = [voter for voter in self._topology.voters if self._in_first_region(voter.index) == side]
        return 2 * len(same_side) <= len(self._topology.voters) and any(
            partition.overlaps(start, end) for partition in self.partitions
        )

    def zone_lost(self, member: int, at: float) -> bool:
        """Return whether no member of the member's zone was running at this time."""
        zone = self._topology.members[member].zone
        return not any(spec.zone == zone for spec in self.live_members(at))

    def _in_first_region(self, member: int) -> bool:
        return self._topology.members[member].region == self._first_region


class ValueHistory:
    """A series of reported values, each valid until the next one."""

    def __init__(self) -> None:
        self._times: list[float] = []
        self._values: list[tuple[int, int]] = []

    def add(self, at: float, value: tuple[int, int]) -> None:
        """Append a value. Calls must be in time order."""
        self._times.append(at)
        self._values.append(value)

    def at(self, at: float) -> tuple[int, int] | None:
        """Return the value that is valid at this time, or None before the first one."""
        position = bisect_right(self._times, at)
        return self._values[position - 1] if position else None
