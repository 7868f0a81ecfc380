"""The queue of updates on their way through the fleet."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from saltcourse.gossip.broadcasts import BUSY_QUEUE, MAX_QUEUED, RECORDS_ROOM_BYTES, BroadcastQueue
from saltcourse.gossip.codec import update_size
from saltcourse.gossip.messages import (
    Status,
    StatusUpdate,
    ZoneSum,
)
from tests.gossip.membership_fleet import (
    DEAD,
    SUSPECT,
    record_of,
)

FLEET = 490
LIMIT = 9  # ceil(3 * log10(491))
ROOM = 1_000  # bytes of one datagram


def filled(count: int) -> BroadcastQueue:
    queue = BroadcastQueue(3.0)
    for member in range(count):
        queue.add(member, StatusUpdate(member, 1, Status.SUSPECT))
    queue.take(0, FLEET)  # learns how often an update is passed on
    return queue


def test_an_update_is_passed_on_as_often_as_the_size_of_the_fleet_asks() -> None:
    queue = filled(1)
    assert sum(len(queue.take(ROOM, FLEET)) for _ in range(2 * LIMIT)) == LIMIT


def test_in_a_busy_queue_an_update_that_others_send_too_is_passed_on_less() -> None:
    queue = filled(BUSY_QUEUE + 10)
    for _ in range(LIMIT):
        queue.on_duplicate(5, 1, Status.SUSPECT)
    assert len(queue) == BUSY_QUEUE + 9


@pytest.mark.parametrize("duplicate", [(5, 0, Status.SUSPECT), (5, 1, Status.ALIVE), (5, 2, Status.SUSPECT)])
def test_another_claim_about_the_same_member_does_not_count(duplicate: tuple[int, int, Status]) -> None:
    queue = filled(BUSY_QUEUE + 10)
    for _ in range(LIMIT):
        queue.on_duplicate(*duplicate)
    assert len(queue) == BUSY_QUEUE + 10


def test_in_a_quiet_queue_every_transmission_is_made() -> None:
    queue = filled(BUSY_QUEUE - 1)
    for _ in range(LIMIT):
        queue.on_duplicate(5, 1, Status.SUSPECT)
    assert len(queue) == BUSY_QUEUE - 1


def test_zone_sums_alone_are_no_member_updates() -> None:
    queue = BroadcastQueue(3.0)
    queue.add("zone", ZoneSum("zone", 1, 1, 1))
    queue.add("zone", ZoneSum("zone", 2, 1, 1))
    assert len(queue) == 1
    assert not queue.has_news_of_members
    queue.add(5, StatusUpdate(5, 1, Status.SUSPECT))
    assert queue.has_news_of_members
    for _ in range(LIMIT):
        queue.take(ROOM, FLEET)
    assert len(queue) == 0
    assert not queue.has_news_of_members


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


def test_the_broadcast_queue_is_bounded_and_keeps_the_newest_updates() -> None:
    queue = BroadcastQueue(3.0)
    for member in range(MAX_QUEUED):
        queue.add(member, StatusUpdate(member, 0, SUSPECT))
    often = queue.take(RECORDS_ROOM_BYTES, 100)
    queue.add(10**6, StatusUpdate(10**6, 0, SUSPECT))
    assert len(queue) == MAX_QUEUED and queue.dropped == 1
    waiting = {broadcast.update for broadcast in queue._broadcasts.values()}
    assert StatusUpdate(10**6, 0, SUSPECT) in waiting
    assert often[0] not in waiting
