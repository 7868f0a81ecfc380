"""Events that a ``Node`` handles, and actions that it returns to be executed by its host."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from saltcourse.gossip.messages.configuration import Freshness, Position, Write
from saltcourse.gossip.messages.membership import Address, Status
from saltcourse.gossip.messages.quorum import ReplicaState

# ---- events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Received:
    """A datagram was received; it is not authenticated yet."""

    source: Address
    datagram: bytes


@dataclass(frozen=True, slots=True)
class Tick:
    """The node's deadline has passed."""


@dataclass(frozen=True, slots=True)
class ConnectionCount:
    """The number of this proxy's client connections has changed."""

    connections: int


@dataclass(frozen=True, slots=True)
class Publish:
    """An operator publishes a change.

    The result, ``Published`` or ``PublishFailed``, has the same ``token``.
    """

    token: int
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """The process is about to exit; the member leaves the fleet."""


Event = Received | Tick | ConnectionCount | Publish | Leave

# ---- actions ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Persist:
    """Store ``state`` durably before executing any later action of the same list."""

    state: ReplicaState


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send ``datagram`` to ``destination``."""

    destination: Address
    datagram: bytes


@dataclass(frozen=True, slots=True)
class Applied:
    """The configuration at ``position`` was applied at this member; positions only ever increase."""

    position: Position
    changed: tuple[str, ...]  # keys written or deleted since the previous ``Applied``


class PublishError(IntEnum):
    """Reasons why a change was not published, or is not known to be published."""

    NOT_CONTROL = 1
    NO_MAJORITY = 2  # not committed in time; it may still be committed later
    TOO_LARGE = 3
    BUSY = 4  # too many changes are in progress


@dataclass(frozen=True, slots=True)
class Published:
    """The change of the ``Publish`` event with this token is committed."""

    token: int
    position: Position


@dataclass(frozen=True, slots=True)
class PublishFailed:
    """The change of the ``Publish`` event with this token was rejected, or its result is not known."""

    token: int
    error: PublishError


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member was added, or its status has changed."""

    name: str
    zone: str
    status: Status


@dataclass(frozen=True, slots=True)
class FreshnessChanged:
    """The freshness of this member's configuration has changed."""

    freshness: Freshness


@dataclass(frozen=True, slots=True)
class ZoneReachability:
    """All members of a zone have stopped answering, or one of them answers again."""

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
