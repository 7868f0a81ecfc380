"""Load shedding: cuts the ceiling of a slow backend and migrates some of its connections.

The rules:

- A message is slow if its latency exceeds a limit, a third of the shortest message latency objective. It cuts
  the backend's ceiling. Above 1.5 times the limit, a share of the backend's connections is migrated if
  another backend has free slots. Above 3 times the limit, which is the objective itself, the share is
  migrated even if no other backend has free slots. At a latency of 0.7 s or more, all connections of the
  backend are migrated.
- If loads are reported, only a message over its objective has an effect, and fewer connections are migrated.
  A single very long latency is treated as a short stall. After several late messages, two consecutive
  reports above 1 are trusted, and the connections in excess of the target load are migrated.
- A connection setup that takes more than 2.5 times the typical setup latency has waited behind queued work,
  and is treated like a slow message.

Inputs: message latencies and setup latencies in seconds, reported loads. Output: cut ceilings and
``MigrateConnection`` actions.

Why: an overloaded backend misses the deadlines of all its connections. Migrating some of them lets the rest
meet theirs.
"""

from __future__ import annotations

from saltcourse.balancing.load_reports import BUSY_REPORT_AGE_SECONDS, TARGET_LOAD, LoadReports
from saltcourse.balancing.migration import Migration
from saltcourse.balancing.response_latency import HUNG_AFTER_SECONDS
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.slot_ceilings import SlotCeilings
from saltcourse.balancing.state import Backend, Request
from saltcourse.shared_state.state import SharedState

# The slowness of a message is its latency divided by ``Settings.slow_message_latency``.
SLOWNESS_TO_SHED = 1.5
SLOWNESS_AT_OBJECTIVE = 3.0
SLOW_SETUP_FACTOR = 2.5  # Latency of a slow setup, as a multiple of the typical setup latency.
SETUP_LATENCY_GAIN = 0.05  # Weight of the last setup in the typical setup latency.
SHED_SHARE = 0.2  # Share of this proxy's connections to the backend that is migrated once a second.
SHED_SHARE_WITH_REPORTS = 0.1  # Lower if loads are reported, because a short stall looks like queued work.
LATE_MESSAGES_TO_TRUST_REPORTS = 3  # Consecutive late messages after which reports above 1 are trusted.


class LoadShedding:
    """Migrates connections away from slow backends and cuts their ceilings."""

    __slots__ = (
        "_ceilings",
        "_migration",
        "_reports",
        "_shared_state",
        "_slow_message_latency",
        "_typical_setup_latency",
        "_uses_load_reports",
    )

    def __init__(
        self,
        settings: Settings,
        ceilings: SlotCeilings,
        reports: LoadReports,
        migration: Migration,
        shared_state: SharedState,
    ) -> None:
        self._ceilings = ceilings
        self._reports = reports
        self._migration = migration
        self._shared_state = shared_state
        self._uses_load_reports = settings.uses_load_reports
        self._slow_message_latency = settings.slow_message_latency  # seconds
        # Moving average (s) over all backends; 0 until the first setup.
        self._typical_setup_latency = 0.0

    def message_latency_measured(self, now: float, backend: Backend, latency: float) -> None:
        """React to a message that took ``latency`` seconds on a connection to the backend."""
        slowness = latency / self._slow_message_latency
        is_late = slowness > SLOWNESS_AT_OBJECTIVE
        backend.late_messages = backend.late_messages + 1 if is_late else 0
        if self._uses_load_reports and is_late:
            self._react_with_reports(now, backend, latency)
        elif slowness > 1 and not self._uses_load_reports:
            self._react_without_reports(now, backend, latency, slowness)
        elif slowness <= 1:
            self._ceilings.end_cut(now, backend)

    def _react_with_reports(self, now: float, backend: Backend, latency: float) -> None:
        # A report shows the load better than a latency does, but it does not show queued work.
        self._reports.request_if_older(now, backend, BUSY_REPORT_AGE_SECONDS)
        # If the first late message has such a long latency, the backend has stalled: queued work builds up
        # gradually.
        if latency < HUNG_AFTER_SECONDS or backend.late_messages > 1:
            self._ceilings.cut(now, backend, blocks_overflow=True)
            self._shed(backend, SHED_SHARE_WITH_REPORTS)

    def _react_without_reports(self, now: float, backend: Backend, latency: float, slowness: float) -> None:
        is_late = slowness > SLOWNESS_AT_OBJECTIVE
        self._ceilings.cut(now, backend, blocks_overflow=is_late)
        if latency >= HUNG_AFTER_SECONDS:
            self._migration.migrate_all(backend)
        elif is_late or (slowness > SLOWNESS_TO_SHED and self._ceilings.largest_free_slots > 0):
            self._shed(backend, SHED_SHARE)

    def setup_latency_measured(self, now: float, backend: Backend, latency: float) -> None:
        """React to a connection whose setup took ``latency`` seconds."""
        if latency > SLOW_SETUP_FACTOR * self._typical_setup_latency > 0:
            self._ceilings.cut(now, backend, blocks_overflow=False)
            # One overload can slow down many setups in a burst. Only the setup that cut the ceiling sheds
            # connections.
            if self._ceilings.largest_free_slots > 0 and backend.ceiling_record.cut_at == now:
                self._shed(backend, SHED_SHARE_WITH_REPORTS if self._uses_load_reports else SHED_SHARE)
        typical = self._typical_setup_latency or latency
        longest = SLOW_SETUP_FACTOR * typical
        self._typical_setup_latency = typical + SETUP_LATENCY_GAIN * (min(latency, longest) - typical)

    def load_reported(self, backend: Backend) -> None:
        """Migrate the excess connections if late messages are followed by two reports above 1."""
        load = min(backend.report.load, backend.report.previous_load)
        if load > 1 and backend.late_messages >= LATE_MESSAGES_TO_TRUST_REPORTS:
            backend.late_messages = 0
            self._ceilings.limit_to_reported_capacity(backend, load)
            self._shed(backend, 1 - TARGET_LOAD / load)

    def _shed(self, backend: Backend, share: float) -> None:
        connections = list(backend.connections.values())
        if self._uses_load_reports:
            self._shed_groups(backend, connections, share)
        else:
            self._migration.migrate_share(connections, share)

    def _shed_groups(self, backend: Backend, connections: list[Request], share: float) -> None:
        """Migrate complete groups, the smallest first.

        A complete group frees its fixed cost at the backend and stays together elsewhere. Groups that a peer
        has on the same backend come last, because migrating only this proxy's connections frees no such cost.
        """
        connections.sort(
            key=lambda connection: (
                self._shared_state.peer_serves_group(backend.name, connection.group),
                backend.groups.get(connection.group, 0),
                connection.group,
            )
        )
        count = self._migration.sample_size(len(connections), share)
        groups = {connection.group for connection in connections[:count]}
        self._migration.migrate([c for c in connections if c.group in groups])
