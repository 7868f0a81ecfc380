"""Applies claims about members to the table, the suspicion timers, the probe order and the broadcast queue.

Every claim goes through ``MemberUpdater``, whether it was received in a message or follows from this member's
own probes. The cost of a claim does not grow with the fleet. A zone that becomes unreachable or reachable
costs one step for each of its suspects.
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

MAX_RECEIVED_SUMS = 256  # zone sums kept until the aggregation takes them; further ones are dropped


class MemberUpdater:
    """Applies claims to the components of ``Membership``.

    It also keeps counters, and collects the changes and zone sums that ``Membership`` takes from it.
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
        self.deaths = 0  # members declared dead by this member
        self.suspicions = 0  # suspicions started by this member
        self.invalid_records = 0
        self.table_full = 0  # records of new members that were rejected
        self.zones_silent = 0  # times that a zone became unreachable
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
                self._merge_record(now, self._table.id_of(update), update, broadcast=True)
            elif len(self.received_sums) < MAX_RECEIVED_SUMS:
                self.received_sums.append(update)

    def merge_table(self, now: float, records: tuple[MemberRecord, ...], broadcast: bool) -> None:
        """Merge records of another member's table; queue changes for broadcast if ``broadcast`` is set.

        Records of unknown departed members are ignored. Otherwise members would keep passing them to each
        other and they would never be removed.
        """
        for record in records:
            member = self._table.id_of(record)
            if member in self._table.members or not is_departed(record.status):
                self._merge_record(now, member, record, broadcast)

    def merge_header(self, now: float, member: MemberId, entry: Member, header: Header) -> None:
        """Merge the header of a datagram from a known process, which is alive at the header's incarnation."""
        if header.incarnation > entry.record.incarnation:
            raised = with_status(entry.record, header.incarnation, Status.ALIVE)
            self._replace(now, member, entry, raised, broadcast=True)

    def _merge_status(self, now: float, update: StatusUpdate) -> None:
        entry = self._table.get(update.member)
        if entry is None:
            return
        if update.member == self._table.own_id:
            self._merge_own_claim(now, update.incarnation, update.status, None)
            return
        current = entry.record
        if (update.incarnation, update.status) > (current.incarnation, current.status):
            record = with_status(current, update.incarnation, update.status)
            self._replace(now, update.member, entry, record, broadcast=True)
        else:
            self._queue.on_duplicate(update.member, update.incarnation, update.status)

    def _merge_record(self, now: float, member: MemberId, record: MemberRecord, broadcast: bool) -> None:
        entry = self._table.get(member)
        is_own = member == self._table.own_id
        if entry is not None and not is_own and not overrides(record, entry.record):
            if broadcast:
                self._queue.on_duplicate(member, record.incarnation, record.status)
            return
        if not is_valid(record):
            self.invalid_records += 1
        elif is_own:
            self._merge_own_claim(now, record.incarnation, record.status, record.process_id)
        elif entry is not None:
            self._replace(now, member, entry, record, broadcast)
        elif self._table.make_room():
            self._store(now, member, None, record, broadcast)
        else:
            self.table_full += 1

    def _merge_own_claim(self, now: float, incarnation: int, status: Status, process_id: int | None) -> None:
        """Merge a claim about this member itself."""
        if not self._own.on_claim(now, incarnation, status, process_id):
            return
        if status is not Status.ALIVE:
            self._health.change(1)
        self.broadcast_own(now)

    # ---- claims by this member --------------------------------------------------------------------

    def suspect(self, now: float, member: MemberId) -> None:
        """Suspect a member that did not answer a probe, if its status is ALIVE."""
        entry = self._table.members[member]
        record = entry.record
        if record.status is Status.ALIVE:
            self.suspicions += 1
            is_broadcast = self._zones.is_reachable(record.zone)
            suspect = with_status(record, record.incarnation, Status.SUSPECT)
            self._store(now, member, entry, suspect, broadcast=is_broadcast)

    def expire_suspicions(self, now: float) -> list[MemberId]:
        """Declare suspects dead whose timeout has expired; return the suspects to ping now."""
        ready = self._timers.take_ready(now)
        for member in ready.expired:
            self.deaths += 1
            entry = self._table.members[member]
            dead = with_status(entry.record, entry.record.incarnation, Status.DEAD)
            self._store(now, member, entry, dead, broadcast=True)
        return ready.to_ping

    def broadcast_own(self, now: float) -> None:
        """Store and broadcast the own record.

        It is sent in full, so that members which missed an earlier record learn the address.
        """
        self._table.store(now, self._table.own_id, self._own.record)
        self._queue.add(self._table.own_id, self._own.record)

    # ---- zones ------------------------------------------------------------------------------------

    def pause_suspicions(self, zone: str) -> None:
        """Stop the suspicion timers of a zone that became unreachable.

        This member broadcasts no suspicions of its own about the zone, but still forwards those of others: a
        member that receives too few of these suspicions would consider the zone reachable.
        """
        self.zones_silent += 1
        self.changes.append(ZoneReachability(zone, False))
        for member in self._table.zones[zone].suspects:
            self._timers.stop(member)

    def clear_suspicions(self, now: float, zone: str, detector: FailureDetector) -> None:
        """Mark the suspects of a zone that became reachable as alive. Probes will find the failed ones."""
        self.changes.append(ZoneReachability(zone, True))
        detector.cancel_probes(lambda member: self._is_in_zone(member, zone))
        for member in list(self._table.zones[zone].suspects):
            entry = self._table.members[member]
            alive = with_status(entry.record, entry.record.incarnation, Status.ALIVE)
            self._store(now, member, entry, alive, broadcast=False)

    def _is_in_zone(self, member: MemberId, zone: str) -> bool:
        entry = self._table.get(member)
        return entry is not None and entry.record.zone == zone

    # ---- outgoing updates -------------------------------------------------------------------------

    def updates_for(self, receiver: MemberId) -> tuple[Update, ...]:
        """Return the updates to piggyback on a message to ``receiver``.

        A receiver that is not believed alive gets its own record first, so that it can refute the status.
        """
        room = RECORDS_ROOM_BYTES
        member = self._table.get(receiver)
        if member is None or not self._needs_refutation(member.record):
            return self._queue.take(room, self._table.size)
        room -= update_size(member.record)
        return (member.record, *self._queue.take(room, self._table.size))

    def _needs_refutation(self, record: MemberRecord) -> bool:
        return record.status is not Status.ALIVE and self._zones.is_reachable(record.zone)

    # ---- changes to the table ---------------------------------------------------------------------

    def _replace(
        self, now: float, member: MemberId, entry: Member, record: MemberRecord, broadcast: bool
    ) -> None:
        """Apply a claim by another member that overrides the stored record.

        A member of an unreachable zone that is claimed dead only becomes suspect, since the claim may be
        caused by the same loss of connectivity.
        """
        if record.status is not Status.DEAD or self._zones.is_reachable(record.zone):
            self._store(now, member, entry, record, broadcast)
            return
        suspect = with_status(record, record.incarnation, Status.SUSPECT)
        if overrides(suspect, entry.record):
            self._store(now, member, entry, suspect, broadcast=False)

    def _store(
        self, now: float, member: MemberId, entry: Member | None, record: MemberRecord, broadcast: bool
    ) -> None:
        """Store a record and update zones, probe order, timers, changes and broadcasts.

        ``entry`` is the current entry of the member, None for a new member.
        """
        before = None if entry is None else entry.record
        self._table.store(now, member, record)
        status = record.status
        if before is None or is_departed(before.status):
            self._add_if_live(now, member, record)
        elif before.zone != record.zone and not is_departed(status):
            self._zones.member_added(now, record.zone)
        if before is None or _restarts_timer(before, record):
            self._update_suspicion_timer(now, member, record)
            if status is Status.DEAD:
                self._zones.on_death(record.zone)
        if before is None or status is not before.status:
            self.changes.append(MemberChanged(record.name, record.zone, status))
        if broadcast:
            self._queue.add(member, _as_update(member, record))

    def _add_if_live(self, now: float, member: MemberId, record: MemberRecord) -> None:
        if not is_departed(record.status):
            self._zones.member_added(now, record.zone)
            self._order.insert(member)

    def _update_suspicion_timer(self, now: float, member: MemberId, record: MemberRecord) -> None:
        self._timers.stop(member)
        if record.status is Status.SUSPECT and self._zones.is_reachable(record.zone):
            self._timers.start(now, member, suspicion_timeout(self._timing, self._table.size))


def _restarts_timer(before: MemberRecord, record: MemberRecord) -> bool:
    """Return whether the suspicion timer has to be stopped, and started again for a suspect.

    A suspicion of another incarnation is a new one, and after a change of zone the new zone may be reachable.
    """
    identity = before.status, before.incarnation, before.zone
    return (record.status, record.incarnation, record.zone) != identity


def _as_update(member: MemberId, record: MemberRecord) -> Update:
    """Return the full record if the member is alive, and otherwise only its status.

    An update with status ALIVE is about a new member or a new incarnation.
    """
    if record.status is Status.ALIVE:
        return record
    return StatusUpdate(member, record.incarnation, record.status)
