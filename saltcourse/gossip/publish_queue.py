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
    """In the order in which the operators asked."""

    def __init__(self) -> None:
        self._waiting: deque[PendingPublish] = deque()
        self._proposed: dict[Position, PendingPublish] = {}

    def __len__(self) -> int:
        return len(self._waiting) + len(self._proposed)

    @property
    def full(self) -> bool:
        return len(self) >= MAX_PENDING

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    def add(self, event: Publish, deadline: float) -> None:
        self._waiting.append(PendingPublish(event, deadline))

    def take(self) -> PendingPublish:
        """The next one to be proposed."""
        return self._waiting.popleft()

    def proposed(self, position: Position, pending: PendingPublish) -> None:
        self._proposed[position] = pending

    def committed(self, position: Position) -> PendingPublish | None:
        """The one that was proposed at this position, if it was proposed here and its time is not up.

        Where another change has taken its version, the one proposed here can't be committed any more; it is
        proposed anew.
        """
        found = self._proposed.pop(position, None)
        replaced = [p for p in self._proposed if p.version == position.version]
        for other in sorted(replaced, reverse=True):
            self._waiting.appendleft(self._proposed.pop(other))
        return found

    def expire(self, now: float) -> list[PendingPublish]:
        """Forgets those whose time is up. One that was proposed may still be committed."""
        expired = [p for p in self._all() if p.deadline <= now]
        self._waiting = deque(p for p in self._waiting if p.deadline > now)
        self._proposed = {at: p for at, p in self._proposed.items() if p.deadline > now}
        return expired

    def next_deadline(self) -> float:
        return min((pending.deadline for pending in self._all()), default=NEVER)

    def _all(self) -> list[PendingPublish]:
        return [*self._proposed.values(), *self._waiting]
