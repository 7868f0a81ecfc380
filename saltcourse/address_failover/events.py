"""Events that the election handles."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.address_failover.messages import ElectionMessage


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """An authenticated message of another member."""

    sender: str
    message: ElectionMessage


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The time of the last ``SetTimer`` has come; one that comes early or twice does no harm."""


@dataclass(frozen=True, slots=True)
class AnnouncerAvailabilityChanged:
    """Whether this member can announce the address by any of its ways."""

    available: bool


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """A planned leave: a lease is transferred, and from here on nothing is requested or granted."""


Event = MessageReceived | TimerExpired | AnnouncerAvailabilityChanged | ShutdownRequested
