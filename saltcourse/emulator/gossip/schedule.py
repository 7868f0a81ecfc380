"""Random schedules of faults for a fleet, followed by a time without faults in which it must agree."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from saltcourse.emulator.gossip.network import Faults
from saltcourse.emulator.gossip.world import LOCATIONS, NodeClass, World
from saltcourse.emulator.invariants import InvariantError
from saltcourse.gossip.messages import Action, Applied, Freshness, Persist, Published, Transmit, Write
from saltcourse.gossip.node import Node

FORMATION_LIMIT_SECONDS = 20.0  # from the start of all members until all have a publisher's heartbeat
SETTLE_LIMIT_SECONDS = 30.0  # from the last fault to agreement, a takeover included
CHANGE_LIMIT_SECONDS = 5.0  # from an operator's request until all members have applied the change
PROXY_COUNT_RANGE = (7, 15)
FAULT_SECONDS = 40.0
MAX_STOP_SECONDS = 8.0  # longest time for which a process is stopped
FAULT_INTERVALS_SECONDS = (0.1, 0.5, 1.5, 4.0)
MAX_JUNK_BYTES = 1_300  # exclusive
MAX_REPLAYED_DATAGRAMS = 60  # per fault


@dataclass(frozen=True, slots=True)
class ScheduleResult:
    """Results of a schedule that violated no invariant."""

    seed: int
    published: int  # changes reported as published
    failed: int  # changes reported as failed
    settled_s: float  # seconds from the last fault to agreement
    last_change_s: float  # seconds until the final change was applied everywhere


def run_schedule(
    seed: int,
    node_class: NodeClass = Node,
    seconds: float = FAULT_SECONDS,
    proxies: tuple[int, int] = PROXY_COUNT_RANGE,
) -> ScheduleResult:
    """Run a random schedule with ``seconds`` of faults.

    The number of proxies is random, from the first to the second number in ``proxies``. Raises
    ``InvariantError`` if an invariant is violated.
    """
    schedule = Schedule(seed, node_class, proxies)
    schedule.form_fleet()
    schedule.inject_faults(seconds)
    settled = schedule.settle()
    last = schedule.publish_final_change()
    checker = schedule.world.checker
    return ScheduleResult(seed, len(checker.published), len(checker.failed), settled, last)


class Schedule:
    """A fleet under random faults, all determined by the seed."""

    def __init__(
        self, seed: int, node_class: NodeClass, proxies: tuple[int, int] = PROXY_COUNT_RANGE
    ) -> None:
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
            self._isolate_host,
            self._cut_one_direction,
            self._heal,
            self._heal,
            self._publish,
            self._publish,
            self._publish,
            self._burst,
            self._crash_at_random_action,
            self._inject_junk,
            self._replay,
            self._replay,
            self._restart_zone,
        )

    def form_fleet(self) -> None:
        """Start all members and wait until a publisher's heartbeats have reached all.

        Raises ``InvariantError`` if this takes longer than ``FORMATION_LIMIT_SECONDS``.
        """
        self.world.start_all()
        elapsed = self.world.run_until(self._has_publisher, FORMATION_LIMIT_SECONDS)
        if elapsed >= FORMATION_LIMIT_SECONDS:
            self.world.checker.fail(
                f"not all members have a publisher's heartbeat within {FORMATION_LIMIT_SECONDS} s"
            )

    def _has_publisher(self) -> bool:
        return all(p.node.dissemination.heartbeat.count > 0 for p in self.world.processes.values())

    def inject_faults(self, seconds: float) -> None:
        """Inject random faults for ``seconds`` of virtual time."""
        end = self.world.network.now + seconds
        while self.world.network.now < end:
            self.world.run(self.rng.choice(FAULT_INTERVALS_SECONDS))
            self.rng.choice(self.faults)()

    def settle(self) -> float:
        """Start and connect all members; return the seconds until they agree.

        Raises ``InvariantError`` if they do not agree within ``SETTLE_LIMIT_SECONDS``.
        """
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
        elapsed = world.run_until(lambda: not self._unsettled_reason(), SETTLE_LIMIT_SECONDS, step=0.5)
        if reason := self._unsettled_reason():
            world.checker.fail(f"no agreement within {SETTLE_LIMIT_SECONDS} s of the last fault: {reason}")
        return elapsed

    def _unsettled_reason(self) -> str:
        """Return why the members do not agree; empty if they agree."""
        for process in self.world.processes.values():
            if process.freshness is not Freshness.CURRENT:
                return f"{process.host} is {process.freshness.name}"
        return self.world.disagreement()

    def publish_final_change(self) -> float:
        """Publish a change without faults; return the seconds until it is applied everywhere.

        Waits for ``publish_timeout`` first: until then, changes submitted to other voters during the faults
        may still make one of them take over as publisher. Raises ``InvariantError`` if there is no publisher,
        or if the change takes longer than ``CHANGE_LIMIT_SECONDS``.
        """
        world = self.world
        world.run(world.timing.publish_timeout)
        publisher = world.publisher()
        if publisher is None:
            raise InvariantError("no publisher is known after the faults")
        started_at = world.network.now
        token = world.publish(publisher)
        world.run_until(lambda: is_applied_everywhere(world, token), CHANGE_LIMIT_SECONDS)
        if not is_applied_everywhere(world, token):
            world.checker.fail(f"change {token} is not applied everywhere after {CHANGE_LIMIT_SECONDS} s")
        return world.network.now - started_at

    # ---- faults -----------------------------------------------------------------------------------

    def _random_host(self) -> str:
        """Return a random host: the publisher with probability 0.3, else any host."""
        publisher = self.world.publisher()
        if publisher is not None and self.rng.random() < 0.3:
            return publisher
        return self.rng.choice(list(self.world.members))

    def _crash_or_start(self) -> None:
        host = self._random_host()
        if host in self.world.processes:
            self.world.crash(host)
        else:
            self.world.start(host)

    def _restart(self) -> None:
        self.world.restart(self._random_host())

    def _restart_zone(self) -> None:
        for host in self.world.hosts_in(zone=self.rng.choice(LOCATIONS).zone):
            self.world.restart(host)

    def _stop(self) -> None:
        host = self._random_host()
        if host not in self.world.processes or self.world.network.fleet[host].stopped:
            return
        self.world.stop(host)
        process = self.world.processes[host]

        def resume() -> None:
            if self.world.processes.get(host) is process and self.world.network.fleet[host].stopped:
                self.world.resume(host)

        self.world.network.call_at(self.world.network.now + self.rng.uniform(0.1, MAX_STOP_SECONDS), resume)

    def _cut_region(self) -> None:
        self.world.partition(self.world.hosts_in(region=self.rng.choice(LOCATIONS).region))

    def _cut_zone(self) -> None:
        self.world.partition(self.world.hosts_in(zone=self.rng.choice(LOCATIONS).zone))

    def _isolate_host(self) -> None:
        self.world.partition([self._random_host()])

    def _cut_one_direction(self) -> None:
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

    def _crash_at_random_action(self) -> None:
        """Make a random voter crash at an action, and publish a change that it probably takes part in."""
        voter = self.rng.choice(self.world.voters).name
        kind = self.rng.choice((Persist, Transmit, Applied, Published))
        skip = self.rng.randrange(4)
        self.world.crash_at(voter, nth_action(kind, skip), after=self.rng.random() < 0.5)
        self._publish()

    def _inject_junk(self) -> None:
        """Send random bytes to random hosts from an address outside the fleet."""
        for _ in range(20):
            host = self._random_host()
            datagram = self.rng.randbytes(self.rng.randrange(MAX_JUNK_BYTES))
            self.world.network.inject(host, ("192.0.2.1", 9), datagram)

    def _replay(self) -> None:
        """Deliver recorded datagrams again, also to other members, but never across a partition."""
        network = self.world.network
        recorded = list(network.replay_buffer)
        for arrival in self.rng.sample(recorded, min(MAX_REPLAYED_DATAGRAMS, len(recorded))):
            host = self.rng.choice(list(self.world.members))
            receiver = network.fleet[arrival.host]
            if receiver.alive and not receiver.stopped and network.same_side(host, arrival.host):
                network.inject(host, arrival.event.source, arrival.event.datagram)


def nth_action(kind: type, skip: int) -> Callable[[Action], bool]:
    """Return a matcher of the action of this kind after ``skip`` others of the kind."""
    remaining = skip

    def matches(action: Action) -> bool:
        nonlocal remaining
        if not isinstance(action, kind):
            return False
        remaining -= 1
        return remaining < 0

    return matches


def is_applied_everywhere(world: World, token: int) -> bool:
    """Return whether a change is published and every running process has applied it."""
    position = world.checker.published.get(token)
    return position is not None and all(
        process.position.version >= position.version
        for host, process in world.processes.items()
        if not world.network.fleet[host].stopped
    )
