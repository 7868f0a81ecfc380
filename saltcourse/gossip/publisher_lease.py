"""The publisher's lease: a voter remains the publisher only while a majority of the voters renews its lease.

The publisher requests a renewal every ``heartbeat_interval``. When a majority has granted one request, the
heartbeat advances. If no majority has granted a request for ``takeover_after``, the lease has expired and the
publisher steps down, so that another voter can take over.
"""

from __future__ import annotations

from saltcourse.gossip.messages import Heartbeat, LeaseRequest, MemberId
from saltcourse.gossip.quorum_actions import ActionBatch, AdvanceHeartbeat
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.voter_set import VoterSet


class PublisherLease:
    """The lease of one publisher under one epoch. All times are in seconds."""

    def __init__(self, now: float, epoch: int, voters: VoterSet, majority: int, timing: Timing) -> None:
        self.renewal_deadline = now  # the time of the next request
        self._epoch = epoch
        self._voters = voters
        self._majority = majority
        self._interval = timing.heartbeat_interval
        self._duration = timing.takeover_after
        self._count = 0  # renewal requests sent so far
        self._grants: set[MemberId] = set()  # voters that granted the latest request
        self._granted_at = now

    def request_renewal(self, now: float, batch: ActionBatch) -> None:
        """Request a renewal from all other voters; this voter grants it immediately."""
        self.renewal_deadline = now + self._interval
        self._count += 1
        self._grants = set()
        for voter in self._voters.others:
            batch.send(voter.address, LeaseRequest(self._epoch, self._count))
        self._add_grant(now, self._voters.own_voter.id, batch)

    def on_grant(self, now: float, voter: MemberId, count: int, batch: ActionBatch) -> None:
        """Record that a voter granted request number ``count``; a grant for an earlier request is ignored."""
        if count == self._count:
            self._add_grant(now, voter, batch)

    def is_expired(self, now: float) -> bool:
        """Return whether the lease has expired. The lease of a single voter never expires."""
        return bool(self._voters.others) and now - self._granted_at >= self._duration

    def _add_grant(self, now: float, voter: MemberId, batch: ActionBatch) -> None:
        if voter in self._grants:
            return
        self._grants.add(voter)
        if len(self._grants) == self._majority:
            self._granted_at = now
            batch.heartbeats.append(AdvanceHeartbeat(Heartbeat(self._epoch, self._count)))
