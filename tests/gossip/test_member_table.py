"""The member table: precedence of claims, consistency of the indexes, and size limits.

Claims about one member reach other members in different orders, some of them are forged or invalid, and new
members join all the time. All tables must converge on the same records and stay within their limits.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from saltcourse.gossip import member_table
from saltcourse.gossip.member_table import MAX_INCARNATION, MemberTable, overrides
from saltcourse.gossip.membership import Membership
from saltcourse.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    SYNC_BUCKETS,
    Ack,
    Gossip,
    MemberChanged,
    MemberRecord,
    Nack,
    Ping,
    PingRequest,
    Status,
    StatusUpdate,
    SyncReply,
    SyncRequest,
    ZoneSum,
    member_id,
)
from tests.gossip.membership_fleet import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    MemberHarness,
    acks_from,
    record_of,
    send_size,
)


@pytest.mark.parametrize(
    "new, current, expected",
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
def test_precedence_of_records(new: tuple[int, Status], current: tuple[int, Status], expected: bool) -> None:
    one = record_of(1, incarnation=new[0], status=new[1])
    other = record_of(1, incarnation=current[0], status=current[1])
    assert overrides(one, other) is expected


def test_process_id_decides_between_otherwise_equal_records() -> None:
    one, other = record_of(1, process_id=1), record_of(1, process_id=2)
    assert overrides(other, one) and not overrides(one, other)


def test_claims_change_the_table_by_precedence() -> None:
    one, two = record_of(1, incarnation=3), record_of(2)
    harness = MemberHarness(two, one)
    harness.receive(two, Gossip((StatusUpdate(one.id, 2, DEAD),)))
    assert harness.status(one) is ALIVE
    harness.receive(two, Gossip((StatusUpdate(one.id, 3, SUSPECT),)))
    assert harness.status(one) is SUSPECT
    harness.receive(two, Gossip((replace(one, incarnation=4),)))
    assert harness.status(one) is ALIVE
    harness.receive(two, Gossip((StatusUpdate(one.id, 4, LEFT), StatusUpdate(one.id, 4, DEAD))))
    assert harness.status(one) is LEFT
    changes = [change for change in harness.membership.take_changes() if isinstance(change, MemberChanged)]
    assert [c.status for c in changes if c.name == one.name] == [ALIVE, SUSPECT, ALIVE, LEFT]


def test_status_update_of_an_unknown_member_is_ignored() -> None:
    harness = MemberHarness(record_of(1))
    harness.receive(record_of(1), Gossip((StatusUpdate(member_id("nobody"), 1, DEAD),)))
    assert len(harness.membership.members) == 2


@pytest.mark.parametrize(
    "invalid_fields",
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
def test_invalid_records_are_rejected(invalid_fields: dict[str, Any]) -> None:
    harness = MemberHarness(record_of(1))
    harness.receive(record_of(1), Gossip((replace(record_of(2), **invalid_fields),)))
    assert len(harness.membership.members) == 2
    assert harness.metric("invalid_records") == 1


def check_indexes(membership: Membership) -> None:
    """Check that the indexes, digests, counts and timers match the records."""
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


@hypothesis_settings(max_examples=100, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(st.tuples(RECORDS, MESSAGES, st.sampled_from([0.0, 0.01, 0.3, 1.0, 9.0])), max_size=25))
def test_any_messages_keep_the_table_consistent(events: list[tuple[MemberRecord, Any, float]]) -> None:
    harness = MemberHarness(record_of(1), record_of(2))
    incarnation = 0
    for sender, message, pause in events:
        harness.run(harness.now + pause)
        harness.receive(sender, message)
        check_indexes(harness.membership)
        assert incarnation <= harness.membership.own_record.incarnation <= MAX_INCARNATION
        incarnation = harness.membership.own_record.incarnation
        assert harness.membership.own_record.name == harness.initial_record.name
        assert harness.membership.own_record.status is ALIVE
    assert all(send_size(send) <= MAX_DATAGRAM_BYTES for send in harness.sends)


def test_table_is_bounded_and_drops_departed_members_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(member_table, "MAX_MEMBERS", 10)
    others = [record_of(number) for number in range(1, 30)]
    harness = MemberHarness(others[0])
    harness.receive(others[0], Gossip(tuple(others)))
    assert len(harness.membership.members) == 10
    assert harness.metric("table_full") == 20
    departed = StatusUpdate(others[3].id, 0, LEFT), StatusUpdate(others[2].id, 0, DEAD)
    harness.receive(others[0], Gossip(departed))
    harness.receive(others[0], Gossip((others[25], others[26], others[27])))
    assert len(harness.membership.members) == 10
    assert harness.status(others[3]) is None and harness.status(others[2]) is None
    assert harness.status(others[25]) is ALIVE and harness.status(others[27]) is None
    check_indexes(harness.membership)


def test_departed_members_are_removed_after_forget_after() -> None:
    others = [record_of(number) for number in range(1, 4)]
    harness = MemberHarness(*others)
    harness.receive(others[2], Gossip((StatusUpdate(others[0].id, 0, LEFT),)))
    harness.now = 100.0
    harness.membership.tick(harness.now)
    harness.receive(others[2], Gossip((StatusUpdate(others[1].id, 0, DEAD),)))
    for now, known in ((3_599.0, 4), (3_601.0, 3), (3_699.0, 3), (3_701.0, 2)):
        harness.now = now
        harness.membership.tick(now)
        assert len(harness.membership.members) == known
    check_indexes(harness.membership)


def test_unknown_departed_members_of_a_page_are_ignored() -> None:
    other = record_of(1)
    harness = MemberHarness(other)
    harness.receive(other, SyncReply((record_of(2, status=DEAD), record_of(3, status=LEFT)), False))
    assert len(harness.membership.members) == 2


def test_digests_do_not_depend_on_suspicions_and_removed_members() -> None:
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


def test_live_is_cached_until_a_change() -> None:
    others = [record_of(number, "ab"[number % 2]) for number in range(1, 9)]
    harness = MemberHarness(*others)
    live, zone = harness.membership.live(), harness.membership.live("a")
    harness.run(1.0, acks_from(*others))
    assert harness.membership.live() is live and harness.membership.live("a") is zone
    harness.receive(others[0], Gossip((StatusUpdate(others[2].id, 0, LEFT),)))
    assert harness.membership.live("a") is zone  # only the other zone has changed
    remaining = [record.id for record in others if record != others[2]]
    assert [record.id for record in harness.membership.live()] == sorted(remaining)
    assert harness.membership.live("nowhere") == ()
