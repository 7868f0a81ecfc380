"""A voter's promises: what binds it, what frees it, and what it stores."""

from __future__ import annotations

from saltcourse.address_failover.actions import StoreVote
from saltcourse.address_failover.messages import LeaseRenewal, VoteRequest
from saltcourse.address_failover.promises import VoterPromises
from saltcourse.address_failover.vote import RecoveredState, Vote

LEASE_DURATION = 0.6  # s
FIRST, SECOND = 64, 128  # terms of two rounds


def new_promises(recovered: RecoveredState | None = None) -> VoterPromises:
    return VoterPromises("me", LEASE_DURATION, 0.0, recovered or RecoveredState(never_promised=True))


def test_a_promise_binds_until_it_has_expired() -> None:
    promises = new_promises()
    assert promises.vote_for(0.0, "a", FIRST) == [StoreVote(Vote(FIRST, "a", "a"))]
    assert promises.can_promise_to(0.1, "a") and not promises.can_promise_to(0.59, "b")
    assert promises.all_expired_at(0.1) == LEASE_DURATION and promises.can_promise_to(LEASE_DURATION, "b")


def test_a_released_promise_binds_no_more_and_another_release_changes_nothing() -> None:
    promises = new_promises()
    promises.vote_for(0.0, "a", FIRST)
    assert not promises.release(0.1, "a", SECOND) and not promises.release(0.1, "b", FIRST)
    assert not promises.can_promise_to(0.1, "b")
    assert promises.release(0.1, "a", FIRST) and promises.can_promise_to(0.1, "b")


def test_a_transferred_term_frees_only_the_promise_made_in_it_and_never_the_own_one() -> None:
    promises = new_promises()
    promises.vote_for(0.0, "a", FIRST)
    assert not promises.can_promise_to(0.1, "b", SECOND) and promises.can_promise_to(0.1, "b", FIRST)
    promises.vote_for(0.7, "me", SECOND)
    assert not promises.can_promise_to(0.8, "b", SECOND)


def test_a_renewal_of_the_same_holder_stores_nothing() -> None:
    # A write with fsync for each renewal would be eight a second.
    promises = new_promises()
    promises.vote_for(0.0, "a", FIRST)
    assert promises.promise_to(0.1, "a", FIRST) == []
    assert promises.promise_to(0.8, "b", SECOND) == [StoreVote(Vote(FIRST, "a", "b"))]


def test_after_a_restart_only_the_receiver_of_the_last_promise_may_be_promised_something() -> None:
    # The process was killed and came back within a lease: the promise that it gave may still be counted on.
    promises = new_promises(RecoveredState(Vote(FIRST, "a", "a")))
    assert promises.can_promise_to(0.1, "a") and not promises.can_promise_to(0.1, "b")
    assert promises.can_promise_to(LEASE_DURATION, "b")


def test_without_a_stored_vote_a_restarted_voter_promises_nothing_for_a_lease() -> None:
    promises = new_promises(RecoveredState(lowest_term=SECOND))
    assert promises.vote.term == SECOND
    assert not promises.can_promise_to(0.1, "a") and promises.can_promise_to(LEASE_DURATION, "a")


def test_a_vote_is_given_once_in_a_round_and_may_be_repeated() -> None:
    promises = new_promises()
    promises.vote_for(0.0, "a", FIRST)
    assert promises.would_vote(0.1, "a", VoteRequest(FIRST, 0.1))
    assert not promises.would_vote(0.1, "a", VoteRequest(FIRST, 0.1, pre_vote=True))
    assert not promises.would_vote(0.7, "b", VoteRequest(FIRST + 1, 0.7))
    assert promises.would_vote(0.7, "b", VoteRequest(SECOND + 1, 0.7))


def test_a_renewal_from_before_the_holders_last_candidacy_is_not_acknowledged() -> None:
    # Datagrams overtake one another: a renewal of an old lease comes after the vote for a new one.
    promises = new_promises()
    promises.vote_for(0.0, "a", SECOND)
    assert not promises.would_renew(0.1, "a", LeaseRenewal(FIRST, 0.0))
    assert promises.would_renew(0.1, "a", LeaseRenewal(SECOND, 0.1))


def test_a_newer_term_is_learned_and_the_promise_remembered() -> None:
    promises = new_promises()
    promises.vote_for(0.0, "a", FIRST)
    assert promises.learn_term(FIRST) == []
    assert promises.learn_term(SECOND) == [StoreVote(Vote(SECOND, "", "a"))]
