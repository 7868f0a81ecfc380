"""A member's promises as a voter, by rules 1 and 4 of ``election``.

While a promise is active this member helps nobody but its receiver. After a restart the member abstains for
as long as a promise lasts, except towards the receiver of its last promise where a stored vote names it.
"""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.address_failover.actions import StoreVote
from saltcourse.address_failover.messages import LeaseRenewal, VoteRequest
from saltcourse.address_failover.terms import term_round
from saltcourse.address_failover.vote import RecoveredState, Vote


@dataclass(frozen=True, slots=True)
class Promise:
    """To whom this member is bound, in which term, and until when on its own clock (s)."""

    receiver: str
    term: int
    ends_at: float


class VoterPromises:
    """The vote and the promise of one member. Methods that change the vote return the command to store it."""

    def __init__(self, own_name: str, lease_duration: float, now: float, recovered: RecoveredState) -> None:
        self.own_name = own_name
        self.lease_duration = lease_duration  # s
        self.vote = recovered.vote or Vote(term=recovered.lowest_term)
        self.promise = Promise("", 0, now)
        # A promise may have been given just before the start; the vote says to whom.
        self.abstains_until = now if recovered.never_promised else now + lease_duration
        self.receiver_before_start = self.vote.promised_to

    def allows(self, now: float, member: str, transferred_term: int = 0) -> bool:
        """Whether a promise to ``member`` would break none.

        ``transferred_term`` is a term that its holder has given up: a promise made in it binds no more.
        """
        bound_to_another = now < self.promise.ends_at and self.promise.receiver != member
        if bound_to_another and not self._is_transferred(transferred_term):
            return False
        return now >= self.abstains_until or self.receiver_before_start == member

    def _is_transferred(self, transferred_term: int) -> bool:
        return (
            transferred_term != 0
            and transferred_term == self.promise.term
            and self.promise.receiver != self.own_name
        )

    def would_vote(self, now: float, candidate: str, request: VoteRequest) -> bool:
        """Whether a vote request, or a pre-vote request, is granted: the term's round must be a newer one.

        A repeated request for the vote that was given is granted again.
        """
        if not self.allows(now, candidate, 0 if request.pre_vote else request.transferred_term):
            return False
        if term_round(request.term) > term_round(self.vote.term):
            return True
        is_vote_given = request.term == self.vote.term and self.vote.voted_for == candidate
        return is_vote_given and not request.pre_vote

    def would_renew(self, now: float, holder: str, renewal: LeaseRenewal) -> bool:
        """Whether a renewal is acknowledged; one from before the holder's last candidacy is not."""
        is_outdated = self.promise.receiver == holder and renewal.term < self.promise.term
        return not is_outdated and self.allows(now, holder)

    def give(self, now: float, member: str, term: int) -> list[StoreVote]:
        """Promise to ``member`` in ``term``, as a renewal does: stored only where the receiver is another."""
        self.promise = Promise(member, term, now + self.lease_duration)
        return self._remember(Vote(self.vote.term, self.vote.voted_for, member))

    def vote_for(self, now: float, member: str, term: int) -> list[StoreVote]:
        """Vote for ``member`` in ``term``, which is a promise as well."""
        self.promise = Promise(member, term, now + self.lease_duration)
        return self._remember(Vote(term, member, member))

    def release(self, now: float, member: str, term: int) -> bool:
        """``member`` needs the promise of ``term`` no more. Whether it was the present one."""
        if (self.promise.receiver, self.promise.term) != (member, term):
            return False
        self.promise = Promise(member, term, min(self.promise.ends_at, now))
        return True

    def learn_term(self, term: int) -> list[StoreVote]:
        """Note a term that another member knows; in one newer than any before this member has not voted."""
        if term <= self.vote.term:
            return []
        return self._remember(Vote(term, "", self.vote.promised_to))

    def free_at(self, now: float) -> float:
        """From when on no promise, known or forgotten, binds this member."""
        return max(now, self.promise.ends_at, self.abstains_until)

    def _remember(self, vote: Vote) -> list[StoreVote]:
        if vote == self.vote:
            return []
        self.vote = vote
        return [StoreVote(vote)]
