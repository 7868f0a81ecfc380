"""Safety invariants of the quorum, checked on the voters' commits, results and disks.

- each version has the same change at all voters; versions are consecutive, and epochs never decrease;
- when a change is committed, it is on a majority of the disks;
- a change reported as published is in the sequence of commits with the operator's writes, and each request
  gets one result only.
"""

from __future__ import annotations

from saltcourse.emulator.invariants import InvariantError
from saltcourse.gossip.messages import Change, Position, Published, PublishFailed, ReplicaState, Write


class InvariantChecker:
    """Checks the commits reported by all voters, and the results that operators get.

    The ``on_...`` methods raise ``InvariantError`` if an invariant is violated.
    """

    def __init__(self, majority: int) -> None:
        self.majority = majority
        self.changes: list[Change] = []  # by version, starting at version 1
        self.configurations: list[dict[str, bytes]] = [{}]  # by version, starting at version 0
        self.submitted: dict[int, tuple[Write, ...]] = {}  # token -> writes
        self.results: dict[int, Published | PublishFailed] = {}

    def on_commit(self, change: Change, disks: list[ReplicaState]) -> None:
        """Check a change committed by a voter against the present disks of all voters."""
        version = change.position.version
        if version <= len(self.changes):
            if self.changes[version - 1] != change:
                raise InvariantError(
                    f"version {version} is committed as {self.changes[version - 1]} and as {change}"
                )
            return
        self._check_order(change)
        disk_count = sum(_is_stored(disk, change) for disk in disks)
        if disk_count < self.majority:
            raise InvariantError(
                f"{change.position} is committed on {disk_count} disks, expected at least {self.majority}"
            )
        self.changes.append(change)
        configuration = dict(self.configurations[-1])
        apply_change(configuration, change)
        self.configurations.append(configuration)

    def _check_order(self, change: Change) -> None:
        version = change.position.version
        if version != len(self.changes) + 1:
            raise InvariantError(f"version {version} is committed directly after version {len(self.changes)}")
        if self.changes and change.position.epoch < self.changes[-1].position.epoch:
            raise InvariantError(f"epoch decreases: {change.position} follows {self.changes[-1].position}")

    def on_applied(self, position: Position, configuration: dict[str, bytes]) -> None:
        """Check a position and configuration applied by a voter."""
        if position != self.position_at(position.version):
            raise InvariantError(
                f"{position} is applied, but committed is {self.position_at(position.version)}"
            )
        if configuration != self.configurations[position.version]:
            raise InvariantError(f"the configuration applied at {position} differs from the committed one")

    def on_result(self, result: Published | PublishFailed) -> None:
        """Check the result of an operator's request."""
        token = result.token
        if token in self.results:
            raise InvariantError(f"token {token} has two results: {self.results[token]} and {result}")
        self.results[token] = result
        if isinstance(result, Published):
            version = result.position.version
            if self.position_at(version) != result.position:
                raise InvariantError(f"{result}, but committed is {self.position_at(version)}")
            if self.changes[version - 1].writes != self.submitted[token]:
                raise InvariantError(
                    f"{result}: the writes committed at this version are not the submitted ones"
                )

    def position_at(self, version: int) -> Position | None:
        """Return the position of a version, or None if it is not committed."""
        if version == 0:
            return Position()
        return self.changes[version - 1].position if version <= len(self.changes) else None


def _is_stored(disk: ReplicaState, change: Change) -> bool:
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
