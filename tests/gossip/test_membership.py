"""Gossip membership: rules one by one, and fleets of virtual members through loss, cuts, stops and crashes.

Every datagram of a virtual fleet is encoded, so that none is too long or has no binary form; where
``through_codec`` is set it is what arrives, too.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as effort
from hypothesis import strategies as st

from saltcourse.gossip import member_table, table_sync
from saltcourse.gossip.broadcasts import MAX_QUEUED, RECORDS_ROOM_BYTES, BroadcastQueue
from saltcourse.gossip.codec import Codec, update_size
from saltcourse.gossip.failure_detector import MAX_HEALTH, MAX_RELAYED_PROBES, NACK_FRACTION
from saltcourse.gossip.member_table import MAX_INCARNATION, MemberTable, overrides
from saltcourse.gossip.membership import Membership
from saltcourse.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    SYNC_BUCKETS,
    Ack,
    Gossip,
    Header,
    MemberChanged,
    MemberRecord,
    Nack,
    Ping,
    PingRequest,
    Priority,
    Role,
    Send,
    Status,
    StatusUpdate,
    SyncReply,
    SyncRequest,
    ZoneReachability,
    ZoneSum,
    member_id,
)
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.suspicion import SuspicionTimers
from saltcourse.gossip.unknown_senders import ACKS_PER_SECOND, PAGES_PER_SECOND
from saltcourse.gossip.zone_silence import ZoneSilence

TIMING = Timing()
CODEC = Codec(b"a key of the fleet for the tests")
ALIVE, SUSPECT, DEAD, LEFT = Status


def record_of(
    number: int,
    zone: str = "a",
    region: str = "r",
    incarnation: int = 0,
    status: Status = ALIVE,
    process: int = 1,
) -> MemberRecord:
    address = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7000)
    return MemberRecord(f"member-{number}", address, region, zone, Role.PROXY, incarnation, process, status)


def header_of(record: MemberRecord) -> Header:
    return Header(record.id, record.incarnation, record.process)


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
        return self.membership.figures()[name]


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


# ---- a fleet ----------------------------------------------------------------------------------------


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
            header = header_of(host.membership.me)
            datagram = CODEC.encode(header, send.message)
            arriving = CODEC.decode(datagram) if self.through_codec else (header, send.message)
            receiver = self.by_address.get(send.destination)
            if receiver is None or self.is_cut(host.membership.me, receiver.membership.me):
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
            if host.membership.me.id != record.id:
                entry = host.membership.members.get(record.id)
                found[None if entry is None else entry.status] += 1
        return found

    def figure(self, name: str) -> int:
        return sum(host.membership.figures()[name] for host in self.running())

    def is_whole(self) -> bool:
        """Everyone holds everyone that runs for alive, with the record that it has now."""
        running = self.running()
        wanted = {host.membership.me.id: host.membership.me for host in running}
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


# ---- order of precedence ----------------------------------------------------------------------------


@pytest.mark.parametrize(
    "new, held, wins",
    [
        ((1, SUSPECT), (1, ALIVE), True),
        ((1, DEAD), (1, SUSPECT), True),
        ((1, LEFT), (1, DEAD), True),
        ((1, ALIVE), (1, SUSPECT), False),
        ((1, ALIVE), (1, ALIVE), False),
        ((1, SUSPECT), (1, DEAD), False),
        ((1, DEAD), (1, LEFT), False),
        ((2, ALIVE), (1, SUSPECT), True),
        ((2, ALIVE), (1, DEAD), True),
        ((2, ALIVE), (1, LEFT), True),
        ((1, LEFT), (2, ALIVE), False),
        ((2, SUSPECT), (1, DEAD), True),
    ],
)
def test_precedence_of_records(new: tuple[int, Status], held: tuple[int, Status], wins: bool) -> None:
    one = record_of(1, incarnation=new[0], status=new[1])
    other = record_of(1, incarnation=held[0], status=held[1])
    assert overrides(one, other) is wins


def test_precedence_is_total_between_processes() -> None:
    one, other = record_of(1, process=1), record_of(1, process=2)
    assert overrides(other, one) and not overrides(one, other)


def test_claims_change_the_table_by_precedence() -> None:
    one, two = record_of(1, incarnation=3), record_of(2)
    lone = Lone(two, one)
    lone.receive(two, Gossip((StatusUpdate(one.id, 2, DEAD),)))
    assert lone.status(one) is ALIVE
    lone.receive(two, Gossip((StatusUpdate(one.id, 3, SUSPECT),)))
    assert lone.status(one) is SUSPECT
    lone.receive(two, Gossip((replace(one, incarnation=4),)))
    assert lone.status(one) is ALIVE
    lone.receive(two, Gossip((StatusUpdate(one.id, 4, LEFT), StatusUpdate(one.id, 4, DEAD))))
    assert lone.status(one) is LEFT
    changes = [change for change in lone.membership.take_changes() if isinstance(change, MemberChanged)]
    assert [c.status for c in changes if c.name == one.name] == [ALIVE, SUSPECT, ALIVE, LEFT]


def test_a_status_of_an_unknown_member_is_passed_over() -> None:
    lone = Lone(record_of(1))
    lone.receive(record_of(1), Gossip((StatusUpdate(member_id("nobody"), 1, DEAD),)))
    assert len(lone.membership.members) == 2


# ---- one probe --------------------------------------------------------------------------------------


def test_a_probe_goes_direct_then_through_others_then_suspects_then_declares_dead() -> None:
    """Four members of zones of their own; the silent one is dead after the stated time and not before."""
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    silent, live = others[0], others[1:]
    lone = Lone(*others)
    sends: list[Send] = []
    begun = asked = suspected = dead = None

    def answer(send: Send) -> Any:
        nonlocal begun, asked
        sends.append(send)
        if isinstance(send.message, Ping) and send.destination == silent.address and begun is None:
            begun = lone.now
        if isinstance(send.message, PingRequest):
            asked = asked or lone.now
            relay = next(record for record in live if record.address == send.destination)
            return relay, Nack(send.message.sequence)
        return answering(*live)(send)

    while dead is None:
        lone.run(lone.now + 0.05, answer)
        if suspected is None and lone.status(silent) is SUSPECT:
            suspected = lone.now
        if lone.status(silent) is DEAD:
            dead = lone.now
        assert lone.now < 30
    assert begun is not None and asked is not None and suspected is not None
    first = [send.message for send in sends if isinstance(send.message, PingRequest)][:3]
    assert asked - begun == pytest.approx(TIMING.probe_timeout)
    assert {request.target for request in first} == {silent.id}
    assert len({send.destination for send in sends if send.message in first}) == TIMING.indirect_probes
    assert suspected - begun == pytest.approx(TIMING.probe_interval, abs=0.06)
    wait = TIMING.suspicion_multiplier * max(1.0, math.log10(5)) * TIMING.probe_interval
    assert dead - suspected == pytest.approx(wait, abs=0.06)
    assert lone.figure("deaths") == 1


def test_an_ack_through_a_relay_ends_the_probe() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    unreachable = others[0]

    def answer(send: Send) -> Any:
        if isinstance(send.message, PingRequest):
            relay = next(record for record in others[1:] if record.address == send.destination)
            return relay, Ack(send.message.sequence)
        return answering(*others[1:])(send)

    lone = Lone(*others)
    lone.run(20.0, answer)
    assert lone.status(unreachable) is ALIVE
    assert lone.figure("suspicions") == 0


def test_an_ack_of_one_that_was_not_asked_proves_nothing() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 4)]

    def answer(send: Send) -> Any:
        wrong = others[1] if send.destination == others[0].address else others[0]
        return (wrong, Ack(send.message.sequence)) if isinstance(send.message, Ping) else None

    lone = Lone(*others)
    lone.run(4.0, answer)
    assert lone.figure("suspicions") > 0


def test_a_relay_sends_a_nack_in_time_and_still_passes_a_late_ack_on() -> None:
    asker, target = record_of(1), record_of(2)
    lone = Lone(asker, target)
    request = PingRequest(77, target.id)
    sends = lone.receive(asker, request)
    ping = next(send.message for send in pings(sends) if send.destination == target.address)
    assert ping.target == target.id and ping.sequence != 77
    nacks = [
        send
        for send in lone.run(NACK_FRACTION * TIMING.probe_timeout + 0.001, answering(asker))
        if isinstance(send.message, Nack)
    ]
    assert [(send.destination, send.message.sequence) for send in nacks] == [(asker.address, 77)]
    late = lone.receive(target, Ack(ping.sequence))
    assert Send(asker.address, Ack(77)) in late
    assert lone.receive(target, Ack(ping.sequence)) == []


def test_relayed_probes_are_bounded() -> None:
    asker, target = record_of(1), record_of(2)
    lone = Lone(asker, target)
    sends = []
    for sequence in range(MAX_RELAYED_PROBES + 10):
        sends += lone.receive(asker, PingRequest(sequence, target.id))
    assert len(pings(sends)) == MAX_RELAYED_PROBES
    assert lone.figure("relays_refused") == 10


def test_each_round_probes_everyone_once_in_another_order() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 11)]
    lone = Lone(*others)
    targets = [send.message.target for send in pings(lone.run(31.0, answering(*others)))]
    rounds = [targets[start : start + 10] for start in (0, 10, 20)]
    for order in rounds:
        assert sorted(order) == sorted(record.id for record in others)
    assert rounds[0] != rounds[1] != rounds[2]


def test_a_ping_meant_for_another_name_is_not_answered() -> None:
    other = record_of(1)
    lone = Lone(other)
    assert lone.receive(other, Ping(5, member_id("an earlier owner of this address"))) == []
    assert lone.figure("misaddressed_pings") == 1
    assert [send.message.sequence for send in lone.receive(other, Ping(6, lone.me.id))] == [6]


# ---- objections -------------------------------------------------------------------------------------


@pytest.mark.parametrize("status", [SUSPECT, DEAD, LEFT])
def test_a_member_objects_with_a_higher_incarnation(status: Status) -> None:
    other = record_of(1)
    lone = Lone(other, me=record_of(0, incarnation=4))
    lone.receive(other, Gossip((StatusUpdate(lone.me.id, 4, status),)))
    assert lone.membership.me.incarnation == 5
    assert lone.figure("health") == 1
    gossip = [send.message for send in lone.run(1.0, answering(other)) if isinstance(send.message, Gossip)]
    assert any(lone.membership.me in message.updates for message in gossip)


def test_old_accusations_are_passed_over() -> None:
    other = record_of(1)
    lone = Lone(other, me=record_of(0, incarnation=4))
    old = replace(lone.me, incarnation=3, status=DEAD)
    lone.receive(other, Gossip((StatusUpdate(lone.me.id, 3, DEAD), old)))
    assert lone.membership.me.incarnation == 4


def test_two_accusations_in_a_second_raise_it_once_now_and_once_then() -> None:
    other = record_of(1)
    lone = Lone(other)
    lone.receive(other, Gossip((StatusUpdate(lone.me.id, 0, SUSPECT),)))
    lone.receive(other, Gossip((StatusUpdate(lone.me.id, 9, DEAD),)))
    assert lone.membership.me.incarnation == 1
    lone.run(1.5, answering(other))
    assert lone.membership.me.incarnation == 10


def test_a_suspect_is_told_by_the_next_ping() -> None:
    one, two = record_of(1), record_of(2)
    lone = Lone(two, one)
    lone.receive(two, Gossip((StatusUpdate(one.id, 0, SUSPECT),)))
    told = [send.message for send in pings(lone.run(3.0, answering(two))) if send.destination == one.address]
    assert any(update == replace(one, status=SUSPECT) for update in told[0].updates)


@pytest.mark.parametrize("status", [DEAD, LEFT])
def test_a_departed_member_that_speaks_is_told_once_a_second(status: Status) -> None:
    one, two = record_of(1), record_of(2)
    lone = Lone(two, one)
    lone.receive(two, Gossip((StatusUpdate(one.id, 0, status),)))
    answers = []
    for step in range(35):
        lone.now = 1 + 0.1 * step
        answers += [send for send in lone.receive(one, Gossip()) if isinstance(send.message, Gossip)]
    assert [send.message.updates for send in answers] == [(replace(one, status=status),)] * 4
    assert {send.destination for send in answers} == {one.address}


def test_a_header_with_a_higher_incarnation_brings_a_dead_member_back() -> None:
    one, two = record_of(1), record_of(2)
    lone = Lone(two, one)
    lone.receive(two, Gossip((StatusUpdate(one.id, 0, DEAD),)))
    lone.receive(replace(one, incarnation=1), Gossip())
    assert lone.membership.members[one.id].record == replace(one, incarnation=1)


# ---- Lifeguard --------------------------------------------------------------------------------------


def test_health_falls_with_missed_acks_and_nacks_and_lengthens_timeouts() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 12)]
    lone = Lone(*others)
    begun: dict[int, float] = {}
    asked: dict[int, float] = {}

    def silent(send: Send) -> Any:
        if isinstance(send.message, Ping):
            begun.setdefault(send.message.sequence, lone.now)
        if isinstance(send.message, PingRequest):
            asked.setdefault(send.message.sequence, lone.now)
        if not isinstance(send.message, Ping) and lone.now < 3.0:
            return others[0], Gossip()  # it is not cut off: somebody is heard
        return None

    lone.run(2.5, silent)
    assert lone.figure("health") >= 4  # one probe failed, three Nacks missing
    lone.run(30.0, silent)
    assert lone.figure("health") <= MAX_HEALTH
    waits = [asked[sequence] - begun[sequence] for sequence in asked if sequence in begun]
    assert min(waits) == pytest.approx(TIMING.probe_timeout)
    assert max(waits) >= 4 * TIMING.probe_timeout


def test_health_recovers_with_direct_answers_and_stays_in_its_bounds() -> None:
    other = record_of(1)
    lone = Lone(other)
    for incarnation in range(20):
        lone.now += 1.5
        lone.receive(other, Gossip((StatusUpdate(lone.me.id, incarnation, SUSPECT),)))
    assert lone.figure("health") == MAX_HEALTH
    lone.run(lone.now + 20, answering(other))
    assert lone.figure("health") == 0


def test_the_pace_of_probes_stays_when_health_is_poor() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    lone = Lone(*others)
    for incarnation in range(9):
        lone.now += 1.1
        lone.receive(others[0], Gossip((StatusUpdate(lone.me.id, incarnation, SUSPECT),)))
    start = lone.now
    targets = [send for send in pings(lone.run(start + 30, answering(*others)))]
    assert 29 <= len(targets) <= 31


def test_a_late_tick_drops_probes_and_restarts_suspicions() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    lone = Lone(*others)
    lone.receive(others[1], Gossip((StatusUpdate(others[0].id, 0, SUSPECT),)))
    lone.run(3.0, answering(*others[1:]))
    lone.now = 63.0
    for send in lone.membership.tick(lone.now):
        lone.receive(*(answering(*others[1:])(send) or (others[1], Gossip())))
    assert lone.figure("stalls") == 1 and lone.figure("deaths") == 0
    wait = TIMING.suspicion_multiplier * TIMING.probe_interval
    lone.run(63.0 + wait - 0.1, answering(*others[1:]))
    assert lone.status(others[0]) is SUSPECT
    lone.run(63.0 + wait + 0.6, answering(*others[1:]))
    assert lone.status(others[0]) is DEAD
    assert lone.figure("suspicions") == 0 and lone.figure("zones_silent") == 0


def test_stopped_timers_do_not_pile_up() -> None:
    timers = SuspicionTimers()
    for number in range(10_000):
        timers.start(float(number), number % 3, 5.0)
        timers.stop(number % 3)
    assert len(timers._heap) < 200
    assert timers.next_deadline() == math.inf


# ---- names used again, and strangers ----------------------------------------------------------------


def test_a_new_process_takes_the_name_over_with_the_next_incarnation() -> None:
    other = record_of(1)
    lone = Lone(other, me=record_of(0, process=22))
    lone.receive(other, SyncReply((record_of(0, incarnation=7, process=11),), False))
    assert lone.membership.me == record_of(0, incarnation=8, process=22)
    assert lone.figure("name_conflicts") == 0


def test_two_live_processes_of_one_name_raise_once_a_second_and_are_counted() -> None:
    other = record_of(1)
    one, two = Lone(other, me=record_of(0, process=11)), Lone(other, me=record_of(0, process=22))
    for step in range(200):
        for lone, rival in ((one, two), (two, one)):
            lone.now = 0.05 * step
            lone.membership.tick(lone.now)
            lone.receive(other, Gossip((rival.membership.me,)))
            lone.receive(rival.membership.me, Gossip((rival.membership.me,)))
    assert 5 <= one.membership.me.incarnation <= 22
    assert one.figure("name_conflicts") > 0 and two.figure("name_conflicts") > 0


def test_a_new_process_of_a_known_name_is_told_what_it_has_to_exceed() -> None:
    known, new = record_of(1, incarnation=5, process=11), record_of(1, process=22)
    lone = Lone(known)
    source = ("10.9.9.9", 7777)
    sends = lone.receive(new, SyncRequest(0), source)
    assert Send(source, Gossip((known,)), Priority.MEMBERSHIP) in sends
    lone.receive(new, SyncRequest(0), source)
    told = [send for send in lone.sends if send.message == Gossip((known,))]
    assert len(told) == 1


def test_strangers_get_what_lets_them_join_and_no_more_than_a_bound() -> None:
    lone = Lone(record_of(1))
    stranger = record_of(500)
    kinds = Counter(type(send.message) for send in lone.receive(stranger, SyncRequest(0)))
    assert kinds[SyncReply] == 1 and set(kinds) <= {SyncReply, SyncRequest}
    sends = lone.receive(stranger, Ping(1, lone.me.id))
    assert [send.message for send in sends if isinstance(send.message, Ack)] == [Ack(1)]
    answers: list[Send] = []
    for number in range(1_000):
        answers += lone.receive(record_of(1000 + number), SyncRequest(0))
        answers += lone.receive(record_of(1000 + number), PingRequest(1, record_of(1).id))
    assert len(answers) <= ACKS_PER_SECOND + 2 * PAGES_PER_SECOND
    assert len(lone.membership.members) == 2
    assert lone.figure("strangers") >= 2_000


def test_a_stranger_is_asked_for_its_table() -> None:
    lone = Lone(record_of(1))
    lone.receive(record_of(1), SyncReply((), False))
    stranger = record_of(500)
    sends = lone.receive(stranger, Ping(1, lone.me.id))
    assert [send.destination for send in sends if isinstance(send.message, SyncRequest)] == [stranger.address]
    lone.receive(stranger, SyncReply((stranger,), False))
    assert lone.status(stranger) is ALIVE


# ---- odd values -------------------------------------------------------------------------------------


def test_the_highest_incarnation_neither_overflows_nor_repeats() -> None:
    other = record_of(1)
    lone = Lone(other)
    for status in (SUSPECT, DEAD, LEFT):
        lone.now += 2
        lone.receive(other, Gossip((StatusUpdate(lone.me.id, MAX_INCARNATION, status),)))
    assert lone.membership.me.incarnation == MAX_INCARNATION
    assert lone.figure("incarnations_exhausted") == 2
    for send in lone.run(lone.now + 5, answering(other)):
        send_size(send)
    lone.receive(other, Gossip((replace(other, incarnation=MAX_INCARNATION),)))
    assert lone.membership.members[other.id].record.incarnation == MAX_INCARNATION


@pytest.mark.parametrize(
    "wrong",
    [
        {"name": ""},
        {"name": "n" * 65},
        {"zone": ""},
        {"zone": "z" * 17},
        {"region": ""},
        {"address": ("10.0.0.1", 0)},
        {"address": ("", 7000)},
        {"incarnation": 2**32},
    ],
)
def test_records_that_cannot_be_members_are_refused(wrong: dict[str, Any]) -> None:
    lone = Lone(record_of(1))
    lone.receive(record_of(1), Gossip((replace(record_of(2), **wrong),)))
    assert len(lone.membership.members) == 2
    assert lone.figure("invalid_records") == 1


def test_records_that_claim_to_be_this_member_change_nothing_but_its_incarnation() -> None:
    other = record_of(1)
    lone = Lone(other)
    forged = replace(lone.me, address=("10.66.6.6", 666), zone="b", incarnation=3, process=9)
    lone.receive(other, Gossip((forged, replace(forged, status=DEAD))))
    assert lone.membership.me == replace(lone.me, incarnation=4)
    assert lone.membership.members[lone.me.id].record == lone.membership.me


def test_a_suspect_that_moves_from_a_silent_zone_to_another_has_a_timer() -> None:
    """Found by the test of any messages: no timer ran, so that it stayed suspect for ever."""
    near, far = record_of(1, "near"), record_of(2, "far")
    lone = Lone(near, far)
    lone.run(9.0)
    assert lone.figure("zones_unreachable") == 2 and lone.status(far) is SUSPECT
    lone.receive(near, Gossip((replace(far, zone="new", process=2, status=SUSPECT),)))
    assert far.id in lone.membership._timers


def test_own_datagrams_that_come_back_are_passed_over() -> None:
    lone = Lone(record_of(1))
    assert lone.receive(lone.me, SyncRequest(0)) == []
    assert lone.receive(lone.me, Ping(1, lone.me.id)) == []
    assert lone.figure("name_conflicts") == 0


def check_indexes(membership: Membership) -> None:
    """All that the table keeps beside the records must follow from them."""
    table = membership._table
    digests = [0] * SYNC_BUCKETS
    live, dead = set(), set()
    suspects: dict[str, set[int]] = {}
    for member, entry in table.members.items():
        assert entry.record.id == member
        if entry.status in (ALIVE, SUSPECT):
            digests[member % SYNC_BUCKETS] ^= member_table._digest(member, entry.record)
            if member != table.own_id:
                live.add(member)
                zone = suspects.setdefault(entry.record.zone, set())
                if entry.status is SUSPECT:
                    zone.add(member)
        elif entry.status is DEAD:
            dead.add(member)
    assert table.digests == digests
    assert table._ids == {entry.record.name: member for member, entry in table.members.items()}
    assert set(table.live_ids) == live and set(table.dead_ids) == dead
    assert {zone: set(index.suspects) for zone, index in table.zones.items()} == suspects
    assert [record.id for record in membership.live()] == sorted(live)
    assert sum(len(membership.live(zone)) for zone in suspects) == len(live)
    assert sorted(member for bucket in table._buckets for member in bucket) == sorted(table.members)
    counts = Counter(entry.status for entry in table.members.values())
    assert table.status_counts == {status: counts[status] for status in Status}
    reachable = [zone for zone in suspects if membership._zones.is_reachable(zone)]
    assert set(membership._timers._suspicions) == {member for zone in reachable for member in suspects[zone]}


STATUSES = st.sampled_from(list(Status))
NUMBERS = st.integers(0, 6)
INCARNATIONS = st.sampled_from([0, 1, 2, 3, MAX_INCARNATION - 1, MAX_INCARNATION])
RECORDS = st.builds(
    record_of,
    NUMBERS,
    st.sampled_from(["a", "b", ""]),
    st.just("r"),
    INCARNATIONS,
    STATUSES,
    st.sampled_from([1, 2]),
) | st.builds(lambda record: replace(record, name=""), st.builds(record_of, NUMBERS))
UPDATES = st.tuples() | st.lists(
    RECORDS
    | st.builds(StatusUpdate, NUMBERS.map(lambda n: record_of(n).id), INCARNATIONS, STATUSES)
    | st.builds(ZoneSum, st.sampled_from(["a", ""]), INCARNATIONS, NUMBERS, NUMBERS),
    max_size=4,
).map(tuple)
SEQUENCES = st.integers(0, 2**32 - 1)
TARGETS = NUMBERS.map(lambda n: record_of(n).id)
MESSAGES = (
    st.builds(Ping, SEQUENCES, TARGETS, UPDATES)
    | st.builds(Ack, SEQUENCES, UPDATES)
    | st.builds(Nack, SEQUENCES)
    | st.builds(PingRequest, SEQUENCES, TARGETS, UPDATES)
    | st.builds(Gossip, UPDATES)
    | st.builds(SyncRequest, st.integers(0, 2**64 - 1), st.just(()) | st.just(tuple(range(SYNC_BUCKETS))))
    | st.builds(SyncReply, st.lists(RECORDS, max_size=4).map(tuple), st.booleans())
)


@effort(max_examples=100, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(st.tuples(RECORDS, MESSAGES, st.sampled_from([0.0, 0.01, 0.3, 1.0, 9.0])), max_size=25))
def test_any_messages_leave_the_table_whole(events: list[tuple[MemberRecord, Any, float]]) -> None:
    lone = Lone(record_of(1), record_of(2))
    incarnation = 0
    for sender, message, pause in events:
        lone.run(lone.now + pause)
        lone.receive(sender, message)
        check_indexes(lone.membership)
        assert incarnation <= lone.membership.me.incarnation <= MAX_INCARNATION
        incarnation = lone.membership.me.incarnation
        assert lone.membership.me.name == lone.me.name and lone.membership.me.status is ALIVE
    assert all(send_size(send) <= MAX_DATAGRAM_BYTES for send in lone.sends)


# ---- bounds -----------------------------------------------------------------------------------------


def test_the_table_is_bounded_and_departed_members_give_way(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(member_table, "MAX_MEMBERS", 10)
    others = [record_of(number) for number in range(1, 30)]
    lone = Lone(others[0])
    lone.receive(others[0], Gossip(tuple(others)))
    assert len(lone.membership.members) == 10
    assert lone.figure("table_full") == 20
    departed = StatusUpdate(others[3].id, 0, LEFT), StatusUpdate(others[2].id, 0, DEAD)
    lone.receive(others[0], Gossip(departed))
    lone.receive(others[0], Gossip((others[25], others[26], others[27])))
    assert len(lone.membership.members) == 10
    assert lone.status(others[3]) is None and lone.status(others[2]) is None
    assert lone.status(others[25]) is ALIVE and lone.status(others[27]) is None
    check_indexes(lone.membership)


def test_departed_members_are_forgotten_after_their_time() -> None:
    others = [record_of(number) for number in range(1, 4)]
    lone = Lone(*others)
    lone.receive(others[2], Gossip((StatusUpdate(others[0].id, 0, LEFT),)))
    lone.now = 100.0
    lone.membership.tick(lone.now)
    lone.receive(others[2], Gossip((StatusUpdate(others[1].id, 0, DEAD),)))
    for now, known in ((3_599.0, 4), (3_601.0, 3), (3_699.0, 3), (3_701.0, 2)):
        lone.now = now
        lone.membership.tick(now)
        assert len(lone.membership.members) == known
    check_indexes(lone.membership)


def test_departed_members_that_are_unknown_stay_so_when_tables_are_compared() -> None:
    other = record_of(1)
    lone = Lone(other)
    lone.receive(other, SyncReply((record_of(2, status=DEAD), record_of(3, status=LEFT)), False))
    assert len(lone.membership.members) == 2


def test_tables_that_forgot_at_different_times_have_the_same_digest() -> None:
    one, two = MemberTable(record_of(0)), MemberTable(record_of(0))
    for table in (one, two):
        for number in range(1, 40):
            table.store(1.0, record_of(number).id, record_of(number))
    two.store(2.0, record_of(5).id, record_of(5, status=SUSPECT))
    assert one.differing_buckets(two.digests) == []
    two.store(2.0, record_of(5).id, record_of(5, status=DEAD))
    assert one.differing_buckets(two.digests) == [record_of(5).id % SYNC_BUCKETS]
    one.store(2.0, record_of(5).id, record_of(5, status=DEAD))
    one.remove(record_of(5).id)
    assert one.differing_buckets(two.digests) == []


def test_broadcasts_go_out_least_sent_first_and_so_often() -> None:
    queue = BroadcastQueue(3.0)
    first = [StatusUpdate(member, 0, SUSPECT) for member in range(40)]
    for update in first:
        queue.add(update.member, update)
    room = 20 * update_size(first[0])
    assert queue.take(room, 100) == tuple(first[:20])
    assert queue.take(room, 100) == tuple(first[20:])
    late = StatusUpdate(99, 0, SUSPECT)
    queue.add(late.member, late)
    assert queue.take(room, 100) == (late, *first[:19])
    sent = Counter({late: 1, **dict.fromkeys(first, 1)}) + Counter(first[:19])
    while taken := queue.take(room, 100):
        sent += Counter(taken)
    limit = math.ceil(3.0 * math.log10(101))
    assert set(sent.values()) == {limit}


def test_only_the_newest_update_of_a_member_or_zone_waits() -> None:
    queue = BroadcastQueue(3.0)
    queue.add(record_of(1).id, record_of(1))
    queue.add(record_of(1).id, StatusUpdate(record_of(1).id, 0, DEAD))
    queue.add("a", ZoneSum("a", 1, 1, 1))
    queue.add("a", ZoneSum("a", 2, 1, 1))
    assert queue.take(1_000, 10) == (StatusUpdate(record_of(1).id, 0, DEAD), ZoneSum("a", 2, 1, 1))


def test_the_broadcast_queue_is_bounded_and_keeps_the_news() -> None:
    queue = BroadcastQueue(3.0)
    for member in range(MAX_QUEUED):
        queue.add(member, StatusUpdate(member, 0, SUSPECT))
    often = queue.take(RECORDS_ROOM_BYTES, 100)
    queue.add(10**6, StatusUpdate(10**6, 0, SUSPECT))
    assert len(queue) == MAX_QUEUED and queue.dropped == 1
    waiting = {broadcast.update for broadcast in queue._broadcasts.values()}
    assert StatusUpdate(10**6, 0, SUSPECT) in waiting
    assert often[0] not in waiting


def test_messages_fit_a_datagram_with_the_longest_names() -> None:
    others = [
        MemberRecord(f"{number:064}", (f"fd00::{number}", 1), "r" * 16, "z" * 16, Role.PROXY, 0, 1)
        for number in range(1, 200)
    ]
    lone = Lone(*others)
    lone.receive(others[0], SyncRequest(0))
    lone.receive(others[0], SyncRequest(0, tuple(range(SYNC_BUCKETS))))
    lone.receive(others[0], Gossip(tuple(StatusUpdate(record.id, 0, SUSPECT) for record in others[1:])))
    lone.receive(others[0], Ping(1, lone.me.id))
    lone.receive(others[1], Ping(1, lone.me.id))
    lone.run(10.0, answering(*others[:50]))
    sizes = [send_size(send) for send in lone.sends]
    assert 1_000 < max(sizes) <= MAX_DATAGRAM_BYTES


def test_priorities_of_what_is_sent() -> None:
    fleet = fleet_of(12, settle=0.0)
    fleet.log = []
    fleet.run(15.0)
    found = {(type(send.message), send.priority) for _, _, send in fleet.log}
    assert found == {
        (Ping, Priority.PROBE),
        (Ack, Priority.PROBE),
        (Gossip, Priority.MEMBERSHIP),
        (SyncRequest, Priority.BULK),
        (SyncReply, Priority.BULK),
    }


def test_reads_are_cached_until_something_changes() -> None:
    others = [record_of(number, "ab"[number % 2]) for number in range(1, 9)]
    lone = Lone(*others)
    live, zone = lone.membership.live(), lone.membership.live("a")
    lone.run(1.0, answering(*others))
    assert lone.membership.live() is live and lone.membership.live("a") is zone
    lone.receive(others[0], Gossip((StatusUpdate(others[2].id, 0, LEFT),)))
    assert lone.membership.live("a") is zone  # the other zone's
    remaining = [record.id for record in others if record != others[2]]
    assert [record.id for record in lone.membership.live()] == sorted(remaining)
    assert lone.membership.live("nowhere") == ()


def test_samples_are_different_live_members_and_rather_not_suspects() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 9)]
    lone = Lone(*others)
    gone = StatusUpdate(others[1].id, 0, SUSPECT), StatusUpdate(others[2].id, 0, DEAD)
    lone.receive(others[0], Gossip(gone))
    for _ in range(50):
        names = [record.name for record in lone.membership.sample(4)]
        assert len(names) == len(set(names)) > 0
        assert not {others[1].name, others[2].name, lone.me.name} & set(names)
    assert Lone().membership.sample(3) == []


def test_updates_of_other_parts_are_handed_over_and_bounded() -> None:
    other = record_of(1)
    lone = Lone(other)
    lone.receive(other, Gossip(tuple(ZoneSum("a", number, 1, 1) for number in range(1_000))))
    received = lone.membership.take_received()
    assert received[0] == ZoneSum("a", 0, 1, 1) and len(received) == 256
    assert lone.membership.take_received() == []
    lone.membership.broadcast(ZoneSum("a", 7, 1, 1))
    gossip = [send.message for send in lone.run(1.0, answering(other)) if isinstance(send.message, Gossip)]
    assert any(ZoneSum("a", 7, 1, 1) in message.updates for message in gossip)


# ---- joining and table comparison -------------------------------------------------------------------


def test_seeds_are_asked_each_second_while_nobody_is_known() -> None:
    seeds = tuple(record_of(number).address for number in range(100, 105))
    lone = Lone(seeds=(*seeds, record_of(0).address))
    assert {send.message for send in lone.sends} == {SyncRequest(0)}
    requests = lone.run(100.0)
    assert {send.destination for send in requests} == set(seeds)
    assert 80 * 3 <= len(requests) <= 125 * 3


def test_a_seed_that_is_not_a_live_member_is_asked_now_and_then() -> None:
    other, seed = record_of(1), record_of(2)
    lone = Lone(other, seeds=(seed.address,))
    asked = [send for send in lone.run(300.0, answering(other)) if send.destination == seed.address]
    asked = [send for send in asked if isinstance(send.message, SyncRequest) and send.message.digests]
    assert 8 <= len(asked) <= 13
    lone.receive(other, Gossip((seed,)))
    later = [send for send in lone.run(600.0, answering(other, seed)) if send.destination == seed.address]
    requests = [send for send in later if isinstance(send.message, SyncRequest)]
    assert len(requests) <= 25  # as any other member


def test_pages_are_in_the_order_of_ids_and_a_repeated_one_moves_nothing() -> None:
    others = sorted((record_of(number) for number in range(1, 100)), key=lambda record: record.id)
    seed = record_of(200)
    lone = Lone(seeds=(seed.address,))
    first = SyncReply(tuple(others[:20]), True)
    sends = lone.receive(seed, first)
    request = next(send.message for send in sends if isinstance(send.message, SyncRequest))
    assert request == SyncRequest(others[19].id)
    again = [send.message for send in lone.receive(seed, first)]
    assert request not in again
    assert len(lone.membership.live()) == 20


def test_a_page_that_does_not_come_is_asked_of_somebody_else_and_given_up_in_the_end() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 40)]
    others.sort(key=lambda record: record.id)
    seed = record_of(200)
    lone = Lone(seeds=(seed.address,))
    lone.receive(seed, SyncReply(tuple(others), True))
    acks = answering(*others)
    sends = lone.run(10.0, lambda send: acks(send) if isinstance(send.message, Ping) else None)
    retries = [send for send in sends if send.message == SyncRequest(others[-1].id)]
    assert len(retries) == table_sync.PAGE_TRIES - 1
    assert len({send.destination for send in retries}) > 1
    assert lone.figure("syncs_given_up") >= 1


def test_only_buckets_that_differ_travel() -> None:
    others = [record_of(number) for number in range(1, 200)]
    lone = Lone(*others)
    twin = MemberTable(lone.me)
    for record in others:
        twin.store(0.0, record.id, record)
    reply = lone.receive(others[0], SyncRequest(0, tuple(twin.digests)))[-1].message
    assert reply == SyncReply((), False)
    changed = replace(others[7], incarnation=1)
    twin.store(0.0, changed.id, changed)
    reply = lone.receive(others[0], SyncRequest(0, tuple(twin.digests)))[-1].message
    assert {record.id % SYNC_BUCKETS for record in reply.records} == {changed.id % SYNC_BUCKETS}


def test_suspicions_do_not_travel_with_tables() -> None:
    others = [record_of(number) for number in range(1, 5)]
    lone = Lone(*others)
    lone.receive(others[0], Gossip((StatusUpdate(others[1].id, 0, SUSPECT),)))
    sends = lone.receive(others[0], SyncRequest(0))
    reply = next(send.message for send in sends if isinstance(send.message, SyncReply))
    assert {record.status for record in reply.records} == {ALIVE}


def test_a_fleet_that_starts_at_once_becomes_whole() -> None:
    fleet = fleet_of(60, settle=0.0, through_codec=True)
    assert fleet.run_until_whole(20.0) <= 15.0
    assert fleet.figure("name_conflicts") == 0 and fleet.figure("deaths") == 0


def test_a_late_joiner_reads_pages_of_different_members_and_is_soon_known() -> None:
    fleet = fleet_of(45)
    fleet.replies.clear()
    late = record_of(999, "z1")
    joined = fleet.add(late, (record_of(0).address,))
    took = fleet.run_until_whole(8.0)
    assert took <= 5.0
    assert len({sender for sender, receiver in fleet.replies if receiver == joined.address}) > 1


def test_parts_that_never_met_find_each_other_by_the_seeds() -> None:
    fleet = Fleet(3)
    fleet.is_cut = cut_regions
    seeds = (record_of(0).address, record_of(1).address)
    for number in range(20):
        fleet.add(record_of(number, f"z{number % 4}", f"r{number % 2}"), seeds)
    fleet.run(20.0)
    assert {len(host.membership.live()) for host in fleet.hosts} == {9}
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(60.0)


# ---- fleets through trouble -------------------------------------------------------------------------


def test_a_crash_is_known_everywhere_in_time() -> None:
    fleet = fleet_of(30)
    gone = fleet.hosts[7]
    fleet.crash(gone)
    crashed = fleet.now
    bound = TIMING.suspicion_multiplier * math.log10(30) * TIMING.probe_interval
    fleet.run(crashed + bound - 0.5)
    assert fleet.statuses(gone.membership.me)[DEAD] == 0
    fleet.run(crashed + bound + 5.0)
    assert set(fleet.statuses(gone.membership.me)) == {DEAD}
    assert fleet.figure("dead") == 29


def test_a_leaving_member_is_gone_at_once_and_does_not_object() -> None:
    fleet = fleet_of(30)
    leaver = fleet.hosts[3]
    fleet._send(leaver, leaver.membership.leave(fleet.now))
    fleet.run(fleet.now + 3.0)
    assert set(fleet.statuses(leaver.membership.me)) == {LEFT}
    assert leaver.membership.me.incarnation == 0
    fleet.crash(leaver)
    fleet.run(fleet.now + 15.0)
    assert set(fleet.statuses(leaver.membership.me)) == {LEFT}


@pytest.mark.parametrize("seed", [1, 2])
def test_loss_doubling_and_reordering_kill_nobody(seed: int) -> None:
    fleet = fleet_of(30, seed=seed, loss=0.15, double=0.2, delay=(0.001, 0.15), through_codec=True)
    fleet.run(40.0)
    assert fleet.figure("deaths") == 0
    fleet.loss = 0.0
    fleet.run_until_whole(15.0)


@pytest.mark.parametrize("count, zones, crashes", [(30, 5, 2), (60, 12, 3)])
def test_crashes_in_a_zone_are_dead_members_and_no_silent_zone(count: int, zones: int, crashes: int) -> None:
    """Also where most members hear nothing of so small a zone for seconds by chance."""
    fleet = fleet_of(count, zones=zones)
    fleet.changes.clear()
    gone = [host for host in fleet.hosts if host.membership.me.zone == "z3"][:crashes]
    for host in gone:
        fleet.crash(host)
    fleet.run(fleet.now + 25.0)  # with a comparison of tables at each: a broadcast may miss one
    for host in gone:
        assert fleet.statuses(host.membership.me) == {DEAD: count - crashes}
    assert not [change for _, _, change in fleet.changes if isinstance(change, ZoneReachability)]


def cut_and_heal(fleet: Fleet, seconds: float = 120.0) -> tuple[int, int]:
    """Regions are cut and healed: how many updates were queued to be broadcast, and incarnations raised,
    after the healing."""
    fleet.is_cut = cut_regions
    fleet.run(fleet.now + seconds)
    queued, raised = fleet.figure("broadcasts_queued"), fleet.figure("incarnation")
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(60.0)
    fleet.run(fleet.now + 20.0)
    assert fleet.is_whole()
    return fleet.figure("broadcasts_queued") - queued, fleet.figure("incarnation") - raised


@pytest.mark.parametrize("seed, seconds", [(1, 120.0), (2, 30.0), (3, 30.0)])
def test_a_cut_of_regions_kills_nobody_and_its_healing_makes_no_wave(seed: int, seconds: float) -> None:
    fleet = fleet_of(30, seed=seed, zones=6, loss=0.01)
    fleet.changes.clear()
    start = fleet.now
    queued, raised = cut_and_heal(fleet, seconds)
    assert fleet.figure("deaths") == 0
    assert raised <= 2 and queued <= 2 * len(fleet.hosts)
    zones = [(host, c) for _, host, c in fleet.changes if isinstance(c, ZoneReachability)]
    for host in fleet.hosts:
        other = "r1" if host.membership.me.region == "r0" else "r0"
        far = {"z1", "z3", "z5"} if other == "r1" else {"z0", "z2", "z4"}
        mine = [c for h, c in zones if h is host]
        assert {c.zone for c in mine if not c.reachable} == far
        assert {c.zone for c in mine if c.reachable} == far
        assert host.membership.figures()["zones_unreachable"] == 0
    told = [when for when, _, c in fleet.changes if isinstance(c, ZoneReachability) and not c.reachable]
    assert max(told) - start < 25.0  # one that no suspicion reached finds out in its own round of probes


def test_the_same_check_finds_a_wave_without_the_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ZoneSilence, "_is_silent", lambda *_: False)
    fleet = fleet_of(30, seed=1, zones=6)
    queued, raised = cut_and_heal(fleet, 30.0)
    assert fleet.figure("deaths") > 0
    assert raised > len(fleet.hosts) / 2 and queued > 10 * len(fleet.hosts)


def test_a_short_cut_leaves_nothing_behind() -> None:
    fleet = fleet_of(36, zones=6)
    _, raised = cut_and_heal(fleet, 5.0)
    assert fleet.figure("deaths") == 0
    assert raised <= len(fleet.hosts) / 2


def test_one_that_joins_during_a_cut_does_not_kill_the_other_side() -> None:
    fleet = fleet_of(30)
    fleet.is_cut = cut_regions
    fleet.run(fleet.now + 20.0)
    fleet.add(record_of(999, "z0", "r0"), (record_of(0).address,))
    fleet.run(fleet.now + 40.0)
    for host in fleet.hosts[:30]:
        assert host.membership.figures()["dead"] == 0
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(60.0)


def test_a_member_of_a_silent_zone_stays_suspect_whoever_declares_it_dead() -> None:
    near = [record_of(number, "near") for number in range(1, 4)]
    far = [record_of(number, "far") for number in range(4, 8)]
    lone = Lone(*near, *far, me=record_of(0, "near"))
    lone.run(15.0, answering(*near))
    assert ZoneReachability("far", False) in lone.membership.take_changes()
    assert lone.figure("zones_silent") == 1
    assert lone.figure("dead") == 0
    queued = lone.figure("broadcasts_queued")
    lone.receive(near[0], Gossip(tuple(StatusUpdate(record.id, 0, DEAD) for record in far)))
    assert [lone.status(record) for record in far] == [SUSPECT] * 4
    assert lone.figure("broadcasts_queued") == queued
    lone.membership.take_changes()
    lone.receive(far[0], Gossip())
    assert lone.membership.take_changes()[0] == ZoneReachability("far", True)
    assert [lone.status(record) for record in far] == [ALIVE] * 4
    assert lone.figure("broadcasts_queued") == queued


def test_a_member_that_is_cut_off_declares_nobody_dead() -> None:
    fleet = fleet_of(30, zones=5)
    alone = fleet.hosts[6]
    others = alone.membership.live()
    fleet.is_cut = lambda sender, receiver: alone.membership.me.id in (sender.id, receiver.id)
    fleet.changes.clear()
    fleet.run(fleet.now + 60.0)
    assert alone.membership.figures()["deaths"] == 0
    assert alone.membership.figures()["zones_unreachable"] == len({record.zone for record in others})
    before = alone.membership.figures()["broadcasts_queued"]
    assert set(fleet.statuses(alone.membership.me)) == {DEAD}
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(60.0)
    fleet.run(fleet.now + 10)
    assert fleet.figure("dead") == 0
    assert alone.membership.me.incarnation == 1
    assert alone.membership.figures()["broadcasts_queued"] - before <= 10


def test_a_stopped_process_goes_on_without_harm() -> None:
    fleet = fleet_of(30, zones=5)
    sleeper = fleet.hosts[9]
    fleet.stop(sleeper)
    fleet.run(fleet.now + 60.0)
    assert set(fleet.statuses(sleeper.membership.me)) == {DEAD}
    fleet.go_on(sleeper)
    fleet.run_until_whole(20.0)
    fleet.run(fleet.now + 20.0)
    assert sleeper.membership.figures()["deaths"] == 0
    assert sleeper.membership.figures()["stalls"] == 1
    assert sum(host.membership.me.incarnation for host in fleet.hosts if host is not sleeper) == 0


def test_both_parts_of_a_cut_find_their_dead_again() -> None:
    """Each member is a zone of its own, so that a cut does look like dead members."""
    fleet = fleet_of(24, zones=24)
    fleet.is_cut = cut_regions
    fleet.run(fleet.now + 100.0)
    assert fleet.figure("dead") >= 24 * 11
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(60.0)


def test_the_dead_are_tried_one_at_a_time() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 30)]
    lone = Lone(*others)
    dead = others[3:]
    lone.receive(others[0], Gossip(tuple(StatusUpdate(record.id, 0, DEAD) for record in dead)))
    addresses = {record.address for record in dead}
    tries = [send for send in lone.run(100.0, answering(*others[:3])) if send.destination in addresses]
    assert 45 <= len(tries) <= 51
    assert len({send.destination for send in tries}) > 10
    assert all(
        isinstance(update, MemberRecord) and update.status is DEAD
        for send in tries
        for update in send.message.updates[:1]
    )


def test_a_cut_between_two_regions_is_bridged_by_a_third() -> None:
    fleet = fleet_of(36, zones=6, regions=3)
    pair = {"r0", "r1"}
    fleet.is_cut = lambda sender, receiver: {sender.region, receiver.region} == pair
    fleet.run(fleet.now + 60.0)
    assert fleet.figure("deaths") == 0
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(30.0)


def test_a_restart_under_the_same_name_at_another_address() -> None:
    fleet = fleet_of(30)
    old = fleet.hosts[4]
    fleet.crash(old)
    fleet.run(fleet.now + 1.0)
    new = replace(old.membership.me, address=("10.8.8.8", 7000), process=4711)
    host = fleet.add(new, (record_of(0).address, record_of(1).address))
    fleet.run_until_whole(20.0)
    assert host.membership.me.incarnation == 1
    assert host.membership.figures()["name_conflicts"] == 0


def test_an_address_used_again_by_another_name() -> None:
    fleet = fleet_of(30, zones=3)
    old = fleet.hosts[4]
    fleet.crash(old)
    new = replace(record_of(777, "z0"), address=old.address)
    host = fleet.add(new, (record_of(0).address, record_of(1).address))
    fleet.run(fleet.now + 20.0)
    assert set(fleet.statuses(old.membership.me)) == {DEAD}
    assert set(fleet.statuses(new)) == {ALIVE}
    assert host.membership.figures()["misaddressed_pings"] > 0


def test_two_live_processes_of_one_name_in_a_fleet_do_not_shake_it() -> None:
    fleet = fleet_of(30)
    first = fleet.hosts[4]
    twin = replace(first.membership.me, address=("10.8.8.8", 7000), process=4711)
    second = fleet.add(twin, (record_of(0).address, record_of(1).address))
    fleet.run(fleet.now + 30.0)
    assert max(first.membership.me.incarnation, second.membership.me.incarnation) <= 62
    assert first.membership.figures()["name_conflicts"] + second.membership.figures()["name_conflicts"] > 0
    assert sum(h.membership.me.incarnation for h in fleet.hosts if h not in (first, second)) == 0


def test_one_seed_gives_one_history() -> None:
    logs = []
    for _ in range(2):
        fleet = Fleet(9, loss=0.1)
        fleet.log = []
        for number in range(15):
            fleet.add(record_of(number, f"z{number % 3}"), (record_of(0).address,))
        fleet.run(20.0)
        logs.append(fleet.log)
    assert len(logs[0]) > 500 and logs[0] == logs[1]


def test_a_quiet_fleet_sends_a_constant_amount() -> None:
    """Datagrams of one member and second: a Ping, an Ack, and now and then a comparison of tables."""
    rates = []
    for count in (10, 40):
        fleet = fleet_of(count, settle=20.0)
        fleet.log = []
        fleet.run(fleet.now + 10.0)
        rates.append(len(fleet.log) / count / 10)
    assert all(2.0 <= rate <= 2.5 for rate in rates)
