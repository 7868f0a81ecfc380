"""Random schedules of faults for a fleet, then a calm time in which it must come to agree."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from saltcourse.emulator.gossip.network import Faults
from saltcourse.emulator.gossip.world import LOCATIONS, NodeClass, World
from saltcourse.emulator.invariants import InvariantError
from saltcourse.gossip.messages import Action, Applied, Freshness, Persist, Published, Transmit, Write
from saltcourse.gossip.node import Node

FORMED_WITHIN = 20.0  # s from the start of all to a publisher whose heartbeats reach all
SETTLED_WITHIN = 30.0  # s from the last fault to agreement; a takeover may have to come first
CHANGE_WITHIN = 5.0  # s from an operator's wish to its being in force everywhere
PROXIES = (7, 15)  # fewest and most, drawn by each schedule
FAULT_SECONDS = 40.0
MOST_STOPPED = 8.0  # s for which a process is stopped
STEPS = (0.1, 0.5, 1.5, 4.0)  # s between faults
JUNK_BYTES = 1_300
REPLAYED = 60  # datagrams at once


@dataclass(frozen=True, slots=True)
class ScheduleFigures:
    """Figures of one schedule that held."""

    seed: int
    published: int
    failed: int
    settled_s: float
    last_change_s: float


def run_schedule(
    seed: int,
    node_class: NodeClass = Node,
    seconds: float = FAULT_SECONDS,
    proxies: tuple[int, int] = PROXIES,
) -> ScheduleFigures:
    """Play one random schedule; ``InvariantError`` when a property does not hold."""
    schedule = Schedule(seed, node_class, proxies)
    schedule.form()
    schedule.disturb(seconds)
    settled = schedule.settle()
    last = schedule.publish_one_more()
    checker = schedule.world.checker
    return ScheduleFigures(seed, len(checker.published), len(checker.failed), settled, last)


class Schedule:
    """A world, and the random draws of its faults."""

    def __init__(self, seed: int, node_class: NodeClass, proxies: tuple[int, int] = PROXIES) -> None:
        self.rng = random.Random(seed)
        rng = self.rng
        faults = Faults(
            loss=rng.choice((0.0, 0.01, 0.05)),
            duplication=rng.choice((0.0, 0.05)),
            truncate=rng.choice((0.0, 0.01)),
            flip=rng.choice((0.0, 0.01)),
        )
        self.world = World(seed, rng.randint(*proxies), faults, node_class=node_class)
        self.faults: tuple[Callable[[], None], ...] = (
            self._crash_or_start,
            self._crash_or_start,
            self._restart,
            self._stop,
            self._cut_region,
            self._cut_zone,
            self._cut_one,
            self._cut_one_way,
            self._heal,
            self._heal,
            self._publish,
            self._publish,
            self._publish,
            self._burst,
            self._die_at_some_action,
            self._junk,
            self._replay,
            self._replay,
            self._restart_zone,
        )

    def form(self) -> None:
        """Start all; ``InvariantError`` when there is no publisher in time."""
        self.world.start_all()
        elapsed = self.world.run_until(self._has_publisher, FORMED_WITHIN)
        if elapsed >= FORMED_WITHIN:
            self.world.checker.fail(f"no publisher within {FORMED_WITHIN} s")

    def _has_publisher(self) -> bool:
        return all(p.node.dissemination.heartbeat.count > 0 for p in self.world.processes.values())

    def disturb(self, seconds: float) -> None:
        """Play random faults for so many seconds."""
        end = self.world.network.now + seconds
        while self.world.network.now < end:
            self.world.run(self.rng.choice(STEPS))
            self.rng.choice(self.faults)()

    def settle(self) -> float:
        """Start and connect all; return the seconds until they agree."""
        world = self.world
        world.heal()
        world.planned_crashes.clear()
        faults = world.network.faults
        faults.loss, faults.truncate, faults.flip = 0.01, 0.0, 0.0
        for host in world.members:
            if world.network.fleet[host].stopped:
                world.resume(host)
            if host not in world.processes:
                world.start(host)
        elapsed = world.run_until(lambda: not self._unsettled(), SETTLED_WITHIN, step=0.5)
        if reason := self._unsettled():
            world.checker.fail(f"{SETTLED_WITHIN} s after the last fault {reason}")
        return elapsed

    def _unsettled(self) -> str:
        for process in self.world.processes.values():
            if process.freshness is not Freshness.CURRENT:
                return f"{process.host} is {process.freshness.name}"
        return self.world.disagreement()

    def publish_one_more(self) -> float:
        """Publish a change in the calm; return the seconds until all have it.

        Changes given to other voters while there were faults may still move the publisher, until their
        timeout.
        """
        world = self.world
        world.run(world.timing.publish_timeout)
        publisher = world.publisher()
        if publisher is None:
            raise InvariantError("nobody publishes")
        started_at = world.network.now
        token = world.publish(publisher)
        world.run_until(lambda: in_force(world, token), CHANGE_WITHIN)
        if not in_force(world, token):
            world.checker.fail(f"change {token} is not everywhere after {CHANGE_WITHIN} s")
        return world.network.now - started_at

    # ---- faults -----------------------------------------------------------------------------------

    def _some_host(self) -> str:
        publisher = self.world.publisher()
        if publisher is not None and self.rng.random() < 0.3:
            return publisher
        return self.rng.choice(list(self.world.members))

    def _crash_or_start(self) -> None:
        host = self._some_host()
        if host in self.world.processes:
            self.world.crash(host)
        else:
            self.world.start(host)

    def _restart(self) -> None:
        self.world.restart(self._some_host())

    def _restart_zone(self) -> None:
        for host in self.world.hosts_in(zone=self.rng.choice(LOCATIONS).zone):
            self.world.restart(host)

    def _stop(self) -> None:
        host = self._some_host()
        if host not in self.world.processes or self.world.network.fleet[host].stopped:
            return
        self.world.stop(host)
        process = self.world.processes[host]

        def go_on() -> None:
            if self.world.processes.get(host) is process and self.world.network.fleet[host].stopped:
                self.world.resume(host)

        self.world.network.call_at(self.world.network.now + self.rng.uniform(0.1, MOST_STOPPED), go_on)

    def _cut_region(self) -> None:
        self.world.partition(self.world.hosts_in(region=self.rng.choice(LOCATIONS).region))

    def _cut_zone(self) -> None:
        self.world.partition(self.world.hosts_in(zone=self.rng.choice(LOCATIONS).zone))

    def _cut_one(self) -> None:
        self.world.partition([self._some_host()])

    def _cut_one_way(self) -> None:
        one, other = self.rng.sample(list(self.world.members), 2)
        self.world.network.cut(one, other, both=False)

    def _heal(self) -> None:
        self.world.heal()

    def _publish(self) -> None:
        hosts = [v.name for v in self.world.voters]
        publisher = self.world.publisher()
        host = publisher if publisher is not None and self.rng.random() < 0.7 else self.rng.choice(hosts)
        key = f"shared/{self.rng.randrange(4)}"
        extra: tuple[Write, ...] = ((key, self.rng.randbytes(20) if self.rng.random() < 0.7 else None),)
        self.world.publish(host, extra)

    def _burst(self) -> None:
        for _ in range(self.rng.randint(2, 8)):
            self._publish()

    def _die_at_some_action(self) -> None:
        """Crash, most often at a voter in the middle of a change that is published just then."""
        voter = self.rng.choice(self.world.voters).name
        kind = self.rng.choice((Persist, Transmit, Applied, Published))
        skip = self.rng.randrange(4)
        self.world.crash_at(voter, nth(kind, skip), after=self.rng.random() < 0.5)
        self._publish()

    def _junk(self) -> None:
        for _ in range(20):
            host = self._some_host()
            datagram = self.rng.randbytes(self.rng.randrange(JUNK_BYTES))
            self.world.network.inject(host, ("192.0.2.1", 9), datagram)

    def _replay(self) -> None:
        """Old datagrams come again, also at members that they were not for, but never over a cut."""
        network = self.world.network
        remembered = list(network.remembered)
        for arrival in self.rng.sample(remembered, min(REPLAYED, len(remembered))):
            host = self.rng.choice(list(self.world.members))
            came = network.fleet[arrival.host]
            if came.alive and not came.stopped and network.same_side(host, arrival.host):
                network.inject(host, arrival.event.source, arrival.event.datagram)


def nth(kind: type, skip: int) -> Callable[[Action], bool]:
    """Match an action of this kind behind so many others of it."""
    left = skip

    def matches(action: Action) -> bool:
        nonlocal left
        if not isinstance(action, kind):
            return False
        left -= 1
        return left < 0

    return matches


def in_force(world: World, token: int) -> bool:
    """Whether every running process has the published change."""
    position = world.checker.published.get(token)
    return position is not None and all(
        p.position.version >= position.version
        for h, p in world.processes.items()
        if not world.network.fleet[h].stopped
    )
