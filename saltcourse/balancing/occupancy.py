"""Occupancy: measures the load that this proxy puts on each backend, in slots.

The rule: each attempt in flight and each connection counts with its load. One slot is the mean of the loads
that have been reported. Each group with at least one attempt or connection at a backend adds ``GROUP_SLOTS``.

Inputs: loads in seconds of work per second, 0 if unknown. Output: ``Backend.occupancy`` in slots.

Why: slots make ceilings independent of the absolute loads of a deployment. The slots of a group stand for
work that a backend does once for all connections of the group.
"""

from __future__ import annotations

from saltcourse.balancing.slot_ceilings import SlotCeilings
from saltcourse.balancing.state import Backend, Request
from saltcourse.shared_state.state import SharedState

GROUP_SLOTS = 3.0  # Cost of a group at each backend that serves any of its connections.
MAX_LOADS_IN_MEAN = 100  # After this number of loads, the mean becomes an exponential moving average.


class Occupancy:
    """Counts the attempts and connections of each backend, and their slots."""

    __slots__ = ("_ceilings", "_loads_in_mean", "_mean_load", "_shared_state")

    def __init__(self, ceilings: SlotCeilings, shared_state: SharedState) -> None:
        self._ceilings = ceilings
        self._shared_state = shared_state
        self._mean_load = 0.0  # Load of one slot (seconds of work per second); 0 before the first load.
        self._loads_in_mean = 0

    def slots_of(self, load: float) -> float:
        """Include a load in the mean load, and return it in slots; 1 if the load is unknown."""
        if load <= 0:
            return 1.0
        # The first loads form an arithmetic mean, so that one atypical load does not distort it for long.
        self._loads_in_mean += 1
        self._mean_load += (load - self._mean_load) / min(self._loads_in_mean, MAX_LOADS_IN_MEAN)
        return load / self._mean_load

    def add(self, backend: Backend, request: Request) -> None:
        """Add an attempt that starts at the backend."""
        backend.occupancy += request.slots
        backend.count += 1
        group = request.group
        if not group:
            return
        if group not in backend.groups:
            backend.occupancy += GROUP_SLOTS
            self._shared_state.record_group(backend.name, group, True)
        backend.groups[group] = backend.groups.get(group, 0) + 1

    def remove(self, backend: Backend, request: Request) -> None:
        """Remove an attempt, or its connection, that has ended."""
        if request.group:
            self._remove_from_group(backend, request.group)
        # Without any attempt or connection the occupancy is exactly 0; this drops rounding errors.
        backend.occupancy = max(0.0, backend.occupancy - request.slots) if backend.count > 1 else 0.0
        backend.count -= 1
        self._ceilings.raise_largest_free_slots(backend)

    def _remove_from_group(self, backend: Backend, group: str) -> None:
        backend.groups[group] -= 1
        if backend.groups[group]:
            return
        del backend.groups[group]
        self._shared_state.record_group(backend.name, group, False)
        backend.occupancy -= GROUP_SLOTS

    def change_load(self, backend: Backend, request: Request, load: float) -> None:
        """Change the load (seconds of work per second) of a connection at the backend."""
        before = request.slots
        request.slots = self.slots_of(load)
        backend.occupancy = max(0.0, backend.occupancy + request.slots - before)
