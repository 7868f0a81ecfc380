"""Events that a host hands to the balancer, and the types they carry.

The host (the proxy, the simulator's adapter or a test) turns what it sees into events and hands each one to
``Balancer.handle`` with the current time. Times are seconds, loads seconds of backend work per second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class BackendState(Enum):
    """What the endpoint list says of a backend."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointUpdateKind(Enum):
    """What an update of the endpoint list brings."""

    DELTA = "delta"  # changed entries only
    SNAPSHOT = "snapshot"  # the complete list
    CACHED = "cached"  # a complete list from before this start, which may be stale
    UNAVAILABLE = "unavailable"  # nothing: discovery could not be reached


class AttemptStatus(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"
    FULL = "full"
    CONNECT_FAILED = "connect_failed"
    NOT_SENT = "not_sent"


NEVER_RAN = frozenset({AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT})
"""Endings that prove that the request never ran."""


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list.

    ``kind`` is the machine type, ``cell`` a group of backends within a zone; ``started`` is 0 when it
    started a long time back, else the time of its start (s).
    """

    backend: str
    state: BackendState = BackendState.READY
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started: float = 0.0


@dataclass(slots=True)
class EndpointsUpdated:
    """The endpoint list has changed, or could not be had."""

    kind: EndpointUpdateKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True)
class RequestReceived:
    """A client asks for a connection.

    ``time_left``: s until the client gives up. ``load_hint``: the usual load of such a connection, 0 if not
    known. ``flow``: the client's key, the same with each of its retries. ``group``: connections that share
    work at a backend.
    """

    request: str
    request_class: str
    time_left: float
    load_hint: float = 0.0
    flow: str = ""
    group: str = ""


@dataclass(slots=True)
class ConnectionResumed:
    """A connection from before this proxy's start; its attempt 0 is established at ``backend``."""

    request: str
    request_class: str
    backend: str
    load_hint: float = 0.0
    group: str = ""


@dataclass(slots=True)
class ConnectionEstablished:
    """The attempt's connection is up: it has no deadline any more and ends with ``AttemptFinished``.

    ``latency``: s from the attempt's start.
    """

    request: str
    attempt: int
    latency: float


@dataclass(slots=True)
class LoadReport:
    """What a backend reports of itself; None where it reports nothing.

    ``load`` is load over capacity; no rule reads the other fields.
    """

    inflight: float | None = None
    queue: float | None = None
    utilisation: float | None = None
    load: float | None = None
    backlog: float | None = None


@dataclass(slots=True)
class AttemptFinished:
    """How an attempt ended; ``final`` when the request ended with it or before."""

    request: str
    attempt: int
    status: AttemptStatus
    latency: float = 0.0
    final: bool = False
    report: LoadReport | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has ended or reset its connection, or its time is up: nobody waits for an answer."""

    request: str


@dataclass(slots=True)
class ConnectionLoadChanged:
    """The load of an established connection is another now."""

    request: str
    load: float


@dataclass(slots=True)
class ResponseLatencyMeasured:
    """What a message on this connection takes at its backend now (s)."""

    request: str
    latency: float


@dataclass(slots=True)
class TimerFired:
    """A timer that ``SetTimer`` has set has expired."""

    token: int


@dataclass(slots=True)
class HealthCheckFinished:
    """How a health check ended; no rule reads its ``latency``."""

    backend: str
    status: AttemptStatus
    latency: float = 0.0
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessageReceived:
    """Another proxy of the tier has sent a message; ``sender`` is its index."""

    sender: int
    data: str


Event = (
    EndpointsUpdated
    | RequestReceived
    | ConnectionResumed
    | ConnectionEstablished
    | AttemptFinished
    | ClientDisconnected
    | ConnectionLoadChanged
    | ResponseLatencyMeasured
    | TimerFired
    | HealthCheckFinished
    | PeerMessageReceived
)
