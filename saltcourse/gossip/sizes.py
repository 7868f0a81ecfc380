"""Encoded sizes that the membership parts fill datagrams by: never below what the codec makes of a record."""

from __future__ import annotations

from saltcourse.gossip.messages import MAX_DATAGRAM_BYTES, MemberRecord, StatusUpdate, Update

HEADER_RESERVE_BYTES = 80  # of a datagram before the message
MESSAGE_RESERVE_BYTES = 16  # of a message besides its list of records
RECORDS_ROOM_BYTES = MAX_DATAGRAM_BYTES - HEADER_RESERVE_BYTES - MESSAGE_RESERVE_BYTES

_STATUS_UPDATE_BYTES = 13
_MEMBER_RECORD_BYTES = 32 + 2  # fixed part with the longest address, and its port
_ZONE_SUM_BYTES = 14


def update_size(update: Update) -> int:
    if isinstance(update, StatusUpdate):
        return _STATUS_UPDATE_BYTES
    if isinstance(update, MemberRecord):
        texts = len(update.name.encode()) + len(update.region.encode()) + len(update.zone.encode())
        return _MEMBER_RECORD_BYTES + texts
    return _ZONE_SUM_BYTES + len(update.zone.encode())
