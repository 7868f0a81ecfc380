"""Emulated links between members."""

from __future__ import annotations

from random import Random

from saltcourse.emulator.scale.scenario import Scenario
from saltcourse.emulator.scale.sockets import Paths
from saltcourse.emulator.scale.topology import Topology


def test_paths_apply_delay_loss_and_partitions_by_zone(scenario: Scenario, topology: Topology) -> None:
    addresses = tuple(("127.0.0.1", 1000 + place.index) for place in topology.places)
    paths = Paths(scenario, topology.places, addresses, Random(1))
    far = next(place for place in topology.places if place.region == "east")
    drawn = [paths.delay("w1", addresses[far.index]) for _ in range(5000)]
    delays = [delay for delay in drawn if delay is not None]
    assert min(delays) >= 0.030 and max(delays) <= 0.040
    assert 0.01 < drawn.count(None) / len(drawn) < 0.03
    near = next(place for place in topology.places if place.zone == "w2")
    paths.partitioned = True
    assert not paths.open("w1", addresses[far.index])
    assert paths.open("w1", addresses[near.index]) and paths.open("e1", addresses[far.index])
    assert paths.delay("w1", ("127.0.0.1", 9)) is None  # a stranger
