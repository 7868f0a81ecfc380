"""Variants of the election that each break one rule. Every check of a safety property must detect them."""

from __future__ import annotations

from saltcourse.address_failover.election import Election, Role
from saltcourse.address_failover.promises import VoterPromises
from saltcourse.address_failover.vote import RecoveredState
from saltcourse.address_failover.voters import ElectionConfig


class UnconditionalPromises(VoterPromises):
    """Allows a promise to any member, even while a promise to another one is active."""

    def can_promise_to(self, now: float, member: str, transferred_term: int = 0) -> bool:
        return True


class IgnoresPromises(Election):
    """Votes for any candidate, even while a promise to another member is active (breaks rule 1)."""

    def __init__(self, config: ElectionConfig, seed: int, now: float, recovered: RecoveredState) -> None:
        super().__init__(config, seed, now, recovered)
        self.promises = UnconditionalPromises(config.own_name, config.timing.lease_duration, now, recovered)


class SkipsPreVote(Election):
    """Becomes a candidate without a pre-vote (breaks rule 6)."""

    def _become_pre_candidate(self) -> None:
        if self.promises.can_promise_to(self.now, self.own_name):
            self._start_candidacy(Role.CANDIDATE)
        else:
            self._become_follower()


class ForgetsVoteOnRestart(Election):
    """Starts without the stored vote and without abstaining (breaks rule 4)."""

    def __init__(self, config: ElectionConfig, seed: int, now: float, recovered: RecoveredState) -> None:
        super().__init__(config, seed, now, RecoveredState(never_promised=True))


BROKEN_ELECTIONS = [IgnoresPromises, SkipsPreVote, ForgetsVoteOnRestart]
