"""The versioned configuration of one member: keys and values, the log of changes, and checkpoints.

Committed changes are one sequence. A change is applied only on the version directly before it, whole; a
checkpoint of a later version replaces everything, whole. Nothing else changes the state, so it is the same
at all members that are at the same ``Position``.

Memory: at most ``MAX_CONFIGURATION_BYTES`` of values, ``MAX_LOG_CHANGES`` changes of ``MAX_CHANGE_BYTES``
and ``CHECKPOINTS_KEPT`` checkpoints of ``MAX_CONFIGURATION_BYTES``.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from saltcourse.gossip.codec import CodecError, decode_configuration, encode_configuration
from saltcourse.gossip.messages import Change, Position, ReplicaState
from saltcourse.gossip.sizes import ConfigurationSize, is_encodable

CHECKPOINT_INTERVAL = 64  # versions; each one divisible by it is kept encoded
CHECKPOINTS_KEPT = 2  # the newest
MAX_LOG_CHANGES = CHECKPOINT_INTERVAL * CHECKPOINTS_KEPT  # never fewer than since the older checkpoint
DIGEST_BYTES = 8
MAX_VERSION = 2**32 - 1  # of a position on the wire


class PositionRelation(Enum):
    """How a position lies to this member's own."""

    AHEAD = auto()  # later in the same sequence
    KNOWN = auto()  # this one, or an earlier one
    STALE_EPOCH = auto()  # a higher version of an epoch that ended before this member's position
    CONFLICT = auto()  # of another sequence: this member has passed the version with another position


class ApplyOutcome(Enum):
    """What came of a change or checkpoint. Nothing but ``APPLIED`` alters the state."""

    APPLIED = auto()
    DUPLICATE = auto()
    GAP = auto()  # changes before it are missing
    STALE_EPOCH = auto()
    CONFLICT = auto()
    TOO_LARGE = auto()  # the change, or the configuration with it
    INVALID = auto()  # a checkpoint that is not the canonical form of a configuration


REJECTIONS = {
    PositionRelation.KNOWN: ApplyOutcome.DUPLICATE,
    PositionRelation.STALE_EPOCH: ApplyOutcome.STALE_EPOCH,
    PositionRelation.CONFLICT: ApplyOutcome.CONFLICT,
}


