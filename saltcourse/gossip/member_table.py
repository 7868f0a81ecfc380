"""The member table: one record for each known member, with indexes for constant-time lookups.

Cost that grows with the fleet: about 0.8 kB for each known member, including departed ones; MAX_MEMBERS
bounds it at 3.3 MB. A change costs at most O(members / SYNC_BUCKETS), for an insertion into a sorted list.
``live`` is cached and costs O(members log members) when it is called after a change.
"""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from heapq import merge

from saltcourse.gossip.messages import (
    MAX_LABEL_BYTES,
    MAX_MEMBERS,
    MAX_NAME_BYTES,
    SYNC_BUCKETS,
    MemberId,
    MemberRecord,
    Status,
)

MAX_INCARNATION = 2**32 - 1
_MASK_64_BITS = 2**64 - 1
_MULTIPLIERS = (0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9, 0x94D049BB133111EB)  # constants of SplitMix64


@dataclass(slots=True)
class Member:
    """One entry of the table. Times are in seconds on this member's clock."""

    record: MemberRecord
    since: float  # last change of the status
    digest: int = 0  # digest of the record; only valid while the member has not departed
    notified_at: float = float("-inf")  # last time the record was sent to the member itself

    @property
    def status(self) -> Status:
        """Status of the record."""
        return self.record.status


def is_departed(status: Status) -> bool:
    """Return whether the status is DEAD or LEFT."""
    return status >= Status.DEAD


def with_status(record: MemberRecord, incarnation: int, status: Status) -> MemberRecord:
    """Return the record with another incarnation and status.

    Called for each new update; takes a third of the time of ``dataclasses.replace``.
    """
    name, address, region, zone, role = record.name, record.address, record.region, record.zone, record.role
    return MemberRecord(name, address, region, zone, role, incarnation, record.process_id, status)


def overrides(new: MemberRecord, current: MemberRecord) -> bool:
    """Return whether ``new`` takes precedence over ``current``.

    Records are totally ordered, so that all members converge on the same one in whatever order they arrive.
    The process id decides only while two processes use the same name at the same incarnation.
    """
    return (new.incarnation, new.status, new.process_id) > (
        current.incarnation,
        current.status,
        current.process_id,
    )


def is_valid(record: MemberRecord) -> bool:
    """Return whether the name, zone, region, address and incarnation of a decoded record are valid."""
    host, port = record.address
    return (
        0 < len(record.name.encode()) <= MAX_NAME_BYTES
        and 0 < len(record.zone.encode()) <= MAX_LABEL_BYTES
        and 0 < len(record.region.encode()) <= MAX_LABEL_BYTES
        and bool(host)
        and 0 < port < 2**16
        and 0 <= record.incarnation <= MAX_INCARNATION
    )


class IdSet:
    """Set of member ids with insertion, removal and random choice in constant time."""

    def __init__(self) -> None:
        self._ids: list[MemberId] = []
        self._indexes: dict[MemberId, int] = {}

    def __len__(self) -> int:
        """Return the number of ids."""
        return len(self._ids)

    def __iter__(self) -> Iterator[MemberId]:
        """Iterate in an unspecified but reproducible order."""
        return iter(self._ids)

    def __contains__(self, member: object) -> bool:
        """Return whether the id is in the set."""
        return member in self._indexes

    def add(self, member: MemberId) -> None:
        """Insert an id if it is not in the set."""
        if member not in self._indexes:
            self._indexes[member] = len(self._ids)
            self._ids.append(member)

    def discard(self, member: MemberId) -> None:
        """Remove an id if it is in the set."""
        index = self._indexes.pop(member, None)
        if index is None:
            return
        last = self._ids.pop()
        if last != member:
            self._ids[index] = last
            self._indexes[last] = index

    def choose(self, rng: random.Random) -> MemberId:
        """Return a random id. Raise IndexError if the set is empty."""
        return self._ids[int(rng.random() * len(self._ids))]


@dataclass(slots=True)
class ZoneIndex:
    """Ids of the live members of one zone, without this member."""

    live: IdSet = field(default_factory=IdSet)
    suspects: IdSet = field(default_factory=IdSet)


