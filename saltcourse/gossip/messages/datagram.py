"""Contents of a datagram, which are a ``Header`` and one ``Message``, and requests to send messages."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from saltcourse.gossip.messages.configuration import ConfigurationMessage, Heartbeat, Position
from saltcourse.gossip.messages.membership import Address, MemberId, MembershipMessage, Tally
from saltcourse.gossip.messages.quorum import QuorumMessage

Message = MembershipMessage | Tally | ConfigurationMessage | QuorumMessage


@dataclass(frozen=True, slots=True)
class Header:
    """The sender of a datagram, and the newest position and heartbeat that the sender knows."""

    sender: MemberId
    incarnation: int
    process_id: int
    position: Position = Position()
    heartbeat: Heartbeat = Heartbeat()


class Priority(IntEnum):
    """Order in which messages are sent when the byte budget is limited; lower values are sent first."""

    PROBE = 0  # failure detection and consensus: not limited by the budget, since their rate is bounded
    CONFIGURATION = 1
    MEMBERSHIP = 2
    BULK = 3  # snapshots and member tables


@dataclass(frozen=True, slots=True)
class Send:
    """Request of one of a node's protocols to send a message.

    The node adds the header and enforces the byte budget.
    """

    destination: Address
    message: Message
    priority: Priority = Priority.PROBE
