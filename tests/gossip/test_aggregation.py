"""Gossip aggregation: sums of a zone's connections over a tree of its proxies."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from saltcourse.gossip.aggregation import (
    CHILD_INTERVALS,
    FAN_IN,
    MAX_U32,
    MAX_ZONES,
    SUM_LIFETIME_SECONDS,
    Aggregation,
)
from saltcourse.gossip.messages import (
    Gossip,
    Header,
    MemberRecord,
    Priority,
    Role,
    Send,
    Status,
    Tally,
    ZoneSum,
)
from saltcourse.gossip.settings import Timing

TIMING = Timing(sum_interval=0.0)  # a sum with each tally, unless a test says otherwise


def record_of(number: int, role: Role = Role.PROXY, zone: str = "a") -> MemberRecord:
    address = (f"10.0.{number >> 8}.{number & 255}", 7000)
    return MemberRecord(f"member-{number}", address, "r", zone, role, 0, 1)


def aggregation_of(seed: int = 1) -> Aggregation:
    return Aggregation(TIMING, random.Random(seed))


class Zone:
    """All members of a zone, in steps of one interval; what is sent arrives at once."""

    def __init__(self, proxies: int, controls: int = 0):
        self.now = 0.0
        self.records = [record_of(number) for number in range(proxies)]
        self.records += [record_of(1_000 + number, Role.CONTROL) for number in range(controls)]
        self.parts = {record.address: aggregation_of(seed) for seed, record in enumerate(self.records)}
        self.counts = {record.address: 10 + number for number, record in enumerate(self.records)}
        self.sent: list[tuple[MemberRecord, Send]] = []
        self.published: list[tuple[MemberRecord, ZoneSum]] = []

    def remove(self, record: MemberRecord) -> None:
        self.records.remove(record)
        del self.parts[record.address]

    def add(self, record: MemberRecord) -> None:
        self.records.append(record)
        self.parts[record.address] = aggregation_of(99)
        self.counts[record.address] = 5

    def root(self) -> MemberRecord:
        return min((r for r in self.records if r.role is Role.PROXY), key=lambda record: record.id)

    def run(self, intervals: int) -> None:
        """Members tick in their own order, so that a tally may need an interval for each level."""
        for _ in range(intervals):
            self.now += 1.2 * TIMING.tally_interval
            for record in list(self.records):
                self._tick(record)

    def _tick(self, record: MemberRecord) -> None:
        part = self.parts[record.address]
        part.set_count(self.counts[record.address])
        others = [other for other in self.records if other is not record]
        others.sort(key=lambda other: other.id)
        sends, update = part.tick(self.now, record, tuple(others))
        for send in sends:
            self.sent.append((record, send))
            self._deliver(record, send)
        if update is not None:
            self.published.append((record, update))
            self._spread(record, update)

    def _deliver(self, sender: MemberRecord, send: Send) -> None:
        part = self.parts.get(send.destination)
        if part is None:
            return
        if isinstance(send.message, Tally):
            part.handle(self.now, Header(sender.id, 0, 1), send.message)
        elif isinstance(send.message, Gossip):
            for update in send.message.updates:
                assert isinstance(update, ZoneSum)
                part.receive(self.now, update)

    def _spread(self, publisher: MemberRecord, update: ZoneSum) -> None:
        for record in self.records:
            if record is not publisher:
                self.parts[record.address].receive(self.now, update)

    def wanted(self) -> tuple[int, int]:
        proxies = [record for record in self.records if record.role is Role.PROXY]
        return len(proxies), sum(self.counts[record.address] for record in proxies)

    def seen(self) -> set[tuple[int, int]]:
        """(members, connections) by all who know a sum of the zone."""
        sums = [part.sums(self.now).get("a") for part in self.parts.values()]
        return {(known.members, known.connections) for known in sums if known is not None}


@pytest.mark.parametrize("proxies", [1, 2, 8, 9, 10, 73, 74])
def test_everyone_learns_the_sum_of_the_zone(proxies: int) -> None:
    zone = Zone(proxies, controls=2)
    zone.run(5)
    assert zone.seen() == {zone.wanted()}
    assert {record for record, _ in zone.published} == {zone.root()}


def test_control_members_take_no_place_and_send_nothing() -> None:
    zone = Zone(20, controls=5)
    zone.run(5)
    assert all(record.role is Role.PROXY for record, _ in zone.sent)
    controls = {record.address for record in zone.records if record.role is Role.CONTROL}
    assert not controls & {send.destination for _, send in zone.sent}


def test_one_message_each_interval_and_a_bounded_number_received() -> None:
    zone = Zone(200)
    zone.run(1)
    zone.sent.clear()
    zone.run(1)
    senders = [record.name for record, _ in zone.sent]
    received: dict[tuple[str, int], int] = {}
    for _, send in zone.sent:
        received[send.destination] = received.get(send.destination, 0) + 1
    assert len(senders) == len(set(senders)) == 199
    assert max(received.values()) == FAN_IN
    assert {send.priority for _, send in zone.sent} == {Priority.MEMBERSHIP}


def test_the_parent_is_by_the_order_of_ids() -> None:
    zone = Zone(100)
    zone.run(1)
    ordered = sorted(zone.records, key=lambda record: record.id)
    destinations = {record.name: send.destination for record, send in zone.sent}
    for index, record in enumerate(ordered):
        expected = None if index == 0 else ordered[(index - 1) // FAN_IN].address
        assert destinations.get(record.name) == expected


def test_nothing_is_sent_before_the_interval_is_over() -> None:
    part, me, other = aggregation_of(), record_of(1), record_of(2)
    sends, update = part.tick(0.0, me, (other,))
    assert bool(sends) != (update is not None)
    assert part.tick(0.5 * TIMING.tally_interval, me, (other,)) == ([], None)
    assert 0.9 * TIMING.tally_interval <= part.next_deadline() <= 1.1 * TIMING.tally_interval


def test_counts_change_and_the_sum_follows() -> None:
    zone = Zone(30)
    zone.run(4)
    zone.counts[zone.records[7].address] = 5_000
    zone.run(4)
    assert zone.seen() == {zone.wanted()}


def test_a_child_that_falls_silent_falls_out_although_the_table_still_has_it() -> None:
    zone = Zone(5)
    root = zone.root()
    zone.run(3)
    members = tuple(sorted((r for r in zone.records if r is not root), key=lambda record: record.id))
    part = zone.parts[root.address]
    part.handle(zone.now, Header(members[0].id, 0, 1), Tally("a", 1, 1))
    before = part.tick(zone.now + 1.2, root, members)[1]
    after = part.tick(zone.now + 1.2 + CHILD_INTERVALS * TIMING.tally_interval, root, members)[1]
    assert before is not None and before.members == 5
    assert after is not None and after.members == 1


def test_a_member_that_is_gone_is_not_counted_any_more() -> None:
    zone = Zone(100)
    zone.run(4)
    zone.remove(sorted(zone.records, key=lambda record: record.id)[3])
    zone.run(CHILD_INTERVALS + 4)
    assert zone.seen() == {zone.wanted()}


def test_tallies_of_others_than_children_are_passed_over() -> None:
    zone = Zone(100)
    zone.run(4)
    root = zone.parts[zone.root().address]
    ordered = sorted(zone.records, key=lambda record: record.id)
    root.handle(zone.now, Header(ordered[50].id, 0, 1), Tally("a", 50, 1_000_000))
    root.handle(zone.now, Header(12345, 0, 1), Tally("a", 50, 1_000_000))
    root.handle(zone.now, Header(ordered[1].id, 0, 1), Tally("another zone", 50, 1_000_000))
    zone.run(1)
    assert zone.seen() == {zone.wanted()}


def test_sequences_rise_by_one_from_the_newest_known() -> None:
    zone = Zone(3)
    zone.run(3)
    assert [update.sequence for _, update in zone.published] == [1, 2, 3]
    zone.parts[zone.root().address].receive(zone.now, ZoneSum("a", 40, 1, 1))
    zone.run(1)
    assert zone.published[-1][1].sequence == 41


def test_a_new_root_learns_from_its_children_where_to_go_on() -> None:
    zone = Zone(20)
    zone.run(10)
    number = next(n for n in range(1_000, 9_000) if record_of(n).id < zone.root().id)
    new = record_of(number)
    zone.add(new)
    zone.run(5)
    assert zone.root() is new
    assert zone.published[-1][0] is new and zone.published[-1][1].sequence > 10
    assert zone.seen() == {zone.wanted()}


def test_the_next_in_order_goes_on_when_the_root_is_gone() -> None:
    zone = Zone(20)
    zone.run(10)
    zone.remove(zone.root())
    zone.run(CHILD_INTERVALS + 3)
    assert zone.published[-1][1].sequence > 10
    assert zone.seen() == {zone.wanted()}


def test_older_and_repeated_sums_are_not_passed_on() -> None:
    part = aggregation_of()
    assert part.receive(0.0, ZoneSum("b", 5, 1, 10))
    assert not part.receive(0.0, ZoneSum("b", 5, 1, 10))
    assert not part.receive(0.0, ZoneSum("b", 4, 1, 99))
    assert part.receive(0.0, ZoneSum("b", 6, 1, 11))
    assert part.sums(0.0) == {"b": ZoneSum("b", 6, 1, 11)}


def test_sums_that_are_not_renewed_are_not_reported() -> None:
    part = aggregation_of()
    part.receive(0.0, ZoneSum("b", 5, 1, 10))
    part.receive(10.0, ZoneSum("c", 1, 1, 1))
    part.receive(20.0, ZoneSum("b", 6, 1, 10))
    assert set(part.sums(20.0 + SUM_LIFETIME_SECONDS - 0.1)) == {"b"}
    assert part.sums(20.0 + SUM_LIFETIME_SECONDS) == {}
    assert part.receive(60.0, ZoneSum("b", 1, 1, 1))  # its root began anew


def test_the_highest_sequence_is_waited_out() -> None:
    part, me = aggregation_of(), record_of(1)
    part.receive(0.0, ZoneSum("a", MAX_U32, 1, 1))
    assert part.tick(1.0, me, ()) == ([], None)
    _, update = part.tick(SUM_LIFETIME_SECONDS + 1.0, me, ())
    assert update == ZoneSum("a", 1, 1, 0)


def test_zones_are_bounded() -> None:
    part = aggregation_of()
    taken = [part.receive(0.0, ZoneSum(f"z{number}", 1, 1, 1)) for number in range(MAX_ZONES + 50)]
    assert sum(taken) == MAX_ZONES == len(part.sums(0.0))
    assert part.receive(0.0, ZoneSum("z3", 2, 1, 1))
    assert part.receive(SUM_LIFETIME_SECONDS, ZoneSum("another", 1, 1, 1))


def test_a_member_that_has_left_sends_nothing() -> None:
    part, me = aggregation_of(), replace(record_of(1), status=Status.LEFT)
    assert part.tick(1.0, me, (record_of(2),)) == ([], None)


@pytest.mark.parametrize("connections, counted", [(-5, 0), (7, 7), (2**40, MAX_U32)])
def test_counts_stay_within_their_fields(connections: int, counted: int) -> None:
    part = aggregation_of()
    part.set_count(connections)
    _, update = part.tick(0.0, record_of(1), ())
    assert update is not None and update.connections == counted


def test_sums_of_children_stay_within_their_fields() -> None:
    ordered = sorted((record_of(number) for number in range(5)), key=lambda record: record.id)
    part = aggregation_of()
    part.tick(0.0, ordered[0], tuple(ordered[1:]))
    for child in ordered[1:]:
        part.handle(1.0, Header(child.id, 0, 1), Tally("a", MAX_U32, MAX_U32))
    _, update = part.tick(2.0, ordered[0], tuple(ordered[1:]))
    assert update is not None and (update.members, update.connections) == (MAX_U32, MAX_U32)


def test_the_zone_is_looked_through_only_when_it_has_changed() -> None:
    """A stand-in for the sequence that ``Membership.live`` gives: the same object until something changes."""

    class Counted(tuple[MemberRecord, ...]):
        looks = 0

        def __iter__(self):  # type: ignore[no-untyped-def]
            Counted.looks += 1
            return super().__iter__()

    members = Counted(record_of(number) for number in range(2, 90))
    Counted.looks = 0
    part = aggregation_of()
    for step in range(50):
        part.tick(1.2 * step, record_of(1), members)
    assert Counted.looks == 1


@effort(max_examples=25, deadline=None)
@given(st.integers(1, 30), st.lists(st.tuples(st.integers(0, 80), st.booleans()), max_size=12))
def test_the_sum_is_right_again_after_any_changes(proxies: int, changes: list[tuple[int, bool]]) -> None:
    zone = Zone(proxies)
    zone.run(2)
    for number, is_new in changes:
        record = record_of(2_000 + number)
        if is_new and record.address not in zone.parts:
            zone.add(record)
        elif not is_new and len(zone.records) > 1:
            zone.remove(zone.records[number % len(zone.records)])
        zone.run(1)
    zone.run(CHILD_INTERVALS + 6)
    assert zone.seen() == {zone.wanted()}


def test_the_root_sends_the_sum_once_in_each_sum_interval() -> None:
    """Tallies come more often than that; a sum goes to the whole fleet and is passed on many times."""
    timing = Timing()
    part = Aggregation(timing, random.Random(1))
    me = MemberRecord("root", ("10.0.0.1", 1), "north", "n1", Role.PROXY, 0, 1)
    times = [number * timing.tally_interval for number in range(60)]
    sends = [now for now in times if part.tick(now, me, ())[1] is not None]
    assert len(sends) == pytest.approx(60 * timing.tally_interval / timing.sum_interval, abs=1)
