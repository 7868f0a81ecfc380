"""Slow start: spreads the first connections of a started backend evenly over its warm-up.

The rule: a backend that started ``age`` seconds ago has the share ``initial + (1 - initial) * age /
warm_up`` of its capacity, and at most 1. While the share is below 1, this proxy keeps a minimum interval
between its attempts at the backend. The interval is chosen so that all proxies together fill the backend
over its warm-up.

Inputs: the backend's start time from the endpoint list, the settings ``warm_up`` (s) and
``initial_capacity_share``, the slots that this proxy is expected to fill on the backend, and this proxy's
share of the fleet. Output: a capacity share from 0 to 1, and the earliest time of the next attempt (s).

Why: a new backend is empty, so without a limit all proxies would send to it at once, before its caches are
filled.
"""

from __future__ import annotations

from saltcourse.balancing.settings import Settings
from saltcourse.balancing.state import Backend
from saltcourse.shared_state.state import SharedState


class SlowStart:
    """Limits this proxy's attempts at backends that are warming up."""

    __slots__ = ("_initial_share", "_shared_state", "_warm_up")

    def __init__(self, settings: Settings, shared_state: SharedState) -> None:
        self._warm_up = settings.warm_up
        self._initial_share = settings.initial_capacity_share
        self._shared_state = shared_state

    def capacity_share(self, now: float, backend: Backend) -> float:
        """Return the share of its full capacity that the backend has now."""
        if backend.started <= 0 or self._warm_up <= 0:
            return 1.0
        age = max(0.0, now - backend.started)
        return min(1.0, self._initial_share + (1 - self._initial_share) * age / self._warm_up)

    def is_warming_up(self, now: float, backend: Backend) -> bool:
        """Return whether the backend has not reached its full capacity yet."""
        return self.capacity_share(now, backend) < 1.0

    def attempt_interval(self, now: float, expected_slots: float) -> float:
        """Return the interval (s) between this proxy's attempts of one slot each at a warming backend.

        ``expected_slots`` is the number of slots that this proxy fills on the backend after its warm-up.
        """
        slots = expected_slots * self._shared_state.relative_share(now)
        return self._warm_up / slots

    def delay_first_attempt(self, now: float, backend: Backend, expected_slots: float, draw: float) -> None:
        """Set the earliest time of the first attempt at a backend; ``draw`` is uniform in [0, 1).

        The random delay spreads the first attempts of all proxies, which learn of a new backend at the same
        time.
        """
        backend.next_attempt_at = now + draw * self.attempt_interval(now, expected_slots)

    def delay_next_attempt(self, now: float, backend: Backend, expected_slots: float, slots: float) -> None:
        """Set the earliest time of the next attempt, after one that takes ``slots`` slots."""
        backend.next_attempt_at = now + slots * self.attempt_interval(now, expected_slots)
