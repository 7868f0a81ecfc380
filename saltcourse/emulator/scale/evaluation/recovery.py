"""What happened after restarts and network partitions: catching up, staleness and agreement."""

from __future__ import annotations

import math
from collections.abc import Iterable

from saltcourse.emulator.scale.evaluation.metrics import PartitionRecovery, Propagation
from saltcourse.emulator.scale.evaluation.record_index import RecordIndex
from saltcourse.emulator.scale.history import Interval, ValueHistory
from saltcourse.emulator.scale.records import ConfigurationSeen, FreshnessSeen, View
from saltcourse.emulator.scale.summary import spread
from saltcourse.emulator.scale.topology import Place

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
    return Propagation(spread(seconds), missing, len(seconds) + missing)


def staleness(index: RecordIndex) -> Propagation:
    """Seconds until the minority side reports that it may be stale, in partitions of ``STALE_DEADLINE``."""
    seconds: list[float] = []
    missing = events = 0
    for partition in index.history.partitions:
        until = partition.begin + STALE_DEADLINE
        if partition.end < until:
            continue
        events += 1
        for place in _minority(index, partition.begin, until):
            reported_at = _first_stale_report(index, place, partition.begin, until)
            if reported_at is None:
                missing += 1
            else:
                seconds.append(reported_at - partition.begin)
    return Propagation(spread(seconds), missing, events)


def partition_recoveries(index: RecordIndex) -> tuple[PartitionRecovery, ...]:
    """One for each partition that ended within the run."""
    return tuple(_recovery(index, cut) for cut in index.history.partitions if cut.end < math.inf)


def true_view(live: Iterable[Place]) -> tuple[int, int]:
    """Count and XOR of the ids of these members, as a ``View`` that is right records them."""
    count = digest = 0
    for place in live:
        count += 1
        digest ^= place.id
    return count, digest


def _configurations_by_member(index: RecordIndex) -> dict[int, list[ConfigurationSeen]]:
    by_member: dict[int, list[ConfigurationSeen]] = {}
    for record in index.of(ConfigurationSeen):
        by_member.setdefault(record.member, []).append(record)
    return by_member


def _newest_versions(index: RecordIndex) -> ValueHistory:
    """Epoch and version of the newest configuration anywhere, over time."""
    newest = ValueHistory()
    highest = 0
    for record in index.of(ConfigurationSeen):
        if record.version > highest:
            highest = record.version
            newest.add(record.at, (record.epoch, highest))
    return newest


def _minority(index: RecordIndex, begin: float, end: float) -> list[Place]:
    """Hollow members that ran all the time and could not reach a majority of the voters."""
    return [
        place
        for place in index.topology.places
        if index.history.in_minority(place.index, begin, end)
        and place not in index.topology.real
        and index.history.present(place.index, begin, end)
    ]


def _first_stale_report(index: RecordIndex, place: Place, begin: float, end: float) -> float | None:
    reports = (
        record.at
        for record in index.of(FreshnessSeen)
        if record.member == place.index and record.stale and begin <= record.at <= end
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
    for view in index.of(View):
        views.setdefault(view.member, ValueHistory()).add(view.at, (view.count, view.digest))
    at = healed
    while at <= until:
        live = index.history.live(at)
        truth = true_view(live)
        if all(_view_is_right(index, place, views.get(place.index), at, truth) for place in live):
            return at - healed
        at += AGREEMENT_STEP
    return None


def _view_is_right(
    index: RecordIndex, place: Place, views: ValueHistory | None, at: float, truth: tuple[int, int]
) -> bool:
    """A real process reports only how many members it considers alive."""
    view = views.at(at) if views is not None else None
    if view is None:
        return False
    return view[0] == truth[0] if place in index.topology.real else view == truth


def _seconds_to_newest_configuration(index: RecordIndex, healed: float, until: float) -> float | None:
    """Until each live member has what was the newest version anywhere when the partition ended."""
    seen = index.of(ConfigurationSeen)
    newest = max((record.version for record in seen if record.at <= healed), default=0)
    if newest == 0:
        return 0.0
    reached: dict[int, float] = {}
    for record in seen:
        if record.version >= newest:
            reached.setdefault(record.member, record.at)
    live = [place for place in index.history.live(until) if index.history.present(place.index, healed, until)]
    if not all(place.index in reached and reached[place.index] <= until for place in live):
        return None
    return max([max(reached[place.index] - healed, 0.0) for place in live], default=0.0)
