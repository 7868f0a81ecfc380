"""Slot ceilings: how many slots this proxy may fill on each backend.

The rules, for each backend:

- Where loads are reported, the ceiling is the occupancy plus the part of its full load that is left up to
  the target load.
- Else it is the common ceiling (the mean occupancy of its zone's side, local or remote, plus a few slots;
  forgotten slowly) in proportion to the backend's capacity.
- A backend that rejects, drops or is slow is cut: what it holds is taken as the most that it bears (the
  learned limit). It gets nothing for a while, longer each time if it rejects or drops. The limit recovers a
  little with each tick, and by one slot when the backend accepts a connection into its last free slot.

Inputs: occupancies and limits in slots, reported loads as load over capacity, times in seconds. Output:
``Backend.ceiling`` in slots, and the largest number of free slots of any backend.

Why: the weights of the list and the connection counts of this proxy alone do not say what a backend bears
when other proxies send to it too. Its own rejections, its latency and its reports do.
"""

from __future__ import annotations

from saltcourse.balancing.backoff import exponential_backoff
from saltcourse.balancing.capacity_estimate import CapacityEstimate
from saltcourse.balancing.load_reports import MAX_REPORT_AGE_SECONDS, TARGET_LOAD
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.slow_start import SlowStart
from saltcourse.balancing.state import Backend, CeilingRecord
from saltcourse.shared_state.state import SharedState

TICK_SECONDS = 1.0  # between refreshes of small fleets; short against a connection's life
HEADROOM_SLOTS = 2.0  # of the common ceiling above the mean occupancy, for a backend of mean capacity
EXPECTED_HEADROOM_SLOTS = 0.5  # above the mean occupancy, that slow start counts on
# In which the common ceiling is forgotten, at one refresh a second: slower with more than 150 candidates,
# which are refreshed less often, and faster while the list changes. Clients return within a connection's
# life.
COMMON_CEILING_MEMORY_SECONDS = 60.0
CUT_FACTOR = 0.9  # of its occupancy, to which a rejecting or dropping backend's limit is cut
MIN_LIMIT_FACTOR = 0.5  # of the common ceiling, which a cut leaves: a backend that holds little shows little
MIN_LIMIT_SLOTS = 0.5
CUT_INTERVAL_SECONDS = 1.0  # between cuts: one overload drops many connections at once, and is one cut
REJECTION_BACKOFF_INITIAL_SECONDS = 2.0  # without new connections after a rejection; doubles
REJECTION_BACKOFF_MAX_SECONDS = 8.0
CUT_WITH_REPORTS_SECONDS = 1.0  # the same where loads are reported: the next report says how full it is
LIMIT_RECOVERY_FACTOR = 0.05  # of the common ceiling, which the limit regains with each tick
MIN_EXPECTED_SLOTS = 0.25  # for slow start, where hardly anything is learned


def may_overflow(now: float, backend: Backend) -> bool:
    """Whether a full backend may get one more: it has not recently rejected, nor reports a full load."""
    if backend.ceiling_record.no_overflow_until > now:
        return False
    report = backend.report
    return report.load < TARGET_LOAD or report.received_at < now - MAX_REPORT_AGE_SECONDS


