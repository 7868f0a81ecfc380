"""Voters on a simulated network: choice of the publisher, takeover, and duration of a burst.

The publisher crashes or is cut off, or operators publish at two voters at the same time. Another voter must
take over in time, and every change that can be committed must be committed.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from saltcourse.emulator.gossip_quorum.world import World
from saltcourse.emulator.simnet import Link
from saltcourse.gossip.messages import (
    Published,
    PublishError,
    PublishFailed,
)
from saltcourse.gossip.quorum import Phase
from saltcourse.gossip.settings import Timing


def start_world(
    count: int = 5, link: Link | None = None, link_between: Callable[[str, str], Link] | None = None
) -> World:
    world = World(1, count, link or Link(), link_between=link_between)
    for name in world.names:
        world.start(name)
    return world


def find_publisher(world: World) -> str:
    """Return the only publisher."""
    phases = {name: world.replicas[name].quorum.phase for name in world.names if world.net.hosts[name].alive}
    (name,) = [name for name, phase in phases.items() if phase is Phase.PUBLISHING]
    return name


def count_published(world: World) -> int:
    return sum(isinstance(result, Published) for result in world.checker.results.values())


def publish_burst(world: World, name: str, count: int) -> float:
    """Publish ``count`` changes at once; return the seconds until all of them are reported as published."""
    start = world.net.now
    for _ in range(count):
        world.publish(name)
    while len(world.checker.results) < count:
        world.net.run(world.net.now + 0.005)
    assert count_published(world) == count
    return world.net.now - start


def test_an_idle_fleet_has_one_publisher_whose_heartbeats_reach_all_voters() -> None:
    world = start_world()
    world.net.run(10.0)
    first = world.replicas[find_publisher(world)].heartbeat
    assert first.count > 0
    world.net.run(15.0)
    assert all(replica.heartbeat > first for replica in world.replicas.values())
    assert sum(replica.quorum.metrics()["quorum.takeovers"] for replica in world.replicas.values()) == 1


def test_a_voter_without_waiting_changes_takes_over_from_a_dead_publisher() -> None:
    world = start_world()
    world.publish("v0")
    world.net.run(1.0)
    world.crash("v0")
    world.net.run(8.0)
    assert find_publisher(world) != "v0"
    assert world.replicas[find_publisher(world)].heartbeat.epoch > 1


def test_a_voter_that_receives_a_change_takes_over_and_remains_the_publisher() -> None:
    world = start_world()
    world.publish("v0")
    world.net.run(1.0)
    world.publish("v3")
    world.net.run(20.0)
    assert count_published(world) == 2
    assert find_publisher(world) == "v3"


def test_concurrent_bursts_at_two_voters_are_both_published() -> None:
    world = start_world(link=Link(delay=(0.04, 0.041)))
    for _ in range(50):
        world.publish("v1")
        world.publish("v2")
    world.net.run(5.0)
    assert count_published(world) == 100


def test_changes_of_one_operator_are_committed_in_the_order_of_submission() -> None:
    world = start_world(link=Link(delay=(0.0, 0.15), loss=0.1))
    tokens = [world.publish("v2") for _ in range(40)]
    world.net.run(5.0)
    versions = [world.checker.results[token].position.version for token in tokens]  # type: ignore[union-attr]
    assert versions == list(range(1, 41))


def test_a_publisher_that_receives_no_messages_is_replaced() -> None:
    world = start_world()
    world.publish("v0")
    world.net.run(1.0)
    for other in world.names[1:]:
        world.net.cut(other, "v0", both=False)
    world.net.run(20.0)
    assert world.replicas["v0"].quorum.phase is not Phase.PUBLISHING
    assert find_publisher(world) != "v0"


def test_without_a_majority_every_publish_fails_at_its_timeout() -> None:
    world = start_world()
    for name in ("v2", "v3", "v4"):
        world.crash(name)
    for _ in range(2):
        token = world.publish("v0")
        world.net.run(world.net.now + Timing().publish_timeout + 0.1)
        assert world.checker.results[token] == PublishFailed(token, PublishError.NO_MAJORITY)


def test_a_waiting_change_is_published_when_a_majority_returns_in_time() -> None:
    world = start_world()
    for name in ("v2", "v3", "v4"):
        world.crash(name)
    token = world.publish("v0")
    world.net.run(2.0)
    world.start("v3")
    world.net.run(4.0)
    assert isinstance(world.checker.results[token], Published)


def test_a_lagging_voter_catches_up_before_it_publishes() -> None:
    world = start_world(3)
    world.crash("v2")
    publish_burst(world, "v0", 50)
    world.start("v2")
    token = world.publish("v2")
    world.net.run(world.net.now + 2.0)
    assert world.checker.results[token] == Published(token, world.checker.changes[50].position)


REGIONS = {"v0": "a", "v1": "a", "v2": "a", "v3": "b", "v4": "b"}
ZONES = {"v0": "a1", "v1": "a2", "v2": "a2", "v3": "b1", "v4": "b2"}


def link_by_region(sender: str, receiver: str) -> Link:
    if ZONES[sender] == ZONES[receiver]:
        return Link(delay=(0.0005, 0.0005))
    if REGIONS[sender] == REGIONS[receiver]:
        return Link(delay=(0.002, 0.002))
    return Link(delay=(0.04, 0.04))


@pytest.mark.parametrize("name", ["v0", "v3"])
def test_a_burst_of_fifty_changes_across_two_regions(name: str) -> None:
    """Includes the takeover. One change at a time would take 4 s if a majority needs the other region."""
    assert publish_burst(start_world(link_between=link_by_region), name, 50) < 1.0


def test_a_burst_of_fifty_changes_with_a_delay_of_fifty_milliseconds() -> None:
    assert publish_burst(start_world(link=Link(delay=(0.05, 0.05))), "v0", 50) < 1.0


def test_a_burst_of_fifty_changes_with_ten_percent_loss_and_reordering() -> None:
    assert publish_burst(start_world(link=Link(delay=(0.0, 0.1), loss=0.1)), "v0", 50) < 4.0
