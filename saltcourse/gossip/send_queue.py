"""Messages that wait for the byte budget, by priority: bounded, and without duplicates."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from itertools import count

from saltcourse.gossip.messages import Changes, Fetch, Gossip, Priority, Send

MAX_WAITING = {Priority.CONFIGURATION: 64, Priority.MEMBERSHIP: 8, Priority.BULK: 8}  # the oldest are dropped
REPLACEABLE = (Changes, Fetch, Gossip)  # a newer one to the same member has all of the older


@dataclass(frozen=True, slots=True)
class _Waiting:
    send: Send
    since: float


class SendQueue:
    """Bounded queues by priority.

    A configuration message takes the place of an older one of its kind to the same member: who gets no answer
    in time asks again, and must not be answered once for each request.

    Of answers with changes, the one to the member that is furthest ahead goes first, and those that have
    waited for ``answer_lifetime`` (s) are dropped, since their members have asked others meanwhile. So
    a server that can't serve all at once serves a few completely, who then serve the rest; one that gave a
    little to everybody would remain the only one with new changes.
    """

    def __init__(self, answer_lifetime: float) -> None:
        self._answer_lifetime = answer_lifetime
        self._queues: dict[Priority, OrderedDict[Hashable, _Waiting]] = {
            priority: OrderedDict() for priority in sorted(MAX_WAITING)
        }
        self._numbers = count()
        self.dropped = 0

    def __bool__(self) -> bool:
        """Whether a message waits."""
        return any(self._queues.values())

    def push(self, now: float, send: Send) -> None:
        """Add a message; the oldest of its priority is dropped at the bound."""
        queue = self._queues[send.priority]
        queue[self._key(send)] = _Waiting(send, now)
        if len(queue) > MAX_WAITING[send.priority]:
            queue.popitem(last=False)
            self.dropped += 1

    def pop(self, now: float) -> Send | None:
        """The next message of the most urgent priority; None when nothing waits."""
        self._expire(now)
        for queue in self._queues.values():
            if queue:
                return queue.pop(self._first(queue)).send
        return None

    def _first(self, queue: OrderedDict[Hashable, _Waiting]) -> Hashable:
        """The oldest message that is no answer with changes, else the answer with the newest changes."""
        for key, waiting in queue.items():
            if not isinstance(waiting.send.message, Changes):
                return key
        return max(queue, key=lambda key: _first_version(queue[key].send))

    def _expire(self, now: float) -> None:
        queue = self._queues[Priority.CONFIGURATION]
        expired = [
            key
            for key, waiting in queue.items()
            if isinstance(waiting.send.message, Changes) and now >= waiting.since + self._answer_lifetime
        ]
        for key in expired:
            del queue[key]
            self.dropped += 1

    def _key(self, send: Send) -> Hashable:
        if send.priority is Priority.CONFIGURATION and isinstance(send.message, REPLACEABLE):
            return send.destination, type(send.message)
        return next(self._numbers)


def _first_version(send: Send) -> int:
    message = send.message
    return message.changes[0].position.version if isinstance(message, Changes) and message.changes else 0
