"""Aggregation of a zone's connection count over a tree of its proxies."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from saltcourse.gossip.aggregation import (
    CHILD_TIMEOUT_INTERVALS,
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

TIMING = Timing(sum_interval=0.0)  # broadcast a sum with each tally, unless a test uses another value


def record_of(number: int, role: Role = Role.PROXY, zone: str = "a") -> MemberRecord:
    address = (f"10.0.{number >> 8}.{number & 255}", 7000)
    return MemberRecord(f"member-{number}", address, "r", zone, role, 0, 1)


def aggregation_of(seed: int = 1) -> Aggregation:
    return Aggregation(TIMING, random.Random(seed))


class Zone:
    """All members of a zone, run in steps of one interval. Messages are delivered immediately."""

    def __init__(self, proxies: int, controls: int = 0):
        self.now = 0.0
        self.records = [record_of(number) for number in range(proxies)]
        self.records += [record_of(1_000 + number, Role.CONTROL) for number in range(controls)]
        self.aggregations = {record.address: aggregation_of(seed) for seed, record in enumerate(self.records)}
        self.counts = {record.address: 10 + number for number, record in enumerate(self.records)}
        self.sent: list[tuple[MemberRecord, Send]] = []
        self.broadcasts: list[tuple[MemberRecord, ZoneSum]] = []

    def remove(self, record: MemberRecord) -> None:
        self.records.remove(record)
        del self.aggregations[record.address]

    def add(self, record: MemberRecord) -> None:
        self.records.append(record)
        self.aggregations[record.address] = aggregation_of(99)
        self.counts[record.address] = 5

    def root(self) -> MemberRecord:
        return min((r for r in self.records if r.role is Role.PROXY), key=lambda record: record.id)

    def run(self, intervals: int) -> None:
        """Tick all members in list order in each interval; a tally may need one interval for each level."""
        for _ in range(intervals):
            self.now += 1.2 * TIMING.tally_interval
            for record in list(self.records):
                self._tick(record)

    def _tick(self, record: MemberRecord) -> None:
        aggregation = self.aggregations[record.address]
        aggregation.set_count(self.counts[record.address])
        others = [other for other in self.records if other is not record]
        others.sort(key=lambda other: other.id)
        sends, update = aggregation.tick(self.now, record, tuple(others))
        for send in sends:
            self.sent.append((record, send))
            self._deliver(record, send)
        if update is not None:
            self.broadcasts.append((record, update))
            self._broadcast(record, update)

    def _deliver(self, sender: MemberRecord, send: Send) -> None:
        aggregation = self.aggregations.get(send.destination)
        if aggregation is None:
            return
        if isinstance(send.message, Tally):
            aggregation.handle(self.now, Header(sender.id, 0, 1), send.message)
        elif isinstance(send.message, Gossip):
            for update in send.message.updates:
                assert isinstance(update, ZoneSum)
                aggregation.receive(self.now, update)

    def _broadcast(self, root: MemberRecord, update: ZoneSum) -> None:
        for record in self.records:
            if record is not root:
                self.aggregations[record.address].receive(self.now, update)

    def expected_sum(self) -> tuple[int, int]:
        proxies = [record for record in self.records if record.role is Role.PROXY]
        return len(proxies), sum(self.counts[record.address] for record in proxies)

    def known_sums(self) -> set[tuple[int, int]]:
        """Return the distinct (members, connections) sums of the zone that the members know."""
        sums = [aggregation.sums(self.now).get("a") for aggregation in self.aggregations.values()]
        return {(known.members, known.connections) for known in sums if known is not None}


@pytest.mark.parametrize("proxies", [1, 2, 8, 9, 10, 73, 74])
def test_all_members_learn_the_sum_of_the_zone(proxies: int) -> None:
    zone = Zone(proxies, controls=2)
    zone.run(5)
    assert zone.known_sums() == {zone.expected_sum()}
    assert {record for record, _ in zone.broadcasts} == {zone.root()}


def test_control_members_are_not_in_the_tree_and_send_nothing() -> None:
    zone = Zone(20, controls=5)
    zone.run(5)
    assert all(record.role is Role.PROXY for record, _ in zone.sent)
    controls = {record.address for record in zone.records if record.role is Role.CONTROL}
    assert not controls & {send.destination for _, send in zone.sent}


def test_messages_sent_and_received_in_each_interval_are_bounded() -> None:
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


def test_parent_is_determined_by_the_order_of_ids() -> None:
    zone = Zone(100)
    zone.run(1)
    ordered = sorted(zone.records, key=lambda record: record.id)
    destinations = {record.name: send.destination for record, send in zone.sent}
    for index, record in enumerate(ordered):
        expected = None if index == 0 else ordered[(index - 1) // FAN_IN].address
        assert destinations.get(record.name) == expected


def test_nothing_is_sent_before_the_interval_has_elapsed() -> None:
    aggregation, own_record, other = aggregation_of(), record_of(1), record_of(2)
    sends, update = aggregation.tick(0.0, own_record, (other,))
    assert bool(sends) != (update is not None)
    assert aggregation.tick(0.5 * TIMING.tally_interval, own_record, (other,)) == ([], None)
    assert 0.9 * TIMING.tally_interval <= aggregation.next_deadline() <= 1.1 * TIMING.tally_interval


def test_sum_follows_changed_counts() -> None:
    zone = Zone(30)
    zone.run(4)
    zone.counts[zone.records[7].address] = 5_000
    zone.run(4)
    assert zone.known_sums() == {zone.expected_sum()}


def test_silent_child_is_not_counted_although_it_is_still_in_the_table() -> None:
    zone = Zone(5)
    root = zone.root()
    zone.run(3)
    members = tuple(sorted((r for r in zone.records if r is not root), key=lambda record: record.id))
    aggregation = zone.aggregations[root.address]
    aggregation.handle(zone.now, Header(members[0].id, 0, 1), Tally("a", 1, 1))
    before = aggregation.tick(zone.now + 1.2, root, members)[1]
    after = aggregation.tick(zone.now + 1.2 + CHILD_TIMEOUT_INTERVALS * TIMING.tally_interval, root, members)[
        1
    ]
    assert before is not None and before.members == 5
    assert after is not None and after.members == 1


def test_removed_member_is_not_counted() -> None:
    zone = Zone(100)
    zone.run(4)
    zone.remove(sorted(zone.records, key=lambda record: record.id)[3])
    zone.run(CHILD_TIMEOUT_INTERVALS + 4)
    assert zone.known_sums() == {zone.expected_sum()}


def test_tallies_of_members_that_are_not_children_are_ignored() -> None:
    zone = Zone(100)
    zone.run(4)
    root = zone.aggregations[zone.root().address]
    ordered = sorted(zone.records, key=lambda record: record.id)
    root.handle(zone.now, Header(ordered[50].id, 0, 1), Tally("a", 50, 1_000_000))
    root.handle(zone.now, Header(12345, 0, 1), Tally("a", 50, 1_000_000))
    root.handle(zone.now, Header(ordered[1].id, 0, 1), Tally("another zone", 50, 1_000_000))
    zone.run(1)
    assert zone.known_sums() == {zone.expected_sum()}


def test_sequence_increases_by_one_from_the_newest_known() -> None:
    zone = Zone(3)
    zone.run(3)
    assert [update.sequence for _, update in zone.broadcasts] == [1, 2, 3]
    zone.aggregations[zone.root().address].receive(zone.now, ZoneSum("a", 40, 1, 1))
    zone.run(1)
    assert zone.broadcasts[-1][1].sequence == 41


def test_new_root_learns_the_newest_sequence_from_its_children() -> None:
    zone = Zone(20)
    zone.run(10)
    number = next(n for n in range(1_000, 9_000) if record_of(n).id < zone.root().id)
    new = record_of(number)
    zone.add(new)
    zone.run(5)
    assert zone.root() is new
    assert zone.broadcasts[-1][0] is new and zone.broadcasts[-1][1].sequence > 10
    assert zone.known_sums() == {zone.expected_sum()}


def test_next_member_becomes_root_when_the_root_is_removed() -> None:
    zone = Zone(20)
    zone.run(10)
    zone.remove(zone.root())
    zone.run(CHILD_TIMEOUT_INTERVALS + 3)
    assert zone.broadcasts[-1][1].sequence > 10
    assert zone.known_sums() == {zone.expected_sum()}


def test_older_and_repeated_sums_are_not_forwarded() -> None:
    aggregation = aggregation_of()
    assert aggregation.receive(0.0, ZoneSum("b", 5, 1, 10))
    assert not aggregation.receive(0.0, ZoneSum("b", 5, 1, 10))
    assert not aggregation.receive(0.0, ZoneSum("b", 4, 1, 99))
    assert aggregation.receive(0.0, ZoneSum("b", 6, 1, 11))
    assert aggregation.sums(0.0) == {"b": ZoneSum("b", 6, 1, 11)}


def test_sums_that_are_not_renewed_expire() -> None:
    aggregation = aggregation_of()
    aggregation.receive(0.0, ZoneSum("b", 5, 1, 10))
    aggregation.receive(10.0, ZoneSum("c", 1, 1, 1))
    aggregation.receive(20.0, ZoneSum("b", 6, 1, 10))
    assert set(aggregation.sums(20.0 + SUM_LIFETIME_SECONDS - 0.1)) == {"b"}
    assert aggregation.sums(20.0 + SUM_LIFETIME_SECONDS) == {}
    # A restarted sequence is accepted after the old sum has expired.
    assert aggregation.receive(60.0, ZoneSum("b", 1, 1, 1))


def test_sequence_restarts_after_the_highest_one_has_expired() -> None:
    aggregation, own_record = aggregation_of(), record_of(1)
    aggregation.receive(0.0, ZoneSum("a", MAX_U32, 1, 1))
    assert aggregation.tick(1.0, own_record, ()) == ([], None)
    _, update = aggregation.tick(SUM_LIFETIME_SECONDS + 1.0, own_record, ())
    assert update == ZoneSum("a", 1, 1, 0)


def test_number_of_zones_is_bounded() -> None:
    aggregation = aggregation_of()
    accepted = [aggregation.receive(0.0, ZoneSum(f"z{number}", 1, 1, 1)) for number in range(MAX_ZONES + 50)]
    assert sum(accepted) == MAX_ZONES == len(aggregation.sums(0.0))
    assert aggregation.receive(0.0, ZoneSum("z3", 2, 1, 1))
    assert aggregation.receive(SUM_LIFETIME_SECONDS, ZoneSum("another", 1, 1, 1))


def test_member_that_has_left_sends_nothing() -> None:
    aggregation, own_record = aggregation_of(), replace(record_of(1), status=Status.LEFT)
    assert aggregation.tick(1.0, own_record, (record_of(2),)) == ([], None)


@pytest.mark.parametrize("connections, counted", [(-5, 0), (7, 7), (2**40, MAX_U32)])
def test_connection_count_is_clamped_to_its_field(connections: int, counted: int) -> None:
    aggregation = aggregation_of()
    aggregation.set_count(connections)
    _, update = aggregation.tick(0.0, record_of(1), ())
    assert update is not None and update.connections == counted


def test_sum_of_children_is_clamped_to_its_fields() -> None:
    ordered = sorted((record_of(number) for number in range(5)), key=lambda record: record.id)
    aggregation = aggregation_of()
    aggregation.tick(0.0, ordered[0], tuple(ordered[1:]))
    for child in ordered[1:]:
        aggregation.handle(1.0, Header(child.id, 0, 1), Tally("a", MAX_U32, MAX_U32))
    _, update = aggregation.tick(2.0, ordered[0], tuple(ordered[1:]))
    assert update is not None and (update.members, update.connections) == (MAX_U32, MAX_U32)


def test_zone_members_are_scanned_only_after_a_change() -> None:
    """Guard the cost of a tick: like ``Membership.live``, the test passes the same object until a change."""

    class Counted(tuple[MemberRecord, ...]):
        iterations = 0

        def __iter__(self):  # type: ignore[no-untyped-def]
            Counted.iterations += 1
            return super().__iter__()

    members = Counted(record_of(number) for number in range(2, 90))
    Counted.iterations = 0
    aggregation = aggregation_of()
    for step in range(50):
        aggregation.tick(1.2 * step, record_of(1), members)
    assert Counted.iterations == 1


@hypothesis_settings(max_examples=25, deadline=None)
@given(st.integers(1, 30), st.lists(st.tuples(st.integers(0, 80), st.booleans()), max_size=12))
def test_sum_is_correct_again_after_any_changes(proxies: int, changes: list[tuple[int, bool]]) -> None:
    zone = Zone(proxies)
    zone.run(2)
    for number, is_new in changes:
        record = record_of(2_000 + number)
        if is_new and record.address not in zone.aggregations:
            zone.add(record)
        elif not is_new and len(zone.records) > 1:
            zone.remove(zone.records[number % len(zone.records)])
        zone.run(1)
    zone.run(CHILD_TIMEOUT_INTERVALS + 6)
    assert zone.known_sums() == {zone.expected_sum()}


def test_root_broadcasts_one_sum_in_each_sum_interval() -> None:
    """Sums are broadcast less often than tallies are sent, since each sum reaches the whole fleet."""
    timing = Timing()
    aggregation = Aggregation(timing, random.Random(1))
    own_record = MemberRecord("root", ("10.0.0.1", 1), "north", "n1", Role.PROXY, 0, 1)
    times = [number * timing.tally_interval for number in range(60)]
    sends = [now for now in times if aggregation.tick(now, own_record, ())[1] is not None]
    assert len(sends) == pytest.approx(60 * timing.tally_interval / timing.sum_interval, abs=1)
