"""The queue of updates on their way through the fleet."""

from __future__ import annotations

import pytest

from saltcourse.gossip.broadcasts import BUSY_QUEUE, BroadcastQueue
from saltcourse.gossip.messages import Status, StatusUpdate, ZoneSum

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


@pytest.mark.parametrize("heard", [(5, 0, Status.SUSPECT), (5, 1, Status.ALIVE), (5, 2, Status.SUSPECT)])
def test_another_claim_about_the_same_member_does_not_count(heard: tuple[int, int, Status]) -> None:
    queue = filled(BUSY_QUEUE + 10)
    for _ in range(LIMIT):
        queue.on_duplicate(*heard)
    assert len(queue) == BUSY_QUEUE + 10


def test_in_a_quiet_queue_every_transmission_is_made() -> None:
    queue = filled(BUSY_QUEUE - 1)
    for _ in range(LIMIT):
        queue.on_duplicate(5, 1, Status.SUSPECT)
    assert len(queue) == BUSY_QUEUE - 1


def test_zone_sums_alone_are_no_news_of_members() -> None:
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
