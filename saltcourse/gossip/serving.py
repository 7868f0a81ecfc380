"""Answers to members that lack changes: from the log, or from a checkpoint where the log does not go back."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from saltcourse.gossip.codec import HEADER_BYTES, change_size
from saltcourse.gossip.configuration import FleetConfiguration, PositionRelation
from saltcourse.gossip.fields import MAX_LIST_LENGTH
from saltcourse.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    Address,
    Change,
    Changes,
    Fetch,
    Position,
    Priority,
    Send,
    SnapshotFetch,
)
from saltcourse.gossip.snapshots import part_of

DATAGRAM_RESERVE_BYTES = 32  # left free in an answer with changes
CHANGES_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES - DATAGRAM_RESERVE_BYTES


def fitting(changes: Sequence[Change]) -> tuple[Change, ...]:
    """As many of them, from the first on, as one datagram holds; at least one."""
    chosen: list[Change] = []
    room = CHANGES_BYTES
    for change in changes[:MAX_LIST_LENGTH]:
        room -= change_size(change)
        if room < 0 and chosen:
            break
        chosen.append(change)
    return tuple(chosen)


class ChangeServer:
    """Each request gets one datagram at most, so an answer can be lost or doubled but never incomplete."""

    def __init__(self, configuration: FleetConfiguration, counters: Counter[str]) -> None:
        self._configuration = configuration
        self._counters = counters

    def changes(self, source: Address, message: Fetch) -> list[Send]:
        """Answer a fetch; nothing for a member that is not behind this one."""
        relation = self._configuration.relate(message.after)
        if relation is PositionRelation.CONFLICT:
            self._counters["fetch_conflict"] += 1
        if relation is not PositionRelation.KNOWN or message.after == self._configuration.position:
            return []
        changes = self._configuration.changes_after(message.after.version)
        if changes is None:
            return self.snapshot_part(source, SnapshotFetch(Position(), 0))
        self._counters["fetches_served"] += 1
        return [Send(source, Changes(fitting(changes)), Priority.CONFIGURATION)]

    def snapshot_part(self, source: Address, message: SnapshotFetch) -> list[Send]:
        """Answer a request for one part of a snapshot.

        Where that checkpoint is not kept any more: the first part of the newest, so that the receiver learns
        of it.
        """
        checkpoint = self._configuration.checkpoint_at(message.position)
        offset = message.offset
        if checkpoint is None:
            checkpoint = self._configuration.newest_checkpoint
            offset = 0
        if checkpoint is None or checkpoint.position < message.position:
            return []
        part = part_of(checkpoint, offset)
        if part is None:
            self._counters["snapshot_bad_offset"] += 1
            return []
        self._counters["snapshot_parts_served"] += 1
        return [Send(source, part, Priority.BULK)]
