"""Configuration changes, and the messages that bring them to every member."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Of a configuration: the epoch of the publisher of its last change, and the number of changes.

    Committed changes form one sequence: ``version`` has no gaps and ``epoch`` never falls along it.
    """

    epoch: int = 0  # 32 bits
    version: int = 0  # 32 bits


@dataclass(frozen=True, slots=True, order=True)
class Heartbeat:
    """Proof of the current publisher that a majority of the voters follows it."""

    epoch: int = 0  # 32 bits
    count: int = 0  # 32 bits


Write = tuple[str, bytes | None]  # a key and its new value; None: the key is deleted


@dataclass(frozen=True, slots=True)
class Change:
    """Applied whole, on top of the configuration of version ``position.version - 1``."""

    position: Position
    writes: tuple[Write, ...]


class Freshness(IntEnum):
    """Whether this member may be behind."""

    CURRENT = 0
    BEHIND = 1  # a newer version is known and on its way
    STALE = 2  # no new heartbeat of a publisher for a while: there may be changes that did not arrive


@dataclass(frozen=True, slots=True)
class Fetch:
    """Changes behind ``after`` are wanted; or, if the receiver has no log that far back, a snapshot."""

    after: Position


@dataclass(frozen=True, slots=True)
class Changes:
    """Consecutive changes, as many as fit."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class SnapshotFetch:
    """One part of the snapshot at ``position`` is wanted; Position(): of the newest that the receiver has."""

    position: Position
    offset: int


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Bytes of the snapshot at ``position``. ``digest`` is of the whole.

    All members make the same bytes of the snapshot at one position, so parts may come from any of them.
    """

    position: Position
    size: int
    digest: int  # 64 bits
    offset: int
    data: bytes


ConfigurationMessage = Fetch | Changes | SnapshotFetch | SnapshotPart
