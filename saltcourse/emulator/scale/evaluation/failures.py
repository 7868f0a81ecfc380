"""How fast the members detected failures, and how often they suspected a member that was well."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from saltcourse.emulator.scale.evaluation.metrics import Propagation
from saltcourse.emulator.scale.evaluation.record_index import RecordIndex
from saltcourse.emulator.scale.history import Outage
from saltcourse.emulator.scale.records import DEAD_OR_LEFT, StatusSeen
from saltcourse.emulator.scale.summary import Summary, summarize
from saltcourse.gossip.messages import Status

DETECTION_DEADLINE = 60.0  # s that a member may take to consider a killed one dead
MIN_DOWNTIME = 10.0  # s that a killed member must stay away for its failure to count
ZONE_CHECK_DELAY = 1.0  # s after a kill at which its whole zone is checked
GRACE = 30.0  # s after a disturbance in which a suspicion is not a false one
DeathTimes = Mapping[int, list[float]]  # by observer


@dataclass(frozen=True, slots=True)
class FailureDetection:
    """Detection of members that were killed one by one, or with their machine or rack."""

    by_observer: Propagation
    everywhere: Summary | None  # s until the last member knew, over the failures that all came to know


@dataclass(frozen=True, slots=True)
class FalseAlarms:
    """Reports on members that ran and could be reached for ``GRACE`` seconds already."""

    suspicions: int
    deaths: int


@dataclass(frozen=True, slots=True)
class _Detection:
    """Of one failure: seconds for each observer that learned of it, and how many others should have."""

    seconds: list[float]
    missing: int


def failure_detection(index: RecordIndex) -> FailureDetection:
    """Members of a zone that is lost as a whole are not counted.

    Such a zone is reported as unreachable and its members are kept on purpose.
    """
    deaths = _death_times(index)
    detections: list[_Detection] = []
    for outage in index.history.outages:
        killed_at = outage.interval.begin
        until = min(outage.interval.end, index.end, killed_at + DETECTION_DEADLINE)
        if until - killed_at < MIN_DOWNTIME:
            continue
        if index.history.zone_lost(outage.member, killed_at + ZONE_CHECK_DELAY):
            continue
        detections.append(_detection(index, outage, until, deaths.get(outage.member, {})))
    every = [seconds for detection in detections for seconds in detection.seconds]
    last = [max(found.seconds) for found in detections if found.seconds and not found.missing]
    missing = sum(detection.missing for detection in detections)
    return FailureDetection(Propagation(summarize(every), missing, len(detections)), summarize(last))


def false_alarms(index: RecordIndex) -> FalseAlarms:
    """Counts suspicions and deaths that were reported without a cause."""
    suspicions = deaths = 0
    for record in index.records_of(StatusSeen):
        begin = record.at - GRACE
        if not index.history.undisturbed(record.other, begin, record.at):
            continue
        if index.history.partitioned_between(record.member, record.other, begin, record.at):
            continue
        suspicions += record.status == Status.SUSPECT
        deaths += record.status in DEAD_OR_LEFT
    return FalseAlarms(suspicions, deaths)


def _death_times(index: RecordIndex) -> dict[int, dict[int, list[float]]]:
    """Member -> observer -> when the observer considered the member dead."""
    deaths: dict[int, dict[int, list[float]]] = {}
    for record in index.records_of(StatusSeen):
        if record.status in DEAD_OR_LEFT:
            deaths.setdefault(record.other, {}).setdefault(record.member, []).append(record.at)
    return deaths


def _detection(index: RecordIndex, outage: Outage, until: float, deaths: DeathTimes) -> _Detection:
    killed_at = outage.interval.begin
    seconds: list[float] = []
    missing = 0
    for spec in index.topology.members:
        if spec.index == outage.member or spec in index.topology.real:
            continue
        times = [at for at in deaths.get(spec.index, []) if killed_at <= at <= until]
        known_at = min(times, default=None)
        end = until if known_at is None else known_at
        if not index.history.ran_throughout(spec.index, killed_at, end):
            continue
        if index.history.partitioned_between(spec.index, outage.member, killed_at, end):
            continue
        if known_at is None:
            missing += 1
        else:
            seconds.append(known_at - killed_at)
    return _Detection(seconds, missing)
