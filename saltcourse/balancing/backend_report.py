"""What the balancer believes of one backend, for log lines and metrics; no decision reads it."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.balancing.events import BackendState


@dataclass(frozen=True, slots=True)
class BackendReport:
    """``occupancy`` and ``ceiling`` are in slots; ``reasons`` say why the backend gets nothing new now."""

    backend: str
    state: BackendState
    occupancy: float
    ceiling: float
    reasons: tuple[str, ...]
    is_avoided: bool  # draining, removed, ejected or being probed
