"""A member's own record: refutations, and conflicts between two processes with one name.

A live member that receives a claim that it is suspect or dead, or a record of another process with its name,
raises its incarnation above that of the claim, at most once a second.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from saltcourse.gossip.member_table import MAX_INCARNATION
from saltcourse.gossip.messages import (
    Gossip,
    Ping,
    Status,
    StatusUpdate,
    SyncReply,
    SyncRequest,
)
from tests.gossip.membership_fleet import (
    DEAD,
    LEFT,
    SUSPECT,
    MemberHarness,
    acks_from,
    pings,
    record_of,
    send_size,
)


@pytest.mark.parametrize("status", [SUSPECT, DEAD, LEFT])
def test_member_refutes_a_claim_with_a_higher_incarnation(status: Status) -> None:
    other = record_of(1)
    harness = MemberHarness(other, initial_record=record_of(0, incarnation=4))
    harness.receive(other, Gossip((StatusUpdate(harness.initial_record.id, 4, status),)))
    assert harness.membership.own_record.incarnation == 5
    assert harness.metric("health") == 1
    gossip = [send.message for send in harness.run(1.0, acks_from(other)) if isinstance(send.message, Gossip)]
    assert any(harness.membership.own_record in message.updates for message in gossip)


def test_claims_about_an_older_incarnation_are_ignored() -> None:
    other = record_of(1)
    harness = MemberHarness(other, initial_record=record_of(0, incarnation=4))
    old = replace(harness.initial_record, incarnation=3, status=DEAD)
    harness.receive(other, Gossip((StatusUpdate(harness.initial_record.id, 3, DEAD), old)))
    assert harness.membership.own_record.incarnation == 4


def test_second_claim_within_a_second_is_refuted_after_that_second() -> None:
    other = record_of(1)
    harness = MemberHarness(other)
    harness.receive(other, Gossip((StatusUpdate(harness.initial_record.id, 0, SUSPECT),)))
    harness.receive(other, Gossip((StatusUpdate(harness.initial_record.id, 9, DEAD),)))
    assert harness.membership.own_record.incarnation == 1
    harness.run(1.5, acks_from(other))
    assert harness.membership.own_record.incarnation == 10


def test_next_ping_to_a_suspect_contains_the_suspicion() -> None:
    one, two = record_of(1), record_of(2)
    harness = MemberHarness(two, one)
    harness.receive(two, Gossip((StatusUpdate(one.id, 0, SUSPECT),)))
    sent = [
        send.message for send in pings(harness.run(3.0, acks_from(two))) if send.destination == one.address
    ]
    assert any(update == replace(one, status=SUSPECT) for update in sent[0].updates)


@pytest.mark.parametrize("status", [DEAD, LEFT])
def test_departed_member_that_sends_is_notified_once_a_second(status: Status) -> None:
    one, two = record_of(1), record_of(2)
    harness = MemberHarness(two, one)
    harness.receive(two, Gossip((StatusUpdate(one.id, 0, status),)))
    answers = []
    for step in range(35):
        harness.now = 1 + 0.1 * step
        answers += [send for send in harness.receive(one, Gossip()) if isinstance(send.message, Gossip)]
    assert [send.message.updates for send in answers] == [(replace(one, status=status),)] * 4
    assert {send.destination for send in answers} == {one.address}


def test_header_with_a_higher_incarnation_revives_a_dead_member() -> None:
    one, two = record_of(1), record_of(2)
    harness = MemberHarness(two, one)
    harness.receive(two, Gossip((StatusUpdate(one.id, 0, DEAD),)))
    harness.receive(replace(one, incarnation=1), Gossip())
    assert harness.membership.members[one.id].record == replace(one, incarnation=1)


def test_new_process_with_the_same_name_uses_the_next_incarnation() -> None:
    other = record_of(1)
    harness = MemberHarness(other, initial_record=record_of(0, process_id=22))
    harness.receive(other, SyncReply((record_of(0, incarnation=7, process_id=11),), False))
    assert harness.membership.own_record == record_of(0, incarnation=8, process_id=22)
    assert harness.metric("name_conflicts") == 0


def test_two_live_processes_with_one_name_raise_once_a_second_and_are_counted() -> None:
    other = record_of(1)
    one, two = (
        MemberHarness(other, initial_record=record_of(0, process_id=11)),
        MemberHarness(other, initial_record=record_of(0, process_id=22)),
    )
    for step in range(200):
        for harness, other_process in ((one, two), (two, one)):
            harness.now = 0.05 * step
            harness.membership.tick(harness.now)
            harness.receive(other, Gossip((other_process.membership.own_record,)))
            harness.receive(
                other_process.membership.own_record, Gossip((other_process.membership.own_record,))
            )
    assert 5 <= one.membership.own_record.incarnation <= 22
    assert one.metric("name_conflicts") > 0 and two.metric("name_conflicts") > 0


def test_highest_incarnation_is_never_exceeded() -> None:
    other = record_of(1)
    harness = MemberHarness(other)
    for status in (SUSPECT, DEAD, LEFT):
        harness.now += 2
        harness.receive(other, Gossip((StatusUpdate(harness.initial_record.id, MAX_INCARNATION, status),)))
    assert harness.membership.own_record.incarnation == MAX_INCARNATION
    assert harness.metric("incarnations_exhausted") == 2
    for send in harness.run(harness.now + 5, acks_from(other)):
        send_size(send)
    harness.receive(other, Gossip((replace(other, incarnation=MAX_INCARNATION),)))
    assert harness.membership.members[other.id].record.incarnation == MAX_INCARNATION


def test_forged_records_of_this_member_change_only_its_incarnation() -> None:
    other = record_of(1)
    harness = MemberHarness(other)
    forged = replace(
        harness.initial_record, address=("10.66.6.6", 666), zone="b", incarnation=3, process_id=9
    )
    harness.receive(other, Gossip((forged, replace(forged, status=DEAD))))
    assert harness.membership.own_record == replace(harness.initial_record, incarnation=4)
    assert harness.membership.members[harness.initial_record.id].record == harness.membership.own_record


def test_own_datagrams_are_ignored() -> None:
    harness = MemberHarness(record_of(1))
    assert harness.receive(harness.initial_record, SyncRequest(0)) == []
    assert harness.receive(harness.initial_record, Ping(1, harness.initial_record.id)) == []
    assert harness.metric("name_conflicts") == 0
