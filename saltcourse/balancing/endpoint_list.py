"""Endpoint list: applies updates of the list to the pool of backends, and schedules the calls to discovery.

The rules:

- An update contains either the changed entries or the complete list. A backend that is missing from a
  complete list is removed.
- A backend with a later start time is a new process, for which all learned state is reset. Its first attempt
  is delayed by a random part of its slow-start interval.
- When a backend drains, or an update removes it explicitly, its connections are migrated before it closes
  them. When it is only missing from a complete list, nothing is migrated, because the list may be stale.
- If the list is polled, discovery is first called after a random delay, so that proxies that start together
  do not call at the same time. A failed call is retried with a backoff that doubles from 1 s to at most 2 s,
  less the duration of the call, multiplied by a random factor from 0.5 to 1. Every second retry fetches the
  complete list instead of watching it, because a fetch may succeed while a watch fails. After a fetch the
  list is watched again.

Inputs: ``EndpointsUpdated`` events, start times and the current time in seconds. Output: the backends of the
pool, and the actions ``SetTimer``, ``WatchEndpoints``, ``FetchEndpoints`` and ``MigrateConnection``.

Why: a list that is stale by more than a few seconds sends clients to backends that no longer exist, and a
discovery service that all proxies call at the same time answers none of them.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from saltcourse.balancing.actions import Action, FetchEndpoints, SetTimer, WatchEndpoints
from saltcourse.balancing.backend_pool import BackendPool
from saltcourse.balancing.backoff import exponential_backoff
from saltcourse.balancing.events import BackendState, Endpoint, EndpointsUpdated, EndpointUpdateKind
from saltcourse.balancing.migration import Migration
from saltcourse.balancing.selection import REMOTE_ZONE_FACTOR
from saltcourse.balancing.settings import MAX_LIST_RETRY_DELAY_SECONDS, DiscoveryMode, Settings
from saltcourse.balancing.slot_ceilings import SlotCeilings
from saltcourse.balancing.slow_start import SlowStart
from saltcourse.balancing.state import LONG_AGO, Backend
from saltcourse.balancing.timers import ENDPOINT_LIST_TOKEN

FIRST_CALL_SECONDS_PER_PROXY = 0.2  # The first calls of n proxies are spread over n times this interval.
RETRY_BACKOFF_INITIAL_SECONDS = 1.0
MIN_RETRY_BACKOFF_SECONDS = 0.3  # Lower bound of the wait, before its random factor.
WATCH_AFTER_FETCH_SECONDS = 0.5  # Delay from a fetched list to the next watch, before its random factor.


class DiscoveryScheduler:
    """Decides when to call discovery, and whether to watch or to fetch the endpoint list."""

    __slots__ = ("_actions", "_called_at", "_failures", "_is_fetching", "_random", "_settings")

    def __init__(self, settings: Settings, actions: list[Action], random_source: random.Random) -> None:
        self._settings = settings
        self._actions = actions
        self._random = random_source
        self._failures = 0  # consecutive failed calls
        self._is_fetching = False  # Whether the last call was a fetch and not a watch.
        self._called_at = LONG_AGO

    def start(self) -> None:
        """Set the timer of the first call, if the list is polled."""
        if self._settings.discovery_mode is DiscoveryMode.POLLED:
            spread = min(
                self._settings.poll_interval / 2, FIRST_CALL_SECONDS_PER_PROXY * self._settings.proxy_count
            )
            self._set_timer(spread * self._random.random())

    def timer_fired(self, now: float) -> None:
        """Watch the endpoint list, or fetch it after an odd number of failures."""
        self._called_at = now
        self._is_fetching = self._failures % 2 == 1
        self._actions.append(FetchEndpoints() if self._is_fetching else WatchEndpoints())

    def call_failed(self, now: float) -> None:
        """Set the timer of the next call so that backoff and call together fit in the poll interval."""
        self._failures += 1
        longest = min(self._settings.poll_interval, MAX_LIST_RETRY_DELAY_SECONDS)
        backoff = exponential_backoff(RETRY_BACKOFF_INITIAL_SECONDS, self._failures - 1, longest)
        elapsed = now - self._called_at
        wait = max(MIN_RETRY_BACKOFF_SECONDS, backoff - elapsed)
        self._set_timer(wait * (0.5 + self._random.random() / 2))

    def list_received(self) -> None:
        """Record that discovery has responded, and schedule a watch after a fetch."""
        self._failures = 0
        if self._is_fetching:
            self._is_fetching = False
            self._set_timer(WATCH_AFTER_FETCH_SECONDS * (0.5 + self._random.random()))

    def _set_timer(self, delay: float) -> None:
        self._actions.append(SetTimer(delay, ENDPOINT_LIST_TOKEN))


@dataclass(slots=True, eq=False)
class EndpointList:
    """Applies updates of the endpoint list to the pool of backends."""

    local_zone: str
    pool: BackendPool
    discovery: DiscoveryScheduler
    slow_start: SlowStart
    ceilings: SlotCeilings
    migration: Migration
    random_source: random.Random

    def apply(self, now: float, event: EndpointsUpdated) -> bool:
        """Apply an update, and return whether anything other than weights may have changed."""
        if event.kind is EndpointUpdateKind.UNAVAILABLE:
            self.discovery.call_failed(now)
            return False
        if event.kind is not EndpointUpdateKind.CACHED:
            self.discovery.list_received()
        is_complete = event.kind is not EndpointUpdateKind.DELTA
        if is_complete:
            self._remove_missing(event.endpoints)
        has_changed = is_complete
        for endpoint in event.endpoints:
            known = self.pool.backends.get(endpoint.backend)
            if known and known.state is endpoint.state and known.started == endpoint.started:
                known.weight = endpoint.weight  # The new weight takes effect at the next tick.
                continue
            has_changed = True
            backend = self._add(now, endpoint) if known is None else self._change(now, known, endpoint)
            is_removed = backend.state is BackendState.REMOVED and not is_complete
            if backend.state is BackendState.DRAINING or is_removed:
                self.migration.migrate_all(backend)
        return has_changed

    def _remove_missing(self, endpoints: tuple[Endpoint, ...]) -> None:
        listed = {endpoint.backend for endpoint in endpoints}
        for backend in self.pool.backends.values():
            if backend.name not in listed:
                backend.state = BackendState.REMOVED

    def _add(self, now: float, endpoint: Endpoint) -> Backend:
        backend = self.pool.backends[endpoint.backend] = Backend(endpoint)
        self._set_zone_factor(backend)
        self._delay_first_attempt(now, backend)
        return backend

    def _change(self, now: float, backend: Backend, endpoint: Endpoint) -> Backend:
        is_restarted = endpoint.started > backend.started
        backend.update(endpoint)
        self._set_zone_factor(backend)
        if is_restarted:
            backend.reset(now)
            self._delay_first_attempt(now, backend)
        return backend

    def _set_zone_factor(self, backend: Backend) -> None:
        backend.is_local = backend.zone == self.local_zone
        backend.zone_factor = 1.0 if backend.is_local else REMOTE_ZONE_FACTOR

    def _delay_first_attempt(self, now: float, backend: Backend) -> None:
        if self.slow_start.is_warming_up(now, backend):
            draw = self.random_source.random()
            expected_slots = self.ceilings.expected_slots(backend)
            self.slow_start.delay_first_attempt(now, backend, expected_slots, draw)
