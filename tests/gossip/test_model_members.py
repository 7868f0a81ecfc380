"""Tests of reused addresses, duplicate names, late joiners, damaged datagrams and clock jumps."""

from __future__ import annotations

from saltcourse.emulator.gossip.network import Faults
from saltcourse.emulator.gossip.scenario import (
    AGREEMENT_LIMIT_SECONDS,
    missing_heartbeat,
    publish_until_answered,
    publisher_of,
    start_fleet,
    traffic_per_s,
    wait_until,
    wait_until_applied,
)
from saltcourse.emulator.gossip.world import KEY, PORT, Member, World
from saltcourse.gossip.codec import Codec
from saltcourse.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    PACKET_OVERHEAD_BYTES,
    Freshness,
    Gossip,
    Header,
    Position,
    ReplicaState,
    Role,
    member_id,
)
from saltcourse.gossip.node import BURST_SECONDS
from tests.gossip.node_fleet import (
    BYTES_PER_S,
)

# Bytes beyond the budget: probes, which are not limited by it, and the datagram that exhausts it.
BURST_SLACK = 2 * (MAX_DATAGRAM_BYTES + PACKET_OVERHEAD_BYTES)
HOUR = 3_600.0  # seconds


def test_address_is_reused_by_another_member() -> None:
    world = start_fleet(22, 5)
    old = world.members["proxy-4"]
    world.crash("proxy-4")
    world.members.pop("proxy-4")
    world.add("successor", Member("successor", old.location, old.address, old.role))
    world.start("successor")
    wait_until(world, 20.0, lambda: world.disagreement() or missing_heartbeat(world), "all agree")
    wait_until_applied(world, publish_until_answered(world, publisher_of(world)))


def test_late_joiner_fetches_a_large_configuration_within_the_budget_and_later_changes() -> None:
    world = World(23, 5)
    values = tuple((f"large/{i:02}", bytes([i]) * 800) for i in range(75))
    state = ReplicaState(promised=5, committed=Position(5, 200), configuration=values)
    for voter in world.voters:
        world.network.fleet[voter.name].disk = state
    world.start_all()
    wait_until(world, 25.0, lambda: world.disagreement() or missing_heartbeat(world), "all agree")
    publisher = publisher_of(world)
    world.add("late", Member("late", world.members["proxy-1"].location, ("10.9.0.1", PORT), Role.PROXY))
    world.start("late")
    started_at = world.network.now
    for second in range(20):
        world.run(1.0)
        elapsed = world.network.now - started_at
        assert world.network.traffic["late"].total < BYTES_PER_S * (BURST_SECONDS + elapsed) + BURST_SLACK
        if second in (2, 5):
            world.publish(publisher)
        if not world.disagreement() and second > 5:
            break
    assert not world.disagreement()
    assert 4.0 < world.network.now - started_at < 20.0  # limited by the budget, but completed
    assert world.processes["late"].freshness is Freshness.CURRENT


def test_duplicated_reordered_truncated_and_altered_datagrams_do_no_harm() -> None:
    faults = Faults(delay=(0.0, 0.5), loss=0.02, duplication=0.3, truncate=0.03, flip=0.03)
    world = start_fleet(24, 5, faults)
    for _ in range(8):
        world.publish(publisher_of(world))
        world.run(2.0)
    assert any(p.node.dropped["authentication"] for p in world.processes.values())
    faults.delay, faults.truncate, faults.flip, faults.loss = (0.03, 0.06), 0.0, 0.0, 0.01
    wait_until(
        world, AGREEMENT_LIMIT_SECONDS, lambda: world.disagreement() or missing_heartbeat(world), "all agree"
    )


def test_senders_with_another_key_or_version_are_counted_and_not_added() -> None:
    world = start_fleet(25, 5)
    world.add(
        "stranger", Member("stranger", world.members["proxy-1"].location, ("10.9.0.2", PORT), Role.PROXY)
    )
    world.start("stranger", key=b"another key")
    valid = Codec(KEY).encode(Header(member_id("proxy-1"), 1, 1), Gossip())
    for offset in range(4):
        altered = bytearray(valid)
        altered[offset] += 1
        world.network.inject("proxy-0", ("192.0.2.7", 9), bytes(altered))
    world.run(15.0)
    world.crash("stranger")
    world.members.pop("stranger")
    assert not world.disagreement()
    dropped = world.processes["proxy-0"].node.dropped
    assert dropped["version"] + dropped["form"] + dropped["authentication"] >= 4


def test_clock_jumps_by_hours_at_a_restart() -> None:
    world = start_fleet(26, 5)
    for host, clock_jump in (
        ("proxy-3", 5 * HOUR),
        (publisher_of(world), -3 * HOUR),
        ("control-3", 9 * HOUR),
    ):
        clock = world.network.fleet[host].offset
        world.restart(host, clock_offset=clock + clock_jump)
        wait_until(world, 20.0, lambda: world.disagreement() or missing_heartbeat(world), "all agree")
    wait_until_applied(world, publish_until_answered(world, publisher_of(world)))


def test_fleet_agrees_after_a_duplicate_name_is_removed() -> None:
    world = start_fleet(27, 7)
    original = world.members["proxy-2"]
    world.add("second-proxy-2", Member("proxy-2", original.location, ("10.9.0.3", PORT), original.role))
    world.start("second-proxy-2")
    busiest = max(traffic_per_s(world, 20.0).values())
    assert busiest < BYTES_PER_S
    wait_until_applied(world, publish_until_answered(world, publisher_of(world)))
    world.crash("second-proxy-2")
    world.members.pop("second-proxy-2")
    wait_until(world, 20.0, lambda: world.disagreement() or missing_heartbeat(world), "all agree")
