"""Actions returned by the election, executed by the host in order. Times are seconds on the host's clock."""

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
    """Store the vote durably before executing the actions that follow."""

    vote: Vote


@dataclass(frozen=True, slots=True)
class AnnounceAddress:
    """Announce the service address with a route preference that increases with the term."""

    term: int


@dataclass(frozen=True, slots=True)
class ExtendLease:
    """The lease is valid until ``until``, unless it is extended again."""

    until: float


@dataclass(frozen=True, slots=True)
class WithdrawAddress:
    """Withdraw the announcement of the term."""

    term: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a ``TimerExpired`` event at this time. Replaces the previous timer."""

    at: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a log line. ``member`` is the other member involved, or empty."""

    event: str
    member: str = ""


Action = SendMessage | StoreVote | AnnounceAddress | ExtendLease | WithdrawAddress | SetTimer | LogEvent
