"""Random schedules of faults for a fleet, each followed by a fault-free phase in which it must converge."""

from __future__ import annotations

from random import Random

from saltcourse.emulator.simnet import Link
from saltcourse.gossip.configuration import (
    FleetConfiguration,
)
from saltcourse.gossip.messages import (
    Freshness,
)
from saltcourse.gossip.settings import Timing
from tests.gossip.dissemination_fleet import Fleet, Violation


class Schedule:
    """Datagram loss, duplication and reordering; network cuts, stalls, crashes and late joins."""

    members = 9
    voters = 3
    length = 25.0

    def __init__(self, seed: int, configuration: type[FleetConfiguration]) -> None:
        self.random = Random(seed)
        delay = self.random.choice([(0.0002, 0.004), (0.001, 0.3)])  # the second range causes much reordering
        link = Link(delay=delay, loss=self.random.choice([0.0, 0.01, 0.1]), duplication=0.1)
        timing = Timing(snapshot_bytes_per_s=20_000.0)
        self.fleet = Fleet(
            seed, self.members, link=link, voters=self.voters, timing=timing, configuration=configuration
        )
        self.fleet.commit_loss = 0.3

    def play(self) -> Fleet:
        fleet = self.fleet
        for index in range(self.members):
            if index < self.voters or self.random.random() < 0.6:
                fleet.start(index)
        fleet.send_heartbeats(1.0, self.length + 40.0)
        while fleet.net.now < self.length:
            self.random.choice(
                [self.publish, self.publish, self.cut, self.stop_or_resume, self.crash, self.join]
            )()
            fleet.net.run(fleet.net.now + self.random.uniform(0.0, 1.5))
        self.check_convergence()
        return fleet

    def publish(self) -> None:
        if self.random.random() < 0.2:
            self.fleet.epoch += 1
        for _ in range(self.random.choice([1, 5, 40])):
            key = f"key{self.random.randrange(30):02}"
            value = None if self.random.random() < 0.2 else self.random.randbytes(self.random.randrange(300))
            self.fleet.publish((key, value))
            if self.random.random() < 0.5:
                self.fleet.net.run(self.fleet.net.now + 0.02)

    def cut(self) -> None:
        if self.fleet.net.cuts:
            self.fleet.net.heal()
        else:
            self.fleet.isolate(set(self.random.sample(range(self.members), self.random.randrange(1, 5))))

    def stop_or_resume(self) -> None:
        host = self.random.choice(self.fleet.hosts)
        if host.stopped:
            self.fleet.net.resume(host)
        elif host.alive:
            self.fleet.net.stop(host)

    def crash(self) -> None:
        index = self.random.randrange(self.members)
        if self.fleet.hosts[index].alive:
            self.fleet.crash(index)

    def join(self) -> None:
        for index, host in enumerate(self.fleet.hosts):
            if not host.alive:
                self.fleet.start(index)
                return

    def has_settled(self) -> bool:
        fresh = all(member.dissemination.freshness is Freshness.CURRENT for member in self.fleet.live())
        return fresh and self.fleet.has_converged()

    def check_convergence(self) -> None:
        """End all faults, then require that all members converge within 30 s."""
        self.fleet.net.heal()
        for index, host in enumerate(self.fleet.hosts):
            if host.stopped:
                self.fleet.net.resume(host)
            if not host.alive:
                self.fleet.start(index)
        end = self.fleet.net.now + 30.0
        while not self.has_settled() and self.fleet.net.now < end:
            self.fleet.net.run(self.fleet.net.now + 0.5)
        for member in self.fleet.live():
            dissemination = member.dissemination
            if dissemination.position != self.fleet.position:
                raise Violation(
                    f"{member.record.name} is at {dissemination.position}, expected {self.fleet.position}"
                )
            if dissemination.freshness is not Freshness.CURRENT:
                raise Violation(f"{member.record.name} is {dissemination.freshness.name}, expected CURRENT")
