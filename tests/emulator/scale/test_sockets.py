"""Emulated links between members."""

from __future__ import annotations

from random import Random

from saltcourse.emulator.scale.scenario import Scenario
from saltcourse.emulator.scale.sockets import LinkEmulator
from saltcourse.emulator.scale.topology import Topology


def test_links_apply_delay_loss_and_partitions_by_zone(scenario: Scenario, topology: Topology) -> None:
    addresses = tuple(("127.0.0.1", 1000 + spec.index) for spec in topology.members)
    links = LinkEmulator(scenario, topology.members, addresses, Random(1))
    other_region = next(spec for spec in topology.members if spec.region == "east")
    drawn = [links.draw_delay("w1", addresses[other_region.index]) for _ in range(5000)]
    delays = [delay for delay in drawn if delay is not None]
    assert min(delays) >= 0.030 and max(delays) <= 0.040
    assert 0.01 < drawn.count(None) / len(drawn) < 0.03
    same_region = next(spec for spec in topology.members if spec.zone == "w2")
    links.partitioned = True
    assert not links.is_open("w1", addresses[other_region.index])
    assert links.is_open("w1", addresses[same_region.index]) and links.is_open(
        "e1", addresses[other_region.index]
    )
    assert links.draw_delay("w1", ("127.0.0.1", 9)) is None  # not a member's address
