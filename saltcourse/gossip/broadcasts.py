"""Updates on their way through the fleet: each is passed on a number of times, those passed on least first.

Cost that grows with the fleet: one entry for each member with news, at most MAX_QUEUED; the number of times
that an update is passed on grows with the logarithm of the fleet.
"""

from __future__ import annotations

import math

from saltcourse.gossip.codec import update_size
from saltcourse.gossip.messages import (
    MAX_DATAGRAM_BYTES, MemberId, MemberRecord, StatusUpdate, Update, ZoneSum,
)

HEADER_RESERVE_BYTES = 80  # of a datagram before the message; the codec's header may grow to it
MESSAGE_RESERVE_BYTES = 16  # of a message besides its list of records
RECORDS_ROOM_BYTES = MAX_DATAGRAM_BYTES - HEADER_RESERVE_BYTES - MESSAGE_RESERVE_BYTES

MAX_QUEUED = 1_024  # updates; at the bound the one that was passed on most often gives way
Key = MemberId | str  # a member's id, or the zone of a sum


class BroadcastQueue:
    """The newest update of each member and zone, in one level for each number of transmissions made."""

    def __init__(self, retransmit_multiplier: float) -> None:
        self.queued = 0  # updates ever put in
        self.transmissions = 0  # updates ever taken out to be sent
        self.dropped = 0  # at the bound
        self._multiplier = retransmit_multiplier
        self._levels: list[dict[Key, Update]] = [{}]
        self._level_of: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, update: Update) -> None:
        """Replaces an older update of the same member or zone."""
        key = _key(update)
        self._discard(key)
        if len(self._level_of) >= MAX_QUEUED:
            self._drop_one()
        self._put(key, update, 0)
        self.queued += 1

    def take(self, room: int, fleet: int) -> tuple[Update, ...]:
        """Updates of at most ``room`` bytes for one datagram; each counts as passed on once more."""
        if not self._level_of:
            return ()
        taken: list[tuple[Key, Update, int]] = []
        for level, updates in enumerate(self._levels):
            for key, update in updates.items():
                room -= update_size(update)
                if room < 0:
                    break
                taken.append((key, update, level))
            if room < 0:
                break
        limit = math.ceil(self._multiplier * math.log10(fleet + 1))
        for key, update, level in taken:
            self._discard(key)
            if level + 1 < limit:
                self._put(key, update, level + 1)
        self.transmissions += len(taken)
        return tuple(update for _, update, _ in taken)

    def _put(self, key: Key, update: Update, level: int) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][key] = update
        self._level_of[key] = level

    def _discard(self, key: Key) -> None:
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[level][key]

    def _drop_one(self) -> None:
        fullest = max(level for level, updates in enumerate(self._levels) if updates)
        self._discard(next(iter(self._levels[fullest])))
        self.dropped += 1


def _key(update: Update) -> Key:
    if isinstance(update, ZoneSum):
        return update.zone
    if isinstance(update, MemberRecord):
        return update.id
    assert isinstance(update, StatusUpdate)
    return update.member
