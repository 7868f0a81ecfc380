"""Configuration changes, and the messages that distribute them to all members."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Identifies a configuration by the epoch of its last change's publisher and its number of changes.

    Committed changes form one sequence, in which ``version`` has no gaps and ``epoch`` never decreases.
    """

    epoch: int = 0  # 32 bits
    version: int = 0  # 32 bits


@dataclass(frozen=True, slots=True, order=True)
class Heartbeat:
    """Counter that a publisher advances only while a majority of the voters renews its lease."""

    epoch: int = 0  # 32 bits
    count: int = 0  # 32 bits


Write = tuple[str, bytes | None]  # key and new value; None deletes the key


@dataclass(frozen=True, slots=True)
class Change:
    """Writes that are applied together to the configuration of version ``position.version - 1``."""

    position: Position
    writes: tuple[Write, ...]


class Freshness(IntEnum):
    """How up to date a member's configuration is."""

    CURRENT = 0
    BEHIND = 1  # a newer version is known and is being fetched
    STALE = 2  # no new publisher heartbeat within ``stale_after``: changes may have been missed


@dataclass(frozen=True, slots=True)
class Fetch:
    """Requests the changes after position ``after``.

    A receiver whose log does not reach back that far answers with a snapshot.
    """

    after: Position


@dataclass(frozen=True, slots=True)
class Changes:
    """Consecutive changes, as many as fit in one datagram."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class SnapshotFetch:
    """Requests the part at ``offset`` (bytes) of the snapshot at ``position``.

    ``Position()`` stands for the receiver's newest snapshot.
    """

    position: Position
    offset: int


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Part of the snapshot at ``position``.

    All members encode the snapshot at one position to the same bytes, so parts from several members can be
    combined.
    """

    position: Position
    size: int  # bytes of the complete snapshot
    digest: int  # 64 bits, over the complete snapshot
    offset: int  # of ``data`` in the snapshot, bytes
    data: bytes


ConfigurationMessage = Fetch | Changes | SnapshotFetch | SnapshotPart
