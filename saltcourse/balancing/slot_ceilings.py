"""Slot ceilings: limits how many slots this proxy may fill on each backend.

The rules, for each backend:

- If backends report their load, the ceiling is the occupancy plus the slots that remain until the target
  load.
- Otherwise the ceiling is the common ceiling, scaled by the backend's capacity. The common ceiling is the
  mean occupancy of the local backends, or of the remote ones, plus a few slots; it decays slowly.
- If a backend rejects or drops connections, or is slow, its ceiling is cut: its learned limit is set near its
  present occupancy, and it gets no new connections for some time. For rejections and drops that time grows
  with exponential backoff. The limit recovers a little with each tick, and by one slot when the backend
  accepts a connection into its last free slot.

Inputs: occupancies and limits in slots, reported loads as load over capacity, times in seconds. Output:
``Backend.ceiling`` in slots, and the largest number of free slots of any backend.

Why: endpoint weights and this proxy's connection counts do not show how much a backend can handle while
other proxies send to it as well. Its rejections, latency and load reports do.
"""

from __future__ import annotations

from saltcourse.balancing.backoff import exponential_backoff
from saltcourse.balancing.capacity_estimate import CapacityEstimate
from saltcourse.balancing.load_reports import MAX_REPORT_AGE_SECONDS, TARGET_LOAD
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.slow_start import SlowStart
from saltcourse.balancing.state import Backend, CeilingRecord
from saltcourse.shared_state.state import SharedState

TICK_SECONDS = 1.0  # Interval between refreshes of a small fleet; short compared to a connection's life.
HEADROOM_SLOTS = 2.0  # Common ceiling minus mean occupancy, for a backend of mean capacity.
EXPECTED_HEADROOM_SLOTS = 0.5  # The same for the slots that slow start expects to fill on a backend.
# Decay time of the common ceiling, long enough for clients that left to return: they do so within a
# connection's life. It applies to one refresh a second. The decay is slower with more than 150 candidates,
# which are refreshed less often, and faster while the endpoint list changes.
COMMON_CEILING_MEMORY_SECONDS = 60.0
CUT_FACTOR = 0.9  # Learned limit relative to the occupancy, after a rejection or drop.
# Minimum limit relative to the common ceiling: a low occupancy says little about capacity.
MIN_LIMIT_FACTOR = 0.5
MIN_LIMIT_SLOTS = 0.5
CUT_INTERVAL_SECONDS = 1.0  # One overload drops many connections at once and must cut the limit only once.
REJECTION_BACKOFF_INITIAL_SECONDS = 2.0  # Time without new connections after the first rejection; doubles.
REJECTION_BACKOFF_MAX_SECONDS = 8.0
CUT_WITH_REPORTS_SECONDS = 1.0  # Replaces the backoff if loads are reported: the next report shows the load.
LIMIT_RECOVERY_FACTOR = 0.05  # Recovery of the learned limit per tick, relative to the common ceiling.
MIN_EXPECTED_SLOTS = 0.25  # Lower bound of the slots that slow start expects, while little has been learned.


def may_overflow(now: float, backend: Backend) -> bool:
    """Return whether a full backend may get one more connection.

    It may unless it has recently rejected or dropped connections, or its fresh load report is at or above the
    target load.
    """
    if backend.ceiling_record.no_overflow_until > now:
        return False
    report = backend.report
    return report.load < TARGET_LOAD or report.received_at < now - MAX_REPORT_AGE_SECONDS