class MemberTable:
    """Records of all known members, including this member and, until they are removed, departed members."""

    def __init__(self, own_record: MemberRecord) -> None:
        self.own_id = own_record.id
        self.members: dict[MemberId, Member] = {}
        self.live_ids = IdSet()
        self.dead_ids = IdSet()  # members with status DEAD, not LEFT
        self.zones: dict[str, ZoneIndex] = {}
        self.digests = [0] * SYNC_BUCKETS
        self.status_counts = dict.fromkeys(Status, 0)
        self._ids: dict[str, MemberId] = {}  # by name; avoids hashing the names of known members again
        self._departed: dict[MemberId, None] = {}  # in the order of departure
        self._buckets: list[list[MemberId]] = [[] for _ in range(SYNC_BUCKETS)]
        self._live_records: dict[str | None, tuple[MemberRecord, ...]] = {}
        self.store(0.0, self.own_id, own_record)

    def __len__(self) -> int:
        """Return the number of records, including this member's."""
        return len(self.members)

    def get(self, member: MemberId) -> Member | None:
        """Return the entry of a member, or None if it is not in the table."""
        return self.members.get(member)

    def id_of(self, record: MemberRecord) -> MemberId:
        """Return the member id of a record, without hashing the name of a known member."""
        member = self._ids.get(record.name)
        return record.id if member is None else member

    @property
    def own_record(self) -> MemberRecord:
        """This member's own record."""
        return self.members[self.own_id].record

    @property
    def size(self) -> int:
        """Size of the fleet: members that have not departed, including this member."""
        return len(self.live_ids) + 1

    # ---- changes ----------------------------------------------------------------------------------

    def make_room(self) -> bool:
        """Return whether a new member can be stored; remove the member that departed first if necessary."""
        if len(self.members) < MAX_MEMBERS:
            return True
        oldest = next(iter(self._departed), None)
        if oldest is None:
            return False
        self.remove(oldest)
        return True

    def store(self, now: float, member: MemberId, record: MemberRecord) -> None:
        """Insert or replace a record of any status. The caller has called ``make_room`` for a new member."""
        entry = self.members.get(member)
        if entry is None:
            entry = self._insert(now, member, record)
        elif self._keeps_indexes(member, entry.record, record):
            self._update(now, member, entry, record)
            return
        else:
            self._unindex(member, entry)
        if entry.record.status is not record.status:
            entry.since = now
        entry.record = record
        self._index(member, entry)

    def remove(self, member: MemberId) -> None:
        """Remove a member. Raise KeyError if it is not in the table."""
        entry = self.members.pop(member)
        self._unindex(member, entry)
        del self._ids[entry.record.name]
        self._departed.pop(member, None)
        bucket = self._buckets[member % SYNC_BUCKETS]
        del bucket[bisect_left(bucket, member)]

    def forget_departed(self, before: float) -> None:
        """Remove the members that departed at or before ``before``, in seconds."""
        while self._departed:
            oldest = next(iter(self._departed))
            if self.members[oldest].since > before:
                return
            self.remove(oldest)

    def _insert(self, now: float, member: MemberId, record: MemberRecord) -> Member:
        entry = Member(record, now)
        self.members[member] = entry
        self._ids[record.name] = member
        insort(self._buckets[member % SYNC_BUCKETS], member)
        return entry

    def _keeps_indexes(self, member: MemberId, current: MemberRecord, record: MemberRecord) -> bool:
        """Return whether the member stays live and in the same zone, so that most indexes stay valid.

        This is the case for almost all changes.
        """
        return (
            member != self.own_id
            and current.status < Status.DEAD
            and record.status < Status.DEAD
            and current.zone == record.zone
        )

    def _update(self, now: float, member: MemberId, entry: Member, record: MemberRecord) -> None:
        current = entry.record
        entry.record = record
        if current.status is not record.status:
            entry.since = now
            self.status_counts[current.status] -= 1
            self.status_counts[record.status] += 1
            suspects = self.zones[record.zone].suspects
            if record.status is Status.SUSPECT:
                suspects.add(member)
            else:
                suspects.discard(member)
        if current.incarnation != record.incarnation or current.process_id != record.process_id:
            digest = _digest(member, record)
            self.digests[member % SYNC_BUCKETS] ^= entry.digest ^ digest
            entry.digest = digest
        self._live_records.pop(None, None)
        self._live_records.pop(record.zone, None)

    def _index(self, member: MemberId, entry: Member) -> None:
        record = entry.record
        self.status_counts[record.status] += 1
        if is_departed(record.status):
            self._departed.setdefault(member)
            if record.status is Status.DEAD:
                self.dead_ids.add(member)
        else:
            self._departed.pop(member, None)
            entry.digest = _digest(member, record)
            self.digests[member % SYNC_BUCKETS] ^= entry.digest
        if member != self.own_id and not is_departed(record.status):
            self.live_ids.add(member)
            zone = self.zones.setdefault(record.zone, ZoneIndex())
            zone.live.add(member)
            if record.status is Status.SUSPECT:
                zone.suspects.add(member)
        self._live_records.pop(None, None)
        self._live_records.pop(record.zone, None)

    def _unindex(self, member: MemberId, entry: Member) -> None:
        """Remove a member from the indexes except ``_departed``, whose order is that of departure."""
        record = entry.record
        self.status_counts[record.status] -= 1
        self.dead_ids.discard(member)
        if not is_departed(record.status):
            self.digests[member % SYNC_BUCKETS] ^= entry.digest
            self.live_ids.discard(member)
            self._unindex_zone(member, record.zone)
        self._live_records.pop(None, None)
        self._live_records.pop(record.zone, None)

    def _unindex_zone(self, member: MemberId, name: str) -> None:
        zone = self.zones.get(name)
        if zone is None:
            return
        zone.live.discard(member)
        zone.suspects.discard(member)
        if not zone.live:
            del self.zones[name]

    # ---- reads ------------------------------------------------------------------------------------

    def live(self, zone: str | None = None) -> Sequence[MemberRecord]:
        """Return the records of the other members that are alive or suspect, sorted by id."""
        records = self._live_records.get(zone)
        if records is None:
            if zone is None:
                ids: IdSet = self.live_ids
            elif zone in self.zones:
                ids = self.zones[zone].live
            else:
                return ()
            records = tuple(self.members[member].record for member in sorted(ids))
            self._live_records[zone] = records
        return records

    def ids_after(self, cursor: MemberId, buckets: Sequence[int]) -> Iterator[MemberId]:
        """Iterate over the ids above ``cursor`` in the given buckets, in ascending order.

        Lazy, so that the cost is that of the ids which are consumed.
        """
        return merge(*(_ids_above(self._buckets[bucket], cursor) for bucket in buckets))

    def differing_buckets(self, digests: Sequence[int]) -> list[int]:
        """Return the buckets whose digests differ; all buckets if the peer sent no digests."""
        if len(digests) != SYNC_BUCKETS:
            return list(range(SYNC_BUCKETS))
        return [bucket for bucket in range(SYNC_BUCKETS) if digests[bucket] != self.digests[bucket]]


def _ids_above(bucket: list[MemberId], cursor: MemberId) -> Iterator[MemberId]:
    for index in range(bisect_right(bucket, cursor), len(bucket)):
        yield bucket[index]


def _digest(member: MemberId, record: MemberRecord) -> int:
    """Return the value of one record that is XORed into the digest of its bucket.

    It does not depend on the status: a suspicion is temporary, so alive and suspect compare equal. Departed
    members are not part of the digest, so that tables agree although they remove them at different times.
    """
    return _mix(member + (record.process_id << 32 | record.incarnation) * _MULTIPLIERS[0])


def _mix(value: int) -> int:
    """Apply the finalizer of SplitMix64, in which each bit of the result depends on each bit of the value.

    This prevents equal changes of two values from cancelling each other when the results are XORed.
    """
    value &= _MASK_64_BITS
    value = (value ^ value >> 30) * _MULTIPLIERS[1] & _MASK_64_BITS
    value = (value ^ value >> 27) * _MULTIPLIERS[2] & _MASK_64_BITS
    return value ^ value >> 31
