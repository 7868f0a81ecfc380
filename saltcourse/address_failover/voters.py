"""The configured members of the election, and what one of them derives from the configuration."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from saltcourse.address_failover.errors import InvalidVotersError
from saltcourse.address_failover.terms import MAX_VOTERS
from saltcourse.address_failover.timing import ElectionTiming


@dataclass(frozen=True, slots=True)
class Voter:
    """A configured member. A witness only votes; of the others the highest ``priority`` is preferred."""

    name: str
    priority: int = 0
    witness: bool = False


@dataclass(frozen=True, slots=True)
class ElectionConfig:
    """All voters in the order that all members share, which of them this member is, and the timing.

    Raises InvalidVotersError.
    """

    voters: tuple[Voter, ...]
    own_name: str
    timing: ElectionTiming

    def __post_init__(self) -> None:
        """Check that the voters can elect a holder and that this member is one of them."""
        names = [voter.name for voter in self.voters]
        if len(set(names)) != len(names):
            raise InvalidVotersError("members: a name stands twice")
        if len(names) > MAX_VOTERS:
            raise InvalidVotersError(f"members: {MAX_VOTERS} at most")
        if self.own_name not in names:
            raise InvalidVotersError(f"members: {self.own_name} is not among them")
        if all(voter.witness for voter in self.voters):
            raise InvalidVotersError("members: all are witnesses, so nobody could hold the address")

    @property
    def own_index(self) -> int:
        """Place of this member among the voters, which its terms carry."""
        return self.index_of(self.own_name)

    @property
    def own_voter(self) -> Voter:
        """Entry of this member."""
        return self.voters[self.own_index]

    @property
    def others(self) -> tuple[Voter, ...]:
        """All voters but this member."""
        return tuple(voter for voter in self.voters if voter.name != self.own_name)

    @property
    def majority(self) -> int:
        """How many promises a lease needs, this member's own included."""
        return len(self.voters) // 2 + 1

    @property
    def start_delay(self) -> float:
        """Seconds for which this member lets higher priorities go first."""
        if self.own_voter.witness:
            return 0.0
        priorities = sorted({voter.priority for voter in self.voters if not voter.witness}, reverse=True)
        return self.timing.priority_delay * priorities.index(self.own_voter.priority)

    def preferred_successor(self, last_received: Mapping[str, float], alive_since: float) -> str | None:
        """The member to transfer a lease to: of the highest priority, then the one heard last.

        ``last_received``: when each other member's last message came. Only those count that may hold the
        lease and were heard since ``alive_since``; None where there is none.
        """
        alive = [
            voter
            for voter in self.others
            if not voter.witness and last_received.get(voter.name, -math.inf) >= alive_since
        ]
        if not alive:
            return None
        return max(alive, key=lambda voter: (voter.priority, last_received[voter.name])).name

    def index_of(self, name: str) -> int:
        """The place of a voter, or -1 for a name that is none."""
        return next((index for index, voter in enumerate(self.voters) if voter.name == name), -1)
