"""What claims about members lead to: the table, the timers, the broadcasts and the changes told outside.

Every claim, whether it came in a message or from this member's own probes, goes through ``UpdateMerger``.
The cost of a claim does not grow with the fleet. A zone that falls silent or is heard again costs one step
for each of its suspects, once.
"""

from __future__ import annotations

from dataclasses import replace

from saltcourse.gossip.broadcasts import RECORDS_ROOM_BYTES, BroadcastQueue
from saltcourse.gossip.codec import update_size
from saltcourse.gossip.failure_detector import FailureDetector, LocalHealth, ProbeOrder
from saltcourse.gossip.member_table import MemberTable, is_departed, is_valid, overrides
from saltcourse.gossip.messages import (
    Header, MemberChanged, MemberId, MemberRecord, Status, StatusUpdate, Update, ZoneReachability, ZoneSum,
)
from saltcourse.gossip.own_record import OwnRecord
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.suspicion import SuspicionTimers, suspicion_timeout
from saltcourse.gossip.zone_silence import ZoneSilence

MAX_RECEIVED_SUMS = 256  # kept until they are taken


class UpdateMerger:
    """Owns nothing but what it hands out; the parts that it moves are given to it."""

    def __init__(
        self,
        timing: Timing,
        table: MemberTable,
        own: OwnRecord,
        health: LocalHealth,
        queue: BroadcastQueue,
        order: ProbeOrder,
        timers: SuspicionTimers,
        zones: ZoneSilence,
    ) -> None:
        self.changes: list[MemberChanged | ZoneReachability] = []
        self.received_sums: list[ZoneSum] = []
        self.deaths = 0  # declared by this member
        self.suspicions = 0  # begun by this member
        self.invalid_records = 0
        self.table_full = 0  # records refused
        self.zones_silent = 0
        self._timing = timing
        self._table = table
        self._own = own
        self._health = health
        self._queue = queue
        self._order = order
        self._timers = timers
        self._zones = zones

    # ---- claims in messages -----------------------------------------------------------------------

    def merge_updates(self, now: float, updates: tuple[Update, ...]) -> None:
        for update in updates:
            if isinstance(update, StatusUpdate):
                self._merge_status(now, update)
            elif isinstance(update, MemberRecord):
                self._merge_record(now, update.id, update, spread=True)
            elif len(self.received_sums) < MAX_RECEIVED_SUMS:
                self.received_sums.append(update)

    def merge_table(self, now: float, records: tuple[MemberRecord, ...], spread: bool) -> None:
        """Records of another member's table. Departed members that are not known stay unknown: they would be
        remembered for ever, by one member after the other."""
        for record in records:
            member = record.id
            if member in self._table.members or not is_departed(record.status):
                self._merge_record(now, member, record, spread)

    def merge_header(self, now: float, member: MemberId, record: MemberRecord, header: Header) -> None:
        """The process of a known record was heard itself: it lives, at its header's incarnation."""
        if header.incarnation > record.incarnation:
            raised = replace(record, incarnation=header.incarnation, status=Status.ALIVE)
            self._merge(now, member, raised, spread=True)

    def _merge_status(self, now: float, update: StatusUpdate) -> None:
        if update.member == self._table.own_id:
            if self._own.claimed(now, update.incarnation, update.status, None):
                self._object(now, update.status)
            return
        entry = self._table.get(update.member)
        if entry is not None:
            record = replace(entry.record, incarnation=update.incarnation, status=update.status)
            self._merge(now, update.member, record, spread=True)

    def _merge_record(self, now: float, member: MemberId, record: MemberRecord, spread: bool) -> None:
        if not is_valid(record):
            self.invalid_records += 1
        elif member != self._table.own_id:
            self._merge(now, member, record, spread)
        elif self._own.claimed(now, record.incarnation, record.status, record.process):
            self._object(now, record.status)

    # ---- this member's own claims -----------------------------------------------------------------

    def suspect(self, now: float, member: MemberId) -> None:
        """A live member did not answer."""
        record = self._table.members[member].record
        if record.status is Status.ALIVE:
            self.suspicions += 1
            self._merge(now, member, replace(record, status=Status.SUSPECT), spread=True)

    def expire_suspicions(self, now: float) -> list[MemberId]:
        """Declare those suspects dead that have not objected in time; the others given are to be asked."""
        due = self._timers.take_due(now)
        for member in due.expired:
            self.deaths += 1
            record = self._table.members[member].record
            self._merge(now, member, replace(record, status=Status.DEAD), spread=True)
        return due.to_ask

    def publish_own(self, now: float) -> None:
        """In full: who has missed an earlier process of this name learns its address by it."""
        self._table.store(now, self._table.own_id, self._own.record)
        self._queue.add(self._own.record)

    def _object(self, now: float, status: Status) -> None:
        if status is not Status.ALIVE:
            self._health.change(1)
        self.publish_own(now)

    # ---- zones ------------------------------------------------------------------------------------

    def hold_zone(self, zone: str) -> None:
        """A zone fell silent: its suspicions stand still, and no more are passed on."""
        self.zones_silent += 1
        self.changes.append(ZoneReachability(zone, False))
        for member in self._table.zones[zone].suspects:
            self._timers.stop(member)

    def release_zone(self, now: float, zone: str, detector: FailureDetector) -> None:
        """A silent zone was heard. Probing finds out which of its members are not there."""
        self.changes.append(ZoneReachability(zone, True))
        detector.drop(lambda member: self._is_in_zone(member, zone))
        for member in list(self._table.zones[zone].suspects):
            self._store(now, member, replace(self._table.members[member].record, status=Status.ALIVE))

    def _is_in_zone(self, member: MemberId, zone: str) -> bool:
        entry = self._table.get(member)
        return entry is not None and entry.record.zone == zone

    # ---- updates for others -----------------------------------------------------------------------

    def updates_for(self, receiver: MemberId) -> tuple[Update, ...]:
        """Broadcasts to ride on a message. A receiver that is not held for alive learns that first."""
        room = RECORDS_ROOM_BYTES
        member = self._table.get(receiver)
        if member is None or not self._is_accused(member.record):
            return self._queue.take(room, self._table.size)
        room -= update_size(member.record)
        return (member.record, *self._queue.take(room, self._table.size))

    def _is_accused(self, record: MemberRecord) -> bool:
        return record.status is not Status.ALIVE and self._zones.is_reachable(record.zone)

    # ---- the one way into the table ---------------------------------------------------------------

    def _merge(self, now: float, member: MemberId, record: MemberRecord, spread: bool) -> None:
        """Take a record of another member over if it overrides the one held."""
        entry = self._table.get(member)
        if entry is None:
            if not self._table.has_room():
                self.table_full += 1
                return
        elif not overrides(record, entry.record):
            return
        is_held = not self._zones.is_reachable(record.zone)
        if is_held and record.status is Status.DEAD and entry is not None and not is_departed(entry.status):
            record = replace(record, status=Status.SUSPECT)  # who says so cannot know either
            if not overrides(record, entry.record):
                return
        self._store(now, member, record)
        if spread and not (is_held and record.status is Status.SUSPECT):
            self._queue.add(_as_update(member, record))

    def _store(self, now: float, member: MemberId, record: MemberRecord) -> None:
        """Replace a record, with all that follows within this member."""
        entry = self._table.get(member)
        before = None if entry is None else entry.status
        incarnation = None if entry is None else entry.record.incarnation
        self._table.store(now, member, record)
        if not is_departed(record.status):
            self._zones.member_added(now, record.zone)
            if before is None or is_departed(before):
                self._order.insert(member)
        if (record.status, record.incarnation) != (before, incarnation):
            self._set_timer(now, member, record)
        if record.status is not before:
            self.changes.append(MemberChanged(record.name, record.zone, record.status))

    def _set_timer(self, now: float, member: MemberId, record: MemberRecord) -> None:
        if record.status is not Status.SUSPECT:
            self._timers.stop(member)
        elif self._zones.is_reachable(record.zone):
            self._timers.start(now, member, suspicion_timeout(self._timing, self._table.size))
        if record.status is Status.DEAD:
            self._zones.died(record.zone)


def _as_update(member: MemberId, record: MemberRecord) -> Update:
    """In full where a member is new or has a new incarnation; the rest is said of one that is known."""
    if record.status is Status.ALIVE:
        return record
    return StatusUpdate(member, record.incarnation, record.status)
