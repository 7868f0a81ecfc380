"""Capacity estimate: derives from load reports how many slots of this proxy make up a backend's full load.

The rule: the slots at full load of a mean backend are this proxy's occupancy divided by the reported load,
both summed over all backends with a fresh report. The relative capacity of a machine type is the occupancy
of its backends, in units of a mean backend's full load, divided by their reported load. A few mean backends
are added to both as a prior.

Inputs: this proxy's occupancy (slots) and the reported load (load over capacity) of each candidate. Output:
slots at full load, relative capacity of each candidate, and the mean reported load.

Why: a reported load includes the connections of all proxies, so it shows how full a backend is but not how
many more connections this proxy may send. Pooling by machine type smooths the noise of single reports.
"""

from __future__ import annotations

from saltcourse.balancing.load_reports import MAX_REPORT_AGE_SECONDS
from saltcourse.balancing.state import Backend
from saltcourse.shared_state.state import SharedState

# Reports at or below this load are ignored: occupancy divided by so small a load is mostly noise.
MIN_USEFUL_LOAD = 0.02
PRIOR_LOAD = 3  # Number of fully loaded mean backends that are added to each machine type.
INITIAL_MEAN_LOAD = 0.5  # Assumed until reports have been received.


class CapacityEstimate:
    """Estimates the capacity of backends from their load reports."""

    __slots__ = ("_shared_state", "mean_reported_load", "slots_at_full_load")

    def __init__(self, shared_state: SharedState) -> None:
        self._shared_state = shared_state
        self.slots_at_full_load = 0.0  # This proxy's slots on a mean backend; 0 until estimated.
        self.mean_reported_load = INITIAL_MEAN_LOAD

    def update(self, now: float, candidates: list[Backend]) -> None:
        """Update the estimate from the fresh reports; without any it stays unchanged."""
        oldest = now - MAX_REPORT_AGE_SECONDS
        reporting = [
            b for b in candidates if b.report.received_at > oldest and b.report.load > MIN_USEFUL_LOAD
        ]
        occupancy = sum([b.occupancy for b in reporting])
        reported = sum([b.report.load for b in reporting])
        if occupancy <= 0:
            return
        self.slots_at_full_load = occupancy / reported
        self._shared_state.set_capacity_scale(self.slots_at_full_load)
        self.mean_reported_load = reported / len(reporting)
        capacities = {
            machine_type: self._relative_capacity([b for b in reporting if b.machine_type == machine_type])
            for machine_type in {b.machine_type for b in candidates}
        }
        for backend in candidates:
            backend.relative_capacity = capacities[backend.machine_type]

    def _relative_capacity(self, same_type: list[Backend]) -> float:
        expected = sum([b.occupancy for b in same_type]) / self.slots_at_full_load
        reported = sum([b.report.load for b in same_type])
        return (expected + PRIOR_LOAD) / (reported + PRIOR_LOAD)
