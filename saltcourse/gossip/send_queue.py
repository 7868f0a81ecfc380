"""Messages that wait for the byte budget, by priority: bounded, and without two that say the same."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from itertools import count

from saltcourse.gossip.messages import Changes, Fetch, Gossip, Priority, Send

MAX_WAITING = {Priority.CONFIGURATION: 64, Priority.MEMBERSHIP: 8, Priority.BULK: 8}  # the oldest give way
REPLACEABLE = (Changes, Fetch, Gossip)  # a newer one to the same member says all of the older


class SendQueue:
    """Takes the place of its elder: a configuration message to a member that already has one waiting.

    A member that gets no answer in time asks again. Without this its questions would be answered one by one,
    each with what it has got meanwhile, and a burst of changes would be slowed down by its own repetitions.
    """

    def __init__(self) -> None:
        self._waiting: dict[Priority, OrderedDict[Hashable, Send]] = {
            priority: OrderedDict() for priority in sorted(MAX_WAITING)
        }
        self._numbers = count()
        self.dropped = 0

    def __bool__(self) -> bool:
        return any(self._waiting.values())

    def push(self, send: Send) -> None:
        queue = self._waiting[send.priority]
        queue[self._key(send)] = send
        if len(queue) > MAX_WAITING[send.priority]:
            queue.popitem(last=False)
            self.dropped += 1

    def pop(self) -> Send:
        """The oldest of the most urgent priority. KeyError when nothing waits."""
        for queue in self._waiting.values():
            if queue:
                return queue.popitem(last=False)[1]
        raise KeyError("nothing waits")

    def _key(self, send: Send) -> Hashable:
        if send.priority is Priority.CONFIGURATION and isinstance(send.message, REPLACEABLE):
            return send.destination, type(send.message)
        return next(self._numbers)
