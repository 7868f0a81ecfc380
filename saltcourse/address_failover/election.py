"""The lease election: which member holds the service address. No I/O, no clock; logging is an action.

The rules that this file lives by:

1. A *promise* is given by a voter to one member: the voter helps nobody else until ``lease_duration`` has
   passed on its own clock. Votes and acknowledged renewals are promises. An active promise is kept, with two
   exceptions: its receiver gives it back (``LeaseRelease``), or a candidate to whom the holder transferred
   the lease of that promise asks for a vote (``transferred_term``).
2. A *lease* counts from when the request was sent, not from its answer, and is shorter than the promise by
   what two clocks may differ. So while a majority's promises hold up a lease, nobody else can get a
   majority.
3. Each event first meets the clock: a holder whose lease has expired, perhaps because the process was
   stopped, withdraws before it does anything else, and late responses find their round over.
4. A vote, and to whom the promise goes, is stored before it is sent. After a restart a member promises only
   to the receiver of its last promise until that has surely expired; without a vote store to nobody.
5. A term belongs to one member, and each candidacy takes a new one: no two announcements share a term. A
   vote is for a newer round only, so ranks made of rounds grow strictly (``terms``).
6. A member that would become a candidate asks first (pre-vote) and changes nothing by asking, so a member
   that returns, or is cut off in one direction, cannot unseat a healthy holder.

::

    FOLLOWER ----> PRE_CANDIDATE ----> CANDIDATE ----> HOLDER      and from each of them back to FOLLOWER

    role           event                                              next role
    FOLLOWER       timer, when all promises have expired              PRE_CANDIDATE
                   LeaseTransfer                                      CANDIDATE
    PRE_CANDIDATE  a majority would vote for it, LeaseTransfer        CANDIDATE
                   timed out, a newer term, promised to another,      FOLLOWER
                   cannot announce
    CANDIDATE      a majority voted for it                            HOLDER
                   timed out, a newer term, cannot announce           FOLLOWER
    HOLDER         lease expired, cannot announce                     FOLLOWER
    any            ShutdownRequested                                  STOPPED

Leases as in Gray and Cheriton, "Leases" (1989); terms, votes and pre-votes as in Ongaro, "Consensus: Bridging
Theory and Practice" (2014), sections 3.4, 6.4.1 and 9.6.
"""

from __future__ import annotations

import random

from saltcourse.address_failover.actions import (
    Action,
    AnnounceAddress,
    ExtendLease,
    LogEvent,
    SendMessage,
    SetTimer,
    WithdrawAddress,
)
from saltcourse.address_failover.events import (
    AnnouncerAvailabilityChanged,
    Event,
    MessageReceived,
    ShutdownRequested,
    TimerExpired,
)
from saltcourse.address_failover.grants import Grants
from saltcourse.address_failover.messages import (
    ElectionMessage,
    LeaseRelease,
    LeaseRenewal,
    LeaseRenewalAck,
    LeaseTransfer,
    VoteRequest,
    VoteResponse,
)
from saltcourse.address_failover.promises import VoterPromises
from saltcourse.address_failover.roles import CANDIDATE_ROLES, Candidacy, Role
from saltcourse.address_failover.terms import next_term, term_owner, term_round
from saltcourse.address_failover.vote import NOTHING_RECOVERED, RecoveredState
from saltcourse.address_failover.voters import ElectionConfig

NO_DEADLINE = float("inf")  # the time of what is not planned
NO_LEASE = -float("inf")  # the time of what has not happened
RECENT_LEASE_DURATIONS = 2  # lease durations within which a member was heard that may take over a lease


