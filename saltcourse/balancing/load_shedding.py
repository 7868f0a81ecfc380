"""Load shedding: a backend that is slow gets nothing new, and a share of its connections is migrated away.

The rules:

- A message slower than a third of the shortest message objective is slow: the backend's ceiling is cut.
  From 1.5 times that on a share of its connections is migrated if another backend has free slots; from 3
  times on, the objective itself, even if none has. A message that takes 0.7 s migrates all of them.
- Where loads are reported only a message past its objective counts, and less is migrated; a single very
  long delay is taken for a short stall. After several late messages two reports above 1 in a row are
  believed, and all that is over the target load is migrated.
- A set-up that takes 2.5 times the usual one waited behind queued work: it counts like a slow message.

Inputs: message latencies and set-up latencies in seconds, reported loads. Output: cut ceilings and
``MigrateConnection`` actions.

Why: a backend with more work than it can do fails its deadlines for all of its connections; a few that are
served elsewhere are better than all that fail.
"""

from __future__ import annotations

from saltcourse.balancing.load_reports import BUSY_REPORT_AGE_SECONDS, TARGET_LOAD, LoadReports
from saltcourse.balancing.migration import Migration
from saltcourse.balancing.response_latency import HUNG_AFTER_SECONDS
from saltcourse.balancing.settings import Settings
from saltcourse.balancing.slot_ceilings import SlotCeilings
from saltcourse.balancing.state import Backend, Request
from saltcourse.shared_state.state import SharedState

# Latencies over the one from which on a message is slow (``Settings.slow_message_latency``).
SLOWNESS_TO_SHED = 1.5
SLOWNESS_AT_OBJECTIVE = 3.0
SLOW_SETUP_FACTOR = 2.5  # of the usual set-up latency
SETUP_LATENCY_GAIN = 0.05  # weight of the last set-up in the usual latency
SHED_SHARE = 0.2  # of this proxy's connections there, once a second
SHED_SHARE_WITH_REPORTS = 0.1  # where loads are reported: a short stall looks like queued work
LATE_MESSAGES_TO_TRUST_REPORTS = 3  # late messages in a row after which reports above 1 are believed


class LoadShedding:
    """Reacts to slow backends."""

    __slots__ = (
        "_ceilings",
        "_migration",
        "_reports",
        "_shared_state",
        "_slow_message_latency",
        "_uses_load_reports",
        "_typical_setup_latency",
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
        self._slow_message_latency = settings.slow_message_latency  # s
        self._typical_setup_latency = 0.0  # s that a set-up takes, over all backends; 0 until one is timed

    def message_latency_measured(self, now: float, backend: Backend, latency: float) -> None:
        """React to a message that took ``latency`` seconds on a connection there."""
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
        # A report shows the load better than a latency does, but not that work is queued.
        self._reports.request_if_older(now, backend, BUSY_REPORT_AGE_SECONDS)
        # So long at once is a stall: work queues up slowly.
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
        """React to a connection that was established after ``latency`` seconds."""
        if latency > SLOW_SETUP_FACTOR * self._typical_setup_latency > 0:
            self._ceilings.cut(now, backend, blocks_overflow=False)
            # In a burst many set-ups are slow by one overload: only the one that cut the ceiling sheds.
            if self._ceilings.largest_free_slots > 0 and backend.ceiling_record.cut_at == now:
                self._shed(backend, SHED_SHARE_WITH_REPORTS if self._uses_load_reports else SHED_SHARE)
        usual = self._typical_setup_latency or latency
        longest = SLOW_SETUP_FACTOR * usual
        self._typical_setup_latency = usual + SETUP_LATENCY_GAIN * (min(latency, longest) - usual)

    def load_reported(self, backend: Backend) -> None:
        """Migrate all that is over capacity after two reports above 1 in a row behind late messages."""
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
        """Migrate the smallest groups first, and complete.

        Each frees what it cost, and finds its others elsewhere. A group that a peer has there too goes last,
        for migrating this proxy's part of it frees nothing.
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
