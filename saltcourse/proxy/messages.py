"""What actors tell each other, beside the module's own events and actions."""

from __future__ import annotations

from dataclasses import dataclass
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


class Attempt(Protocol):
    """One attempt of a request at a server, as its messages name it. It is told from others by identity: all
    attempts to bring a connection back that stood before this program's start have the same number."""

    attempt: int  # its number within the request
    server: str


@dataclass(slots=True)
class Place:
    """Begin an attempt, at the address that the list gives this proxy for the server."""

    request: str
    server: str
    attempt: int
    timeout: float
    address: Address | None


@dataclass(slots=True)
class Retract:
    attempt: int


@dataclass(slots=True)
class Forfeit:
    """No answer of the module is to be waited for: the client's time is up, or it broke the protocol."""

    reason: str


@dataclass(slots=True)
class ClientEnded:
    reset: bool


@dataclass(slots=True)
class CallUp:
    """The provider took the connection; ``line`` is its receipt."""

    call: Attempt
    line: bytes


@dataclass(slots=True)
class CallEnded:
    """The call is over: before UP with any status, after it with how the connection ended."""

    call: Attempt
    status: AttemptStatus
    reset: bool


ToInvocation = (
    Place
    | Retract
    | Forfeit
    | ClientEnded
    | CallUp
    | CallEnded
    | RejectRequest
    | FailRequest
    | MigrateConnection
)


class Invocation(Protocol):
    """What the decider needs of a request, whatever protocol brought it."""

    def tell(self, message: ToInvocation) -> None: ...


@dataclass(slots=True)
class Arrived:
    """A new request, and who takes its answers."""

    invocation: Invocation
    event: RequestReceived


@dataclass(slots=True)
class Resumed:
    """A connection from before this program's start stands again."""

    invocation: Invocation
    event: ConnectionResumed


@dataclass(slots=True)
class Left:
    """The invocation's actor is done; nothing is to be told to it any more."""

    invocation: Invocation
    request: str


@dataclass(slots=True)
class Listed:
    kind: EndpointUpdateKind
    listing: EndpointUpdate | None = None


@dataclass(slots=True)
class LineSent:
    """A consumer's line went to its provider; one is expected back at once."""

    request: str
    at: float


@dataclass(slots=True)
class LineBack:
    request: str
    at: float


@dataclass(slots=True)
class MoveAll:
    """The program is about to leave, or is emptied for a while: every connection that stands, or will, is
    moved. ``on`` False ends that, when the operators take the program back into work. Those that stand are
    moved between ``begin`` and ``end`` (loop time), spread out; 0 and 0 is at once."""

    on: bool = True
    begin: float = 0.0
    end: float = 0.0


ToDecider = Arrived | Resumed | Left | Listed | LineSent | LineBack | MoveAll | Event
