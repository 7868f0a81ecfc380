"""Elections on the simulated network: random schedules of faults, checked from outside.

The checks read what members sent to each other and announced, never their own state:

- never two valid leases at one instant of true time, whatever the clocks show;
- never two announcements in one term, and each in a newer round than the one before (ranks are made of
  rounds);
- no member votes for itself unless a majority could have granted it the pre-vote;
- where a majority is connected, a member holds the lease within ``HELD_WITHIN_SECONDS`` of true time.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from saltcourse.address_failover.actions import (
    Action,
    AnnounceAddress,
    ExtendLease,
    SendMessage,
    SetTimer,
    StoreVote,
    WithdrawAddress,
)
from saltcourse.address_failover.election import Election
from saltcourse.address_failover.events import (
    AnnouncerAvailabilityChanged,
    MessageReceived,
    ShutdownRequested,
    TimerExpired,
)
from saltcourse.address_failover.messages import LeaseTransfer
from saltcourse.address_failover.terms import term_round
from saltcourse.address_failover.timing import ElectionTiming
from saltcourse.address_failover.vote import RecoveredState, Vote
from saltcourse.address_failover.voters import ElectionConfig, Voter
from saltcourse.emulator.invariants import InvariantError
from saltcourse.emulator.simnet import Host, Link, Network

HELD_WITHIN_SECONDS = 2.0
TERMS_PER_SECOND = 64 * 8  # by which the first term of a member without a disk grows with the calendar
NO_VOTE = Vote()


class PropertyViolationError(InvariantError):
    """A property does not hold; the text says which and when."""


@dataclass(frozen=True, slots=True)
class AddressChange:
    """A member announced or withdrew the address, at a true time."""

    time: float
    member: str
    term: int


class SimulatedElection:
    """Members, their announcements, and the checks. ``core`` is the class under test, or a broken variant."""

    def __init__(
        self,
        seed: int,
        voters: tuple[Voter, ...],
        link: Link,
        drift: float = 0.0,
        core: type[Election] = Election,
        timing: ElectionTiming | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.voters = voters
        self.core = core
        self.timing = timing or ElectionTiming()
        hosts = [self._new_host(voter.name, drift) for voter in voters]
        self.net = Network(seed, hosts, link, self._deliver, TimerExpired())
        self.cores: dict[str, Election] = {}
        self.lease_ends: dict[str, float] = {}  # holder -> true time at which its lease ends
        self.announced_by: dict[int, str] = {}  # term -> member
        self.transferred_at: dict[str, float] = {}  # member -> when a lease was last transferred to it
        self.announcements: list[AddressChange] = []
        self.withdrawals: list[AddressChange] = []
        self.event_count = 0

    def _new_host(self, name: str, drift: float) -> Host:
        rate = 1.0 + self.random.choice((-1, 0, 1)) * drift
        return Host(name, rate=rate, offset=self.random.uniform(0, 1e4))

    def start(self, name: str, never_promised: bool = False) -> None:
        """Start a member's process, with what its host's disk has stored."""
        host = self.net.hosts[name]
        host.alive, host.stopped = True, False
        has_vote = isinstance(host.disk, Vote)
        lowest_term = 0 if has_vote else int((self.net.now + 1) * TERMS_PER_SECOND)
        config = ElectionConfig(self.voters, name, self.timing)
        seed = self.random.getrandbits(32)
        recovered = RecoveredState(host.disk, never_promised, lowest_term)
        core = self.core(config, seed, host.clock(self.net.now), recovered)
        self.cores[name] = core
        self._carry_out(host, core.start(host.clock(self.net.now)))

    def crash(self, name: str, keeps_disk: bool) -> None:
        """End a member's process; its route goes with its BGP session."""
        self.net.crash(self.net.hosts[name], keeps_disk)
        self.lease_ends.pop(name, None)

    def notify(self, name: str, event: AnnouncerAvailabilityChanged | ShutdownRequested) -> None:
        """Give a member an event of its own host."""
        self.net.give(self.net.hosts[name], event)

    def holder(self) -> str | None:
        """The member whose lease is valid now."""
        for name, lease_end in self.lease_ends.items():
            if lease_end > self.net.now:
                return name
        return None

    def _deliver(self, host: Host, event: Any) -> None:
        self.event_count += 1
        if isinstance(event, MessageReceived) and isinstance(event.message, LeaseTransfer):
            self.transferred_at[host.name] = self.net.now
        self._carry_out(host, self.cores[host.name].handle(host.clock(self.net.now), event))

    def _carry_out(self, host: Host, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(receiver, message):
                    self.net.send(host.name, receiver, MessageReceived(host.name, message))
                case SetTimer(at):
                    self.net.set_timer(host, at)
                case StoreVote(vote):
                    self._store_vote(host, vote)
                case AnnounceAddress(term):
                    self._announce(host.name, term)
                case ExtendLease(until):
                    self._extend_lease(host, until)
                case WithdrawAddress(term):
                    self.lease_ends.pop(host.name, None)
                    self.withdrawals.append(AddressChange(self.net.now, host.name, term))

    def _store_vote(self, host: Host, vote: Vote) -> None:
        if vote.voted_for == host.name and (host.disk or NO_VOTE).term < vote.term:
            self._check_candidacy(host)
        host.disk = vote

    def _announce(self, name: str, term: int) -> None:
        if term in self.announced_by:
            self._fail(f"{name} announces in term {term}, as did {self.announced_by[term]}")
        if self.announcements and term_round(term) <= term_round(self.announcements[-1].term):
            self._fail(f"{name} announces in term {term}, no newer round than the last announcement's")
        self.announced_by[term] = name
        self.announcements.append(AddressChange(self.net.now, name, term))

    def _extend_lease(self, host: Host, until: float) -> None:
        for name, lease_end in self.lease_ends.items():
            if name != host.name and lease_end > self.net.now:
                self._fail(f"{host.name} holds while {name} does, until {lease_end:.3f}")
        self.lease_ends[host.name] = host.true(until)

    def _check_candidacy(self, host: Host) -> None:
        """By the network's record of who could have granted the pre-vote in time (clocks at their worst)."""
        since = self.net.now - 1.1 * self.timing.candidacy_timeout
        if self.transferred_at.get(host.name, -1.0) >= since:
            return
        reachable = sum(
            at >= since for (_, receiver), at in self.net.arrived.items() if receiver == host.name
        )
        if reachable + 1 < len(self.voters) // 2 + 1:
            self._fail(f"{host.name} is a candidate, though only {reachable} others could grant the pre-vote")

    def _fail(self, violation: str) -> None:
        raise PropertyViolationError(f"at {self.net.now:.3f} s: {violation}")


def voters_of(count: int, witnesses: int) -> tuple[Voter, ...]:
    """Voters n0, n1, ... of falling priority; the last ``witnesses`` of them are witnesses."""
    return tuple(
        Voter(f"n{index}", priority=count - index, witness=index >= count - witnesses)
        for index in range(count)
    )


# ---- random schedules -----------------------------------------------------------------------------------


def run_schedule(seed: int, core: type[Election] = Election, seconds: float = 8.0) -> SimulatedElection:
    """One random schedule of faults, then a connected majority of which one must hold the lease.

    Raises PropertyViolationError.
    """
    draw = random.Random(seed)
    count = draw.choice((3, 3, 3, 4, 5))
    voters = voters_of(count, draw.choice((0, 1)))
    link = Link(
        delay=draw.choice(((0.0002, 0.004), (0.001, 0.05), (0.0, 0.15))),
        loss=draw.choice((0.0, 0.02, 0.2)),
        double=draw.choice((0.0, 0.1)),
    )
    world = SimulatedElection(seed, voters, link, drift=draw.choice((0.0, 0.01)), core=core)
    keeps_disk = draw.random() < 0.5  # whether a disk survives on this site
    for voter in voters:
        # Without a disk nobody can know that it is the first start. Found by seed 30112: a member that
        # announced at once, crashed and came back within a round of the calendar announced in the same term
        # again.
        world.start(voter.name, never_promised=keeps_disk)
    faults = _Faults(world, draw, keeps_disk)
    while world.net.now < seconds:
        world.net.run(world.net.now + draw.choice((0.02, 0.1, 0.3, 0.7)))
        faults.next()
    _require_holder(world, draw)
    return world


class _Faults:
    """Draws one fault after another; a fault that does not apply to its host is passed over."""

    def __init__(self, world: SimulatedElection, draw: random.Random, keeps_disk: bool) -> None:
        self.world = world
        self.net = world.net
        self.draw = draw
        self.keeps_disk = keeps_disk
        self.names = [voter.name for voter in world.voters]

    def next(self) -> None:
        """Of nine equally likely faults; two in five hit the lease holder."""
        name = self.world.holder() if self.draw.random() < 0.4 else None
        name = name or self.draw.choice(self.names)
        host = self.net.hosts[name]
        match self.draw.randrange(9):
            case 0:
                self._crash_or_start(host)
            case 1 if host.alive:
                self.world.crash(name, self.keeps_disk)
                self.world.start(name)
            case 2 if host.alive:
                (self.net.go_on if host.stopped else self.net.stop)(host)
            case 3:
                self.net.cut(name, self.draw.choice(self._others(name)), both=self.draw.random() < 0.5)
            case 4:
                self._isolate(name)
            case 5:
                self._partition()
            case 6 | 7:
                self.net.heal()
            case 8 if host.alive:
                self._leave_or_change_announcer(name)

    def _others(self, name: str) -> Sequence[str]:
        return [other for other in self.names if other != name]

    def _crash_or_start(self, host: Host) -> None:
        if host.alive:
            self.world.crash(host.name, self.keeps_disk)
        else:
            self.world.start(host.name)

    def _isolate(self, name: str) -> None:
        """In both directions, or in one."""
        direction = self.draw.randrange(3)
        for other in self._others(name):
            if direction != 1:
                self.net.cuts.add((name, other))
            if direction != 0:
                self.net.cuts.add((other, name))

    def _partition(self) -> None:
        part = set(self.draw.sample(self.names, self.draw.randrange(1, len(self.names))))
        self.net.cuts |= _cuts_between(part, self.names)

    def _leave_or_change_announcer(self, name: str) -> None:
        if self.draw.random() < 0.3:
            self.world.notify(name, ShutdownRequested())
            self.net.run(self.net.now + 0.02)
            self.world.crash(name, self.keeps_disk)
        else:
            self.world.notify(name, AnnouncerAvailabilityChanged(self.draw.random() < 0.6))


def _cuts_between(part: set[str], names: Sequence[str]) -> set[tuple[str, str]]:
    return {(one, other) for one in names for other in names if (one in part) != (other in part)}


def _require_holder(world: SimulatedElection, draw: random.Random) -> None:
    """A majority comes up and is connected, cut off from the rest; one of it must hold the lease in time."""
    names = [voter.name for voter in world.voters]
    part = set(draw.sample(names, draw.randrange(len(names) // 2 + 1, len(names) + 1)))
    candidates = [voter.name for voter in world.voters if not voter.witness]
    if not part.intersection(candidates):
        part.add(candidates[0])
    world.net.link = Link()
    world.net.cuts = _cuts_between(part, names)
    for name in names:
        host = world.net.hosts[name]
        if name in part and not host.alive:
            world.start(name)
        if host.stopped:
            world.net.go_on(host)
        world.notify(name, AnnouncerAvailabilityChanged(True))
    world.net.run(world.net.now + HELD_WITHIN_SECONDS)
    holder = world.holder()
    if holder is None or holder not in part:
        met = f"{HELD_WITHIN_SECONDS} s after {sorted(part)} met"
        raise PropertyViolationError(f"{holder} holds at {world.net.now:.3f} s, {met}")
