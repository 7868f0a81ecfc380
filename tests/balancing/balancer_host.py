"""A minimal test host for a Balancer: keeps the clock, fires timers and records the actions."""

from __future__ import annotations

import heapq
from typing import Any

from saltcourse.balancing.actions import Action, SetTimer, StartAttempt
from saltcourse.balancing.balancer import Balancer
from saltcourse.balancing.events import (
    AttemptFinished,
    AttemptStatus,
    ConnectionEstablished,
    ConnectionResumed,
    Endpoint,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    HealthCheckFinished,
    LoadReport,
    RequestReceived,
    TimerFired,
)
from saltcourse.balancing.outlier_ejection import HealthEvent
from saltcourse.balancing.settings import RequestClass, Settings
from saltcourse.balancing.state import Backend

ANSWER_SLACK_SECONDS = 0.01  # Maximum time of a final answer after the deadline.
QUICK = RequestClass("quick", latency_objective=0.3, deadline=1.2, message_latency_objective=0.06)


def settings(**changes: Any) -> Settings:
    """Return default settings for tests, with the given changes."""
    base: dict[str, Any] = {
        "classes": (QUICK,),
        "warm_up": 10.0,
        "initial_capacity_share": 0.25,
        "max_attempts": 4,
        "zone": "z0",
        "time_step": 0.002,
    }
    return Settings(**(base | changes))


def make_endpoints(count: int, **changes: Any) -> tuple[Endpoint, ...]:
    """Return the endpoints s0, s1, ... in zone z0."""
    return tuple(Endpoint(f"s{i}", **({"zone": "z0"} | changes)) for i in range(count))


class BalancerHost:
    """Passes events to a Balancer; an attempt stays in flight until the test ends it."""

    def __init__(self, seed: int = 1, now: float = 100.0, **changes: Any) -> None:
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.now = now
        self.timers: list[tuple[float, int]] = []
        self.log: list[tuple[float, Action]] = []
        # request -> number and backend of its attempt, or of its connection
        self.in_flight: dict[str, tuple[int, str]] = {}
        self.attempts: dict[str, int] = {}  # request -> number of attempts started
        self.request_count = 0

    # ---- events ------------------------------------------------------------------------------------

    def handle(self, event: Event) -> list[Action]:
        """Pass one event to the balancer and record the actions."""
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                heapq.heappush(self.timers, (self.now + action.delay, action.token))
            elif isinstance(action, StartAttempt):
                assert action.request not in self.in_flight, "two attempts of a request in flight"
                attempt = self.attempts.get(action.request, 0)
                self.attempts[action.request] = attempt + 1
                self.in_flight[action.request] = (attempt, action.backend)
        return actions

    def run(self, seconds: float) -> None:
        """Advance the clock and fire the timers that expire."""
        end = self.now + seconds
        while self.timers and self.timers[0][0] <= end:
            self.now, token = heapq.heappop(self.timers)
            self.handle(TimerFired(token))
        self.now = end

    def update_endpoints(
        self, endpoints: tuple[Endpoint, ...], kind: EndpointUpdateKind = EndpointUpdateKind.SNAPSHOT
    ) -> None:
        """Send an update of the endpoint list."""
        self.handle(EndpointsUpdated(kind, endpoints))

    def request(self, time_left: float = 1.2, request_class: str = "quick", **fields: Any) -> str:
        """Send a client's request, and return its name: r1, r2, ..."""
        self.request_count += 1
        name = f"r{self.request_count}"
        self.handle(RequestReceived(name, request_class, time_left, **fields))
        return name

    def establish(self, request: str, latency: float = 0.01) -> None:
        """Establish the connection of the request's attempt."""
        self.handle(ConnectionEstablished(request, self.in_flight[request][0], latency))

    def connect(self) -> str:
        """Send a request and establish its connection."""
        request = self.request()
        self.establish(request)
        return request

    def finish(self, request: str, status: AttemptStatus, final: bool = False, **fields: Any) -> None:
        """End the request's attempt or connection."""
        attempt, _ = self.in_flight.pop(request)
        self.handle(AttemptFinished(request, attempt, status, final=final, **fields))

    def report_loads(self, **loads: float) -> None:
        """Finish health checks with load reports, such as ``s0=0.5``."""
        for name, load in loads.items():
            self.handle(HealthCheckFinished(name, AttemptStatus.OK, report=LoadReport(load=load)))

    def fail(self, name: str) -> None:
        """Eject a backend by a failure event."""
        self.balancer.ejection.apply(self.now, self.backend(name), HealthEvent.FAILURE)

    # ---- observations ------------------------------------------------------------------------------

    def actions(self, kind: type) -> list[Any]:
        """Return all actions of a type so far."""
        return [action for _, action in self.log if isinstance(action, kind)]

    def backend_of(self, request: str) -> str:
        """Return the backend of the request's attempt or connection."""
        return self.in_flight[request][1]

    def backend(self, name: str) -> Backend:
        """Return the balancer's state of a backend."""
        return self.balancer.pool.backends[name]


def host_with_reports(count: int, **connections: str) -> BalancerHost:
    """Return a host whose backends report loads.

    ``s0="aab"`` puts two connections of group a and one of group b on s0.
    """
    host = BalancerHost(reports_load=True, health_checks_allowed=True, has_groups=True)
    host.update_endpoints(make_endpoints(count))
    for backend, groups in connections.items():
        for i, group in enumerate(groups):
            request = f"{backend}-{group}{i}"
            host.handle(ConnectionResumed(request, "quick", backend, group=group))
            host.in_flight[request] = (0, backend)
    return host


def endpoints_in_zones(count: int) -> tuple[Endpoint, ...]:
    """Return the endpoints s0, s1, ... in the zones z0, z1 and z2 in turn."""
    return tuple(Endpoint(f"s{i}", zone=f"z{i % 3}") for i in range(count))
