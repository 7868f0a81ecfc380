"""Actions that the balancer gives back to its host, which carries them out in their order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Begin an attempt at a backend; those of a request are numbered 0, 1, 2 in the order of their starts.

    ``timeout``: s after which the attempt is given up.
    """

    request: str
    backend: str
    timeout: float


@dataclass(slots=True)
class RejectRequest:
    """Final answer: a retry does no harm, after ``retry_after`` seconds."""

    request: str
    retry_after: float


@dataclass(slots=True)
class FailRequest:
    """Final answer without any promise."""

    request: str


@dataclass(slots=True)
class MigrateConnection:
    """End an established connection in good order; its client comes back as a new request."""

    request: str


@dataclass(slots=True)
class SetTimer:
    """Hand back ``TimerFired`` with this token after ``delay`` seconds."""

    delay: float
    token: int


@dataclass(slots=True)
class StartHealthCheck:
    """Ask a backend whether it is up, and for its load report."""

    backend: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send at most 256 bytes to one other proxy, or to each of them."""

    data: str
    peer: int | None = None


@dataclass(slots=True)
class WatchEndpoints:
    """Ask for the endpoint list's changes from now on."""


@dataclass(slots=True)
class FetchEndpoints:
    """Ask for the complete endpoint list once."""


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | MigrateConnection
    | SetTimer
    | StartHealthCheck
    | SendPeerMessage
    | WatchEndpoints
    | FetchEndpoints
)
