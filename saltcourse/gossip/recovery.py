"""Collects the promises of voters and determines which changes a new publisher has to propose again."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltcourse.gossip.messages import AcceptedChange, Change, MemberId, Position, Promise


@dataclass
class VoterPromise:
    """The combined content of one voter's promises under one epoch.

    After the first of these messages the voter accepts nothing under an older epoch, so messages sent at
    different times are consistent with each other.
    """

    committed: Position = Position()
    last_accepted: int = 0
    accepted: dict[int, AcceptedChange] = field(default_factory=dict)  # by version

    def add(self, promise: Promise) -> None:
        """Merge one message of the voter; messages may arrive in any order, and more than once."""
        self.committed = max(self.committed, promise.committed, key=lambda position: position.version)
        self.last_accepted = max(self.last_accepted, promise.last_accepted)
        if promise.accepted is not None:
            self.accepted[promise.accepted.change.position.version] = promise.accepted

    @property
    def is_complete(self) -> bool:
        """Whether all accepted changes after ``committed`` have arrived."""
        versions = range(self.committed.version + 1, self.last_accepted + 1)
        return all(version in self.accepted for version in versions)


class PromiseSet:
    """The promises of all voters under one epoch."""

    def __init__(self) -> None:
        self._by_voter: dict[MemberId, VoterPromise] = {}

    def add(self, voter: MemberId, promise: Promise) -> None:
        """Merge one message of ``voter``."""
        self._by_voter.setdefault(voter, VoterPromise()).add(promise)

    def is_complete(self, voter: MemberId) -> bool:
        """Return whether the promise of ``voter`` has arrived completely."""
        return voter in self._by_voter and self._by_voter[voter].is_complete

    @property
    def complete_count(self) -> int:
        """The number of voters whose promise has arrived completely."""
        return len(self._complete_promises())

    @property
    def committed_version(self) -> int:
        """The highest version that a complete promise reports as committed."""
        return max((promise.committed.version for promise in self._complete_promises()), default=0)

    def recover(self, base: Position) -> list[Change]:
        """Return the changes after the committed ``base`` that may have been committed.

        For each version, it is the change that was accepted under the highest epoch. The list ends before a
        change whose epoch is lower than that of the change before it. Such a change can't have been
        committed: the publisher that committed it would have proposed the preceding change as well, and the
        epochs of the changes that one publisher proposes never decrease.
        """
        newest = self._newest_accepted()
        changes: list[Change] = []
        last = base
        while last.version + 1 in newest:
            change = newest[last.version + 1].change
            if change.position.epoch < last.epoch:
                break
            changes.append(change)
            last = change.position
        return changes

    def _complete_promises(self) -> list[VoterPromise]:
        return [promise for promise in self._by_voter.values() if promise.is_complete]

    def _newest_accepted(self) -> dict[int, AcceptedChange]:
        newest: dict[int, AcceptedChange] = {}
        for promise in self._complete_promises():
            for version, entry in promise.accepted.items():
                if version not in newest or entry.epoch > newest[version].epoch:
                    newest[version] = entry
        return newest
