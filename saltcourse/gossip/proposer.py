"""The proposer of Multi-Paxos: phase 2 of one publisher under one epoch, from proposal to commit.

It first re-proposes the recovered changes, each at its original position, and then operators' changes in the
order in which they arrived. At most ``WINDOW`` versions after the last committed one are proposed at a time.
A version is committed when a majority has accepted it. An acknowledgement of a version also acknowledges all
versions before it, because an acceptor accepts without gaps (see ``acceptor``).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from saltcourse.gossip.acceptor import Acceptor
from saltcourse.gossip.messages import (
    Change,
    MemberId,
    Position,
    Propose,
    PublishError,
    PublishFailed,
)
from saltcourse.gossip.publish_queue import PublishQueue
from saltcourse.gossip.quorum_actions import ActionBatch
from saltcourse.gossip.retry_timer import RetryTimer
from saltcourse.gossip.sizes import ConfigurationSize
from saltcourse.gossip.voter_set import VoterSet

WINDOW = 16  # the maximum number of versions that are proposed and not yet committed
RETRANSMITTED_CHANGES = 4  # proposals sent again to one voter in one retransmission


class Proposer:
    """Proposes changes after the last version that its acceptor knows as committed, ``recovered`` first."""

    def __init__(
        self, epoch: int, voters: VoterSet, majority: int, acceptor: Acceptor, recovered: Iterable[Change]
    ) -> None:
        self._epoch = epoch
        self._voters = voters
        self._majority = majority
        self._acceptor = acceptor
        self._recovered = deque(recovered)
        self._proposals: dict[int, Change] = {}  # uncommitted proposals by version
        self._acknowledged: dict[MemberId, int] = {}  # the version up to which each voter has accepted
        self._committed = acceptor.committed.version  # the last version known to be committed
        self._last_proposed = self._committed
        self._size = ConfigurationSize(acceptor.configuration)  # the size after all proposed changes
        self._retry = RetryTimer()

    def propose_waiting(self, now: float, queue: PublishQueue, batch: ActionBatch) -> list[Change]:
        """Propose waiting changes until the window is full; return the newly committed changes.

        Nothing is proposed until this voter has applied all committed changes. So commits are returned in
        order, even when ``Quorum.on_applied`` is called before a list of actions has been executed.
        """
        if self._acceptor.committed.version != self._committed:
            return []
        if not self._proposals:
            self._retry.restart(now)
        while self._last_proposed < self._committed + WINDOW:
            change = self._next_change(queue, batch)
            if change is None:
                break
            self._propose(change, batch)
        self._acknowledged[self._voters.own_voter.id] = self._acceptor.accepted_version(self._epoch)
        return self._commit_accepted()

    def on_accepted(self, voter: MemberId, version: int) -> list[Change]:
        """Record that a voter accepted all versions up to ``version``; return the newly committed changes."""
        version = min(version, self._last_proposed)
        self._acknowledged[voter] = max(version, self._acknowledged.get(voter, 0))
        return self._commit_accepted()

    def on_applied(self, position: Position) -> bool:
        """Record a committed position learned from another member; return False if this voter was replaced.

        A version can be known as committed before enough acknowledgements have arrived: an earlier publisher
        may have committed a change that is re-proposed here, or a newer publisher not yet seen may have
        committed one.
        """
        if position.version <= self._committed:
            return True
        proposal = self._proposals.get(position.version)
        if proposal is None or proposal.position != position:
            return False
        self._committed = position.version
        self._proposals = {v: change for v, change in self._proposals.items() if v > position.version}
        return True

    def retransmit(self, now: float, batch: ActionBatch) -> int:
        """If the retry timer has expired, resend unacknowledged proposals; return the number of messages."""
        if not self._proposals or now < self._retry.deadline:
            return 0
        count = 0
        for voter in self._voters.others:
            for version in self._unacknowledged(voter.id)[:RETRANSMITTED_CHANGES]:
                batch.send(voter.address, Propose(self._epoch, self._proposals[version]))
                count += 1
        self._retry.schedule(now)
        return count

    def next_deadline(self) -> float:
        """Return the time of the next ``retransmit``, in seconds on the caller's clock."""
        return self._retry.deadline if self._proposals else float("inf")

    def _next_change(self, queue: PublishQueue, batch: ActionBatch) -> Change | None:
        if self._recovered:
            return self._recovered.popleft()
        while queue.waiting_count:
            event = queue.next_waiting()
            if self._size.fits(event.writes):
                position = Position(self._epoch, self._last_proposed + 1)
                queue.mark_proposed(position)
                return Change(position, event.writes)
            queue.reject_next()
            batch.results.append(PublishFailed(event.token, PublishError.TOO_LARGE))
        return None

    def _propose(self, change: Change, batch: ActionBatch) -> None:
        self._last_proposed = change.position.version
        self._proposals[change.position.version] = change
        self._size.apply(change.writes)
        batch.must_persist |= self._acceptor.accept(self._epoch, change)
        for voter in self._voters.others:
            batch.send(voter.address, Propose(self._epoch, change))

    def _unacknowledged(self, voter: MemberId) -> list[int]:
        acknowledged = self._acknowledged.get(voter, 0)
        return [version for version in sorted(self._proposals) if version > acknowledged]

    def _commit_accepted(self) -> list[Change]:
        """Remove and return the changes that a majority has accepted, in order."""
        versions = sorted(self._acknowledged.values(), reverse=True)
        if len(versions) < self._majority:
            return []
        accepted = versions[self._majority - 1]
        changes = [self._proposals.pop(version) for version in range(self._committed + 1, accepted + 1)]
        if changes:
            self._committed = accepted
            self._retry.reset()
        return changes
