"""Helpers for tests of whole nodes in virtual time."""

from __future__ import annotations

from typing import Any

from saltcourse.emulator.gossip.scenario import (
    AGREED_WITHIN,
    TAKEOVER_WITHIN,
    change_in_force,
    false_alarms,
    formed,
    publish_until_answered,
    publisher_of,
    publishes,
    within,
)
from saltcourse.emulator.gossip.world import World
from saltcourse.gossip.messages import (
    Freshness,
)

SMALL: dict[str, Any] = {"seconds": 10.0, "proxies": (1, 5)}


BYTES_PER_S = 21_000


def cut_region(world: World, seconds: float) -> None:
    """The south, with two voters, is cut off and knows it; the north goes on."""
    publisher_in(world, "north")
    world.partition(world.hosts_in(region="south"))
    world.run(seconds)
    for host in world.hosts_in(region="south"):
        assert world.processes[host].freshness is not Freshness.CURRENT
    for host in world.hosts_in(region="north"):
        assert world.processes[host].freshness is Freshness.CURRENT


def deaths_of_a_cut(seed: int) -> int:
    """Deaths reported of members alive behind a cut, with a wave of objections when it heals."""
    world = formed(seed, 15)
    begun = world.network.now
    cut_region(world, 20.0)
    world.heal()
    within(world, AGREED_WITHIN, lambda: world.disagreement() or publishes(world), "all agree")
    return false_alarms(world, begun, "").deaths


def publisher_in(world: World, region: str) -> str:
    """A voter that is asked to publish while another one does takes over and stays the publisher."""
    voter = next(v.name for v in world.voters if world.members[v.name].location.region == region)
    publish_until_answered(world, voter)
    within(world, TAKEOVER_WITHIN, lambda: world.disagreement() or publishes(world), "all agree")
    assert publisher_of(world) == voter
    return voter


def taken_over(world: World, dead: str) -> int:
    """Waits for the next publisher and gives it a change; its token."""
    within(world, TAKEOVER_WITHIN, lambda: world.publisher() == dead, "another one publishes")
    token = publish_until_answered(world, publisher_of(world))
    change_in_force(world, token)
    return token


def has_token(world: World, token: int) -> bool:
    newest = max(world.checker.versions)
    return token in world.checker.versions[newest].tokens
