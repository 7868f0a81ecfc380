"""Failure detection and false alarms."""

from __future__ import annotations

import pytest

from saltcourse.emulator.scale.records import Lifecycle, StatusSeen
from saltcourse.emulator.scale.topology import Topology
from saltcourse.gossip.messages import Status
from tests.emulator.scale.cases import metrics_of


def test_failure_detection_ends_when_the_last_live_member_considers_it_dead(topology: Topology) -> None:
    """A member is killed. The others first suspect it and then consider it dead, one after another; detection
    ends with the last one. A member that never considers it dead counts as missing.
    """
    dead = [StatusSeen(25.0 + index, index, 9, int(Status.DEAD)) for index in range(9)]
    suspected = [StatusSeen(24.0, index, 9, int(Status.SUSPECT)) for index in range(9)]
    metrics = metrics_of(topology, Lifecycle(22.0, 9, "kill"), *suspected, *dead)
    assert metrics.failure_everywhere is not None
    assert metrics.failure_everywhere.max == pytest.approx(11.0)
    assert (metrics.failure.events, metrics.failure.missing) == (1, 0)
    assert (metrics.false_suspicions, metrics.false_deaths) == (0, 0)
    metrics = metrics_of(topology, Lifecycle(22.0, 9, "kill"), *dead[:-1])
    assert metrics.failure.missing == 1 and metrics.failure_everywhere is None


def test_members_of_a_lost_zone_do_not_count_as_failures(topology: Topology) -> None:
    """All members of a zone are killed at once. The zone is reported as unreachable and its members are kept
    by design, so they must not count as undetected failures.
    """
    zone = [spec.index for spec in topology.members if spec.zone == "e1"]
    metrics = metrics_of(topology, *[Lifecycle(22.0, index, "kill") for index in zone])
    assert metrics.failure.events == 0


def test_only_suspicions_of_undisturbed_members_are_false(topology: Topology) -> None:
    """A running member is suspected and considered dead. This is a false alarm, unless the member was stopped
    or separated by a partition shortly before.
    """
    suspicion = StatusSeen(60.0, 0, 9, int(Status.SUSPECT))
    death = StatusSeen(62.0, 0, 9, int(Status.DEAD))
    metrics = metrics_of(topology, suspicion, death)
    assert (metrics.false_suspicions, metrics.false_deaths) == (1, 1)
    stopped = [Lifecycle(50.0, 9, "stop"), Lifecycle(55.0, 9, "resume")]
    assert metrics_of(topology, suspicion, *stopped).false_suspicions == 0
    remote = next(p.index for p in topology.members if p.region == "east")
    cut = [Lifecycle(50.0, -1, "cut"), Lifecycle(55.0, -1, "heal")]
    assert metrics_of(topology, StatusSeen(60.0, 0, remote, int(Status.SUSPECT)), *cut).false_suspicions == 0
    assert metrics_of(topology, StatusSeen(95.0, 0, remote, int(Status.SUSPECT)), *cut).false_suspicions == 1
