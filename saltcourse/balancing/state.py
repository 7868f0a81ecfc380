"""What this proxy knows of each backend and each request. Data only: the rules are in the other modules.

Loads are in slots: one slot is the mean load of a connection. Times are seconds on the host's clock. Each
record of a backend belongs to the rules that its docstring names, which alone write it; a restart of the
backend resets all of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from saltcourse.balancing.events import AttemptStatus, Endpoint
from saltcourse.balancing.settings import RequestClass

LONG_AGO = -1e9  # s


class HealthState(IntEnum):
    """What a backend's own failures have made of it; ``outlier_ejection`` has the transitions."""

    HEALTHY = 0
    EJECTED = 1  # it gets nothing until ``ejected_until``
    ELIGIBLE = 2  # its ejection is over: the next attempt there is the probe
    PROBING = 3  # the probe is in flight, and no other attempt is started there


@dataclass(slots=True, eq=False)
class HealthRecord:
    """Written by ``outlier_ejection``; errors and resets by ``failure_attribution``."""

    state: HealthState = HealthState.HEALTHY
    probe: Request | None = None  # the request whose attempt is the probe; only while PROBING
    ejected_until: float = 0.0
    consecutive_ejections: int = 0  # without a success in between
    error_rate: float = 0.0  # moving share of attempts that failed by the backend's fault
    last_error_flow: str = ""  # the client flow of the last of these
    last_reset_at: float = LONG_AGO


@dataclass(slots=True, eq=False)
class CeilingRecord:
    """Written by ``slot_ceilings``."""

    learned_limit: float = 0.0  # slots that it was seen to bear; 0 while nothing is learned
    no_overflow_until: float = 0.0  # until then it gets nothing: it rejected, dropped or was late
    cut_until: float = 0.0  # until then it gets overflow at most, and its limit does not recover
    cut_at: float = LONG_AGO
    consecutive_rejections: int = 0  # or drops, until it may overflow and accepts again


@dataclass(slots=True, eq=False)
class LoadReportRecord:
    """Written by ``load_reports``; ``waiting`` by ``placement``.

    Reported loads are load over capacity; -1 while none was received.
    """

    load: float = -1.0
    previous_load: float = -1.0  # the last one that differed from ``load``
    received_at: float = LONG_AGO
    refresh_at: float = LONG_AGO  # a new report is wanted from then on
    check_in_flight: bool = False
    waiting_requests: list[Request] = field(default_factory=list)  # placements that wait for the health check


class Backend:
    """One backend: its entry in the endpoint list, what this proxy holds there, and the rules' records."""

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
        "kind",
        "late_messages",
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
        # Of the zone: whether it is the proxy's own, and what a free slot there counts in the draw.
        self.is_local = True
        self.zone_factor = 1.0
        # What this proxy holds there; ``occupancy`` writes it.
        self.occupancy = 0.0  # slots
        self.count = 0  # attempts in flight and connections
        self.connections: dict[str, Request] = {}  # established, and not asked to migrate
        self.groups: dict[str, int] = {}  # attempts and connections of each group
        # Capacity over the mean backend's: once warm, and now.
        self.relative_capacity = 1.0
        self.current_capacity = 1.0
        self.slots_at_full_load = 1.0  # of this proxy, where loads are reported
        self.reset(LONG_AGO)

    def update(self, endpoint: Endpoint) -> None:
        """Take over the entry of the endpoint list."""
        self.zone = endpoint.zone
        self.kind = endpoint.kind
        self.cell = endpoint.cell
        self.weight = endpoint.weight
        self.started = endpoint.started
        self.state = endpoint.state

    def reset(self, now: float) -> None:
        """Forget what was learned: the backend is a new process since ``now``."""
        self.restarted_at = now  # what was sent before says nothing of the new process
        self.ceiling = 0.0  # slots
        self.next_attempt_at = 0.0  # slow start: no attempt is started before
        self.health = HealthRecord()
        self.ceiling_record = CeilingRecord()
        self.report = LoadReportRecord()
        # Messages in a row that missed their latency objective; ``load_shedding`` writes it.
        self.late_messages = 0


@dataclass(frozen=True, slots=True)
class FailureSuspect:
    """A backend that broke off an attempt, until the request is established elsewhere or fails again.

    ``started_at``: when that attempt was started (s). ``is_cleared``: another backend broke the same
    request off as well, so that the request itself is at fault.
    """

    backend: Backend
    status: AttemptStatus
    started_at: float
    is_cleared: bool


@dataclass(slots=True, eq=False)
class Request:
    """A request from its arrival to its final answer, or its connection to the connection's end.

    ``deadline``: when the client gives up (s). ``load``: in slots. ``group``: "" where groups do not count.
    ``flow``: the client's key, the same with each of its retries.
    """

    id: str
    request_class: RequestClass
    deadline: float
    slots: float
    group: str
    flow: str
    is_answered: bool = False  # finally, or nobody waits any more

    # The last attempt.
    attempts: int = 0
    backend: Backend | None = None
    started_at: float = 0.0
    is_in_flight: bool = False  # the attempt, or its connection, counts at its backend
    is_established: bool = False
    established_at: float = 0.0

    # For retries.
    tried_backends: list[Backend] = field(default_factory=list)
    may_have_run_on: Backend | None = None  # the first backend that may have run it
    may_have_run_at: float = 0.0
    suspect: FailureSuspect | None = None

    # While its placement waits for a load report.
    awaited_backend: Backend | None = None
    load_checks: int = 0
