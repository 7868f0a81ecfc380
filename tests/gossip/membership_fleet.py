"""Members for tests: one whose neighbours the test plays, and a fleet on a network in virtual time.

Every datagram of the fleet is encoded, so that none is too long or has no binary form; where
``through_codec`` is set it is what arrives, too.
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


class Lone:
    """One member, whose neighbours the test plays."""

    def __init__(self, *others: MemberRecord, me: MemberRecord | None = None, seeds: Any = (), seed: int = 1):
        self.now = 0.0
        self.me = me or record_of(0)
        self.membership = Membership(self.me, seeds, TIMING, random.Random(seed))
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
        """Ticks when due; ``answer`` may give (sender, message) to be received at once."""
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

    def figure(self, name: str) -> int:
        return self.membership.metrics()[name]


def pings(sends: list[Send]) -> list[Send]:
    return [send for send in sends if isinstance(send.message, Ping)]


def answering(*records: MemberRecord) -> Callable[[Send], Any]:
    """These members answer Pings, and know nothing new."""
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
    waiting: Any = None


class Fleet:
    """Membership objects on a network in virtual time."""

    def __init__(
        self,
        seed: int,
        delay: tuple[float, float] = (0.001, 0.03),
        loss: float = 0.0,
        double: float = 0.0,
        through_codec: bool = False,
    ):
        self.random = random.Random(seed)
        self.through_codec = through_codec
        self.delay, self.loss, self.double = delay, loss, double
        self.now = 0.0
        self.hosts: list[Host] = []
        self.by_address: dict[Any, Host] = {}
        self.is_cut: Callable[[MemberRecord, MemberRecord], bool] = lambda sender, receiver: False
        self.changes: list[tuple[float, Host, Any]] = []
        self.log: list[tuple[float, Any, Any]] | None = None
        self.replies: Counter[tuple[Any, Any]] = Counter()  # SyncReplies by (sender, receiver)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0

    def add(self, record: MemberRecord, seeds: tuple[Any, ...]) -> Host:
        source = random.Random(self.random.getrandbits(32))
        host = Host(Membership(record, seeds, TIMING, source), record.address)
        self.hosts.append(host)
        self.by_address[record.address] = host
        self._send(host, host.membership.start(self.now))
        self._wake(host)
        return host

    def crash(self, host: Host) -> None:
        host.alive = False

    def stop(self, host: Host) -> None:
        host.stopped, host.waiting = True, []

    def go_on(self, host: Host) -> None:
        host.stopped = False
        for event in host.waiting:
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

    def _wake(self, host: Host) -> None:
        self.at(max(host.membership.next_deadline(), self.now + 1e-6), lambda: self._tick(host))

    def _tick(self, host: Host) -> None:
        if not host.alive:
            return
        if host.stopped:
            return
        self._send(host, host.membership.tick(self.now))
        self._wake(host)

    def _send(self, host: Host, sends: list[Send]) -> None:
        self.changes += [(self.now, host, change) for change in host.membership.take_changes()]
        for send in sends:
            header = header_of(host.membership.own_record)
            datagram = CODEC.encode(header, send.message)
            arriving = CODEC.decode(datagram) if self.through_codec else (header, send.message)
            receiver = self.by_address.get(send.destination)
            if receiver is None or self.is_cut(host.membership.own_record, receiver.membership.own_record):
                continue
            if self.log is not None:
                self.log.append((self.now, host.address, send))
            if isinstance(send.message, SyncReply):
                self.replies[host.address, send.destination] += 1
            for _ in range(1 + (self.random.random() < self.double)):
                if self.random.random() >= self.loss:
                    when = self.now + self.random.uniform(*self.delay)
                    self.at(when, partial(self._arrive, host.address, receiver, *arriving))

    def _arrive(self, source: Any, host: Host, header: Header, message: Any) -> None:
        if not host.alive or self.by_address[host.address] is not host:
            return
        if host.stopped:
            host.waiting.append(partial(self._arrive, source, host, header, message))
            return
        sends = host.membership.observe(self.now, header)
        sends += host.membership.handle(self.now, source, header, message)
        self._send(host, sends)

    # ---- what the tests ask ------------------------------------------------------------------------

    def running(self) -> list[Host]:
        return [host for host in self.hosts if host.alive and not host.stopped]

    def statuses(self, record: MemberRecord) -> Counter[Status | None]:
        """What the others believe of one member."""
        found: Counter[Status | None] = Counter()
        for host in self.running():
            if host.membership.own_record.id != record.id:
                entry = host.membership.members.get(record.id)
                found[None if entry is None else entry.status] += 1
        return found

    def figure(self, name: str) -> int:
        return sum(host.membership.metrics()[name] for host in self.running())

    def is_whole(self) -> bool:
        """Everyone holds everyone that runs for alive, with the record that it has now."""
        running = self.running()
        wanted = {host.membership.own_record.id: host.membership.own_record for host in running}
        for host in running:
            held = {
                member: entry.record
                for member, entry in host.membership.members.items()
                if entry.status in (ALIVE, SUSPECT)
            }
            if held != wanted:
                return False
        return True

    def run_until_whole(self, limit: float) -> float:
        """Seconds that it took."""
        start = self.now
        while not self.is_whole():
            assert self.now - start < limit, "not whole in time"
            self.run(self.now + 0.5)
        return self.now - start


def fleet_of(
    count: int, seed: int = 1, zones: int = 4, regions: int = 2, settle: float = 12.0, **link: Any
) -> Fleet:
    """Members of zone number i % zones, and the zone's number % regions is its region's."""
    fleet = Fleet(seed, **link)
    seeds = (record_of(0).address, record_of(1).address)
    for number in range(count):
        zone = number % zones
        fleet.add(record_of(number, f"z{zone}", f"r{zone % regions}"), seeds)
    fleet.run(settle)
    return fleet


def cut_regions(sender: MemberRecord, receiver: MemberRecord) -> bool:
    return sender.region != receiver.region
