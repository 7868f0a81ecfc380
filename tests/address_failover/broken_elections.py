"""Elections that are broken on purpose: each check of a safety property must find each of them."""

from __future__ import annotations

from saltcourse.address_failover.election import Election, Role
from saltcourse.address_failover.promises import VoterPromises
from saltcourse.address_failover.vote import RecoveredState
from saltcourse.address_failover.voters import ElectionConfig


class BrokenPromises(VoterPromises):
    """Promises to whoever asks, whatever was promised before."""

    def can_promise_to(self, now: float, member: str, transferred_term: int = 0) -> bool:
        return True


class NoLeaseWait(Election):
    """Votes for whoever asks, whatever it promised."""

    def __init__(self, config: ElectionConfig, seed: int, now: float, recovered: RecoveredState) -> None:
        super().__init__(config, seed, now, recovered)
        self.promises = BrokenPromises(config.own_name, config.timing.lease_duration, now, recovered)


class NoPreVote(Election):
    """Becomes a candidate without asking first."""

    def _become_pre_candidate(self) -> None:
        if self.promises.can_promise_to(self.now, self.own_name):
            self._start_candidacy(Role.CANDIDATE)
        else:
            self._become_follower()


class VoteForgotten(Election):
    """A restart knows nothing and waits for nothing."""

    def __init__(self, config: ElectionConfig, seed: int, now: float, recovered: RecoveredState) -> None:
        super().__init__(config, seed, now, RecoveredState(never_promised=True))


BROKEN_ELECTIONS = [NoLeaseWait, NoPreVote, VoteForgotten]
