"""What happened after restarts and network partitions: catching up, staleness and agreement."""

from __future__ import annotations

import math
from collections.abc import Iterable

from saltcourse.emulator.scale.evaluation.metrics import PartitionRecovery, Propagation
from saltcourse.emulator.scale.evaluation.record_index import RecordIndex
from saltcourse.emulator.scale.history import Interval, ValueHistory
from saltcourse.emulator.scale.records import ConfigurationSeen, FreshnessSeen, View
from saltcourse.emulator.scale.summary import summarize
from saltcourse.emulator.scale.topology import MemberSpec

JOIN_DEADLINE = 20.0  # s that a new process may take to the newest configuration
JUST_AFTER = 0.001  # s after a start
STALE_DEADLINE = 20.0  # s of a partition in which the minority side must report that it may be stale
AGREEMENT_STEP = 0.25  # s between the moments at which agreement is checked


def joining(index: RecordIndex) -> Propagation:
    """Seconds from a restart until the member has what was the newest version at its start."""
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
        if not index.reachable(outage.member, started + JUST_AFTER, until):
            continue
        if joined_at is None:
            missing += 1
        else:
            seconds.append(joined_at - started)
    return Propagation(summarize(seconds), missing, len(seconds) + missing)


def staleness(index: RecordIndex) -> Propagation:
    """Seconds until the minority side reports that it may be stale, in partitions of ``STALE_DEADLINE``."""
    seconds: list[float] = []
    missing = events = 0
    for partition in index.history.partitions:
        until = partition.begin + STALE_DEADLINE
        if partition.end < until:
            continue
        events += 1
        for spec in _minority(index, partition.begin, until):
            reported_at = _first_stale_report(index, spec, partition.begin, until)
            if reported_at is None:
                missing += 1
            else:
                seconds.append(reported_at - partition.begin)
    return Propagation(summarize(seconds), missing, events)


def partition_recoveries(index: RecordIndex) -> tuple[PartitionRecovery, ...]:
    """One for each partition that ended within the run."""
    return tuple(_recovery(index, cut) for cut in index.history.partitions if cut.end < math.inf)


def true_view(live: Iterable[MemberSpec]) -> tuple[int, int]:
    """Count and XOR of the ids of these members, as a ``View`` that is right records them."""
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
    """Epoch and version of the newest configuration anywhere, over time."""
    newest = ValueHistory()
    highest = 0
    for record in index.records_of(ConfigurationSeen):
        if record.version > highest:
            highest = record.version
            newest.add(record.at, (record.epoch, highest))
    return newest


def _minority(index: RecordIndex, begin: float, end: float) -> list[MemberSpec]:
    """Hollow members that ran all the time and could not reach a majority of the voters."""
    return [
        spec
        for spec in index.topology.members
        if index.history.in_minority(spec.index, begin, end)
        and spec not in index.topology.real
        and index.history.ran_throughout(spec.index, begin, end)
    ]


def _first_stale_report(index: RecordIndex, spec: MemberSpec, begin: float, end: float) -> float | None:
    reports = (
        record.at
        for record in index.records_of(FreshnessSeen)
        if record.member == spec.index and record.stale and begin <= record.at <= end
    )
    return next(reports, None)


def _recovery(index: RecordIndex, partition: Interval) -> PartitionRecovery:
    spans = index.timeline.spans
    span = next((span for span in spans if span.begin <= partition.begin < span.end), None)
    until = span.end if span is not None else index.end
    return PartitionRecovery(
        members=_seconds_to_equal_views(index, partition.end, until),
        configuration=_seconds_to_newest_configuration(index, partition.end, until),
        watched=until - partition.end,
    )


def _seconds_to_equal_views(index: RecordIndex, healed: float, until: float) -> float | None:
    """Until the views of all live members are right at the same moment."""
    views: dict[int, ValueHistory] = {}
    for view in index.records_of(View):
        views.setdefault(view.member, ValueHistory()).add(view.at, (view.count, view.digest))
    at = healed
    while at <= until:
        live = index.history.live(at)
        truth = true_view(live)
        if all(_view_is_right(index, spec, views.get(spec.index), at, truth) for spec in live):
            return at - healed
        at += AGREEMENT_STEP
    return None


def _view_is_right(
    index: RecordIndex, spec: MemberSpec, views: ValueHistory | None, at: float, truth: tuple[int, int]
) -> bool:
    """A real process reports only how many members it considers alive."""
    view = views.at(at) if views is not None else None
    if view is None:
        return False
    return view[0] == truth[0] if spec in index.topology.real else view == truth


def _seconds_to_newest_configuration(index: RecordIndex, healed: float, until: float) -> float | None:
    """Until each live member has what was the newest version anywhere when the partition ended."""
    seen = index.records_of(ConfigurationSeen)
    newest = max((record.version for record in seen if record.at <= healed), default=0)
    if newest == 0:
        return 0.0
    reached: dict[int, float] = {}
    for record in seen:
        if record.version >= newest:
            reached.setdefault(record.member, record.at)
    live = [
        spec for spec in index.history.live(until) if index.history.ran_throughout(spec.index, healed, until)
    ]
    if not all(spec.index in reached and reached[spec.index] <= until for spec in live):
        return None
    return max([max(reached[spec.index] - healed, 0.0) for spec in live], default=0.0)
