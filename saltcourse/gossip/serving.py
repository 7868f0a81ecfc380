"""Answers requests of members that lack changes, from the log or, for older versions, from a checkpoint."""

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
from saltcourse.gossip.snapshots import make_part

DATAGRAM_RESERVE_BYTES = 32  # left unused in an answer with changes
MAX_CHANGES_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES - DATAGRAM_RESERVE_BYTES


def fit_in_datagram(changes: Sequence[Change]) -> tuple[Change, ...]:
    """Return the first changes, as many as fit into one datagram but at least one."""
    chosen: list[Change] = []
    room = MAX_CHANGES_BYTES
    for change in changes[:MAX_LIST_LENGTH]:
        room -= change_size(change)
        if room < 0 and chosen:
            break
        chosen.append(change)
    return tuple(chosen)


class ChangeServer:
    """Answers each request with at most one datagram: answers can be lost or duplicated but never partial."""

    def __init__(self, configuration: FleetConfiguration, counters: Counter[str]) -> None:
        self._configuration = configuration
        self._counters = counters

    def answer_fetch(self, source: Address, message: Fetch) -> list[Send]:
        """Answer a fetch; return nothing for a member that is not behind this one."""
        relation = self._configuration.compare(message.after)
        if relation is PositionRelation.CONFLICT:
            self._counters["fetch_conflict"] += 1
        if relation is not PositionRelation.KNOWN or message.after == self._configuration.position:
            return []
        changes = self._configuration.changes_after(message.after.version)
        if changes is None:
            return self.answer_snapshot_fetch(source, SnapshotFetch(Position(), 0))
        self._counters["fetches_served"] += 1
        return [Send(source, Changes(fit_in_datagram(changes)), Priority.CONFIGURATION)]

    def answer_snapshot_fetch(self, source: Address, message: SnapshotFetch) -> list[Send]:
        """Answer a request for one part of a snapshot.

        If the requested checkpoint is not kept any more, the answer is the first part of the newest one, so
        that the receiver learns of it.
        """
        checkpoint = self._configuration.checkpoint_at(message.position)
        offset = message.offset
        if checkpoint is None:
            checkpoint = self._configuration.newest_checkpoint
            offset = 0
        if checkpoint is None or checkpoint.position < message.position:
            return []
        part = make_part(checkpoint, offset)
        if part is None:
            self._counters["snapshot_bad_offset"] += 1
            return []
        self._counters["snapshot_parts_served"] += 1
        return [Send(source, part, Priority.BULK)]
