"""The acceptor of Multi-Paxos: the promise and the accepted changes of one voter. It does no I/O.

Each version is one Paxos instance. A change is accepted only directly after the committed changes, or
directly after a change that was accepted under the same epoch. Therefore:

- the accepted changes are a run of consecutive versions that starts directly after ``committed``;
- if a majority has accepted version v under an epoch, it has accepted or committed all versions before v as
  well. So changes are committed in order, and an acknowledgement of v also acknowledges all versions before
  v.

A proposal that arrives ahead of an earlier one is buffered in memory until the earlier one arrives. The
effect is the same as if the network had delayed it.
"""

from __future__ import annotations

from saltcourse.gossip.messages import AcceptedChange, Change, Position, Promise, ReplicaState

MAX_ACCEPTED = 64  # versions after ``committed``; proposals beyond them are ignored until more is committed


class Acceptor:
    """The state of a voter that must survive a restart.

    Methods that change this state return whether they did. If so, the caller has to persist ``state()``
    before it sends any answer.
    """

    def __init__(self, state: ReplicaState) -> None:
        self.promised = state.promised
        self.committed = state.committed
        self.configuration = state.configuration
        self._accepted = {entry.change.position.version: entry for entry in state.accepted}
        self._buffered: dict[int, Change] = {}  # proposals of ``_buffered_epoch``, by version
        self._buffered_epoch = 0

    def state(self) -> ReplicaState:
        """Return the state to be persisted."""
        return ReplicaState(self.promised, self.committed, self.configuration, self.accepted)

    @property
    def accepted(self) -> tuple[AcceptedChange, ...]:
        """The accepted changes after ``committed``, in the order of their versions."""
        return tuple(self._accepted[version] for version in sorted(self._accepted))

    @property
    def last_accepted(self) -> int:
        """The highest version that is accepted or committed."""
        return max(self._accepted, default=self.committed.version)

    def allows(self, epoch: int) -> bool:
        """Return whether a publisher may still propose under ``epoch``."""
        return epoch >= self.promised

    def promise(self, epoch: int) -> bool:
        """Promise to accept nothing from epochs older than ``epoch``."""
        if epoch <= self.promised:
            return False
        self.promised = epoch
        return True

    def promise_messages(self, epoch: int) -> list[Promise]:
        """Return the answer to ``Prepare(epoch)``: one message per accepted change, or one without any."""
        entries = self.accepted or (None,)
        return [Promise(epoch, self.committed, self.last_accepted, entry) for entry in entries]

    def accept(self, epoch: int, change: Change) -> bool:
        """Accept the change and the buffered changes that follow it; buffer it if others are missing."""
        version = change.position.version
        if not self.allows(epoch) or change.position.epoch > epoch:
            return False
        if not 0 < version - self.committed.version <= MAX_ACCEPTED:
            return False
        if epoch != self._buffered_epoch:
            self._buffered.clear()
            self._buffered_epoch = epoch
        if version > self.accepted_version(epoch):
            self._buffered[version] = change
        return self.accept_buffered()

    def accept_buffered(self) -> bool:
        """Accept the buffered proposals that now follow without a gap."""
        epoch = self._buffered_epoch
        if not self.allows(epoch):
            self._buffered.clear()
        version = self.accepted_version(epoch) + 1
        changed = False
        while version in self._buffered:
            self._accepted[version] = AcceptedChange(epoch, self._buffered.pop(version))
            version += 1
            changed = True
        if changed:
            self.promised = max(self.promised, epoch)
        return changed

    def accepted_version(self, epoch: int) -> int:
        """Return the version up to which everything is committed or was accepted under ``epoch``."""
        version = self.committed.version
        while version + 1 in self._accepted and self._accepted[version + 1].epoch == epoch:
            version += 1
        return version

    def accepted_position(self, epoch: int) -> Position | None:
        """Return the position of the last change accepted under ``epoch``, or None if there is none."""
        version = self.accepted_version(epoch)
        if version == self.committed.version:
            return None
        return self._accepted[version].change.position

    def learn(self, position: Position, configuration: tuple[tuple[str, bytes], ...]) -> bool:
        """Record that ``configuration`` is committed at ``position``, and drop accepted changes up to it."""
        if position.version <= self.committed.version:
            return False
        self.committed = position
        self.configuration = configuration
        self._accepted = {v: entry for v, entry in self._accepted.items() if v > position.version}
        self._buffered = {v: change for v, change in self._buffered.items() if v > position.version}
        return True
