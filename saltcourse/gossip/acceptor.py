"""What one voter has promised and accepted: the acceptor of Multi-Paxos, free of I/O.

There is one Paxos instance for each version. A change is accepted only directly behind the committed changes
or behind one accepted under the same epoch. Two things follow:

- what is accepted is a run of consecutive versions, the first one right behind ``committed``;
- where a majority has accepted version v under an epoch, it has accepted or committed all versions before v
  as well, so changes are committed in order, and an acknowledgement of v counts for the versions before it.

A proposal that overtook an earlier one on its way is held in memory until the earlier one has come, which is
the same as if the network had delayed it.
"""

from __future__ import annotations

from saltcourse.gossip.messages import AcceptedChange, Change, Position, Promise, ReplicaState

MAX_ACCEPTED = 64  # changes accepted and not yet known to be committed; further ones wait for that


class Acceptor:
    """Methods that change what must survive a restart return whether they did: the caller has to persist
    ``state()`` before it tells anyone."""

    def __init__(self, state: ReplicaState) -> None:
        self.promised = state.promised
        self.committed = state.committed
        self.configuration = state.configuration
        self._accepted = {entry.change.position.version: entry for entry in state.accepted}
        self._held: dict[int, Change] = {}  # proposals of ``_held_epoch``, by version
        self._held_epoch = 0

    def state(self) -> ReplicaState:
        return ReplicaState(self.promised, self.committed, self.configuration, self.accepted)

    @property
    def accepted(self) -> tuple[AcceptedChange, ...]:
        return tuple(self._accepted[version] for version in sorted(self._accepted))

    @property
    def last_accepted(self) -> int:
        return max(self._accepted, default=self.committed.version)

    def obeys(self, epoch: int) -> bool:
        """Whether a publisher of this epoch may still propose here."""
        return epoch >= self.promised

    def promise(self, epoch: int) -> bool:
        """Takes nothing of an older epoch from now on."""
        if epoch <= self.promised:
            return False
        self.promised = epoch
        return True

    def promises(self, epoch: int) -> list[Promise]:
        """The answer to ``Prepare(epoch)``: one for each accepted change, a bare one if there is none."""
        entries = self.accepted or (None,)
        return [Promise(epoch, self.committed, self.last_accepted, entry) for entry in entries]

    def propose(self, epoch: int, change: Change) -> bool:
        """Accepts the change, and the held ones that it makes room for, unless it comes too early."""
        version = change.position.version
        if not self.obeys(epoch) or change.position.epoch > epoch:
            return False
        if not 0 < version - self.committed.version <= MAX_ACCEPTED:
            return False
        if epoch != self._held_epoch:
            self._held.clear()
            self._held_epoch = epoch
        if version > self.acknowledged(epoch):
            self._held[version] = change
        return self.accept_held()

    def accept_held(self) -> bool:
        """Accepts held proposals whose turn has come."""
        epoch = self._held_epoch
        if not self.obeys(epoch):
            self._held.clear()
        version = self.acknowledged(epoch) + 1
        changed = False
        while version in self._held:
            self._accepted[version] = AcceptedChange(epoch, self._held.pop(version))
            version += 1
            changed = True
        if changed:
            self.promised = max(self.promised, epoch)
        return changed

    def acknowledged(self, epoch: int) -> int:
        """The version up to which everything is committed or accepted under this epoch."""
        version = self.committed.version
        while version + 1 in self._accepted and self._accepted[version + 1].epoch == epoch:
            version += 1
        return version

    def acknowledged_position(self, epoch: int) -> Position | None:
        """Of the last change accepted under this epoch; None if there is none behind ``committed``."""
        version = self.acknowledged(epoch)
        if version == self.committed.version:
            return None
        return self._accepted[version].change.position

    def learn(self, position: Position, configuration: tuple[tuple[str, bytes], ...]) -> bool:
        """The configuration at a newer position is known to be committed: what led to it is done with."""
        if position.version <= self.committed.version:
            return False
        self.committed = position
        self.configuration = configuration
        self._accepted = {v: entry for v, entry in self._accepted.items() if v > position.version}
        self._held = {v: change for v, change in self._held.items() if v > position.version}
        return True
