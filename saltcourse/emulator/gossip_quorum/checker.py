"""Invariants of the quorum, checked from outside: what voters commit, answer their operators and store.

- a version has one change for all voters at all times; versions have no gap; epochs never fall along them;
- when a change is committed, a majority of the disks has it;
- a change that was reported as published is in the sequence, with the operator's writes, and its result is
  reported once.
"""

from __future__ import annotations

from saltcourse.emulator.invariants import InvariantError
from saltcourse.gossip.messages import Change, Position, Published, PublishFailed, ReplicaState, Write


class InvariantChecker:
    """The sequence of committed changes as reported by all voters, and the results of operators."""

    def __init__(self, majority: int) -> None:
        self.majority = majority
        self.changes: list[Change] = []  # version 1 is the first
        self.configurations: list[dict[str, bytes]] = [{}]  # by version
        self.submitted: dict[int, tuple[Write, ...]] = {}  # token -> writes
        self.results: dict[int, Published | PublishFailed] = {}

    def on_commit(self, change: Change, disks: list[ReplicaState]) -> None:
        """A voter has committed a change, while these were the disks of all voters."""
        version = change.position.version
        if version <= len(self.changes):
            if self.changes[version - 1] != change:
                raise InvariantError(f"version {version} is {self.changes[version - 1]}, and then {change}")
            return
        self._check_order(change)
        holders = sum(_holds(disk, change) for disk in disks)
        if holders < self.majority:
            raise InvariantError(f"{change.position} is committed and on {holders} disks only")
        self.changes.append(change)
        configuration = dict(self.configurations[-1])
        apply_change(configuration, change)
        self.configurations.append(configuration)

    def _check_order(self, change: Change) -> None:
        version = change.position.version
        if version != len(self.changes) + 1:
            raise InvariantError(f"version {version} is committed after {len(self.changes)}")
        if self.changes and change.position.epoch < self.changes[-1].position.epoch:
            raise InvariantError(f"epochs fall: {change.position} after {self.changes[-1].position}")

    def on_applied(self, position: Position, configuration: dict[str, bytes]) -> None:
        """A voter has this configuration in force."""
        if position != self.position_at(position.version):
            raise InvariantError(f"{position} is applied, committed is {self.position_at(position.version)}")
        if configuration != self.configurations[position.version]:
            raise InvariantError(f"another configuration at {position}")

    def on_result(self, result: Published | PublishFailed) -> None:
        """An operator has got this result."""
        token = result.token
        if token in self.results:
            raise InvariantError(f"token {token} has two results: {self.results[token]}, {result}")
        self.results[token] = result
        if isinstance(result, Published):
            version = result.position.version
            if self.position_at(version) != result.position:
                raise InvariantError(f"{result}, committed is {self.position_at(version)}")
            if self.changes[version - 1].writes != self.submitted[token]:
                raise InvariantError(f"{result}: other writes are committed there")

    def position_at(self, version: int) -> Position | None:
        """None for a version that is not committed."""
        if version == 0:
            return Position()
        return self.changes[version - 1].position if version <= len(self.changes) else None


def _holds(disk: ReplicaState, change: Change) -> bool:
    if disk.committed.version >= change.position.version:
        return True
    return any(entry.change == change for entry in disk.accepted)


def apply_change(configuration: dict[str, bytes], change: Change) -> None:
    """Apply the writes of a change in place."""
    for key, value in change.writes:
        if value is None:
            configuration.pop(key, None)
        else:
            configuration[key] = value
