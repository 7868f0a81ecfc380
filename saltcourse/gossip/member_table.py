"""The member table: what this member believes of every other, with the indexes that keep each look-up cheap.

Cost that grows with the fleet: about 1 kB for each member known, departed ones included; MAX_MEMBERS bounds
it at 4 MB. A change costs O(members / SYNC_BUCKETS) at most (an insertion into a sorted list). ``live`` is
cached and costs O(members log members) when it is asked after a change.
"""

from __future__ import annotations

import hashlib
import random
import struct
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from heapq import merge

from saltcourse.gossip.messages import (
    MAX_LABEL_BYTES, MAX_MEMBERS, MAX_NAME_BYTES, SYNC_BUCKETS, MemberId, MemberRecord, Status,
)

MAX_INCARNATION = 2**32 - 1
_DIGEST_BYTES = 8
_DIGEST_FIELDS = struct.Struct("!QII")  # id, incarnation, process


@dataclass(slots=True)
class Member:
    """One entry of the table. ``since`` is when its status was last changed, on this member's clock."""

    record: MemberRecord
    since: float
    told_at: float = float("-inf")  # when its own record was last sent to it

    @property
    def status(self) -> Status:
        return self.record.status


def is_departed(status: Status) -> bool:
    return status >= Status.DEAD


def overrides(new: MemberRecord, held: MemberRecord) -> bool:
    """A total order, so that all members settle on one record whatever the order in which records come.

    The last criterion, the process, matters only while two processes use one name at one incarnation.
    """
    return (new.incarnation, new.status, new.process) > (held.incarnation, held.status, held.process)


def is_valid(record: MemberRecord) -> bool:
    """Whether a decoded record can be a member's: it must be possible to name it and to send to it."""
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
    """A set of member ids with insertion, removal and a random choice in constant time."""

    def __init__(self) -> None:
        self._ids: list[MemberId] = []
        self._places: dict[MemberId, int] = {}

    def __len__(self) -> int:
        return len(self._ids)

    def __iter__(self) -> Iterator[MemberId]:
        return iter(self._ids)

    def __contains__(self, member: object) -> bool:
        return member in self._places

    def add(self, member: MemberId) -> None:
        if member not in self._places:
            self._places[member] = len(self._ids)
            self._ids.append(member)

    def discard(self, member: MemberId) -> None:
        place = self._places.pop(member, None)
        if place is None:
            return
        last = self._ids.pop()
        if last != member:
            self._ids[place] = last
            self._places[last] = place

    def choose(self, source: random.Random) -> MemberId:
        """IndexError when it is empty."""
        return self._ids[int(source.random() * len(self._ids))]


@dataclass(slots=True)
class ZoneIndex:
    """The members of one zone that have not departed, this member excluded."""

    live: IdSet = field(default_factory=IdSet)
    suspects: IdSet = field(default_factory=IdSet)


class MemberTable:
    """All records, the own one included. Departed members are kept in the order of their departure."""

    def __init__(self, me: MemberRecord) -> None:
        self.own_id = me.id
        self.members: dict[MemberId, Member] = {}
        self.live_ids = IdSet()
        self.dead_ids = IdSet()  # without those that left
        self.zones: dict[str, ZoneIndex] = {}
        self.digests = [0] * SYNC_BUCKETS
        self.status_counts = dict.fromkeys(Status, 0)
        self._departed: dict[MemberId, None] = {}
        self._buckets: list[list[MemberId]] = [[] for _ in range(SYNC_BUCKETS)]
        self._live_records: dict[str | None, tuple[MemberRecord, ...]] = {}
        self.store(0.0, self.own_id, me)

    def __len__(self) -> int:
        return len(self.members)

    def get(self, member: MemberId) -> Member | None:
        return self.members.get(member)

    @property
    def own(self) -> MemberRecord:
        return self.members[self.own_id].record

    @property
    def size(self) -> int:
        """Of the fleet: members that have not departed, this one included."""
        return len(self.live_ids) + 1

    # ---- changes ----------------------------------------------------------------------------------

    def has_room(self) -> bool:
        """For one more member; the one that departed first gives way if it must."""
        if len(self.members) < MAX_MEMBERS:
            return True
        oldest = next(iter(self._departed), None)
        if oldest is None:
            return False
        self.remove(oldest)
        return True

    def store(self, now: float, member: MemberId, record: MemberRecord) -> None:
        """Insert or replace a record, whatever it says. The caller has asked ``has_room`` for a new one."""
        entry = self.members.get(member)
        if entry is None:
            self.members[member] = Member(record, now)
            insort(self._buckets[member % SYNC_BUCKETS], member)
        else:
            self._unindex(member, entry.record)
            if entry.record.status != record.status:
                entry.since = now
            entry.record = record
        self._index(member, record)

    def remove(self, member: MemberId) -> None:
        entry = self.members.pop(member)
        self._unindex(member, entry.record)
        self._departed.pop(member, None)
        bucket = self._buckets[member % SYNC_BUCKETS]
        del bucket[bisect_left(bucket, member)]

    def forget_departed(self, before: float) -> None:
        """Remove those that departed before a time."""
        while self._departed:
            oldest = next(iter(self._departed))
            if self.members[oldest].since > before:
                return
            self.remove(oldest)

    def _index(self, member: MemberId, record: MemberRecord) -> None:
        self.status_counts[record.status] += 1
        if is_departed(record.status):
            self._departed.setdefault(member)
            if record.status is Status.DEAD:
                self.dead_ids.add(member)
        else:
            self._departed.pop(member, None)
            self.digests[member % SYNC_BUCKETS] ^= _digest(member, record)
        if member != self.own_id and not is_departed(record.status):
            self.live_ids.add(member)
            zone = self.zones.setdefault(record.zone, ZoneIndex())
            zone.live.add(member)
            if record.status is Status.SUSPECT:
                zone.suspects.add(member)
        self._live_records.pop(None, None)
        self._live_records.pop(record.zone, None)

    def _unindex(self, member: MemberId, record: MemberRecord) -> None:
        """All but the place among the departed, which a member keeps from DEAD to LEFT."""
        self.status_counts[record.status] -= 1
        self.dead_ids.discard(member)
        if not is_departed(record.status):
            self.digests[member % SYNC_BUCKETS] ^= _digest(member, record)
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
        """Records of members alive or suspect, without this one, in the order of their ids."""
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
        """Ids above the cursor in the given buckets, in their order; lazily, so that a page costs a page."""
        return merge(*(_tail(self._buckets[bucket], cursor) for bucket in buckets))

    def differing_buckets(self, digests: Sequence[int]) -> list[int]:
        """All of them when the other side has sent none."""
        if len(digests) != SYNC_BUCKETS:
            return list(range(SYNC_BUCKETS))
        return [bucket for bucket in range(SYNC_BUCKETS) if digests[bucket] != self.digests[bucket]]


def _tail(bucket: list[MemberId], cursor: MemberId) -> Iterator[MemberId]:
    for place in range(bisect_right(bucket, cursor), len(bucket)):
        yield bucket[place]


def _digest(member: MemberId, record: MemberRecord) -> int:
    """XORed into its bucket. Alive and suspect are the same here: a suspicion passes by itself. Departed
    members are left out, so that tables which forget them at different times agree."""
    fields = _DIGEST_FIELDS.pack(member, record.incarnation, record.process)
    return int.from_bytes(hashlib.blake2b(fields, digest_size=_DIGEST_BYTES).digest(), "big")
