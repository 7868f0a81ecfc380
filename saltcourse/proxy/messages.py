"""The messages that the proxy's actors send each other, in addition to the balancer's events and actions.

ClientConnection ── DispatcherMessage ──► Dispatcher
ClientConnection ◄─ ConnectionMessage ─── Dispatcher, BackendAttempt, its own reader and timers
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from saltcourse.balancing.actions import FailRequest, MigrateConnection, RejectRequest
from saltcourse.balancing.events import (
    AttemptStatus,
    ConnectionResumed,
    EndpointUpdateKind,
    Event,
    RequestReceived,
)
from saltcourse.codec.endpoint_list import Address, EndpointUpdate

# ---- to a client connection -------------------------------------------------------------------------


class Attempt(Protocol):
    """One attempt of a request at a backend, as referenced by the attempt's messages.

    Attempts are compared by identity, because all attempts to resume a connection have the same number.
    """

    number: int  # within the request, from 0
    backend: str


@dataclass(slots=True)
class BeginAttempt:
    """Orders a client connection to begin an attempt.

    ``timeout`` is in seconds; 0 means all the remaining time of the request. ``address`` is the backend's
    address in the endpoint list, or None if the list has none.
    """

    request: str
    backend: str
    attempt: int
    timeout: float
    address: Address | None


class AbandonReason(Enum):
    """The reason for failing a request without a decision of the balancer; the value is logged."""

    DEADLINE_EXCEEDED = "deadline exceeded"
    DATA_BEFORE_ANSWER = "client sent data before its answer"
    SHUTDOWN = "proxy is shutting down"


@dataclass(slots=True)
class AbandonRequest:
    """Orders a client connection to fail its request without a decision of the balancer."""

    reason: AbandonReason


@dataclass(slots=True)
class ClientClosed:
    """The client closed its side (``reset`` False) or reset the connection (True)."""

    reset: bool


@dataclass(slots=True)
class AttemptEstablished:
    """The backend accepted the connection; ``line`` is its UP line, to be relayed to the client."""

    attempt: Attempt
    line: bytes


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; after UP, ``status`` tells how the established connection ended."""

    attempt: Attempt
    status: AttemptStatus
    reset: bool


ConnectionMessage = (
    BeginAttempt
    | AbandonRequest
    | ClientClosed
    | AttemptEstablished
    | AttemptEnded
    | RejectRequest
    | FailRequest
    | MigrateConnection
)


class RequestOwner(Protocol):
    """The interface of a request's owner that the dispatcher uses, independent of the client protocol."""

    def send(self, message: ConnectionMessage) -> None:
        """Put a message into the owner's mailbox."""


# ---- to the dispatcher ------------------------------------------------------------------------------


@dataclass(slots=True)
class NewRequest:
    """A client has sent a request; ``owner`` receives the messages about it."""

    owner: RequestOwner
    event: RequestReceived


@dataclass(slots=True)
class ResumedConnection:
    """A connection that was established before this process started has been re-established."""

    owner: RequestOwner
    event: ConnectionResumed


@dataclass(slots=True)
class RequestFinished:
    """A request has ended; the dispatcher must not send its owner further messages."""

    owner: RequestOwner
    request: str


@dataclass(slots=True)
class EndpointsReceived:
    """Discovery sent an endpoint list update, or a call to it failed (``update`` is None)."""

    kind: EndpointUpdateKind
    update: EndpointUpdate | None = None


@dataclass(slots=True)
class LineSent:
    """A client's line was sent to its backend, which is expected to answer immediately.

    ``time`` is on the clock (s).
    """

    request: str
    time: float


@dataclass(slots=True)
class LineReceived:
    """A line other than LOAD was received from the backend; ``time`` is on the clock (s)."""

    request: str
    time: float


@dataclass(slots=True)
class StartDraining:
    """Orders the migration of all established connections, and of those established before ``StopDraining``.

    The migrations are spread evenly between ``begin_loop_time`` and ``end_loop_time`` (s, event loop time);
    0 and 0 migrate all connections immediately.
    """

    begin_loop_time: float = 0.0
    end_loop_time: float = 0.0


@dataclass(slots=True)
class StopDraining:
    """Ends a drain: the proxy returns to service, and established connections stay."""


DispatcherMessage = (
    NewRequest
    | ResumedConnection
    | RequestFinished
    | EndpointsReceived
    | LineSent
    | LineReceived
    | StartDraining
    | StopDraining
    | Event
)
