"""Disseminates committed configuration changes to all members: announcements, fetches and snapshots.

Every header carries its sender's position. A member that receives a higher position than its own fetches the
changes in between from that sender. A member that has just applied changes announces its position to a few
random members. So each change is sent to each member about once, and any later datagram makes up for a lost
announcement. A member that is too far behind first fetches a snapshot, then the changes after it.

Cost per member: at most one fetch and one answer per change, at most ``announce_fanout`` announcements per
``ANNOUNCE_INTERVAL_SECONDS``, and ``HEARTBEAT_FANOUT`` forwarded datagrams per heartbeat. The cost does not
depend on the size of the fleet.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from saltcourse.gossip.configuration import ApplyOutcome, FleetConfiguration, PositionRelation
from saltcourse.gossip.fetching import Fetcher, SampleMembers
from saltcourse.gossip.freshness import FreshnessMonitor
from saltcourse.gossip.messages import (
    Address,
    Applied,
    Change,
    Changes,
    ConfigurationMessage,
    Fetch,
    Freshness,
    FreshnessChanged,
    Gossip,
    Header,
    Heartbeat,
    Position,
    Priority,
    ReplicaState,
    Send,
    SnapshotFetch,
)
from saltcourse.gossip.serving import ChangeServer
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.snapshot_receiver import SnapshotReceiver

ANNOUNCE_INTERVAL_SECONDS = 0.05  # the minimum interval between rounds of announcements
TICK_INTERVAL_SECONDS = 1.0  # the longest time between ticks, so that a stall of this process is detected
HEARTBEAT_FANOUT = 1  # members that a new heartbeat is forwarded to; with 0, some receive it after over 5 s

DisseminationAction = Applied | FreshnessChanged


class Dissemination:
    """Keeps the configuration of one member up to date, without I/O: calls return the messages to send."""

    def __init__(
        self,
        timing: Timing,
        rng: Random,
        sample_members: SampleMembers,
        configuration: FleetConfiguration | None = None,
    ) -> None:
        self.configuration = configuration if configuration is not None else FleetConfiguration()
        self.freshness = Freshness.STALE
        self._timing = timing
        self._sample_members = sample_members
        self._counters: Counter[str] = Counter()
        self._monitor = FreshnessMonitor(timing)
        self._server = ChangeServer(self.configuration, self._counters)
        self._fetcher = Fetcher(timing, rng, sample_members, self.configuration, self._counters)
        self._snapshots = SnapshotReceiver(timing, self.configuration, self._fetcher, self._counters)
        self._announcement_pending = False
        self._last_announcement = float("-inf")
        self._last_tick = 0.0
        self._deadline = 0.0
        self._expected_call = float("inf")  # a call much later than this time means a stall
        self._reported_position = Position()
        self._actions: list[DisseminationAction] = []

    @property
    def position(self) -> Position:
        """The position of this member's configuration."""
        return self.configuration.position

    @property
    def heartbeat(self) -> Heartbeat:
        """The highest heartbeat of a publisher that this member has seen."""
        return self._monitor.heartbeat

    # ---- calls from the node ------------------------------------------------------------------------

    def observe(self, now: float, source: Address, header: Header) -> list[Send]:
        """Process the position and the heartbeat in the header of any received datagram."""
        self._check_for_stall(now)
        sends = self._observe_heartbeat(now, header.heartbeat)
        relation = self.configuration.compare(header.position)
        if relation is PositionRelation.AHEAD:
            self._fetcher.add_source(now, source, header.position)
            sends += self._fetch_unless_busy(now, source)
        elif relation is not PositionRelation.KNOWN:
            self._counters[f"position_{relation.name.lower()}"] += 1
        return sends + self._finish_call(now)

    def handle(
        self, now: float, source: Address, header: Header, message: ConfigurationMessage
    ) -> list[Send]:
        """Handle a configuration message. ``observe`` must be called with its header first."""
        self._check_for_stall(now)
        if isinstance(message, Fetch):
            sends = self._server.answer_fetch(source, message)
        elif isinstance(message, Changes):
            sends = self._receive_changes(now, source, header, message)
        elif isinstance(message, SnapshotFetch):
            sends = self._server.answer_snapshot_fetch(source, message)
        else:
            sends = self._snapshots.receive(now, source, message)
        return sends + self._finish_call(now)

    def commit(self, now: float, change: Change) -> list[Send]:
        """Apply a change that the quorum has committed; if changes before it are missing, fetch them."""
        self._check_for_stall(now)
        sends: list[Send] = []
        outcome = self._apply(change)
        if outcome is ApplyOutcome.APPLIED:
            self._announcement_pending = True
        elif outcome is ApplyOutcome.GAP:
            sends = self._fetch_unless_busy(now, None)
        return sends + self._finish_call(now)

    def restore(self, now: float, state: ReplicaState) -> None:
        """Restore a voter's stored state when its process starts."""
        self._check_for_stall(now)
        self.configuration.restore(state)
        self._collect_actions(now)

    def advance_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """Advance the heartbeat at the publisher after a renewal of its lease; headers distribute it."""
        self._check_for_stall(now)
        self._monitor.observe(now, heartbeat, self.position.epoch)
        self._collect_actions(now)

    def tick(self, now: float) -> list[Send]:
        """Perform the timed work whose deadline has passed at ``now``."""
        self._check_for_stall(now)
        self._last_tick = now
        sends = self._fetcher.tick(now) + self._snapshots.tick(now)
        return sends + self._finish_call(now)

    def next_deadline(self) -> float:
        """Return the time of the next ``tick``, in seconds on the clock of ``now``."""
        return self._deadline

    def take_actions(self) -> list[DisseminationAction]:
        """Return the actions since the last call, in order, for the host."""
        actions, self._actions = self._actions, []
        return actions

    def metrics(self) -> dict[str, int]:
        """Return the metrics shown at ``/_vars``, by name."""
        metrics = self.configuration.metrics()
        metrics["freshness"] = int(self.freshness)
        metrics["sources"] = self._fetcher.source_count
        return metrics | dict(self._counters)

    # ---- before and after each call -----------------------------------------------------------------

    def _check_for_stall(self, now: float) -> None:
        if now > self._expected_call + self._timing.stall:
            self._counters["standstills"] += 1
            self._monitor.on_stall(now)

    def _finish_call(self, now: float) -> list[Send]:
        sends = self._announce(now)
        self._collect_actions(now)
        return sends

    def _collect_actions(self, now: float) -> None:
        """Add an action if the position or the freshness has changed, and compute the next deadline."""
        self._fetcher.prune(now)
        if self.position != self._reported_position:
            self._reported_position = self.position
            self._actions.append(Applied(self.position, self.configuration.take_changed_keys()))
        freshness = self._monitor.freshness(now, self._fetcher.is_behind)
        if freshness is not self.freshness:
            self.freshness = freshness
            self._actions.append(FreshnessChanged(freshness))
        self._deadline = self._earliest_deadline()
        self._expected_call = max(self._deadline, now)

    def _earliest_deadline(self) -> float:
        deadline = min(
            self._last_tick + TICK_INTERVAL_SECONDS,
            self._monitor.next_deadline(),
            self._fetcher.next_deadline(),
            self._snapshots.next_deadline(),
        )
        if self._announcement_pending:
            deadline = min(deadline, self._last_announcement + ANNOUNCE_INTERVAL_SECONDS)
        return deadline

    # ---- changes and announcements ------------------------------------------------------------------

    def _receive_changes(self, now: float, source: Address, header: Header, message: Changes) -> list[Send]:
        before = self.position
        for change in message.changes:
            self._apply(change)
        if self.position != before:
            self._announcement_pending = True  # even during a burst, so that others can fetch here
        return self._fetcher.on_changes_applied(now, source)

    def _apply(self, change: Change) -> ApplyOutcome:
        outcome = self.configuration.apply(change)
        self._counters[f"change_{outcome.name.lower()}"] += 1
        return outcome

    def _fetch_unless_busy(self, now: float, source: Address | None) -> list[Send]:
        if self._fetcher.is_request_pending or self._snapshots.is_active:
            return []
        return self._fetcher.fetch(now, source)

    def _announce(self, now: float) -> list[Send]:
        if not self._announcement_pending or now < self._last_announcement + ANNOUNCE_INTERVAL_SECONDS:
            return []
        self._announcement_pending = False
        self._last_announcement = now
        self._counters["announcement_rounds"] += 1
        return self._send_headers(self._timing.announce_fanout)

    def _observe_heartbeat(self, now: float, heartbeat: Heartbeat) -> list[Send]:
        if not self._monitor.observe(now, heartbeat, self.position.epoch):
            return []
        self._counters["heartbeats"] += 1
        return self._send_headers(HEARTBEAT_FANOUT)

    def _send_headers(self, fanout: int) -> list[Send]:
        """Send empty messages to random members: only the header's position and heartbeat matter."""
        return [
            Send(member.address, Gossip(), Priority.CONFIGURATION) for member in self._sample_members(fanout)
        ]
