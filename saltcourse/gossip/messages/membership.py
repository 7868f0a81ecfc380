"""Members, what is claimed of them, and the messages of failure detection, table sync and aggregation."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum

Address = tuple[str, int]  # an IPv4 or IPv6 address, and a UDP port
MemberId = int  # 64 bits of a hash of the member's name


def member_id(name: str) -> MemberId:
    """Return the id of the member of this name, the same at all members."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class Status(IntEnum):
    """What is believed of a member. At one incarnation the higher value overrides the lower."""

    ALIVE = 0
    SUSPECT = 1  # did not answer; dead unless it refutes that in time
    DEAD = 2
    LEFT = 3  # announced that it ends


class Role(IntEnum):
    """What kind of process a member is."""

    PROXY = 0
    CONTROL = 1  # may be a voter on configuration changes


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A member in full.

    ``incarnation`` is raised only by the member itself; ``process_id`` is drawn at each start, so that two
    processes of one name are distinguished.
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
        """The id that belongs to the name."""
        return member_id(self.name)


@dataclass(frozen=True, slots=True)
class StatusUpdate:
    """The status of a member whose full record the receiver has; others ignore it and sync later."""

    member: MemberId
    incarnation: int
    status: Status


@dataclass(frozen=True, slots=True)
class ZoneSum:
    """Connections of one zone's live proxies. The highest ``sequence`` of a zone is the newest."""

    zone: str
    sequence: int  # 32 bits
    members: int
    connections: int


Update = MemberRecord | StatusUpdate | ZoneSum


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe ``target``: another process that has its address by now must not answer for it."""

    sequence: int  # 32 bits, drawn at random
    target: MemberId
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer to the Ping or PingRequest of this sequence: its target is alive."""

    sequence: int
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ping ``target`` for the sender, and relay its Ack with this sequence; a Nack if none comes in time."""

    sequence: int
    target: MemberId
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class Nack:
    """The target of the PingRequest of this sequence has not answered."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Updates alone. The header's position makes it an announcement of a configuration change as well."""

    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Digests of the sender's member table by bucket; empty: it knows nobody.

    ``cursor``: records of members with a higher id are wanted.
    """

    cursor: MemberId
    digests: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Full records in the order of their ids, of buckets that differ. ``more``: ask again behind the last."""

    records: tuple[MemberRecord, ...]
    more: bool


@dataclass(frozen=True, slots=True)
class Tally:
    """A subtree's sum, sent to the parent in the zone's aggregation tree."""

    zone: str
    members: int
    connections: int


MembershipMessage = Ping | Ack | PingRequest | Nack | Gossip | SyncRequest | SyncReply
