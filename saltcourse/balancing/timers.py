"""Timers: the tokens that identify the balancer's timers, and the timers of requests.

A timer lasts for as long as a client would wait, up to a minute, and keeps its request in memory. So it is
cancelled once the request needs it no more: clients that leave at once and come again under new ids would
otherwise fill the memory.
"""

from __future__ import annotations

from saltcourse.balancing.actions import Action, CancelTimer, SetTimer
from saltcourse.balancing.errors import UnknownTimerError
from saltcourse.balancing.state import Request

TICK_TOKEN = 1  # Timer that refreshes candidates and ceilings.
ENDPOINT_LIST_TOKEN = 2  # Timer that calls discovery.


class RequestTimers:
    """Sets the timers of requests; their tokens are the integers after ``ENDPOINT_LIST_TOKEN``."""

    __slots__ = ("_actions", "_last_token", "requests")

    def __init__(self, actions: list[Action]) -> None:
        self._actions = actions
        self._last_token = ENDPOINT_LIST_TOKEN
        self.requests: dict[int, Request] = {}  # token -> request

    def start(self, request: Request, delay: float) -> None:
        """Set a timer for the request that fires after ``delay`` seconds."""
        self._last_token += 1
        self.requests[self._last_token] = request
        request.timers.append(self._last_token)
        self._actions.append(SetTimer(max(0.0, delay), self._last_token))

    def cancel(self, request: Request) -> None:
        """Cancel all timers of a request that is established or has its final answer."""
        for token in request.timers:
            del self.requests[token]
            self._actions.append(CancelTimer(token))
        request.timers.clear()

    def pop(self, token: int) -> Request | None:
        """Remove a timer that has fired and return its request, or None if the timer has ended before.

        Raises ``UnknownTimerError`` if no timer with this token was ever set.
        """
        if not ENDPOINT_LIST_TOKEN < token <= self._last_token:
            raise UnknownTimerError(token)
        request = self.requests.pop(token, None)
        if request is not None:
            request.timers.remove(token)
        return request