class SlotCeilings:
    """Computes and cuts the slot ceilings of all backends."""

    __slots__ = (
        "_capacity",
        "_initial_slots",
        "_shared_state",
        "_slow_start",
        "_uses_load_reports",
        "largest_free_slots",
        "local_ceiling",
        "remote_ceiling",
    )

    def __init__(
        self, settings: Settings, slow_start: SlowStart, capacity: CapacityEstimate, shared_state: SharedState
    ) -> None:
        self._slow_start = slow_start
        self._capacity = capacity
        self._shared_state = shared_state
        self._uses_load_reports = settings.uses_load_reports
        # Until anything is learned, the ceilings of the local backends sum up to this proxy's part of all
        # tenant quotas.
        self._initial_slots = (
            sum(tenant.connection_quota for tenant in settings.tenants) / settings.proxy_count
        )
        self.local_ceiling = 0.0  # Common ceiling (slots) of the backends in the local zone.
        self.remote_ceiling = 0.0  # Common ceiling (slots) of remote backends, which get fewer connections.
        self.largest_free_slots = 0.0  # Upper bound for all candidates, weighted by their zone factors.

    def common_ceiling(self, backend: Backend) -> float:
        """Return the ceiling (slots) of a backend of mean capacity without a learned limit."""
        return self.local_ceiling if backend.is_local else self.remote_ceiling

    def expected_slots(self, backend: Backend) -> float:
        """Return the slots that this proxy is expected to fill on the backend after its warm-up."""
        mean_slots = self.common_ceiling(backend) - HEADROOM_SLOTS + EXPECTED_HEADROOM_SLOTS
        return max(MIN_EXPECTED_SLOTS, backend.relative_capacity * mean_slots)

    def refresh(self, now: float, candidates: list[Backend]) -> None:
        """Recompute capacities, common ceilings and the ceilings of all candidates.

        Called on each tick and after each change of the endpoint list.
        """
        self.largest_free_slots = 0.0
        if not candidates:
            return
        self._refresh_capacities(now, candidates)
        self._refresh_common_ceilings(candidates)
        for backend in candidates:
            self._recover(now, backend)
            self.update(now, backend)

    def _refresh_capacities(self, now: float, candidates: list[Backend]) -> None:
        if self._uses_load_reports:
            self._capacity.update(now, candidates)
        mean_weight = sum(b.weight for b in candidates) / len(candidates) or 1.0
        for backend in candidates:
            if not self._uses_load_reports:
                backend.relative_capacity = backend.weight / mean_weight
            backend.current_capacity = backend.relative_capacity
            if backend.started > 0:
                backend.current_capacity *= self._slow_start.capacity_share(now, backend)

    def _refresh_common_ceilings(self, candidates: list[Backend]) -> None:
        local = [b for b in candidates if b.is_local]
        remote = [b for b in candidates if not b.is_local]
        if self.local_ceiling == 0.0 and local:
            self.local_ceiling = self._initial_slots / len(local)
        self.local_ceiling = self._next_common_ceiling(self.local_ceiling, local)
        self.remote_ceiling = self._next_common_ceiling(self.remote_ceiling, remote)

    def _next_common_ceiling(self, ceiling: float, backends: list[Backend]) -> float:
        capacity = sum([b.current_capacity for b in backends])
        mean = sum([b.occupancy for b in backends]) / capacity if capacity > 0 else 0.0
        return max(ceiling * (1 - TICK_SECONDS / COMMON_CEILING_MEMORY_SECONDS), mean + HEADROOM_SLOTS)

    def _recover(self, now: float, backend: Backend) -> None:
        record = backend.ceiling_record
        if record.learned_limit > 0 and record.cut_until <= now:
            recovery = LIMIT_RECOVERY_FACTOR * self.common_ceiling(backend) * backend.relative_capacity
            record.learned_limit += recovery

    def update(self, now: float, backend: Backend) -> None:
        """Recompute the ceiling of one backend."""
        record = backend.ceiling_record
        ceiling = self._unlimited_ceiling(now, backend)
        if record.learned_limit > 0:
            # The limit applies with load reports too: connection setup can overload a backend that reports
            # a low load.
            is_cut = record.cut_until > now
            ceiling = min(ceiling, backend.occupancy if is_cut else record.learned_limit)
        backend.ceiling = 0.0 if record.no_overflow_until > now else ceiling
        self.raise_largest_free_slots(backend)

    def _unlimited_ceiling(self, now: float, backend: Backend) -> float:
        report = backend.report
        if report.load < 0:
            # Without a learned limit there is no sign that the backend is full, so the connections that it
            # already holds must not make it appear full.
            occupied = 0.0 if backend.ceiling_record.learned_limit > 0 else backend.occupancy
            return max(self.common_ceiling(backend) * backend.current_capacity, occupied)
        is_fresh = report.received_at > now - MAX_REPORT_AGE_SECONDS
        load = report.load if is_fresh else self._capacity.mean_reported_load
        mean_slots = max(HEADROOM_SLOTS, self._capacity.slots_at_full_load, self._shared_state.minimum_scale)
        backend.slots_at_full_load = mean_slots * backend.current_capacity
        return backend.occupancy + backend.slots_at_full_load * max(0.0, TARGET_LOAD - load)

    def cut(self, now: float, backend: Backend, blocks_overflow: bool) -> None:
        """Cut the backend's ceiling for some time.

        With ``blocks_overflow`` (the backend rejected or dropped connections, or missed the message latency
        objective) it gets no new connection until the cut ends. Otherwise it is only slow and may still
        overflow by one slot.
        """
        record = backend.ceiling_record
        if now >= record.cut_at + CUT_INTERVAL_SECONDS:
            self._cut_limit(now, backend, blocks_overflow)
        record.cut_until = max(record.cut_until, now + self._cut_duration(record))
        if blocks_overflow:
            record.no_overflow_until = record.cut_until
        backend.ceiling = 0.0 if blocks_overflow else min(backend.ceiling, backend.occupancy)

    def _cut_duration(self, record: CeilingRecord) -> float:
        """Return the duration of a cut in seconds."""
        if self._uses_load_reports:
            return CUT_WITH_REPORTS_SECONDS
        doublings = max(0, record.consecutive_rejections - 1)
        return exponential_backoff(
            REJECTION_BACKOFF_INITIAL_SECONDS, doublings, REJECTION_BACKOFF_MAX_SECONDS
        )

    def _cut_limit(self, now: float, backend: Backend, blocks_overflow: bool) -> None:
        record = backend.ceiling_record
        record.cut_at = now
        minimum = MIN_LIMIT_FACTOR * backend.current_capacity * self.common_ceiling(backend)
        factor = CUT_FACTOR if blocks_overflow else 1.0
        record.learned_limit = max(backend.occupancy * factor, minimum, MIN_LIMIT_SLOTS)
        if blocks_overflow:
            record.consecutive_rejections += 1

    def end_cut(self, now: float, backend: Backend) -> None:
        """End the cut of a backend whose latency is back to normal, unless its overflow is blocked."""
        if backend.ceiling_record.no_overflow_until <= now:
            backend.ceiling_record.cut_until = now

    def limit_to_reported_capacity(self, backend: Backend, load: float) -> None:
        """Limit a backend that reports a ``load`` over 1 to the occupancy that gives the target load."""
        backend.ceiling_record.learned_limit = backend.occupancy * TARGET_LOAD / load

    def connection_accepted(self, now: float, backend: Backend) -> None:
        """Record that the backend accepted a connection, and add a slot if this filled its last free one."""
        record = backend.ceiling_record
        if may_overflow(now, backend):
            record.consecutive_rejections = 0
        is_full = backend.ceiling - backend.occupancy < 1.0
        if backend.report.load >= 0 or not is_full or record.no_overflow_until > now:
            return
        if record.learned_limit > 0:
            record.learned_limit += 1.0
            backend.ceiling += 1.0
        else:
            backend.ceiling = max(backend.ceiling, backend.occupancy) + 1.0
        self.raise_largest_free_slots(backend)

    def raise_largest_free_slots(self, backend: Backend) -> None:
        """Raise ``largest_free_slots`` if the backend has more free slots."""
        free_slots = (backend.ceiling - backend.occupancy) * backend.zone_factor
        self.largest_free_slots = max(self.largest_free_slots, free_slots)

    def recompute_largest_free_slots(self, candidates: list[Backend]) -> None:
        """Set the upper bound to the exact maximum, in time linear in the number of candidates."""
        self.largest_free_slots = max(
            [(b.ceiling - b.occupancy) * b.zone_factor for b in candidates], default=0.0
        )
