"""Member records and updates, and the messages of failure detection, table sync and aggregation."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum

Address = tuple[str, int]  # IPv4 or IPv6 address and UDP port
MemberId = int  # 64 bits, hash of the member's name


def member_id(name: str) -> MemberId:
    """Return the id of the member called ``name``; all members compute the same id."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class Status(IntEnum):
    """Status of a member as seen by another one.

    Within one incarnation a higher value overrides a lower one.
    """

    ALIVE = 0
    SUSPECT = 1  # did not answer probes; declared dead unless it refutes the suspicion in time
    DEAD = 2
    LEFT = 3  # announced its departure


class Role(IntEnum):
    """Kind of process that a member is."""

    PROXY = 0
    CONTROL = 1  # may be a voter on configuration changes


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Complete record of a member.

    Only the member itself raises its ``incarnation``. ``process_id`` is drawn at random at each start and
    distinguishes processes that have the same name.
    """

    name: str
    address: Address
    region: str
    zone: str
    role: Role
    incarnation: int  # 32 bits
    process_id: int  # 32 bits
    status: Status = Status.ALIVE

    @property
    def id(self) -> MemberId:
        """The member's id, derived from its name."""
        return member_id(self.name)


@dataclass(frozen=True, slots=True)
class StatusUpdate:
    """Status of a member, without its record.

    Receivers that lack the record ignore the update and get the record by table sync.
    """

    member: MemberId
    incarnation: int
    status: Status


@dataclass(frozen=True, slots=True)
class ZoneSum:
    """Sums over the live proxies of a zone; of two sums the one with the higher ``sequence`` is newer."""

    zone: str
    sequence: int  # 32 bits
    members: int
    connections: int


Update = MemberRecord | StatusUpdate | ZoneSum


@dataclass(frozen=True, slots=True)
class Ping:
    """Probes ``target``.

    It is named in the message because another member may have taken over its address, and must not answer.
    """

    sequence: int  # 32 bits, drawn at random
    target: MemberId
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers the ``Ping`` or ``PingRequest`` with the same sequence: its target is alive."""

    sequence: int
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping ``target`` on behalf of the sender.

    The receiver answers with an ``Ack`` of the same sequence, or with a ``Nack`` if the target does not
    answer in time.
    """

    sequence: int
    target: MemberId
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class Nack:
    """Reports that the target of the ``PingRequest`` with the same sequence has not answered."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Updates without a probe.

    The position in its header also announces configuration changes.
    """

    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Requests the records of members whose id is higher than ``cursor``.

    ``digests`` has a digest of each bucket of the sender's member table, or is empty if the sender does not
    know any other member.
    """

    cursor: MemberId
    digests: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Records of the buckets that differ, ordered by member id.

    ``more``: further records follow; the next request's cursor is the last id of this reply.
    """

    records: tuple[MemberRecord, ...]
    more: bool


@dataclass(frozen=True, slots=True)
class Tally:
    """Sums over a subtree of a zone's aggregation tree, sent to the parent."""

    zone: str
    members: int
    connections: int


MembershipMessage = Ping | Ack | PingRequest | Nack | Gossip | SyncRequest | SyncReply
