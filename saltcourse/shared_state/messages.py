"""Messages between the proxies of one tier: a header followed by records. ``codec`` defines their encoding.

Backends and groups are identified by their ``short_names``. Every number wraps at the modulus that ``codec``
defines for its field. Times are in units of ``CLOCK_UNIT_SECONDS`` on the sender's clock; the receiver has to
convert them to its own clock.
"""

from __future__ import annotations

from dataclasses import dataclass

CLOCK_UNIT_SECONDS = 0.01
# Key of a table entry: the short name of a backend, or the concatenated short names of a backend and a group.
EntryKey = str


@dataclass(frozen=True, slots=True)
class PairAdded:
    """The sender has connections of a group to a backend."""

    pair: EntryKey


@dataclass(frozen=True, slots=True)
class PairRemoved:
    """The sender has closed its last connection of a group to a backend."""

    pair: EntryKey


@dataclass(frozen=True, slots=True)
class Connections:
    """The sender has ``count`` connections to a backend."""

    backend: EntryKey
    count: int


@dataclass(frozen=True, slots=True)
class Reset:
    """Discards all table records that the sender sent before this one; a full snapshot follows."""


@dataclass(frozen=True, slots=True)
class Scale:
    """The sender's estimate of the capacity scale: the number of slots at a backend's full load."""

    slots: float


@dataclass(frozen=True, slots=True)
class ResendRequest:
    """Requests the table records sent after the message with sequence number ``after``."""

    after: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Requests the full table."""


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Requests renewal of the lease that the receiver grants on one of the sender's portions.

    ``quota`` defines leases and portions. ``number`` is the request's number.
    """

    number: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Renews a lease; its term is counted from when the request with this ``number`` was sent."""

    number: int


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The sender's clock when it sent the message."""

    time: int


@dataclass(frozen=True, slots=True)
class EjectionNotice:
    """The sender has ejected a backend until ``end`` on the sender's clock (see ``ejections``)."""

    backend: EntryKey
    end: int


EntryRecord = PairAdded | PairRemoved | Connections
TableRecord = EntryRecord | Reset
OtherRecord = (
    Scale | ResendRequest | SnapshotRequest | LeaseRequest | LeaseGrant | ClockReading | EjectionNotice
)
Record = TableRecord | OtherRecord
TABLE_RECORDS = (PairAdded, Connections, PairRemoved, Reset)  # members of TableRecord, most frequent first


@dataclass(frozen=True, slots=True)
class Message:
    """The contents of one datagram.

    ``incarnation`` is a random number that each process of a proxy draws at its start. ``sequence`` increases
    by one with each message. ``digest`` is the digest of the table that the sender has announced, including
    the records of this message.
    """

    incarnation: int
    sequence: int
    digest: int
    records: tuple[Record, ...]
