"""A member's promises as a voter (rules 1 and 4 of ``election``).

While a promise is active, the member makes promises only to its receiver. After a restart the member makes
no promises for the duration of one, except to the receiver of its last promise if a stored vote names it.
"""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.address_failover.actions import StoreVote
from saltcourse.address_failover.messages import LeaseRenewal, VoteRequest
from saltcourse.address_failover.terms import term_round
from saltcourse.address_failover.vote import RecoveredState, Vote


@dataclass(frozen=True, slots=True)
class Promise:
    """A promise to ``receiver`` in ``term``, active until ``ends_at`` (seconds on this member's clock)."""

    receiver: str
    term: int
    ends_at: float


class VoterPromises:
    """The vote and the promise of one member. Methods that change the vote return the action to store it."""

    def __init__(self, own_name: str, lease_duration: float, now: float, recovered: RecoveredState) -> None:
        self.own_name = own_name
        self.lease_duration = lease_duration  # seconds
        self.vote = recovered.vote or Vote(term=recovered.lowest_term)
        self.promise = Promise("", 0, now)
        # A promise may have been made just before the restart; the stored vote names its receiver.
        self.abstains_until = now if recovered.never_promised else now + lease_duration
        self.last_receiver = self.vote.promised_to

    def can_promise_to(self, now: float, member: str, transferred_term: int = 0) -> bool:
        """Return whether this member may make a promise to ``member``.

        ``transferred_term`` is a term whose holder has transferred its lease; a promise made in it is void.
        """
        bound_to_another = now < self.promise.ends_at and self.promise.receiver != member
        if bound_to_another and not self._is_transferred(transferred_term):
            return False
        return now >= self.abstains_until or self.last_receiver == member

    def _is_transferred(self, transferred_term: int) -> bool:
        return (
            transferred_term != 0
            and transferred_term == self.promise.term
            and self.promise.receiver != self.own_name
        )

    def would_vote(self, now: float, candidate: str, request: VoteRequest) -> bool:
        """Return whether a vote or pre-vote request is granted; its term must be of a newer round.

        A repeated request for a vote that was already given to the same candidate is granted again.
        """
        if not self.can_promise_to(now, candidate, 0 if request.pre_vote else request.transferred_term):
            return False
        if term_round(request.term) > term_round(self.vote.term):
            return True
        is_vote_given = request.term == self.vote.term and self.vote.voted_for == candidate
        return is_vote_given and not request.pre_vote

    def would_renew(self, now: float, holder: str, renewal: LeaseRenewal) -> bool:
        """Return whether a renewal is acknowledged; one from before the holder's last candidacy is not."""
        is_outdated = self.promise.receiver == holder and renewal.term < self.promise.term
        return not is_outdated and self.can_promise_to(now, holder)

    def promise_to(self, now: float, member: str, term: int) -> list[StoreVote]:
        """Make a promise to ``member`` in ``term``; it is stored only if the receiver changes."""
        self.promise = Promise(member, term, now + self.lease_duration)
        return self._update_vote(Vote(self.vote.term, self.vote.voted_for, member))

    def vote_for(self, now: float, member: str, term: int) -> list[StoreVote]:
        """Vote for ``member`` in ``term``. A vote is also a promise."""
        self.promise = Promise(member, term, now + self.lease_duration)
        return self._update_vote(Vote(term, member, member))

    def release(self, now: float, member: str, term: int) -> bool:
        """End the promise to ``member`` in ``term``; return False if it is not the current promise."""
        if (self.promise.receiver, self.promise.term) != (member, term):
            return False
        self.promise = Promise(member, term, min(self.promise.ends_at, now))
        return True

    def learn_term(self, term: int) -> list[StoreVote]:
        """Record a term that another member knows. If it is the newest, this member has not voted in it."""
        if term <= self.vote.term:
            return []
        return self._update_vote(Vote(term, "", self.vote.promised_to))

    def all_expired_at(self, now: float) -> float:
        """Return the earliest time at which all promises, including forgotten ones, have expired."""
        return max(now, self.promise.ends_at, self.abstains_until)

    def _update_vote(self, vote: Vote) -> list[StoreVote]:
        if vote == self.vote:
            return []
        self.vote = vote
        return [StoreVote(vote)]
