"""A datagram is a ``Header`` and one ``Message``; a ``Send`` is a part's request to transmit one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from saltcourse.gossip.messages.configuration import ConfigurationMessage, Heartbeat, Position
from saltcourse.gossip.messages.membership import Address, MemberId, MembershipMessage, Tally
from saltcourse.gossip.messages.quorum import QuorumMessage

Message = MembershipMessage | Tally | ConfigurationMessage | QuorumMessage


@dataclass(frozen=True, slots=True)
class Header:
    """On every datagram: its sender, and the newest position and heartbeat that the sender knows."""

    sender: MemberId
    incarnation: int
    process_id: int
    position: Position = Position()
    heartbeat: Heartbeat = Heartbeat()


class Priority(IntEnum):
    """What is sent first when the byte budget is short. Lower values first."""

    PROBE = 0  # failure detection and agreement: sent also beyond the budget, bounded by their own pace
    CONFIGURATION = 1
    MEMBERSHIP = 2
    BULK = 3  # snapshots and whole member tables


@dataclass(frozen=True, slots=True)
class Send:
    """A message that a part of a node wants sent; the node adds the header and observes the budget."""

    destination: Address
    message: Message
    priority: Priority = Priority.PROBE
