"""The queue of messages that wait for the byte budget."""

from __future__ import annotations

from saltcourse.gossip.messages import Address, Change, Changes, Fetch, Gossip, Position, Priority, Send
from saltcourse.gossip.send_queue import MAX_QUEUED_MESSAGES, SendQueue

FIRST: Address = ("127.0.0.1", 1)
SECOND: Address = ("127.0.0.1", 2)
LIFETIME = 0.5  # seconds


def answer(destination: Address, version: int) -> Send:
    change = Change(Position(1, version), (("key", b"value"),))
    return Send(destination, Changes((change,)), Priority.CONFIGURATION)


def drain(queue: SendQueue, now: float = 0.0) -> list[Send]:
    sends = []
    while (send := queue.pop(now)) is not None:
        sends.append(send)
    return sends


def test_newer_answer_replaces_a_queued_one() -> None:
    queue = SendQueue(LIFETIME)
    queue.push(0.0, answer(FIRST, 1))
    queue.push(0.0, answer(SECOND, 1))
    queue.push(0.0, answer(FIRST, 2))
    assert drain(queue) == [answer(FIRST, 2), answer(SECOND, 1)]


def test_small_messages_are_sent_first_then_the_newest_changes() -> None:
    queue = SendQueue(LIFETIME)
    announcement = Send(SECOND, Gossip(), Priority.CONFIGURATION)
    for send in (answer(FIRST, 3), answer(SECOND, 9), announcement):
        queue.push(0.0, send)
    assert drain(queue) == [announcement, answer(SECOND, 9), answer(FIRST, 3)]


def test_expired_answer_is_dropped_unless_it_was_renewed() -> None:
    queue = SendQueue(LIFETIME)
    queue.push(0.0, answer(FIRST, 1))
    queue.push(0.0, answer(SECOND, 1))
    queue.push(LIFETIME / 2, answer(SECOND, 1))
    assert drain(queue, LIFETIME) == [answer(SECOND, 1)]
    assert queue.dropped == 1


def test_messages_of_different_types_to_one_member_are_all_queued() -> None:
    queue = SendQueue(LIFETIME)
    sends = [
        answer(FIRST, 1),
        Send(FIRST, Fetch(Position()), Priority.CONFIGURATION),
        Send(FIRST, Gossip(), Priority.CONFIGURATION),
    ]
    for send in sends:
        queue.push(0.0, send)
    assert drain(queue) == [sends[1], sends[2], sends[0]]


def test_membership_messages_are_never_replaced() -> None:
    """Each of them contains other updates."""
    queue = SendQueue(LIFETIME)
    for _ in range(3):
        queue.push(0.0, Send(FIRST, Gossip(), Priority.MEMBERSHIP))
    assert len(drain(queue)) == 3


def test_most_urgent_priority_is_first_and_each_priority_is_bounded() -> None:
    queue = SendQueue(LIFETIME)
    extra = 5
    for number in range(MAX_QUEUED_MESSAGES[Priority.MEMBERSHIP] + extra):
        queue.push(0.0, Send(("127.0.0.1", number + 1), Gossip(), Priority.MEMBERSHIP))
    queue.push(0.0, answer(FIRST, 1))
    sends = drain(queue)
    assert sends[0] == answer(FIRST, 1)
    assert len(sends) == MAX_QUEUED_MESSAGES[Priority.MEMBERSHIP] + 1
    assert sends[1].destination == ("127.0.0.1", extra + 1)
    assert queue.dropped == extra
