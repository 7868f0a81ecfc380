"""Costs of members, from their load records."""

from __future__ import annotations

import pytest

from saltcourse.emulator.scale.records import Load
from saltcourse.emulator.scale.topology import Topology
from saltcourse.gossip.messages import Role
from tests.emulator.scale.cases import evaluated


def test_costs_are_those_of_proxies_in_ordinary_phases(topology: Topology) -> None:
    loads = [
        Load(float(second), place.index, 1000 if place.role is Role.PROXY else 9000, 500, 0.01)
        for second in range(1, 21)
        for place in topology.places
    ]
    burst = [Load(30.0, 9, 10**6, 0, 1.0)]
    figures = evaluated(topology, *loads, *burst)
    assert figures.proxies is not None and figures.control is not None
    assert (figures.proxies.bytes_per_s.mean, figures.proxies.bytes_per_s.max) == (1500.0, 1500.0)
    assert figures.control.bytes_per_s.max == 9500.0
    assert figures.proxies.cpu_share.max == pytest.approx(0.01)
    assert {phase.name: phase.bytes_per_s for phase in figures.phases}["cut"] == 10**6
