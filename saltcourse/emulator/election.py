"""Elections on the simulated network under random schedules of faults.

The checks use only the members' messages and actions, never their internal state:

- at most one lease is valid at any instant of true time, whatever the clocks read;
- no term has two announcements, and each announcement is in a newer round than the previous one (routes are
  ranked by round);
- a member votes for itself only if a majority could have granted it the pre-vote;
- when a majority is connected, one of its members holds the lease within ``LEASE_LIMIT_SECONDS``.
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

LEASE_LIMIT_SECONDS = 2.0
TERMS_PER_SECOND = 64 * 8  # growth of the lowest term of a member without a stored vote, in true time
NO_VOTE = Vote()


class PropertyViolationError(InvariantError):
    """A property of the election is violated; the message says which, and at which true time."""


@dataclass(frozen=True, slots=True)
class AddressChange:
    """An announcement or withdrawal of the service address by a member; ``time`` is true time in seconds."""

    time: float
    member: str
    term: int


class SimulatedElection:
    """The members of an election, their announcements, and the safety checks.

    ``core`` is the class under test: ``Election`` or a variant with a deliberate fault.
    """

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
        self.lease_ends: dict[str, float] = {}  # member -> true time at which its lease ends
        self.announced_by: dict[int, str] = {}  # term -> member
        self.transferred_at: dict[str, float] = {}  # member -> true time of the last lease transfer to it
        self.announcements: list[AddressChange] = []
        self.withdrawals: list[AddressChange] = []
        self.event_count = 0

    def _new_host(self, name: str, drift: float) -> Host:
        rate = 1.0 + self.random.choice((-1, 0, 1)) * drift
        return Host(name, rate=rate, offset=self.random.uniform(0, 1e4))

    def start(self, name: str, never_promised: bool = False) -> None:
        """Start a member's process with the vote on its host's disk, if any."""
        host = self.net.hosts[name]
        host.alive, host.stopped = True, False
        has_vote = isinstance(host.disk, Vote)
        lowest_term = 0 if has_vote else int((self.net.now + 1) * TERMS_PER_SECOND)
        config = ElectionConfig(self.voters, name, self.timing)
        seed = self.random.getrandbits(32)
        recovered = RecoveredState(host.disk, never_promised, lowest_term)
        core = self.core(config, seed, host.clock(self.net.now), recovered)
        self.cores[name] = core
        self._execute(host, core.start(host.clock(self.net.now)))

    def crash(self, name: str, keeps_disk: bool) -> None:
        """Kill a member's process; its route is withdrawn as its BGP session ends."""
        self.net.crash(self.net.hosts[name], keeps_disk)
        self.lease_ends.pop(name, None)

    def notify(self, name: str, event: AnnouncerAvailabilityChanged | ShutdownRequested) -> None:
        """Deliver an event from a member's own host."""
        self.net.deliver(self.net.hosts[name], event)

    def holder(self) -> str | None:
        """Return the member whose lease is valid now, or None."""
        for name, lease_end in self.lease_ends.items():
            if lease_end > self.net.now:
                return name
        return None

    def _deliver(self, host: Host, event: Any) -> None:
        self.event_count += 1
        if isinstance(event, MessageReceived) and isinstance(event.message, LeaseTransfer):
            self.transferred_at[host.name] = self.net.now
        self._execute(host, self.cores[host.name].handle(host.clock(self.net.now), event))

    def _execute(self, host: Host, actions: list[Action]) -> None:
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
            self._fail(f"{name} announces in term {term}, already announced by {self.announced_by[term]}")
        if self.announcements and term_round(term) <= term_round(self.announcements[-1].term):
            self._fail(f"{name} announces in term {term}, not in a newer round than the last announcement")
        self.announced_by[term] = name
        self.announcements.append(AddressChange(self.net.now, name, term))

    def _extend_lease(self, host: Host, until: float) -> None:
        for name, lease_end in self.lease_ends.items():
            if name != host.name and lease_end > self.net.now:
                self._fail(
                    f"{host.name} extends its lease; the lease of {name} is valid until {lease_end:.3f} s"
                )
        self.lease_ends[host.name] = host.true_time(until)

    def _check_candidacy(self, host: Host) -> None:
        """Check that a majority could have granted the pre-vote, unless the lease was just transferred.

        Counts the members whose messages arrived within a candidacy timeout, plus 10% for clock drift.
        """
        earliest = self.net.now - 1.1 * self.timing.candidacy_timeout
        if self.transferred_at.get(host.name, -1.0) >= earliest:
            return
        reachable = sum(
            arrival >= earliest
            for (_, receiver), arrival in self.net.arrived.items()
            if receiver == host.name
        )
        if reachable + 1 < len(self.voters) // 2 + 1:
            self._fail(
                f"{host.name} is a candidate, but only {reachable} other members could grant the pre-vote"
            )

    def _fail(self, violation: str) -> None:
        raise PropertyViolationError(f"at {self.net.now:.3f} s: {violation}")


def voters_of(count: int, witnesses: int) -> tuple[Voter, ...]:
    """Return voters n0, n1, ... in descending priority; the last ``witnesses`` of them are witnesses."""
    return tuple(
        Voter(f"n{index}", priority=count - index, witness=index >= count - witnesses)
        for index in range(count)
    )


