"""Client connections of each zone, summed over a tree of its proxies.

The proxies of a zone in the order of their ids form a tree of fan-in FAN_IN: the parent of the one at place i
is at place (i - 1) // FAN_IN. Each sends the sum of its subtree to its parent in each ``tally_interval``; the
root makes it the zone's sum. While members disagree about who is in the zone, a proxy may be missing from the
sum or be in it twice, for CHILD_INTERVALS intervals at each level.

Cost: each interval one message sent and at most FAN_IN received, whatever the fleet's size. What grows with
the fleet: one entry for each zone, about 300 bytes, at most MAX_ZONES; and, each time that the live members
of the own zone have changed, one look through them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from saltcourse.gossip.messages import (
    Gossip,
    Header,
    MemberId,
    MemberRecord,
    Priority,
    Role,
    Send,
    Status,
    Tally,
    ZoneSum,
)
from saltcourse.gossip.settings import Timing

FAN_IN = 8
CHILD_INTERVALS = 3  # a child that sent nothing for so many tally intervals falls out
SUM_LIFETIME_SECONDS = 30.0  # without a renewal, then a zone's sum is forgotten
MAX_ZONES = 256
MAX_U32 = 2**32 - 1  # of members, connections and sequences


@dataclass(frozen=True, slots=True)
class Subtree:
    """What a child sent last, and when."""

    members: int
    connections: int
    received_at: float


@dataclass(frozen=True, slots=True)
class KnownSum:
    """The newest sum of one zone."""

    update: ZoneSum
    received_at: float


@dataclass(frozen=True, slots=True)
class Place:
    """A proxy's neighbours in the tree. ``parent`` is None at the root, ``parent_is_root`` below it."""

    parent: MemberRecord | None
    parent_is_root: bool
    children: frozenset[MemberId]


class AggregationStep(NamedTuple):
    """What one interval gives."""

    sends: list[Send]
    zone_sum: ZoneSum | None  # at the root only: to be broadcast


