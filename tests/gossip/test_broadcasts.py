"""The broadcast queue of updates."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from saltcourse.gossip.broadcasts import BUSY_QUEUE_LENGTH, MAX_QUEUED, RECORDS_ROOM_BYTES, BroadcastQueue
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

FLEET_SIZE = 490
TRANSMISSIONS = 9  # ceil(3 * log10(FLEET_SIZE + 1))
ROOM_BYTES = 1_000  # space for updates in one datagram


def filled_queue(count: int) -> BroadcastQueue:
    queue = BroadcastQueue(3.0)
    for member in range(count):
        queue.add(member, StatusUpdate(member, 1, Status.SUSPECT))
    queue.take(0, FLEET_SIZE)  # sets the number of transmissions for this fleet size
    return queue


def test_number_of_transmissions_depends_on_the_fleet_size() -> None:
    queue = filled_queue(1)
    assert sum(len(queue.take(ROOM_BYTES, FLEET_SIZE)) for _ in range(2 * TRANSMISSIONS)) == TRANSMISSIONS


def test_duplicates_reduce_the_transmissions_in_a_busy_queue() -> None:
    queue = filled_queue(BUSY_QUEUE_LENGTH + 10)
    for _ in range(TRANSMISSIONS):
        queue.on_duplicate(5, 1, Status.SUSPECT)
    assert len(queue) == BUSY_QUEUE_LENGTH + 9


@pytest.mark.parametrize("duplicate", [(5, 0, Status.SUSPECT), (5, 1, Status.ALIVE), (5, 2, Status.SUSPECT)])
def test_different_claim_about_the_same_member_is_not_a_duplicate(duplicate: tuple[int, int, Status]) -> None:
    queue = filled_queue(BUSY_QUEUE_LENGTH + 10)
    for _ in range(TRANSMISSIONS):
        queue.on_duplicate(*duplicate)
    assert len(queue) == BUSY_QUEUE_LENGTH + 10


def test_duplicates_are_ignored_in_a_short_queue() -> None:
    queue = filled_queue(BUSY_QUEUE_LENGTH - 1)
    for _ in range(TRANSMISSIONS):
        queue.on_duplicate(5, 1, Status.SUSPECT)
    assert len(queue) == BUSY_QUEUE_LENGTH - 1


def test_zone_sums_do_not_count_as_member_updates() -> None:
    queue = BroadcastQueue(3.0)
    queue.add("zone", ZoneSum("zone", 1, 1, 1))
    queue.add("zone", ZoneSum("zone", 2, 1, 1))
    assert len(queue) == 1
    assert not queue.has_member_updates
    queue.add(5, StatusUpdate(5, 1, Status.SUSPECT))
    assert queue.has_member_updates
    for _ in range(TRANSMISSIONS):
        queue.take(ROOM_BYTES, FLEET_SIZE)
    assert len(queue) == 0
    assert not queue.has_member_updates


def test_least_sent_updates_are_sent_first() -> None:
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


def test_only_the_newest_update_of_a_member_or_zone_is_queued() -> None:
    queue = BroadcastQueue(3.0)
    queue.add(record_of(1).id, record_of(1))
    queue.add(record_of(1).id, StatusUpdate(record_of(1).id, 0, DEAD))
    queue.add("a", ZoneSum("a", 1, 1, 1))
    queue.add("a", ZoneSum("a", 2, 1, 1))
    assert queue.take(1_000, 10) == (StatusUpdate(record_of(1).id, 0, DEAD), ZoneSum("a", 2, 1, 1))


def test_queue_is_bounded_and_keeps_the_newest_updates() -> None:
    queue = BroadcastQueue(3.0)
    for member in range(MAX_QUEUED):
        queue.add(member, StatusUpdate(member, 0, SUSPECT))
    sent_once = queue.take(RECORDS_ROOM_BYTES, 100)
    queue.add(10**6, StatusUpdate(10**6, 0, SUSPECT))
    assert len(queue) == MAX_QUEUED and queue.dropped == 1
    queued = {broadcast.update for broadcast in queue._broadcasts.values()}
    assert StatusUpdate(10**6, 0, SUSPECT) in queued
    assert sent_once[0] not in queued
