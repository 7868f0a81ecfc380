"""Checks the safety properties of the configuration on the records of the members that applied it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from saltcourse.emulator.scale.records import ConfigurationSeen, Confirmed, Lifecycle, Record
from saltcourse.emulator.scale.timeline import FaultAction

UNKNOWN_DIGEST = 0  # recorded where the member does not report a digest


class BreachKind(Enum):
    """The ways in which a run can violate a safety property."""

    VERSION_REGRESSION = "a process applied an older version or the same version again"
    EPOCH_REGRESSION = "a change of an older epoch followed one of a newer epoch"
    TORN_CHANGE = "a change was applied partially"
    DIVERGENCE = "two members have different configurations at the same version"
    LOST_CONFIRMED_CHANGE = "a confirmed change was replaced by another change"


@dataclass(frozen=True, slots=True)
class Breach:
    """One violation, with the member, time and version of the record that shows it."""

    kind: BreachKind
    member: int
    at: float
    version: int


def find_breaches(records: Iterable[Record]) -> list[Breach]:
    """Return all violations that the records show. The records may be in any order."""
    checker = _Checker()
    relevant = [r for r in records if isinstance(r, (ConfigurationSeen, Confirmed, Lifecycle))]
    for record in sorted(relevant, key=lambda record: record.at):
        match record:
            case Lifecycle():
                checker.lifecycle(record)
            case ConfigurationSeen():
                checker.configuration_seen(record)
            case Confirmed():
                checker.confirmed.append(record)
    checker.finish()
    return checker.breaches


class _Checker:
    def __init__(self) -> None:
        self.breaches: list[Breach] = []
        self.confirmed: list[Confirmed] = []
        self._last: dict[int, ConfigurationSeen] = {}  # by member, current process only
        self._by_version: dict[int, ConfigurationSeen] = {}  # first record of each version
        self._digests: dict[int, int] = {}  # first known digest of each version

    def lifecycle(self, record: Lifecycle) -> None:
        """Reset the member's last version at a start: a new process may start at an older version."""
        if record.action == FaultAction.START.value:
            self._last.pop(record.member, None)

    def configuration_seen(self, record: ConfigurationSeen) -> None:
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

    def finish(self) -> None:
        epoch = 0
        for version in sorted(self._by_version):
            record = self._by_version[version]
            if record.epoch < epoch:
                self._breach(BreachKind.EPOCH_REGRESSION, record)
            epoch = max(epoch, record.epoch)
        for confirmed in self.confirmed:
            applied = self._by_version.get(confirmed.version)
            if applied is not None and applied.epoch != confirmed.epoch:
                self.breaches.append(
                    Breach(BreachKind.LOST_CONFIRMED_CHANGE, applied.member, confirmed.at, confirmed.version)
                )

    def _breach(self, kind: BreachKind, record: ConfigurationSeen) -> None:
        self.breaches.append(Breach(kind, record.member, record.at, record.version))
