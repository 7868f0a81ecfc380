"""The records of one run, grouped by type, and the history reconstructed from them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar, cast

from saltcourse.emulator.scale.history import History
from saltcourse.emulator.scale.records import Lifecycle, Record
from saltcourse.emulator.scale.timeline import Timeline
from saltcourse.emulator.scale.topology import Topology

CHANGE_DEADLINE = 10.0  # seconds after which a change counts as missing at a member that ran undisturbed
Kind = TypeVar("Kind")


class RecordIndex:
    """The input of the evaluation modules. ``records`` may be in any order."""

    def __init__(self, topology: Topology, timeline: Timeline, records: Iterable[Record]) -> None:
        self.topology = topology
        self.timeline = timeline
        self.records = list(records)
        self.end = timeline.end  # s
        self._by_kind = _group_by_kind(self.records)
        self.history = History(topology, self.records_of(Lifecycle))

    def records_of(self, kind: type[Kind]) -> list[Kind]:
        """Return all records of one type, in time order if the type has a time."""
        return cast(list[Kind], self._by_kind.get(cast(type[Record], kind), []))

    def reachable(self, member: int, start: float, end: float) -> bool:
        """Return whether the same process of the member ran from ``start`` to ``end`` and could get changes.

        A member cannot get changes while a partition separates it from a majority of the voters. Only
        partitions in the first ``CHANGE_DEADLINE`` seconds are considered.
        """
        return self.history.ran_throughout(member, start, end) and not self.history.in_minority(
            member, start, min(end, start + CHANGE_DEADLINE)
        )


def _group_by_kind(records: list[Record]) -> dict[type[Record], list[Record]]:
    by_kind: dict[type[Record], list[Record]] = {}
    for record in records:
        by_kind.setdefault(type(record), []).append(record)
    for of_kind in by_kind.values():
        of_kind.sort(key=lambda record: getattr(record, "at", 0.0))
    return by_kind
