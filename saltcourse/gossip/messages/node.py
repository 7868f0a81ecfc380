"""Events that a ``Node`` handles, and actions that it returns to its host."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from saltcourse.gossip.messages.configuration import Freshness, Position, Write
from saltcourse.gossip.messages.membership import Address, Status
from saltcourse.gossip.messages.quorum import ReplicaState

# ---- events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Received:
    """A datagram, not yet authenticated."""

    source: Address
    datagram: bytes


@dataclass(frozen=True, slots=True)
class Tick:
    """The node's deadline has passed."""


@dataclass(frozen=True, slots=True)
class ConnectionCount:
    """The number of client connections of this proxy now."""

    connections: int


@dataclass(frozen=True, slots=True)
class Publish:
    """An operator's change at a control member. ``token`` returns with the result."""

    token: int
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """The process is about to end."""


Event = Received | Tick | ConnectionCount | Publish | Leave

# ---- actions ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Persist:
    """Must be on the disk before any later action of the same list is carried out."""

    state: ReplicaState


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send these bytes."""

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
    """The change of ``Publish`` with this token is committed."""

    token: int
    position: Position


@dataclass(frozen=True, slots=True)
class PublishFailed:
    """The change of ``Publish`` with this token was rejected, or is not known to be committed."""

    token: int
    error: PublishError


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member is new, or has another status now."""

    name: str
    zone: str
    status: Status


@dataclass(frozen=True, slots=True)
class FreshnessChanged:
    """This member is more or less behind than before."""

    freshness: Freshness


@dataclass(frozen=True, slots=True)
class ZoneReachability:
    """No member of the zone answers any more, or one does again."""

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