class SlotCeilings:
    """The ceilings of all backends, and what they are worked out from."""

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
        # What this proxy's tenants may hold fits on the local backends, before anything is learned.
        self._initial_slots = (
            sum(tenant.connection_quota for tenant in settings.tenants) / settings.proxy_count
        )
        self.local_ceiling = 0.0  # the common ceiling of the proxy's own zone (slots)
        self.remote_ceiling = 0.0  # that of other zones: this proxy sends there less
        self.largest_free_slots = 0.0  # an upper bound for any candidate, weighted by its zone factor

    def common_ceiling(self, backend: Backend) -> float:
        """Slots of a backend of mean capacity of which nothing is learned."""
        return self.local_ceiling if backend.is_local else self.remote_ceiling

    def expected_slots(self, backend: Backend) -> float:
        """Slots that this proxy usually fills on such a backend once it is warm."""
        mean_slots = self.common_ceiling(backend) - HEADROOM_SLOTS + EXPECTED_HEADROOM_SLOTS
        return max(MIN_EXPECTED_SLOTS, backend.relative_capacity * mean_slots)

    def refresh(self, now: float, candidates: list[Backend]) -> None:
        """Work out capacities, common ceilings and every candidate's ceiling; once a tick and list update."""
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
        """Work out one backend's ceiling."""
        record = backend.ceiling_record
        ceiling = self._unlimited_ceiling(now, backend)
        if record.learned_limit > 0:
            # Set-up work can overload a backend whose reported load is low: so its limit counts there too.
            is_cut = record.cut_until > now
            ceiling = min(ceiling, backend.occupancy if is_cut else record.learned_limit)
        backend.ceiling = 0.0 if record.no_overflow_until > now else ceiling
        self.raise_largest_free_slots(backend)

    def _unlimited_ceiling(self, now: float, backend: Backend) -> float:
        report = backend.report
        if report.load < 0:
            # Without a learned limit nothing says that it is full: what it holds is no reason to reject.
            held = 0.0 if backend.ceiling_record.learned_limit > 0 else backend.occupancy
            return max(self.common_ceiling(backend) * backend.current_capacity, held)
        is_fresh = report.received_at > now - MAX_REPORT_AGE_SECONDS
        load = report.load if is_fresh else self._capacity.mean_reported_load
        mean_slots = max(HEADROOM_SLOTS, self._capacity.slots_at_full_load, self._shared_state.minimum_scale)
        backend.slots_at_full_load = mean_slots * backend.current_capacity
        return backend.occupancy + backend.slots_at_full_load * max(0.0, TARGET_LOAD - load)

    def cut(self, now: float, backend: Backend, blocks_overflow: bool) -> None:
        """Cut a backend's ceiling.

        ``blocks_overflow``: it rejected, dropped connections or missed the message objective, and gets
        nothing until the backoff ends; else it is only slow and may still overflow by one slot.
        """
        record = backend.ceiling_record
        if now >= record.cut_at + CUT_INTERVAL_SECONDS:
            self._cut_limit(now, backend, blocks_overflow)
        record.cut_until = max(record.cut_until, now + self._cut_duration(record))
        if blocks_overflow:
            record.no_overflow_until = record.cut_until
        backend.ceiling = 0.0 if blocks_overflow else min(backend.ceiling, backend.occupancy)

    def _cut_duration(self, record: CeilingRecord) -> float:
        """Seconds for which a cut holds."""
        if self._uses_load_reports:
            return CUT_WITH_REPORTS_SECONDS
        doublings = max(0, record.consecutive_rejections - 1)
        return exponential_backoff(
            REJECTION_BACKOFF_INITIAL_SECONDS, doublings, REJECTION_BACKOFF_MAX_SECONDS
        )

    def _cut_limit(self, now: float, backend: Backend, blocks_overflow: bool) -> None:
        record = backend.ceiling_record
        record.cut_at = now
        least = MIN_LIMIT_FACTOR * backend.current_capacity * self.common_ceiling(backend)
        factor = CUT_FACTOR if blocks_overflow else 1.0
        record.learned_limit = max(backend.occupancy * factor, least, MIN_LIMIT_SLOTS)
        if blocks_overflow:
            record.consecutive_rejections += 1

    def end_cut(self, now: float, backend: Backend) -> None:
        """End the cut of a backend that is not slow any more, unless it may not overflow."""
        if backend.ceiling_record.no_overflow_until <= now:
            backend.ceiling_record.cut_until = now

    def limit_to_reported_capacity(self, backend: Backend, load: float) -> None:
        """Limit a backend that reports ``load`` (over 1) to what makes the target load."""
        backend.ceiling_record.learned_limit = backend.occupancy * TARGET_LOAD / load

    def connection_accepted(self, now: float, backend: Backend) -> None:
        """Record that the backend accepted a connection: into its last free slot, this adds one."""
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
        """Keep the upper bound: the backend may have more free slots than before."""
        free_slots = (backend.ceiling - backend.occupancy) * backend.zone_factor
        self.largest_free_slots = max(self.largest_free_slots, free_slots)

    def recompute_largest_free_slots(self, candidates: list[Backend]) -> None:
        """Replace the upper bound by the true value; costs a look at each candidate."""
        self.largest_free_slots = max(
            [(b.ceiling - b.occupancy) * b.zone_factor for b in candidates], default=0.0
        )
