"""What members of a fleet send each other, and what a ``Node`` takes and gives: plain records, no I/O.

Every datagram is a ``Header`` and one ``Message``; ``codec`` has its bytes. All times are seconds of the
member's own monotonic clock and never leave it: nothing on the wire is a time.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum

Address = tuple[str, int]  # an IPv4 or IPv6 address, and a UDP port
MemberId = int  # 64 bits of a hash of the member's name

MAX_DATAGRAM_BYTES = 1_200  # fits an IPv6 path of 1,280 bytes with its headers
PACKET_OVERHEAD_BYTES = 28  # IPv4 and UDP headers, counted towards the byte budget
MAX_NAME_BYTES = 64  # of a member
MAX_LABEL_BYTES = 16  # of a zone or region
MAX_MEMBERS = 4_096  # records kept, departed ones included; the oldest departed ones give way
MAX_KEY_BYTES = 128  # of one configuration key
MAX_CHANGE_BYTES = 1_000  # of one change encoded: it fits one datagram, so it is never taken by halves
MAX_CONFIGURATION_BYTES = 262_144  # of the whole configuration encoded
SYNC_BUCKETS = 32  # of the membership digest: member id modulo this


def member_id(name: str) -> MemberId:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class Status(IntEnum):
    """What is believed of a member. At one incarnation the higher value overrides the lower."""

    ALIVE = 0
    SUSPECT = 1  # did not answer; dead unless it objects in time
    DEAD = 2
    LEFT = 3  # said that it ends


class Role(IntEnum):
    PROXY = 0
    CONTROL = 1  # holds a vote on configuration changes


# ---- membership -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A member in full. ``incarnation`` is raised only by the member itself; ``process`` is drawn at each
    start, so that two processes of one name are told apart."""

    name: str
    address: Address
    region: str
    zone: str
    role: Role
    incarnation: int  # 32 bits
    process: int  # 32 bits
    status: Status = Status.ALIVE

    @property
    def id(self) -> MemberId:
        return member_id(self.name)


@dataclass(frozen=True, slots=True)
class StatusUpdate:
    """The status of a member whose full record the receiver has; others pass over it and sync later."""

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
    """``target`` is who is meant: a process that has its address by now must not answer for it."""

    sequence: int  # 32 bits, drawn at random
    target: MemberId
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    sequence: int
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ping ``target`` for me, and pass its Ack on with my sequence; a Nack when it gives none in time."""

    sequence: int
    target: MemberId
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class Nack:
    sequence: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Updates alone. The header's position makes it an announcement of a configuration change as well."""

    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Digests of the sender's member table by bucket; empty: it knows nobody. ``cursor``: records of members
    with a higher id are wanted."""

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


# ---- configuration ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Of a configuration: the epoch of the publisher that made its last change, and the number of changes.
    Committed changes form one sequence: ``version`` has no gaps and ``epoch`` never falls along it."""

    epoch: int = 0  # 32 bits
    version: int = 0  # 32 bits


@dataclass(frozen=True, slots=True, order=True)
class Heartbeat:
    """The current publisher's sign that a majority of the control members follows it."""

    epoch: int = 0  # 32 bits
    count: int = 0  # 32 bits


Write = tuple[str, bytes | None]  # a key and its new value; None: the key is deleted


@dataclass(frozen=True, slots=True)
class Change:
    """Applied whole, on top of the configuration of version ``position.version - 1``."""

    position: Position
    writes: tuple[Write, ...]


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
    """All members make the same bytes of the snapshot at one position, so parts may come from any of them.
    ``digest`` is of the whole."""

    position: Position
    size: int
    digest: int  # 64 bits
    offset: int
    data: bytes


# ---- agreement of the control members on changes ----------------------------------------------------


@dataclass(frozen=True, slots=True)
class Prepare:
    """The sender wants to publish under ``epoch``."""

    epoch: int


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that a voter has accepted, and the publisher's epoch under which it did: not always
    ``change.position.epoch``."""

    epoch: int
    change: Change


@dataclass(frozen=True, slots=True)
class Promise:
    """The sender takes nothing of an older epoch any more. ``committed`` is what it has applied,
    ``last_accepted`` the version up to which it has accepted changes (``committed.version``: none behind it).
    It sends one Promise for each of those changes: what it holds is known when all of them have come."""

    epoch: int
    committed: Position
    last_accepted: int
    accepted: AcceptedChange | None = None


@dataclass(frozen=True, slots=True)
class Propose:
    """``epoch`` is the publisher's. The change keeps the position that its first publisher gave it, also
    where a later one proposes it again: a change that was committed before is then the same one."""

    epoch: int
    change: Change


@dataclass(frozen=True, slots=True)
class Accepted:
    """The sender has the change at ``position``, and all behind its committed ones up to it, on its disk."""

    epoch: int
    position: Position


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """The publisher asks whether it is still followed; a majority of grants lets it send a heartbeat."""

    epoch: int
    count: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    epoch: int
    count: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The sender has promised ``epoch``, newer than what it was asked for."""

    epoch: int


