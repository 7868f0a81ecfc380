"""The own record: refutations, and two processes of one name.

The story: a member that is alive learns that others believe it suspect or dead, or that another process uses
its name. It raises its incarnation above the claim, at most once a second.
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
    Lone,
    answering,
    pings,
    record_of,
    send_size,
)


@pytest.mark.parametrize("status", [SUSPECT, DEAD, LEFT])
def test_a_member_objects_with_a_higher_incarnation(status: Status) -> None:
    other = record_of(1)
    lone = Lone(other, me=record_of(0, incarnation=4))
    lone.receive(other, Gossip((StatusUpdate(lone.me.id, 4, status),)))
    assert lone.membership.own_record.incarnation == 5
    assert lone.figure("health") == 1
    gossip = [send.message for send in lone.run(1.0, answering(other)) if isinstance(send.message, Gossip)]
    assert any(lone.membership.own_record in message.updates for message in gossip)


def test_old_accusations_are_passed_over() -> None:
    other = record_of(1)
    lone = Lone(other, me=record_of(0, incarnation=4))
    old = replace(lone.me, incarnation=3, status=DEAD)
    lone.receive(other, Gossip((StatusUpdate(lone.me.id, 3, DEAD), old)))
    assert lone.membership.own_record.incarnation == 4


def test_two_accusations_in_a_second_raise_it_once_now_and_once_then() -> None:
    other = record_of(1)
    lone = Lone(other)
    lone.receive(other, Gossip((StatusUpdate(lone.me.id, 0, SUSPECT),)))
    lone.receive(other, Gossip((StatusUpdate(lone.me.id, 9, DEAD),)))
    assert lone.membership.own_record.incarnation == 1
    lone.run(1.5, answering(other))
    assert lone.membership.own_record.incarnation == 10


def test_a_suspect_is_notified_by_the_next_ping() -> None:
    one, two = record_of(1), record_of(2)
    lone = Lone(two, one)
    lone.receive(two, Gossip((StatusUpdate(one.id, 0, SUSPECT),)))
    sent = [send.message for send in pings(lone.run(3.0, answering(two))) if send.destination == one.address]
    assert any(update == replace(one, status=SUSPECT) for update in sent[0].updates)


@pytest.mark.parametrize("status", [DEAD, LEFT])
def test_a_departed_member_that_sends_is_notified_once_a_second(status: Status) -> None:
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


def test_a_new_process_takes_the_name_over_with_the_next_incarnation() -> None:
    other = record_of(1)
    lone = Lone(other, me=record_of(0, process_id=22))
    lone.receive(other, SyncReply((record_of(0, incarnation=7, process_id=11),), False))
    assert lone.membership.own_record == record_of(0, incarnation=8, process_id=22)
    assert lone.figure("name_conflicts") == 0


def test_two_live_processes_of_one_name_raise_once_a_second_and_are_counted() -> None:
    other = record_of(1)
    one, two = Lone(other, me=record_of(0, process_id=11)), Lone(other, me=record_of(0, process_id=22))
    for step in range(200):
        for lone, rival in ((one, two), (two, one)):
            lone.now = 0.05 * step
            lone.membership.tick(lone.now)
            lone.receive(other, Gossip((rival.membership.own_record,)))
            lone.receive(rival.membership.own_record, Gossip((rival.membership.own_record,)))
    assert 5 <= one.membership.own_record.incarnation <= 22
    assert one.figure("name_conflicts") > 0 and two.figure("name_conflicts") > 0


def test_the_highest_incarnation_neither_overflows_nor_repeats() -> None:
    other = record_of(1)
    lone = Lone(other)
    for status in (SUSPECT, DEAD, LEFT):
        lone.now += 2
        lone.receive(other, Gossip((StatusUpdate(lone.me.id, MAX_INCARNATION, status),)))
    assert lone.membership.own_record.incarnation == MAX_INCARNATION
    assert lone.figure("incarnations_exhausted") == 2
    for send in lone.run(lone.now + 5, answering(other)):
        send_size(send)
    lone.receive(other, Gossip((replace(other, incarnation=MAX_INCARNATION),)))
    assert lone.membership.members[other.id].record.incarnation == MAX_INCARNATION


def test_records_that_claim_to_be_this_member_change_nothing_but_its_incarnation() -> None:
    other = record_of(1)
    lone = Lone(other)
    forged = replace(lone.me, address=("10.66.6.6", 666), zone="b", incarnation=3, process_id=9)
    lone.receive(other, Gossip((forged, replace(forged, status=DEAD))))
    assert lone.membership.own_record == replace(lone.me, incarnation=4)
    assert lone.membership.members[lone.me.id].record == lone.membership.own_record


def test_own_datagrams_that_come_back_are_passed_over() -> None:
    lone = Lone(record_of(1))
    assert lone.receive(lone.me, SyncRequest(0)) == []
    assert lone.receive(lone.me, Ping(1, lone.me.id)) == []
    assert lone.figure("name_conflicts") == 0
