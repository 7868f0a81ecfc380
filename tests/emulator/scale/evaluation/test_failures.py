"""Failure detection and false alarms."""

from __future__ import annotations

import pytest

from saltcourse.emulator.scale.records import Lifecycle, StatusSeen
from saltcourse.emulator.scale.topology import Topology
from saltcourse.gossip.messages import Status
from tests.emulator.scale.cases import evaluated


def test_a_failure_is_known_when_the_last_live_member_knows(topology: Topology) -> None:
    """A member is killed. The others suspect it first and consider it dead one after another; the last one
    ends the detection. If one never learns of it, it counts as missing.
    """
    dead = [StatusSeen(25.0 + index, index, 9, int(Status.DEAD)) for index in range(9)]
    suspected = [StatusSeen(24.0, index, 9, int(Status.SUSPECT)) for index in range(9)]
    metrics = evaluated(topology, Lifecycle(22.0, 9, "kill"), *suspected, *dead)
    assert metrics.failure_everywhere is not None
    assert metrics.failure_everywhere.max == pytest.approx(11.0)
    assert (metrics.failure.events, metrics.failure.missing) == (1, 0)
    assert (metrics.false_suspicions, metrics.false_deaths) == (0, 0)
    metrics = evaluated(topology, Lifecycle(22.0, 9, "kill"), *dead[:-1])
    assert metrics.failure.missing == 1 and metrics.failure_everywhere is None


def test_a_lost_zone_does_not_count_as_failures_of_its_members(topology: Topology) -> None:
    """All members of a zone are killed at once. The zone is reported as unreachable and its members are kept
    on purpose, so nothing is missing where nobody considers them dead.
    """
    zone = [spec.index for spec in topology.members if spec.zone == "e1"]
    metrics = evaluated(topology, *[Lifecycle(22.0, index, "kill") for index in zone])
    assert metrics.failure.events == 0


def test_only_suspicions_of_undisturbed_members_are_false(topology: Topology) -> None:
    """A member is suspected and considered dead. That is a false alarm if it ran and could be reached, but
    not shortly after it was stopped or separated by a partition.
    """
    suspicion = StatusSeen(60.0, 0, 9, int(Status.SUSPECT))
    death = StatusSeen(62.0, 0, 9, int(Status.DEAD))
    metrics = evaluated(topology, suspicion, death)
    assert (metrics.false_suspicions, metrics.false_deaths) == (1, 1)
    stopped = [Lifecycle(50.0, 9, "stop"), Lifecycle(55.0, 9, "resume")]
    assert evaluated(topology, suspicion, *stopped).false_suspicions == 0
    far = next(p.index for p in topology.members if p.region == "east")
    cut = [Lifecycle(50.0, -1, "cut"), Lifecycle(55.0, -1, "heal")]
    assert evaluated(topology, StatusSeen(60.0, 0, far, int(Status.SUSPECT)), *cut).false_suspicions == 0
    assert evaluated(topology, StatusSeen(95.0, 0, far, int(Status.SUSPECT)), *cut).false_suspicions == 1