MembershipMessage = Ping | Ack | PingRequest | Nack | Gossip | SyncRequest | SyncReply
ConfigurationMessage = Fetch | Changes | SnapshotFetch | SnapshotPart
QuorumMessage = Prepare | Promise | Propose | Accepted | LeaseRequest | LeaseGrant | Refused
Message = MembershipMessage | Tally | ConfigurationMessage | QuorumMessage


@dataclass(frozen=True, slots=True)
class Header:
    """On every datagram."""

    sender: MemberId
    incarnation: int
    process: int
    position: Position = Position()
    heartbeat: Heartbeat = Heartbeat()


# ---- between the parts of a node --------------------------------------------------------------------


class Priority(IntEnum):
    """What is sent first when the byte budget is short. Lower values first."""

    PROBE = 0  # failure detection and agreement: sent also beyond the budget, bounded by their own pace
    CONFIGURATION = 1
    MEMBERSHIP = 2
    BULK = 3  # snapshots and whole member tables


@dataclass(frozen=True, slots=True)
class Send:
    """What a part of a node wants sent; the node adds the header and minds the budget."""

    destination: Address
    message: Message
    priority: Priority = Priority.PROBE


# ---- a node's events and actions --------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Received:
    source: Address
    datagram: bytes


@dataclass(frozen=True, slots=True)
class Tick:
    pass


@dataclass(frozen=True, slots=True)
class ConnectionCount:
    """How many client connections this proxy holds now."""

    connections: int


@dataclass(frozen=True, slots=True)
class Publish:
    """An operator's wish at a control member. ``token`` returns with the result."""

    token: int
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """The process is about to end."""


Event = Received | Tick | ConnectionCount | Publish | Leave


@dataclass(frozen=True, slots=True)
class Persist:
    """Must be on the disk before any later action of the same list is carried out."""

    state: ReplicaState


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What a control member must not forget over a restart."""

    promised: int = 0  # the newest epoch that it has promised or published under
    committed: Position = Position()
    configuration: tuple[tuple[str, bytes], ...] = ()  # at ``committed``, in the order of the keys
    accepted: tuple[AcceptedChange, ...] = ()  # consecutive versions right behind ``committed``


@dataclass(frozen=True, slots=True)
class Transmit:
    destination: Address
    datagram: bytes


@dataclass(frozen=True, slots=True)
class Applied:
    """The configuration in force at this member is now the one at ``position``; it only ever goes forward."""

    position: Position
    changed: tuple[str, ...]  # keys written or deleted since the last one


class PublishError(IntEnum):
    """Why a change was not published, or is not known to be."""

    NOT_CONTROL = 1
    NO_MAJORITY = 2  # not committed in time; it may still be, or never
    TOO_LARGE = 3
    BUSY = 4  # too many are under way


@dataclass(frozen=True, slots=True)
class Published:
    token: int
    position: Position


@dataclass(frozen=True, slots=True)
class PublishFailed:
    token: int
    error: PublishError


@dataclass(frozen=True, slots=True)
class MemberChanged:
    name: str
    zone: str
    status: Status


class Freshness(IntEnum):
    """Whether this member may be behind."""

    CURRENT = 0
    BEHIND = 1  # a newer version is known and on its way
    STALE = 2  # no heartbeat of a publisher for a while: there may be news that did not come


@dataclass(frozen=True, slots=True)
class FreshnessChanged:
    freshness: Freshness


@dataclass(frozen=True, slots=True)
class ZoneReachability:
    """No member of the zone is heard any more, or one is heard again."""

    zone: str
    reachable: bool


Action = (
    Persist
    | Transmit
    | Applied
    | Published
    | PublishFailed
    | MemberChanged
    | FreshnessChanged
    | ZoneReachability
)
