"""Occupancy: the load that this proxy puts on each backend, counted in slots.

The rule: each attempt in flight and each connection counts with its load; a load of one slot is the mean of
all loads that were reported. Each group with at least one of them at a backend adds ``GROUP_SLOTS`` to it.

Inputs: loads in seconds of work per second, 0 where none is known. Output: ``Backend.occupancy`` in slots.

Why: the slot makes ceilings comparable whatever the deployment's loads are. The cost of a group is the work
that a backend does once for all of its connections.
"""

from __future__ import annotations

from saltcourse.balancing.slot_ceilings import SlotCeilings
from saltcourse.balancing.state import Backend, Request
from saltcourse.shared_state.state import SharedState

GROUP_SLOTS = 3.0  # that a group costs at each backend that holds any of it
MAX_LOADS_IN_MEAN = 100  # loads over which the load of one slot is a mean


class Occupancy:
    """Counts what is in flight and established at each backend."""

    __slots__ = ("_ceilings", "_loads_in_mean", "_mean_load", "_shared_state")

    def __init__(self, ceilings: SlotCeilings, shared_state: SharedState) -> None:
        self._ceilings = ceilings
        self._shared_state = shared_state
        self._mean_load = 0.0  # load of one slot; 0 until a load was reported
        self._loads_in_mean = 0

    def slots_of(self, load: float) -> float:
        """Convert a load to slots; it also counts towards the mean load."""
        if load <= 0:
            return 1.0
        # A plain mean at first: one odd connection must not set the measure for long.
        self._loads_in_mean += 1
        self._mean_load += (load - self._mean_load) / min(self._loads_in_mean, MAX_LOADS_IN_MEAN)
        return load / self._mean_load

    def add(self, backend: Backend, request: Request) -> None:
        """Count an attempt that starts there."""
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
        """Stop counting an attempt, or its connection, that has ended."""
        if request.group:
            self._remove_from_group(backend, request.group)
        # The last one leaves exactly nothing, whatever rounding has left.
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
        """Count a connection there with another load."""
        before = request.slots
        request.slots = self.slots_of(load)
        backend.occupancy = max(0.0, backend.occupancy + request.slots - before)
