"""Brings committed changes to every member: announcements, fetches, snapshots, freshness.

Every header carries its sender's position. A member that sees a higher one fetches the changes in between
from that sender, one fetch at a time; a member that has just applied some announces its position to a few
random others. So each change travels to each member about once, and a lost announcement is made good by the
next datagram of any kind. A member that is too far behind takes a snapshot first, then the changes behind it.

Cost for a member: per change one fetch, one answer, and at most ``announce_fanout`` announcements sent in
each ``ANNOUNCE_INTERVAL_S``; per heartbeat one datagram passed on. None of it grows with the fleet.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from saltcourse.gossip.codec import HEADER_BYTES, change_size
from saltcourse.gossip.configuration import Configuration, Outcome, Relation
from saltcourse.gossip.freshness import FreshnessMonitor
from saltcourse.gossip.messages import (
    MAX_CONFIGURATION_BYTES,
    MAX_DATAGRAM_BYTES,
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
    MemberRecord,
    Position,
    Priority,
    ReplicaState,
    Send,
    SnapshotFetch,
    SnapshotPart,
)
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.snapshots import PartFault, SnapshotTransfer, is_well_formed, part_of
from saltcourse.gossip.sources import Sources

ANNOUNCE_INTERVAL_S = 0.05  # between rounds of announcements
TICK_INTERVAL_S = 1.0  # at most between ticks, so that standing still is noticed
DATAGRAM_RESERVE_BYTES = 32  # left free in an answer with changes
CHANGES_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES - DATAGRAM_RESERVE_BYTES
MAX_CHANGES_IN_DATAGRAM = 255  # a list's count is one byte
HEARTBEAT_FANOUT = 1  # members that a new heartbeat is passed on to

DisseminationAction = Applied | FreshnessChanged


@dataclass(frozen=True, slots=True)
class PendingFetch:
    """``server`` has been asked for the changes behind ``after``; ``None``: nobody is known yet."""

    server: Address | None
    after: Position
    target: Position  # what the server announced; ``after`` where it announced nothing
    deadline: float


class Dissemination:
    """One member's part in it, free of I/O: each call returns what is to be sent."""

    def __init__(self, timing: Timing, random: Random, sample: Callable[[int], list[MemberRecord]]) -> None:
        """``sample`` gives at most so many random live members."""
        self.configuration = Configuration()
        self.freshness = Freshness.STALE
        self._timing = timing
        self._sample = sample
        self._monitor = FreshnessMonitor(timing)
        self._sources = Sources(timing.stale_after, random)
        self._pending: PendingFetch | None = None
        self._transfer: SnapshotTransfer | None = None
        self._announce_due = False
        self._last_announcement = float("-inf")
        self._last_tick = 0.0
        self._expected_call = float("inf")  # by when a tick is due: what comes much later shows a standstill
        self._told_position = Position()
        self._actions: list[DisseminationAction] = []
        self._counters: Counter[str] = Counter()

    @property
    def position(self) -> Position:
        return self.configuration.position

    @property
    def heartbeat(self) -> Heartbeat:
        return self._monitor.heartbeat

    # ---- calls of the node --------------------------------------------------------------------------

    def observe(self, now: float, source: Address, header: Header) -> list[Send]:
        """Of every datagram, whatever its message: the sender's position and the heartbeat that it knows."""
        self._begin(now)
        sends = self._observe_heartbeat(now, header.heartbeat)
        relation = self.configuration.relate(header.position)
        if relation is Relation.AHEAD:
            self._sources.note(now, source, header.position)
            if self._pending is None and self._active_transfer is None:
                sends += self._fetch(now, source)
        elif relation is not Relation.KNOWN:
            self._counters[f"position_{relation.name.lower()}"] += 1
        return sends + self._end(now)

    def handle(
        self, now: float, source: Address, header: Header, message: ConfigurationMessage
    ) -> list[Send]:
        self._begin(now)
        if isinstance(message, Fetch):
            sends = self._serve_changes(source, message)
        elif isinstance(message, Changes):
            sends = self._receive_changes(now, source, header, message)
        elif isinstance(message, SnapshotFetch):
            sends = self._serve_part(source, message)
        else:
            sends = self._receive_part(now, source, message)
        return sends + self._end(now)

    def commit(self, now: float, change: Change) -> list[Send]:
        """At a control member: the change is decided. One that this member is not ready for is fetched."""
        self._begin(now)
        sends: list[Send] = []
        outcome = self._apply(change)
        if outcome is Outcome.APPLIED:
            self._announce_due = True
        elif outcome is Outcome.GAP and self._pending is None and self._active_transfer is None:
            sends = self._fetch(now, None)
        return sends + self._end(now)

    def restore(self, now: float, state: ReplicaState) -> None:
        """At a control member's start: what it had on its disk."""
        self._begin(now)
        self.configuration.restore(state)
        self._end(now)

    def beat(self, now: float, heartbeat: Heartbeat) -> None:
        """At the publisher: a majority follows it. Headers carry the heartbeat to the others."""
        self._begin(now)
        self._monitor.observe(now, heartbeat, self.position.epoch)
        self._end(now)

    def tick(self, now: float) -> list[Send]:
        self._begin(now)
        self._last_tick = now
        sends = self._check_fetch(now) + self._check_transfer(now)
        return sends + self._end(now)

    def next_deadline(self) -> float:
        deadline = min(
            self._last_tick + TICK_INTERVAL_S, self._monitor.next_deadline(), self._sources.next_deadline()
        )
        if self._pending is not None:
            deadline = min(deadline, self._pending.deadline)
        if self._active_transfer is not None:
            deadline = min(deadline, self._active_transfer.next_deadline())
        if self._announce_due:
            deadline = min(deadline, self._last_announcement + ANNOUNCE_INTERVAL_S)
        return deadline

    def take_actions(self) -> list[DisseminationAction]:
        actions, self._actions = self._actions, []
        return actions

    def figures(self) -> dict[str, int]:
        figures = self.configuration.figures()
        figures["freshness"] = int(self.freshness)
        figures["sources"] = len(self._sources)
        return figures | dict(self._counters)

    # ---- around each call ---------------------------------------------------------------------------

    def _begin(self, now: float) -> None:
        if now > self._expected_call + self._timing.stall:
            self._counters["standstills"] += 1
            self._monitor.stood_still(now)

    def _end(self, now: float) -> list[Send]:
        """Announce if it is time, and tell what has changed."""
        self._sources.prune(now, self._is_ahead)
        sends = self._announce(now)
        self._tell_position()
        self._tell_freshness(now)
        self._expected_call = max(self.next_deadline(), now)
        return sends

    def _tell_position(self) -> None:
        if self.position != self._told_position:
            self._told_position = self.position
            self._actions.append(Applied(self.position, self.configuration.take_changed_keys()))

    def _tell_freshness(self, now: float) -> None:
        freshness = self._monitor.freshness(now, self._behind)
        if freshness is not self.freshness:
            self.freshness = freshness
            self._actions.append(FreshnessChanged(freshness))

    @property
    def _behind(self) -> bool:
        return len(self._sources) > 0

    def _is_ahead(self, position: Position) -> bool:
        return self.configuration.relate(position) is Relation.AHEAD

    # ---- announcements ------------------------------------------------------------------------------

    def _announce(self, now: float) -> list[Send]:
        if not self._announce_due or now < self._last_announcement + ANNOUNCE_INTERVAL_S:
            return []
        self._announce_due = False
        self._last_announcement = now
        self._counters["announcement_rounds"] += 1
        return self._tell_random(self._timing.announce_fanout)

    def _observe_heartbeat(self, now: float, heartbeat: Heartbeat) -> list[Send]:
        if not self._monitor.observe(now, heartbeat, self.position.epoch):
            return []
        self._counters["heartbeats"] += 1
        return self._tell_random(HEARTBEAT_FANOUT)

    def _tell_random(self, fanout: int) -> list[Send]:
        """The header says it all."""
        return [Send(member.address, Gossip(), Priority.CONFIGURATION) for member in self._sample(fanout)]

    # ---- changes ------------------------------------------------------------------------------------

    def _fetch(self, now: float, server: Address | None, avoid: Address | None = None) -> list[Send]:
        """Ask ``server``; without one, a member that announced a higher position, else a random one."""
        server = server or self._choose_server(avoid)
        target = self.position
        if server is not None:
            target = self._sources.position_of(server) or target
        self._pending = PendingFetch(server, self.position, target, now + self._timing.fetch_timeout)
        if server is None:
            return []
        self._counters["fetches"] += 1
        return [Send(server, Fetch(self.position), Priority.CONFIGURATION)]

    def _choose_server(self, avoid: Address | None) -> Address | None:
        announced = self._sources.choose(avoid)
        if announced is not None:
            return announced
        for member in self._sample(2):
            if member.address != avoid:
                return member.address
        return avoid

    def _check_fetch(self, now: float) -> list[Send]:
        pending = self._pending
        if pending is None or now < pending.deadline:
            return []
        self._pending = None
        self._sources.prune(now, self._is_ahead)
        if not self._behind or self._active_transfer is not None:
            return []
        self._counters["fetch_timeouts"] += 1
        return self._fetch(now, None, avoid=pending.server)

    def _serve_changes(self, source: Address, message: Fetch) -> list[Send]:
        relation = self.configuration.relate(message.after)
        if relation is Relation.CONFLICT:
            self._counters["fetch_conflict"] += 1
        if relation is not Relation.KNOWN or message.after == self.position:
            return []
        changes = self.configuration.changes_after(message.after.version)
        if changes is not None:
            return [Send(source, Changes(fitting(changes)), Priority.CONFIGURATION)]
        return self._serve_part(source, SnapshotFetch(Position(), 0))

    def _receive_changes(self, now: float, source: Address, header: Header, message: Changes) -> list[Send]:
        before = self.position
        for change in message.changes:
            self._apply(change)
        if self.position != before and not self._is_ahead(header.position):
            self._announce_due = True  # not while the source still has more for this member
        return self._go_on_fetching(now, source)

    def _apply(self, change: Change) -> Outcome:
        outcome = self.configuration.apply(change)
        self._counters[f"change_{outcome.name.lower()}"] += 1
        return outcome

    def _go_on_fetching(self, now: float, source: Address) -> list[Send]:
        """Fetch again at once, but only after progress: answers of no use can not keep up a loop."""
        pending = self._pending
        if pending is None:
            return []
        answered = source == pending.server and self.position != pending.after
        overtaken = pending.target != pending.after and not self._is_ahead(pending.target)
        if not answered and not overtaken:
            return []
        self._pending = None
        self._sources.prune(now, self._is_ahead)
        if not self._behind or self._active_transfer is not None:
            return []
        return self._fetch(now, source if self._sources.position_of(source) is not None else None)

    # ---- snapshots ----------------------------------------------------------------------------------

    @property
    def _active_transfer(self) -> SnapshotTransfer | None:
        """A transfer that was given up is kept, for its parts, until a fetch shows what others have."""
        transfer = self._transfer
        return transfer if transfer is not None and not transfer.given_up else None

    def _serve_part(self, source: Address, message: SnapshotFetch) -> list[Send]:
        """Where the checkpoint is not kept any more: the first part of the newest, so that the receiver
        knows of it."""
        checkpoint = self.configuration.checkpoint_at(message.position)
        offset = message.offset
        if checkpoint is None:
            checkpoint = self.configuration.newest_checkpoint
            offset = 0
        if checkpoint is None or checkpoint.position < message.position:
            return []
        part = part_of(checkpoint, offset)
        if part is None:
            self._counters["snapshot_bad_offset"] += 1
            return []
        self._counters["snapshot_parts_served"] += 1
        return [Send(source, part, Priority.BULK)]

    def _receive_part(self, now: float, source: Address, part: SnapshotPart) -> list[Send]:
        fault = self._fault_of(part)
        if fault is None:
            return self._accept_part(now, source, part)
        self._counters[f"snapshot_{fault.name.lower()}"] += 1
        if self._transfer is not None:
            self._transfer.refuse(source)
        return self._check_transfer(now)

    def _fault_of(self, part: SnapshotPart) -> PartFault | None:
        relation = self.configuration.relate(part.position)
        if relation is not Relation.AHEAD:
            return PartFault[relation.name]
        if part.size > MAX_CONFIGURATION_BYTES:
            return PartFault.TOO_LARGE
        if not is_well_formed(part):
            return PartFault.MALFORMED
        transfer = self._active_transfer
        if transfer is not None and not transfer.assembly.is_of(part):
            same_position = part.position == transfer.assembly.position
            return PartFault.CONFLICT if same_position else PartFault.MOVED_ON
        if self._transfer is None and self._pending is None:
            return PartFault.UNSOLICITED
        return None

    def _accept_part(self, now: float, source: Address, part: SnapshotPart) -> list[Send]:
        transfer = self._transfer_for(now, source, part)
        transfer.receive(part)
        if transfer.assembly.whole:
            return self._finish_transfer(now, source, transfer)
        return self._check_transfer(now)

    def _transfer_for(self, now: float, source: Address, part: SnapshotPart) -> SnapshotTransfer:
        """The one that ``part`` belongs to: under way, taken up again, or begun with it."""
        transfer = self._active_transfer
        if transfer is not None:
            return transfer
        transfer = self._transfer
        if transfer is not None and transfer.assembly.is_of(part):
            transfer.resume(now, source)
        else:
            transfer = SnapshotTransfer(now, self._timing, part, source, self._choose_server)
            self._counters["snapshot_transfers"] += 1
        self._transfer = transfer
        self._pending = None
        return transfer

    def _finish_transfer(self, now: float, source: Address, transfer: SnapshotTransfer) -> list[Send]:
        self._transfer = None
        checkpoint = transfer.assembly.checkpoint()
        outcome = Outcome.INVALID
        if checkpoint.digest == transfer.assembly.digest:
            outcome = self.configuration.load(checkpoint)
        self._counters[f"snapshot_{outcome.name.lower()}"] += 1
        self._sources.prune(now, self._is_ahead)
        if outcome is Outcome.INVALID:
            # Not at once: a member that always gives a wrong one must not be asked without end.
            self._pending = PendingFetch(
                source, self.position, self.position, now + self._timing.fetch_timeout
            )
            return []
        return self._fetch(now, None) if self._behind else []

    def _check_transfer(self, now: float) -> list[Send]:
        transfer = self._transfer
        if transfer is None:
            return []
        if not self._is_ahead(transfer.assembly.position):
            self._transfer = None  # the log was quicker
            return []
        if transfer.given_up:
            return []
        sends = transfer.tick(now)
        if transfer.given_up and self._pending is None:
            self._counters["snapshot_given_up"] += 1
            sends += self._fetch(now, None)
        return sends


def fitting(changes: list[Change]) -> tuple[Change, ...]:
    """As many of them, from the first on, as one datagram holds; at least one."""
    taken: list[Change] = []
    room = CHANGES_BYTES
    for change in changes[:MAX_CHANGES_IN_DATAGRAM]:
        room -= change_size(change)
        if room < 0 and taken:
            break
        taken.append(change)
    return tuple(taken)
