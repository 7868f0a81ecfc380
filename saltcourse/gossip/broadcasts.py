"""Updates on their way through the fleet: each is passed on a number of times, those passed on least first.

Cost that grows with the fleet: one entry for each member with a new update, about 300 bytes, at most
MAX_QUEUED; the number of times that an update is passed on grows with the logarithm of the fleet.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from saltcourse.gossip.codec import update_size
from saltcourse.gossip.messages import MAX_DATAGRAM_BYTES, MemberId, Status, Update, ZoneSum

HEADER_RESERVE_BYTES = 80  # of a datagram before the message; the codec's header may grow to it
MESSAGE_RESERVE_BYTES = 16  # of a message besides its list of records
RECORDS_ROOM_BYTES = MAX_DATAGRAM_BYTES - HEADER_RESERVE_BYTES - MESSAGE_RESERVE_BYTES
MAX_QUEUED = 1_024  # updates; at the bound the one that was passed on most often is dropped
BUSY_QUEUE = 64  # updates: more than three datagrams hold
Key = MemberId | str  # a member's id, or the zone of a sum


@dataclass(slots=True)
class Broadcast:
    """One update, and how often it was passed on."""

    update: Update
    size: int  # encoded
    transmissions: int = 0


class BroadcastQueue:
    """The newest update of each member and zone, in one level for each number of transmissions made."""

    def __init__(self, retransmit_multiplier: float) -> None:
        self.queued = 0  # updates ever put in
        self.transmissions = 0  # updates ever taken out to be sent
        self.dropped = 0  # at the bound
        self._multiplier = retransmit_multiplier
        self._limit = 1  # times that an update is passed on
        self._levels: list[dict[Key, Broadcast]] = [{}]
        self._broadcasts: dict[Key, Broadcast] = {}
        self._sums = 0  # of the broadcasts

    def __len__(self) -> int:
        """Count the updates that wait."""
        return len(self._broadcasts)

    @property
    def has_news_of_members(self) -> bool:
        """Whether more than zone sums wait, which can wait for the next probe or answer to carry them."""
        return len(self._broadcasts) > self._sums

    @property
    def is_busy(self) -> bool:
        """Whether more wait than a few datagrams hold."""
        return len(self._broadcasts) >= BUSY_QUEUE

    def add(self, key: Key, update: Update) -> None:
        """Put in an update; it replaces an older one of the same member or zone."""
        self._discard(key)
        if len(self._broadcasts) >= MAX_QUEUED:
            self._drop_one()
        self._put(key, Broadcast(update, update_size(update)))
        self.queued += 1

    def take(self, room: int, fleet: int) -> tuple[Update, ...]:
        """Return updates of at most ``room`` bytes for one datagram; each counts as passed on once more."""
        if not self._broadcasts:
            return ()
        selected = self._select(room)
        self._limit = math.ceil(self._multiplier * math.log10(fleet + 1))
        for key, broadcast in selected:
            self._count(key, broadcast)
        self.transmissions += len(selected)
        return tuple([broadcast.update for _, broadcast in selected])

    def on_duplicate(self, key: Key, incarnation: int, status: Status) -> None:
        """Another member has sent the same update.

        While many updates wait, this counts as passing it on once: the more often it comes the fewer there
        are who lack it (Demers et al. 1987: counter and feedback). With few waiting nothing is gained by it,
        and a refutation needs every transmission.
        """
        if not self.is_busy:
            return
        broadcast = self._broadcasts.get(key)
        if broadcast is None or isinstance(broadcast.update, ZoneSum):
            return
        if (broadcast.update.incarnation, broadcast.update.status) == (incarnation, status):
            self._count(key, broadcast)

    def _count(self, key: Key, broadcast: Broadcast) -> None:
        self._discard(key)
        broadcast.transmissions += 1
        if broadcast.transmissions < self._limit:
            self._put(key, broadcast)

    def _select(self, room: int) -> list[tuple[Key, Broadcast]]:
        selected: list[tuple[Key, Broadcast]] = []
        for level in self._levels:
            for key, broadcast in level.items():
                room -= broadcast.size
                if room < 0:
                    return selected
                selected.append((key, broadcast))
        return selected

    def _put(self, key: Key, broadcast: Broadcast) -> None:
        while len(self._levels) <= broadcast.transmissions:
            self._levels.append({})
        self._levels[broadcast.transmissions][key] = broadcast
        self._broadcasts[key] = broadcast
        self._sums += isinstance(broadcast.update, ZoneSum)

    def _discard(self, key: Key) -> None:
        broadcast = self._broadcasts.pop(key, None)
        if broadcast is not None:
            del self._levels[broadcast.transmissions][key]
            self._sums -= isinstance(broadcast.update, ZoneSum)

    def _drop_one(self) -> None:
        fullest = max(number for number, level in enumerate(self._levels) if level)
        self._discard(next(iter(self._levels[fullest])))
        self.dropped += 1