def digest_of(data: bytes) -> int:
    """Return a digest of 64 bits."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """A whole configuration in its canonical encoded form: the same bytes at each member."""

    position: Position
    data: bytes
    digest: int

    @classmethod
    def of(cls, position: Position, data: bytes) -> Checkpoint:
        """Make the checkpoint of encoded bytes, with their digest."""
        return cls(position, data, digest_of(data))


class FleetConfiguration(Mapping[str, bytes]):
    """Read it as a mapping of keys to values; ``position`` says which version it is."""

    def __init__(self) -> None:
        self.position = Position()
        self._values: dict[str, bytes] = {}
        self._size = ConfigurationSize(())
        self._log: deque[Change] = deque(maxlen=MAX_LOG_CHANGES)
        self._log_base = Position()  # the position on which the first change of the log was applied
        self._checkpoints: deque[Checkpoint] = deque(maxlen=CHECKPOINTS_KEPT)
        self._changed_keys: set[str] = set()

    # ---- reading ------------------------------------------------------------------------------------

    def __getitem__(self, key: str) -> bytes:
        """Return the value of a key. KeyError when it has none."""
        return self._values[key]

    def __iter__(self) -> Iterator[str]:
        """Iterate over the keys."""
        return iter(self._values)

    def __len__(self) -> int:
        """Count the keys."""
        return len(self._values)

    @property
    def newest_checkpoint(self) -> Checkpoint | None:
        """None before the first checkpoint."""
        return self._checkpoints[-1] if self._checkpoints else None

    def checkpoint_at(self, position: Position) -> Checkpoint | None:
        """None when there is none at this position, or it is not kept any more."""
        for checkpoint in self._checkpoints:
            if checkpoint.position == position:
                return checkpoint
        return None

    def position_at(self, version: int) -> Position | None:
        """``None`` when the log does not go back to ``version``, or it is still to come."""
        if version == self.position.version:
            return self.position
        if version == self._log_base.version:
            return self._log_base
        for change in self._log:
            if change.position.version == version:
                return change.position
        return None

    def relate(self, position: Position) -> PositionRelation:
        """Compare a position with this member's own."""
        mine = self.position
        if position == mine:
            return PositionRelation.KNOWN
        if position.version > mine.version:
            return PositionRelation.AHEAD if position.epoch >= mine.epoch else PositionRelation.STALE_EPOCH
        known = self.position_at(position.version)
        if known is not None:
            return PositionRelation.KNOWN if position == known else PositionRelation.CONFLICT
        return PositionRelation.KNOWN if position.epoch <= self._log_base.epoch else PositionRelation.CONFLICT

    def is_ahead(self, position: Position) -> bool:
        """Whether the position is later in the same sequence."""
        return self.relate(position) is PositionRelation.AHEAD

    def changes_after(self, version: int) -> list[Change] | None:
        """Return the changes after a version, in order; ``None`` when the log does not go back that far."""
        if version < self._log_base.version:
            return None
        return [change for change in self._log if change.position.version > version]

    def take_changed_keys(self) -> tuple[str, ...]:
        """Keys that were written or deleted since the last call, in order."""
        keys = tuple(sorted(self._changed_keys))
        self._changed_keys.clear()
        return keys

    def metrics(self) -> dict[str, int]:
        """Metrics of ``/_vars``, by name."""
        return {
            "epoch": self.position.epoch,
            "version": self.position.version,
            "keys": len(self._values),
            "log_changes": len(self._log),
            "checkpoint_bytes": sum(len(checkpoint.data) for checkpoint in self._checkpoints),
        }

    # ---- changing -----------------------------------------------------------------------------------

    def check(self, change: Change) -> ApplyOutcome:
        """What ``apply`` would do with it."""
        relation = self.relate(change.position)
        if relation is not PositionRelation.AHEAD:
            return REJECTIONS[relation]
        if change.position.version != self.position.version + 1:
            return ApplyOutcome.GAP
        return ApplyOutcome.APPLIED if self._fits(change) else ApplyOutcome.TOO_LARGE

    def apply(self, change: Change) -> ApplyOutcome:
        """Apply a committed change whole, if it follows directly; the outcome says why not."""
        outcome = self.check(change)
        if outcome is not ApplyOutcome.APPLIED:
            return outcome
        for key, value in change.writes:
            self._write(key, value)
        self._size.apply(change.writes)
        if len(self._log) == MAX_LOG_CHANGES:
            self._log_base = self._log[0].position
        self._log.append(change)
        self.position = change.position
        if self.position.version % CHECKPOINT_INTERVAL == 0:
            self._keep_checkpoint()
        return outcome

    def load(self, checkpoint: Checkpoint) -> ApplyOutcome:
        """Replace everything by a checkpoint of a later version. The log begins anew behind it."""
        relation = self.relate(checkpoint.position)
        if relation is not PositionRelation.AHEAD:
            return REJECTIONS[relation]
        try:
            values = decode_configuration(checkpoint.data)
        except CodecError:
            return ApplyOutcome.INVALID
        self._replace(checkpoint.position, values)
        self._checkpoints.append(checkpoint)
        return ApplyOutcome.APPLIED

    def restore(self, state: ReplicaState) -> None:
        """Take over a control member's stored state at its start.

        Its position becomes a checkpoint, whatever its version: the log before it is lost, and members with
        an empty configuration must be served also when all control members have just restarted.
        ``EncodeError`` when the state is too large to be encoded.
        """
        if self.relate(state.committed) is not PositionRelation.AHEAD:
            return
        self._replace(state.committed, dict(state.configuration))
        self._keep_checkpoint()

    def _fits(self, change: Change) -> bool:
        if change.position.version > MAX_VERSION or not is_encodable(change.writes):
            return False
        return self._size.fits(change.writes)

    def _write(self, key: str, value: bytes | None) -> None:
        if value is None:
            self._values.pop(key, None)
        else:
            self._values[key] = value
        self._changed_keys.add(key)

    def _replace(self, position: Position, values: dict[str, bytes]) -> None:
        for key in self._values.keys() | values.keys():
            if self._values.get(key) != values.get(key):
                self._changed_keys.add(key)
        self._values = values
        self._size = ConfigurationSize(values.items())
        self._log.clear()
        self._log_base = position
        self._checkpoints.clear()
        self.position = position

    def _keep_checkpoint(self) -> None:
        data = encode_configuration(self._values.items())
        self._checkpoints.append(Checkpoint.of(self.position, data))
