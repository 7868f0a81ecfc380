"""Capacity from load reports: how many of this proxy's slots make up a backend's full load.

The rule: over all backends with a fresh report, this proxy's own slots divided by the sum of the reported
loads are its slots at full load on a mean backend. A machine type's relative capacity is the same quotient
for its backends alone, with a few mean backends mixed in.

Inputs: own occupancy (slots) and reported load (load over capacity) of each candidate. Output: slots at full
load, relative capacity of each candidate, and the mean reported load.

Why: a reported load counts the connections of all proxies, so it says how full a backend is but not
how many more this proxy may send. Pooling by machine type smooths the noise of single reports.
"""

from __future__ import annotations

from saltcourse.balancing.load_reports import MAX_REPORT_AGE_SECONDS
from saltcourse.balancing.state import Backend
from saltcourse.shared_state.state import SharedState

MIN_USEFUL_LOAD = 0.02  # reported load; below it the quotient is noise
PRIOR_LOAD = 3  # backends' full loads of mean capacity mixed into that of each machine type
INITIAL_MEAN_LOAD = 0.5  # assumed until reports have come


class CapacityEstimate:
    """What the load reports show of the capacity of backends."""

    __slots__ = ("_shared_state", "mean_reported_load", "slots_at_full_load")

    def __init__(self, shared_state: SharedState) -> None:
        self._shared_state = shared_state
        self.slots_at_full_load = 0.0  # of this proxy on a mean backend; 0 until known
        self.mean_reported_load = INITIAL_MEAN_LOAD

    def update(self, now: float, candidates: list[Backend]) -> None:
        """Estimate anew from the fresh reports; without any the last estimate stays."""
        oldest = now - MAX_REPORT_AGE_SECONDS
        reporting = [
            b for b in candidates if b.report.received_at > oldest and b.report.load > MIN_USEFUL_LOAD
        ]
        own = sum([b.occupancy for b in reporting])
        reported = sum([b.report.load for b in reporting])
        if own <= 0:
            return
        self.slots_at_full_load = own / reported
        self._shared_state.set_capacity_scale(self.slots_at_full_load)
        self.mean_reported_load = reported / len(reporting)
        capacities = {
            kind: self._relative_capacity([b for b in reporting if b.kind == kind])
            for kind in {b.kind for b in candidates}
        }
        for backend in candidates:
            backend.relative_capacity = capacities[backend.kind]

    def _relative_capacity(self, same_kind: list[Backend]) -> float:
        expected = sum([b.occupancy for b in same_kind]) / self.slots_at_full_load
        reported = sum([b.report.load for b in same_kind])
        return (expected + PRIOR_LOAD) / (reported + PRIOR_LOAD)