class Election:
    """One member's part in the election. ``seed`` spreads the candidacies of members with one priority.

    ``can_announce`` is False for a member whose announcer has not reported yet that it is available.
    """

    def __init__(
        self,
        config: ElectionConfig,
        seed: int,
        now: float,
        recovered: RecoveredState = NOTHING_RECOVERED,
        can_announce: bool = True,
    ) -> None:
        self.config = config
        self.timing = config.timing
        self.own_name = config.own_name
        self.others = config.others
        self._own_index = config.own_index
        self._start_delay = config.start_delay
        self._is_witness = config.own_voter.witness
        self.random = random.Random(seed)
        self.promises = VoterPromises(config.own_name, config.timing.lease_duration, now, recovered)
        self.role = Role.FOLLOWER
        self.can_announce = can_announce
        self.term = 0  # of the candidacy or the lease
        self.transferred_term = 0  # the term of the lease that was transferred for this candidacy; 0: none
        self.grants = Grants(config.majority, config.timing.holder_lease)
        self.last_received_at: dict[str, float] = {}  # member -> when its last message came
        self.lease_ends_at = NO_LEASE
        self.candidacy = Candidacy(now, NO_DEADLINE)
        self.next_candidacy_at = NO_DEADLINE
        self.next_send_at = NO_DEADLINE  # the next repeat of requests or renewals
        self.now = now
        self._actions: list[Action] = []

    def start(self, now: float) -> list[Action]:
        """Begin as a follower; to be called once."""
        self._begin_event(now)
        self._become_follower()
        return self._end_event()

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event at ``now``, seconds on the host's clock; carry the actions out in their order."""
        self._begin_event(now)
        self._check_deadlines()
        if self.role is not Role.STOPPED:
            match event:
                case MessageReceived(sender, message):
                    self.last_received_at[sender] = now
                    self._receive(sender, message)
                case TimerExpired():
                    self._on_timer()
                case AnnouncerAvailabilityChanged(available):
                    self._on_announcer_availability(available)
                case ShutdownRequested():
                    self._on_shutdown()
        return self._end_event()

    # ---- time ---------------------------------------------------------------------------------------

    def _begin_event(self, now: float) -> None:
        self.now = now
        self._actions = []

    def _end_event(self) -> list[Action]:
        deadline = self._next_deadline()
        if deadline < NO_DEADLINE:
            self._actions.append(SetTimer(deadline))
        return self._actions

    def _next_deadline(self) -> float:
        if self.role is Role.HOLDER:
            return min(self.next_send_at, self.lease_ends_at)
        if self.role in CANDIDATE_ROLES:
            return min(self.next_send_at, self.candidacy.ends_at)
        return self.next_candidacy_at

    def _check_deadlines(self) -> None:
        """Rule 3: what has expired ends before the event is looked at."""
        if self.role is Role.HOLDER and self.now >= self.lease_ends_at:
            self._actions.append(LogEvent("lease expired"))
            self._step_down()
            self._become_follower()
        elif self.role in CANDIDATE_ROLES and self.now >= self.candidacy.ends_at:
            self._abandon_candidacy()

    def _on_timer(self) -> None:
        if self.role is Role.FOLLOWER:
            if self.now >= self.next_candidacy_at:
                self._become_pre_candidate()
        elif self.now >= self.next_send_at:
            if self.role is Role.HOLDER:
                self._renew()
            else:
                self._request_votes()

    def _become_follower(self) -> None:
        """Become a follower, and a pre-candidate some time after all promises of this member have expired."""
        self.role = Role.FOLLOWER
        self.next_candidacy_at = NO_DEADLINE
        if not self._is_witness and self.can_announce:
            jitter = self.random.random() * self.timing.start_jitter
            self.next_candidacy_at = self.promises.all_expired_at(self.now) + self._start_delay + jitter

    # ---- candidacy ------------------------------------------------------------------------------------

    def _become_pre_candidate(self) -> None:
        """Ask who would vote, which changes nothing at the others (rule 6)."""
        if not self.promises.can_promise_to(self.now, self.own_name):
            self._become_follower()
            return
        self._start_candidacy(Role.PRE_CANDIDATE)

    def _start_candidacy(self, role: Role) -> None:
        self.role = role
        self.grants.clear()
        self.term = next_term(self.promises.vote.term, self._own_index)
        if role is Role.CANDIDATE:
            self._actions += self.promises.vote_for(self.now, self.own_name, self.term)
        self.candidacy = Candidacy(self.now, self.now + self.timing.candidacy_timeout)
        self._request_votes()
        self._count_grants()

    def _request_votes(self) -> None:
        """Ask all that have not granted yet, for an answer may have been lost."""
        self.next_send_at = self.now + self.timing.retry_interval
        request = VoteRequest(self.term, self.now, self.role is Role.PRE_CANDIDATE, self.transferred_term)
        missing = [voter for voter in self.others if voter.name not in self.grants]
        self._actions += [SendMessage(voter.name, request) for voter in missing]

    def _on_vote_response(self, sender: str, response: VoteResponse) -> None:
        if not self._is_current_response(response):
            return
        if response.granted:
            self.grants.record(sender, response.request_sent_at)
            self._count_grants()
        elif self._supersedes_candidacy(response.newest_term):
            # The next candidacy takes a term above it.
            self._actions += self.promises.learn_term(response.newest_term)
            self._abandon_candidacy()

    def _is_current_response(self, response: VoteResponse) -> bool:
        """A pre-vote uses up no term, so only the time tells which of two rounds a response belongs to."""
        expects_pre_vote = self.role is Role.PRE_CANDIDATE
        return (
            self.role in CANDIDATE_ROLES
            and response.term == self.term
            and response.pre_vote is expects_pre_vote
            and response.request_sent_at >= self.candidacy.started_at
        )

    def _supersedes_candidacy(self, term: int) -> bool:
        return term_round(term) >= term_round(self.term) and term != self.term

    def _count_grants(self) -> None:
        if not self.grants.has_majority():
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_candidacy(Role.CANDIDATE)
        elif self.role is Role.CANDIDATE:
            self._become_holder()

    def _abandon_candidacy(self) -> None:
        """Give the candidacy up, and free those that have promised something."""
        if self.role is Role.CANDIDATE:
            self._release_promises(self.term)
        self.transferred_term = 0
        self._become_follower()

    def _release_promises(self, term: int) -> None:
        """Free the voters of their promises; without it a split vote would cost a whole lease duration."""
        self._actions += [SendMessage(voter.name, LeaseRelease(term)) for voter in self.others]
        self._on_release(self.own_name, term)

    # ---- lease ----------------------------------------------------------------------------------------

    def _become_holder(self) -> None:
        self.transferred_term = 0
        if self.grants.lease_end(self.now) <= self.now:  # the votes took longer than they are good for
            self._abandon_candidacy()
            return
        self.role = Role.HOLDER
        self._actions.append(AnnounceAddress(self.term))
        self._extend_lease()
        self._renew()

    def _extend_lease(self) -> None:
        lease_end = self.grants.lease_end(self.now)
        if lease_end > self.lease_ends_at:
            self.lease_ends_at = lease_end
            self._actions.append(ExtendLease(lease_end))

    def _renew(self) -> None:
        self.next_send_at = self.now + self.timing.renewal_interval
        self._actions += self.promises.promise_to(self.now, self.own_name, self.term)
        renewal = LeaseRenewal(self.term, self.now)
        self._actions += [SendMessage(voter.name, renewal) for voter in self.others]
        if not self.others:
            self._extend_lease()

    def _on_renewal_ack(self, sender: str, ack: LeaseRenewalAck) -> None:
        if self.role is Role.HOLDER and ack.term == self.term:
            self.grants.record(sender, ack.request_sent_at)
            self._extend_lease()

    def _step_down(self) -> None:
        """Withdraw; from here on this member relies on nobody's promise."""
        self._actions.append(WithdrawAddress(self.term))
        self.lease_ends_at = NO_LEASE
        self._release_promises(self.term)

    def _transfer_lease(self) -> None:
        """Step down and have the preferred one of the live members become a candidate at once."""
        term = self.term
        self._step_down()
        alive_since = self.now - RECENT_LEASE_DURATIONS * self.timing.lease_duration
        successor = self.config.preferred_successor(self.last_received_at, alive_since)
        if successor is not None:
            self._actions.append(SendMessage(successor, LeaseTransfer(term)))
            self._actions.append(LogEvent("lease transferred", successor))

    # ---- what the host reports --------------------------------------------------------------------------

    def _on_announcer_availability(self, available: bool) -> None:
        """A member that cannot announce must not hold: another one may be able to."""
        if available is self.can_announce:
            return
        self.can_announce = available
        if not available and self.role is Role.HOLDER:
            self._actions.append(LogEvent("service address cannot be announced"))
            self._transfer_lease()
            # Still HOLDER with an ended lease: the timer, due at once, logs "lease expired", withdraws again
            # and follows.
            return
        if not available and self.role is Role.CANDIDATE:
            self._abandon_candidacy()
        if self.role is not Role.HOLDER:
            self._become_follower()

    def _on_shutdown(self) -> None:
        if self.role is Role.HOLDER:
            self._transfer_lease()
        elif self.role is Role.CANDIDATE:
            self._release_promises(self.term)
        self.role = Role.STOPPED
        self.next_candidacy_at = NO_DEADLINE

    # ---- messages ---------------------------------------------------------------------------------------

    def _receive(self, sender: str, message: ElectionMessage) -> None:
        match message:
            case VoteRequest():
                self._on_vote_request(sender, message)
            case VoteResponse():
                self._on_vote_response(sender, message)
            case LeaseRenewal():
                self._on_renewal(sender, message)
            case LeaseRenewalAck():
                self._on_renewal_ack(sender, message)
            case LeaseRelease(term):
                self._on_release(sender, term)
            case LeaseTransfer(term):
                self._on_transfer(sender, term)

    def _owns_term(self, member: str, term: int) -> bool:
        """Whether the member may use the term (rule 5)."""
        return term_owner(term) == self.config.index_of(member)

    def _on_vote_request(self, sender: str, request: VoteRequest) -> None:
        if not self._owns_term(sender, request.term):
            return
        granted = self.promises.would_vote(self.now, sender, request)
        if granted and not request.pre_vote:
            self._actions += self.promises.vote_for(self.now, sender, request.term)
            self.transferred_term = 0
            self._become_follower()  # a pre-candidate has no vote of its own any more
        newest_term = self.promises.vote.term
        response = VoteResponse(request.term, request.sent_at, request.pre_vote, granted, newest_term)
        self._actions.append(SendMessage(sender, response))

    def _on_renewal(self, sender: str, renewal: LeaseRenewal) -> None:
        """A holder's renewal; this member need not have voted for it."""
        if not self._owns_term(sender, renewal.term):
            return
        if not self.promises.would_renew(self.now, sender, renewal):
            return
        self._actions += self.promises.learn_term(renewal.term)
        self._actions += self.promises.promise_to(self.now, sender, renewal.term)
        self._become_follower()
        self._actions.append(SendMessage(sender, LeaseRenewalAck(renewal.term, renewal.sent_at)))

    def _on_release(self, member: str, term: int) -> None:
        if self.promises.release(self.now, member, term) and self.role is Role.FOLLOWER:
            self._become_follower()

    def _on_transfer(self, sender: str, term: int) -> None:
        if self._is_witness or not self.can_announce:
            return
        if self.role in (Role.HOLDER, Role.CANDIDATE):
            return
        self._actions += self.promises.learn_term(term)
        self._on_release(sender, term)
        if self.promises.can_promise_to(self.now, self.own_name):
            self.transferred_term = term
            self._start_candidacy(Role.CANDIDATE)


__all__ = ["Election", "Role"]
