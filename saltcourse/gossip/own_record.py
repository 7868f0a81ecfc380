"""The own record: refutation of what others claim of this member, and other processes of its name.

At most one raise of the incarnation each RAISE_INTERVAL_SECONDS, whatever is claimed: two live processes of
one name outbid each other at that pace and no faster.
"""

from __future__ import annotations

import math
from dataclasses import replace

from saltcourse.gossip.member_table import MAX_INCARNATION
from saltcourse.gossip.messages import MemberRecord, Status

RAISE_INTERVAL_SECONDS = 1.0


class OwnRecord:
    """This member as it wants to be known."""

    def __init__(self, record: MemberRecord) -> None:
        self.record = record
        self.refutations = 0  # claims that this member is suspect, dead or gone
        self.name_conflicts = 0  # datagrams and claims of another live process of this name
        self.exhausted = 0  # claims at the highest incarnation, which cannot be overridden
        self._to_exceed: int | None = None  # the incarnation to be exceeded as soon as it is allowed
        self._raise_at = -math.inf
        self._took_over = False  # from an earlier process of this name

    @property
    def has_left(self) -> bool:
        """Whether this member has announced that it ends."""
        return self.record.status is Status.LEFT

    def on_claim(self, now: float, incarnation: int, status: Status, process_id: int | None) -> bool:
        """A claim about this member (about a ``process_id``, if it has one). Whether the record changed."""
        if not self._is_contested(incarnation, status, process_id):
            return False
        if process_id is not None and process_id != self.record.process_id:
            self._count_conflict(status)
        elif status is not Status.ALIVE:
            self.refutations += 1
        return self._exceed(now, incarnation)

    def on_name_conflict(self, now: float, incarnation: int, process_id: int) -> bool:
        """A datagram came from another process of this name. Whether the record changed."""
        self.name_conflicts += 1
        if not self._is_contested(incarnation, Status.ALIVE, process_id):
            return False
        return self._exceed(now, incarnation)

    def raise_if_allowed(self, now: float) -> bool:
        """Raise the incarnation where a claim demands it, if it is time. Whether the record changed."""
        if self._to_exceed is None or now < self._raise_at:
            return False
        incarnation = min(max(self._to_exceed, self.record.incarnation) + 1, MAX_INCARNATION)
        self.record = replace(self.record, incarnation=incarnation)
        self._to_exceed = None
        self._raise_at = now + RAISE_INTERVAL_SECONDS
        return True

    def leave(self) -> None:
        """Become LEFT; no claim is refuted from now on."""
        self._to_exceed = None
        self.record = replace(self.record, status=Status.LEFT)

    def next_deadline(self) -> float:
        """When ``raise_if_allowed`` is to be called, in seconds on the clock of ``now``."""
        return math.inf if self._to_exceed is None else self._raise_at

    def _exceed(self, now: float, incarnation: int) -> bool:
        if self.record.incarnation >= MAX_INCARNATION:
            self.exhausted += 1
            return False
        self._to_exceed = max(self._to_exceed or 0, incarnation)
        return self.raise_if_allowed(now)

    def _is_contested(self, incarnation: int, status: Status, process_id: int | None) -> bool:
        if self.has_left:
            return False
        if incarnation != self.record.incarnation:
            return incarnation > self.record.incarnation
        return status is not Status.ALIVE or (process_id is not None and process_id != self.record.process_id)

    def _count_conflict(self, status: Status) -> None:
        """Count no conflict for the record of a process that has ended: it is overridden once."""
        if self._took_over and status is Status.ALIVE:
            self.name_conflicts += 1
        self._took_over = True
