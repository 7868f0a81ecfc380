"""Reports on individual backends for log lines and metrics; no decision depends on them."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.balancing.events import BackendState
from saltcourse.balancing.outlier_ejection import AVOIDED_STATES
from saltcourse.balancing.state import Backend, HealthState


@dataclass(frozen=True, slots=True)
class BackendReport:
    """The balancer's present view of a backend.

    ``occupancy`` and ``ceiling`` are in slots. ``reasons`` tell why the backend gets few or no new
    connections: ``draining`` or ``removed`` (in the endpoint list), ``ejected``, ``eligible`` (for the probe
    that follows an ejection), ``probing``, ``recently_rejected`` (rejected or dropped connections, or missed
    the message latency objective), ``slow``, ``warming_up``.
    """

    backend: str
    state: BackendState
    occupancy: float
    ceiling: float
    reasons: tuple[str, ...]
    is_avoided: bool  # True if draining, removed, ejected or being probed.


def report_backend(now: float, backend: Backend) -> BackendReport:
    """Return the report on a backend at the time ``now`` (s)."""
    is_ready = backend.state is BackendState.READY
    health = backend.health.state
    reasons = {
        backend.state.name.lower(): not is_ready,
        health.name.lower(): health is not HealthState.HEALTHY,
        "recently_rejected": backend.ceiling_record.no_overflow_until > now,
        "slow": backend.ceiling_record.cut_until > now,
        "warming_up": backend.next_attempt_at > now,
    }
    return BackendReport(
        backend=backend.name,
        state=backend.state,
        occupancy=backend.occupancy,
        ceiling=backend.ceiling,
        reasons=tuple(reason for reason, applies in reasons.items() if applies),
        is_avoided=not is_ready or health in AVOIDED_STATES,
    )
