"""Zones, machines, racks and roles of a fleet."""

from __future__ import annotations

from collections import Counter

from saltcourse.emulator.scale.scenario import Scenario
from saltcourse.emulator.scale.scenario_file import read_scenario
from saltcourse.emulator.scale.topology import build_topology
from tests.emulator.scale.cases import SCENARIOS


def test_the_ordinary_topology_spreads_voters_and_racks_over_the_zones(scenario: Scenario) -> None:
    ordinary = read_scenario(SCENARIOS / "ordinary.txtpb")
    topology = build_topology(ordinary, 490, real=8)
    assert len({voter.zone for voter in topology.voters}) == 5
    assert len(topology.proxies) == 490 and len(topology.real) == 8 and len(topology.members) == 506
    assert [spec.index for spec in topology.members] == list(range(506))
    assert max(Counter(spec.rack for spec in topology.proxies).values()) == 10
    assert all(len({p.zone for p in rack}) == 1 for rack in topology.racks().values())
    assert not set(topology.real) & {p for machine in topology.machines().values() for p in machine}
