"""Group affinity: keeps the connections of a group together on few backends.

The rules:

- A new connection of a group goes to a backend that already serves the group, through this proxy or a peer,
  while that backend has free slots and is not much fuller than the mean. Otherwise it goes to another backend
  with free slots.
- One of several eligible backends is chosen by weighted rendezvous hashing, with the free slots as weights.
  The hash depends on the group, so proxies that see the same free slots choose the same backend without
  communication.
- If loads are reported, a group is extended to an additional backend only if about a third of that backend's
  full load is free. Otherwise the connection is rejected. While the mean reported load is low, local backends
  are preferred.

Inputs: the group, the backends that the request may be sent to, free slots and reported loads. Output: one
backend or None.

Why: a group has a fixed cost at each backend that serves any of its connections. A fleet that spreads its
groups is full with half as many connections, so rejecting a connection is better than spreading its group.
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

GROUP_IMBALANCE_SLOTS = 5.0  # A backend this far above the mean occupancy gets no connections of groups.
ADDITIONAL_BACKEND_FREE_SHARE = 0.36  # Free share of a backend's full load that an additional group requires.
LIGHT_LOAD = 0.45  # Below this mean reported load, crossing zones costs more than an additional backend.
DIGEST_BYTES = 6


def group_occupancy_limit(backends: Sequence[Backend]) -> float:
    """Return the occupancy (slots) up to which a backend of mean capacity gets connections of groups."""
    occupancy = sum([b.occupancy for b in backends])
    return occupancy / max(1.0, sum([b.current_capacity for b in backends])) + GROUP_IMBALANCE_SLOTS


def rendezvous_choice(group: str, backends: Sequence[Backend], weights: Sequence[float]) -> Backend | None:
    """Return the backend with the best score for the group, or None if no weight is above 0.

    Over all groups, a backend is chosen with a probability proportional to its weight. For one group, equal
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
    """Chooses the backends of connections that belong to a group."""

    __slots__ = ("_capacity", "_pool", "_shared_state", "_uses_load_reports")

    def __init__(
        self, settings: Settings, pool: BackendPool, capacity: CapacityEstimate, shared_state: SharedState
    ) -> None:
        self._uses_load_reports = settings.uses_load_reports
        self._pool = pool
        self._capacity = capacity
        self._shared_state = shared_state

    def choose(self, group: str, allowed: list[Backend]) -> Backend | None:
        """Return one of the ``allowed`` backends for the group's next connection, or None."""
        serving = [
            b for b in allowed if group in b.groups or self._shared_state.peer_serves_group(b.name, group)
        ]
        if self._uses_load_reports:
            return self._choose_by_reports(group, serving, allowed)
        limit = group_occupancy_limit(self._pool.candidates)
        return self._choose_below(group, serving, limit) or self._choose_below(group, allowed, limit)

    def _choose_below(self, group: str, backends: list[Backend], limit: float) -> Backend | None:
        # The weights ignore zones, because an additional backend costs more than crossing a zone.
        weights = [min(b.ceiling, limit * b.current_capacity) - b.occupancy for b in backends]
        return rendezvous_choice(group, backends, weights)

    def _choose_by_reports(
        self, group: str, serving: list[Backend], allowed: list[Backend]
    ) -> Backend | None:
        min_share = ADDITIONAL_BACKEND_FREE_SHARE if serving else 0.0
        with_free_slots = [b for b in allowed if b.ceiling - b.occupancy >= min_share * b.slots_at_full_load]
        if self._capacity.mean_reported_load < LIGHT_LOAD:
            local = self._choose_free(group, [b for b in serving if b.is_local])
            local = local or self._choose_free(group, [b for b in with_free_slots if b.is_local])
            if local is not None:
                return local
        return self._choose_free(group, serving) or self._choose_free(group, with_free_slots)

    def _choose_free(self, group: str, backends: list[Backend]) -> Backend | None:
        weights = [(b.ceiling - b.occupancy) * b.zone_factor for b in backends]
        return rendezvous_choice(group, backends, weights)
