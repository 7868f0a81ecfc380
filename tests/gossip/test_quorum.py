"""One voter alone: each rule of the quorum against hand-made messages."""

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
from tests.gossip.quorum_voters import change

VOTERS = tuple(Voter(f"v{i}", (f"10.0.0.{i + 1}", 4_000)) for i in range(5))
WRITES = (("key", b"value"),)


def quorum(index: int = 0, count: int = 3, state: ReplicaState | None = None) -> Quorum:
    voters = VOTERS[:count]
    found = Quorum(voters[index], voters, Timing(), random.Random(1), state or ReplicaState())
    found.start(0.0)
    return found


def hand(core: Quorum, sender: int, message: Any, now: float = 0.1) -> list[QuorumAction]:
    """The actions that follow a message of another voter."""
    voter = VOTERS[sender]
    return core.handle(now, voter.address, Header(voter.id, 0, 0), message)


def messages(actions: list[QuorumAction]) -> list[Any]:
    return [action.message for action in actions if isinstance(action, Send)]


def test_a_single_voter_commits_without_a_message_and_beats() -> None:
    core = Quorum(VOTERS[0], VOTERS[:1], Timing(), random.Random(1), ReplicaState())
    assert core.start(0.0) == [Persist(ReplicaState(promised=1)), AdvanceHeartbeat(Heartbeat(1, 1))]
    position = Position(1, 1)
    persist, commit, published = core.publish(0.1, Publish(7, WRITES))
    assert isinstance(persist, Persist) and persist.state.accepted[0].change.position == position
    assert (commit, published) == (Commit(Change(position, WRITES)), Published(7, position))
    (persist,) = core.applied(0.1, position, dict(WRITES))
    assert persist == Persist(ReplicaState(1, position, WRITES))
    assert core.tick(1.0) == [AdvanceHeartbeat(Heartbeat(1, 2))]


def test_a_single_voter_publishes_under_a_new_epoch_after_a_restart_what_it_had_accepted() -> None:
    state = ReplicaState(promised=3, accepted=(AcceptedChange(3, change(3, 1)),))
    core = Quorum(VOTERS[0], VOTERS[:1], Timing(), random.Random(1), state)
    actions = core.start(0.0)
    assert Commit(change(3, 1)) in actions
    assert actions[0] == Persist(ReplicaState(4, accepted=(AcceptedChange(4, change(3, 1)),)))


def test_an_epoch_is_its_voters_alone_and_above_all_that_were_seen() -> None:
    core = quorum(index=1, state=ReplicaState(promised=9))
    core.observe(0.1, Position(11, 0), Heartbeat(12, 5))
    actions = core.publish(0.2, Publish(1, WRITES))
    assert actions == [
        Persist(ReplicaState(promised=13)),
        Send(VOTERS[0].address, Prepare(13)),
        Send(VOTERS[2].address, Prepare(13)),
    ]


def test_messages_under_an_epoch_of_another_voter_and_of_unknown_senders_are_ignored() -> None:
    core = quorum()
    for message in (Prepare(4), Propose(4, change(4, 1)), LeaseRequest(4, 1)):
        assert hand(core, 2, message) == []  # epoch 4 of three voters is v1's
        assert hand(core, 3, message) == []  # v3 is none of the three
        assert hand(core, 0, message) == []  # itself
        assert hand(core, 1, message) != []


def test_a_promise_is_persisted_ahead_of_its_answer_and_keeps_older_epochs_out() -> None:
    core = quorum()
    assert hand(core, 2, Prepare(5)) == [
        Persist(ReplicaState(promised=5)),
        Send(VOTERS[2].address, Promise(5, Position(), 0)),
    ]
    assert hand(core, 2, Prepare(5)) == [Send(VOTERS[2].address, Promise(5, Position(), 0))]
    for message in (Prepare(4), Propose(4, change(4, 1)), LeaseRequest(4, 1)):
        assert hand(core, 1, message) == [Send(VOTERS[1].address, Rejected(5))]


def test_an_accepted_change_is_persisted_ahead_of_its_answer_and_sent_with_a_promise() -> None:
    core = quorum()
    persist, accepted = hand(core, 1, Propose(4, change(4, 1)))
    entry = AcceptedChange(4, change(4, 1))
    assert persist == Persist(ReplicaState(promised=4, accepted=(entry,)))
    assert accepted == Send(VOTERS[1].address, Accepted(4, Position(4, 1)))
    assert hand(core, 1, Propose(4, change(4, 1))) == [accepted]  # again, with nothing new to persist
    assert messages(hand(core, 2, Prepare(5))) == [Promise(5, Position(), 1, entry)]


