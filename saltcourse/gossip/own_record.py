"""This member's own record: refutation of claims about it, and conflicts with other processes of its name.

The incarnation is raised at most once in RAISE_INTERVAL_SECONDS, whatever is claimed. This limits the rate at
which two live processes with the same name raise their incarnations above each other's.
"""

from __future__ import annotations

import math
from dataclasses import replace

from saltcourse.gossip.member_table import MAX_INCARNATION
from saltcourse.gossip.messages import MemberRecord, Status

RAISE_INTERVAL_SECONDS = 1.0  # minimum time between two raises of the incarnation


class OwnRecord:
    """The record that this member broadcasts about itself."""

    def __init__(self, record: MemberRecord) -> None:
        self.record = record
        self.refutations = 0  # claims that this member is suspect, dead or has left
        self.name_conflicts = 0  # datagrams and claims of another live process with this name
        self.exhausted = 0  # claims not overridden because the incarnation is already the highest possible
        self._incarnation_to_exceed: int | None = None  # None: no raise is pending
        self._raise_allowed_at = -math.inf
        self._replaced_process = False  # a claim about an earlier process with this name was overridden

    @property
    def has_left(self) -> bool:
        """Whether this member has announced its departure."""
        return self.record.status is Status.LEFT

    def on_claim(self, now: float, incarnation: int, status: Status, process_id: int | None) -> bool:
        """Handle a claim about this member. Return whether the own record changed.

        ``process_id`` is the process that the claim is about; None if the claim does not contain it.
        """
        if not self._must_exceed(incarnation, status, process_id):
            return False
        if process_id is not None and process_id != self.record.process_id:
            self._count_conflict(status)
        elif status is not Status.ALIVE:
            self.refutations += 1
        return self._request_raise(now, incarnation)

    def on_name_conflict(self, now: float, incarnation: int, process_id: int) -> bool:
        """Handle a datagram from another process with this name. Return whether the own record changed."""
        self.name_conflicts += 1
        if not self._must_exceed(incarnation, Status.ALIVE, process_id):
            return False
        return self._request_raise(now, incarnation)

    def raise_incarnation_if_allowed(self, now: float) -> bool:
        """Raise the incarnation if a raise is pending and allowed. Return whether the own record changed."""
        if self._incarnation_to_exceed is None or now < self._raise_allowed_at:
            return False
        incarnation = min(max(self._incarnation_to_exceed, self.record.incarnation) + 1, MAX_INCARNATION)
        self.record = replace(self.record, incarnation=incarnation)
        self._incarnation_to_exceed = None
        self._raise_allowed_at = now + RAISE_INTERVAL_SECONDS
        return True

    def leave(self) -> None:
        """Set the status to LEFT. Claims are not refuted after this call."""
        self._incarnation_to_exceed = None
        self.record = replace(self.record, status=Status.LEFT)

    def next_deadline(self) -> float:
        """Return the time of the next ``raise_incarnation_if_allowed``, in seconds; infinity if none."""
        return math.inf if self._incarnation_to_exceed is None else self._raise_allowed_at

    def _request_raise(self, now: float, incarnation: int) -> bool:
        if self.record.incarnation >= MAX_INCARNATION:
            self.exhausted += 1
            return False
        self._incarnation_to_exceed = max(self._incarnation_to_exceed or 0, incarnation)
        return self.raise_incarnation_if_allowed(now)

    def _must_exceed(self, incarnation: int, status: Status, process_id: int | None) -> bool:
        """Return whether a claim can only be overridden with a higher incarnation."""
        if self.has_left:
            return False
        if incarnation != self.record.incarnation:
            return incarnation > self.record.incarnation
        return status is not Status.ALIVE or (process_id is not None and process_id != self.record.process_id)

    def _count_conflict(self, status: Status) -> None:
        """Count a claim about another process as a name conflict.

        The first one is not counted: it is the record of an earlier process, which this member overrides
        once.
        """
        if self._replaced_process and status is Status.ALIVE:
            self.name_conflicts += 1
        self._replaced_process = True
