"""Actions that the balancer returns to its host, which executes them in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt at a backend.

    The attempts of a request are numbered 0, 1, 2, ... in the order of their starts. ``timeout`` is the time
    (s) after which the attempt must be abandoned.
    """

    request: str
    backend: str
    timeout: float


@dataclass(slots=True)
class RejectRequest:
    """Send the final answer that the client may safely retry after ``retry_after`` seconds."""

    request: str
    retry_after: float


@dataclass(slots=True)
class FailRequest:
    """Send the final answer that the request failed; the client must not assume that a retry is safe."""

    request: str


@dataclass(slots=True)
class MigrateConnection:
    """Close an established connection gracefully; its client reconnects with a new request."""

    request: str


@dataclass(slots=True)
class SetTimer:
    """Send ``TimerFired`` with this token to the balancer after ``delay`` seconds."""

    delay: float
    token: int


@dataclass(slots=True)
class CancelTimer:
    """Forget the timer with this token; a host that cannot do so may still send its ``TimerFired``."""

    token: int


@dataclass(slots=True)
class StartHealthCheck:
    """Start a health check of a backend, which also requests its load report."""

    backend: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send at most 256 bytes to one other proxy, or to all of them if ``peer`` is None."""

    data: str
    peer: int | None = None


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True)
class FetchEndpoints:
    """Request the complete endpoint list once."""


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | MigrateConnection
    | SetTimer
    | CancelTimer
    | StartHealthCheck
    | SendPeerMessage
    | WatchEndpoints
    | FetchEndpoints
)
