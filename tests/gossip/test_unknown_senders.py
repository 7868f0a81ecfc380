"""Senders that are not in the member table.

The story: a new member must get answers so that it can join. Whoever sends under a thousand names must not
make a member send without bound, nor fill its table.
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
    Lone,
    record_of,
)


def test_a_new_process_of_a_known_name_is_sent_the_incarnation_to_exceed() -> None:
    known, new = record_of(1, incarnation=5, process_id=11), record_of(1, process_id=22)
    lone = Lone(known)
    source = ("10.9.9.9", 7777)
    sends = lone.receive(new, SyncRequest(0), source)
    assert Send(source, Gossip((known,)), Priority.MEMBERSHIP) in sends
    lone.receive(new, SyncRequest(0), source)
    answers = [send for send in lone.sends if send.message == Gossip((known,))]
    assert len(answers) == 1


def test_unknown_senders_get_what_lets_them_join_and_no_more_than_a_bound() -> None:
    lone = Lone(record_of(1))
    sender = record_of(500)
    kinds = Counter(type(send.message) for send in lone.receive(sender, SyncRequest(0)))
    assert kinds[SyncReply] == 1 and set(kinds) <= {SyncReply, SyncRequest}
    sends = lone.receive(sender, Ping(1, lone.me.id))
    assert [send.message for send in sends if isinstance(send.message, Ack)] == [Ack(1)]
    answers: list[Send] = []
    for number in range(1_000):
        answers += lone.receive(record_of(1000 + number), SyncRequest(0))
        answers += lone.receive(record_of(1000 + number), PingRequest(1, record_of(1).id))
    assert len(answers) <= ACKS_PER_SECOND + 2 * PAGES_PER_SECOND
    assert len(lone.membership.members) == 2
    assert lone.figure("strangers") >= 2_000


def test_an_unknown_sender_is_asked_for_its_table() -> None:
    lone = Lone(record_of(1))
    lone.receive(record_of(1), SyncReply((), False))
    sender = record_of(500)
    sends = lone.receive(sender, Ping(1, lone.me.id))
    assert [send.destination for send in sends if isinstance(send.message, SyncRequest)] == [sender.address]
    lone.receive(sender, SyncReply((sender,), False))
    assert lone.status(sender) is ALIVE
