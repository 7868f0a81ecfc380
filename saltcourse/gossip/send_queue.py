"""Bounded queue, by priority, of messages that wait for the byte budget."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from itertools import count

from saltcourse.gossip.messages import Changes, Fetch, Gossip, Priority, Send

# Limits of the queues; the oldest message of a full queue is dropped.
MAX_QUEUED_MESSAGES = {Priority.CONFIGURATION: 64, Priority.MEMBERSHIP: 8, Priority.BULK: 8}
REPLACEABLE_MESSAGES = (Changes, Fetch, Gossip)  # a newer message to a member includes an older one


@dataclass(frozen=True, slots=True)
class _QueuedMessage:
    send: Send
    queued_at: float


class SendQueue:
    """Queue of outgoing messages with one bounded queue for each priority.

    A configuration message replaces an older one of the same type to the same member. A member that gets no
    answer in time asks again, and must not receive an answer for each request.

    Among answers with changes, the one to the member with the highest version is sent first. Answers that
    have waited for ``answer_lifetime`` seconds are dropped, since their receivers have asked other members
    meanwhile. A member that cannot serve all requests at once thus serves a few of them completely, and these
    receivers can serve the others. If it served all of them in part, it would remain the only source of the
    new changes.
    """

    def __init__(self, answer_lifetime: float) -> None:
        self._answer_lifetime = answer_lifetime
        self._queues: dict[Priority, OrderedDict[Hashable, _QueuedMessage]] = {
            priority: OrderedDict() for priority in sorted(MAX_QUEUED_MESSAGES)
        }
        self._unique_keys = count()
        self.dropped = 0

    def __bool__(self) -> bool:
        """Return whether any message is queued."""
        return any(self._queues.values())

    def push(self, now: float, send: Send) -> None:
        """Add a message; drop the oldest one of its priority if the limit is exceeded."""
        queue = self._queues[send.priority]
        queue[self._key(send)] = _QueuedMessage(send, now)
        if len(queue) > MAX_QUEUED_MESSAGES[send.priority]:
            queue.popitem(last=False)
            self.dropped += 1

    def pop(self, now: float) -> Send | None:
        """Remove and return the next message of the most urgent priority; None if the queue is empty."""
        self._expire(now)
        for queue in self._queues.values():
            if queue:
                return queue.pop(self._next_key(queue)).send
        return None

    def _next_key(self, queue: OrderedDict[Hashable, _QueuedMessage]) -> Hashable:
        """Return the key of the oldest message other than ``Changes``, or else of the newest ``Changes``."""
        for key, queued in queue.items():
            if not isinstance(queued.send.message, Changes):
                return key
        return max(queue, key=lambda key: _first_version(queue[key].send))

    def _expire(self, now: float) -> None:
        queue = self._queues[Priority.CONFIGURATION]
        expired = [
            key
            for key, queued in queue.items()
            if isinstance(queued.send.message, Changes) and now >= queued.queued_at + self._answer_lifetime
        ]
        for key in expired:
            del queue[key]
            self.dropped += 1

    def _key(self, send: Send) -> Hashable:
        if send.priority is Priority.CONFIGURATION and isinstance(send.message, REPLACEABLE_MESSAGES):
            return send.destination, type(send.message)
        return next(self._unique_keys)


def _first_version(send: Send) -> int:
    message = send.message
    return message.changes[0].position.version if isinstance(message, Changes) and message.changes else 0
