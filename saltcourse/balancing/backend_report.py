"""What the balancer believes of one backend, for log lines and metrics; no decision reads it."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.balancing.events import BackendState
from saltcourse.balancing.outlier_ejection import AVOIDED_STATES
from saltcourse.balancing.state import Backend, HealthState


@dataclass(frozen=True, slots=True)
class BackendReport:
    """``occupancy`` and ``ceiling`` are in slots; ``reasons`` say why the backend gets nothing new now.

    The reasons: ``draining``, ``removed`` (by the endpoint list), ``ejected``, ``eligible`` (for the probe
    that follows an ejection), ``probing``, ``recently_rejected`` (or dropped), ``slow``, ``warming_up``.
    """

    backend: str
    state: BackendState
    occupancy: float
    ceiling: float
    reasons: tuple[str, ...]
    is_avoided: bool  # draining, removed, ejected or being probed


def report_backend(now: float, backend: Backend) -> BackendReport:
    """What is believed of a backend now."""
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
        reasons=tuple(reason for reason, holds in reasons.items() if holds),
        is_avoided=not is_ready or health in AVOIDED_STATES,
    )
