"""Configuration of the election: its members, which of them this one is, and the timing."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from saltcourse.address_failover.errors import InvalidVotersError
from saltcourse.address_failover.terms import MAX_VOTERS
from saltcourse.address_failover.timing import ElectionTiming


@dataclass(frozen=True, slots=True)
class Voter:
    """A configured member. A witness only votes; the other members are preferred by highest ``priority``."""

    name: str
    priority: int = 0
    witness: bool = False


@dataclass(frozen=True, slots=True)
class ElectionConfig:
    """The election as configured for one member. All members must list the voters in the same order.

    Raises InvalidVotersError if the voters cannot elect a holder or do not include this member.
    """

    voters: tuple[Voter, ...]
    own_name: str
    timing: ElectionTiming

    def __post_init__(self) -> None:
        """Raise InvalidVotersError if the configuration is invalid."""
        names = [voter.name for voter in self.voters]
        if len(set(names)) != len(names):
            raise InvalidVotersError(f"members: duplicate name in {', '.join(names)}")
        if len(names) > MAX_VOTERS:
            raise InvalidVotersError(f"members: {len(names)} configured, at most {MAX_VOTERS} allowed")
        if self.own_name not in names:
            raise InvalidVotersError(
                f"members: this member, {self.own_name}, is not one of {', '.join(names)}"
            )
        if all(voter.witness for voter in self.voters):
            raise InvalidVotersError(
                "members: all are witnesses, at least one must be able to hold the address"
            )

    @property
    def own_index(self) -> int:
        """Index of this member among the voters, which is part of its terms."""
        return self.index_of(self.own_name)

    @property
    def own_voter(self) -> Voter:
        """This member's entry among the voters."""
        return self.voters[self.own_index]

    @property
    def others(self) -> tuple[Voter, ...]:
        """All voters except this member."""
        return tuple(voter for voter in self.voters if voter.name != self.own_name)

    @property
    def majority(self) -> int:
        """Number of promises that a lease needs, including this member's own."""
        return len(self.voters) // 2 + 1

    @property
    def start_delay(self) -> float:
        """Seconds by which this member delays its candidacy in favor of higher priorities."""
        if self.own_voter.witness:
            return 0.0
        priorities = sorted({voter.priority for voter in self.voters if not voter.witness}, reverse=True)
        return self.timing.priority_delay * priorities.index(self.own_voter.priority)

    def preferred_successor(self, last_received_at: Mapping[str, float], alive_since: float) -> str | None:
        """Return the member to transfer a lease to, or None if no other member is eligible.

        Eligible are members that may hold the lease and have sent a message since ``alive_since``. The one
        with the highest priority is chosen, among equals the one that sent a message last.
        ``last_received_at``: when the last message of each other member arrived.
        """
        alive = [
            voter
            for voter in self.others
            if not voter.witness and last_received_at.get(voter.name, -math.inf) >= alive_since
        ]
        if not alive:
            return None
        return max(alive, key=lambda voter: (voter.priority, last_received_at[voter.name])).name

    def index_of(self, name: str) -> int:
        """Return the index of a voter, or -1 if there is no voter of this name."""
        return next((index for index, voter in enumerate(self.voters) if voter.name == name), -1)
