"""Broadcast queue: sends each update a limited number of times, the least often sent updates first.

Cost that grows with the fleet: one entry for each member with a new update, about 300 bytes, at most
MAX_QUEUED entries. The number of times that an update is sent grows with the logarithm of the fleet size.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from saltcourse.gossip.codec import update_size
from saltcourse.gossip.messages import MAX_DATAGRAM_BYTES, MemberId, Status, Update, ZoneSum

HEADER_RESERVE_BYTES = 80  # upper bound of the codec's header, which precedes the message in a datagram
MESSAGE_RESERVE_BYTES = 16  # upper bound of the fields of a message without its list of records
RECORDS_ROOM_BYTES = MAX_DATAGRAM_BYTES - HEADER_RESERVE_BYTES - MESSAGE_RESERVE_BYTES
MAX_QUEUED = 1_024  # updates; when the queue is full, the one sent most often is dropped
BUSY_QUEUE_LENGTH = 64  # updates; three datagrams can't hold as many
BroadcastKey = MemberId | str  # id of a member, or name of the zone of a zone sum


@dataclass(slots=True)
class Broadcast:
    """One update, and the number of times it was sent."""

    update: Update
    size: int  # encoded size in bytes
    transmissions: int = 0


class BroadcastQueue:
    """Newest update of each member and zone, grouped into levels by the number of transmissions."""

    def __init__(self, retransmit_multiplier: float) -> None:
        self.queued = 0  # total of updates added
        self.transmissions = 0  # total of updates taken to be sent
        self.dropped = 0  # updates dropped because the queue was full
        self._multiplier = retransmit_multiplier
        self._limit = 1  # transmissions after which an update is removed
        self._levels: list[dict[BroadcastKey, Broadcast]] = [{}]
        self._broadcasts: dict[BroadcastKey, Broadcast] = {}
        self._zone_sums = 0  # number of zone sums in ``_broadcasts``

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._broadcasts)

    @property
    def has_member_updates(self) -> bool:
        """Whether updates other than zone sums are queued.

        Zone sums alone need no messages of their own: the next probe or Ack carries them.
        """
        return len(self._broadcasts) > self._zone_sums

    @property
    def is_busy(self) -> bool:
        """Whether at least BUSY_QUEUE_LENGTH updates are queued."""
        return len(self._broadcasts) >= BUSY_QUEUE_LENGTH

    def add(self, key: BroadcastKey, update: Update) -> None:
        """Queue an update; it replaces an older one of the same member or zone."""
        self._discard(key)
        if len(self._broadcasts) >= MAX_QUEUED:
            self._drop_most_sent()
        self._put(key, Broadcast(update, update_size(update)))
        self.queued += 1

    def take(self, room: int, fleet_size: int) -> tuple[Update, ...]:
        """Return updates of at most ``room`` bytes for one datagram, and count a transmission of each."""
        if not self._broadcasts:
            return ()
        selected = self._select(room)
        self._limit = math.ceil(self._multiplier * math.log10(fleet_size + 1))
        for key, broadcast in selected:
            self._count_transmission(key, broadcast)
        self.transmissions += len(selected)
        return tuple([broadcast.update for _, broadcast in selected])

    def on_duplicate(self, key: BroadcastKey, incarnation: int, status: Status) -> None:
        """Handle an update received from another member that may be queued here too.

        While the queue is busy, the same update counts as one transmission: the more often it is received,
        the fewer members lack it (Demers et al. 1987: counter and feedback). In a short queue this would save
        nothing, and a refutation needs every transmission.
        """
        if not self.is_busy:
            return
        broadcast = self._broadcasts.get(key)
        if broadcast is None or isinstance(broadcast.update, ZoneSum):
            return
        if (broadcast.update.incarnation, broadcast.update.status) == (incarnation, status):
            self._count_transmission(key, broadcast)

    def _count_transmission(self, key: BroadcastKey, broadcast: Broadcast) -> None:
        self._discard(key)
        broadcast.transmissions += 1
        if broadcast.transmissions < self._limit:
            self._put(key, broadcast)

    def _select(self, room: int) -> list[tuple[BroadcastKey, Broadcast]]:
        selected: list[tuple[BroadcastKey, Broadcast]] = []
        for level in self._levels:
            for key, broadcast in level.items():
                room -= broadcast.size
                if room < 0:
                    return selected
                selected.append((key, broadcast))
        return selected

    def _put(self, key: BroadcastKey, broadcast: Broadcast) -> None:
        while len(self._levels) <= broadcast.transmissions:
            self._levels.append({})
        self._levels[broadcast.transmissions][key] = broadcast
        self._broadcasts[key] = broadcast
        self._zone_sums += isinstance(broadcast.update, ZoneSum)

    def _discard(self, key: BroadcastKey) -> None:
        broadcast = self._broadcasts.pop(key, None)
        if broadcast is not None:
            del self._levels[broadcast.transmissions][key]
            self._zone_sums -= isinstance(broadcast.update, ZoneSum)

    def _drop_most_sent(self) -> None:
        most_sent = max(number for number, level in enumerate(self._levels) if level)
        self._discard(next(iter(self._levels[most_sent])))
        self.dropped += 1
