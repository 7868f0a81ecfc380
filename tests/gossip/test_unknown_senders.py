"""Senders that are not in the member table.

A new member must get answers so that it can join. A sender that uses a thousand names must not cause an
unlimited number of answers and must not fill the table.
"""

from __future__ import annotations

from collections import Counter

from saltcourse.gossip.messages import (
    Ack,
    Gossip,
    Ping,
    PingRequest,
    Priority,
    Send,
    SyncReply,
    SyncRequest,
)
from saltcourse.gossip.unknown_senders import ACKS_PER_SECOND, PAGES_PER_SECOND
from tests.gossip.membership_fleet import (
    ALIVE,
    MemberHarness,
    record_of,
)


def test_new_process_with_a_known_name_is_sent_the_known_record() -> None:
    known, new = record_of(1, incarnation=5, process_id=11), record_of(1, process_id=22)
    harness = MemberHarness(known)
    source = ("10.9.9.9", 7777)
    sends = harness.receive(new, SyncRequest(0), source)
    assert Send(source, Gossip((known,)), Priority.MEMBERSHIP) in sends
    harness.receive(new, SyncRequest(0), source)
    answers = [send for send in harness.sends if send.message == Gossip((known,))]
    assert len(answers) == 1


def test_unknown_senders_are_answered_so_that_they_can_join_but_rate_limited() -> None:
    harness = MemberHarness(record_of(1))
    sender = record_of(500)
    kinds = Counter(type(send.message) for send in harness.receive(sender, SyncRequest(0)))
    assert kinds[SyncReply] == 1 and set(kinds) <= {SyncReply, SyncRequest}
    sends = harness.receive(sender, Ping(1, harness.initial_record.id))
    assert [send.message for send in sends if isinstance(send.message, Ack)] == [Ack(1)]
    answers: list[Send] = []
    for number in range(1_000):
        answers += harness.receive(record_of(1000 + number), SyncRequest(0))
        answers += harness.receive(record_of(1000 + number), PingRequest(1, record_of(1).id))
    assert len(answers) <= ACKS_PER_SECOND + 2 * PAGES_PER_SECOND
    assert len(harness.membership.members) == 2
    assert harness.metric("strangers") >= 2_000


def test_table_of_an_unknown_sender_is_requested() -> None:
    harness = MemberHarness(record_of(1))
    harness.receive(record_of(1), SyncReply((), False))
    sender = record_of(500)
    sends = harness.receive(sender, Ping(1, harness.initial_record.id))
    assert [send.destination for send in sends if isinstance(send.message, SyncRequest)] == [sender.address]
    harness.receive(sender, SyncReply((sender,), False))
    assert harness.status(sender) is ALIVE
