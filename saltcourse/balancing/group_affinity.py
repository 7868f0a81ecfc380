"""Group affinity: connections of a group are kept together, on backends that hold some of it already.

The rules:

- A group's next connection goes to a backend that holds the group (through this proxy or a peer) while that
  has free slots and is not much fuller than the mean; else to another one with free slots.
- Among several, the choice is weighted rendezvous hashing: a draw in proportion to free slots whose chance
  is the group's own, so that proxies that see the same free slots choose the same backend without
  communicating.
- Where loads are reported, a group opens at a further backend only if that has a third of its full load
  free, and is rejected else. While the reported load is light, local backends come first.

Inputs: the group, the backends that a request may go to, free slots and reported loads. Output: one backend
or None.

Why: a group costs each backend that holds any of it. A fleet that spreads its groups is full with half the
connections: rejected is better than spread.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

from saltcourse.balancing.backend_pool import BackendPool
from saltcourse.balancing.capacity_estimate import CapacityEstimate
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.state import Backend
from saltcourse.shared_state.state import SharedState

GROUP_IMBALANCE_SLOTS = 5.0  # above the mean, up to which a backend gets more of a group that it holds
ADDITIONAL_BACKEND_FREE_SHARE = 0.36  # of a backend's full load, free, for a group to open there as well
LIGHT_LOAD = 0.45  # mean reported load under which crossing zones costs more than a group's further backend
DIGEST_BYTES = 6


def group_occupancy_limit(backends: Sequence[Backend]) -> float:
    """Slots that a backend of mean capacity may hold and still get more of a group that it holds."""
    occupancy = sum([b.occupancy for b in backends])
    return occupancy / max(1.0, sum([b.current_capacity for b in backends])) + GROUP_IMBALANCE_SLOTS


def rendezvous_choice(group: str, backends: Sequence[Backend], weights: Sequence[float]) -> Backend | None:
    """The backend with the best score for the group; None where no weight is above 0.

    Over all groups a backend is chosen with a chance in proportion to its weight; for one group the same
    weights always give the same choice.
    """
    scores = [
        _score(group, backend, weight) if weight > 0 else 0.0
        for backend, weight in zip(backends, weights, strict=True)
    ]
    best, index = max(((score, index) for index, score in enumerate(scores)), default=(0.0, 0))
    return backends[index] if best > 0 else None


def _score(group: str, backend: Backend, weight: float) -> float:
    digest = hashlib.blake2b(f"{group} {backend.name}".encode(), digest_size=DIGEST_BYTES).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / 2 ** (8 * DIGEST_BYTES)
    return -weight / math.log(uniform)


class GroupAffinity:
    """Chooses the backend of a group's next connection."""

    __slots__ = ("_capacity", "_pool", "_shared_state", "_uses_load_reports")

    def __init__(
        self, settings: Settings, pool: BackendPool, capacity: CapacityEstimate, shared_state: SharedState
    ) -> None:
        self._uses_load_reports = settings.uses_load_reports
        self._pool = pool
        self._capacity = capacity
        self._shared_state = shared_state

    def choose(self, group: str, allowed: list[Backend]) -> Backend | None:
        """One of the ``allowed`` backends, or None."""
        holding = [
            b for b in allowed if group in b.groups or self._shared_state.peer_serves_group(b.name, group)
        ]
        if self._uses_load_reports:
            return self._choose_by_reports(group, holding, allowed)
        most = group_occupancy_limit(self._pool.candidates)
        return self._choose_below(group, holding, most) or self._choose_below(group, allowed, most)

    def _choose_below(self, group: str, backends: list[Backend], most: float) -> Backend | None:
        # What a group costs outweighs what a crossing does: zones do not count.
        weights = [min(b.ceiling, most * b.current_capacity) - b.occupancy for b in backends]
        return rendezvous_choice(group, backends, weights)

    def _choose_by_reports(
        self, group: str, holding: list[Backend], allowed: list[Backend]
    ) -> Backend | None:
        least = ADDITIONAL_BACKEND_FREE_SHARE if holding else 0.0
        with_free_slots = [b for b in allowed if b.ceiling - b.occupancy >= least * b.slots_at_full_load]
        if self._capacity.mean_reported_load < LIGHT_LOAD:
            local = self._choose_free(group, [b for b in holding if b.is_local])
            local = local or self._choose_free(group, [b for b in with_free_slots if b.is_local])
            if local is not None:
                return local
        return self._choose_free(group, holding) or self._choose_free(group, with_free_slots)

    def _choose_free(self, group: str, backends: list[Backend]) -> Backend | None:
        weights = [(b.ceiling - b.occupancy) * b.zone_factor for b in backends]
        return rendezvous_choice(group, backends, weights)
