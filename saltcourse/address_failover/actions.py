"""Actions of the election, to be carried out in their order. Times are seconds on the host's clock."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.address_failover.messages import ElectionMessage
from saltcourse.address_failover.vote import Vote


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to one member."""

    receiver: str
    message: ElectionMessage


@dataclass(frozen=True, slots=True)
class StoreVote:
    """Store the vote durably before anything that follows is carried out."""

    vote: Vote


@dataclass(frozen=True, slots=True)
class AnnounceAddress:
    """Announce the service address, with a rank that grows with the term."""

    term: int


@dataclass(frozen=True, slots=True)
class ExtendLease:
    """The lease is good until this time at most."""

    until: float


@dataclass(frozen=True, slots=True)
class WithdrawAddress:
    """Withdraw what was announced for the term."""

    term: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Give a ``TimerExpired`` at this time; it replaces the timer before it."""

    at: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a log line; ``member`` is the other member that it is about, empty for none."""

    event: str
    member: str = ""


Action = SendMessage | StoreVote | AnnounceAddress | ExtendLease | WithdrawAddress | SetTimer | LogEvent
