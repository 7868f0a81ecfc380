"""Operators' changes at one voter: waiting to be proposed, or proposed and not known to be committed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from saltcourse.gossip.messages import Position, Publish

MAX_PENDING = 64  # changes waiting or under way at one voter
NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class PendingPublish:
    event: Publish
    deadline: float  # on the clock of ``now``


class PublishQueue:
    """In the order in which the operators asked, which is the order of the deadlines too."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingPublish] = {}  # by number, in the order of asking
        self._waiting: deque[int] = deque()
        self._proposed: dict[Position, int] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def full(self) -> bool:
        return len(self._pending) >= MAX_PENDING

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    def add(self, event: Publish, deadline: float) -> None:
        self._last_number += 1
        self._pending[self._last_number] = PendingPublish(event, deadline)
        self._waiting.append(self._last_number)

    def next_waiting(self) -> Publish:
        return self._pending[self._waiting[0]].event

    def refuse(self) -> None:
        """Forgets the next waiting one."""
        del self._pending[self._waiting.popleft()]

    def propose(self, position: Position) -> None:
        """The next waiting one is proposed at this position."""
        self._proposed[position] = self._waiting.popleft()

    def commit(self, position: Position) -> Publish | None:
        """The one that was proposed at this position, if it was proposed here and its time is not up.

        Where another change has taken its version, the one proposed here can't be committed any more: it
        waits again, ahead of the others.
        """
        replaced = [p for p in self._proposed if p.version == position.version and p != position]
        for other in sorted(replaced, reverse=True):
            self._waiting.appendleft(self._proposed.pop(other))
        number = self._proposed.pop(position, None)
        return None if number is None else self._pending.pop(number).event

    def expire(self, now: float) -> list[Publish]:
        """Forgets those whose time is up. One that was proposed may still be committed."""
        expired = [number for number, pending in self._pending.items() if pending.deadline <= now]
        if not expired:
            return []
        self._waiting = deque(number for number in self._waiting if number not in expired)
        self._proposed = {p: number for p, number in self._proposed.items() if number not in expired}
        return [self._pending.pop(number).event for number in expired]

    def next_deadline(self) -> float:
        for pending in self._pending.values():
            return pending.deadline
        return NEVER
