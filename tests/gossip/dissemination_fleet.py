"""A fleet of members that disseminate configuration changes over the simulated network, with a checker.

The fleet itself records the sequence of committed changes and compares the state of every member with it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from random import Random

from saltcourse.emulator.simnet import Host, Link, Network
from saltcourse.gossip.codec import Codec
from saltcourse.gossip.configuration import FleetConfiguration
from saltcourse.gossip.dissemination import Dissemination
from saltcourse.gossip.messages import (
    PACKET_OVERHEAD_BYTES,
    Ack,
    Address,
    Applied,
    Change,
    Changes,
    Fetch,
    Freshness,
    FreshnessChanged,
    Header,
    Heartbeat,
    MemberRecord,
    Message,
    Ping,
    Position,
    ReplicaState,
    Role,
    Send,
    SnapshotFetch,
    SnapshotPart,
    Write,
    member_id,
)
from saltcourse.gossip.settings import Timing

CODEC = Codec(b"k" * 32)
CONFIGURATION_MESSAGES = (Fetch, Changes, SnapshotFetch, SnapshotPart)


class Violation(Exception):
    """The configuration of a member is wrong."""


@dataclass(frozen=True)
class Datagram:
    source: Address
    header: Header
    message: Message
    size: int


@dataclass(frozen=True)
class Commit:
    change: Change


@dataclass(frozen=True)
class AdvanceHeartbeat:
    heartbeat: Heartbeat


class TickEvent:
    pass


class ProbeEvent:
    pass


@lru_cache(maxsize=10_000)
def packet_size(message: Message) -> int:
    """Return the size of a packet in bytes with all headers; the size of the gossip header is constant."""
    return len(CODEC.encode(Header(0, 0, 0), message)) + PACKET_OVERHEAD_BYTES


def address_of(index: int) -> Address:
    return f"10.0.{index // 250}.{index % 250 + 1}", 7000


def record_of(index: int) -> MemberRecord:
    return MemberRecord(f"m{index}", address_of(index), "r", "z", Role.PROXY, 0, index)


@dataclass
class Member:
    """The process of one host; each start of the host creates a new one."""

    record: MemberRecord
    dissemination: Dissemination
    applied: list[Position] = field(default_factory=list)
    freshness: list[tuple[float, Freshness]] = field(default_factory=list)
    heartbeat: Heartbeat = Heartbeat()
    heartbeat_at: float = 0.0  # when ``heartbeat`` was received
    sent_bytes: int = 0
    received_bytes: int = 0
    received_changes: Counter[Position] = field(default_factory=Counter)
    received_types: Counter[str] = field(default_factory=Counter)

    @property
    def last_applied(self) -> Position:
        return self.applied[-1] if self.applied else Position()


class Fleet:
    """``count`` members; the fleet delivers commits to the first ``voters`` of them directly."""

    def __init__(
        self,
        seed: int,
        count: int,
        *,
        link: Link | None = None,
        voters: int = 3,
        timing: Timing | None = None,
        configuration: Callable[[], FleetConfiguration] = FleetConfiguration,
        probes: bool = True,
    ) -> None:
        self.random = Random(seed)
        self.timing = timing or Timing()
        self.records = [record_of(index) for index in range(count)]
        self.index = {record.address: index for index, record in enumerate(self.records)}
        hosts = [Host(record.name, offset=self.random.uniform(1.0, 1e6)) for record in self.records]
        self.hosts = hosts
        self.net = Network(seed, hosts, link or Link(), self._deliver, TickEvent())
        self.voters = voters
        self.members: dict[str, Member] = {}
        self.history: dict[Position, dict[str, bytes]] = {Position(): {}}
        self.position = Position()
        self.epoch = 1
        self.heartbeat = Heartbeat()
        self.commit_loss = 0.0  # the probability that a voter misses a commit
        self._make_configuration = configuration
        self._probes = probes

    # ---- operations for tests ---------------------------------------------------------------------------

    def start(self, index: int) -> Member:
        host = self.hosts[index]
        assert not host.alive
        host.alive = True
        random = Random(self.random.random())
        others = [record for record in self.records if record.name != host.name]
        dissemination = Dissemination(
            self.timing,
            random,
            lambda count: random.sample(others, min(count, len(others))),
            self._make_configuration(),
        )
        member = Member(self.records[index], dissemination)
        self.members[host.name] = member
        if host.disk is not None:
            dissemination.restore(host.clock(self.net.now), host.disk)
            self._check(host, member)
        if self._probes:
            self._schedule_probe(host, host.incarnation, self.random.random())
        self._set_timer(host, member)
        return member

    def start_all(self) -> None:
        for index in range(len(self.hosts)):
            self.start(index)

    def crash(self, index: int) -> None:
        """Crash a member. A voter keeps its state on disk; other members lose theirs."""
        host = self.hosts[index]
        if index < self.voters:
            dissemination = self.members[host.name].dissemination
            items = tuple(sorted(dissemination.configuration.items()))
            host.disk = ReplicaState(committed=dissemination.position, configuration=items)
        self.net.crash(host, keeps_disk=index < self.voters)

    def find_publisher(self) -> Host | None:
        """Return a running voter that has all changes; only such a voter can commit the next one."""
        for host in self.hosts[: self.voters]:
            is_running = host.alive and not host.stopped
            if is_running and self.members[host.name].dissemination.position == self.position:
                return host
        return None

    def publish(self, *writes: Write) -> Change | None:
        """Commit a change at the voters, some of which may miss it; return None if no voter can publish."""
        publisher = self.find_publisher()
        if publisher is None:
            return None
        self.position = Position(self.epoch, self.position.version + 1)
        change = Change(self.position, writes)
        values: dict[str, bytes | None] = {**self.history[max(self.history)], **dict(writes)}
        self.history[self.position] = {key: value for key, value in values.items() if value is not None}
        for host in self.hosts[: self.voters]:
            if host is publisher or self.random.random() >= self.commit_loss:
                self.net.deliver(host, Commit(change))
        return change

    def send_heartbeat(self) -> None:
        """Advance the heartbeat at the first running voter, which acts as the publisher."""
        self.heartbeat = Heartbeat(self.epoch, self.heartbeat.count + 1)
        for host in self.hosts[: self.voters]:
            if host.alive and not host.stopped:
                self.net.deliver(host, AdvanceHeartbeat(self.heartbeat))
                return

    def send_heartbeats(self, interval: float, until: float) -> None:
        def send_next() -> None:
            self.send_heartbeat()
            if self.net.now + interval <= until:
                self.net.call_at(self.net.now + interval, send_next)

        self.net.call_at(self.net.now, send_next)

    def isolate(self, group: set[int]) -> None:
        """Cut the members of ``group`` off from all others, in both directions."""
        for inside in group:
            for outside in set(range(len(self.hosts))) - group:
                self.net.cut(self.hosts[inside].name, self.hosts[outside].name)

    def live(self) -> list[Member]:
        return [self.members[host.name] for host in self.hosts if host.alive]

    def has_converged(self) -> bool:
        return all(member.dissemination.position == self.position for member in self.live())

    # ---- events of members ------------------------------------------------------------------------------

    def _schedule_probe(self, host: Host, incarnation: int, delay: float) -> None:
        def probe() -> None:
            if host.incarnation == incarnation:
                if not host.stopped:
                    self.net.deliver(host, ProbeEvent())
                self._schedule_probe(host, incarnation, self.timing.probe_interval)

        self.net.call_at(self.net.now + delay, probe)

    def _deliver(self, host: Host, event: object) -> None:
        member = self.members[host.name]
        now = host.clock(self.net.now)
        sends = self._handle(now, member, event)
        if now >= member.dissemination.next_deadline():
            sends += member.dissemination.tick(now)
        self._check(host, member)
        for send in sends:
            self._send(host, member, send)
        self._set_timer(host, member)

    def _handle(self, now: float, member: Member, event: object) -> list[Send]:
        dissemination = member.dissemination
        if isinstance(event, Datagram):
            return self._receive(now, member, event)
        if isinstance(event, Commit):
            return dissemination.commit(now, event.change)
        if isinstance(event, AdvanceHeartbeat):
            dissemination.advance_heartbeat(now, event.heartbeat)
        if isinstance(event, ProbeEvent):
            own_index = self.index[member.record.address]
            step = self.random.randrange(1, len(self.records))
            target = self.records[(own_index + step) % len(self.records)]
            return [Send(target.address, Ping(1, target.id))]
        return []

    def _receive(self, now: float, member: Member, datagram: Datagram) -> list[Send]:
        member.received_bytes += datagram.size
        member.received_types[type(datagram.message).__name__] += 1
        message = datagram.message
        sends = member.dissemination.observe(now, datagram.source, datagram.header)
        if isinstance(message, Ping):
            sends.append(Send(datagram.source, Ack(message.sequence)))
        if isinstance(message, Changes):
            member.received_changes.update(change.position for change in message.changes)
        if isinstance(message, CONFIGURATION_MESSAGES):
            sends += member.dissemination.handle(now, datagram.source, datagram.header, message)
        return sends

    def _send(self, host: Host, member: Member, send: Send) -> None:
        record = member.record
        dissemination = member.dissemination
        header = Header(
            member_id(record.name), 0, record.process_id, dissemination.position, dissemination.heartbeat
        )
        size = packet_size(send.message)
        member.sent_bytes += size
        receiver = self.hosts[self.index[send.destination]].name
        self.net.send(host.name, receiver, Datagram(record.address, header, send.message, size))

    def _set_timer(self, host: Host, member: Member) -> None:
        self.net.set_timer(host, member.dissemination.next_deadline())

    # ---- checker ----------------------------------------------------------------------------------------

    def _check(self, host: Host, member: Member) -> None:
        dissemination = member.dissemination
        if dissemination.heartbeat != member.heartbeat:
            member.heartbeat = dissemination.heartbeat
            member.heartbeat_at = self.net.now
        for action in dissemination.take_actions():
            if isinstance(action, Applied):
                self._check_applied(host, member, action)
            if isinstance(action, FreshnessChanged):
                member.freshness.append((self.net.now, action.freshness))

    def _check_applied(self, host: Host, member: Member, action: Applied) -> None:
        last = member.last_applied
        if action.position <= last or action.position.version <= last.version:
            raise Violation(f"{host.name} moved from {last} to {action.position}")
        expected = self.history.get(action.position)
        if expected is None:
            raise Violation(f"{host.name} is at {action.position}, a position that was never committed")
        if dict(member.dissemination.configuration) != expected:
            raise Violation(f"{host.name} has a wrong configuration at {action.position}")
        before = self.history[last]
        differing = {key for key in before.keys() | expected.keys() if before.get(key) != expected.get(key)}
        if not differing <= set(action.changed):
            raise Violation(f"{host.name} did not report all changed keys at {action.position}")
        member.applied.append(action.position)
