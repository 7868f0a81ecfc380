"""Agreement of the voters on a sequence of configuration changes: Multi-Paxos, free of I/O.

    FOLLOWING --> PREPARING --> CATCHING_UP --> PUBLISHING
        ^             |              |              |
        +-------------+--------------+--------------+   a newer epoch, a timeout, or a lost lease

**Epochs.** An epoch (Paxos: a ballot) belongs to one voter: ``epoch % len(voters)`` is its index. A voter
never uses an epoch twice, also not after a restart, because it persists its promise to itself before it asks
the others.

**Taking over** (phase 1). A voter that wants to publish sends ``Prepare`` under a new epoch, gathers the
promises of a majority (its own counts) and waits until the dissemination has brought it the newest version
committed among them. Then it becomes the publisher (Paxos: the leader): it proposes again what may have been
committed behind that version (``recovery``), and after that operators' changes (``proposer``, phase 2).

**Who publishes.** A voter that gets an operator's change while another one publishes forwards nothing: it
takes over and stays the publisher. Two operators at two voters duel only while both have work, and a
randomised backoff ends it. Without work, a voter takes over when it has seen no publisher for
``takeover_after`` (``takeover_timer``). A publisher that sees a newer epoch, or whose lease expires
(``publisher_lease``), steps down. Its operators' changes go on waiting.

**A failed publish.** ``NO_MAJORITY`` means that the change was not known to be committed in time. This voter
no longer proposes it as a new change, but if some voter has accepted it, a later publisher may still commit
it. Nor can a voter that lost its epoch amid a burst, and then learns of several versions at once, tell which
of those between were its own. Changes of one burst are committed in the order in which they were proposed;
where a publisher fails amid a burst, a later one of its changes may be committed without an earlier one.

**Order of actions.** A list of actions begins with at most one ``Persist``, ahead of all that depends on it,
and ``Commit`` comes behind it: so ``applied`` may be called while the rest of the list is still to be carried
out, and what it returns is carried out at once, without an older ``Persist`` following a newer one.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from saltcourse.gossip.acceptor import Acceptor
from saltcourse.gossip.messages import (
    Accepted,
    Address,
    Change,
    Header,
    Heartbeat,
    LeaseGrant,
    LeaseRequest,
    MemberId,
    Position,
    Prepare,
    Promise,
    Propose,
    Publish,
    Published,
    PublishError,
    PublishFailed,
    QuorumMessage,
    Rejected,
    ReplicaState,
)
from saltcourse.gossip.proposer import Proposer
from saltcourse.gossip.publish_queue import PublishQueue
from saltcourse.gossip.publisher_lease import PublisherLease
from saltcourse.gossip.quorum_actions import ActionBatch, Commit, QuorumAction
from saltcourse.gossip.recovery import PromiseSet
from saltcourse.gossip.retry_timer import RetryTimer
from saltcourse.gossip.settings import Timing, Voter
from saltcourse.gossip.sizes import is_encodable
from saltcourse.gossip.takeover_timer import TakeoverTimer
from saltcourse.gossip.voter_set import VoterSet

CATCH_UP_TIMEOUT_SECONDS = 3.0  # who has the missing versions may be gone, others know what led to them


class Phase(IntEnum):
    """Of a voter; the value is the figure ``quorum.phase``."""

    FOLLOWING = 0
    PREPARING = 1  # waits for the promises of a majority
    CATCHING_UP = 2  # has them, and lacks versions that are committed
    PUBLISHING = 3


@dataclass(frozen=True, slots=True)
class Publication:
    """What a voter has only while it is the publisher."""

    lease: PublisherLease
    proposer: Proposer


class Quorum:
    """One voter. ``state`` is what it persisted last, in this process or an earlier one."""

    def __init__(
        self,
        own_voter: Voter,
        voters: tuple[Voter, ...],
        timing: Timing,
        rng: random.Random,
        state: ReplicaState,
    ) -> None:
        self.phase = Phase.FOLLOWING
        self.acceptor = Acceptor(state)
        self._voters = VoterSet(own_voter, voters)
        self._timing = timing
        self._queue = PublishQueue()
        self._takeover_timer = TakeoverTimer(self._voters.index, timing.takeover_after, rng)
        self._newest_epoch = state.committed.epoch  # that was seen anywhere
        self._heartbeat = Heartbeat()  # the newest that was seen anywhere
        # Of the epoch under which this voter prepares or publishes.
        self._epoch = 0
        self._promises = PromiseSet()
        self._prepare_retry = RetryTimer()
        self._catch_up_deadline = 0.0
        self._publication: Publication | None = None  # in PUBLISHING alone
        # Metrics.
        self._takeovers = 0
        self._retransmissions = 0
        self._batch = ActionBatch()  # of the call under way

    @property
    def majority(self) -> int:
        """The number of voters that must promise or accept, this one included."""
        return self._voters.majority

    # ---- events -----------------------------------------------------------------------------------

    def start(self, now: float) -> list[QuorumAction]:
        """At the start of the process. A single voter publishes at once."""
        self._takeover_timer.start(now)
        if not self._voters.others:
            self._prepare(now)
        return self._take_actions()

    def handle(
        self, now: float, source: Address, header: Header, message: QuorumMessage
    ) -> list[QuorumAction]:
        """A message of another voter; one from anybody else is ignored."""
        if not self._is_allowed(header.sender, message):
            return []
        match message:
            case Prepare(epoch):
                self._on_prepare(now, source, epoch)
            case Promise():
                self._on_promise(now, header.sender, message)
            case Propose(epoch, change):
                self._on_propose(now, source, epoch, change)
            case Accepted():
                self._on_accepted(header.sender, message)
            case LeaseRequest():
                self._on_lease_request(now, source, message)
            case LeaseGrant():
                self._on_lease_grant(now, header.sender, message)
            case Rejected(epoch):
                self._observe_epoch(now, epoch)
        return self._take_actions()

    def observe(self, now: float, position: Position, heartbeat: Heartbeat) -> list[QuorumAction]:
        """The newest position and heartbeat that this member has seen anywhere."""
        if heartbeat > self._heartbeat:
            self._heartbeat = heartbeat
            self._takeover_timer.publisher_seen(now)
        self._observe_epoch(now, max(position.epoch, heartbeat.epoch))
        return self._take_actions()

    def applied(
        self, now: float, position: Position, configuration: Mapping[str, bytes]
    ) -> list[QuorumAction]:
        """The dissemination has applied what is committed up to this position."""
        if not self.acceptor.learn(position, tuple(sorted(configuration.items()))):
            return []
        self._batch.must_persist = True
        self._report_published(position)
        if self.acceptor.accept_buffered():
            self._acknowledge_buffered()
        if self.phase is Phase.CATCHING_UP:
            self._check_promises(now)
        elif self._publication is not None:
            if not self._publication.proposer.on_applied(position):
                self._step_down(now)
            self._propose_waiting(now)
        return self._take_actions()

    def publish(self, now: float, event: Publish) -> list[QuorumAction]:
        """An operator's change. Its result is an action of this call or, in time, of a later one."""
        if not is_encodable(event.writes):
            return [PublishFailed(event.token, PublishError.TOO_LARGE)]
        if self._queue.is_full:
            return [PublishFailed(event.token, PublishError.BUSY)]
        self._queue.add(event, now + self._timing.publish_timeout)
        if self.phase is Phase.PUBLISHING:
            self._propose_waiting(now)
        elif self.phase is Phase.FOLLOWING and self._takeover_timer.may_attempt(now):
            self._prepare(now)
        return self._take_actions()

    def tick(self, now: float) -> list[QuorumAction]:
        """Do what has become ready by ``now``."""
        self._expire_publishes(now)
        match self.phase:
            case Phase.FOLLOWING:
                if now >= self._takeover_deadline():
                    self._prepare(now)
            case Phase.PREPARING:
                if now >= self._prepare_retry.deadline:
                    self._send_prepares(now)
            case Phase.CATCHING_UP:
                if now >= self._catch_up_deadline:
                    self._step_down(now)
            case Phase.PUBLISHING:
                self._tick_publishing(now)
        return self._take_actions()

    def next_deadline(self) -> float:
        """When ``tick`` is to be called, in seconds on the clock of ``now``."""
        return min(self._queue.next_deadline(), self._phase_deadline())

    def metrics(self) -> dict[str, int]:
        """Metrics of ``/_vars``, by name."""
        return {
            "quorum.phase": int(self.phase),
            "quorum.promised": self.acceptor.promised,
            "quorum.accepted": len(self.acceptor.accepted),
            "quorum.pending": len(self._queue),
            "quorum.takeovers": self._takeovers,
            "quorum.retransmissions": self._retransmissions,
        }

    # ---- who publishes ----------------------------------------------------------------------------

    def _is_allowed(self, sender: MemberId, message: QuorumMessage) -> bool:
        """Only voters take part, and only its owner may use an epoch."""
        if not self._voters.is_other(sender):
            return False
        if isinstance(message, Prepare | Propose | LeaseRequest):
            return self._voters.owns(sender, message.epoch)
        return True

    def _observe_epoch(self, now: float, epoch: int) -> None:
        self._newest_epoch = max(self._newest_epoch, epoch)
        if epoch > self._epoch and self.phase is not Phase.FOLLOWING:
            self._step_down(now)

    def _step_down(self, now: float) -> None:
        self.phase = Phase.FOLLOWING
        self._publication = None
        self._takeover_timer.back_off(now)

    def _takeover_deadline(self) -> float:
        return self._takeover_timer.deadline(has_waiting=self._queue.waiting > 0)

    def _phase_deadline(self) -> float:
        if self._publication is not None:
            return min(self._publication.lease.renewal_deadline, self._publication.proposer.next_deadline())
        if self.phase is Phase.PREPARING:
            return self._prepare_retry.deadline
        if self.phase is Phase.CATCHING_UP:
            return self._catch_up_deadline
        return self._takeover_deadline()

    # ---- taking over ------------------------------------------------------------------------------

    def _prepare(self, now: float) -> None:
        self._epoch = self._voters.own_epoch_above(max(self.acceptor.promised, self._newest_epoch))
        self.phase = Phase.PREPARING
        self._batch.must_persist |= self.acceptor.promise(self._epoch)
        self._promises = PromiseSet()
        for promise in self.acceptor.promises(self._epoch):
            self._promises.add(self._voters.own_voter.id, promise)
        self._takeovers += 1
        self._prepare_retry.reset()
        self._send_prepares(now)
        self._check_promises(now)

    def _send_prepares(self, now: float) -> None:
        for voter in self._voters.others:
            if not self._promises.is_complete(voter.id):
                self._batch.send(voter.address, Prepare(self._epoch))
        self._prepare_retry.schedule(now)

    def _on_promise(self, now: float, sender: MemberId, promise: Promise) -> None:
        if promise.epoch != self._epoch or self.phase not in (Phase.PREPARING, Phase.CATCHING_UP):
            return
        self._promises.add(sender, promise)
        self._check_promises(now)

    def _check_promises(self, now: float) -> None:
        if self._promises.count < self.majority:
            return
        if self.phase is Phase.PREPARING:
            self.phase = Phase.CATCHING_UP
            self._catch_up_deadline = now + CATCH_UP_TIMEOUT_SECONDS
        if self.acceptor.committed.version >= self._promises.committed_version:
            self._start_publishing(now)

    def _start_publishing(self, now: float) -> None:
        self.phase = Phase.PUBLISHING
        recovered = self._recover(self.acceptor.committed)
        proposer = Proposer(self._epoch, self._voters, self.majority, self.acceptor, recovered)
        lease = PublisherLease(now, self._epoch, self._voters, self.majority, self._timing)
        self._publication = Publication(lease, proposer)
        lease.request_renewal(now, self._batch)
        self._propose_waiting(now)

    def _recover(self, committed: Position) -> list[Change]:
        """Changes after ``committed`` that the majority's promises report as accepted, in order.

        An earlier publisher may have committed them, so the new one proposes them again before its own.
        """
        return self._promises.recover(committed)

    # ---- publishing -------------------------------------------------------------------------------

    def _tick_publishing(self, now: float) -> None:
        if self._publication is None:
            return
        lease, proposer = self._publication.lease, self._publication.proposer
        if lease.is_expired(now):
            self._step_down(now)
            return
        if now >= lease.renewal_deadline:
            lease.request_renewal(now, self._batch)
        self._retransmissions += proposer.retransmit(now, self._batch)

    def _propose_waiting(self, now: float) -> None:
        if self._publication is not None:
            proposer = self._publication.proposer
            self._commit(proposer.propose_waiting(now, self._queue, self._batch))

    def _on_accepted(self, sender: MemberId, message: Accepted) -> None:
        if message.epoch == self._epoch and self._publication is not None:
            self._commit(self._publication.proposer.on_accepted(sender, message.position.version))

    def _on_lease_grant(self, now: float, sender: MemberId, message: LeaseGrant) -> None:
        if message.epoch == self._epoch and self._publication is not None:
            self._publication.lease.on_grant(now, sender, message.count, self._batch)

    def _commit(self, changes: list[Change]) -> None:
        for change in changes:
            self._batch.commits.append(Commit(change))
            self._report_published(change.position)
            self._takeover_timer.reset_backoff()

    # ---- the acceptor's answers -------------------------------------------------------------------

    def _on_prepare(self, now: float, source: Address, epoch: int) -> None:
        if not self._admits(source, epoch):
            return
        self._observe_epoch(now, epoch)
        if self.acceptor.promise(epoch):
            self._batch.must_persist = True
            # Not for each repeated Prepare of a candidate that receives no answers.
            self._takeover_timer.publisher_seen(now)
        for promise in self.acceptor.promises(epoch):
            self._batch.send(source, promise)

    def _on_propose(self, now: float, source: Address, epoch: int, change: Change) -> None:
        if not self._admits(source, epoch):
            return
        self._observe_epoch(now, epoch)
        self._takeover_timer.publisher_seen(now)
        self._batch.must_persist |= self.acceptor.propose(epoch, change)
        self._acknowledge(source, epoch)

    def _on_lease_request(self, now: float, source: Address, message: LeaseRequest) -> None:
        if not self._admits(source, message.epoch):
            return
        self._observe_epoch(now, message.epoch)
        self._takeover_timer.publisher_seen(now)
        self._batch.send(source, LeaseGrant(message.epoch, message.count))

    def _admits(self, source: Address, epoch: int) -> bool:
        """Whether no newer epoch was promised; else the sender learns which one was."""
        if self.acceptor.allows(epoch):
            return True
        self._batch.send(source, Rejected(self.acceptor.promised))
        return False

    def _acknowledge(self, destination: Address, epoch: int) -> None:
        position = self.acceptor.acknowledged_position(epoch)
        if position is not None:
            self._batch.send(destination, Accepted(epoch, position))

    def _acknowledge_buffered(self) -> None:
        epoch = self.acceptor.accepted[-1].epoch
        self._acknowledge(self._voters.owner(epoch).address, epoch)

    # ---- results for operators, and actions -------------------------------------------------------

    def _report_published(self, position: Position) -> None:
        event = self._queue.commit(position)
        if event is not None:
            self._batch.results.append(Published(event.token, position))

    def _expire_publishes(self, now: float) -> None:
        for event in self._queue.expire(now):
            self._batch.results.append(PublishFailed(event.token, PublishError.NO_MAJORITY))

    def _take_actions(self) -> list[QuorumAction]:
        if self._batch.is_empty:
            return []
        batch, self._batch = self._batch, ActionBatch()
        return batch.in_order(self.acceptor.state() if batch.must_persist else None)
