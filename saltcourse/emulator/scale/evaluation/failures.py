"""Failure detection times, and suspicions and deaths of healthy members."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from saltcourse.emulator.scale.evaluation.metrics import Propagation
from saltcourse.emulator.scale.evaluation.record_index import RecordIndex
from saltcourse.emulator.scale.history import Outage
from saltcourse.emulator.scale.records import DEAD_OR_LEFT, StatusSeen
from saltcourse.emulator.scale.summary import Summary, summarize
from saltcourse.gossip.messages import Status

DETECTION_DEADLINE = 60.0  # seconds from a kill within which members must consider the member dead
MIN_DOWNTIME = 10.0  # seconds; shorter outages are not counted as failures
ZONE_CHECK_DELAY = 1.0  # seconds from a kill to the check whether its whole zone was lost
GRACE_PERIOD = 30.0  # seconds after a fault of the member within which a suspicion is not a false alarm
DeathTimes = Mapping[int, list[float]]  # observer -> times at which it considered the member dead


@dataclass(frozen=True, slots=True)
class FailureDetection:
    """Detection of failed members, except those whose whole zone was lost."""

    by_observer: Propagation
    everywhere: Summary | None  # seconds until the last observer detected a failure that all detected


@dataclass(frozen=True, slots=True)
class FalseAlarms:
    """Counts of suspicions and deaths of members that ran and were reachable for ``GRACE_PERIOD`` seconds."""

    suspicions: int
    deaths: int


@dataclass(frozen=True, slots=True)
class _Detection:
    """Detection of one failure: the seconds of each observer, and the number of observers that missed it."""

    seconds: list[float]
    missing: int


def failure_detection(index: RecordIndex) -> FailureDetection:
    """Measure the detection of failed members.

    Members of a zone that is lost completely are not counted: such a zone is reported as unreachable, and
    its members are kept in the membership by design.
    """
    deaths = _death_times(index)
    detections: list[_Detection] = []
    for outage in index.history.outages:
        killed_at = outage.interval.start
        until = min(outage.interval.end, index.end, killed_at + DETECTION_DEADLINE)
        if until - killed_at < MIN_DOWNTIME:
            continue
        if index.history.zone_lost(outage.member, killed_at + ZONE_CHECK_DELAY):
            continue
        detections.append(_detection(index, outage, until, deaths.get(outage.member, {})))
    all_seconds = [seconds for detection in detections for seconds in detection.seconds]
    last_seconds = [max(found.seconds) for found in detections if found.seconds and not found.missing]
    missing = sum(detection.missing for detection in detections)
    return FailureDetection(
        Propagation(summarize(all_seconds), missing, len(detections)), summarize(last_seconds)
    )


def false_alarms(index: RecordIndex) -> FalseAlarms:
    """Count suspicions and deaths of members that had not failed or been separated recently."""
    suspicions = deaths = 0
    for record in index.records_of(StatusSeen):
        start = record.at - GRACE_PERIOD
        if not index.history.undisturbed(record.other, start, record.at):
            continue
        if index.history.partitioned_between(record.member, record.other, start, record.at):
            continue
        suspicions += record.status == Status.SUSPECT
        deaths += record.status in DEAD_OR_LEFT
    return FalseAlarms(suspicions, deaths)


def _death_times(index: RecordIndex) -> dict[int, dict[int, list[float]]]:
    """Return the times of reported deaths: member -> observer -> times."""
    deaths: dict[int, dict[int, list[float]]] = {}
    for record in index.records_of(StatusSeen):
        if record.status in DEAD_OR_LEFT:
            deaths.setdefault(record.other, {}).setdefault(record.member, []).append(record.at)
    return deaths


def _detection(index: RecordIndex, outage: Outage, until: float, deaths: DeathTimes) -> _Detection:
    killed_at = outage.interval.start
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
