"""The cost of members, computed from their load records."""

from __future__ import annotations

import pytest

from saltcourse.emulator.scale.records import Load
from saltcourse.emulator.scale.topology import Topology
from saltcourse.gossip.messages import Role
from tests.emulator.scale.cases import metrics_of


def test_costs_are_those_of_ordinary_phases_for_proxies_and_control_members(
    topology: Topology,
) -> None:
    loads = [
        Load(float(second), spec.index, 1000 if spec.role is Role.PROXY else 9000, 500, 0.01)
        for second in range(1, 21)
        for spec in topology.members
    ]
    burst = [Load(30.0, 9, 10**6, 0, 1.0)]
    metrics = metrics_of(topology, *loads, *burst)
    assert metrics.proxies is not None and metrics.control is not None
    assert (metrics.proxies.bytes_per_s.mean, metrics.proxies.bytes_per_s.max) == (1500.0, 1500.0)
    assert metrics.control.bytes_per_s.max == 9500.0
    assert metrics.proxies.cpu_share.max == pytest.approx(0.01)
    assert {phase.name: phase.bytes_per_s for phase in metrics.phases}["cut"] == 10**6
