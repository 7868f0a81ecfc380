"""Operators' changes that are pending at one voter: waiting to be proposed, or proposed and uncommitted."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from saltcourse.gossip.messages import Position, Publish

MAX_PENDING = 64  # changes pending at one voter
NO_DEADLINE = float("inf")


@dataclass(frozen=True, slots=True)
class PendingPublish:
    """An operator's change whose result is still open."""

    event: Publish
    deadline: float  # seconds on the clock of ``now``


class PublishQueue:
    """Pending changes, in the order in which operators submitted them.

    Their deadlines are in the same order.
    """

    def __init__(self) -> None:
        self._pending: dict[int, PendingPublish] = {}  # by number, in the order of arrival
        self._waiting: deque[int] = deque()
        self._proposed: dict[Position, int] = {}
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of pending changes, whether waiting or proposed."""
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Whether the queue accepts no further change."""
        return len(self._pending) >= MAX_PENDING

    @property
    def waiting_count(self) -> int:
        """The number of changes that are not proposed yet."""
        return len(self._waiting)

    def add(self, event: Publish, deadline: float) -> None:
        """Append a change; it fails if it is not committed by ``deadline``."""
        self._last_number += 1
        self._pending[self._last_number] = PendingPublish(event, deadline)
        self._waiting.append(self._last_number)

    def next_waiting(self) -> Publish:
        """Return the next change to be proposed. Raise ``IndexError`` if no change waits."""
        return self._pending[self._waiting[0]].event

    def reject_next(self) -> None:
        """Drop the next waiting change."""
        del self._pending[self._waiting.popleft()]

    def mark_proposed(self, position: Position) -> None:
        """Mark the next waiting change as proposed at ``position``."""
        self._proposed[position] = self._waiting.popleft()

    def mark_committed(self, position: Position) -> Publish | None:
        """Remove and return the change proposed here at ``position``; None if there is none or it expired.

        If a different change was committed at its version, a change proposed here can't be committed at that
        version any more. It waits again, ahead of the other waiting changes.
        """
        replaced = [p for p in self._proposed if p.version == position.version and p != position]
        for other in sorted(replaced, reverse=True):
            self._waiting.appendleft(self._proposed.pop(other))
        number = self._proposed.pop(position, None)
        return None if number is None else self._pending.pop(number).event

    def expire(self, now: float) -> list[Publish]:
        """Remove and return the changes whose deadline has passed. Proposed ones may still be committed."""
        expired = [number for number, pending in self._pending.items() if pending.deadline <= now]
        if not expired:
            return []
        self._waiting = deque(number for number in self._waiting if number not in expired)
        self._proposed = {p: number for p, number in self._proposed.items() if number not in expired}
        return [self._pending.pop(number).event for number in expired]

    def next_deadline(self) -> float:
        """Return the time of the next ``expire``, in seconds on the clock of ``now``."""
        for pending in self._pending.values():
            return pending.deadline
        return NO_DEADLINE
