"""Voters on a sound network: who publishes, takeover, and how long a burst takes.

The story: the publisher dies, is cut off, or two operators publish at two voters at once. Another voter takes
over in time, and every change that can be committed is.
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


def world(
    count: int = 5, link: Link | None = None, link_between: Callable[[str, str], Link] | None = None
) -> World:
    found = World(1, count, link or Link(), link_between=link_between)
    for name in found.names:
        found.start(name)
    return found


def publisher(w: World) -> str:
    """The only one."""
    phases = {name: w.replicas[name].quorum.phase for name in w.names if w.net.hosts[name].alive}
    (found,) = [name for name, phase in phases.items() if phase is Phase.PUBLISHING]
    return found


def published(w: World) -> int:
    return sum(isinstance(result, Published) for result in w.checker.results.values())


def burst_time(w: World, name: str, count: int) -> float:
    """Seconds until all of them are notified that it is published."""
    start = w.net.now
    for _ in range(count):
        w.publish(name)
    while len(w.checker.results) < count:
        w.net.run(w.net.now + 0.005)
    assert published(w) == count
    return w.net.now - start


def test_an_idle_fleet_gets_one_publisher_whose_heartbeats_reach_all() -> None:
    w = world()
    w.net.run(10.0)
    first = w.replicas[publisher(w)].heartbeat
    assert first.count > 0
    w.net.run(15.0)
    assert all(replica.heartbeat > first for replica in w.replicas.values())
    assert sum(replica.quorum.metrics()["quorum.takeovers"] for replica in w.replicas.values()) == 1


def test_a_voter_takes_over_from_a_dead_publisher_without_being_asked() -> None:
    w = world()
    w.publish("v0")
    w.net.run(1.0)
    w.crash("v0")
    w.net.run(8.0)
    assert publisher(w) != "v0"
    assert w.replicas[publisher(w)].heartbeat.epoch > 1


def test_a_voter_that_is_asked_takes_over_from_the_publisher_and_stays() -> None:
    w = world()
    w.publish("v0")
    w.net.run(1.0)
    w.publish("v3")
    w.net.run(20.0)
    assert published(w) == 2
    assert publisher(w) == "v3"


def test_two_operators_at_two_voters_both_get_their_bursts_through() -> None:
    w = world(link=Link(delay=(0.04, 0.041)))
    for _ in range(50):
        w.publish("v1")
        w.publish("v2")
    w.net.run(5.0)
    assert published(w) == 100


def test_changes_of_one_operator_are_committed_in_the_order_in_which_it_asked() -> None:
    w = world(link=Link(delay=(0.0, 0.15), loss=0.1))
    tokens = [w.publish("v2") for _ in range(40)]
    w.net.run(5.0)
    versions = [w.checker.results[token].position.version for token in tokens]  # type: ignore[union-attr]
    assert versions == list(range(1, 41))


def test_a_publisher_that_receives_nothing_steps_down_so_that_another_can_take_over() -> None:
    w = world()
    w.publish("v0")
    w.net.run(1.0)
    for other in w.names[1:]:
        w.net.cut(other, "v0", both=False)
    w.net.run(20.0)
    assert w.replicas["v0"].quorum.phase is not Phase.PUBLISHING
    assert publisher(w) != "v0"


def test_without_a_majority_a_publish_is_reported_as_failed_in_time_and_the_next_one_too() -> None:
    w = world()
    for name in ("v2", "v3", "v4"):
        w.crash(name)
    for _ in range(2):
        token = w.publish("v0")
        w.net.run(w.net.now + Timing().publish_timeout + 0.1)
        assert w.checker.results[token] == PublishFailed(token, PublishError.NO_MAJORITY)


def test_a_majority_that_comes_in_time_lets_the_waiting_publish_through() -> None:
    w = world()
    for name in ("v2", "v3", "v4"):
        w.crash(name)
    token = w.publish("v0")
    w.net.run(2.0)
    w.start("v3")
    w.net.run(4.0)
    assert isinstance(w.checker.results[token], Published)


def test_a_voter_far_behind_catches_up_before_it_publishes() -> None:
    w = world(3)
    w.crash("v2")
    burst_time(w, "v0", 50)
    w.start("v2")
    token = w.publish("v2")
    w.net.run(w.net.now + 2.0)
    assert w.checker.results[token] == Published(token, w.checker.changes[50].position)


REGIONS = {"v0": "a", "v1": "a", "v2": "a", "v3": "b", "v4": "b"}
ZONES = {"v0": "a1", "v1": "a2", "v2": "a2", "v3": "b1", "v4": "b2"}


def between_regions(one: str, other: str) -> Link:
    if ZONES[one] == ZONES[other]:
        return Link(delay=(0.0005, 0.0005))
    if REGIONS[one] == REGIONS[other]:
        return Link(delay=(0.002, 0.002))
    return Link(delay=(0.04, 0.04))


@pytest.mark.parametrize("name", ["v0", "v3"])
def test_a_burst_of_fifty_over_two_regions(name: str) -> None:
    """Takeover included. One slot at a time would take 4 s where a majority needs the other region."""
    assert burst_time(world(link_between=between_regions), name, 50) < 1.0


def test_a_burst_of_fifty_with_fifty_milliseconds_between_all() -> None:
    assert burst_time(world(link=Link(delay=(0.05, 0.05))), "v0", 50) < 1.0


def test_a_burst_of_fifty_while_a_tenth_is_lost_and_messages_overtake() -> None:
    assert burst_time(world(link=Link(delay=(0.0, 0.1), loss=0.1)), "v0", 50) < 4.0
