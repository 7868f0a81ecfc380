"""The queue of messages that wait for the byte budget."""

from __future__ import annotations

from saltcourse.gossip.messages import Address, Change, Changes, Fetch, Gossip, Position, Priority, Send
from saltcourse.gossip.send_queue import MAX_WAITING, SendQueue

FIRST: Address = ("127.0.0.1", 1)
SECOND: Address = ("127.0.0.1", 2)
LIFETIME = 0.5  # s


def answer(destination: Address, version: int) -> Send:
    change = Change(Position(1, version), (("key", b"value"),))
    return Send(destination, Changes((change,)), Priority.CONFIGURATION)


def drain(queue: SendQueue, now: float = 0.0) -> list[Send]:
    found = []
    while (send := queue.pop(now)) is not None:
        found.append(send)
    return found


def test_a_newer_answer_replaces_the_one_that_waits() -> None:
    queue = SendQueue(LIFETIME)
    queue.push(0.0, answer(FIRST, 1))
    queue.push(0.0, answer(SECOND, 1))
    queue.push(0.0, answer(FIRST, 2))
    assert drain(queue) == [answer(FIRST, 2), answer(SECOND, 1)]


def test_the_member_furthest_ahead_is_answered_first_and_small_messages_before_it() -> None:
    queue = SendQueue(LIFETIME)
    announcement = Send(SECOND, Gossip(), Priority.CONFIGURATION)
    for send in (answer(FIRST, 3), answer(SECOND, 9), announcement):
        queue.push(0.0, send)
    assert drain(queue) == [announcement, answer(SECOND, 9), answer(FIRST, 3)]


def test_an_answer_that_waited_too_long_is_dropped_and_a_renewed_one_is_not() -> None:
    queue = SendQueue(LIFETIME)
    queue.push(0.0, answer(FIRST, 1))
    queue.push(0.0, answer(SECOND, 1))
    queue.push(LIFETIME / 2, answer(SECOND, 1))
    assert drain(queue, LIFETIME) == [answer(SECOND, 1)]
    assert queue.dropped == 1


def test_different_messages_to_one_member_all_wait() -> None:
    queue = SendQueue(LIFETIME)
    sends = [
        answer(FIRST, 1),
        Send(FIRST, Fetch(Position()), Priority.CONFIGURATION),
        Send(FIRST, Gossip(), Priority.CONFIGURATION),
    ]
    for send in sends:
        queue.push(0.0, send)
    assert drain(queue) == [sends[1], sends[2], sends[0]]


def test_membership_messages_are_never_merged_for_each_has_its_own_updates() -> None:
    queue = SendQueue(LIFETIME)
    for _ in range(3):
        queue.push(0.0, Send(FIRST, Gossip(), Priority.MEMBERSHIP))
    assert len(drain(queue)) == 3


def test_the_most_urgent_priority_goes_first_and_each_is_bounded() -> None:
    queue = SendQueue(LIFETIME)
    extra = 5
    for number in range(MAX_WAITING[Priority.MEMBERSHIP] + extra):
        queue.push(0.0, Send(("127.0.0.1", number + 1), Gossip(), Priority.MEMBERSHIP))
    queue.push(0.0, answer(FIRST, 1))
    found = drain(queue)
    assert found[0] == answer(FIRST, 1)
    assert len(found) == MAX_WAITING[Priority.MEMBERSHIP] + 1
    assert found[1].destination == ("127.0.0.1", extra + 1)
    assert queue.dropped == extra
