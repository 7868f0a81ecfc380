"""Tests of configuration changes while the publisher crashes or the regions are partitioned.

A process may crash or a link fail at any point while a change is published. A change that was reported to the
operator as published must in the end be applied by all members.
"""

from __future__ import annotations

import pytest

from saltcourse.emulator.gossip.network import Faults
from saltcourse.emulator.gossip.scenario import (
    AGREEMENT_LIMIT_SECONDS,
    TAKEOVER_LIMIT_SECONDS,
    missing_heartbeat,
    nth_transmission,
    publish_until_answered,
    publisher_of,
    start_fleet,
    wait_until,
    wait_until_applied,
)
from saltcourse.emulator.gossip.schedule import CHANGE_LIMIT_SECONDS
from saltcourse.emulator.gossip.world import World
from saltcourse.gossip.messages import (
    Applied,
    Propose,
    Published,
    PublishError,
    Status,
)
from tests.gossip.node_fleet import (
    has_token,
    publish_after_takeover,
    publisher_in,
)

LARGE_BURST_WITHIN = 15.0  # seconds; the byte budget alone takes about 4


@pytest.mark.parametrize("sent", [1, 4])
def test_publisher_crashes_between_propose_and_commit(sent: int) -> None:
    world = start_fleet(11, 5, Faults(loss=0.0, duplication=0.0))
    publisher = publisher_of(world)
    world.crash_at(publisher, nth_transmission(Propose, sent - 1), after=True)
    token = world.publish(publisher)
    world.run(1.0)
    assert publisher not in world.processes
    publish_after_takeover(world, publisher)
    if sent == 4:  # all other voters accepted it, so that every successor finds it
        assert has_token(world, token)
    world.start(publisher)
    wait_until(world, TAKEOVER_LIMIT_SECONDS, world.disagreement, "all agree")


@pytest.mark.parametrize("after", [False, True])
def test_publisher_crashes_between_commit_and_announcement(after: bool) -> None:
    world = start_fleet(12, 5, Faults(loss=0.0, duplication=0.0))
    publisher = publisher_of(world)
    world.crash_at(publisher, lambda action: isinstance(action, Published | Applied), after)
    token = world.publish(publisher)
    world.run(1.0)
    assert publisher not in world.processes
    publish_after_takeover(world, publisher)
    assert has_token(world, token)  # a majority of the voters has accepted it
    world.start(publisher)
    wait_until(world, TAKEOVER_LIMIT_SECONDS, world.disagreement, "all agree")


def test_conflicting_changes_in_a_partition_with_the_publisher_in_the_majority() -> None:
    world = start_fleet(13, 5)
    publisher = publisher_in(world, "north")
    world.partition(world.hosts_in(region="south"))
    north, south = world.publish(publisher), world.publish("control-3")
    world.run(10.0)
    assert north in world.checker.published
    assert world.checker.failed[south] is PublishError.NO_MAJORITY
    world.heal()
    wait_until(
        world, AGREEMENT_LIMIT_SECONDS, lambda: world.disagreement() or missing_heartbeat(world), "all agree"
    )
    assert has_token(world, north) and not has_token(world, south)


@pytest.mark.parametrize("seed", range(14, 17))
def test_conflicting_changes_in_a_partition_with_the_publisher_in_the_minority(seed: int) -> None:
    world = start_fleet(seed, 5, Faults(loss=0.0, duplication=0.01))
    old = publisher_in(world, "south")
    world.partition(world.hosts_in(region="south"))
    lost = world.publish(old)  # accepted by the other voter in the south, but by no majority
    world.run(TAKEOVER_LIMIT_SECONDS)
    assert world.checker.failed[lost] is PublishError.NO_MAJORITY
    new = publish_until_answered(
        world, next(v.name for v in world.voters if v.name == north_publisher(world))
    )
    world.heal()
    wait_until(
        world, AGREEMENT_LIMIT_SECONDS, lambda: world.disagreement() or missing_heartbeat(world), "all agree"
    )
    assert has_token(world, new) and not has_token(world, lost)


def north_publisher(world: World) -> str:
    newest = max(world.processes[h].node.dissemination.heartbeat for h in world.hosts_in(region="north"))
    return world.voters[newest.epoch % len(world.voters)].name


@pytest.mark.parametrize("kind", ["proxy", "publisher"])
def test_process_resumes_with_old_state_after_60_s(kind: str) -> None:
    world = start_fleet(18, 4)
    host = "proxy-3" if kind == "proxy" else publisher_of(world)
    world.stop(host)
    world.run(25.0)
    publish_until_answered(world, north_publisher(world))
    world.run(35.0)
    resumed_at = world.network.now
    world.resume(host)
    wait_until(
        world, AGREEMENT_LIMIT_SECONDS, lambda: world.disagreement() or missing_heartbeat(world), "all agree"
    )
    assert not [
        e
        for e in world.checker.member_events
        if e.at >= resumed_at and e.observer == host and e.change.status is Status.DEAD
    ]
    wait_until_applied(world, publish_until_answered(world, publisher_of(world)))


def test_all_members_of_a_zone_restart_together() -> None:
    world = start_fleet(19, 15)
    zone = world.hosts_in(zone="n2")
    for host in zone:
        world.crash(host)
    world.run(2.0)
    for host in zone:
        world.start(host)
    wait_until(
        world, TAKEOVER_LIMIT_SECONDS, lambda: world.disagreement() or missing_heartbeat(world), "all agree"
    )
    wait_until_applied(world, publish_until_answered(world, publisher_of(world)))


@pytest.mark.parametrize("region", ["north", "south"])
def test_burst_of_50_changes_while_a_voter_crashes(region: str) -> None:
    world = start_fleet(20, 10)
    publisher = publisher_in(world, region)
    lost = next(v.name for v in world.voters if v.name != publisher)
    tokens = []
    for i in range(50):
        tokens.append(publish_until_answered(world, publisher, ((f"burst/{i}", b"v" * 60),)))
        if i == 20:
            world.crash(lost)
    wait_until_applied(world, tokens[-1])


def test_50_simultaneous_changes_are_published_or_rejected_and_reach_all_members() -> None:
    world = start_fleet(21, 10)
    publisher = publisher_of(world)
    tokens = [world.publish(publisher, ((f"burst/{i}", b"v" * 60),)) for i in range(50)]
    world.run(6.0)
    checker = world.checker
    assert all(t in checker.published or t in checker.failed for t in tokens)
    assert {checker.failed[t] for t in tokens if t in checker.failed} <= {PublishError.BUSY}
    assert any(t in checker.published for t in tokens)
    wait_until(world, CHANGE_LIMIT_SECONDS, world.disagreement, "all agree")


def test_burst_of_50_large_changes_is_spread_by_all_members() -> None:
    """Each member receives 45 KB and forwards about as much, within a budget of 21 KB/s and a burst of 2 s.

    The publisher alone could not send the changes to all members in time.
    """
    world = start_fleet(23, 10)
    publisher = publisher_of(world)
    token = 0
    for i in range(50):
        token = publish_until_answered(world, publisher, ((f"large/{i}", bytes([i]) * 800),))
    wait_until_applied(world, token, LARGE_BURST_WITHIN)
