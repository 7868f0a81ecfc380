"""Selection: draws the backend of a new attempt with a probability proportional to its free slots.

The rule follows "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière 2004):

- The free slots of a candidate are its ceiling minus its occupancy. A slot in another zone counts as 1/20.
- If no candidate has a free slot, a backend that has not recently rejected may overflow by one slot. If no
  backend may overflow, the request is not placed.
- Three kinds of backend are never drawn: one that the request has already tried, one where a retry could run
  the request twice, and one in slow start whose next attempt is not yet allowed.
- Requests with a group are first offered to ``group_affinity``.

Inputs: ceilings and occupancies in slots, the request. Output: one backend or None.

Why: independent proxies that each pick the least loaded backend all pick the same one. A draw in proportion
to free slots fills all backends evenly, and each backend's rejections and latency set its ceiling.
"""

from __future__ import annotations

import random

from saltcourse.balancing.backend_pool import BackendPool
from saltcourse.balancing.events import BackendState
from saltcourse.balancing.group_affinity import GroupAffinity
from saltcourse.balancing.retries import is_safe_to_retry_on
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.slot_ceilings import SlotCeilings, may_overflow
from saltcourse.balancing.state import Backend, Request

MAX_DRAWS = 60  # Rejection-sampling draws before all candidates are scanned.
SCAN_INTERVAL_SECONDS = 0.1  # Prevents a scan for every request while all backends are full.
OVERFLOW_SLOTS = 1.0
REMOTE_ZONE_FACTOR = 0.05  # Weight of a free slot in another zone, relative to one in the local zone.
NEVER_SCANNED = -1.0  # A time (s) before any time of the host's clock.


class Selection:
    """Draws the backends of attempts."""

    __slots__ = ("_affinity", "_ceilings", "_pool", "_random", "_scanned_at", "_uses_load_reports")

    def __init__(
        self,
        settings: Settings,
        pool: BackendPool,
        ceilings: SlotCeilings,
        affinity: GroupAffinity,
        random_source: random.Random,
    ) -> None:
        self._uses_load_reports = settings.uses_load_reports
        self._pool = pool
        self._ceilings = ceilings
        self._affinity = affinity
        self._random = random_source
        self._scanned_at = NEVER_SCANNED  # Time (s) of the last scan of all candidates for free slots.

    def candidates_changed(self) -> None:
        """Invalidate the last scan, because candidates and ceilings have been recomputed."""
        self._scanned_at = NEVER_SCANNED

    def choose(self, now: float, request: Request) -> Backend | None:
        """Return the backend for the request's next attempt, or None if no backend can accept it."""
        if request.group:
            allowed = [b for b in self._pool.candidates if self.is_allowed(now, request, b)]
            backend = self._affinity.choose(request.group, allowed)
            if backend is not None or self._uses_load_reports:
                return backend
        backend = self._draw(now, request, 0.0)
        if backend is not None:
            return backend
        if now < self._scanned_at + SCAN_INTERVAL_SECONDS:
            return self._draw(now, request, OVERFLOW_SLOTS)
        return self._scan(now, request)

    def is_allowed(self, now: float, request: Request, backend: Backend) -> bool:
        """Return whether the request may be sent to the backend now, without regard to free slots."""
        return (
            backend.next_attempt_at <= now
            and backend.state is BackendState.READY  # Draining may have begun during a health check.
            and backend not in request.tried_backends
            and (request.may_have_run_on is None or is_safe_to_retry_on(now, request, backend))
        )

    def _draw(self, now: float, request: Request, overflow: float) -> Backend | None:
        """Draw a backend in proportion to free slots by rejection sampling; return None if no draw succeeds.

        A backend is drawn uniformly and accepted with the probability of its free slots over the upper bound
        of free slots.
        """
        candidates = self._pool.candidates
        largest = self._ceilings.largest_free_slots + overflow
        if largest <= 0 or not candidates:
            return None
        draw = self._random.random
        for _ in range(MAX_DRAWS):
            backend = candidates[int(draw() * len(candidates))]
            free_slots = (backend.ceiling + overflow - backend.occupancy) * backend.zone_factor
            if (
                draw() * largest < free_slots
                and self.is_allowed(now, request, backend)
                and not (overflow and not may_overflow(now, backend))
            ):
                return backend
        return None

    def _scan(self, now: float, request: Request) -> Backend | None:
        """Select among all candidates, because the random draws may have missed one with free slots."""
        self._scanned_at = now
        allowed = [b for b in self._pool.candidates if self.is_allowed(now, request, b)]
        backend = self._choose_weighted(allowed, 0.0)
        if backend is None:
            backend = self._choose_weighted([b for b in allowed if may_overflow(now, b)], OVERFLOW_SLOTS)
        self._ceilings.recompute_largest_free_slots(self._pool.candidates)
        return backend

    def _choose_weighted(self, backends: list[Backend], overflow: float) -> Backend | None:
        weights = [max(0.0, b.ceiling + overflow - b.occupancy) * b.zone_factor for b in backends]
        return self._random.choices(backends, weights)[0] if sum(weights) > 0 else None
