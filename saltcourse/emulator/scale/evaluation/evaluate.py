"""Composes the metrics of one run from its records."""

from __future__ import annotations

from collections.abc import Iterable

from saltcourse.emulator.scale.evaluation import costs, recovery
from saltcourse.emulator.scale.evaluation.changes import ChangePropagation
from saltcourse.emulator.scale.evaluation.failures import failure_detection, false_alarms
from saltcourse.emulator.scale.evaluation.metrics import RunMetrics
from saltcourse.emulator.scale.evaluation.record_index import RecordIndex
from saltcourse.emulator.scale.records import Record, WorkerUsage
from saltcourse.emulator.scale.safety import find_breaches
from saltcourse.emulator.scale.timeline import Timeline
from saltcourse.emulator.scale.topology import Topology
from saltcourse.gossip.messages import Role


def evaluate(
    mechanism: str, seed: int, topology: Topology, timeline: Timeline, records: Iterable[Record]
) -> RunMetrics:
    """Compute the metrics of a run. ``records`` may be in any order."""
    index = RecordIndex(topology, timeline, records)
    usage = index.records_of(WorkerUsage)
    changes = ChangePropagation(index)
    failures = failure_detection(index)
    alarms = false_alarms(index)
    control = [spec for spec in topology.members if spec.role is Role.CONTROL]
    return RunMetrics(
        mechanism=mechanism,
        size=len(topology.proxies),
        seed=seed,
        proxies=costs.ordinary_cost(index, topology.proxies),
        control=costs.ordinary_cost(index, control),
        phases=costs.phase_costs(index, topology.proxies),
        memory_mb=max((costs.memory_per_member(worker) for worker in usage), default=0.0) / 1e6,
        change=changes.overall(),
        change_by_phase=changes.by_phase(),
        changes_confirmed=changes.confirmed_count,
        changes_lost=changes.lost_count(),
        failure=failures.by_observer,
        failure_everywhere=failures.everywhere,
        joining=recovery.joining(index),
        staleness=recovery.staleness(index),
        false_suspicions=alarms.suspicions,
        false_deaths=alarms.deaths,
        partitions=recovery.partition_recoveries(index),
        breaches=tuple(find_breaches(index.records)),
        workers_cpu_per_member=_cpu_per_member(usage, timeline.end),
        lag_p99=max((worker.lag_p99 for worker in usage), default=0.0),
        lag_max=max((worker.lag_max for worker in usage), default=0.0),
        dropped=sum(worker.dropped for worker in usage),
        real=costs.real_cost(index),
    )


def _cpu_per_member(usage: list[WorkerUsage], seconds: float) -> float:
    """Return the used fraction of a core per member over the whole run, emulator included."""
    members = max(1, sum(worker.members for worker in usage))
    return sum(worker.cpu for worker in usage) / seconds / members
