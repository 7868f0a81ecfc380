"""What must never happen to a configuration, checked on the records of the members that applied it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from saltcourse.emulator.scale.records import ConfigurationSeen, Confirmed, Lifecycle, Record
from saltcourse.emulator.scale.timeline import FaultAction

UNKNOWN_DIGEST = 0  # of a member that does not report it


class BreachKind(Enum):
    """Ways in which a run can violate a safety property."""

    VERSION_REGRESSION = "a process went back, or applied a version twice"
    EPOCH_REGRESSION = "an older epoch's change after a newer one's"
    TORN_CHANGE = "a part of a change is in force"
    DIVERGENCE = "two members differ at one version"
    LOST_CONFIRMED_CHANGE = "a confirmed change gave way to another"


@dataclass(frozen=True, slots=True)
class Breach:
    """One violation; ``member`` and ``version`` are those of the record that shows it."""

    kind: BreachKind
    member: int
    at: float
    version: int


def find_breaches(records: Iterable[Record]) -> list[Breach]:
    """All violations that the records show; they may come in any order."""
    checker = _Checker()
    relevant = [r for r in records if isinstance(r, (ConfigurationSeen, Confirmed, Lifecycle))]
    for record in sorted(relevant, key=lambda record: record.at):
        match record:
            case Lifecycle():
                checker.lifecycle(record)
            case ConfigurationSeen():
                checker.seen(record)
            case Confirmed():
                checker.confirmed.append(record)
    checker.end()
    return checker.breaches


class _Checker:
    def __init__(self) -> None:
        self.breaches: list[Breach] = []
        self.confirmed: list[Confirmed] = []
        self._last: dict[int, ConfigurationSeen] = {}  # of each member's running process
        self._by_version: dict[int, ConfigurationSeen] = {}  # the first that was seen of each
        self._digests: dict[int, int] = {}

    def lifecycle(self, record: Lifecycle) -> None:
        """Only a new process may begin anew."""
        if record.action == FaultAction.START.value:
            self._last.pop(record.member, None)

    def seen(self, record: ConfigurationSeen) -> None:
        before = self._last.get(record.member)
        if before is not None:
            if record.version <= before.version:
                self._breach(BreachKind.VERSION_REGRESSION, record)
            if record.epoch < before.epoch:
                self._breach(BreachKind.EPOCH_REGRESSION, record)
        self._last[record.member] = record
        if record.torn:
            self._breach(BreachKind.TORN_CHANGE, record)
        self._compare(record)

    def _compare(self, record: ConfigurationSeen) -> None:
        first = self._by_version.setdefault(record.version, record)
        if first.epoch != record.epoch:
            self._breach(BreachKind.DIVERGENCE, record)
        elif record.digest == UNKNOWN_DIGEST:
            return
        elif self._digests.setdefault(record.version, record.digest) != record.digest:
            self._breach(BreachKind.DIVERGENCE, record)

    def end(self) -> None:
        epoch = 0
        for version in sorted(self._by_version):
            record = self._by_version[version]
            if record.epoch < epoch:
                self._breach(BreachKind.EPOCH_REGRESSION, record)
            epoch = max(epoch, record.epoch)
        for confirmed in self.confirmed:
            seen = self._by_version.get(confirmed.version)
            if seen is not None and seen.epoch != confirmed.epoch:
                self.breaches.append(
                    Breach(BreachKind.LOST_CONFIRMED_CHANGE, seen.member, confirmed.at, confirmed.version)
                )

    def _breach(self, kind: BreachKind, record: ConfigurationSeen) -> None:
        self.breaches.append(Breach(kind, record.member, record.at, record.version))
