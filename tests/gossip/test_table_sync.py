"""Joining, and comparison of member tables.

A member that does not know any other member yet, or has missed a broadcast, reads the table of other members
page by page. A page that is not received is requested from another member.
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
    MemberHarness,
    acks_from,
    cut_regions,
    fleet_of,
    record_of,
)


def test_seeds_are_asked_every_second_while_no_member_is_known() -> None:
    seeds = tuple(record_of(number).address for number in range(100, 105))
    harness = MemberHarness(seeds=(*seeds, record_of(0).address))
    assert {send.message for send in harness.sends} == {SyncRequest(0)}
    requests = harness.run(100.0)
    assert {send.destination for send in requests} == set(seeds)
    assert 80 * 3 <= len(requests) <= 125 * 3


def test_seed_that_is_not_a_live_member_is_asked_periodically() -> None:
    other, seed = record_of(1), record_of(2)
    harness = MemberHarness(other, seeds=(seed.address,))
    asked = [send for send in harness.run(300.0, acks_from(other)) if send.destination == seed.address]
    asked = [send for send in asked if isinstance(send.message, SyncRequest) and send.message.digests]
    assert 8 <= len(asked) <= 13
    harness.receive(other, Gossip((seed,)))
    later = [send for send in harness.run(600.0, acks_from(other, seed)) if send.destination == seed.address]
    requests = [send for send in later if isinstance(send.message, SyncRequest)]
    assert len(requests) <= 25  # no more than any other member


def test_pages_are_sorted_by_id_and_a_repeated_page_is_ignored() -> None:
    others = sorted((record_of(number) for number in range(1, 100)), key=lambda record: record.id)
    seed = record_of(200)
    harness = MemberHarness(seeds=(seed.address,))
    first = SyncReply(tuple(others[:20]), True)
    sends = harness.receive(seed, first)
    request = next(send.message for send in sends if isinstance(send.message, SyncRequest))
    assert request == SyncRequest(others[19].id)
    again = [send.message for send in harness.receive(seed, first)]
    assert request not in again
    assert len(harness.membership.live()) == 20


def test_missing_page_is_requested_from_other_members_a_limited_number_of_times() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 40)]
    others.sort(key=lambda record: record.id)
    seed = record_of(200)
    harness = MemberHarness(seeds=(seed.address,))
    harness.receive(seed, SyncReply(tuple(others), True))
    acks = acks_from(*others)
    sends = harness.run(10.0, lambda send: acks(send) if isinstance(send.message, Ping) else None)
    retries = [send for send in sends if send.message == SyncRequest(others[-1].id)]
    assert len(retries) == table_sync.MAX_PAGE_ATTEMPTS - 1
    assert len({send.destination for send in retries}) > 1
    assert harness.metric("syncs_given_up") >= 1


def test_only_differing_buckets_are_sent() -> None:
    others = [record_of(number) for number in range(1, 200)]
    harness = MemberHarness(*others)
    other_table = MemberTable(harness.initial_record)
    for record in others:
        other_table.store(0.0, record.id, record)
    reply = harness.receive(others[0], SyncRequest(0, tuple(other_table.digests)))[-1].message
    assert reply == SyncReply((), False)
    changed = replace(others[7], incarnation=1)
    other_table.store(0.0, changed.id, changed)
    reply = harness.receive(others[0], SyncRequest(0, tuple(other_table.digests)))[-1].message
    assert {record.id % SYNC_BUCKETS for record in reply.records} == {changed.id % SYNC_BUCKETS}


def test_pages_contain_no_suspicions() -> None:
    others = [record_of(number) for number in range(1, 5)]
    harness = MemberHarness(*others)
    harness.receive(others[0], Gossip((StatusUpdate(others[1].id, 0, SUSPECT),)))
    sends = harness.receive(others[0], SyncRequest(0))
    reply = next(send.message for send in sends if isinstance(send.message, SyncReply))
    assert {record.status for record in reply.records} == {ALIVE}


def test_fleet_converges_when_all_members_start_at_once() -> None:
    fleet = fleet_of(60, settle=0.0, through_codec=True)
    assert fleet.run_until_converged(20.0) <= 15.0
    assert fleet.metric("name_conflicts") == 0 and fleet.metric("deaths") == 0


def test_late_member_reads_pages_from_several_members_and_is_soon_known() -> None:
    fleet = fleet_of(45)
    fleet.replies.clear()
    late = record_of(999, "z1")
    joined = fleet.add(late, (record_of(0).address,))
    elapsed = fleet.run_until_converged(8.0)
    assert elapsed <= 5.0
    assert len({sender for sender, receiver in fleet.replies if receiver == joined.address}) > 1


def test_separated_fleets_find_each_other_through_the_seeds() -> None:
    fleet = Fleet(3)
    fleet.is_blocked = cut_regions
    seeds = (record_of(0).address, record_of(1).address)
    for number in range(20):
        fleet.add(record_of(number, f"z{number % 4}", f"r{number % 2}"), seeds)
    fleet.run(20.0)
    assert {len(host.membership.live()) for host in fleet.hosts} == {9}
    fleet.is_blocked = lambda sender, receiver: False
    fleet.run_until_converged(60.0)
