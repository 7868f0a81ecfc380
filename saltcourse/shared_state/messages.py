"""Messages between the proxies of one tier: a header and records. ``codec`` has their bytes.

Backends and groups go by their ``short_names``. Every number counts modulo what ``codec`` has room for.
Times are units of the sender's own clock (``CLOCK_UNIT_SECONDS``), which the receiver has to compare with
its own.
"""

from __future__ import annotations

from dataclasses import dataclass

CLOCK_UNIT_SECONDS = 0.01
# Of a table: the short name of a backend, or of a backend and a group, one behind the other.
EntryKey = str


@dataclass(frozen=True, slots=True)
class PairHeld:
    """The sender has connections of a group at a backend."""

    pair: EntryKey


@dataclass(frozen=True, slots=True)
class PairReleased:
    """The sender no longer has any connection of a group at a backend."""

    pair: EntryKey


@dataclass(frozen=True, slots=True)
class Connections:
    """The sender has ``count`` connections at a backend."""

    backend: EntryKey
    count: int


@dataclass(frozen=True, slots=True)
class Reset:
    """The sender's table is empty but for what follows: all that it sent before is no longer valid."""


@dataclass(frozen=True, slots=True)
class Scale:
    """The capacity scale that the sender has learned: a backend's whole load in slots."""

    slots: float


@dataclass(frozen=True, slots=True)
class ResendRequest:
    """Asks for what followed the message of this sequence."""

    after: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Asks for the whole table."""


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks to renew the lease of the sender's portion that the receiver grants, see ``quota``."""

    number: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The lease is renewed, counted from the sending of the request of that number."""

    number: int


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The sender's clock, as the message leaves."""

    time: int


@dataclass(frozen=True, slots=True)
class EjectionNotice:
    """The sender has ejected a backend until ``end``, see ``ejections``."""

    backend: EntryKey
    end: int


EntryRecord = PairHeld | PairReleased | Connections
TableRecord = EntryRecord | Reset
OtherRecord = (
    Scale | ResendRequest | SnapshotRequest | LeaseRequest | LeaseGrant | ClockReading | EjectionNotice
)
Record = TableRecord | OtherRecord
TABLE_RECORDS = (PairHeld, Connections, PairReleased, Reset)  # of TableRecord, the most frequent first


@dataclass(frozen=True, slots=True)
class Message:
    """The records of one datagram.

    ``incarnation`` is drawn anew at each start; ``sequence`` grows by one a message; ``digest`` is that of
    the table as the sender has announced it, this message included.
    """

    incarnation: int
    sequence: int
    digest: int
    records: tuple[Record, ...]
