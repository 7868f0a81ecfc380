"""Propagation times of configuration changes, and lost changes."""

from __future__ import annotations

from saltcourse.emulator.scale.evaluation.metrics import Propagation
from saltcourse.emulator.scale.evaluation.record_index import CHANGE_DEADLINE, RecordIndex
from saltcourse.emulator.scale.records import ChangeSubmitted, ConfigurationSeen, Confirmed
from saltcourse.emulator.scale.summary import summarize
from saltcourse.emulator.scale.timeline import PublicationKind

TIMED_KINDS = (PublicationKind.CHANGE.value, PublicationKind.LOSE_PUBLISHER.value)


class ChangePropagation:
    """Propagation times of changes, from the first submission to the application at each member."""

    def __init__(self, index: RecordIndex) -> None:
        self._index = index
        self._submitted: dict[int, ChangeSubmitted] = {}
        for record in index.records_of(ChangeSubmitted):
            self._submitted.setdefault(record.change, record)
        self._timed = [change for change, record in self._submitted.items() if record.kind in TIMED_KINDS]
        self._applied = _first_applied(index)
        self._confirmed = {record.change for record in index.records_of(Confirmed)}

    @property
    def confirmed_count(self) -> int:
        """The number of changes that a voter confirmed to the operator."""
        return len(self._confirmed)

    def lost_count(self) -> int:
        """Return the number of timed changes that no voter confirmed and no member applied."""
        return sum(change not in self._confirmed and change not in self._applied for change in self._timed)

    def overall(self) -> Propagation:
        """Return the propagation of all timed changes of the run."""
        return self._propagation(self._timed)

    def by_phase(self) -> dict[str, Propagation]:
        """Return the propagation of the changes that were first submitted in each phase."""
        return {
            span.name: self._propagation(
                [change for change in self._timed if span.start <= self._submitted[change].at < span.end]
            )
            for span in self._index.timeline.spans
        }

    def _propagation(self, changes: list[int]) -> Propagation:
        """Return the propagation over applied changes and the members that were reachable during it."""
        seconds: list[float] = []
        missing = 0
        in_force = [change for change in changes if change in self._applied]
        for change in in_force:
            submitted_at = self._submitted[change].at
            for spec in self._index.topology.members:
                applied_at = self._applied[change].get(spec.index)
                until = submitted_at + CHANGE_DEADLINE if applied_at is None else applied_at
                if until > self._index.end or not self._index.reachable(spec.index, submitted_at, until):
                    continue
                if applied_at is None:
                    missing += 1
                else:
                    seconds.append(applied_at - submitted_at)
        return Propagation(summarize(seconds), missing, len(in_force))


def _first_applied(index: RecordIndex) -> dict[int, dict[int, float]]:
    """Return the time at which each member first applied each change: change -> member -> time."""
    applied: dict[int, dict[int, float]] = {}
    for record in index.records_of(ConfigurationSeen):
        for change in record.changes:
            applied.setdefault(change, {}).setdefault(record.member, record.at)
    _add_real_processes(index, applied)
    return applied


def _add_real_processes(index: RecordIndex, applied: dict[int, dict[int, float]]) -> None:
    """Add the times at which the real processes applied each change.

    A real process reports only its version. It has a change if its version is at least the lowest version
    at which a simulated member applied that change.
    """
    versions = _lowest_versions(index)
    for spec in index.topology.real:
        polled = sorted(
            (record.version, record.at)
            for record in index.records_of(ConfigurationSeen)
            if record.member == spec.index
        )
        for change, version in versions.items():
            at = next((at for reached, at in polled if reached >= version), None)
            if at is not None:
                applied[change][spec.index] = at


def _lowest_versions(index: RecordIndex) -> dict[int, int]:
    versions: dict[int, int] = {}
    for record in index.records_of(ConfigurationSeen):
        for change in record.changes:
            versions[change] = min(versions.get(change, record.version), record.version)
    return versions