class Aggregation:
    """One member's part in the tree of its zone, and the newest sums of all zones."""

    def __init__(self, timing: Timing, rng: random.Random) -> None:
        self._interval = timing.tally_interval
        self._sum_interval = timing.sum_interval
        self._publish_at = float("-inf")
        self._rng = rng
        self._connections = 0
        self._subtrees: dict[MemberId, Subtree] = {}
        self._sums: dict[str, KnownSum] = {}  # the one renewed last comes last
        self._zone_members: Sequence[MemberRecord] | None = None  # that ``_place`` was made from
        self._place = Place(None, False, frozenset())
        self._zone = ""
        self._root_is_behind = False  # it publishes under sequences that are not the newest
        self._tally_at = -math.inf

    def set_count(self, connections: int) -> None:
        """Set the number of client connections of this proxy."""
        self._connections = min(max(connections, 0), MAX_U32)

    def handle(self, now: float, header: Header, message: Tally) -> None:
        """Keep a child's tally. Those of others are ignored: they belong to another place in the tree."""
        if message.zone == self._zone and header.sender in self._place.children:
            self._subtrees[header.sender] = Subtree(message.members, message.connections, now)

    def receive(self, now: float, update: ZoneSum) -> bool:
        """Keep a sum. Whether it is newer than what was known, so that it is to be passed on."""
        self._forget_old(now)
        known = self._sums.get(update.zone)
        if known is None and len(self._sums) >= MAX_ZONES:
            return False
        if known is not None and update.sequence <= known.update.sequence:
            behind = update.zone == self._zone and update.sequence < known.update.sequence
            self._root_is_behind = self._root_is_behind or behind
            return False
        self._keep(now, update)
        return True

    def sums(self, now: float) -> dict[str, ZoneSum]:
        """By zone, without those that were not renewed for SUM_LIFETIME_SECONDS."""
        self._forget_old(now)
        return {zone: known.update for zone, known in self._sums.items()}

    def next_deadline(self) -> float:
        """When ``tick`` is to be called, in seconds on the clock of ``now``."""
        return self._tally_at

    def tick(
        self, now: float, own_record: MemberRecord, zone_members: Sequence[MemberRecord]
    ) -> AggregationStep:
        """Send the subtree's tally to the parent; at the root, return the zone's sum to be broadcast.

        ``zone_members``: the live ones of this member's zone, without it.
        """
        if now < self._tally_at:
            return AggregationStep([], None)
        self._tally_at = now + self._interval * self._rng.uniform(0.9, 1.1)
        self._zone = own_record.zone
        if own_record.role is not Role.PROXY or own_record.status is not Status.ALIVE:
            return AggregationStep([], None)
        self._update_place(own_record, zone_members)
        tally = self._sum_subtree(now)
        parent = self._place.parent
        if parent is None:
            return AggregationStep([], self._publish_if_time(now, tally))
        sends = [Send(parent.address, tally, Priority.MEMBERSHIP), *self._correct_root(parent)]
        return AggregationStep(sends, None)

    def _update_place(self, own_record: MemberRecord, zone_members: Sequence[MemberRecord]) -> None:
        """Skip where the sequence is the same: ``Membership.live`` makes a new one for each change."""
        if zone_members is self._zone_members:
            return
        self._zone_members = zone_members
        self._place = _find_place(own_record, zone_members)
        self._subtrees = {
            child: subtree for child, subtree in self._subtrees.items() if child in self._place.children
        }

    def _sum_subtree(self, now: float) -> Tally:
        oldest = now - CHILD_INTERVALS * self._interval
        members = 1
        connections = self._connections
        for child, subtree in list(self._subtrees.items()):
            if subtree.received_at < oldest:
                del self._subtrees[child]
                continue
            members += subtree.members
            connections += subtree.connections
        return Tally(self._zone, min(members, MAX_U32), min(connections, MAX_U32))

    def _publish_if_time(self, now: float, tally: Tally) -> ZoneSum | None:
        if now < self._publish_at:
            return None
        self._publish_at = now + self._sum_interval
        return self._publish(now, tally)

    def _publish(self, now: float, tally: Tally) -> ZoneSum | None:
        """None while the newest sequence is the highest possible: the next can come when it is forgotten."""
        self._forget_old(now)
        known = self._sums.get(self._zone)
        sequence = 1 if known is None else known.update.sequence + 1
        if sequence > MAX_U32:
            return None
        update = ZoneSum(self._zone, sequence, tally.members, tally.connections)
        self._keep(now, update)
        return update

    def _correct_root(self, parent: MemberRecord) -> list[Send]:
        """Send a root that is new here the newest sum, from whose sequence it has to go on."""
        if not self._root_is_behind:
            return []
        self._root_is_behind = False
        known = self._sums.get(self._zone)
        if known is None or not self._place.parent_is_root:
            return []
        return [Send(parent.address, Gossip((known.update,)), Priority.MEMBERSHIP)]

    def _forget_old(self, now: float) -> None:
        """Sums are kept in the order of their renewal, so only the oldest ones are looked at."""
        while self._sums:
            zone, oldest = next(iter(self._sums.items()))
            if now - oldest.received_at < SUM_LIFETIME_SECONDS:
                return
            del self._sums[zone]

    def _keep(self, now: float, update: ZoneSum) -> None:
        self._sums.pop(update.zone, None)
        self._sums[update.zone] = KnownSum(update, now)


def _find_place(own_record: MemberRecord, zone_members: Sequence[MemberRecord]) -> Place:
    """Control members hold no connections and take no place."""
    proxies = {record.id: record for record in zone_members if record.role is Role.PROXY}
    own_id = own_record.id
    ids = sorted({own_id, *proxies})
    index = ids.index(own_id)
    children = frozenset(ids[FAN_IN * index + 1 : FAN_IN * index + 1 + FAN_IN])
    if index == 0:
        return Place(None, False, children)
    parent_index = (index - 1) // FAN_IN
    return Place(proxies[ids[parent_index]], parent_index == 0, children)
