"""Failure attribution: decides whether a failed attempt was the backend's fault.

The rules:

1. A failed connect, or no response before the timeout, is the backend's fault.
2. A rejection shows that the backend is alive, and that it is full.
3. An error, or a reset before the connection is established, only makes the backend a suspect. If the
   request is then established at another backend, the suspect was at fault. If the request fails in this way
   at a second backend too, the request itself is at fault, and the suspect is cleared. A backend that only
   fails the requests of a single client flow is not at fault either. An error that is the backend's fault
   raises its error rate, and the backend is ejected above ``MAX_ERROR_RATE``. A reset that is its fault is
   handled as in rule 4. Either one ejects a backend that was eligible for a probe.
4. A reset of an established connection ejects no backend. If another reset follows within 1 s, the backend's
   ceiling is cut: networks and clients reset single connections, while a backend that drops connections
   resets several.
5. An attempt that was started before the backend's process started has no effect on the new process.

Inputs: the outcomes of attempts and health checks, and the time in seconds. Output: health events and ceiling
cuts.

Why: otherwise clients whose requests fail everywhere would eject one backend after another, until the
remaining ones carried all load.
"""

from __future__ import annotations

from saltcourse.balancing.events import AttemptStatus
from saltcourse.balancing.outlier_ejection import HealthEvent, OutlierEjection
from saltcourse.balancing.slot_ceilings import SlotCeilings
from saltcourse.balancing.state import Backend, FailureSuspect, HealthState, Request

ERROR_RATE_GAIN = 0.2  # Weight of the last attempt in a backend's error rate.
MAX_ERROR_RATE = 0.3  # Above it a backend at fault is ejected, and then gets one attempt at a time.
RESET_PAIR_SECONDS = 1.0  # Another reset within this time shows that the backend drops connections.


class FailureAttribution:
    """Turns the outcomes of attempts into health events."""

    __slots__ = ("_ceilings", "_ejection")

    def __init__(self, ejection: OutlierEjection, ceilings: SlotCeilings) -> None:
        self._ejection = ejection
        self._ceilings = ceilings

    def attempt_finished(self, now: float, request: Request, backend: Backend, status: AttemptStatus) -> None:
        """Update the backend's health for an attempt that ended with ``status``.

        A cancelled or unsent attempt only ends its probe.
        """
        if backend.health.probe is request:
            # This must precede all other handling: a probe that is not ended together with its attempt would
            # exclude the backend permanently.
            self._ejection.apply(now, backend, HealthEvent.PROBE_INCONCLUSIVE)
        if request.started_at < backend.restarted_at:
            return
        if status is AttemptStatus.CONNECT_FAILED or (
            status is AttemptStatus.TIMEOUT and not request.is_established
        ):
            self._ejection.apply(now, backend, HealthEvent.FAILURE)
        elif status is AttemptStatus.FULL:
            self.backend_responded(now, backend, request)
            self._ceilings.cut(now, backend, blocks_overflow=True)
        elif status is AttemptStatus.RESET and request.is_established:
            self._connection_reset(now, backend)
        elif status in (AttemptStatus.ERROR, AttemptStatus.RESET):
            is_second = request.suspect is not None
            request.suspect = FailureSuspect(backend, status, request.started_at, is_cleared=is_second)

    def connection_established(self, now: float, request: Request, backend: Backend) -> None:
        """Record that the request is established, which shows that its suspect was at fault."""
        backend.health.error_rate *= 1 - ERROR_RATE_GAIN
        if request.suspect is not None:
            self._attribute_failure(now, request, request.suspect)
        self.backend_responded(now, backend, request)

    def backend_responded(self, now: float, backend: Backend, request: Request | None) -> None:
        """Record that the backend is alive, because it accepted or rejected ``request``.

        ``request`` is None for a successful health check.
        """
        if backend.health.error_rate <= MAX_ERROR_RATE:
            self._ejection.apply(now, backend, HealthEvent.SUCCESS)
        elif backend.health.probe is request:  # The error rate is still too high, so another probe follows.
            self._ejection.apply(now, backend, HealthEvent.PROBE_INCONCLUSIVE)
        self._ejection.zone_responded(backend.zone)

    def health_check_failed(self, now: float, backend: Backend, status: AttemptStatus) -> None:
        """Record a failed health check; one that was rejected or not sent is no sign of a fault."""
        if status is not AttemptStatus.FULL and status is not AttemptStatus.NOT_SENT:
            self._ejection.apply(now, backend, HealthEvent.FAILURE)

    def _attribute_failure(self, now: float, request: Request, suspect: FailureSuspect) -> None:
        health = suspect.backend.health
        is_same_flow = bool(request.flow) and request.flow == health.last_error_flow
        if suspect.is_cleared or suspect.started_at < suspect.backend.restarted_at or is_same_flow:
            return
        health.last_error_flow = request.flow
        if suspect.status is AttemptStatus.RESET:
            self._connection_reset(now, suspect.backend)
        else:
            health.error_rate += ERROR_RATE_GAIN * (1 - health.error_rate)
        if health.error_rate > MAX_ERROR_RATE or health.state is HealthState.ELIGIBLE:
            self._ejection.apply(now, suspect.backend, HealthEvent.FAILURE)

    def _connection_reset(self, now: float, backend: Backend) -> None:
        if now < backend.health.last_reset_at + RESET_PAIR_SECONDS:
            self._ceilings.cut(now, backend, blocks_overflow=True)
        backend.health.last_reset_at = now
