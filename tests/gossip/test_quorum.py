"""The rules of the quorum at one voter, which receives hand-made messages."""

from __future__ import annotations

import random
from typing import Any

from saltcourse.gossip.acceptor import MAX_ACCEPTED
from saltcourse.gossip.codec import Codec
from saltcourse.gossip.messages import (
    Accepted,
    AcceptedChange,
    Change,
    Header,
    Heartbeat,
    LeaseGrant,
    LeaseRequest,
    Persist,
    Position,
    Prepare,
    Promise,
    Propose,
    Publish,
    Published,
    PublishError,
    PublishFailed,
    Rejected,
    ReplicaState,
    Send,
)
from saltcourse.gossip.proposer import WINDOW
from saltcourse.gossip.publish_queue import MAX_PENDING
from saltcourse.gossip.quorum import Phase, Quorum
from saltcourse.gossip.quorum_actions import AdvanceHeartbeat, Commit, QuorumAction
from saltcourse.gossip.settings import Timing, Voter
from saltcourse.gossip.sizes import is_encodable
from tests.gossip.quorum_changes import change

VOTERS = tuple(Voter(f"v{i}", (f"10.0.0.{i + 1}", 4_000)) for i in range(5))
WRITES = (("key", b"value"),)


def new_voter(index: int = 0, count: int = 3, state: ReplicaState | None = None) -> Quorum:
    voters = VOTERS[:count]
    voter = Quorum(voters[index], voters, Timing(), random.Random(1), state or ReplicaState())
    voter.start(0.0)
    return voter


def deliver(voter: Quorum, sender: int, message: Any, now: float = 0.1) -> list[QuorumAction]:
    """Return the actions after a message from another voter."""
    source = VOTERS[sender]
    return voter.handle(now, source.address, Header(source.id, 0, 0), message)


def sent_messages(actions: list[QuorumAction]) -> list[Any]:
    return [action.message for action in actions if isinstance(action, Send)]


def test_a_single_voter_commits_and_advances_its_heartbeat_without_messages() -> None:
    voter = Quorum(VOTERS[0], VOTERS[:1], Timing(), random.Random(1), ReplicaState())
    assert voter.start(0.0) == [Persist(ReplicaState(promised=1)), AdvanceHeartbeat(Heartbeat(1, 1))]
    position = Position(1, 1)
    persist, commit, published = voter.publish(0.1, Publish(7, WRITES))
    assert isinstance(persist, Persist) and persist.state.accepted[0].change.position == position
    assert (commit, published) == (Commit(Change(position, WRITES)), Published(7, position))
    (persist,) = voter.on_applied(0.1, position, dict(WRITES))
    assert persist == Persist(ReplicaState(1, position, WRITES))
    assert voter.tick(1.0) == [AdvanceHeartbeat(Heartbeat(1, 2))]


def test_a_restarted_single_voter_commits_its_accepted_change_under_a_new_epoch() -> None:
    state = ReplicaState(promised=3, accepted=(AcceptedChange(3, change(3, 1)),))
    voter = Quorum(VOTERS[0], VOTERS[:1], Timing(), random.Random(1), state)
    actions = voter.start(0.0)
    assert Commit(change(3, 1)) in actions
    assert actions[0] == Persist(ReplicaState(4, accepted=(AcceptedChange(4, change(3, 1)),)))


def test_a_new_epoch_belongs_to_its_voter_and_is_above_all_epochs_seen() -> None:
    voter = new_voter(index=1, state=ReplicaState(promised=9))
    voter.observe(0.1, Position(11, 0), Heartbeat(12, 5))
    actions = voter.publish(0.2, Publish(1, WRITES))
    assert actions == [
        Persist(ReplicaState(promised=13)),
        Send(VOTERS[0].address, Prepare(13)),
        Send(VOTERS[2].address, Prepare(13)),
    ]


def test_messages_under_another_voters_epoch_and_from_unknown_senders_are_ignored() -> None:
    voter = new_voter()
    for message in (Prepare(4), Propose(4, change(4, 1)), LeaseRequest(4, 1)):
        assert deliver(voter, 2, message) == []  # with three voters, epoch 4 belongs to v1
        assert deliver(voter, 3, message) == []  # v3 is not one of the three voters
        assert deliver(voter, 0, message) == []  # the voter itself
        assert deliver(voter, 1, message) != []


def test_a_promise_is_persisted_before_it_is_sent_and_older_epochs_are_then_rejected() -> None:
    voter = new_voter()
    assert deliver(voter, 2, Prepare(5)) == [
        Persist(ReplicaState(promised=5)),
        Send(VOTERS[2].address, Promise(5, Position(), 0)),
    ]
    assert deliver(voter, 2, Prepare(5)) == [Send(VOTERS[2].address, Promise(5, Position(), 0))]
    for message in (Prepare(4), Propose(4, change(4, 1)), LeaseRequest(4, 1)):
        assert deliver(voter, 1, message) == [Send(VOTERS[1].address, Rejected(5))]


