"""Lease election: decides which member holds the service address.

The module does no I/O and reads no clock; log lines are actions as well. The protocol follows these rules:

1. A voter makes a *promise* to one member: it makes none to other members until ``lease_duration`` has passed
   on the voter's clock. Votes and acknowledged renewals are promises. An active promise ends early in two
   cases: its receiver releases it (``LeaseRelease``), or the holder transferred the lease that the promise
   supports and the new candidate requests a vote (``transferred_term``).
2. A *lease* is counted from when its request was sent, not from the response, and is shorter than the promise
   by the maximum difference of two clocks. So nobody else can get a majority while a majority's promises
   support a lease.
3. Expired deadlines are handled before each event: a holder whose lease has expired, for example because its
   process was stopped, first withdraws the address, and responses that arrive late are ignored because
   their round has ended.
4. A vote and the receiver of a promise are stored before they are sent. After a restart, a member makes
   promises only to the receiver of its last promise until that promise must have expired; without a vote
   store it makes none during that time.
5. A term belongs to one member and each candidacy uses a new one, so no two announcements share a term. Votes
   are granted only for a newer round, so route preferences derived from rounds increase strictly (``terms``).
6. A member sends pre-vote requests, which change no state at the voters, before it becomes a candidate. So a
   member that returns, or is cut off in one direction, cannot depose a healthy holder.

::

    FOLLOWER ----> PRE_CANDIDATE ----> CANDIDATE ----> HOLDER      each of them can return to FOLLOWER

    role           event                                              next role
    FOLLOWER       timer, after all promises have expired             PRE_CANDIDATE
                   LeaseTransfer                                      CANDIDATE
    PRE_CANDIDATE  a majority would vote for it, LeaseTransfer        CANDIDATE
                   timeout, newer term, promise to another member,    FOLLOWER
                   cannot announce
    CANDIDATE      a majority voted for it                            HOLDER
                   timeout, newer term, cannot announce               FOLLOWER
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

NO_DEADLINE = float("inf")  # deadline of events that are not scheduled
NO_LEASE = -float("inf")  # lease end of a member without a lease
# A lease is transferred only to a member that has sent a message within this number of lease durations.
RECENT_LEASE_DURATIONS = 2


class Election:
    """The election state machine of one member.

    ``seed``: seed for the start jitter, which spreads the candidacies of members with equal priority.
    ``can_announce``: False if the member has an announcer that has not reported yet that it is available.
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
        self.term = 0  # term of the candidacy or the lease
        self.transferred_term = 0  # term of the lease whose transfer started this candidacy; 0: none
        self.grants = Grants(config.majority, config.timing.holder_lease)
        self.last_received_at: dict[str, float] = {}  # arrival time of each other member's last message
        self.lease_ends_at = NO_LEASE
        self.candidacy = Candidacy(now, NO_DEADLINE)
        self.next_candidacy_at = NO_DEADLINE
        self.next_send_at = NO_DEADLINE  # when vote requests or renewals are sent next
        self.now = now
        self._actions: list[Action] = []

    def start(self, now: float) -> list[Action]:
        """Start as a follower. Must be called exactly once, before ``handle``."""
        self._begin_event(now)
        self._become_follower()
        return self._end_event()

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process an event and return the actions, which must be executed in order.

        ``now``: seconds on the host's clock.
        """
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
        """End an expired lease or candidacy before the event is processed (rule 3)."""
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
        """Become a follower, and schedule the next candidacy after this member's promises have expired."""
        self.role = Role.FOLLOWER
        self.next_candidacy_at = NO_DEADLINE
        if not self._is_witness and self.can_announce:
            jitter = self.random.random() * self.timing.start_jitter
            self.next_candidacy_at = self.promises.all_expired_at(self.now) + self._start_delay + jitter

    # ---- candidacy ------------------------------------------------------------------------------------

    def _become_pre_candidate(self) -> None:
        """Start a round of pre-vote requests, which change no state at the voters (rule 6)."""
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
        """Send a request to all voters that have not granted it yet; messages may have been lost."""
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
            # The next candidacy will use a newer term than the learned one.
            self._actions += self.promises.learn_term(response.newest_term)
            self._abandon_candidacy()

    def _is_current_response(self, response: VoteResponse) -> bool:
        """Return whether a response belongs to the current candidacy.

        Pre-votes do not use up a term, so two rounds of them can only be told apart by the send time.
        """
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
        """Abandon the candidacy and release the promises made for it."""
        if self.role is Role.CANDIDATE:
            self._release_promises(self.term)
        self.transferred_term = 0
        self._become_follower()

    def _release_promises(self, term: int) -> None:
        """Release all voters from their promises in ``term``.

        Otherwise the next candidacy after a split vote would have to wait for a full lease duration.
        """
        self._actions += [SendMessage(voter.name, LeaseRelease(term)) for voter in self.others]
        self._on_release(self.own_name, term)

    # ---- lease ----------------------------------------------------------------------------------------

    def _become_holder(self) -> None:
        self.transferred_term = 0
        if self.grants.lease_end(self.now) <= self.now:  # the promises expired before the last vote arrived
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
        """Withdraw the address and release the promises that supported the lease."""
        self._actions.append(WithdrawAddress(self.term))
        self.lease_ends_at = NO_LEASE
        self._release_promises(self.term)

    def _transfer_lease(self) -> None:
        """Step down and ask the preferred live member to become a candidate immediately."""
        term = self.term
        self._step_down()
        alive_since = self.now - RECENT_LEASE_DURATIONS * self.timing.lease_duration
        successor = self.config.preferred_successor(self.last_received_at, alive_since)
        if successor is not None:
            self._actions.append(SendMessage(successor, LeaseTransfer(term)))
            self._actions.append(LogEvent("lease transferred", successor))

    # ---- events of the host -----------------------------------------------------------------------------

    def _on_announcer_availability(self, available: bool) -> None:
        """Give up the lease or candidacy if the address cannot be announced; another member may succeed."""
        if available is self.can_announce:
            return
        self.can_announce = available
        if not available and self.role is Role.HOLDER:
            self._actions.append(LogEvent("service address cannot be announced"))
            self._transfer_lease()
            # The role is still HOLDER, with an expired lease: the timer fires immediately, logs "lease
            # expired", withdraws again and makes this member a follower.
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
        """Return whether the term belongs to the member (rule 5)."""
        return term_owner(term) == self.config.index_of(member)

    def _on_vote_request(self, sender: str, request: VoteRequest) -> None:
        if not self._owns_term(sender, request.term):
            return
        granted = self.promises.would_vote(self.now, sender, request)
        if granted and not request.pre_vote:
            self._actions += self.promises.vote_for(self.now, sender, request.term)
            self.transferred_term = 0
            self._become_follower()  # a pre-candidate ends its own candidacy after voting for another member
        newest_term = self.promises.vote.term
        response = VoteResponse(request.term, request.sent_at, request.pre_vote, granted, newest_term)
        self._actions.append(SendMessage(sender, response))

    def _on_renewal(self, sender: str, renewal: LeaseRenewal) -> None:
        """Acknowledge a holder's renewal, even if this member did not vote for it."""
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
