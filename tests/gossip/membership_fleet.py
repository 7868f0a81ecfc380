"""Test doubles for membership: one member with simulated peers, and a fleet on a simulated network.

The network runs in virtual time. Every message of the fleet is encoded, which checks that it can be encoded
and is not too long. With ``through_codec`` the receiver gets the decoded datagram instead of the original
message.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from saltcourse.gossip.codec import Codec
from saltcourse.gossip.membership import Membership
from saltcourse.gossip.messages import (
    Ack,
    Gossip,
    Header,
    MemberRecord,
    Ping,
    Role,
    Send,
    Status,
    SyncReply,
    SyncRequest,
)
from saltcourse.gossip.settings import Timing

TIMING = Timing()
CODEC = Codec(b"a key of the fleet for the tests")
ALIVE, SUSPECT, DEAD, LEFT = Status


def record_of(
    number: int,
    zone: str = "a",
    region: str = "r",
    incarnation: int = 0,
    status: Status = ALIVE,
    process_id: int = 1,
) -> MemberRecord:
    address = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7000)
    return MemberRecord(
        f"member-{number}", address, region, zone, Role.PROXY, incarnation, process_id, status
    )


def header_of(record: MemberRecord) -> Header:
    return Header(record.id, record.incarnation, record.process_id)


def send_size(send: Send) -> int:
    return len(CODEC.encode(Header(1, 2, 3), send.message))


class MemberHarness:
    """One member whose peers are simulated by the test."""

    def __init__(
        self,
        *others: MemberRecord,
        initial_record: MemberRecord | None = None,
        seeds: Any = (),
        seed: int = 1,
    ):
        self.now = 0.0
        self.initial_record = initial_record or record_of(0)
        self.membership = Membership(self.initial_record, seeds, TIMING, random.Random(seed))
        self.sends = self.membership.start(0.0)
        if others:
            self.receive(others[0], Gossip(tuple(others)))

    def receive(self, sender: MemberRecord, message: Any, source: Any = None) -> list[Send]:
        header = header_of(sender)
        sends = self.membership.observe(self.now, header)
        sends += self.membership.handle(self.now, source or sender.address, header, message)
        self.sends += sends
        return sends

    def run(self, until: float, answer: Callable[[Send], Any] = lambda send: None) -> list[Send]:
        """Tick at each deadline up to ``until`` and return all messages sent.

        ``answer`` is called with each message of a tick and may return a (sender, message) pair, which is
        received immediately.
        """
        sent: list[Send] = []
        while (deadline := self.membership.next_deadline()) <= until:
            self.now = max(self.now, deadline)
            sends = self.membership.tick(self.now)
            sent += sends
            for send in sends:
                reply = answer(send)
                if reply is not None:
                    sent += self.receive(*reply)
        self.now = until
        self.sends += sent
        return sent

    def status(self, record: MemberRecord) -> Status | None:
        entry = self.membership.members.get(record.id)
        return None if entry is None else entry.status

    def metric(self, name: str) -> int:
        return self.membership.metrics()[name]


def pings(sends: list[Send]) -> list[Send]:
    return [send for send in sends if isinstance(send.message, Ping)]


def acks_from(*records: MemberRecord) -> Callable[[Send], Any]:
    """Return an ``answer`` function: these members answer Pings, and their tables contain nothing new."""
    by_address = {record.address: record for record in records}

    def answer(send: Send) -> Any:
        record = by_address.get(send.destination)
        if record is not None and isinstance(send.message, Ping):
            return record, Ack(send.message.sequence)
        if record is not None and isinstance(send.message, SyncRequest):
            return record, SyncReply((), False)
        return None

    return answer


@dataclass
class Host:
    membership: Membership
    address: Any
    alive: bool = True
    stopped: bool = False
    buffered: Any = None


class Fleet:
    """Membership objects on a simulated network in virtual time."""

    def __init__(
        self,
        seed: int,
        delay: tuple[float, float] = (0.001, 0.03),
        loss: float = 0.0,
        duplication: float = 0.0,
        through_codec: bool = False,
    ):
        self.random = random.Random(seed)
        self.through_codec = through_codec
        self.delay, self.loss, self.duplication = delay, loss, duplication
        self.now = 0.0
        self.hosts: list[Host] = []
        self.by_address: dict[Any, Host] = {}
        self.is_blocked: Callable[[MemberRecord, MemberRecord], bool] = lambda sender, receiver: False
        self.changes: list[tuple[float, Host, Any]] = []
        self.log: list[tuple[float, Any, Any]] | None = None
        self.replies: Counter[tuple[Any, Any]] = Counter()  # number of SyncReplies by (sender, receiver)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def add(self, record: MemberRecord, seeds: tuple[Any, ...]) -> Host:
        rng = random.Random(self.random.getrandbits(32))
        host = Host(Membership(record, seeds, TIMING, rng), record.address)
        self.hosts.append(host)
        self.by_address[record.address] = host
        self._send(host, host.membership.start(self.now))
        self._schedule_tick(host)
        return host

    def crash(self, host: Host) -> None:
        host.alive = False

    def stop(self, host: Host) -> None:
        host.stopped, host.buffered = True, []

    def resume(self, host: Host) -> None:
        host.stopped = False
        for event in host.buffered:
            event()
        self._tick(host)

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, event = heapq.heappop(self._queue)
            event()
        self.now = until

    def at(self, when: float, event: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, event))

    def _schedule_tick(self, host: Host) -> None:
        self.at(max(host.membership.next_deadline(), self.now + 1e-6), lambda: self._tick(host))

    def _tick(self, host: Host) -> None:
        if not host.alive:
            return
        if host.stopped:
            return
        self._send(host, host.membership.tick(self.now))
        self._schedule_tick(host)

    def _send(self, host: Host, sends: list[Send]) -> None:
        self.changes += [(self.now, host, change) for change in host.membership.take_changes()]
        for send in sends:
            header = header_of(host.membership.own_record)
            datagram = CODEC.encode(header, send.message)
            received = CODEC.decode(datagram) if self.through_codec else (header, send.message)
            receiver = self.by_address.get(send.destination)
            if receiver is None or self.is_blocked(
                host.membership.own_record, receiver.membership.own_record
            ):
                continue
            if self.log is not None:
                self.log.append((self.now, host.address, send))
            if isinstance(send.message, SyncReply):
                self.replies[host.address, send.destination] += 1
            for _ in range(1 + (self.random.random() < self.duplication)):
                if self.random.random() >= self.loss:
                    when = self.now + self.random.uniform(*self.delay)
                    self.at(when, partial(self._receive, host.address, receiver, *received))

    def _receive(self, source: Any, host: Host, header: Header, message: Any) -> None:
        if not host.alive or self.by_address[host.address] is not host:
            return
        if host.stopped:
            host.buffered.append(partial(self._receive, source, host, header, message))
            return
        sends = host.membership.observe(self.now, header)
        sends += host.membership.handle(self.now, source, header, message)
        self._send(host, sends)

    # ---- queries of the tests ---------------------------------------------------------------------

    def running(self) -> list[Host]:
        return [host for host in self.hosts if host.alive and not host.stopped]

    def statuses(self, record: MemberRecord) -> Counter[Status | None]:
        """Return how many running members have which status for the member; None: unknown to them."""
        counts: Counter[Status | None] = Counter()
        for host in self.running():
            if host.membership.own_record.id != record.id:
                entry = host.membership.members.get(record.id)
                counts[None if entry is None else entry.status] += 1
        return counts

    def metric(self, name: str) -> int:
        return sum(host.membership.metrics()[name] for host in self.running())

    def has_converged(self) -> bool:
        """Return whether each running member has the current records of all running members, and no others.

        Dead and left members are ignored.
        """
        running = self.running()
        expected = {host.membership.own_record.id: host.membership.own_record for host in running}
        for host in running:
            known = {
                member: entry.record
                for member, entry in host.membership.members.items()
                if entry.status in (ALIVE, SUSPECT)
            }
            if known != expected:
                return False
        return True

    def run_until_converged(self, timeout: float) -> float:
        """Run until ``has_converged`` and return the seconds needed. Fail after ``timeout`` seconds."""
        start = self.now
        while not self.has_converged():
            assert self.now - start < timeout, f"fleet has not converged within {timeout} s"
            self.run(self.now + 0.5)
        return self.now - start


def fleet_of(
    count: int, seed: int = 1, zones: int = 4, regions: int = 2, settle: float = 12.0, **link: Any
) -> Fleet:
    """Return a fleet that has run for ``settle`` seconds.

    Member i is in zone ``z{i % zones}``, and zone z in region ``r{z % regions}``.
    """
    fleet = Fleet(seed, **link)
    seeds = (record_of(0).address, record_of(1).address)
    for number in range(count):
        zone = number % zones
        fleet.add(record_of(number, f"z{zone}", f"r{zone % regions}"), seeds)
    fleet.run(settle)
    return fleet


def cut_regions(sender: MemberRecord, receiver: MemberRecord) -> bool:
    return sender.region != receiver.region
