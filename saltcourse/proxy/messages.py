"""Messages between the actors, beside the balancer's own events and actions.

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
    """One attempt of a request at a backend, as its messages name it.

    Attempts are told apart by identity: all attempts to resume a connection from before this program's start
    have the same number.
    """

    number: int  # within the request, from 0
    backend: str


@dataclass(slots=True)
class BeginAttempt:
    """Begin an attempt.

    ``timeout``: s, 0 for all the time that the request has. ``address``: that of the backend in the endpoint
    list, None where it has none.
    """

    request: str
    backend: str
    attempt: int
    timeout: float
    address: Address | None


class AbandonReason(Enum):
    """Why a request is failed without the balancer."""

    OVERDUE = "no answer in time"
    CLIENT_DID_NOT_WAIT = "the client did not wait for its answer"
    PROGRAM_ENDS = "the program ends"


@dataclass(slots=True)
class AbandonRequest:
    """Fail the request without the balancer."""

    reason: AbandonReason


@dataclass(slots=True)
class ClientClosed:
    """The client has ended its side, or reset the connection."""

    reset: bool


@dataclass(slots=True)
class AttemptEstablished:
    """The backend took the connection; ``line`` is its UP line, for the client."""

    attempt: Attempt
    line: bytes


@dataclass(slots=True)
class AttemptEnded:
    """The attempt is over: before UP with any status, after it with how the connection ended."""

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
    """What the dispatcher needs of whoever brings a request, whatever protocol that has."""

    def send(self, message: ConnectionMessage) -> None:
        """Put a message into its mailbox."""


# ---- to the dispatcher ------------------------------------------------------------------------------


@dataclass(slots=True)
class NewRequest:
    """A client has sent a request; ``owner`` takes its answers."""

    owner: RequestOwner
    event: RequestReceived


@dataclass(slots=True)
class ResumedConnection:
    """A connection from before this program's start is established again."""

    owner: RequestOwner
    event: ConnectionResumed


@dataclass(slots=True)
class RequestFinished:
    """The owner of a request is done; nothing is to be sent to it any more."""

    owner: RequestOwner
    request: str


@dataclass(slots=True)
class EndpointsReceived:
    """Discovery answered (``update``), or a call failed (None)."""

    kind: EndpointUpdateKind
    update: EndpointUpdate | None = None


@dataclass(slots=True)
class LineSent:
    """A client's line went to its backend, which is expected to answer at once."""

    request: str
    time: float


@dataclass(slots=True)
class LineReceived:
    """A line, other than LOAD, came from the backend."""

    request: str
    time: float


@dataclass(slots=True)
class StartDraining:
    """Migrate all connections that are established, or will be, until ``StopDraining``.

    They are spread between ``begin_loop_time`` and ``end_loop_time`` (s, the loop's time); 0 and 0 is at
    once.
    """

    begin_loop_time: float = 0.0
    end_loop_time: float = 0.0


@dataclass(slots=True)
class StopDraining:
    """The operators take the program back into service."""


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
