"""Applies claims about members: changes of the table, suspicion timers, broadcasts and actions.

Every claim goes through ``MemberUpdater``, whether it came in a message or from this member's own probes. The
cost of a claim does not grow with the fleet. A zone that falls silent or answers again costs one step for
each of its suspects, once.
"""

from __future__ import annotations

from saltcourse.gossip.broadcasts import RECORDS_ROOM_BYTES, BroadcastQueue
from saltcourse.gossip.codec import update_size
from saltcourse.gossip.failure_detector import FailureDetector, LocalHealth, ProbeOrder
from saltcourse.gossip.member_table import Member, MemberTable, is_departed, is_valid, overrides, with_status
from saltcourse.gossip.messages import (
    Header,
    MemberChanged,
    MemberId,
    MemberRecord,
    Status,
    StatusUpdate,
    Update,
    ZoneReachability,
    ZoneSum,
)
from saltcourse.gossip.own_record import OwnRecord
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.suspicion import SuspicionTimers, suspicion_timeout
from saltcourse.gossip.zone_silence import ZoneSilence

MAX_RECEIVED_SUMS = 256  # kept until they are taken


class MemberUpdater:
    """Applies claims to the parts of ``Membership`` that it is given.

    Of its own it keeps counters, and the changes and zone sums that wait to be taken.
    """

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
        """Merge the updates of a message. Zone sums are kept for the aggregation."""
        for update in updates:
            if isinstance(update, StatusUpdate):
                self._merge_status(now, update)
            elif isinstance(update, MemberRecord):
                self._merge_record(now, self._table.id_of(update), update, spread=True)
            elif len(self.received_sums) < MAX_RECEIVED_SUMS:
                self.received_sums.append(update)

    def merge_table(self, now: float, records: tuple[MemberRecord, ...], spread: bool) -> None:
        """Merge records of another member's table.

        Departed members that are not known stay unknown: they would be remembered for ever, by one member
        after the other.
        """
        for record in records:
            member = self._table.id_of(record)
            if member in self._table.members or not is_departed(record.status):
                self._merge_record(now, member, record, spread)

    def merge_header(self, now: float, member: MemberId, entry: Member, header: Header) -> None:
        """The process of a known record has sent a datagram: it is alive, at its header's incarnation."""
        if header.incarnation > entry.record.incarnation:
            raised = with_status(entry.record, header.incarnation, Status.ALIVE)
            self._replace(now, member, entry, raised, spread=True)

    def _merge_status(self, now: float, update: StatusUpdate) -> None:
        entry = self._table.get(update.member)
        if entry is None:
            return
        if update.member == self._table.own_id:
            self._merge_claim(now, update.incarnation, update.status, None)
            return
        current = entry.record
        if (update.incarnation, update.status) > (current.incarnation, current.status):
            record = with_status(current, update.incarnation, update.status)
            self._replace(now, update.member, entry, record, spread=True)
        else:
            self._queue.on_duplicate(update.member, update.incarnation, update.status)

    def _merge_record(self, now: float, member: MemberId, record: MemberRecord, spread: bool) -> None:
        entry = self._table.get(member)
        is_own = member == self._table.own_id
        if entry is not None and not is_own and not overrides(record, entry.record):
            if spread:
                self._queue.on_duplicate(member, record.incarnation, record.status)
            return
        if not is_valid(record):
            self.invalid_records += 1
        elif is_own:
            self._merge_claim(now, record.incarnation, record.status, record.process_id)
        elif entry is not None:
            self._replace(now, member, entry, record, spread)
        elif self._table.has_room():
            self._store(now, member, None, record, spread)
        else:
            self.table_full += 1

    def _merge_claim(self, now: float, incarnation: int, status: Status, process_id: int | None) -> None:
        """Merge a claim about this member itself."""
        if not self._own.on_claim(now, incarnation, status, process_id):
            return
        if status is not Status.ALIVE:
            self._health.change(1)
        self.publish_own(now)

    # ---- this member's own claims -----------------------------------------------------------------

    def suspect(self, now: float, member: MemberId) -> None:
        """A live member did not answer a probe."""
        entry = self._table.members[member]
        record = entry.record
        if record.status is Status.ALIVE:
            self.suspicions += 1
            is_spread = self._zones.is_reachable(record.zone)
            suspect = with_status(record, record.incarnation, Status.SUSPECT)
            self._store(now, member, entry, suspect, spread=is_spread)

    def expire_suspicions(self, now: float) -> list[MemberId]:
        """Declare suspects dead that have not refuted it in time; return others to be pinged."""
        ready = self._timers.take_ready(now)
        for member in ready.expired:
            self.deaths += 1
            entry = self._table.members[member]
            dead = with_status(entry.record, entry.record.incarnation, Status.DEAD)
            self._store(now, member, entry, dead, spread=True)
        return ready.to_ping

    def publish_own(self, now: float) -> None:
        """Broadcast the own record in full: who missed an earlier process learns the address by it."""
        self._table.store(now, self._table.own_id, self._own.record)
        self._queue.add(self._table.own_id, self._own.record)

    # ---- zones ------------------------------------------------------------------------------------

    def pause_suspicions(self, zone: str) -> None:
        """A zone fell silent: its suspicions are paused, and this member adds none.

        Those of others it still passes on: who knows of too few would take the zone for reachable.
        """
        self.zones_silent += 1
        self.changes.append(ZoneReachability(zone, False))
        for member in self._table.zones[zone].suspects:
            self._timers.stop(member)

    def clear_suspicions(self, now: float, zone: str, detector: FailureDetector) -> None:
        """A silent zone answered. Probing finds out which of its members are gone."""
        self.changes.append(ZoneReachability(zone, True))
        detector.cancel_probes(lambda member: self._is_in_zone(member, zone))
        for member in list(self._table.zones[zone].suspects):
            entry = self._table.members[member]
            alive = with_status(entry.record, entry.record.incarnation, Status.ALIVE)
            self._store(now, member, entry, alive, spread=False)

    def _is_in_zone(self, member: MemberId, zone: str) -> bool:
        entry = self._table.get(member)
        return entry is not None and entry.record.zone == zone

    # ---- updates for others -----------------------------------------------------------------------

    def updates_for(self, receiver: MemberId) -> tuple[Update, ...]:
        """Return updates to piggyback. A receiver that is not believed alive gets its own record first."""
        room = RECORDS_ROOM_BYTES
        member = self._table.get(receiver)
        if member is None or not self._is_accused(member.record):
            return self._queue.take(room, self._table.size)
        room -= update_size(member.record)
        return (member.record, *self._queue.take(room, self._table.size))

    def _is_accused(self, record: MemberRecord) -> bool:
        return record.status is not Status.ALIVE and self._zones.is_reachable(record.zone)

    # ---- the one way into the table ---------------------------------------------------------------

    def _replace(
        self, now: float, member: MemberId, entry: Member, record: MemberRecord, spread: bool
    ) -> None:
        """Take over a claim of another member that overrides the record here.

        Who claims that a member of a silent zone is dead cannot know either.
        """
        if record.status is not Status.DEAD or self._zones.is_reachable(record.zone):
            self._store(now, member, entry, record, spread)
            return
        suspect = with_status(record, record.incarnation, Status.SUSPECT)
        if overrides(suspect, entry.record):
            self._store(now, member, entry, suspect, spread=False)

    def _store(
        self, now: float, member: MemberId, entry: Member | None, record: MemberRecord, spread: bool
    ) -> None:
        """Store a record, with all that follows. ``entry`` is the member's present one."""
        before = None if entry is None else entry.record
        self._table.store(now, member, record)
        status = record.status
        if before is None or is_departed(before.status):
            self._add_to_round(now, member, record)
        elif before.zone != record.zone and not is_departed(status):
            self._zones.member_added(now, record.zone)
        if before is None or _restarts_timer(before, record):
            self._update_suspicion_timer(now, member, record)
            if status is Status.DEAD:
                self._zones.on_death(record.zone)
        if before is None or status is not before.status:
            self.changes.append(MemberChanged(record.name, record.zone, status))
        if spread:
            self._queue.add(member, _as_update(member, record))

    def _add_to_round(self, now: float, member: MemberId, record: MemberRecord) -> None:
        if not is_departed(record.status):
            self._zones.member_added(now, record.zone)
            self._order.insert(member)

    def _update_suspicion_timer(self, now: float, member: MemberId, record: MemberRecord) -> None:
        self._timers.stop(member)
        if record.status is Status.SUSPECT and self._zones.is_reachable(record.zone):
            self._timers.start(now, member, suspicion_timeout(self._timing, self._table.size))


def _restarts_timer(before: MemberRecord, record: MemberRecord) -> bool:
    """A suspicion of another incarnation is a new one, and another zone may be one that can be reached."""
    identity = before.status, before.incarnation, before.zone
    return (record.status, record.incarnation, record.zone) != identity


def _as_update(member: MemberId, record: MemberRecord) -> Update:
    """In full where a member is new or has a new incarnation; otherwise its status alone."""
    if record.status is Status.ALIVE:
        return record
    return StatusUpdate(member, record.incarnation, record.status)
