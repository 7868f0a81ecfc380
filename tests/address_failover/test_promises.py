"""A voter's promises: when they are active, how they end, and which changes are stored."""

from __future__ import annotations

from saltcourse.address_failover.actions import StoreVote
from saltcourse.address_failover.messages import LeaseRenewal, VoteRequest
from saltcourse.address_failover.promises import VoterPromises
from saltcourse.address_failover.vote import RecoveredState, Vote

LEASE_DURATION = 0.6  # seconds
FIRST, SECOND = 64, 128  # terms of two rounds


def new_promises(recovered: RecoveredState | None = None) -> VoterPromises:
    return VoterPromises("me", LEASE_DURATION, 0.0, recovered or RecoveredState(never_promised=True))


def test_a_promise_is_exclusive_until_it_expires() -> None:
    promises = new_promises()
    assert promises.vote_for(0.0, "a", FIRST) == [StoreVote(Vote(FIRST, "a", "a"))]
    assert promises.can_promise_to(0.1, "a") and not promises.can_promise_to(0.59, "b")
    assert promises.all_expired_at(0.1) == LEASE_DURATION and promises.can_promise_to(LEASE_DURATION, "b")


def test_only_a_release_by_the_receiver_in_the_same_term_ends_a_promise() -> None:
    promises = new_promises()
    promises.vote_for(0.0, "a", FIRST)
    assert not promises.release(0.1, "a", SECOND) and not promises.release(0.1, "b", FIRST)
    assert not promises.can_promise_to(0.1, "b")
    assert promises.release(0.1, "a", FIRST) and promises.can_promise_to(0.1, "b")


def test_a_transferred_term_voids_only_a_promise_to_another_member_in_that_term() -> None:
    promises = new_promises()
    promises.vote_for(0.0, "a", FIRST)
    assert not promises.can_promise_to(0.1, "b", SECOND) and promises.can_promise_to(0.1, "b", FIRST)
    promises.vote_for(0.7, "me", SECOND)
    assert not promises.can_promise_to(0.8, "b", SECOND)


def test_a_renewal_of_the_same_holder_is_not_stored() -> None:
    # Storing each renewal would mean eight fsyncs per second.
    promises = new_promises()
    promises.vote_for(0.0, "a", FIRST)
    assert promises.promise_to(0.1, "a", FIRST) == []
    assert promises.promise_to(0.8, "b", SECOND) == [StoreVote(Vote(FIRST, "a", "b"))]


def test_after_a_restart_a_voter_makes_promises_only_to_the_receiver_of_its_last_one() -> None:
    # The process was killed and restarted within a lease duration, so its last promise may still be active.
    promises = new_promises(RecoveredState(Vote(FIRST, "a", "a")))
    assert promises.can_promise_to(0.1, "a") and not promises.can_promise_to(0.1, "b")
    assert promises.can_promise_to(LEASE_DURATION, "b")


def test_without_a_stored_vote_a_restarted_voter_abstains_for_a_lease_duration() -> None:
    promises = new_promises(RecoveredState(lowest_term=SECOND))
    assert promises.vote.term == SECOND
    assert not promises.can_promise_to(0.1, "a") and promises.can_promise_to(LEASE_DURATION, "a")


def test_one_vote_is_given_per_round_and_repeated_on_request() -> None:
    promises = new_promises()
    promises.vote_for(0.0, "a", FIRST)
    assert promises.would_vote(0.1, "a", VoteRequest(FIRST, 0.1))
    assert not promises.would_vote(0.1, "a", VoteRequest(FIRST, 0.1, pre_vote=True))
    assert not promises.would_vote(0.7, "b", VoteRequest(FIRST + 1, 0.7))
    assert promises.would_vote(0.7, "b", VoteRequest(SECOND + 1, 0.7))


def test_a_renewal_from_before_the_holders_last_candidacy_is_not_acknowledged() -> None:
    # Datagrams may be reordered: a renewal of an old lease may arrive after the vote for a new one.
    promises = new_promises()
    promises.vote_for(0.0, "a", SECOND)
    assert not promises.would_renew(0.1, "a", LeaseRenewal(FIRST, 0.0))
    assert promises.would_renew(0.1, "a", LeaseRenewal(SECOND, 0.1))


def test_learning_a_newer_term_keeps_the_promise() -> None:
    promises = new_promises()
    promises.vote_for(0.0, "a", FIRST)
    assert promises.learn_term(FIRST) == []
    assert promises.learn_term(SECOND) == [StoreVote(Vote(SECOND, "", "a"))]
