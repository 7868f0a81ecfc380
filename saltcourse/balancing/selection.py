"""Selection: a new attempt goes to a backend with a chance in proportion to its free slots.

The rule, from "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière 2004): with the ceiling and the
occupancy of each candidate, one is drawn in proportion to its free slots (ceiling minus occupancy; in other
zones they count as a twentieth). When no candidate has a free slot, one that has not recently rejected may
overflow by one slot; when none may, the request is not placed. A backend that the request has tried, that
may not repeat it, or that warms up and is not due yet is never drawn. Groups are placed by
``group_affinity`` first.

Inputs: ceilings and occupancies in slots, the request. Output: one backend or None.

Why: proxies that do not talk to each other and send to the emptiest backend all send to the same one; in
proportion they fill all backends alike, and a backend's own rejections and latency set its ceiling.
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

MAX_DRAWS = 60  # before the exact scan
SCAN_INTERVAL_SECONDS = 0.1  # so that a full fleet is not scanned for every request
OVERFLOW_SLOTS = 1.0
REMOTE_ZONE_FACTOR = 0.05  # what a free slot in another zone counts beside one in the proxy's own
NEVER_SCANNED = -1.0


class Selection:
    """Draws the backend of an attempt."""

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
        self._scanned_at = NEVER_SCANNED  # s; when all candidates were scanned for free slots

    def candidates_changed(self) -> None:
        """Forget the last scan: candidates and ceilings were worked out anew."""
        self._scanned_at = NEVER_SCANNED

    def choose(self, now: float, request: Request) -> Backend | None:
        """The backend of the request's next attempt, or None where there is none for it."""
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
        """Whether an attempt of the request may go there now, whatever its free slots."""
        return (
            backend.next_attempt_at <= now
            and backend.state is BackendState.READY  # it may have begun to drain while a check was in flight
            and backend not in request.tried_backends
            and (request.may_have_run_on is None or is_safe_to_retry_on(now, request, backend))
        )

    def _draw(self, now: float, request: Request, overflow: float) -> Backend | None:
        """Draw uniformly and accept with free slots over the largest: exactly in proportion to free slots."""
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
        """Look at every candidate: the draws found none, but they may have missed one."""
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