def test_an_accepted_change_is_persisted_before_its_answer_and_sent_with_a_promise() -> None:
    voter = new_voter()
    persist, accepted = deliver(voter, 1, Propose(4, change(4, 1)))
    entry = AcceptedChange(4, change(4, 1))
    assert persist == Persist(ReplicaState(promised=4, accepted=(entry,)))
    assert accepted == Send(VOTERS[1].address, Accepted(4, Position(4, 1)))
    assert deliver(voter, 1, Propose(4, change(4, 1))) == [accepted]  # a repeat, with nothing new to persist
    assert sent_messages(deliver(voter, 2, Prepare(5))) == [Promise(5, Position(), 1, entry)]


def test_a_proposal_after_a_gap_is_buffered_until_the_gap_is_filled() -> None:
    voter = new_voter()
    assert deliver(voter, 1, Propose(4, change(4, 3))) == []
    assert deliver(voter, 1, Propose(4, change(4, 2))) == []
    persist, accepted = deliver(voter, 1, Propose(4, change(4, 1)))
    assert isinstance(persist, Persist) and len(persist.state.accepted) == 3
    assert accepted == Send(VOTERS[1].address, Accepted(4, Position(4, 3)))


def test_a_lagging_voter_accepts_after_it_has_caught_up_and_notifies_the_publisher() -> None:
    voter = new_voter()
    assert deliver(voter, 1, Propose(4, change(4, 3))) == []
    persist, accepted = voter.on_applied(0.2, Position(4, 2), {"key": b"value"})
    assert isinstance(persist, Persist) and persist.state.accepted == (AcceptedChange(4, change(4, 3)),)
    assert accepted == Send(VOTERS[1].address, Accepted(4, Position(4, 3)))


def test_accepted_changes_up_to_the_applied_version_are_dropped() -> None:
    voter = new_voter()
    for version in (1, 2, 3):
        deliver(voter, 1, Propose(4, change(4, version)))
    (persist,) = voter.on_applied(0.2, Position(4, 2), {"b": b"2", "a": b"1"})
    kept = AcceptedChange(4, change(4, 3))
    assert persist == Persist(ReplicaState(4, Position(4, 2), (("a", b"1"), ("b", b"2")), (kept,)))
    assert voter.on_applied(0.3, Position(4, 1), {}) == []


def test_the_number_of_accepted_changes_is_bounded() -> None:
    voter = new_voter()
    for version in range(1, MAX_ACCEPTED + 5):
        deliver(voter, 1, Propose(4, change(4, version)))
    assert voter.metrics()["quorum.accepted"] == MAX_ACCEPTED


def test_proposals_are_limited_to_the_window_and_commits_are_in_order() -> None:
    voter = new_voter()
    for token in range(WINDOW + 5):
        voter.publish(0.1, Publish(token, WRITES))
    actions = deliver(voter, 1, Promise(3, Position(), 0))
    assert len([m for m in sent_messages(actions) if isinstance(m, Propose)]) == 2 * WINDOW
    committed = [
        a.change.position.version
        for a in deliver(voter, 1, Accepted(3, Position(3, 2)))
        if isinstance(a, Commit)
    ]
    assert committed == [1, 2]
    assert sent_messages(voter.on_applied(0.2, Position(3, 1), {})) == []  # not before both are applied
    proposed = sent_messages(voter.on_applied(0.2, Position(3, 2), {}))
    assert {m.change.position.version for m in proposed} == {WINDOW + 1, WINDOW + 2}


def test_a_candidate_applies_committed_changes_before_it_proposes() -> None:
    voter = new_voter()
    voter.publish(0.1, Publish(1, WRITES))
    assert sent_messages(deliver(voter, 1, Promise(3, Position(2, 1), 1))) == []
    assert voter.phase is Phase.CATCHING_UP
    proposed = sent_messages(voter.on_applied(0.2, Position(2, 1), {}))
    assert Propose(3, Change(Position(3, 2), WRITES)) in proposed


def test_a_candidate_proposes_reported_changes_again_at_their_original_positions() -> None:
    voter = new_voter()
    voter.publish(0.1, Publish(1, WRITES))
    first, second = change(2, 1), change(2, 2)
    assert sent_messages(deliver(voter, 1, Promise(3, Position(), 2, AcceptedChange(2, second)))) == []
    proposed = [
        m.change
        for m in sent_messages(deliver(voter, 1, Promise(3, Position(), 2, AcceptedChange(2, first))))
        if isinstance(m, Propose)
    ]
    assert proposed[::2] == [first, second, Change(Position(3, 3), WRITES)]


def test_any_sign_of_a_newer_epoch_ends_publishing_and_keeps_the_change_pending() -> None:
    def rejected(voter: Quorum) -> None:
        deliver(voter, 1, Rejected(4))

    def heartbeat(voter: Quorum) -> None:
        voter.observe(0.1, Position(), Heartbeat(4, 1))

    def position(voter: Quorum) -> None:
        voter.observe(0.1, Position(4, 1), Heartbeat())

    def prepare(voter: Quorum) -> None:
        deliver(voter, 1, Prepare(4))

    for show_newer_epoch in (rejected, heartbeat, position, prepare):
        voter = new_voter()
        voter.publish(0.1, Publish(1, WRITES))
        deliver(voter, 1, Promise(3, Position(), 0))
        assert voter.phase is Phase.PUBLISHING
        show_newer_epoch(voter)
        assert voter.phase is Phase.FOLLOWING
        assert voter.metrics()["quorum.pending"] == 1


