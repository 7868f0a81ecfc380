"""Outlier ejection: stops sending to a failing backend for some time, then probes it with a single attempt.

The rules:

1. A backend is healthy, ejected, eligible for a probe, or being probed. ``TRANSITIONS`` gives the next state
   for each event and state. States change only in ``OutlierEjection.apply``.
2. The ejection time starts at 0.5 s, doubles with each consecutive ejection, and is at most 8 s. It is
   multiplied by a random factor from 0.75 to 1.25. An ejection ends at the first refresh of the candidates
   after its time has passed, up to one tick later, so every ejection ends.
3. The probe is stored as a reference to the request in flight and not as a flag. It ends with the request's
   attempt, whatever the outcome, so that no backend waits for a probe that does not exist.
4. Four ejections in a remote zone without a response from the zone in between eject the whole zone. The
   local zone is never ejected.
5. If all listed backends are excluded, all of them become candidates again, because rejecting every request
   would be worse.

=============  ===============  ==================  =======  =======  ================  ============
state          attempt started  probe inconclusive  success  failure  ejection expired  peer ejected
=============  ===============  ==================  =======  =======  ================  ============
healthy        healthy          healthy             healthy  ejected  healthy           eligible
ejected        ejected          ejected             healthy  ejected  eligible          ejected
eligible       **probing**      eligible            healthy  ejected  eligible          eligible
probing        probing          eligible            healthy  ejected  probing           probing
=============  ===============  ==================  =======  =======  ================  ============

Inputs: health events of a backend and the time in seconds. Output: ``Backend.health`` and the pool's
candidates.

Why: an attempt at a dead backend costs its client the attempt's timeout. A backend that fails quickly holds
no connections, so it would be chosen for most new ones. The module ``failure_attribution`` decides which
events are a backend's fault.
"""

from __future__ import annotations

import random
from enum import Enum

from saltcourse.balancing.backend_pool import BackendPool
from saltcourse.balancing.backoff import exponential_backoff
from saltcourse.balancing.state import Backend, HealthState, Request
from saltcourse.shared_state.state import SharedState

EJECTION_BACKOFF_INITIAL_SECONDS = 0.5
EJECTION_BACKOFF_MAX_SECONDS = 8.0  # About the time until the endpoint list reflects a dead backend.
ZONE_FAILURES_TO_EJECT = 4  # Ejections in a zone without a response from it in between.
ZONE_EJECTION_SECONDS = 2.0  # Multiplied by a random factor from 0.5 to 1.5.


class HealthEvent(Enum):
    """An event that affects a backend's health state."""

    ATTEMPT_STARTED = 1
    PROBE_INCONCLUSIVE = 2  # The probe has ended without showing whether the backend is healthy.
    SUCCESS = 3  # The backend accepted a connection, or rejected one and so showed that it is alive.
    FAILURE = 4  # An attempt or health check failed, and the backend is at fault.
    EJECTION_EXPIRED = 5
    PEER_EJECTED = 6  # Another proxy has ejected the backend.


TRANSITIONS: dict[HealthEvent, tuple[HealthState, HealthState, HealthState, HealthState]] = {
    # The next state for each event; the columns are the states HEALTHY, EJECTED, ELIGIBLE and PROBING.
    HealthEvent.ATTEMPT_STARTED: (
        HealthState.HEALTHY,
        HealthState.EJECTED,
        HealthState.PROBING,
        HealthState.PROBING,
    ),
    HealthEvent.PROBE_INCONCLUSIVE: (
        HealthState.HEALTHY,
        HealthState.EJECTED,
        HealthState.ELIGIBLE,
        HealthState.ELIGIBLE,
    ),
    HealthEvent.SUCCESS: (HealthState.HEALTHY,) * 4,
    HealthEvent.FAILURE: (HealthState.EJECTED,) * 4,
    HealthEvent.EJECTION_EXPIRED: (
        HealthState.HEALTHY,
        HealthState.ELIGIBLE,
        HealthState.ELIGIBLE,
        HealthState.PROBING,
    ),
    HealthEvent.PEER_EJECTED: (
        HealthState.ELIGIBLE,
        HealthState.EJECTED,
        HealthState.ELIGIBLE,
        HealthState.PROBING,
    ),
}
AVOIDED_STATES = (HealthState.EJECTED, HealthState.PROBING)  # No attempt is started in these states.


