"""What proxies of one tier say to each other: a message is a header and records. ``codec`` has their bytes.

Servers and groups are named by the short names of ``names``. Every number counts modulo what ``codec`` has
room for. Times are units of the sender's own clock (``CLOCK_UNIT``), which the receiver has to compare.
"""

from __future__ import annotations

from dataclasses import dataclass

CLOCK_UNIT = 0.01  # s
EntryKey = str  # of a table: the short name of a server, or of a server and a group, one behind the other


@dataclass(frozen=True, slots=True)
class PairHeld:
    """The sender has connections of a group at a server."""

    pair: EntryKey


@dataclass(frozen=True, slots=True)
class PairReleased:
    """The sender has no longer any connection of a group at a server."""

    pair: EntryKey


@dataclass(frozen=True, slots=True)
class Connections:
    """The sender has so many connections at a server."""

    server: EntryKey
    count: int


@dataclass(frozen=True, slots=True)
class Reset:
    """The sender's table is empty but for what follows: all that it sent before is void."""


@dataclass(frozen=True, slots=True)
class Scale:
    """A server's whole load in slots, as the sender has learned it."""

    slots: float


@dataclass(frozen=True, slots=True)
class ResendRequest:
    """Send again what followed the message of this sequence."""

    after: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Send the whole table."""


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Renew the lease of the sender's portion that is leased from you, see ``quota``."""

    number: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """It is renewed, counted from the sending of the request of that number."""

    number: int


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The sender's clock, as the message leaves."""

    time: int


@dataclass(frozen=True, slots=True)
class EjectionNotice:
    """The sender has ejected a server until then, see ``ejections``."""

    server: EntryKey
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
    """``incarnation`` is drawn anew at each start; ``sequence`` grows by one a message; ``digest`` sums up
    what the sender has announced of its table, this message included."""

    incarnation: int
    sequence: int
    digest: int
    records: tuple[Record, ...]
