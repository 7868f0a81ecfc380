"""Joining, and comparison of member tables.

The story: a member knows nobody yet, or a broadcast missed it. It reads the table of others page by page, and
a page that does not come is requested from somebody else.
"""

from __future__ import annotations

from dataclasses import replace

from saltcourse.gossip import table_sync
from saltcourse.gossip.member_table import MemberTable
from saltcourse.gossip.messages import (
    SYNC_BUCKETS,
    Gossip,
    Ping,
    StatusUpdate,
    SyncReply,
    SyncRequest,
)
from tests.gossip.membership_fleet import (
    ALIVE,
    SUSPECT,
    Fleet,
    Lone,
    answering,
    cut_regions,
    fleet_of,
    record_of,
)


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
