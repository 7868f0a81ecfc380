"""Outlier ejection: a backend that fails is left alone for a while, then tried by a single attempt.

The rules:

1. A backend is healthy, ejected, eligible for a probe, or being probed. ``TRANSITIONS`` gives the state
   after each event from each state, and ``apply`` is the one place where a state changes.
2. The ejection time starts at half a second, doubles with each ejection without a success in between, and
   is at most 8 s (times 0.75 to 1.25 at random). An ejection ends at the first refresh of the candidates
   after its time, up to one tick later. So every ejection ends.
3. The probe is a reference to the request that is in flight, not a flag: whatever ends that attempt ends
   the probe, so that no backend waits for ever for a probe that is gone.
4. Four ejections in one zone, without an answer from the zone in between, eject that zone as a whole, if it
   is not the proxy's own.
5. If that leaves no candidate, every listed backend is one: rejecting everything would be worse.

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

Why: attempts at a dead backend cost their clients the attempt's time-out, and a backend that fails quickly
holds nothing, so that it would draw most new connections. Which events say that a backend is at fault is
stated in ``failure_attribution``.
"""

from __future__ import annotations

import random
from enum import Enum

from saltcourse.balancing.backend_pool import BackendPool
from saltcourse.balancing.backoff import exponential_backoff
from saltcourse.balancing.state import Backend, HealthState, Request
from saltcourse.shared_state.state import SharedState

EJECTION_BACKOFF_INITIAL_SECONDS = 0.5
EJECTION_BACKOFF_MAX_SECONDS = 8.0  # about what the endpoint list needs to notice a dead backend
ZONE_FAILURES_TO_EJECT = 4  # ejections in one zone without an answer from it in between
ZONE_EJECTION_SECONDS = 2.0  # times 0.5 to 1.5 at random


class HealthEvent(Enum):
    """What can happen to a backend's health."""

    ATTEMPT_STARTED = 1
    PROBE_INCONCLUSIVE = 2  # the probe has ended and shows nothing
    SUCCESS = 3  # it accepted a connection, or was alive to reject one
    FAILURE = 4  # it is at fault
    EJECTION_EXPIRED = 5
    PEER_EJECTED = 6  # another proxy has ejected it


TRANSITIONS: dict[HealthEvent, tuple[HealthState, HealthState, HealthState, HealthState]] = {
    # The states after each event; before it: HEALTHY, EJECTED, ELIGIBLE, PROBING.
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
AVOIDED_STATES = (HealthState.EJECTED, HealthState.PROBING)  # states in which no attempt is started


class ZoneEjection:
    """Many failures in a row in a zone are a network cut, not deaths: a remote zone is ejected as a whole."""

    __slots__ = ("_ejected_until", "_failures", "_local_zone", "_random")

    def __init__(self, local_zone: str, random_source: random.Random) -> None:
        self._local_zone = local_zone
        self._random = random_source
        self._failures: dict[str, int] = {}  # ejections of each zone since its last answer
        self._ejected_until: dict[str, float] = {}  # s

    def record_failure(self, now: float, zone: str) -> bool:
        """Count an ejection in the zone; returns whether the zone is ejected with it."""
        self._failures[zone] = self._failures.get(zone, 0) + 1
        if self._failures[zone] < ZONE_FAILURES_TO_EJECT or zone == self._local_zone:
            return False
        self._ejected_until[zone] = now + ZONE_EJECTION_SECONDS * (0.5 + self._random.random())
        return True

    def record_success(self, zone: str) -> None:
        """Record that the zone can be reached."""
        self._failures.pop(zone, None)
        self._ejected_until.pop(zone, None)

    def ejected_zones(self, now: float) -> set[str]:
        """The zones that are ejected now."""
        return {zone for zone, until in self._ejected_until.items() if until > now}


class OutlierEjection:
    """The health of all backends, and the candidates that follow from it."""

    __slots__ = ("_pool", "_random", "_shared_state", "_zones")

    def __init__(
        self, local_zone: str, pool: BackendPool, shared_state: SharedState, random_source: random.Random
    ) -> None:
        self._pool = pool
        self._shared_state = shared_state
        self._random = random_source
        self._zones = ZoneEjection(local_zone, random_source)

    def apply(self, now: float, backend: Backend, event: HealthEvent, request: Request | None = None) -> None:
        """Change a backend's state by an event; ``request``: the one whose attempt has been started."""
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
            # Failures of attempts from before the ejection do not lengthen it.
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
        """Record that a backend of the zone has answered: the zone is not cut off."""
        self._zones.record_success(zone)

    def refresh_candidates(self, now: float) -> None:
        """End ejections whose time is over, and choose the candidates anew."""
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
