"""Failure attribution: whether the way an attempt ended was the backend's fault.

The rules:

1. No connection, or no answer in time, is the backend's fault at once.
2. A rejection shows that the backend is alive, and that it is full.
3. Nobody is blamed on one witness: an error, or a reset before the connection is established, makes the
   backend a suspect only. If the request is then established at another backend, the first one was at
   fault; if it is broken off there too, the request itself is at fault and the suspect is cleared. A
   backend that breaks off a single client flow and serves all others is not at fault either. For an error
   the backend's error rate rises, and above ``MAX_ERROR_RATE`` it is ejected; a reset counts as in rule 4.
   One that was eligible for a probe is ejected by either.
4. A reset of an established connection cuts the backend's ceiling, and ejects nobody, when a second one
   follows within a second: networks and clients break a connection now and then, a backend that drops breaks
   several.
5. An attempt that was started before the backend's process started says nothing of the new process.

Inputs: how attempts ended, and the time in seconds. Output: health events and ceiling cuts.

Why: clients whose requests fail everywhere would otherwise eject one backend after another, until the rest
carried all load.
"""

from __future__ import annotations

from saltcourse.balancing.events import AttemptStatus
from saltcourse.balancing.outlier_ejection import HealthEvent, OutlierEjection
from saltcourse.balancing.slot_ceilings import SlotCeilings
from saltcourse.balancing.state import Backend, FailureSuspect, HealthState, Request

ERROR_RATE_GAIN = 0.2  # weight of the last attempt in a backend's error rate
MAX_ERROR_RATE = 0.3  # above it a blamed backend is ejected, and used by one connection at a time
RESET_PAIR_SECONDS = 1.0  # in which a second reset shows that a backend drops connections


class FailureAttribution:
    """Turns the outcomes of attempts into health events."""

    __slots__ = ("_ceilings", "_ejection")

    def __init__(self, ejection: OutlierEjection, ceilings: SlotCeilings) -> None:
        self._ejection = ejection
        self._ceilings = ceilings

    def attempt_finished(self, now: float, request: Request, backend: Backend, status: AttemptStatus) -> None:
        """Record what the ending says of the backend; the client's own leaving says nothing."""
        if backend.health.probe is request:
            # Before anything is made of how it ended: a probe that outlives its attempt would keep the
            # backend out of use for ever.
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
        """Record that the request is established there: a suspect before this backend was at fault."""
        backend.health.error_rate *= 1 - ERROR_RATE_GAIN
        if request.suspect is not None:
            self._attribute_failure(now, request, request.suspect)
        self.backend_responded(now, backend, request)

    def backend_responded(self, now: float, backend: Backend, request: Request | None) -> None:
        """Record that the backend is alive: it accepted or rejected ``request``, or a health check (None)."""
        if backend.health.error_rate <= MAX_ERROR_RATE:
            self._ejection.apply(now, backend, HealthEvent.SUCCESS)
        elif backend.health.probe is request:  # it still fails often: one probe after another
            self._ejection.apply(now, backend, HealthEvent.PROBE_INCONCLUSIVE)
        self._ejection.zone_responded(backend.zone)

    def health_check_failed(self, now: float, backend: Backend, status: AttemptStatus) -> None:
        """Record a failed health check; a rejected one, or one that was not sent, says nothing."""
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
