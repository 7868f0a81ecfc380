"""The quorum of voters on the simulated network: random schedules of faults, judged from outside.

Judged is what voters commit, tell their operators and have on their disks, never what they believe:

- a version has one change for all voters at all times; versions have no gap; epochs never fall along them;
- when a change is committed, a majority of the disks holds it;
- a change that was told as published is in the sequence, with the operator's writes, and is told once;
- where a majority is connected, a new publish is committed within ``PUBLISHED_WITHIN`` of true time.

A small stand-in for the dissemination brings committed changes to voters that lack them. It copies only from
members that have applied them, over the same faulty network.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from saltcourse.emulator.simnet import Host, Link, Network
from saltcourse.gossip.messages import (
    Change,
    Header,
    Heartbeat,
    Persist,
    Position,
    Publish,
    Published,
    PublishError,
    PublishFailed,
    QuorumMessage,
    ReplicaState,
    Send,
    Tick,
    Write,
)
from saltcourse.gossip.quorum import Quorum
from saltcourse.gossip.quorum_actions import AdvanceHeartbeat, Commit, QuorumAction
from saltcourse.gossip.settings import Timing, Voter

PUBLISHED_WITHIN = 15.0  # s of true time from the moment at which a majority is connected
PROBE_INTERVAL = 1.0  # s between headers that a member sends unasked, as the failure detector does
FETCH_TIMEOUT = 0.2  # s until a member that is still behind asks again
CHANGES_IN_REPLY = 8
PORT = 4_000
NEVER = float("inf")
FIRST_CHECK_TOKEN = 1_000_000  # of the publishes after the faults


class Broken(AssertionError):
    """A property of safety does not hold; the text says which."""


class Stuck(Broken):
    """Nothing is committed where it should be."""


@dataclass(frozen=True, slots=True)
class Datagram:
    """On the simulated network; without a message it is a probe."""

    sender: str
    header: Header
    message: QuorumMessage | None = None


@dataclass(frozen=True, slots=True)
class FetchChanges:
    sender: str
    after: int  # version


@dataclass(frozen=True, slots=True)
class FetchedChanges:
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class FetchedSnapshot:
    position: Position
    configuration: dict[str, bytes]


@dataclass
class Replica:
    """One process of a voter: the core under test, and the stand-in for its dissemination."""

    quorum: Quorum
    position: Position
    configuration: dict[str, bytes]
    heartbeat: Heartbeat = Heartbeat()
    log: dict[int, Change] = field(default_factory=dict)  # applied in this process, by version
    probe_at: float = 0.0
    fetch_at: float = 0.0  # not before, while it is behind
    newest_version: int = 0  # that any header has told
    source: str = ""  # the last member whose header told of something newer than what is applied


class Judge:
    """The sequence of committed changes as told by all voters, and what operators were told."""

    def __init__(self, majority: int) -> None:
        self.majority = majority
        self.changes: list[Change] = []  # version 1 is the first
        self.configurations: list[dict[str, bytes]] = [{}]  # by version
        self.asked: dict[int, tuple[Write, ...]] = {}  # token -> writes
        self.results: dict[int, Published | PublishFailed] = {}

    def committed(self, change: Change, disks: list[ReplicaState]) -> None:
        version = change.position.version
        if version <= len(self.changes):
            if self.changes[version - 1] != change:
                raise Broken(f"version {version} is {self.changes[version - 1]}, and then {change}")
            return
        if version != len(self.changes) + 1:
            raise Broken(f"version {version} is committed after {len(self.changes)}")
        if self.changes and change.position.epoch < self.changes[-1].position.epoch:
            raise Broken(f"epochs fall: {change.position} after {self.changes[-1].position}")
        holders = sum(_holds(disk, change) for disk in disks)
        if holders < self.majority:
            raise Broken(f"{change.position} is committed and on {holders} disks only")
        self.changes.append(change)
        configuration = dict(self.configurations[-1])
        _apply(configuration, change)
        self.configurations.append(configuration)

    def applied(self, position: Position, configuration: dict[str, bytes]) -> None:
        if position != self.position_at(position.version):
            raise Broken(f"{position} is applied, committed is {self.position_at(position.version)}")
        if configuration != self.configurations[position.version]:
            raise Broken(f"another configuration at {position}")

    def told(self, result: Published | PublishFailed) -> None:
        token = result.token
        if token in self.results:
            raise Broken(f"token {token} is told twice: {self.results[token]}, {result}")
        self.results[token] = result
        if isinstance(result, Published):
            version = result.position.version
            if self.position_at(version) != result.position:
                raise Broken(f"{result}, committed is {self.position_at(version)}")
            if self.changes[version - 1].writes != self.asked[token]:
                raise Broken(f"{result}: other writes are committed there")

    def position_at(self, version: int) -> Position | None:
        if version == 0:
            return Position()
        return self.changes[version - 1].position if version <= len(self.changes) else None


class World:
    """Voters, their disks and the judge. ``core`` is the class under test, or a broken one."""

    def __init__(
        self,
        seed: int,
        count: int,
        link: Link,
        core: type[Quorum] = Quorum,
        link_between: Callable[[str, str], Link] | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.core = core
        self.timing = Timing()
        self.voters = tuple(Voter(f"v{i}", (f"10.0.0.{i + 1}", PORT)) for i in range(count))
        self.names = [voter.name for voter in self.voters]
        hosts = [Host(name, offset=self.random.uniform(0, 1e4)) for name in self.names]
        self.net = Network(seed, hosts, link, self._deliver, Tick())
        self.replicas: dict[str, Replica] = {}
        self.judge = Judge(count // 2 + 1)
        self.crash_after: dict[str, int] = {}  # host -> actions until it crashes amid a list
        self.takeovers = 0
        self._link_between = link_between
        self._addresses = {voter.address: voter.name for voter in self.voters}
        self._ids = {voter.name: voter.id for voter in self.voters}
        self._by_name = {voter.name: voter for voter in self.voters}
        self._tokens = 0

    # ---- what happens to voters -------------------------------------------------------------------

    def start(self, name: str) -> None:
        host = self.net.hosts[name]
        host.alive, host.stopped = True, False
        state = host.disk or ReplicaState()
        source = random.Random(self.random.getrandbits(32))
        quorum = self.core(self._by_name[name], self.voters, self.timing, source, state)
        replica = Replica(quorum, state.committed, dict(state.configuration))
        self.replicas[name] = replica
        self._carry_out(host, quorum.start(host.clock(self.net.now)))
        self._set_timer(host)

    def crash(self, name: str) -> None:
        self.crash_after.pop(name, None)
        self.net.crash(self.net.hosts[name], keeps_disk=True)

    def publish(self, name: str, token: int | None = None) -> int:
        if token is None:
            self._tokens += 1
            token = self._tokens
        writes: tuple[Write, ...] = ((f"key{token % 7}", str(token).encode()),)
        self.judge.asked[token] = writes
        self.net.give(self.net.hosts[name], Publish(token, writes))
        return token

    # ---- events -----------------------------------------------------------------------------------

    def _deliver(self, host: Host, event: Any) -> None:
        replica = self.replicas[host.name]
        life = host.life
        now = host.clock(self.net.now)
        match event:
            case Datagram():
                self._observe(replica, event)
                if event.message is not None:
                    source = self._by_name[event.sender].address
                    actions = replica.quorum.handle(now, source, event.header, event.message)
                    self._carry_out(host, actions)
            case FetchChanges(sender, after):
                self._answer(host, replica, sender, after)
            case FetchedChanges(changes):
                replica.fetch_at = now
                self._apply(host, replica, changes)
            case FetchedSnapshot(position, configuration):
                replica.fetch_at = now
                if position.version > replica.position.version:
                    replica.position = position
                    replica.configuration = dict(configuration)
                    self._show_applied(host, replica)
            case Publish():
                self._carry_out(host, replica.quorum.publish(now, event))
        if host.life == life:
            self._follow_up(host, replica, now)

    def _follow_up(self, host: Host, replica: Replica, now: float) -> None:
        """What a node does after each event."""
        life = host.life
        if now >= replica.quorum.next_deadline():
            self._carry_out(host, replica.quorum.tick(now))
        if host.life != life:
            return
        if now >= self._fetch_deadline(replica):
            replica.fetch_at = now + FETCH_TIMEOUT
            self._send(host, replica.source, FetchChanges(host.name, replica.position.version))
        if now >= replica.probe_at:
            replica.probe_at = now + PROBE_INTERVAL
            other = self.random.choice([name for name in self.names if name != host.name] or [host.name])
            self._send(host, other, Datagram(host.name, self._header(host.name)))
        self._carry_out(host, replica.quorum.observe(now, replica.position, replica.heartbeat))
        if host.life == life:
            self._set_timer(host)

    def _set_timer(self, host: Host) -> None:
        if host.alive:
            replica = self.replicas[host.name]
            due = (replica.quorum.next_deadline(), replica.probe_at, self._fetch_deadline(replica))
            self.net.set_timer(host, min(due))

    def _carry_out(self, host: Host, actions: list[QuorumAction]) -> None:
        life = host.life
        for action in actions:
            if self._crashes_now(host) or host.life != life:
                return
            match action:
                case Persist(state):
                    host.disk = state
                case Send(destination, message):
                    datagram = Datagram(host.name, self._header(host.name), message)  # type: ignore[arg-type]
                    self._send(host, self._addresses[destination], datagram)
                case Commit(change):
                    self.judge.committed(change, self._disks())
                    self._apply(host, self.replicas[host.name], (change,))
                case AdvanceHeartbeat(heartbeat):
                    self.replicas[host.name].heartbeat = heartbeat
                case Published() | PublishFailed():
                    self.judge.told(action)

    def _crashes_now(self, host: Host) -> bool:
        """Whether a crash amid a list of actions has come: the rest of the list is lost."""
        if host.name not in self.crash_after:
            return False
        self.crash_after[host.name] -= 1
        if self.crash_after[host.name] > 0:
            return False
        self.crash(host.name)
        return True

    def _disks(self) -> list[ReplicaState]:
        return [host.disk or ReplicaState() for host in self.net.hosts.values()]

    # ---- the stand-in for the dissemination -------------------------------------------------------

    def _header(self, name: str) -> Header:
        replica = self.replicas[name]
        return Header(self._ids[name], 0, 0, replica.position, replica.heartbeat)

    def _send(self, host: Host, receiver: str, event: Any) -> None:
        if self._link_between is not None:
            self.net.link = self._link_between(host.name, receiver)
        self.net.send(host.name, receiver, event)

    def _observe(self, replica: Replica, datagram: Datagram) -> None:
        header = datagram.header
        replica.heartbeat = max(replica.heartbeat, header.heartbeat)
        replica.newest_version = max(replica.newest_version, header.position.version)
        if header.position.version > replica.position.version:
            replica.source = datagram.sender

    def _fetch_deadline(self, replica: Replica) -> float:
        return replica.fetch_at if replica.newest_version > replica.position.version else NEVER

    def _answer(self, host: Host, replica: Replica, sender: str, after: int) -> None:
        if after >= replica.position.version:
            return
        last = min(replica.position.version, after + CHANGES_IN_REPLY)
        versions = range(after + 1, last + 1)
        if all(version in replica.log for version in versions):
            changes = tuple(replica.log[version] for version in versions)
            self._send(host, sender, FetchedChanges(changes))
        else:
            self._send(host, sender, FetchedSnapshot(replica.position, dict(replica.configuration)))

    def _apply(self, host: Host, replica: Replica, changes: tuple[Change, ...]) -> None:
        """Those that follow on what is applied; the quorum is shown the last one only, as by a node."""
        before = replica.position
        for change in changes:
            if change.position.version == replica.position.version + 1:
                replica.configuration = dict(replica.configuration)
                _apply(replica.configuration, change)
                replica.position = change.position
                replica.log[change.position.version] = change
        if replica.position != before:
            self._show_applied(host, replica)

    def _show_applied(self, host: Host, replica: Replica) -> None:
        position, configuration = replica.position, replica.configuration
        self.judge.applied(position, configuration)
        actions = replica.quorum.applied(host.clock(self.net.now), position, configuration)
        self._carry_out(host, actions)


def _holds(disk: ReplicaState, change: Change) -> bool:
    if disk.committed.version >= change.position.version:
        return True
    return any(entry.change == change for entry in disk.accepted)


def _apply(configuration: dict[str, bytes], change: Change) -> None:
    for key, value in change.writes:
        if value is None:
            configuration.pop(key, None)
        else:
            configuration[key] = value


# ---- schedules --------------------------------------------------------------------------------------


class Fault(Enum):
    CRASH = auto()
    RESTART = auto()  # killed and back at once
    CRASH_AMID_ACTIONS = auto()
    STOP = auto()  # and go on
    CUT = auto()  # between two, one way or both
    ISOLATE = auto()  # from all others, one way or both
    SPLIT = auto()


def play(seed: int, core: type[Quorum] = Quorum, seconds: float = 8.0) -> World:
    """One random schedule of faults, then a connected majority that must commit; ``Broken`` or
    ``Stuck`` if a property does not hold.

    Each schedule has only some kinds of faults (swarm testing): those that it has come together more often.
    """
    draw = random.Random(seed)
    count = draw.choice((3, 3, 5))
    delay = draw.choice(((0.0002, 0.004), (0.001, 0.05), (0.0, 0.15), (0.04, 0.041)))
    link = Link(delay=delay, loss=draw.choice((0.0, 0.05, 0.2)), double=draw.choice((0.0, 0.1)))
    faults = draw.sample(list(Fault), draw.randrange(1, len(Fault) + 1))
    world = World(seed, count, link, core)
    for name in world.names:
        world.start(name)
    while world.net.now < seconds:
        world.net.run(world.net.now + draw.choice((0.01, 0.05, 0.1, 0.3, 0.7)))
        if draw.random() < 0.5:
            _publish_some(world, draw)
        elif draw.random() < 0.25:
            _mend(world, draw)
        else:
            _fault(world, draw, draw.choice(faults))
    _settle(world, draw)
    return world


def _publish_some(world: World, draw: random.Random) -> None:
    """One change, a burst, or operators at two voters at once."""
    for name in draw.sample(world.names, draw.choice((1, 1, 2))):
        if world.net.hosts[name].alive:
            for _ in range(draw.choice((1, 1, 3, 20))):
                world.publish(name)


def _mend(world: World, draw: random.Random) -> None:
    if draw.random() < 0.5:
        world.net.heal()
    for name in world.names:
        if not world.net.hosts[name].alive:
            world.start(name)


def _fault(world: World, draw: random.Random, fault: Fault) -> None:
    name = draw.choice(world.names)
    host = world.net.hosts[name]
    others = [other for other in world.names if other != name]
    match fault:
        case Fault.CUT:
            world.net.cut(name, draw.choice(others), both=draw.random() < 0.5)
        case Fault.ISOLATE:
            _isolate(world, draw, name, others)
        case Fault.SPLIT:
            _split(world, draw.sample(world.names, draw.randrange(1, len(world.names))))
        case _ if not host.alive:
            world.start(name)
        case Fault.CRASH:
            world.crash(name)
        case Fault.RESTART:
            world.crash(name)
            world.start(name)
        case Fault.CRASH_AMID_ACTIONS:
            world.crash_after[name] = draw.randrange(1, 12)
        case Fault.STOP:
            (world.net.go_on if host.stopped else world.net.stop)(host)


def _isolate(world: World, draw: random.Random, name: str, others: list[str]) -> None:
    """From all others, one way or both."""
    way = draw.choice(("out", "in", "both"))
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


def _settle(world: World, draw: random.Random) -> None:
    """A majority comes up and is connected, the rest stays cut off; then a new change must be committed."""
    part = draw.sample(world.names, draw.randrange(world.judge.majority, len(world.names) + 1))
    world.net.link = Link()
    world.net.heal()
    _split(world, part)
    world.crash_after.clear()
    for name in part:
        host = world.net.hosts[name]
        if not host.alive:
            world.start(name)
        if host.stopped:
            world.net.go_on(host)
    _publish_until_committed(world, draw.choice(part))


def _publish_until_committed(world: World, name: str) -> None:
    """As an operator who tries again when told that it failed."""
    end = world.net.now + PUBLISHED_WITHIN
    token = FIRST_CHECK_TOKEN
    world.publish(name, token)
    while world.net.now < end:
        world.net.run(world.net.now + 0.05)
        result = world.judge.results.get(token)
        if isinstance(result, Published):
            return
        if isinstance(result, PublishFailed):
            if result.error is PublishError.TOO_LARGE:
                raise Broken(f"{result}")
            token += 1
            world.publish(name, token)
    raise Stuck(f"nothing published at {name} within {PUBLISHED_WITHIN} s of a connected majority")
