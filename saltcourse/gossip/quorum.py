"""Agreement of the voters on a sequence of configuration changes: Multi-Paxos, free of I/O.

**Epochs.** An epoch (a ballot) belongs to one voter: ``epoch % len(voters)`` is its index. A voter never uses
an epoch twice, also not after a restart, because it persists its promise to itself before it asks the others.

**Taking over.** A voter that wants to publish sends ``Prepare`` under a new epoch, gathers the promises of
a majority (its own counts) and waits until the dissemination has brought it the newest version committed
among them. Then it proposes again what may have been committed behind that version, each change at its first
position, and after that operators' changes, at most ``WINDOW`` versions at a time. A change that a majority
has accepted is committed.

**Who publishes.** A voter that is asked to publish while another one does forwards nothing: it takes over
and stays the publisher. Two operators at two voters duel only while both have work, and a randomised back-off
ends it. Without work, a voter takes over when it has not heard a publisher for ``takeover_after``. A
publisher that sees a newer epoch, or gets no lease for that long, steps down. Its operators' changes go on
waiting.

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
from collections import deque
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
    Persist,
    Position,
    Prepare,
    Promise,
    Propose,
    Publish,
    Published,
    PublishError,
    PublishFailed,
    QuorumMessage,
    Refused,
    ReplicaState,
    Send,
)
from saltcourse.gossip.publish_queue import PublishQueue
from saltcourse.gossip.recovery import PromiseSet
from saltcourse.gossip.settings import Timing, Voter
from saltcourse.gossip.sizes import ConfigurationSize, is_encodable

WINDOW = 16  # versions proposed and not yet committed
RETRY_AFTER = 0.3  # s without an answer; above a round trip between regions
MAX_DOUBLINGS = 3  # of the time between tries
CATCH_UP_TIMEOUT = 3.0  # s; who told of the missing versions may be gone, others can tell what led to them
RETRY_CHANGES = 4  # proposals sent again to one voter at a time
TAKEOVER_STAGGER = 0.3  # s between voters that miss the same publisher, by index, and the spread of each


class Phase(IntEnum):
    FOLLOWING = 0
    PREPARING = 1  # asks for promises
    CATCHING_UP = 2  # has them, and lacks versions that are committed
    PUBLISHING = 3


@dataclass(frozen=True, slots=True)
class Commit:
    """A majority has accepted the change: it may leave the voters. Versions come in order."""

    change: Change


@dataclass(frozen=True, slots=True)
class Beat:
    """A majority follows this publisher: the heartbeat goes into the headers."""

    heartbeat: Heartbeat


QuorumAction = Persist | Send | Commit | Beat | Published | PublishFailed


class Quorum:
    """One voter. ``state`` is what it persisted last, in this process or an earlier one."""

    def __init__(
        self, me: Voter, voters: tuple[Voter, ...], timing: Timing, source: random.Random, state: ReplicaState
    ) -> None:
        self.phase = Phase.FOLLOWING
        self.acceptor = Acceptor(state)
        self._me = me
        self._voters = voters
        self._index = voters.index(me)
        self._others = tuple(voter for voter in voters if voter != me)
        self._voter_ids = tuple(voter.id for voter in voters)
        self._timing = timing
        self._random = source
        self._queue = PublishQueue()
        # Of the epoch under which this voter prepares or publishes.
        self._epoch = 0
        self._promises = PromiseSet()
        self._recovered: deque[Change] = deque()
        self._proposals: dict[int, Change] = {}  # not yet committed, by version
        self._acknowledged: dict[MemberId, int] = {}  # version up to which a voter has accepted
        self._decided = 0  # the last version known to be committed
        self._last_proposed = 0
        self._projected = ConfigurationSize(())  # after all that was proposed
        self._lease_count = 0
        self._grants: set[MemberId] = set()
        self._granted_at = 0.0
        self._lease_at = 0.0
        # Of all epochs.
        self._newest_epoch = state.committed.epoch  # that was seen anywhere
        self._heartbeat = Heartbeat()
        self._takeover_at = 0.0
        self._attempt_at = 0.0  # not before: a try for waiting changes
        self._failures = 0  # step-downs since the last commit
        self._retry_at = 0.0
        self._tries = 0
        self._takeovers = 0
        self._retransmissions = 0
        # Actions under way.
        self._changed = False  # the acceptor's state is to be persisted
        self._sends: list[Send] = []
        self._beats: list[Beat] = []
        self._commits: list[Commit] = []
        self._results: list[Published | PublishFailed] = []

    @property
    def majority(self) -> int:
        return len(self._voters) // 2 + 1

    # ---- events -----------------------------------------------------------------------------------

    def start(self, now: float) -> list[QuorumAction]:
        self._attempt_at = now
        self._expect_publisher(now)
        if not self._others:
            self._prepare(now)
        return self._take_actions()

    def handle(
        self, now: float, source: Address, header: Header, message: QuorumMessage
    ) -> list[QuorumAction]:
        """A message of another voter."""
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
            case Refused(epoch):
                self._see_epoch(now, epoch)
        return self._take_actions()

    def observe(self, now: float, position: Position, heartbeat: Heartbeat) -> list[QuorumAction]:
        """The newest position and heartbeat that this member has seen anywhere."""
        if heartbeat > self._heartbeat:
            self._heartbeat = heartbeat
            self._expect_publisher(now)
        self._see_epoch(now, max(position.epoch, heartbeat.epoch))
        return self._take_actions()

    def applied(
        self, now: float, position: Position, configuration: Mapping[str, bytes]
    ) -> list[QuorumAction]:
        """The dissemination has applied what is committed up to this position."""
        if not self.acceptor.learn(position, tuple(sorted(configuration.items()))):
            return []
        self._changed = True
        self._tell_published(position)
        if self.acceptor.accept_held():
            self._acknowledge_held()
        if self.phase is Phase.CATCHING_UP:
            self._check_promises(now)
        elif self.phase is Phase.PUBLISHING:
            self._reconcile(now, position)
            self._propose_more(now)
        return self._take_actions()

    def publish(self, now: float, event: Publish) -> list[QuorumAction]:
        if not is_encodable(event.writes):
            return [PublishFailed(event.token, PublishError.TOO_LARGE)]
        if self._queue.full:
            return [PublishFailed(event.token, PublishError.BUSY)]
        self._queue.add(event, now + self._timing.publish_timeout)
        if self.phase is Phase.PUBLISHING:
            self._propose_more(now)
        elif self.phase is Phase.FOLLOWING and now >= self._attempt_at:
            self._prepare(now)
        return self._take_actions()

    def tick(self, now: float) -> list[QuorumAction]:
        self._expire(now)
        match self.phase:
            case Phase.FOLLOWING:
                if now >= self._next_attempt():
                    self._prepare(now)
            case Phase.PREPARING:
                if now >= self._retry_at:
                    self._ask_for_promises(now)
            case Phase.CATCHING_UP:
                if now >= self._retry_at:
                    self._step_down(now)
            case Phase.PUBLISHING:
                self._tick_publishing(now)
        return self._take_actions()

    def next_deadline(self) -> float:
        due = [self._queue.next_deadline()]
        match self.phase:
            case Phase.FOLLOWING:
                due.append(self._next_attempt())
            case Phase.PREPARING | Phase.CATCHING_UP:
                due.append(self._retry_at)
            case Phase.PUBLISHING:
                due.append(self._lease_at)
                if self._proposals:
                    due.append(self._retry_at)
        return min(due)

    def figures(self) -> dict[str, int]:
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
        if sender not in self._voter_ids or sender == self._voter_ids[self._index]:
            return False
        if isinstance(message, Prepare | Propose | LeaseRequest):
            return self._voter_ids[self._owner(message.epoch)] == sender
        return True

    def _owner(self, epoch: int) -> int:
        """Index of the voter that an epoch belongs to."""
        return epoch % len(self._voters)

    def _see_epoch(self, now: float, epoch: int) -> None:
        self._newest_epoch = max(self._newest_epoch, epoch)
        if epoch > self._epoch and self.phase is not Phase.FOLLOWING:
            self._step_down(now)

    def _expect_publisher(self, now: float) -> None:
        """One was heard just now: the time until a takeover begins anew."""
        stagger = self._index * TAKEOVER_STAGGER + self._random.uniform(0, TAKEOVER_STAGGER)
        self._takeover_at = now + self._timing.takeover_after + stagger

    def _next_attempt(self) -> float:
        if self._queue.waiting:
            return min(self._attempt_at, self._takeover_at)
        return self._takeover_at

    def _step_down(self, now: float) -> None:
        self.phase = Phase.FOLLOWING
        self._recovered.clear()
        self._proposals.clear()
        self._acknowledged.clear()
        self._attempt_at = now + self._random.uniform(0.5, 1.5) * _backoff(self._failures)
        self._failures += 1
        self._expect_publisher(now)

    # ---- taking over ------------------------------------------------------------------------------

    def _prepare(self, now: float) -> None:
        self._epoch = self._new_epoch()
        self.phase = Phase.PREPARING
        self._changed |= self.acceptor.promise(self._epoch)
        self._promises = PromiseSet()
        for promise in self.acceptor.promises(self._epoch):
            self._promises.add(self._me.id, promise)
        self._takeovers += 1
        self._tries = 0
        self._ask_for_promises(now)
        self._check_promises(now)

    def _new_epoch(self) -> int:
        """The lowest one of this voter above all that it has seen."""
        lowest = max(self.acceptor.promised, self._newest_epoch) + 1
        return lowest + (self._index - lowest) % len(self._voters)

    def _ask_for_promises(self, now: float) -> None:
        for voter in self._others:
            if not self._promises.is_complete(voter.id):
                self._send(voter.address, Prepare(self._epoch))
        self._retry_later(now)

    def _on_prepare(self, now: float, source: Address, epoch: int) -> None:
        if not self.acceptor.obeys(epoch):
            self._send(source, Refused(self.acceptor.promised))
            return
        self._see_epoch(now, epoch)
        if self.acceptor.promise(epoch):
            self._changed = True
            self._expect_publisher(now)  # not for each repeated try of a candidate that hears no answers
        for promise in self.acceptor.promises(epoch):
            self._send(source, promise)

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
            self._retry_at = now + CATCH_UP_TIMEOUT
        if self.acceptor.committed.version >= self._promises.committed_version:
            self._start_publishing(now)

    def _start_publishing(self, now: float) -> None:
        committed = self.acceptor.committed
        self.phase = Phase.PUBLISHING
        self._recovered = deque(self._recover(committed))
        self._proposals.clear()
        self._acknowledged.clear()
        self._decided = committed.version
        self._last_proposed = committed.version
        self._projected = ConfigurationSize(self.acceptor.configuration)
        self._lease_count = 0
        self._granted_at = now
        self._request_lease(now)
        self._propose_more(now)

    def _recover(self, committed: Position) -> list[Change]:
        return self._promises.recover(committed)

    # ---- proposing --------------------------------------------------------------------------------

    def _propose_more(self, now: float) -> None:
        """Not before all that was committed is applied here: commits then leave in order, also when
        ``applied`` is called amid a list of actions."""
        if self.phase is not Phase.PUBLISHING or self.acceptor.committed.version != self._decided:
            return
        if not self._proposals:
            self._tries = 0
            self._retry_later(now)
        while self._last_proposed < self._decided + WINDOW:
            change = self._next_change()
            if change is None:
                break
            self._propose(change)
        self._acknowledged[self._me.id] = self.acceptor.acknowledged(self._epoch)
        self._decide()

    def _next_change(self) -> Change | None:
        if self._recovered:
            return self._recovered.popleft()
        while self._queue.waiting:
            event = self._queue.next_waiting()
            if self._projected.fits(event.writes):
                position = Position(self._epoch, self._last_proposed + 1)
                self._queue.propose(position)
                return Change(position, event.writes)
            self._queue.refuse()
            self._results.append(PublishFailed(event.token, PublishError.TOO_LARGE))
        return None

    def _propose(self, change: Change) -> None:
        self._last_proposed = change.position.version
        self._proposals[change.position.version] = change
        self._projected.apply(change.writes)
        self._changed |= self.acceptor.propose(self._epoch, change)
        for voter in self._others:
            self._send(voter.address, Propose(self._epoch, change))

    def _on_propose(self, now: float, source: Address, epoch: int, change: Change) -> None:
        if not self.acceptor.obeys(epoch):
            self._send(source, Refused(self.acceptor.promised))
            return
        self._see_epoch(now, epoch)
        self._expect_publisher(now)
        self._changed |= self.acceptor.propose(epoch, change)
        self._acknowledge(source, epoch)

    def _acknowledge(self, destination: Address, epoch: int) -> None:
        position = self.acceptor.acknowledged_position(epoch)
        if position is not None:
            self._send(destination, Accepted(epoch, position))

    def _acknowledge_held(self) -> None:
        epoch = self.acceptor.accepted[-1].epoch
        self._acknowledge(self._voters[self._owner(epoch)].address, epoch)

    def _on_accepted(self, sender: MemberId, message: Accepted) -> None:
        if message.epoch != self._epoch or self.phase is not Phase.PUBLISHING:
            return
        version = min(message.position.version, self._last_proposed)
        self._acknowledged[sender] = max(version, self._acknowledged.get(sender, 0))
        self._decide()

    def _decide(self) -> None:
        """Commits what a majority has accepted. An acknowledgement counts for the versions before it too."""
        versions = sorted(self._acknowledged.values(), reverse=True)
        if len(versions) < self.majority:
            return
        for version in range(self._decided + 1, versions[self.majority - 1] + 1):
            change = self._proposals.pop(version)
            self._commits.append(Commit(change))
            self._tell_published(change.position)
            self._decided = version
            self._failures = 0
            self._tries = 0

    def _reconcile(self, now: float, position: Position) -> None:
        """A version may be known as committed here before enough acknowledgements have come: by an earlier
        publisher, whose change is then proposed here again, or by a newer one that was not heard of yet."""
        if position.version <= self._decided:
            return
        proposal = self._proposals.get(position.version)
        if proposal is None or proposal.position != position:
            self._step_down(now)
            return
        self._decided = position.version
        self._proposals = {v: change for v, change in self._proposals.items() if v > position.version}

    # ---- lease and retries ------------------------------------------------------------------------

    def _tick_publishing(self, now: float) -> None:
        if self._others and now - self._granted_at >= self._timing.takeover_after:
            self._step_down(now)
            return
        if now >= self._lease_at:
            self._request_lease(now)
        if self._proposals and now >= self._retry_at:
            self._propose_again(now)

    def _request_lease(self, now: float) -> None:
        self._lease_at = now + self._timing.heartbeat_interval
        self._lease_count += 1
        self._grants = set()
        for voter in self._others:
            self._send(voter.address, LeaseRequest(self._epoch, self._lease_count))
        self._grant(now, self._me.id)

    def _on_lease_request(self, now: float, source: Address, message: LeaseRequest) -> None:
        if not self.acceptor.obeys(message.epoch):
            self._send(source, Refused(self.acceptor.promised))
            return
        self._see_epoch(now, message.epoch)
        self._expect_publisher(now)
        self._send(source, LeaseGrant(message.epoch, message.count))

    def _on_lease_grant(self, now: float, sender: MemberId, message: LeaseGrant) -> None:
        current = (self._epoch, self._lease_count)
        if self.phase is Phase.PUBLISHING and (message.epoch, message.count) == current:
            self._grant(now, sender)

    def _grant(self, now: float, voter: MemberId) -> None:
        if voter in self._grants:
            return
        self._grants.add(voter)
        if len(self._grants) == self.majority:
            self._granted_at = now
            self._beats.append(Beat(Heartbeat(self._epoch, self._lease_count)))

    def _propose_again(self, now: float) -> None:
        for voter in self._others:
            acknowledged = self._acknowledged.get(voter.id, 0)
            missing = [version for version in sorted(self._proposals) if version > acknowledged]
            for version in missing[:RETRY_CHANGES]:
                self._send(voter.address, Propose(self._epoch, self._proposals[version]))
                self._retransmissions += 1
        self._retry_later(now)

    def _retry_later(self, now: float) -> None:
        self._retry_at = now + _backoff(self._tries)
        self._tries += 1

    # ---- operators --------------------------------------------------------------------------------

    def _tell_published(self, position: Position) -> None:
        event = self._queue.commit(position)
        if event is not None:
            self._results.append(Published(event.token, position))

    def _expire(self, now: float) -> None:
        for event in self._queue.expire(now):
            self._results.append(PublishFailed(event.token, PublishError.NO_MAJORITY))

    # ---- actions ----------------------------------------------------------------------------------

    def _send(self, destination: Address, message: QuorumMessage) -> None:
        self._sends.append(Send(destination, message))

    def _take_actions(self) -> list[QuorumAction]:
        actions: list[QuorumAction] = []
        if self._changed:
            actions.append(Persist(self.acceptor.state()))
        actions += [*self._sends, *self._beats, *self._commits, *self._results]
        self._changed = False
        self._sends, self._beats, self._commits, self._results = [], [], [], []
        return actions


def _backoff(tries: int) -> float:
    """Seconds until the next try."""
    return RETRY_AFTER * float(2 ** min(tries, MAX_DOUBLINGS))
