"""Building blocks of hand-written scenarios: a running fleet, and conditions with time limits.

Functions that wait raise ``InvariantError`` when their limit is exceeded. Times are in virtual seconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from saltcourse.emulator.gossip.network import Faults, Traffic
from saltcourse.emulator.gossip.schedule import (
    CHANGE_LIMIT_SECONDS,
    FORMATION_LIMIT_SECONDS,
    is_applied_everywhere,
)
from saltcourse.emulator.gossip.world import KEY, Matcher, NodeClass, World
from saltcourse.emulator.invariants import InvariantError
from saltcourse.gossip.codec import Codec
from saltcourse.gossip.messages import Action, Freshness, Message, PublishError, Status, Transmit, Write
from saltcourse.gossip.node import Node
from saltcourse.gossip.settings import Timing

TABLE_SYNC_LIMIT_SECONDS = 10.0  # from the first publisher until all member tables are complete
AGREEMENT_LIMIT_SECONDS = 10.0  # from the healing of a partition to agreement
TAKEOVER_LIMIT_SECONDS = 15.0  # from a publisher's death to a change published by the next one
UNPROBED_PERIODS = 7  # probe periods after which a dead member is still unprobed with probability 0.001
SPREAD_ROUNDS = 3  # gossip rounds, times log2 of the fleet's size, until an update reaches all members
RETRY_DELAY_SECONDS = 0.2  # before an operator repeats a rejected change


def start_fleet(seed: int, proxies: int, faults: Faults | None = None, node_class: NodeClass = Node) -> World:
    """Start a fleet, wait until it has a publisher and agrees, and return it; the default loss is 1%."""
    world = World(seed, proxies, faults, node_class=node_class)
    world.start_all()
    wait_until(
        world, FORMATION_LIMIT_SECONDS, lambda: missing_heartbeat(world), "all members have a publisher"
    )
    wait_until(world, TABLE_SYNC_LIMIT_SECONDS, lambda: world.disagreement(), "all agree")
    return world


def missing_heartbeat(world: World) -> str:
    """Return which member has no current heartbeat of a publisher; empty if all have one."""
    for process in world.processes.values():
        if process.node.dissemination.heartbeat.count == 0:
            return f"{process.host} has received no heartbeat of a publisher"
        if process.freshness is not Freshness.CURRENT:
            return f"{process.host} is {process.freshness.name}"
    return ""


def wait_until(
    world: World, seconds: float, reason: Callable[[], str], what: str, step: float = 0.1
) -> float:
    """Advance time until ``reason()`` is empty, and return the elapsed seconds.

    ``reason`` returns why the condition described by ``what`` does not hold.
    """
    elapsed = world.run_until(lambda: not reason(), seconds, step)
    if failure := reason():
        world.checker.fail(f"condition not met within {seconds:.1f} s: {what}: {failure}")
    return elapsed


def publisher_of(world: World) -> str:
    """Return the publisher's host; raise ``InvariantError`` if no publisher is known."""
    publisher = world.publisher()
    if publisher is None:
        raise InvariantError("no publisher is known")
    return publisher


def wait_until_applied(world: World, token: int, seconds: float = CHANGE_LIMIT_SECONDS) -> float:
    """Wait until all running processes have applied a published change; return the elapsed seconds."""

    def reason() -> str:
        if token in world.checker.failed:
            return f"change {token} failed: {world.checker.failed[token].name}"
        lacking = [
            process.host for process in world.processes.values() if not is_applied_everywhere(world, token)
        ]
        return (
            ""
            if is_applied_everywhere(world, token)
            else f"change {token} is not applied everywhere ({len(lacking)} processes)"
        )

    return wait_until(world, seconds, reason, "a change is applied everywhere", step=0.02)


def publish_until_answered(
    world: World, host: str, extra: tuple[Write, ...] = (), limit: float = 30.0
) -> int:
    """Publish a change, retrying as an operator's tool does when it fails as BUSY; return its token.

    Raises ``InvariantError`` if it fails otherwise, or is not published within ``limit`` seconds.
    """
    end = world.network.now + limit
    while world.network.now < end:
        token = world.publish(host, extra)
        world.run_until(partial(world.checker.is_answered, token), limit, 0.02)
        if token in world.checker.published:
            return token
        if world.checker.failed.get(token) is not PublishError.BUSY:
            break
        world.run(RETRY_DELAY_SECONDS)
    world.checker.fail(f"{host} did not publish change {token}: {world.checker.failed.get(token)}")
    return token


def nth_transmission(kind: type[Message], skip: int = 0) -> Matcher:
    """Return a matcher of the datagram with a message of this kind after ``skip`` others of the kind."""
    codec = Codec(KEY)
    remaining = skip

    def matches(action: Action) -> bool:
        nonlocal remaining
        if not isinstance(action, Transmit) or not isinstance(codec.decode(action.datagram)[1], kind):
            return False
        remaining -= 1
        return remaining < 0

    return matches


# ---- failure detection ------------------------------------------------------------------------------


def detection_bound(timing: Timing, members: int) -> float:
    """Return the limit, in seconds, within which all members must detect a dead member.

    It is the sum of three times: until a member probes it and suspects it at the end of that probe period;
    until the suspicion times out without a refutation; and until the update has spread.
    """
    probed = (UNPROBED_PERIODS + 1) * timing.probe_interval
    suspected = timing.suspicion_multiplier * max(1.0, math.log10(members)) * timing.probe_interval
    spread = SPREAD_ROUNDS * math.log2(members) * timing.gossip_interval
    return probed + suspected + spread


def undetected_by(world: World, name: str, zone: str) -> str:
    """Return which host considers neither the member dead nor its zone unreachable; empty if none."""
    for host in world.running():
        process = world.processes[host]
        member = {m.record.name: m for m in process.node.membership.members.values()}.get(name)
        is_dead = member is None or member.status in (Status.DEAD, Status.LEFT)
        if not is_dead and zone not in process.unreachable:
            return f"{host} has {name} as {member.status.name if member else None}"
    return ""


def kill_and_detect(world: World, host: str) -> float:
    """Kill a member, wait until all others detect it, and return the elapsed seconds.

    The limit is ``detection_bound``.
    """
    member = world.members[host]
    world.crash(host)
    bound = detection_bound(world.timing, len(world.members))
    return wait_until(
        world,
        bound,
        lambda: undetected_by(world, member.name, member.location.zone),
        f"{host} is believed dead",
    )


@dataclass(frozen=True, slots=True)
class FalseAlarms:
    """Counts of live members reported as suspected or dead."""

    suspicions: int  # distinct pairs of subject and observer
    deaths: int  # reports


def false_alarms(world: World, since: float, except_for: str) -> FalseAlarms:
    """Count the suspicions of members other than ``except_for``, and the deaths of all, since a true time."""
    events = [event for event in world.checker.member_events if event.at >= since]
    suspicions = {
        (event.change.name, event.observer)
        for event in events
        if event.change.status is Status.SUSPECT and event.change.name != except_for
    }
    deaths = [event for event in events if event.change.status in (Status.DEAD, Status.LEFT)]
    return FalseAlarms(len(suspicions), len(deaths))


# ---- traffic ----------------------------------------------------------------------------------------


def traffic_per_s(world: World, seconds: float) -> dict[str, float]:
    """Run for ``seconds``; return the bytes per second sent and received by each host in that time."""
    before = {
        host: Traffic(traffic.sent, traffic.received) for host, traffic in world.network.traffic.items()
    }
    world.run(seconds)
    return {
        host: (traffic.total - before[host].total) / seconds
        for host, traffic in world.network.traffic.items()
        if host in before
    }
