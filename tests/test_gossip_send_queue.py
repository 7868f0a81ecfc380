"""The queue of messages that wait for the byte budget."""

from __future__ import annotations

from saltcourse.gossip.messages import Address, Change, Changes, Fetch, Gossip, Position, Priority, Send
from saltcourse.gossip.send_queue import MAX_WAITING, SendQueue

FIRST: Address = ("127.0.0.1", 1)
SECOND: Address = ("127.0.0.1", 2)


def answer(destination: Address, version: int) -> Send:
    change = Change(Position(1, version), (("key", b"value"),))
    return Send(destination, Changes((change,)), Priority.CONFIGURATION)


def drain(queue: SendQueue) -> list[Send]:
    found = []
    while queue:
        found.append(queue.pop())
    return found


def test_a_newer_answer_replaces_the_one_that_waits_and_keeps_its_turn() -> None:
    queue = SendQueue()
    queue.push(answer(FIRST, 1))
    queue.push(answer(SECOND, 1))
    queue.push(answer(FIRST, 2))
    assert drain(queue) == [answer(FIRST, 2), answer(SECOND, 1)]


def test_different_messages_to_one_member_all_wait() -> None:
    queue = SendQueue()
    sends = [
        answer(FIRST, 1),
        Send(FIRST, Fetch(Position()), Priority.CONFIGURATION),
        Send(FIRST, Gossip(), Priority.CONFIGURATION),
    ]
    for send in sends:
        queue.push(send)
    assert drain(queue) == sends


def test_membership_messages_are_never_merged_for_each_has_its_own_updates() -> None:
    queue = SendQueue()
    for _ in range(3):
        queue.push(Send(FIRST, Gossip(), Priority.MEMBERSHIP))
    assert len(drain(queue)) == 3


def test_the_most_urgent_priority_goes_first_and_each_is_bounded() -> None:
    queue = SendQueue()
    extra = 5
    for number in range(MAX_WAITING[Priority.MEMBERSHIP] + extra):
        queue.push(Send(("127.0.0.1", number + 1), Gossip(), Priority.MEMBERSHIP))
    queue.push(answer(FIRST, 1))
    found = drain(queue)
    assert found[0] == answer(FIRST, 1)
    assert len(found) == MAX_WAITING[Priority.MEMBERSHIP] + 1
    assert found[1].destination == ("127.0.0.1", extra + 1)
    assert queue.dropped == extra