def test_a_proposal_behind_a_gap_waits_for_the_one_before_it() -> None:
    core = quorum()
    assert hand(core, 1, Propose(4, change(4, 3))) == []
    assert hand(core, 1, Propose(4, change(4, 2))) == []
    persist, accepted = hand(core, 1, Propose(4, change(4, 1)))
    assert isinstance(persist, Persist) and len(persist.state.accepted) == 3
    assert accepted == Send(VOTERS[1].address, Accepted(4, Position(4, 3)))


def test_a_voter_behind_accepts_once_it_has_caught_up_and_notifies_the_publisher() -> None:
    core = quorum()
    assert hand(core, 1, Propose(4, change(4, 3))) == []
    persist, accepted = core.applied(0.2, Position(4, 2), {"key": b"value"})
    assert isinstance(persist, Persist) and persist.state.accepted == (AcceptedChange(4, change(4, 3)),)
    assert accepted == Send(VOTERS[1].address, Accepted(4, Position(4, 3)))


def test_an_applied_version_takes_the_accepted_changes_up_to_it_away() -> None:
    core = quorum()
    for version in (1, 2, 3):
        hand(core, 1, Propose(4, change(4, version)))
    (persist,) = core.applied(0.2, Position(4, 2), {"b": b"2", "a": b"1"})
    kept = AcceptedChange(4, change(4, 3))
    assert persist == Persist(ReplicaState(4, Position(4, 2), (("a", b"1"), ("b", b"2")), (kept,)))
    assert core.applied(0.3, Position(4, 1), {}) == []


def test_accepted_and_held_changes_have_a_bound() -> None:
    core = quorum()
    for version in range(1, MAX_ACCEPTED + 5):
        hand(core, 1, Propose(4, change(4, version)))
    assert core.metrics()["quorum.accepted"] == MAX_ACCEPTED


def test_no_more_than_the_window_is_under_way_and_commits_leave_in_order() -> None:
    core = quorum()
    for token in range(WINDOW + 5):
        core.publish(0.1, Publish(token, WRITES))
    actions = hand(core, 1, Promise(3, Position(), 0))
    assert len([m for m in messages(actions) if isinstance(m, Propose)]) == 2 * WINDOW
    committed = [
        a.change.position.version for a in hand(core, 1, Accepted(3, Position(3, 2))) if isinstance(a, Commit)
    ]
    assert committed == [1, 2]
    assert messages(core.applied(0.2, Position(3, 1), {})) == []  # not before both are applied
    proposed = messages(core.applied(0.2, Position(3, 2), {}))
    assert {m.change.position.version for m in proposed} == {WINDOW + 1, WINDOW + 2}


def test_a_candidate_waits_for_what_is_committed_before_it_proposes() -> None:
    core = quorum()
    core.publish(0.1, Publish(1, WRITES))
    assert messages(hand(core, 1, Promise(3, Position(2, 1), 1))) == []
    assert core.phase is Phase.CATCHING_UP
    proposed = messages(core.applied(0.2, Position(2, 1), {}))
    assert Propose(3, Change(Position(3, 2), WRITES)) in proposed


def test_a_candidate_proposes_again_at_the_first_position_what_a_promise_reports() -> None:
    core = quorum()
    core.publish(0.1, Publish(1, WRITES))
    first, second = change(2, 1), change(2, 2)
    assert messages(hand(core, 1, Promise(3, Position(), 2, AcceptedChange(2, second)))) == []
    proposed = [
        m.change
        for m in messages(hand(core, 1, Promise(3, Position(), 2, AcceptedChange(2, first))))
        if isinstance(m, Propose)
    ]
    assert proposed[::2] == [first, second, Change(Position(3, 3), WRITES)]


def test_a_newer_epoch_seen_in_any_way_ends_publishing_and_the_change_goes_on_waiting() -> None:
    def rejected(core: Quorum) -> None:
        hand(core, 1, Rejected(4))

    def heartbeat(core: Quorum) -> None:
        core.observe(0.1, Position(), Heartbeat(4, 1))

    def position(core: Quorum) -> None:
        core.observe(0.1, Position(4, 1), Heartbeat())

    def prepare(core: Quorum) -> None:
        hand(core, 1, Prepare(4))

    for seen in (rejected, heartbeat, position, prepare):
        core = quorum()
        core.publish(0.1, Publish(1, WRITES))
        hand(core, 1, Promise(3, Position(), 0))
        assert core.phase is Phase.PUBLISHING
        seen(core)
        assert core.phase is Phase.FOLLOWING
        assert core.metrics()["quorum.pending"] == 1