def test_a_change_whose_version_was_taken_by_another_is_proposed_at_the_next_version() -> None:
    voter = new_voter()
    voter.publish(0.1, Publish(1, WRITES))
    deliver(voter, 1, Promise(3, Position(), 0))
    deliver(voter, 1, Prepare(4))
    voter.on_applied(0.2, Position(4, 1), {})
    voter.tick(voter.next_deadline())
    assert voter.phase is Phase.PREPARING
    proposed = sent_messages(deliver(voter, 2, Promise(6, Position(4, 1), 1)))
    assert Propose(6, Change(Position(6, 2), WRITES)) in proposed


def test_a_change_with_unknown_outcome_is_neither_proposed_again_nor_reported_as_published() -> None:
    voter = new_voter()
    voter.publish(0.1, Publish(1, WRITES))
    deliver(voter, 1, Promise(3, Position(), 0))
    deliver(voter, 1, Prepare(4))
    actions = voter.on_applied(0.2, Position(4, 2), {})  # version 1 may be this change or another one
    assert not any(isinstance(action, Published | PublishFailed) for action in actions)
    actions = voter.tick(4.1)  # a takeover may start here too, with nothing to propose
    results = [action for action in actions if isinstance(action, Published | PublishFailed)]
    assert results == [PublishFailed(1, PublishError.NO_MAJORITY)]
    assert not any(isinstance(action, Send) and isinstance(action.message, Propose) for action in actions)
    assert voter.metrics()["quorum.pending"] == 0


def test_a_re_proposed_change_may_be_committed_by_the_earlier_publisher() -> None:
    voter = new_voter()
    voter.publish(0.1, Publish(1, WRITES))
    deliver(voter, 1, Promise(3, Position(), 1, AcceptedChange(2, change(2, 1))))
    voter.on_applied(0.2, Position(2, 1), {})
    assert voter.phase is Phase.PUBLISHING
    assert Commit(Change(Position(3, 2), WRITES)) in deliver(voter, 1, Accepted(3, Position(3, 2)))


def test_a_lease_renewal_needs_grants_of_the_same_request_from_a_majority() -> None:
    voter = new_voter(count=5)
    voter.publish(0.1, Publish(1, WRITES))
    for sender in (1, 2):
        deliver(voter, sender, Promise(5, Position(), 0))
    assert deliver(voter, 1, LeaseGrant(5, 1)) == []
    assert deliver(voter, 1, LeaseGrant(5, 1)) == []  # a repeated grant counts once
    assert deliver(voter, 2, LeaseGrant(5, 2)) == []
    assert deliver(voter, 2, LeaseGrant(5, 1)) == [AdvanceHeartbeat(Heartbeat(5, 1))]
    assert deliver(voter, 3, LeaseGrant(5, 1)) == []


def test_a_change_that_is_too_large_or_exceeds_the_queue_is_rejected_immediately() -> None:
    voter = new_voter()
    assert voter.publish(0.1, Publish(1, (("key", bytes(1_000)),))) == [
        PublishFailed(1, PublishError.TOO_LARGE)
    ]
    for token in range(MAX_PENDING):
        assert not any(isinstance(a, PublishFailed) for a in voter.publish(0.1, Publish(token, WRITES)))
    assert voter.publish(0.1, Publish(99, WRITES)) == [PublishFailed(99, PublishError.BUSY)]


def test_the_largest_change_fits_into_one_datagram_in_a_proposal_and_in_a_promise() -> None:
    writes = (("key", bytes(985)),)  # 1,000 bytes encoded
    assert is_encodable(writes) and not is_encodable((("key", bytes(986)),))
    largest = Change(Position(2**32 - 1, 2**32 - 1), writes)
    codec = Codec(b"key")
    header = Header(VOTERS[0].id, 0, 0)
    for message in (
        Propose(2**32 - 1, largest),
        Promise(2**32 - 1, Position(), 64, AcceptedChange(2**32 - 1, largest)),
    ):
        assert codec.decode(codec.encode(header, message)) == (header, message)


def test_a_change_that_would_make_the_configuration_too_large_is_rejected_alone() -> None:
    full = tuple((f"key{i:04}", bytes(900)) for i in range(288))  # 262,080 bytes encoded
    state = ReplicaState(committed=Position(1, 288), configuration=full)
    voter = Quorum(VOTERS[0], VOTERS[:1], Timing(), random.Random(1), state)
    voter.start(0.0)
    assert voter.publish(0.1, Publish(1, (("more", bytes(100)),))) == [
        PublishFailed(1, PublishError.TOO_LARGE)
    ]
    assert Published(2, Position(2, 289)) in voter.publish(0.1, Publish(2, (("key0000", None),)))
    voter.on_applied(0.1, Position(2, 289), dict(full[1:]))
    assert Published(3, Position(2, 290)) in voter.publish(0.1, Publish(3, (("more", bytes(100)),)))
