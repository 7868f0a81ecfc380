"""Timers: the tokens that identify the balancer's timers, and the timers of requests."""

from __future__ import annotations

from saltcourse.balancing.actions import Action, SetTimer
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
        self._actions.append(SetTimer(max(0.0, delay), self._last_token))

    def pop(self, token: int) -> Request:
        """Remove a timer that has fired and return its request.

        Raises ``UnknownTimerError`` if no timer with this token is set.
        """
        try:
            return self.requests.pop(token)
        except KeyError:
            raise UnknownTimerError(token) from None
