"""The set of voters from the view of one of them: majority size and ownership of epochs."""

from __future__ import annotations

from saltcourse.gossip.messages import MemberId
from saltcourse.gossip.settings import Voter


class VoterSet:
    """All voters, in the same order at every member; ``own_voter`` is one of them."""

    def __init__(self, own_voter: Voter, voters: tuple[Voter, ...]) -> None:
        self.own_voter = own_voter
        self.index = voters.index(own_voter)
        self.others = tuple(voter for voter in voters if voter != own_voter)
        self._voters = voters
        self._ids = tuple(voter.id for voter in voters)

    def __len__(self) -> int:
        """Return the number of voters."""
        return len(self._voters)

    @property
    def majority(self) -> int:
        """The smallest number of voters such that any two groups of this size share a voter."""
        return len(self._voters) // 2 + 1

    def is_other(self, member: MemberId) -> bool:
        """Return whether ``member`` is a voter other than this one."""
        return member in self._ids and member != self._ids[self.index]

    def owner(self, epoch: int) -> Voter:
        """Return the only voter that may use ``epoch``."""
        return self._voters[epoch % len(self._voters)]

    def owns(self, member: MemberId, epoch: int) -> bool:
        """Return whether ``epoch`` belongs to ``member``."""
        return self._ids[epoch % len(self._voters)] == member

    def own_epoch_above(self, epoch: int) -> int:
        """Return the lowest epoch of this voter that is higher than ``epoch``."""
        lowest = epoch + 1
        return lowest + (self.index - lowest) % len(self._voters)
