"""Voters, their disks and the invariant checker on the simulated network.

A simple substitute for the dissemination copies committed changes to voters that lack them, from voters that
have applied them, over the same faulty network.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from saltcourse.emulator.gossip_quorum.checker import InvariantChecker, apply_change
from saltcourse.emulator.simnet import Host, Link, Network
from saltcourse.gossip.messages import (
    Change,
    Header,
    Heartbeat,
    Persist,
    Position,
    Publish,
    Published,
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

PROBE_INTERVAL_SECONDS = 1.0  # interval of headers sent without a message, as the failure detector does
FETCH_TIMEOUT_SECONDS = 0.2  # a member that is still behind repeats its request after this time
MAX_CHANGES_PER_REPLY = 8
PORT = 4_000
NO_DEADLINE = float("inf")


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram between voters; without a message it is a probe."""

    sender: str
    header: Header
    message: QuorumMessage | None = None


@dataclass(frozen=True, slots=True)
class FetchChanges:
    """A request for the changes after a version."""

    sender: str
    after: int  # the requester's version


@dataclass(frozen=True, slots=True)
class FetchedChanges:
    """A reply with consecutive changes, sent if the log still has them all."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class FetchedSnapshot:
    """A reply with the whole configuration, sent if the log lacks some of the changes."""

    position: Position
    configuration: dict[str, bytes]


@dataclass
class Replica:
    """A process of a voter: the core under test, and the state of its substitute dissemination."""

    quorum: Quorum
    position: Position
    configuration: dict[str, bytes]
    heartbeat: Heartbeat = Heartbeat()
    log: dict[int, Change] = field(default_factory=dict)  # changes applied by this process, by version
    next_probe_at: float = 0.0  # seconds on the host's clock
    next_fetch_at: float = 0.0  # earliest next fetch while behind, seconds on the host's clock
    newest_version: int = 0  # the highest version in any received header
    fetch_source: str = ""  # sender of the last header with a newer version than the applied one


class World:
    """The simulated voters, their disks, and the checker.

    ``core`` is the class under test: ``Quorum`` or a variant with a deliberate fault.
    """

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
        self.checker = InvariantChecker(count // 2 + 1)
        self.crash_after: dict[str, int] = {}  # host -> actions until its planned crash
        self.takeovers = 0
        self._link_between = link_between
        self._addresses = {voter.address: voter.name for voter in self.voters}
        self._ids = {voter.name: voter.id for voter in self.voters}
        self._by_name = {voter.name: voter for voter in self.voters}
        self._tokens = 0

    # ---- operations on voters ---------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Start a process of this voter with the state on its disk."""
        host = self.net.hosts[name]
        host.alive, host.stopped = True, False
        state = host.disk or ReplicaState()
        rng = random.Random(self.random.getrandbits(32))
        quorum = self.core(self._by_name[name], self.voters, self.timing, rng, state)
        replica = Replica(quorum, state.committed, dict(state.configuration))
        self.replicas[name] = replica
        self._execute(host, quorum.start(host.clock(self.net.now)))
        self._set_timer(host)

    def crash(self, name: str) -> None:
        """Kill the process; the disk is kept."""
        self.crash_after.pop(name, None)
        self.net.crash(self.net.hosts[name], keeps_disk=True)

    def publish(self, name: str, token: int | None = None) -> int:
        """Submit an operator's change to this voter and return its token."""
        if token is None:
            self._tokens += 1
            token = self._tokens
        writes: tuple[Write, ...] = ((f"key{token % 7}", str(token).encode()),)
        self.checker.submitted[token] = writes
        self.net.deliver(self.net.hosts[name], Publish(token, writes))
        return token

    # ---- events -----------------------------------------------------------------------------------

    def _deliver(self, host: Host, event: Any) -> None:
        replica = self.replicas[host.name]
        incarnation = host.incarnation
        now = host.clock(self.net.now)
        match event:
            case Datagram():
                self._observe(replica, event)
                if event.message is not None:
                    source = self._by_name[event.sender].address
                    actions = replica.quorum.handle(now, source, event.header, event.message)
                    self._execute(host, actions)
            case FetchChanges(sender, after):
                self._serve_fetch(host, replica, sender, after)
            case FetchedChanges(changes):
                replica.next_fetch_at = now
                self._apply(host, replica, changes)
            case FetchedSnapshot(position, configuration):
                replica.next_fetch_at = now
                if position.version > replica.position.version:
                    replica.position = position
                    replica.configuration = dict(configuration)
                    self._notify_applied(host, replica)
            case Publish():
                self._execute(host, replica.quorum.publish(now, event))
        if host.incarnation == incarnation:
            self._after_event(host, replica, now)

    def _after_event(self, host: Host, replica: Replica, now: float) -> None:
        """Handle expired timers and set the next one, as a node does after each event."""
        incarnation = host.incarnation
        if now >= replica.quorum.next_deadline():
            self._execute(host, replica.quorum.tick(now))
        if host.incarnation != incarnation:
            return
        if now >= self._fetch_deadline(replica):
            replica.next_fetch_at = now + FETCH_TIMEOUT_SECONDS
            self._send(host, replica.fetch_source, FetchChanges(host.name, replica.position.version))
        if now >= replica.next_probe_at:
            replica.next_probe_at = now + PROBE_INTERVAL_SECONDS
            other = self.random.choice([name for name in self.names if name != host.name] or [host.name])
            self._send(host, other, Datagram(host.name, self._header(host.name)))
        self._execute(host, replica.quorum.observe(now, replica.position, replica.heartbeat))
        if host.incarnation == incarnation:
            self._set_timer(host)

    def _set_timer(self, host: Host) -> None:
        if host.alive:
            replica = self.replicas[host.name]
            deadlines = (replica.quorum.next_deadline(), replica.next_probe_at, self._fetch_deadline(replica))
            self.net.set_timer(host, min(deadlines))

    def _execute(self, host: Host, actions: list[QuorumAction]) -> None:
        incarnation = host.incarnation
        for action in actions:
            if self._crash_if_planned(host) or host.incarnation != incarnation:
                return
            match action:
                case Persist(state):
                    host.disk = state
                case Send(destination, message):
                    datagram = Datagram(host.name, self._header(host.name), message)  # type: ignore[arg-type]
                    self._send(host, self._addresses[destination], datagram)
                case Commit(change):
                    self.checker.on_commit(change, self._disks())
                    self._apply(host, self.replicas[host.name], (change,))
                case AdvanceHeartbeat(heartbeat):
                    self.replicas[host.name].heartbeat = heartbeat
                case Published() | PublishFailed():
                    self.checker.on_result(action)

    def _crash_if_planned(self, host: Host) -> bool:
        """Count down to the host's planned crash; return whether the host crashed now."""
        if host.name not in self.crash_after:
            return False
        self.crash_after[host.name] -= 1
        if self.crash_after[host.name] > 0:
            return False
        self.crash(host.name)
        return True

    def _disks(self) -> list[ReplicaState]:
        return [host.disk or ReplicaState() for host in self.net.hosts.values()]

    # ---- substitute for the dissemination ---------------------------------------------------------

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
            replica.fetch_source = datagram.sender

    def _fetch_deadline(self, replica: Replica) -> float:
        return replica.next_fetch_at if replica.newest_version > replica.position.version else NO_DEADLINE

    def _serve_fetch(self, host: Host, replica: Replica, sender: str, after: int) -> None:
        if after >= replica.position.version:
            return
        last = min(replica.position.version, after + MAX_CHANGES_PER_REPLY)
        versions = range(after + 1, last + 1)
        if all(version in replica.log for version in versions):
            changes = tuple(replica.log[version] for version in versions)
            self._send(host, sender, FetchedChanges(changes))
        else:
            self._send(host, sender, FetchedSnapshot(replica.position, dict(replica.configuration)))

    def _apply(self, host: Host, replica: Replica, changes: tuple[Change, ...]) -> None:
        """Apply the changes that follow the current version.

        The quorum is notified of the last one only, as by a node.
        """
        before = replica.position
        for change in changes:
            if change.position.version == replica.position.version + 1:
                replica.configuration = dict(replica.configuration)
                apply_change(replica.configuration, change)
                replica.position = change.position
                replica.log[change.position.version] = change
        if replica.position != before:
            self._notify_applied(host, replica)

    def _notify_applied(self, host: Host, replica: Replica) -> None:
        position, configuration = replica.position, replica.configuration
        self.checker.on_applied(position, configuration)
        actions = replica.quorum.on_applied(host.clock(self.net.now), position, configuration)
        self._execute(host, actions)
