"""Consensus of the voters on a sequence of configuration changes: Multi-Paxos, without I/O.

    FOLLOWING --> PREPARING --> CATCHING_UP --> PUBLISHING
        ^             |              |              |
        +-------------+--------------+--------------+   a newer epoch, a timeout, or an expired lease

**Epochs.** An epoch (a ballot in Paxos) belongs to one voter, the one at index ``epoch % len(voters)``. A
voter never uses an epoch twice, even after a restart: it persists its promise to itself before it asks the
others.

**Takeover** (phase 1). A voter that wants to publish sends ``Prepare`` with a new epoch and collects the
promises of a majority, including its own. It waits until dissemination has delivered the newest committed
version that these promises report, and then becomes the publisher (the leader in Paxos). It first re-proposes
the later changes that may have been committed (``recovery``), then proposes operators' changes (phase 2,
``proposer``).

**Choice of the publisher.** A voter that receives an operator's change while another voter publishes does not
forward it: it takes over and remains the publisher. If operators submit changes at two voters, these voters
compete only while both have changes waiting, and a randomised backoff resolves the competition. A voter
without waiting changes takes over when it has seen no publisher for ``takeover_after`` (``takeover_timer``).
A publisher steps down when it sees a newer epoch or when its lease expires (``publisher_lease``). Operators'
changes that it has not committed stay queued.

**Failed publishes.** ``NO_MAJORITY`` means that the change was not known to be committed before its deadline.
This voter will not propose it again as a new change, but if some voter has accepted it, a later publisher may
still commit it. A voter that loses its epoch during a burst and then learns of several versions at once can't
tell which of the intermediate versions were its own changes, so it reports those as failed too. The changes
of one burst are committed in the order in which they were proposed. If the publisher fails during a burst, a
later change may be committed without an earlier one.

**Order of actions.** A list of actions starts with at most one ``Persist``, ahead of everything that depends
on it; ``Commit`` comes later. So ``on_applied`` may be called before the rest of the list is executed, and
the actions that it returns are executed immediately: no older ``Persist`` can follow a newer one.
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

# The members that have the missing versions may have failed; a new attempt asks the other voters, which may
# have accepted the same changes.
CATCH_UP_TIMEOUT_SECONDS = 3.0


class Phase(IntEnum):
    """The phase of a voter; its value is exported as the metric ``quorum.phase``."""

    FOLLOWING = 0
    PREPARING = 1  # waiting for promises from a majority
    CATCHING_UP = 2  # has the promises, but still lacks committed versions
    PUBLISHING = 3


@dataclass(frozen=True, slots=True)
class PublisherState:
    """State that a voter has only while it is the publisher."""

    lease: PublisherLease
    proposer: Proposer


class Quorum:
    """The state machine of one voter. ``state`` was persisted last, maybe by an earlier process."""

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
        self._newest_epoch = state.committed.epoch  # the highest epoch seen from any member
        self._heartbeat = Heartbeat()  # the highest heartbeat seen from any member
        # The epoch under which this voter prepares or publishes, and its progress.
        self._epoch = 0
        self._promises = PromiseSet()
        self._prepare_retry = RetryTimer()
        self._catch_up_deadline = 0.0
        self._publisher: PublisherState | None = None  # set only in PUBLISHING
        # Metrics.
        self._takeovers = 0
        self._retransmissions = 0
        self._batch = ActionBatch()  # the actions of the current call

    @property
    def majority(self) -> int:
        """The number of voters that must promise or accept, this one included."""
        return self._voters.majority

    # ---- events -----------------------------------------------------------------------------------

    def start(self, now: float) -> list[QuorumAction]:
        """Start the voter when its process starts. A single voter becomes the publisher immediately."""
        self._takeover_timer.start(now)
        if not self._voters.others:
            self._prepare(now)
        return self._take_actions()

    def handle(
        self, now: float, source: Address, header: Header, message: QuorumMessage
    ) -> list[QuorumAction]:
        """Handle a message from another voter. Messages from any other sender are ignored."""
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
        """Process the newest position and heartbeat that this member has seen in any header."""
        if heartbeat > self._heartbeat:
            self._heartbeat = heartbeat
            self._takeover_timer.on_publisher_seen(now)
        self._observe_epoch(now, max(position.epoch, heartbeat.epoch))
        return self._take_actions()

    def on_applied(
        self, now: float, position: Position, configuration: Mapping[str, bytes]
    ) -> list[QuorumAction]:
        """Record that dissemination has applied all changes up to ``position``; these are committed."""
        if not self.acceptor.learn(position, tuple(sorted(configuration.items()))):
            return []
        self._batch.must_persist = True
        self._report_published(position)
        if self.acceptor.accept_buffered():
            self._acknowledge_buffered()
        if self.phase is Phase.CATCHING_UP:
            self._check_promises(now)
        elif self._publisher is not None:
            if not self._publisher.proposer.on_applied(position):
                self._step_down(now)
            self._propose_waiting(now)
        return self._take_actions()

    def publish(self, now: float, event: Publish) -> list[QuorumAction]:
        """Queue an operator's change. Its result is an action of this call or of a later one."""
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
        """Perform the timed work whose deadline has passed at ``now``."""
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
        """Return the time of the next ``tick``, in seconds on the clock of ``now``."""
        return min(self._queue.next_deadline(), self._phase_deadline())

    def metrics(self) -> dict[str, int]:
        """Return the metrics shown at ``/_vars``, by name."""
        return {
            "quorum.phase": int(self.phase),
            "quorum.promised": self.acceptor.promised,
            "quorum.accepted": len(self.acceptor.accepted),
            "quorum.pending": len(self._queue),
            "quorum.takeovers": self._takeovers,
            "quorum.retransmissions": self._retransmissions,
        }

    # ---- choice of the publisher ------------------------------------------------------------------

    def _is_allowed(self, sender: MemberId, message: QuorumMessage) -> bool:
        """Return whether the sender is another voter and owns the epoch under which it proposes, if any."""
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
        self._publisher = None
        self._takeover_timer.back_off(now)

    def _takeover_deadline(self) -> float:
        return self._takeover_timer.deadline(has_waiting=self._queue.waiting_count > 0)

    def _phase_deadline(self) -> float:
        if self._publisher is not None:
            return min(self._publisher.lease.renewal_deadline, self._publisher.proposer.next_deadline())
        if self.phase is Phase.PREPARING:
            return self._prepare_retry.deadline
        if self.phase is Phase.CATCHING_UP:
            return self._catch_up_deadline
        return self._takeover_deadline()

    # ---- takeover ---------------------------------------------------------------------------------

    def _prepare(self, now: float) -> None:
        self._epoch = self._voters.own_epoch_above(max(self.acceptor.promised, self._newest_epoch))
        self.phase = Phase.PREPARING
        self._batch.must_persist |= self.acceptor.promise(self._epoch)
        self._promises = PromiseSet()
        for promise in self.acceptor.promise_messages(self._epoch):
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
        if self._promises.complete_count < self.majority:
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
        self._publisher = PublisherState(lease, proposer)
        lease.request_renewal(now, self._batch)
        self._propose_waiting(now)

    def _recover(self, committed: Position) -> list[Change]:
        """Return the changes after ``committed`` that the majority's promises report as accepted, in order.

        An earlier publisher may have committed them, so the new publisher proposes them again before its own.
        """
        return self._promises.recover(committed)

    # ---- publishing -------------------------------------------------------------------------------

    def _tick_publishing(self, now: float) -> None:
        if self._publisher is None:
            return
        lease, proposer = self._publisher.lease, self._publisher.proposer
        if lease.is_expired(now):
            self._step_down(now)
            return
        if now >= lease.renewal_deadline:
            lease.request_renewal(now, self._batch)
        self._retransmissions += proposer.retransmit(now, self._batch)

    def _propose_waiting(self, now: float) -> None:
        if self._publisher is not None:
            proposer = self._publisher.proposer
            self._commit(proposer.propose_waiting(now, self._queue, self._batch))

    def _on_accepted(self, sender: MemberId, message: Accepted) -> None:
        if message.epoch == self._epoch and self._publisher is not None:
            self._commit(self._publisher.proposer.on_accepted(sender, message.position.version))

    def _on_lease_grant(self, now: float, sender: MemberId, message: LeaseGrant) -> None:
        if message.epoch == self._epoch and self._publisher is not None:
            self._publisher.lease.on_grant(now, sender, message.count, self._batch)

    def _commit(self, changes: list[Change]) -> None:
        for change in changes:
            self._batch.commits.append(Commit(change))
            self._report_published(change.position)
            self._takeover_timer.reset_backoff()

    # ---- answers of the acceptor ------------------------------------------------------------------

    def _on_prepare(self, now: float, source: Address, epoch: int) -> None:
        if not self._check_epoch(source, epoch):
            return
        self._observe_epoch(now, epoch)
        if self.acceptor.promise(epoch):
            self._batch.must_persist = True
            # A repeated Prepare does not count: its candidate may be unable to receive answers.
            self._takeover_timer.on_publisher_seen(now)
        for promise in self.acceptor.promise_messages(epoch):
            self._batch.send(source, promise)

    def _on_propose(self, now: float, source: Address, epoch: int, change: Change) -> None:
        if not self._check_epoch(source, epoch):
            return
        self._observe_epoch(now, epoch)
        self._takeover_timer.on_publisher_seen(now)
        self._batch.must_persist |= self.acceptor.accept(epoch, change)
        self._acknowledge(source, epoch)

    def _on_lease_request(self, now: float, source: Address, message: LeaseRequest) -> None:
        if not self._check_epoch(source, message.epoch):
            return
        self._observe_epoch(now, message.epoch)
        self._takeover_timer.on_publisher_seen(now)
        self._batch.send(source, LeaseGrant(message.epoch, message.count))

    def _check_epoch(self, source: Address, epoch: int) -> bool:
        """Return whether ``epoch`` may still be used here; if not, send the newer promised epoch."""
        if self.acceptor.allows(epoch):
            return True
        self._batch.send(source, Rejected(self.acceptor.promised))
        return False

    def _acknowledge(self, destination: Address, epoch: int) -> None:
        position = self.acceptor.accepted_position(epoch)
        if position is not None:
            self._batch.send(destination, Accepted(epoch, position))

    def _acknowledge_buffered(self) -> None:
        epoch = self.acceptor.accepted[-1].epoch
        self._acknowledge(self._voters.owner(epoch).address, epoch)

    # ---- results for operators, and actions -------------------------------------------------------

    def _report_published(self, position: Position) -> None:
        event = self._queue.mark_committed(position)
        if event is not None:
            self._batch.results.append(Published(event.token, position))

    def _expire_publishes(self, now: float) -> None:
        for event in self._queue.expire(now):
            self._batch.results.append(PublishFailed(event.token, PublishError.NO_MAJORITY))

    def _take_actions(self) -> list[QuorumAction]:
        if self._batch.is_empty:
            return []
        batch, self._batch = self._batch, ActionBatch()
        return batch.ordered(self.acceptor.state() if batch.must_persist else None)
