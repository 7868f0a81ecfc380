"""Number of client connections in each zone, aggregated over a tree of the zone's proxies.

The proxies of a zone, sorted by id, form a tree with fan-in FAN_IN: the parent of the proxy at index i is at
index (i - 1) // FAN_IN. In each ``tally_interval`` every proxy sends the sum of its subtree to its parent;
the root broadcasts the zone's sum. While members disagree about the members of the zone, a proxy may be
missing from the sum or counted twice, for CHILD_TIMEOUT_INTERVALS intervals at each level of the tree.

Cost: one message sent and at most FAN_IN received in each interval, independent of the fleet size. Costs that
grow with the fleet: one entry for each zone, about 300 bytes, at most MAX_ZONES entries; and one pass over
the live members of the own zone each time they have changed.
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

FAN_IN = 8  # maximum number of children of a proxy
CHILD_TIMEOUT_INTERVALS = 3  # tally intervals after which a silent child is left out of the sum
SUM_LIFETIME_SECONDS = 30.0  # time after which a zone's sum is removed unless it is renewed
MAX_ZONES = 256
MAX_U32 = 2**32 - 1  # limit of the member, connection and sequence fields


@dataclass(frozen=True, slots=True)
class Subtree:
    """The last tally of a child, and the time of its receipt in seconds."""

    members: int
    connections: int
    received_at: float


@dataclass(frozen=True, slots=True)
class KnownSum:
    """The newest sum of one zone, and the time of its receipt in seconds."""

    update: ZoneSum
    received_at: float


@dataclass(frozen=True, slots=True)
class TreePosition:
    """Position of a proxy in the tree of its zone.

    ``parent`` is None at the root. ``parent_is_root`` is true for the children of the root.
    """

    parent: MemberRecord | None
    parent_is_root: bool
    children: frozenset[MemberId]


class AggregationStep(NamedTuple):
    """Result of ``Aggregation.tick``."""

    sends: list[Send]
    zone_sum: ZoneSum | None  # the sum to broadcast; only at the root


class Aggregation:
    """Aggregates the tallies of this member's subtree, and keeps the newest sums of all zones."""

    def __init__(self, timing: Timing, rng: random.Random) -> None:
        self._interval = timing.tally_interval
        self._sum_interval = timing.sum_interval
        self._broadcast_at = float("-inf")
        self._rng = rng
        self._connections = 0
        self._subtrees: dict[MemberId, Subtree] = {}
        self._sums: dict[str, KnownSum] = {}  # by zone, in the order of renewal
        # The members from which ``_tree_position`` was computed.
        self._zone_members: Sequence[MemberRecord] | None = None
        self._tree_position = TreePosition(None, False, frozenset())
        self._zone = ""
        self._root_sequence_is_old = False  # the root broadcast a sequence below the newest known one
        self._tally_at = -math.inf

    def set_count(self, connections: int) -> None:
        """Set the number of client connections of this proxy."""
        self._connections = min(max(connections, 0), MAX_U32)

    def handle(self, now: float, header: Header, message: Tally) -> None:
        """Store the tally of a child. Tallies of other senders belong to another subtree and are ignored."""
        if message.zone == self._zone and header.sender in self._tree_position.children:
            self._subtrees[header.sender] = Subtree(message.members, message.connections, now)

    def receive(self, now: float, update: ZoneSum) -> bool:
        """Store a sum of a zone. Return whether it is newer than the known one and has to be forwarded."""
        self._remove_expired(now)
        known = self._sums.get(update.zone)
        if known is None and len(self._sums) >= MAX_ZONES:
            return False
        if known is not None and update.sequence <= known.update.sequence:
            is_old = update.zone == self._zone and update.sequence < known.update.sequence
            self._root_sequence_is_old = self._root_sequence_is_old or is_old
            return False
        self._store(now, update)
        return True

    def sums(self, now: float) -> dict[str, ZoneSum]:
        """Return the sums by zone that were renewed within SUM_LIFETIME_SECONDS."""
        self._remove_expired(now)
        return {zone: known.update for zone, known in self._sums.items()}

    def next_deadline(self) -> float:
        """Return the time of the next required ``tick``, in seconds on the clock of ``now``."""
        return self._tally_at

    def tick(
        self, now: float, own_record: MemberRecord, zone_members: Sequence[MemberRecord]
    ) -> AggregationStep:
        """Send the subtree's tally to the parent; at the root, return the zone's sum to be broadcast.

        ``zone_members`` are the other live members of this member's zone.
        """
        if now < self._tally_at:
            return AggregationStep([], None)
        self._tally_at = now + self._interval * self._rng.uniform(0.9, 1.1)
        self._zone = own_record.zone
        if own_record.role is not Role.PROXY or own_record.status is not Status.ALIVE:
            return AggregationStep([], None)
        self._update_tree_position(own_record, zone_members)
        tally = self._sum_subtree(now)
        parent = self._tree_position.parent
        if parent is None:
            return AggregationStep([], self._periodic_zone_sum(now, tally))
        sends = [Send(parent.address, tally, Priority.MEMBERSHIP), *self._send_newest_sum(parent)]
        return AggregationStep(sends, None)

    def _update_tree_position(self, own_record: MemberRecord, zone_members: Sequence[MemberRecord]) -> None:
        """Recompute the position in the tree if ``zone_members`` is another object than before.

        ``Membership.live`` returns a new sequence after each change.
        """
        if zone_members is self._zone_members:
            return
        self._zone_members = zone_members
        self._tree_position = _find_tree_position(own_record, zone_members)
        self._subtrees = {
            child: subtree
            for child, subtree in self._subtrees.items()
            if child in self._tree_position.children
        }

    def _sum_subtree(self, now: float) -> Tally:
        oldest = now - CHILD_TIMEOUT_INTERVALS * self._interval
        members = 1
        connections = self._connections
        for child, subtree in list(self._subtrees.items()):
            if subtree.received_at < oldest:
                del self._subtrees[child]
                continue
            members += subtree.members
            connections += subtree.connections
        return Tally(self._zone, min(members, MAX_U32), min(connections, MAX_U32))

    def _periodic_zone_sum(self, now: float, tally: Tally) -> ZoneSum | None:
        if now < self._broadcast_at:
            return None
        self._broadcast_at = now + self._sum_interval
        return self._next_zone_sum(now, tally)

    def _next_zone_sum(self, now: float, tally: Tally) -> ZoneSum | None:
        """Store and return the next sum of the zone.

        Return None while the newest known sequence is the highest possible. The sequence starts at 1 again
        after that sum has expired.
        """
        self._remove_expired(now)
        known = self._sums.get(self._zone)
        sequence = 1 if known is None else known.update.sequence + 1
        if sequence > MAX_U32:
            return None
        update = ZoneSum(self._zone, sequence, tally.members, tally.connections)
        self._store(now, update)
        return update

    def _send_newest_sum(self, parent: MemberRecord) -> list[Send]:
        """Send the newest known sum to a root whose sequence is older, so that it continues from there.

        Only children of the root send it.
        """
        if not self._root_sequence_is_old:
            return []
        self._root_sequence_is_old = False
        known = self._sums.get(self._zone)
        if known is None or not self._tree_position.parent_is_root:
            return []
        return [Send(parent.address, Gossip((known.update,)), Priority.MEMBERSHIP)]

    def _remove_expired(self, now: float) -> None:
        """Remove expired sums. They are in the order of renewal, so only the oldest ones are checked."""
        while self._sums:
            zone, oldest = next(iter(self._sums.items()))
            if now - oldest.received_at < SUM_LIFETIME_SECONDS:
                return
            del self._sums[zone]

    def _store(self, now: float, update: ZoneSum) -> None:
        self._sums.pop(update.zone, None)
        self._sums[update.zone] = KnownSum(update, now)


def _find_tree_position(own_record: MemberRecord, zone_members: Sequence[MemberRecord]) -> TreePosition:
    """Return this member's position in the tree. Control members hold no connections and are left out."""
    proxies = {record.id: record for record in zone_members if record.role is Role.PROXY}
    own_id = own_record.id
    ids = sorted({own_id, *proxies})
    index = ids.index(own_id)
    children = frozenset(ids[FAN_IN * index + 1 : FAN_IN * index + 1 + FAN_IN])
    if index == 0:
        return TreePosition(None, False, children)
    parent_index = (index - 1) // FAN_IN
    return TreePosition(proxies[ids[parent_index]], parent_index == 0, children)
