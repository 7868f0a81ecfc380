"""What one voter has promised and accepted: the acceptor of Multi-Paxos, free of I/O.

There is one Paxos instance for each version. A change is accepted only directly behind the committed changes
or behind one accepted under the same epoch. Two things follow:

- what is accepted is a run of consecutive versions, the first one right behind ``committed``;
- where a majority has accepted version v under an epoch, it has accepted or committed all versions before v
  as well, so changes are committed in order, and an acknowledgement of v counts for the versions before it.

A proposal that overtook an earlier one on its way is buffered in memory until the earlier one has arrived,
which is the same as if the network had delayed it.
"""

from __future__ import annotations

from saltcourse.gossip.messages import AcceptedChange, Change, Position, Promise, ReplicaState

MAX_ACCEPTED = 64  # changes accepted and not yet known to be committed; further ones wait for that


class Acceptor:
    """The part of a voter that must survive a restart.

    Methods that change what must survive return whether they did: the caller has to persist ``state()``
    before it answers anyone.
    """

    def __init__(self, state: ReplicaState) -> None:
        self.promised = state.promised
        self.committed = state.committed
        self.configuration = state.configuration
        self._accepted = {entry.change.position.version: entry for entry in state.accepted}
        self._buffered: dict[int, Change] = {}  # proposals of ``_buffered_epoch``, by version
        self._buffered_epoch = 0

    def state(self) -> ReplicaState:
        """What is to be persisted."""
        return ReplicaState(self.promised, self.committed, self.configuration, self.accepted)

    @property
    def accepted(self) -> tuple[AcceptedChange, ...]:
        """Changes behind ``committed``, in the order of their versions."""
        return tuple(self._accepted[version] for version in sorted(self._accepted))

    @property
    def last_accepted(self) -> int:
        """The highest version that is accepted or committed."""
        return max(self._accepted, default=self.committed.version)

    def allows(self, epoch: int) -> bool:
        """Whether a publisher of this epoch may still propose here."""
        return epoch >= self.promised

    def promise(self, epoch: int) -> bool:
        """Accept nothing of an older epoch from now on."""
        if epoch <= self.promised:
            return False
        self.promised = epoch
        return True

    def promises(self, epoch: int) -> list[Promise]:
        """Answer ``Prepare(epoch)``: one for each accepted change, a bare one if there is none."""
        entries = self.accepted or (None,)
        return [Promise(epoch, self.committed, self.last_accepted, entry) for entry in entries]

    def propose(self, epoch: int, change: Change) -> bool:
        """Accept the change, and the buffered ones that follow it, unless it comes too early."""
        version = change.position.version
        if not self.allows(epoch) or change.position.epoch > epoch:
            return False
        if not 0 < version - self.committed.version <= MAX_ACCEPTED:
            return False
        if epoch != self._buffered_epoch:
            self._buffered.clear()
            self._buffered_epoch = epoch
        if version > self.acknowledged(epoch):
            self._buffered[version] = change
        return self.accept_buffered()

    def accept_buffered(self) -> bool:
        """Accept buffered proposals that now follow without a gap."""
        epoch = self._buffered_epoch
        if not self.allows(epoch):
            self._buffered.clear()
        version = self.acknowledged(epoch) + 1
        changed = False
        while version in self._buffered:
            self._accepted[version] = AcceptedChange(epoch, self._buffered.pop(version))
            version += 1
            changed = True
        if changed:
            self.promised = max(self.promised, epoch)
        return changed

    def acknowledged(self, epoch: int) -> int:
        """Return the version up to which everything is committed or accepted under this epoch."""
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
        """Take the configuration at a newer position as committed, and drop the changes up to it."""
        if position.version <= self.committed.version:
            return False
        self.committed = position
        self.configuration = configuration
        self._accepted = {v: entry for v, entry in self._accepted.items() if v > position.version}
        self._buffered = {v: change for v, change in self._buffered.items() if v > position.version}
        return True
