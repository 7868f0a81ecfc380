"""A tiny host for a Balancer: keeps the clock, fires timers and records what was done. Not a simulator."""

from __future__ import annotations

import heapq
from typing import Any

from saltcourse.balancing.actions import Action, SetTimer, StartAttempt
from saltcourse.balancing.balancer import Balancer
from saltcourse.balancing.events import (
    AttemptFinished,
    AttemptStatus,
    ConnectionEstablished,
    Endpoint,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    RequestReceived,
    TimerFired,
)
from saltcourse.balancing.settings import RequestClass, Settings

ANSWER_SLACK_SECONDS = 0.01  # by which a final answer may come after the deadline
QUICK = RequestClass("quick", latency_objective=0.3, deadline=1.2, message_latency_objective=0.06)


def settings(**changes: Any) -> Settings:
    base: dict[str, Any] = {
        "classes": (QUICK,),
        "warm_up": 10.0,
        "initial_capacity_share": 0.25,
        "max_attempts": 4,
        "zone": "z0",
        "time_step": 0.002,
    }
    return Settings(**(base | changes))


def members(count: int, **changes: Any) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(f"s{i}", **({"zone": "z0"} | changes)) for i in range(count))


class Node:
    """Feeds events to a Balancer; an attempt stays out until the test says how it ended."""

    def __init__(self, seed: int = 1, now: float = 100.0, **changes: Any) -> None:
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.now = now
        self.timers: list[tuple[float, int]] = []
        self.log: list[tuple[float, Action]] = []
        self.out: dict[str, tuple[int, str]] = {}  # request -> attempt and server now out
        self.sends: dict[str, int] = {}
        self.count = 0

    def give(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                heapq.heappush(self.timers, (self.now + action.delay, action.token))
            elif isinstance(action, StartAttempt):
                assert action.request not in self.out, "two attempts of a request at once"
                attempt = self.sends.get(action.request, 0)
                self.sends[action.request] = attempt + 1
                self.out[action.request] = (attempt, action.backend)
        return actions

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.timers and self.timers[0][0] <= end:
            self.now, token = heapq.heappop(self.timers)
            self.give(TimerFired(token))
        self.now = end

    def list(
        self, entries: tuple[Endpoint, ...], kind: EndpointUpdateKind = EndpointUpdateKind.SNAPSHOT
    ) -> None:
        self.give(EndpointsUpdated(kind, entries))

    def ask(self, patience: float = 1.2, klass: str = "quick", **fields: Any) -> str:
        self.count += 1
        name = f"r{self.count}"
        self.give(RequestReceived(name, klass, patience, **fields))
        return name

    def end(self, request: str, status: AttemptStatus, final: bool = False, **fields: Any) -> None:
        attempt, _ = self.out.pop(request)
        self.give(AttemptFinished(request, attempt, status, final=final, **fields))

    def stand(self, request: str, took: float = 0.01) -> None:
        self.give(ConnectionEstablished(request, self.out[request][0], took))

    def open(self) -> str:
        request = self.ask()
        self.stand(request)
        return request

    def of(self, kind: type) -> list[Any]:
        return [a for _, a in self.log if isinstance(a, kind)]

    def server_of(self, request: str) -> str:
        return self.out[request][1]