class ZoneEjection:
    """Ejects a whole remote zone after consecutive failures, which indicate a network partition."""

    __slots__ = ("_ejected_until", "_failures", "_local_zone", "_random")

    def __init__(self, local_zone: str, random_source: random.Random) -> None:
        self._local_zone = local_zone
        self._random = random_source
        self._failures: dict[str, int] = {}  # zone -> ejections since its last response
        self._ejected_until: dict[str, float] = {}  # zone -> end of its ejection (s)

    def record_failure(self, now: float, zone: str) -> bool:
        """Count an ejection in the zone, and return whether this ejects the whole zone."""
        self._failures[zone] = self._failures.get(zone, 0) + 1
        if self._failures[zone] < ZONE_FAILURES_TO_EJECT or zone == self._local_zone:
            return False
        self._ejected_until[zone] = now + ZONE_EJECTION_SECONDS * (0.5 + self._random.random())
        return True

    def record_success(self, zone: str) -> None:
        """Record that the zone is reachable, and end its ejection."""
        self._failures.pop(zone, None)
        self._ejected_until.pop(zone, None)

    def ejected_zones(self, now: float) -> set[str]:
        """Return the zones that are ejected now."""
        return {zone for zone, until in self._ejected_until.items() if until > now}


class OutlierEjection:
    """Tracks the health of all backends, and keeps the candidates for new attempts."""

    __slots__ = ("_pool", "_random", "_shared_state", "_zones")

    def __init__(
        self, local_zone: str, pool: BackendPool, shared_state: SharedState, random_source: random.Random
    ) -> None:
        self._pool = pool
        self._shared_state = shared_state
        self._random = random_source
        self._zones = ZoneEjection(local_zone, random_source)

    def apply(self, now: float, backend: Backend, event: HealthEvent, request: Request | None = None) -> None:
        """Change a backend's health state by an event.

        ``request`` is given with ``ATTEMPT_STARTED`` only; it becomes the probe of an eligible backend.
        """
        health = backend.health
        before = health.state
        health.state = TRANSITIONS[event][before]
        if health.state is not HealthState.PROBING:
            health.probe = None
        elif before is HealthState.ELIGIBLE:
            health.probe = request
        if event is HealthEvent.SUCCESS:
            health.consecutive_ejections = 0
            health.ejected_until = 0.0
        elif health.state is HealthState.EJECTED and before is not HealthState.EJECTED:
            # Further failures of attempts that were started before the ejection do not prolong it.
            self._eject(now, backend)
        if health.state in AVOIDED_STATES:
            self._pool.exclude(backend)

    def _eject(self, now: float, backend: Backend) -> None:
        health = backend.health
        health.consecutive_ejections += 1
        backoff = exponential_backoff(
            EJECTION_BACKOFF_INITIAL_SECONDS, health.consecutive_ejections - 1, EJECTION_BACKOFF_MAX_SECONDS
        )
        health.ejected_until = now + backoff * (0.75 + self._random.random() / 2)
        self._shared_state.announce_ejection(backend.name, health.ejected_until)
        if self._zones.record_failure(now, backend.zone):
            self._pool.exclude_zone(backend.zone)

    def zone_responded(self, zone: str) -> None:
        """Record a response from a backend of the zone, which shows that the zone is reachable."""
        self._zones.record_success(zone)

    def refresh_candidates(self, now: float) -> None:
        """End the ejections that have expired, and recompute the candidates."""
        listed = self._pool.listed()
        for backend in listed:
            health = backend.health
            if health.state is HealthState.EJECTED and health.ejected_until <= now:
                self.apply(now, backend, HealthEvent.EJECTION_EXPIRED)
        zones = self._zones.ejected_zones(now)
        self._pool.candidates = [
            backend
            for backend in listed
            if backend.health.state not in AVOIDED_STATES and backend.zone not in zones
        ] or listed
