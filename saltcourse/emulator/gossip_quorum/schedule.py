"""Random schedules of faults for voters, each ending with a connected majority that must commit a change."""

from __future__ import annotations

import random
from enum import Enum, auto

from saltcourse.emulator.gossip_quorum.world import World
from saltcourse.emulator.invariants import InvariantError, LivenessError
from saltcourse.emulator.simnet import Link
from saltcourse.gossip.messages import Published, PublishError, PublishFailed
from saltcourse.gossip.quorum import Quorum

PUBLISH_LIMIT_SECONDS = 15.0  # for a connected majority to commit a change, in true time
FIRST_CHECK_TOKEN = 1_000_000  # first token of the changes published after the faults


class Fault(Enum):
    """A fault of a voter or of the network."""

    CRASH = auto()
    RESTART = auto()  # crash and immediate start
    CRASH_DURING_ACTIONS = auto()  # the remaining actions of a list are lost
    STOP = auto()  # stop a running process, or resume a stopped one
    CUT = auto()  # cut a link in one or both directions
    ISOLATE = auto()  # cut a voter off from all others, in one or both directions
    PARTITION = auto()  # split the voters into two groups


def run_schedule(seed: int, core: type[Quorum] = Quorum, seconds: float = 8.0) -> World:
    """Run a random schedule of faults, then connect a majority that must commit; return the final world.

    ``seconds`` is the true time with faults. Each schedule uses a random subset of the kinds of faults (swarm
    testing), so that combinations of these kinds are more frequent. Raises ``InvariantError`` if a safety
    property is violated, and ``LivenessError`` if nothing is committed in time.
    """
    rng = random.Random(seed)
    count = rng.choice((3, 3, 5))
    delay = rng.choice(((0.0002, 0.004), (0.001, 0.05), (0.0, 0.15), (0.04, 0.041)))
    link = Link(delay=delay, loss=rng.choice((0.0, 0.05, 0.2)), duplication=rng.choice((0.0, 0.1)))
    faults = rng.sample(list(Fault), rng.randrange(1, len(Fault) + 1))
    world = World(seed, count, link, core)
    for name in world.names:
        world.start(name)
    while world.net.now < seconds:
        world.net.run(world.net.now + rng.choice((0.01, 0.05, 0.1, 0.3, 0.7)))
        if rng.random() < 0.5:
            _publish_random(world, rng)
        elif rng.random() < 0.25:
            _recover(world, rng)
        else:
            _inject_fault(world, rng, rng.choice(faults))
    _require_progress(world, rng)
    return world


def _publish_random(world: World, rng: random.Random) -> None:
    """Publish one change or a burst at one or two voters."""
    for name in rng.sample(world.names, rng.choice((1, 1, 2))):
        if world.net.hosts[name].alive:
            for _ in range(rng.choice((1, 1, 3, 20))):
                world.publish(name)


def _recover(world: World, rng: random.Random) -> None:
    """Start all voters that are down and, with probability 0.5, heal the network."""
    if rng.random() < 0.5:
        world.net.heal()
    for name in world.names:
        if not world.net.hosts[name].alive:
            world.start(name)


def _inject_fault(world: World, rng: random.Random, fault: Fault) -> None:
    """Inject a fault at a random voter; a fault of a process starts a voter that is down instead."""
    name = rng.choice(world.names)
    host = world.net.hosts[name]
    others = [other for other in world.names if other != name]
    match fault:
        case Fault.CUT:
            world.net.cut(name, rng.choice(others), both=rng.random() < 0.5)
        case Fault.ISOLATE:
            _isolate(world, rng, name, others)
        case Fault.PARTITION:
            _partition(world, rng.sample(world.names, rng.randrange(1, len(world.names))))
        case _ if not host.alive:
            world.start(name)
        case Fault.CRASH:
            world.crash(name)
        case Fault.RESTART:
            world.crash(name)
            world.start(name)
        case Fault.CRASH_DURING_ACTIONS:
            world.crash_after[name] = rng.randrange(1, 12)
        case Fault.STOP:
            (world.net.resume if host.stopped else world.net.stop)(host)


def _isolate(world: World, rng: random.Random, name: str, others: list[str]) -> None:
    """Cut a voter off from all others in one or both directions."""
    direction = rng.choice(("out", "in", "both"))
    for other in others:
        if direction != "in":
            world.net.cuts.add((name, other))
        if direction != "out":
            world.net.cuts.add((other, name))


def _partition(world: World, side: list[str]) -> None:
    """Cut all links between the voters of ``side`` and the others."""
    for one in world.names:
        for other in world.names:
            if (one in side) != (other in side):
                world.net.cuts.add((one, other))


def _require_progress(world: World, rng: random.Random) -> None:
    """Start and connect a majority, cut off from the rest, and require it to commit a new change."""
    side = rng.sample(world.names, rng.randrange(world.checker.majority, len(world.names) + 1))
    world.net.link = Link()
    world.net.heal()
    _partition(world, side)
    world.crash_after.clear()
    for name in side:
        host = world.net.hosts[name]
        if not host.alive:
            world.start(name)
        if host.stopped:
            world.net.resume(host)
    _publish_until_committed(world, rng.choice(side))


def _publish_until_committed(world: World, name: str) -> None:
    """Publish a change at a voter, and retry with a new token each time it fails."""
    end = world.net.now + PUBLISH_LIMIT_SECONDS
    token = FIRST_CHECK_TOKEN
    world.publish(name, token)
    while world.net.now < end:
        world.net.run(world.net.now + 0.05)
        result = world.checker.results.get(token)
        if isinstance(result, Published):
            return
        if isinstance(result, PublishFailed):
            if result.error is PublishError.TOO_LARGE:
                raise InvariantError(f"a small change is rejected as too large: {result}")
            token += 1
            world.publish(name, token)
    raise LivenessError(
        f"no change published at {name} within {PUBLISH_LIMIT_SECONDS} s although a majority is connected"
    )
