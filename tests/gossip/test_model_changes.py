"""Tests of configuration changes while the publisher crashes or the regions are partitioned.

A process may crash or a link fail at any point while a change is published. A change that was reported to the
operator as published must in the end be applied by all members.
"""

from __future__ import annotations

import pytest

from saltcourse.emulator.gossip.network import Faults
from saltcourse.emulator.gossip.scenario import (
    AGREED_WITHIN,
    TAKEOVER_WITHIN,
    change_in_force,
    formed,
    publish_until_answered,
    publisher_of,
    publishes,
    transmits,
    within,
)
from saltcourse.emulator.gossip.schedule import CHANGE_WITHIN
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
    world = formed(11, 5, Faults(loss=0.0, duplication=0.0))
    publisher = publisher_of(world)
    world.crash_at(publisher, transmits(Propose, sent - 1), after=True)
    token = world.publish(publisher)
    world.run(1.0)
    assert publisher not in world.processes
    publish_after_takeover(world, publisher)
    if sent == 4:  # all other voters accepted it, so that every successor finds it
        assert has_token(world, token)
    world.start(publisher)
    within(world, TAKEOVER_WITHIN, world.disagreement, "all agree")


@pytest.mark.parametrize("after", [False, True])
def test_publisher_crashes_between_commit_and_announcement(after: bool) -> None:
    world = formed(12, 5, Faults(loss=0.0, duplication=0.0))
    publisher = publisher_of(world)
    world.crash_at(publisher, lambda action: isinstance(action, Published | Applied), after)
    token = world.publish(publisher)
    world.run(1.0)
    assert publisher not in world.processes
    publish_after_takeover(world, publisher)
    assert has_token(world, token)  # a majority of the voters has accepted it
    world.start(publisher)
    within(world, TAKEOVER_WITHIN, world.disagreement, "all agree")


def test_conflicting_changes_in_a_partition_with_the_publisher_in_the_majority() -> None:
    world = formed(13, 5)
    publisher = publisher_in(world, "north")
    world.partition(world.hosts_in(region="south"))
    north, south = world.publish(publisher), world.publish("control-3")
    world.run(10.0)
    assert north in world.checker.published
    assert world.checker.failed[south] is PublishError.NO_MAJORITY
    world.heal()
    within(world, AGREED_WITHIN, lambda: world.disagreement() or publishes(world), "all agree")
    assert has_token(world, north) and not has_token(world, south)


@pytest.mark.parametrize("seed", range(14, 17))
def test_conflicting_changes_in_a_partition_with_the_publisher_in_the_minority(seed: int) -> None:
    world = formed(seed, 5, Faults(loss=0.0, duplication=0.01))
    old = publisher_in(world, "south")
    world.partition(world.hosts_in(region="south"))
    lost = world.publish(old)  # accepted by the other voter in the south, but by no majority
    world.run(TAKEOVER_WITHIN)
    assert world.checker.failed[lost] is PublishError.NO_MAJORITY
    new = publish_until_answered(
        world, next(v.name for v in world.voters if v.name == north_publisher(world))
    )
    world.heal()
    within(world, AGREED_WITHIN, lambda: world.disagreement() or publishes(world), "all agree")
    assert has_token(world, new) and not has_token(world, lost)


def north_publisher(world: World) -> str:
    newest = max(world.processes[h].node.dissemination.heartbeat for h in world.hosts_in(region="north"))
    return world.voters[newest.epoch % len(world.voters)].name


@pytest.mark.parametrize("kind", ["proxy", "publisher"])
def test_process_resumes_with_old_state_after_60_s(kind: str) -> None:
    world = formed(18, 4)
    host = "proxy-3" if kind == "proxy" else publisher_of(world)
    world.stop(host)
    world.run(25.0)
    publish_until_answered(world, north_publisher(world))
    world.run(35.0)
    resumed_at = world.network.now
    world.resume(host)
    within(world, AGREED_WITHIN, lambda: world.disagreement() or publishes(world), "all agree")
    assert not [
        e
        for e in world.checker.member_events
        if e.at >= resumed_at and e.observer == host and e.change.status is Status.DEAD
    ]
    change_in_force(world, publish_until_answered(world, publisher_of(world)))


def test_all_members_of_a_zone_restart_together() -> None:
    world = formed(19, 15)
    zone = world.hosts_in(zone="n2")
    for host in zone:
        world.crash(host)
    world.run(2.0)
    for host in zone:
        world.start(host)
    within(world, TAKEOVER_WITHIN, lambda: world.disagreement() or publishes(world), "all agree")
    change_in_force(world, publish_until_answered(world, publisher_of(world)))


@pytest.mark.parametrize("region", ["north", "south"])
def test_burst_of_50_changes_while_a_voter_crashes(region: str) -> None:
    world = formed(20, 10)
    publisher = publisher_in(world, region)
    lost = next(v.name for v in world.voters if v.name != publisher)
    tokens = []
    for i in range(50):
        tokens.append(publish_until_answered(world, publisher, ((f"burst/{i}", b"v" * 60),)))
        if i == 20:
            world.crash(lost)
    change_in_force(world, tokens[-1])


def test_50_simultaneous_changes_are_published_or_rejected_and_reach_all_members() -> None:
    world = formed(21, 10)
    publisher = publisher_of(world)
    tokens = [world.publish(publisher, ((f"burst/{i}", b"v" * 60),)) for i in range(50)]
    world.run(6.0)
    checker = world.checker
    assert all(t in checker.published or t in checker.failed for t in tokens)
    assert {checker.failed[t] for t in tokens if t in checker.failed} <= {PublishError.BUSY}
    assert any(t in checker.published for t in tokens)
    within(world, CHANGE_WITHIN, world.disagreement, "all agree")


def test_burst_of_50_large_changes_is_spread_by_all_members() -> None:
    """Each member receives 45 KB and forwards about as much, within a budget of 21 KB/s and a burst of 2 s.

    The publisher alone could not send the changes to all members in time.
    """
    world = formed(23, 10)
    publisher = publisher_of(world)
    token = 0
    for i in range(50):
        token = publish_until_answered(world, publisher, ((f"large/{i}", bytes([i]) * 800),))
    change_in_force(world, token, LARGE_BURST_WITHIN)
