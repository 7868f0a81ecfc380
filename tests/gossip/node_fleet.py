"""Helpers for tests of complete nodes in the gossip emulator."""

from __future__ import annotations

from typing import Any

from saltcourse.emulator.gossip.scenario import (
    AGREEMENT_LIMIT_SECONDS,
    TAKEOVER_LIMIT_SECONDS,
    false_alarms,
    missing_heartbeat,
    publish_until_answered,
    publisher_of,
    start_fleet,
    wait_until,
    wait_until_applied,
)
from saltcourse.emulator.gossip.world import World
from saltcourse.gossip.messages import (
    Freshness,
)

SMALL_SCHEDULE: dict[str, Any] = {"seconds": 10.0, "proxies": (1, 5)}  # arguments of ``schedule.play``
BYTES_PER_S = 21_000  # byte budget of a proxy, sent plus received


def cut_region(world: World, seconds: float) -> None:
    """Cut off region south, which has two voters, for ``seconds``, and check the freshness of all members.

    Members in the south must report that they are not current; those in the north must stay current.
    """
    publisher_in(world, "north")
    world.partition(world.hosts_in(region="south"))
    world.run(seconds)
    for host in world.hosts_in(region="south"):
        assert world.processes[host].freshness is not Freshness.CURRENT
    for host in world.hosts_in(region="north"):
        assert world.processes[host].freshness is Freshness.CURRENT


def false_deaths_of_partition(seed: int) -> int:
    """Return how many deaths of live members are reported during and after a partition of the regions."""
    world = start_fleet(seed, 15)
    started_at = world.network.now
    cut_region(world, 20.0)
    world.heal()
    wait_until(
        world, AGREEMENT_LIMIT_SECONDS, lambda: world.disagreement() or missing_heartbeat(world), "all agree"
    )
    return false_alarms(world, started_at, "").deaths


def publisher_in(world: World, region: str) -> str:
    """Make a voter in ``region`` the publisher and return its name.

    A voter that gets a change to publish takes over from the current publisher.
    """
    voter = next(v.name for v in world.voters if world.members[v.name].location.region == region)
    publish_until_answered(world, voter)
    wait_until(
        world, TAKEOVER_LIMIT_SECONDS, lambda: world.disagreement() or missing_heartbeat(world), "all agree"
    )
    assert publisher_of(world) == voter
    return voter


def publish_after_takeover(world: World, old_publisher: str) -> int:
    """Wait for the successor of ``old_publisher``, publish a change at it and return the change's token."""
    wait_until(
        world, TAKEOVER_LIMIT_SECONDS, lambda: world.publisher() == old_publisher, "another voter publishes"
    )
    token = publish_until_answered(world, publisher_of(world))
    wait_until_applied(world, token)
    return token


def has_token(world: World, token: int) -> bool:
    """Return whether the newest configuration includes the change with this token."""
    newest = max(world.checker.versions)
    return token in world.checker.versions[newest].tokens
