"""What a new publisher has to propose again: gathers the promises of a majority, free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltcourse.gossip.messages import AcceptedChange, Change, MemberId, Position, Promise


@dataclass
class VoterPromise:
    """What one voter has reported in its promises under one epoch.

    It accepts nothing older after the first of them, so they fit together whenever each of them was sent.
    """

    committed: Position = Position()
    last_accepted: int = 0
    accepted: dict[int, AcceptedChange] = field(default_factory=dict)  # by version

    def add(self, promise: Promise) -> None:
        """Merge one of its messages; they may come in any order, and repeated."""
        self.committed = max(self.committed, promise.committed, key=lambda position: position.version)
        self.last_accepted = max(self.last_accepted, promise.last_accepted)
        if promise.accepted is not None:
            self.accepted[promise.accepted.change.position.version] = promise.accepted

    @property
    def complete(self) -> bool:
        """Whether all that it has accepted behind ``committed`` has arrived."""
        behind = range(self.committed.version + 1, self.last_accepted + 1)
        return all(version in self.accepted for version in behind)


class PromiseSet:
    """Promises under one epoch, by voter."""

    def __init__(self) -> None:
        self._voters: dict[MemberId, VoterPromise] = {}

    def add(self, voter: MemberId, promise: Promise) -> None:
        """Merge one message of this voter."""
        self._voters.setdefault(voter, VoterPromise()).add(promise)

    def is_complete(self, voter: MemberId) -> bool:
        """Whether this voter's promise has arrived in full."""
        return voter in self._voters and self._voters[voter].complete

    @property
    def count(self) -> int:
        """The number of voters whose promise has arrived in full."""
        return len(self._complete())

    @property
    def committed_version(self) -> int:
        """The highest version that is known to be committed."""
        return max((promise.committed.version for promise in self._complete()), default=0)

    def recover(self, base: Position) -> list[Change]:
        """Return the changes behind the committed ``base`` that may have been committed.

        For each version that is the one accepted under the highest epoch.
        It ends before a change whose epoch is below that of the one before it. Such a change can't have been
        committed: whoever committed it would have proposed the one before it as well, and epochs do not fall
        along what one publisher proposes.
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

    def _complete(self) -> list[VoterPromise]:
        return [promise for promise in self._voters.values() if promise.complete]

    def _newest_accepted(self) -> dict[int, AcceptedChange]:
        newest: dict[int, AcceptedChange] = {}
        for promise in self._complete():
            for version, entry in promise.accepted.items():
                if version not in newest or entry.epoch > newest[version].epoch:
                    newest[version] = entry
        return newest
