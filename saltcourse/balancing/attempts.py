"""Attempts: records each new attempt at its request and its backend, and emits its action."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.balancing.actions import Action, StartAttempt
from saltcourse.balancing.occupancy import Occupancy
from saltcourse.balancing.outlier_ejection import HealthEvent, OutlierEjection
from saltcourse.balancing.retries import Retries
from saltcourse.balancing.slot_ceilings import SlotCeilings
from saltcourse.balancing.slow_start import SlowStart
from saltcourse.balancing.state import Backend, Request


@dataclass(slots=True, eq=False)
class AttemptStarter:
    """Starts attempts at selected backends."""

    actions: list[Action]
    occupancy: Occupancy
    ceilings: SlotCeilings
    slow_start: SlowStart
    ejection: OutlierEjection
    retries: Retries

    def start(self, now: float, request: Request, backend: Backend) -> None:
        """Start the request's next attempt at the backend."""
        request.backend = backend
        request.started_at = now
        request.is_in_flight = True
        request.tried_backends.append(backend)
        request.attempts += 1
        self.occupancy.add(backend, request)
        if self.slow_start.is_warming_up(now, backend):
            expected_slots = self.ceilings.expected_slots(backend)
            self.slow_start.delay_next_attempt(now, backend, expected_slots, request.slots)
        self.ejection.apply(now, backend, HealthEvent.ATTEMPT_STARTED, request)
        timeout = self.retries.attempt_timeout(now, request)
        self.actions.append(StartAttempt(request.id, backend.name, timeout))