# ---- random schedules -----------------------------------------------------------------------------------


def run_schedule(seed: int, core: type[Election] = Election, seconds: float = 8.0) -> SimulatedElection:
    """Run a random schedule of faults, then connect a majority and require a lease holder in it.

    ``seconds`` is the true time with faults. Raises PropertyViolationError.
    """
    rng = random.Random(seed)
    count = rng.choice((3, 3, 3, 4, 5))
    voters = voters_of(count, rng.choice((0, 1)))
    link = Link(
        delay=rng.choice(((0.0002, 0.004), (0.001, 0.05), (0.0, 0.15))),
        loss=rng.choice((0.0, 0.02, 0.2)),
        duplication=rng.choice((0.0, 0.1)),
    )
    world = SimulatedElection(seed, voters, link, drift=rng.choice((0.0, 0.01)), core=core)
    keeps_disk = rng.random() < 0.5  # Whether disks survive crashes.
    for voter in voters:
        # Without a disk, a member cannot know that this is its first start. Seed 30112 showed the failure if
        # it is assumed: a member announced at once, crashed, restarted before the lowest term had grown by a
        # round, and announced in the same term again.
        world.start(voter.name, never_promised=keeps_disk)
    faults = _FaultInjector(world, rng, keeps_disk)
    while world.net.now < seconds:
        world.net.run(world.net.now + rng.choice((0.02, 0.1, 0.3, 0.7)))
        faults.inject()
    _require_holder(world, rng)
    return world


class _FaultInjector:
    """Injects random faults; a fault that does not apply to the chosen host is skipped."""

    def __init__(self, world: SimulatedElection, rng: random.Random, keeps_disk: bool) -> None:
        self.world = world
        self.net = world.net
        self.rng = rng
        self.keeps_disk = keeps_disk
        self.names = [voter.name for voter in world.voters]

    def inject(self) -> None:
        """Inject one of nine equally likely faults; 40% target the lease holder, if there is one."""
        name = self.world.holder() if self.rng.random() < 0.4 else None
        name = name or self.rng.choice(self.names)
        host = self.net.hosts[name]
        match self.rng.randrange(9):
            case 0:
                self._crash_or_start(host)
            case 1 if host.alive:
                self.world.crash(name, self.keeps_disk)
                self.world.start(name)
            case 2 if host.alive:
                (self.net.resume if host.stopped else self.net.stop)(host)
            case 3:
                self.net.cut(name, self.rng.choice(self._others(name)), both=self.rng.random() < 0.5)
            case 4:
                self._isolate(name)
            case 5:
                self._partition()
            case 6 | 7:
                self.net.heal()
            case 8 if host.alive:
                self._shut_down_or_change_announcer(name)

    def _others(self, name: str) -> Sequence[str]:
        return [other for other in self.names if other != name]

    def _crash_or_start(self, host: Host) -> None:
        if host.alive:
            self.world.crash(host.name, self.keeps_disk)
        else:
            self.world.start(host.name)

    def _isolate(self, name: str) -> None:
        """Cut a member off from all others, in one or both directions."""
        direction = self.rng.randrange(3)
        for other in self._others(name):
            if direction != 1:
                self.net.cuts.add((name, other))
            if direction != 0:
                self.net.cuts.add((other, name))

    def _partition(self) -> None:
        side = set(self.rng.sample(self.names, self.rng.randrange(1, len(self.names))))
        self.net.cuts |= _cuts_between(side, self.names)

    def _shut_down_or_change_announcer(self, name: str) -> None:
        if self.rng.random() < 0.3:
            self.world.notify(name, ShutdownRequested())
            self.net.run(self.net.now + 0.02)
            self.world.crash(name, self.keeps_disk)
        else:
            self.world.notify(name, AnnouncerAvailabilityChanged(self.rng.random() < 0.6))


def _cuts_between(side: set[str], names: Sequence[str]) -> set[tuple[str, str]]:
    return {(one, other) for one in names for other in names if (one in side) != (other in side)}


def _require_holder(world: SimulatedElection, rng: random.Random) -> None:
    """Start and connect a majority, cut off from the rest; require a lease holder in it within the limit."""
    names = [voter.name for voter in world.voters]
    side = set(rng.sample(names, rng.randrange(len(names) // 2 + 1, len(names) + 1)))
    candidates = [voter.name for voter in world.voters if not voter.witness]
    if not side.intersection(candidates):
        side.add(candidates[0])
    world.net.link = Link()
    world.net.cuts = _cuts_between(side, names)
    for name in names:
        host = world.net.hosts[name]
        if name in side and not host.alive:
            world.start(name)
        if host.stopped:
            world.net.resume(host)
        world.notify(name, AnnouncerAvailabilityChanged(True))
    world.net.run(world.net.now + LEASE_LIMIT_SECONDS)
    holder = world.holder()
    if holder is None or holder not in side:
        expected = f"a member of {sorted(side)}, connected {LEASE_LIMIT_SECONDS} s earlier"
        raise PropertyViolationError(
            f"at {world.net.now:.3f} s: the lease holder is {holder}, expected {expected}"
        )
