"""Random schedules of faults for voters, and then a connected majority that must commit a new change."""

from __future__ import annotations

import random
from enum import Enum, auto

from saltcourse.emulator.gossip_quorum.world import World
from saltcourse.emulator.invariants import InvariantError, LivenessError
from saltcourse.emulator.simnet import Link
from saltcourse.gossip.messages import Published, PublishError, PublishFailed
from saltcourse.gossip.quorum import Quorum

PUBLISH_LIMIT_SECONDS = 15.0  # of true time from the moment at which a majority is connected
FIRST_CHECK_TOKEN = 1_000_000  # of the publishes after the faults


class Fault(Enum):
    """What may happen to voters and their network."""

    CRASH = auto()
    RESTART = auto()  # killed and back at once
    CRASH_AMID_ACTIONS = auto()
    STOP = auto()  # and go on
    CUT = auto()  # between two, one way or both
    ISOLATE = auto()  # from all others, one way or both
    SPLIT = auto()


def play(seed: int, core: type[Quorum] = Quorum, seconds: float = 8.0) -> World:
    """Run one random schedule of faults, and return the world at its end.

    Then a majority is connected and must commit. ``InvariantError`` where a safety property does not hold,
    ``LivenessError`` where nothing is committed. Each schedule has only some kinds of faults (swarm testing):
    those that it has come together more often.
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
            _fault(world, rng, rng.choice(faults))
    _settle(world, rng)
    return world


def _publish_random(world: World, rng: random.Random) -> None:
    """Publish one change or a burst, at one voter or two at once."""
    for name in rng.sample(world.names, rng.choice((1, 1, 2))):
        if world.net.hosts[name].alive:
            for _ in range(rng.choice((1, 1, 3, 20))):
                world.publish(name)


def _recover(world: World, rng: random.Random) -> None:
    """Start all that are down and, half of the time, heal the network."""
    if rng.random() < 0.5:
        world.net.heal()
    for name in world.names:
        if not world.net.hosts[name].alive:
            world.start(name)


def _fault(world: World, rng: random.Random, fault: Fault) -> None:
    name = rng.choice(world.names)
    host = world.net.hosts[name]
    others = [other for other in world.names if other != name]
    match fault:
        case Fault.CUT:
            world.net.cut(name, rng.choice(others), both=rng.random() < 0.5)
        case Fault.ISOLATE:
            _isolate(world, rng, name, others)
        case Fault.SPLIT:
            _split(world, rng.sample(world.names, rng.randrange(1, len(world.names))))
        case _ if not host.alive:
            world.start(name)
        case Fault.CRASH:
            world.crash(name)
        case Fault.RESTART:
            world.crash(name)
            world.start(name)
        case Fault.CRASH_AMID_ACTIONS:
            world.crash_after[name] = rng.randrange(1, 12)
        case Fault.STOP:
            (world.net.resume if host.stopped else world.net.stop)(host)


def _isolate(world: World, rng: random.Random, name: str, others: list[str]) -> None:
    """Cut a voter off from all others, one way or both."""
    way = rng.choice(("out", "in", "both"))
    for other in others:
        if way != "in":
            world.net.cuts.add((name, other))
        if way != "out":
            world.net.cuts.add((other, name))


def _split(world: World, part: list[str]) -> None:
    for one in world.names:
        for other in world.names:
            if (one in part) != (other in part):
                world.net.cuts.add((one, other))


def _settle(world: World, rng: random.Random) -> None:
    """Start and connect a majority; the rest stays cut off. Then a new change must be committed."""
    part = rng.sample(world.names, rng.randrange(world.checker.majority, len(world.names) + 1))
    world.net.link = Link()
    world.net.heal()
    _split(world, part)
    world.crash_after.clear()
    for name in part:
        host = world.net.hosts[name]
        if not host.alive:
            world.start(name)
        if host.stopped:
            world.net.resume(host)
    _publish_until_committed(world, rng.choice(part))


def _publish_until_committed(world: World, name: str) -> None:
    """As an operator who tries again when the change failed."""
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
                raise InvariantError(f"{result}")
            token += 1
            world.publish(name, token)
    raise LivenessError(
        f"nothing published at {name} within {PUBLISH_LIMIT_SECONDS} s of a connected majority"
    )
