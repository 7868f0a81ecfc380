"""Operators' changes at one voter: waiting to be proposed, or proposed and not known to be committed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from saltcourse.gossip.messages import Position, Publish

MAX_PENDING = 64  # changes waiting or under way at one voter
NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class PendingPublish:
    """A change that an operator waits for."""

    event: Publish
    deadline: float  # on the clock of ``now``


class PublishQueue:
    """Changes that wait, in the order in which the operators sent them.

    That is the order of their deadlines too.
    """

    def __init__(self) -> None:
        self._pending: dict[int, PendingPublish] = {}  # by number, in the order of arrival
        self._waiting: deque[int] = deque()
        self._proposed: dict[Position, int] = {}
        self._last_number = 0

    def __len__(self) -> int:
        """Count the changes that wait or are under way."""
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Whether one more must be rejected."""
        return len(self._pending) >= MAX_PENDING

    @property
    def waiting(self) -> int:
        """The number of changes that are not proposed yet."""
        return len(self._waiting)

    def add(self, event: Publish, deadline: float) -> None:
        """Append a change; it fails when it is not committed by ``deadline``."""
        self._last_number += 1
        self._pending[self._last_number] = PendingPublish(event, deadline)
        self._waiting.append(self._last_number)

    def next_waiting(self) -> Publish:
        """Return the next one to be proposed. IndexError when none waits."""
        return self._pending[self._waiting[0]].event

    def reject(self) -> None:
        """Drop the next waiting one."""
        del self._pending[self._waiting.popleft()]

    def propose(self, position: Position) -> None:
        """Move the next waiting one to those proposed, at this position."""
        self._proposed[position] = self._waiting.popleft()

    def commit(self, position: Position) -> Publish | None:
        """Take out the one that was proposed here at this position; None if there is none or it has expired.

        Where another change has its version, the one proposed here can't be committed any more: it waits
        again, ahead of the others.
        """
        replaced = [p for p in self._proposed if p.version == position.version and p != position]
        for other in sorted(replaced, reverse=True):
            self._waiting.appendleft(self._proposed.pop(other))
        number = self._proposed.pop(position, None)
        return None if number is None else self._pending.pop(number).event

    def expire(self, now: float) -> list[Publish]:
        """Drop those whose deadline has passed. One that was proposed may still be committed."""
        expired = [number for number, pending in self._pending.items() if pending.deadline <= now]
        if not expired:
            return []
        self._waiting = deque(number for number in self._waiting if number not in expired)
        self._proposed = {p: number for p, number in self._proposed.items() if number not in expired}
        return [self._pending.pop(number).event for number in expired]

    def next_deadline(self) -> float:
        """When ``expire`` is to be called, in seconds on the clock of ``now``."""
        for pending in self._pending.values():
            return pending.deadline
        return NEVER
