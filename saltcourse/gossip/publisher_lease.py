"""The publisher's lease: while a majority of the voters renews it, its heartbeat counts and it goes on.

The publisher asks for a renewal in each ``heartbeat_interval``. The first majority of answers to one request
gives one heartbeat. Without a majority for ``takeover_after`` the lease has expired and the publisher steps
down, so that another voter can take over.
"""

from __future__ import annotations

from saltcourse.gossip.messages import Heartbeat, LeaseRequest, MemberId
from saltcourse.gossip.quorum_actions import ActionBatch, AdvanceHeartbeat
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.voter_set import VoterSet


class PublisherLease:
    """The lease of one publisher under one epoch. ``now`` in seconds."""

    def __init__(self, now: float, epoch: int, voters: VoterSet, majority: int, timing: Timing) -> None:
        self.renewal_deadline = now  # when the next request is to be sent
        self._epoch = epoch
        self._voters = voters
        self._majority = majority
        self._interval = timing.heartbeat_interval
        self._duration = timing.takeover_after
        self._count = 0  # requests sent
        self._grants: set[MemberId] = set()  # for the last request
        self._granted_at = now

    def request_renewal(self, now: float, batch: ActionBatch) -> None:
        """Ask all other voters; this one grants at once."""
        self.renewal_deadline = now + self._interval
        self._count += 1
        self._grants = set()
        for voter in self._voters.others:
            batch.send(voter.address, LeaseRequest(self._epoch, self._count))
        self._add_grant(now, self._voters.own_voter.id, batch)

    def on_grant(self, now: float, voter: MemberId, count: int, batch: ActionBatch) -> None:
        """A voter has granted request number ``count``; one for an earlier request is too late."""
        if count == self._count:
            self._add_grant(now, voter, batch)

    def is_expired(self, now: float) -> bool:
        """Whether too long has passed since a majority granted it. A single voter needs nobody's."""
        return bool(self._voters.others) and now - self._granted_at >= self._duration

    def _add_grant(self, now: float, voter: MemberId, batch: ActionBatch) -> None:
        if voter in self._grants:
            return
        self._grants.add(voter)
        if len(self._grants) == self._majority:
            self._granted_at = now
            batch.heartbeats.append(AdvanceHeartbeat(Heartbeat(self._epoch, self._count)))
