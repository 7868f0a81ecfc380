"""Events that a host sends to the balancer, and the types of their fields.

The host (the proxy, the simulator's adapter or a test) passes each event to ``Balancer.handle`` together with
the current time. Times are in seconds. Loads of connections are in seconds of backend work per second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class BackendState(Enum):
    """The state of a backend in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointUpdateKind(Enum):
    """The kind of an update of the endpoint list."""

    DELTA = "delta"  # The update contains changed entries only.
    SNAPSHOT = "snapshot"  # The update contains the complete list.
    CACHED = "cached"  # The update contains a complete list saved before this start, which may be stale.
    UNAVAILABLE = "unavailable"  # Discovery could not be reached; the update has no entries.


class AttemptStatus(Enum):
    """The outcome of an attempt or a health check."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"
    FULL = "full"
    CONNECT_FAILED = "connect_failed"
    NOT_SENT = "not_sent"


NEVER_RAN = frozenset({AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT})
"""Statuses that prove that the backend did not run the request."""


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list.

    ``cell`` is a group of backends within a zone. ``started`` is the time (s) at which the backend's process
    started, or 0 if it started long before.
    """

    backend: str
    state: BackendState = BackendState.READY
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0
    started: float = 0.0


@dataclass(slots=True)
class EndpointsUpdated:
    """The endpoint list was received or has changed, or discovery could not be reached."""

    kind: EndpointUpdateKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True)
class RequestReceived:
    """A client requests a connection.

    ``time_left`` is the time (s) until the client gives up. ``load_hint`` is the typical load of such a
    connection, or 0 if unknown. ``flow`` identifies the client and is the same for all its retries. ``group``
    names the connections that share work at a backend.
    """

    request: str
    request_class: str
    time_left: float
    load_hint: float = 0.0
    flow: str = ""
    group: str = ""


@dataclass(slots=True)
class ConnectionResumed:
    """A connection that was established at ``backend`` before this proxy started; it has attempt number 0."""

    request: str
    request_class: str
    backend: str
    load_hint: float = 0.0
    group: str = ""


@dataclass(slots=True)
class ConnectionEstablished:
    """The attempt's connection is established; the deadline does not apply to it.

    The connection ends with ``AttemptFinished``. ``latency`` is the time (s) since the attempt's start.
    """

    request: str
    attempt: int
    latency: float


@dataclass(slots=True)
class LoadReport:
    """A backend's report on itself; a field is None if it is not reported.

    ``load`` is load over capacity. The other fields are not used by any rule.
    """

    inflight: float | None = None
    queue: float | None = None
    utilisation: float | None = None
    load: float | None = None
    backlog: float | None = None


@dataclass(slots=True)
class AttemptFinished:
    """An attempt, or its connection, has ended; ``final`` is True if the request has ended as well."""

    request: str
    attempt: int
    status: AttemptStatus
    latency: float = 0.0
    final: bool = False
    report: LoadReport | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has closed or reset its connection, or has given up: no answer is needed."""

    request: str


@dataclass(slots=True)
class ConnectionLoadChanged:
    """The load of an established connection has changed."""

    request: str
    load: float


@dataclass(slots=True)
class ResponseLatencyMeasured:
    """The latency (s) of messages on this connection at its backend was measured."""

    request: str
    latency: float


@dataclass(slots=True)
class TimerFired:
    """A timer set by ``SetTimer`` has expired."""

    token: int


@dataclass(slots=True)
class HealthCheckFinished:
    """A health check has ended; its ``latency`` is not used by any rule."""

    backend: str
    status: AttemptStatus
    latency: float = 0.0
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessageReceived:
    """Another proxy of the fleet has sent a message; ``sender`` is its index."""

    sender: int
    data: str


@dataclass(slots=True)
class PeerLinkChanged:
    """This process got, or gave up, the address at which this proxy receives peers' messages.

    While a process is replaced, only one of the two has it. Without such an event, the process has it.
    """

    is_open: bool


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
    | PeerLinkChanged
)
