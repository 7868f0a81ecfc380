"""Slow start: a backend that has just started gets its connections evenly over its warm-up.

The rule: a backend that started ``age`` seconds ago has the share ``initial + (1 - initial) * age /
warm_up`` of its capacity, at most all of it. While that is below 1, this proxy starts attempts there no
closer together than an interval, chosen so that all proxies together fill the backend over its warm-up.

Inputs: the backend's start time from the endpoint list, the settings ``warm_up`` (s) and
``initial_capacity_share``, the slots that this proxy usually fills on such a backend, and this proxy's
share of the fleet. Output: a capacity share from 0 to 1, and the earliest time of the next attempt (s).

Why: a new backend is empty, so that every proxy would send to it at once, before its caches are filled.
"""

from __future__ import annotations

from saltcourse.balancing.settings import Settings
from saltcourse.balancing.state import Backend
from saltcourse.shared_state.state import SharedState


class SlowStart:
    """The warm-up of backends, as this proxy paces it."""

    __slots__ = ("_initial_share", "_shared_state", "_warm_up")

    def __init__(self, settings: Settings, shared_state: SharedState) -> None:
        self._warm_up = settings.warm_up
        self._initial_share = settings.initial_capacity_share
        self._shared_state = shared_state

    def capacity_share(self, now: float, backend: Backend) -> float:
        """The share of its capacity that a backend surely has by now."""
        if backend.started <= 0 or self._warm_up <= 0:
            return 1.0
        age = max(0.0, now - backend.started)
        return min(1.0, self._initial_share + (1 - self._initial_share) * age / self._warm_up)

    def is_warming_up(self, now: float, backend: Backend) -> bool:
        """Whether the backend has less than its full capacity yet."""
        return self.capacity_share(now, backend) < 1.0

    def attempt_interval(self, now: float, expected_slots: float) -> float:
        """Seconds between this proxy's attempts of one slot each at a backend that warms up.

        ``expected_slots``: what this proxy usually fills on such a backend.
        """
        slots = expected_slots * self._shared_state.relative_share(now)
        return self._warm_up / slots

    def delay_first_attempt(self, now: float, backend: Backend, expected_slots: float, draw: float) -> None:
        """Set the earliest first attempt at a backend that is new here; ``draw`` is uniform in [0, 1).

        All proxies learn of a started backend at once: each sends its first attempt at its own moment.
        """
        backend.next_attempt_at = now + draw * self.attempt_interval(now, expected_slots)

    def delay_next_attempt(self, now: float, backend: Backend, expected_slots: float, slots: float) -> None:
        """Set the earliest next attempt after one of ``load`` slots."""
        backend.next_attempt_at = now + slots * self.attempt_interval(now, expected_slots)