def test_a_change_whose_version_went_to_another_is_proposed_anew() -> None:
    core = quorum()
    core.publish(0.1, Publish(1, WRITES))
    hand(core, 1, Promise(3, Position(), 0))
    hand(core, 1, Prepare(4))
    core.applied(0.2, Position(4, 1), {})
    core.tick(core.next_deadline())
    assert core.phase is Phase.PREPARING
    proposed = messages(hand(core, 2, Promise(6, Position(4, 1), 1)))
    assert Propose(6, Change(Position(6, 2), WRITES)) in proposed


def test_a_change_whose_version_was_passed_unseen_is_neither_proposed_anew_nor_reported_as_published() -> (
    None
):
    core = quorum()
    core.publish(0.1, Publish(1, WRITES))
    hand(core, 1, Promise(3, Position(), 0))
    hand(core, 1, Prepare(4))
    actions = core.applied(0.2, Position(4, 2), {})  # version 1 may be this change or another
    assert not any(isinstance(action, Published | PublishFailed) for action in actions)
    actions = core.tick(4.1)  # the time for a takeover may have come as well, with nothing to propose
    results = [action for action in actions if isinstance(action, Published | PublishFailed)]
    assert results == [PublishFailed(1, PublishError.NO_MAJORITY)]
    assert not any(isinstance(action, Send) and isinstance(action.message, Propose) for action in actions)
    assert core.metrics()["quorum.pending"] == 0


def test_an_earlier_publishers_late_commit_counts_for_the_change_proposed_again() -> None:
    core = quorum()
    core.publish(0.1, Publish(1, WRITES))
    hand(core, 1, Promise(3, Position(), 1, AcceptedChange(2, change(2, 1))))
    core.applied(0.2, Position(2, 1), {})
    assert core.phase is Phase.PUBLISHING
    assert Commit(Change(Position(3, 2), WRITES)) in hand(core, 1, Accepted(3, Position(3, 2)))


def test_a_lease_needs_grants_of_its_own_count_from_a_majority() -> None:
    core = quorum(count=5)
    core.publish(0.1, Publish(1, WRITES))
    for sender in (1, 2):
        hand(core, sender, Promise(5, Position(), 0))
    assert hand(core, 1, LeaseGrant(5, 1)) == []
    assert hand(core, 1, LeaseGrant(5, 1)) == []  # twice is once
    assert hand(core, 2, LeaseGrant(5, 2)) == []
    assert hand(core, 2, LeaseGrant(5, 1)) == [AdvanceHeartbeat(Heartbeat(5, 1))]
    assert hand(core, 3, LeaseGrant(5, 1)) == []


def test_what_is_too_large_or_too_much_is_rejected_at_once() -> None:
    core = quorum()
    assert core.publish(0.1, Publish(1, (("key", bytes(1_000)),))) == [
        PublishFailed(1, PublishError.TOO_LARGE)
    ]
    for token in range(MAX_PENDING):
        assert not any(isinstance(a, PublishFailed) for a in core.publish(0.1, Publish(token, WRITES)))
    assert core.publish(0.1, Publish(99, WRITES)) == [PublishFailed(99, PublishError.BUSY)]


def test_the_largest_change_fits_a_datagram_in_a_proposal_and_in_a_promise() -> None:
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


def test_a_configuration_that_would_grow_too_large_is_rejected_and_the_next_change_is_not() -> None:
    full = tuple((f"key{i:04}", bytes(900)) for i in range(288))  # 262,080 bytes encoded
    state = ReplicaState(committed=Position(1, 288), configuration=full)
    core = Quorum(VOTERS[0], VOTERS[:1], Timing(), random.Random(1), state)
    core.start(0.0)
    assert core.publish(0.1, Publish(1, (("more", bytes(100)),))) == [
        PublishFailed(1, PublishError.TOO_LARGE)
    ]
    assert Published(2, Position(2, 289)) in core.publish(0.1, Publish(2, (("key0000", None),)))
    core.applied(0.1, Position(2, 289), dict(full[1:]))
    assert Published(3, Position(2, 290)) in core.publish(0.1, Publish(3, (("more", bytes(100)),)))
