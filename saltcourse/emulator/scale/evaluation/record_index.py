"""The records of one run, grouped by kind, with the history that follows from them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar, cast

from saltcourse.emulator.scale.history import History
from saltcourse.emulator.scale.records import Lifecycle, Record
from saltcourse.emulator.scale.timeline import Timeline
from saltcourse.emulator.scale.topology import Topology

CHANGE_DEADLINE = 10.0  # s in which a member that misses a change must stay undisturbed to count as missing
Kind = TypeVar("Kind")


class RecordIndex:
    """What the parts of the evaluation read; ``records`` may come in any order."""

    def __init__(self, topology: Topology, timeline: Timeline, records: Iterable[Record]) -> None:
        self.topology = topology
        self.timeline = timeline
        self.records = list(records)
        self.end = timeline.end  # s
        self._by_kind = _group_by_kind(self.records)
        self.history = History(topology, self.records_of(Lifecycle))

    def records_of(self, kind: type[Kind]) -> list[Kind]:
        """All records of one kind, in the order of their time where they have one."""
        return cast(list[Kind], self._by_kind.get(cast(type[Record], kind), []))

    def reachable(self, member: int, begin: float, end: float) -> bool:
        """Whether one process of the member ran from ``begin`` to ``end`` and could get changes meanwhile.

        A partition counts in the first ``CHANGE_DEADLINE`` seconds.
        """
        return self.history.ran_throughout(member, begin, end) and not self.history.in_minority(
            member, begin, min(end, begin + CHANGE_DEADLINE)
        )


def _group_by_kind(records: list[Record]) -> dict[type[Record], list[Record]]:
    by_kind: dict[type[Record], list[Record]] = {}
    for record in records:
        by_kind.setdefault(type(record), []).append(record)
    for of_kind in by_kind.values():
        of_kind.sort(key=lambda record: getattr(record, "at", 0.0))
    return by_kind
