"""Recovery after restarts and network partitions: joining, staleness reports and agreement."""

from __future__ import annotations

import math
from collections.abc import Iterable

from saltcourse.emulator.scale.evaluation.metrics import PartitionRecovery, Propagation
from saltcourse.emulator.scale.evaluation.record_index import RecordIndex
from saltcourse.emulator.scale.history import Interval, ValueHistory
from saltcourse.emulator.scale.records import ConfigurationSeen, FreshnessSeen, View
from saltcourse.emulator.scale.summary import summarize
from saltcourse.emulator.scale.topology import MemberSpec

JOIN_DEADLINE = 20.0  # seconds for a new process to reach the newest configuration
START_MARGIN = 0.001  # seconds after a restart; at the restart itself, the member still counts as down
STALE_DEADLINE = 20.0  # seconds from a partition's start to the stale reports of its minority side
AGREEMENT_STEP = 0.25  # seconds between checks of agreement


def joining(index: RecordIndex) -> Propagation:
    """Measure the seconds from each restart until the member has the version that was the newest then."""
    seconds: list[float] = []
    missing = 0
    newest = _newest_versions(index)
    by_member = _configurations_by_member(index)
    for outage in index.history.outages:
        started = outage.interval.end
        _, version = newest.at(started) or (0, 0)
        own = by_member.get(outage.member, [])
        joined_at = next((r.at for r in own if r.at > started and r.version >= version), None)
        until = started + JOIN_DEADLINE if joined_at is None else joined_at
        if until > index.end or version == 0:
            continue
        if not index.reachable(outage.member, started + START_MARGIN, until):
            continue
        if joined_at is None:
            missing += 1
        else:
            seconds.append(joined_at - started)
    return Propagation(summarize(seconds), missing, len(seconds) + missing)


def staleness(index: RecordIndex) -> Propagation:
    """Measure the seconds from the start of each partition to the stale reports of its minority side.

    Partitions shorter than ``STALE_DEADLINE`` are not counted.
    """
    seconds: list[float] = []
    missing = events = 0
    for partition in index.history.partitions:
        until = partition.start + STALE_DEADLINE
        if partition.end < until:
            continue
        events += 1
        for spec in _minority(index, partition.start, until):
            reported_at = _first_stale_report(index, spec, partition.start, until)
            if reported_at is None:
                missing += 1
            else:
                seconds.append(reported_at - partition.start)
    return Propagation(summarize(seconds), missing, events)


def partition_recoveries(index: RecordIndex) -> tuple[PartitionRecovery, ...]:
    """Return the recovery from each partition that ended during the run."""
    return tuple(
        _recovery(index, partition) for partition in index.history.partitions if partition.end < math.inf
    )


def expected_view(live: Iterable[MemberSpec]) -> tuple[int, int]:
    """Return the count and the XOR of the ids of these members, as in a correct ``View`` record."""
    count = digest = 0
    for spec in live:
        count += 1
        digest ^= spec.id
    return count, digest


def _configurations_by_member(index: RecordIndex) -> dict[int, list[ConfigurationSeen]]:
    by_member: dict[int, list[ConfigurationSeen]] = {}
    for record in index.records_of(ConfigurationSeen):
        by_member.setdefault(record.member, []).append(record)
    return by_member


def _newest_versions(index: RecordIndex) -> ValueHistory:
    """Return the epoch and version of the newest configuration at any member, over time."""
    newest = ValueHistory()
    highest = 0
    for record in index.records_of(ConfigurationSeen):
        if record.version > highest:
            highest = record.version
            newest.add(record.at, (record.epoch, highest))
    return newest


def _minority(index: RecordIndex, start: float, end: float) -> list[MemberSpec]:
    """Return the simulated members that ran throughout and were separated from a majority of the voters."""
    return [
        spec
        for spec in index.topology.members
        if index.history.in_minority(spec.index, start, end)
        and spec not in index.topology.real
        and index.history.ran_throughout(spec.index, start, end)
    ]


def _first_stale_report(index: RecordIndex, spec: MemberSpec, start: float, end: float) -> float | None:
    reports = (
        record.at
        for record in index.records_of(FreshnessSeen)
        if record.member == spec.index and record.stale and start <= record.at <= end
    )
    return next(reports, None)


def _recovery(index: RecordIndex, partition: Interval) -> PartitionRecovery:
    spans = index.timeline.spans
    span = next((span for span in spans if span.start <= partition.start < span.end), None)
    until = span.end if span is not None else index.end
    return PartitionRecovery(
        members=_seconds_to_equal_views(index, partition.end, until),
        configuration=_seconds_to_newest_configuration(index, partition.end, until),
        watched=until - partition.end,
    )


def _seconds_to_equal_views(index: RecordIndex, healed: float, until: float) -> float | None:
    """Return the seconds from ``healed`` until the views of all live members are correct at the same time."""
    views: dict[int, ValueHistory] = {}
    for view in index.records_of(View):
        views.setdefault(view.member, ValueHistory()).add(view.at, (view.count, view.digest))
    at = healed
    while at <= until:
        live = index.history.live_members(at)
        expected = expected_view(live)
        if all(_view_is_correct(index, spec, views.get(spec.index), at, expected) for spec in live):
            return at - healed
        at += AGREEMENT_STEP
    return None


def _view_is_correct(
    index: RecordIndex, spec: MemberSpec, views: ValueHistory | None, at: float, expected: tuple[int, int]
) -> bool:
    """Return whether the member's view matches. For a real process, only the member count is known."""
    view = views.at(at) if views is not None else None
    if view is None:
        return False
    return view[0] == expected[0] if spec in index.topology.real else view == expected


def _seconds_to_newest_configuration(index: RecordIndex, healed: float, until: float) -> float | None:
    """Return the seconds from ``healed`` until each live member has the version that was the newest then."""
    configurations = index.records_of(ConfigurationSeen)
    newest = max((record.version for record in configurations if record.at <= healed), default=0)
    if newest == 0:
        return 0.0
    reached: dict[int, float] = {}
    for record in configurations:
        if record.version >= newest:
            reached.setdefault(record.member, record.at)
    live = [
        spec
        for spec in index.history.live_members(until)
        if index.history.ran_throughout(spec.index, healed, until)
    ]
    if not all(spec.index in reached and reached[spec.index] <= until for spec in live):
        return None
    return max([max(reached[spec.index] - healed, 0.0) for spec in live], default=0.0)
