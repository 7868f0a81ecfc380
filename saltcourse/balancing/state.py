"""State of backends and requests. The rules that use it are in the other modules.

Occupancies are in slots, where one slot is the mean load of a connection. Times are in seconds on the host's
clock. Each record of a backend is written only by the modules that its docstring names. A restart of the
backend resets all its records.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from saltcourse.balancing.events import AttemptStatus, Endpoint
from saltcourse.balancing.settings import RequestClass

LONG_AGO = -1e9  # A time (s) before any time of the host's clock, for events that have not happened yet.


class HealthState(IntEnum):
    """The health of a backend, with the transitions in ``outlier_ejection``."""

    HEALTHY = 0
    EJECTED = 1  # No attempt is started at the backend until ``ejected_until``.
    ELIGIBLE = 2  # The ejection has ended, and the next attempt at the backend becomes the probe.
    PROBING = 3  # The probe is in flight, and no other attempt is started at the backend.


@dataclass(slots=True, eq=False)
class HealthRecord:
    """Health of a backend.

    ``failure_attribution`` writes ``error_rate``, ``last_error_flow`` and ``last_reset_at``;
    ``outlier_ejection`` writes the other fields.
    """

    state: HealthState = HealthState.HEALTHY
    probe: Request | None = None  # The request whose attempt is the probe; None unless PROBING.
    ejected_until: float = 0.0  # seconds
    consecutive_ejections: int = 0  # Ejections since the last success.
    error_rate: float = 0.0  # Moving average share of attempts that failed with an error of the backend.
    last_error_flow: str = ""  # Client flow of the last error or reset that was the backend's fault.
    last_reset_at: float = LONG_AGO  # seconds


@dataclass(slots=True, eq=False)
class CeilingRecord:
    """Limits and cuts of a backend's ceiling, written by ``slot_ceilings``."""

    learned_limit: float = 0.0  # Slots that the backend could handle when its ceiling was cut; 0 until a cut.
    # Until this time (s) the backend gets no attempt, because it rejected or dropped connections or was late.
    no_overflow_until: float = 0.0
    # Until this time (s) the backend gets at most overflow attempts, and its limit does not recover.
    cut_until: float = 0.0
    cut_at: float = LONG_AGO  # Time (s) of the last cut of the learned limit.
    # Rejections and drops since the backend last accepted a connection while it was allowed to overflow.
    consecutive_rejections: int = 0


@dataclass(slots=True, eq=False)
class LoadReportRecord:
    """Load reports of a backend, written by ``load_reports``.

    ``waiting_requests`` is written by ``placement``. Reported loads are load over capacity, or -1 if none has
    been received.
    """

    load: float = -1.0
    previous_load: float = -1.0  # The last reported load that differed from ``load``.
    received_at: float = LONG_AGO  # seconds
    refresh_at: float = LONG_AGO  # Time (s) from which the report should be renewed.
    check_in_flight: bool = False
    # Requests whose placement waits for the health check.
    waiting_requests: list[Request] = field(default_factory=list)


class Backend:
    """A backend: its entry in the endpoint list, this proxy's connections to it, and the rules' records."""

    __slots__ = (
        "ceiling",
        "ceiling_record",
        "cell",
        "connections",
        "count",
        "current_capacity",
        "groups",
        "health",
        "is_local",
        "late_messages",
        "machine_type",
        "name",
        "next_attempt_at",
        "occupancy",
        "relative_capacity",
        "report",
        "restarted_at",
        "slots_at_full_load",
        "started",
        "state",
        "weight",
        "zone",
        "zone_factor",
    )

    def __init__(self, endpoint: Endpoint) -> None:
        self.name = endpoint.backend
        self.update(endpoint)
        # Written by ``endpoint_list``.
        self.is_local = True  # Whether the backend is in this proxy's zone.
        self.zone_factor = 1.0  # Weight of the backend's free slots in the draw.
        # This proxy's attempts and connections, written by ``occupancy``; ``connections`` by ``balancer``.
        self.occupancy = 0.0  # slots
        self.count = 0  # Attempts in flight and connections.
        self.connections: dict[str, Request] = {}  # Established connections that are not being migrated.
        self.groups: dict[str, int] = {}  # group -> attempts in flight and connections
        # Capacity in units of the mean backend's.
        self.relative_capacity = 1.0  # after the warm-up
        self.current_capacity = 1.0  # at present
        self.slots_at_full_load = 1.0  # This proxy's slots at the backend's full load, if loads are reported.
        self.reset(LONG_AGO)

    def update(self, endpoint: Endpoint) -> None:
        """Copy the fields of the backend's entry in the endpoint list."""
        self.zone = endpoint.zone
        self.machine_type = endpoint.machine_type
        self.cell = endpoint.cell
        self.weight = endpoint.weight
        self.started = endpoint.started
        self.state = endpoint.state

    def reset(self, now: float) -> None:
        """Reset all learned state, because the backend has been restarted."""
        self.restarted_at = now  # Attempts that were started earlier do not count for the new process.
        self.ceiling = 0.0  # slots
        self.next_attempt_at = 0.0  # Earliest time (s) of the next attempt, during slow start.
        self.health = HealthRecord()
        self.ceiling_record = CeilingRecord()
        self.report = LoadReportRecord()
        # Consecutive messages that missed their latency objective, written by ``load_shedding``.
        self.late_messages = 0


@dataclass(frozen=True, slots=True)
class FailureSuspect:
    """A backend that may be at fault for a failed attempt of a request.

    The suspicion is decided when the request is established at another backend or fails again.
    ``started_at`` is the start time (s) of the failed attempt. ``is_cleared`` is True if another backend
    failed the same request as well, so that the request itself is at fault.
    """

    backend: Backend
    status: AttemptStatus
    started_at: float
    is_cleared: bool


@dataclass(slots=True, eq=False)
class Request:
    """A request, from its arrival to its final answer or to the end of its connection.

    ``deadline`` is the time (s) at which the client gives up. ``slots`` is the request's load in slots.
    ``group`` is empty if the deployment has no groups. ``flow`` identifies the client and is the same for all
    its retries.
    """

    id: str
    request_class: RequestClass
    deadline: float
    slots: float
    group: str
    flow: str
    is_answered: bool = False  # Whether a final answer was given, or is not needed.
    timers: list[int] = field(default_factory=list)  # Tokens of its pending timers, written by ``timers``.

    # Attempts; all fields but the number refer to the last attempt. Times are in seconds.
    attempts: int = 0
    backend: Backend | None = None
    started_at: float = 0.0
    is_in_flight: bool = False  # Whether the attempt, or its connection, is counted at its backend.
    is_established: bool = False
    established_at: float = 0.0

    # Constraints on retries.
    tried_backends: list[Backend] = field(default_factory=list)
    may_have_run_on: Backend | None = None  # The first backend that may have run the request.
    may_have_run_at: float = 0.0  # Start time (s) of the attempt at ``may_have_run_on``.
    suspect: FailureSuspect | None = None

    # Health checks before the placement.
    awaited_backend: Backend | None = None  # The backend whose health check the placement waits for.
    load_checks: int = 0  # Number of health checks waited for.
