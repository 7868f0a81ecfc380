"""The versioned configuration of one member: keys and values, the log of changes, and checkpoints.

Committed changes form one sequence. A change is applied completely, and only to the version directly before
it. A checkpoint of a later version replaces the complete state. Nothing else modifies the state, so it is the
same at all members that are at the same ``Position``.

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

CHECKPOINT_INTERVAL = 64  # versions; a checkpoint is made at every multiple of it
CHECKPOINTS_KEPT = 2  # only the newest are kept
MAX_LOG_CHANGES = CHECKPOINT_INTERVAL * CHECKPOINTS_KEPT  # enough to reach back to the older checkpoint
DIGEST_BYTES = 8
MAX_VERSION = 2**32 - 1  # the highest version that a position can have in a datagram


class PositionRelation(Enum):
    """The relation of a position to this member's own position."""

    AHEAD = auto()  # later in the same sequence
    KNOWN = auto()  # the same position or an earlier one in the same sequence
    STALE_EPOCH = auto()  # a higher version, but of an epoch that ended before this member's position
    CONFLICT = auto()  # in another sequence: this member has a different position at the same version


class ApplyOutcome(Enum):
    """The result of applying a change or a checkpoint. Only ``APPLIED`` modifies the state."""

    APPLIED = auto()
    DUPLICATE = auto()
    GAP = auto()  # changes before it are missing
    STALE_EPOCH = auto()
    CONFLICT = auto()
    TOO_LARGE = auto()  # the change, or the configuration that would result, exceeds its size limit
    INVALID = auto()  # the checkpoint is not the canonical form of a configuration


REJECTIONS = {
    PositionRelation.KNOWN: ApplyOutcome.DUPLICATE,
    PositionRelation.STALE_EPOCH: ApplyOutcome.STALE_EPOCH,
    PositionRelation.CONFLICT: ApplyOutcome.CONFLICT,
}


def compute_digest(data: bytes) -> int:
    """Return the digest of ``data``, 64 bits."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """A complete configuration in its canonical encoded form: the same bytes at every member."""

    position: Position
    data: bytes
    digest: int

    @classmethod
    def create(cls, position: Position, data: bytes) -> Checkpoint:
        """Create a checkpoint from an encoded configuration, and compute its digest."""
        return cls(position, data, compute_digest(data))


class FleetConfiguration(Mapping[str, bytes]):
    """The configuration at one ``position``, readable as a mapping from keys to values."""

    def __init__(self) -> None:
        self.position = Position()
        self._values: dict[str, bytes] = {}
        self._size = ConfigurationSize(())
        self._log: deque[Change] = deque(maxlen=MAX_LOG_CHANGES)
        self._log_base = Position()  # the position to which the first change of the log was applied
        self._checkpoints: deque[Checkpoint] = deque(maxlen=CHECKPOINTS_KEPT)
        self._changed_keys: set[str] = set()

    # ---- reading ------------------------------------------------------------------------------------

    def __getitem__(self, key: str) -> bytes:
        """Return the value of a key. Raise ``KeyError`` if the key has no value."""
        return self._values[key]

    def __iter__(self) -> Iterator[str]:
        """Iterate over the keys."""
        return iter(self._values)

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._values)

    @property
    def newest_checkpoint(self) -> Checkpoint | None:
        """The newest checkpoint; None if there is none yet."""
        return self._checkpoints[-1] if self._checkpoints else None

    def checkpoint_at(self, position: Position) -> Checkpoint | None:
        """Return the checkpoint at ``position``, or None if there is none or it is not kept any more."""
        for checkpoint in self._checkpoints:
            if checkpoint.position == position:
                return checkpoint
        return None

    def position_at(self, version: int) -> Position | None:
        """Return the position of ``version``; None if it is older than the log or not yet applied."""
        if version == self.position.version:
            return self.position
        if version == self._log_base.version:
            return self._log_base
        for change in self._log:
            if change.position.version == version:
                return change.position
        return None

    def compare(self, position: Position) -> PositionRelation:
        """Return the relation of ``position`` to this member's own position."""
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
        """Return whether ``position`` is later in the same sequence."""
        return self.compare(position) is PositionRelation.AHEAD

    def changes_after(self, version: int) -> list[Change] | None:
        """Return the changes after ``version``, in order; None if the log does not go back that far."""
        if version < self._log_base.version:
            return None
        return [change for change in self._log if change.position.version > version]

    def take_changed_keys(self) -> tuple[str, ...]:
        """Return the keys that were written or deleted since the last call, sorted."""
        keys = tuple(sorted(self._changed_keys))
        self._changed_keys.clear()
        return keys

    def metrics(self) -> dict[str, int]:
        """Return the metrics shown at ``/_vars``, by name."""
        return {
            "epoch": self.position.epoch,
            "version": self.position.version,
            "keys": len(self._values),
            "log_changes": len(self._log),
            "checkpoint_bytes": sum(len(checkpoint.data) for checkpoint in self._checkpoints),
        }

    # ---- writing ------------------------------------------------------------------------------------

    def outcome_of(self, change: Change) -> ApplyOutcome:
        """Return the outcome that ``apply`` would have for ``change``."""
        relation = self.compare(change.position)
        if relation is not PositionRelation.AHEAD:
            return REJECTIONS[relation]
        if change.position.version != self.position.version + 1:
            return ApplyOutcome.GAP
        return ApplyOutcome.APPLIED if self._fits(change) else ApplyOutcome.TOO_LARGE

    def apply(self, change: Change) -> ApplyOutcome:
        """Apply a committed change completely if it follows directly; the outcome tells whether it did."""
        outcome = self.outcome_of(change)
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

    def load_checkpoint(self, checkpoint: Checkpoint) -> ApplyOutcome:
        """Replace the state with a checkpoint of a later version, and restart the log after it."""
        relation = self.compare(checkpoint.position)
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
        """Restore the stored state of a voter when its process starts.

        The state becomes a checkpoint, whatever its version: the log before it is lost, and members with an
        empty configuration must be served even when all voters have just restarted. Raises
        ``EncodeError`` if the state is too large to be encoded.
        """
        if self.compare(state.committed) is not PositionRelation.AHEAD:
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
        self._checkpoints.append(Checkpoint.create(self.position, data))
