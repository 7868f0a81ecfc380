"""Timers: the tokens that tell the balancer's timers apart, and the timers of requests."""

from __future__ import annotations

from saltcourse.balancing.actions import Action, SetTimer
from saltcourse.balancing.errors import UnknownTimerError
from saltcourse.balancing.state import Request

TICK_TOKEN = 1  # of the timer that refreshes candidates and ceilings
ENDPOINT_LIST_TOKEN = 2  # of the timer that calls discovery; those of requests follow


class RequestTimers:
    """Timers of requests; their tokens follow those of the balancer's own timers."""

    __slots__ = ("_actions", "_last_token", "requests")

    def __init__(self, actions: list[Action]) -> None:
        self._actions = actions
        self._last_token = ENDPOINT_LIST_TOKEN
        self.requests: dict[int, Request] = {}  # token -> the request that it was set for

    def start(self, request: Request, delay: float) -> None:
        """Set a timer that goes off after ``delay`` seconds."""
        self._last_token += 1
        self.requests[self._last_token] = request
        self._actions.append(SetTimer(max(0.0, delay), self._last_token))

    def pop(self, token: int) -> Request:
        """The request of a timer that went off; raises ``UnknownTimerError``."""
        try:
            return self.requests.pop(token)
        except KeyError:
            raise UnknownTimerError(token) from None
