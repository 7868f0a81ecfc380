"""Input events of the election."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.address_failover.messages import ElectionMessage


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """An authenticated message from another member has arrived."""

    sender: str
    message: ElectionMessage


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time of the last ``SetTimer`` has been reached. Early or duplicate events are harmless."""


@dataclass(frozen=True, slots=True)
class AnnouncerAvailabilityChanged:
    """The announcer has become able, or unable, to announce the address."""

    available: bool


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The member leaves as planned: it transfers its lease, and sends no further requests or grants."""


Event = MessageReceived | TimerExpired | AnnouncerAvailabilityChanged | ShutdownRequested
