"""Propagates committed changes to every member: announcements, fetches, snapshots, freshness.

Every header carries its sender's position. A member that sees a higher one fetches the changes in between
from that sender; a member that has just applied some announces its position to a few random others. So each
change travels to each member about once, and a lost announcement is made good by the next datagram of any
kind. A member that is too far behind takes a snapshot first, then the changes behind it.

Cost for a member: per change one fetch and one answer at most, ``announce_fanout`` announcements sent in
each ``ANNOUNCE_INTERVAL_SECONDS`` at most, and per heartbeat one datagram passed on. None of it grows with
the fleet.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from saltcourse.gossip.configuration import ApplyOutcome, FleetConfiguration, PositionRelation
from saltcourse.gossip.fetching import Fetcher, Sample
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

ANNOUNCE_INTERVAL_SECONDS = 0.05  # between rounds of announcements
TICK_INTERVAL_SECONDS = 1.0  # at most between ticks, so that a stall of this process is noticed
HEARTBEAT_FANOUT = 1  # members that a new heartbeat is passed on to: with none, some wait for over 5 s

DisseminationAction = Applied | FreshnessChanged


class Dissemination:
    """One member's part in spreading the configuration, free of I/O: each call returns what is to be sent."""

    def __init__(
        self, timing: Timing, rng: Random, sample: Sample, configuration: FleetConfiguration | None = None
    ) -> None:
        self.configuration = configuration if configuration is not None else FleetConfiguration()
        self.freshness = Freshness.STALE
        self._timing = timing
        self._sample = sample
        self._counters: Counter[str] = Counter()
        self._monitor = FreshnessMonitor(timing)
        self._server = ChangeServer(self.configuration, self._counters)
        self._fetcher = Fetcher(timing, rng, sample, self.configuration, self._counters)
        self._snapshots = SnapshotReceiver(timing, self.configuration, self._fetcher, self._counters)
        self._announcement_pending = False
        self._last_announcement = float("-inf")
        self._last_tick = 0.0
        self._deadline = 0.0
        self._expected_call = float("inf")  # by when a tick is expected: much later, this process has stalled
        self._reported_position = Position()
        self._actions: list[DisseminationAction] = []

    @property
    def position(self) -> Position:
        """Of the configuration in force here."""
        return self.configuration.position

    @property
    def heartbeat(self) -> Heartbeat:
        """The highest heartbeat of a publisher that this member has seen."""
        return self._monitor.heartbeat

    # ---- calls of the node --------------------------------------------------------------------------

    def observe(self, now: float, source: Address, header: Header) -> list[Send]:
        """Of every datagram, whatever its message: the sender's position and the heartbeat that it knows."""
        self._begin(now)
        sends = self._observe_heartbeat(now, header.heartbeat)
        relation = self.configuration.relate(header.position)
        if relation is PositionRelation.AHEAD:
            self._fetcher.note(now, source, header.position)
            sends += self._fetch_unless_busy(now, source)
        elif relation is not PositionRelation.KNOWN:
            self._counters[f"position_{relation.name.lower()}"] += 1
        return sends + self._end(now)

    def handle(
        self, now: float, source: Address, header: Header, message: ConfigurationMessage
    ) -> list[Send]:
        """A message of this part. ``observe`` was called with its header before."""
        self._begin(now)
        if isinstance(message, Fetch):
            sends = self._server.changes(source, message)
        elif isinstance(message, Changes):
            sends = self._receive_changes(now, source, header, message)
        elif isinstance(message, SnapshotFetch):
            sends = self._server.snapshot_part(source, message)
        else:
            sends = self._snapshots.receive(now, source, message)
        return sends + self._end(now)

    def commit(self, now: float, change: Change) -> list[Send]:
        """Apply a change that the quorum has committed. One that does not follow directly is fetched."""
        self._begin(now)
        sends: list[Send] = []
        outcome = self._apply(change)
        if outcome is ApplyOutcome.APPLIED:
            self._announcement_pending = True
        elif outcome is ApplyOutcome.GAP:
            sends = self._fetch_unless_busy(now, None)
        return sends + self._end(now)

    def restore(self, now: float, state: ReplicaState) -> None:
        """At a control member's start: what it had on its disk."""
        self._begin(now)
        self.configuration.restore(state)
        self._report(now)

    def advance_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """At the publisher: a majority follows it. Headers carry the heartbeat to the others."""
        self._begin(now)
        self._monitor.observe(now, heartbeat, self.position.epoch)
        self._report(now)

    def tick(self, now: float) -> list[Send]:
        """Do what has become ready by ``now``."""
        self._begin(now)
        self._last_tick = now
        sends = self._fetcher.tick(now) + self._snapshots.tick(now)
        return sends + self._end(now)

    def next_deadline(self) -> float:
        """When ``tick`` is to be called, in seconds on the clock of ``now``."""
        return self._deadline

    def take_actions(self) -> list[DisseminationAction]:
        """Actions since the last call, in order, for the host."""
        actions, self._actions = self._actions, []
        return actions

    def metrics(self) -> dict[str, int]:
        """Metrics of ``/_vars``, by name."""
        metrics = self.configuration.metrics()
        metrics["freshness"] = int(self.freshness)
        metrics["sources"] = self._fetcher.source_count
        return metrics | dict(self._counters)

    # ---- around each call ---------------------------------------------------------------------------

    def _begin(self, now: float) -> None:
        if now > self._expected_call + self._timing.stall:
            self._counters["standstills"] += 1
            self._monitor.on_stall(now)

    def _end(self, now: float) -> list[Send]:
        sends = self._announce(now)
        self._report(now)
        return sends

    def _report(self, now: float) -> None:
        """Add an action for each thing that this call has changed."""
        self._fetcher.prune(now)
        if self.position != self._reported_position:
            self._reported_position = self.position
            self._actions.append(Applied(self.position, self.configuration.take_changed_keys()))
        freshness = self._monitor.freshness(now, self._fetcher.behind)
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
            self._announcement_pending = True  # also amid a burst: others may fetch from here
        return self._fetcher.continue_after(now, source)

    def _apply(self, change: Change) -> ApplyOutcome:
        outcome = self.configuration.apply(change)
        self._counters[f"change_{outcome.name.lower()}"] += 1
        return outcome

    def _fetch_unless_busy(self, now: float, source: Address | None) -> list[Send]:
        if self._fetcher.waiting or self._snapshots.active:
            return []
        return self._fetcher.fetch(now, source)

    def _announce(self, now: float) -> list[Send]:
        if not self._announcement_pending or now < self._last_announcement + ANNOUNCE_INTERVAL_SECONDS:
            return []
        self._announcement_pending = False
        self._last_announcement = now
        self._counters["announcement_rounds"] += 1
        return self._send_header(self._timing.announce_fanout)

    def _observe_heartbeat(self, now: float, heartbeat: Heartbeat) -> list[Send]:
        if not self._monitor.observe(now, heartbeat, self.position.epoch):
            return []
        self._counters["heartbeats"] += 1
        return self._send_header(HEARTBEAT_FANOUT)

    def _send_header(self, fanout: int) -> list[Send]:
        """To random members; the header's position and heartbeat are all that they need."""
        return [Send(member.address, Gossip(), Priority.CONFIGURATION) for member in self._sample(fanout)]
