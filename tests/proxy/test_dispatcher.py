"""The dispatcher around a scripted balancer: which events go in, and what becomes of its actions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from structlog.testing import capture_logs

from saltcourse.balancing.actions import (
    Action,
    FailRequest,
    FetchEndpoints,
    MigrateConnection,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
)
from saltcourse.balancing.events import (
    AttemptFinished,
    AttemptStatus,
    ConnectionEstablished,
    ConnectionResumed,
    EndpointsUpdated,
    Event,
    RequestReceived,
    TimerFired,
)
from saltcourse.codec.endpoint_list import read_endpoint_update
from saltcourse.config import Config, Limits
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.dispatcher import ActionHandlers, Dispatcher
from saltcourse.proxy.messages import (
    BeginAttempt,
    NewRequest,
    RequestFinished,
    ResumedConnection,
    StartDraining,
    StopDraining,
)
from tests.balancing.balancer_host import settings

ENDPOINTS = {
    "version": 1,
    "full": True,
    "servers": [{"id": "s0", "addr": "127.0.0.1:9", "state": "SERVING"}],
}


class ScriptedBalancer:
    """Gives the scripted actions for an event of a type, once each."""

    is_failing = False

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.script: dict[type, list[list[Action]]] = {}

    def on(self, event_type: type, *actions: Action) -> None:
        self.script.setdefault(event_type, []).append(list(actions))

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        scripted = self.script.get(type(event))
        return scripted.pop(0) if scripted else []

    def backend_reports(self, now: float) -> list[Any]:
        return []


class Owner:
    """A request's owner that keeps its messages."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    def send(self, message: Any) -> None:
        self.messages.append(message)


class Dispatched:
    """A dispatcher with a scripted balancer."""

    def __init__(self) -> None:
        self.to_discovery: list[Any] = []
        self.to_peers: list[Any] = []
        known = read_endpoint_update(ENDPOINTS)
        address = ("127.0.0.1", 0)
        config = Config("test", address, address, 7, Limits(1.0, 192, 512), known, settings(), True)
        handlers = ActionHandlers(self.to_discovery.append, self.to_peers.append)
        self.dispatcher = Dispatcher(config, Clock(), handlers)
        self.balancer = ScriptedBalancer()
        self.dispatcher._balancer = self.balancer  # type: ignore[assignment]
        self.owner = Owner()

    def new_request(self, request: str = "r", owner: Owner | None = None) -> None:
        received = RequestReceived(request, "quick", 1.0)
        self.dispatcher.send(NewRequest(owner or self.owner, received))

    async def let_run(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)


def play(scenario: Callable[[Dispatched], Any]) -> None:
    async def run() -> None:
        dispatched = Dispatched()
        dispatched.dispatcher.start()
        try:
            await scenario(dispatched)
        finally:
            assert dispatched.dispatcher.task is not None
            dispatched.dispatcher.task.cancel()

    asyncio.run(run())


def test_the_known_endpoints_come_first_and_attempts_are_numbered() -> None:
    async def scenario(dispatched: Dispatched) -> None:
        dispatched.balancer.on(RequestReceived, StartAttempt("r", "s0", 0.5))
        dispatched.balancer.on(AttemptFinished, StartAttempt("r", "unlisted", 0.4))
        dispatched.new_request()
        dispatched.dispatcher.send(AttemptFinished("r", 0, AttemptStatus.FULL))
        await dispatched.let_run()
        assert isinstance(dispatched.balancer.events[0], EndpointsUpdated)
        assert dispatched.owner.messages == [
            BeginAttempt("r", "s0", 0, 0.5, ("127.0.0.1", 9)),
            BeginAttempt("r", "unlisted", 1, 0.4, None),
        ]

    play(scenario)


def test_each_action_goes_where_it_belongs() -> None:
    async def scenario(dispatched: Dispatched) -> None:
        reject, message, fetch = RejectRequest("r", 0.25), SendPeerMessage("x"), FetchEndpoints()
        timer = SetTimer(0.0, 42)
        start = StartAttempt("r", "s0", 0.5)
        dispatched.balancer.on(RequestReceived, start, reject, message, fetch, timer)
        dispatched.new_request()
        await dispatched.let_run()
        begin = BeginAttempt("r", "s0", 0, 0.5, ("127.0.0.1", 9))
        assert dispatched.owner.messages == [begin, reject]
        assert dispatched.to_peers == [message] and dispatched.to_discovery == [fetch]
        await asyncio.sleep(0.01)
        assert dispatched.balancer.events[-1] == TimerFired(42)

    play(scenario)


def test_a_second_owner_with_an_open_id_is_failed_and_the_first_keeps_its_request() -> None:
    async def scenario(dispatched: Dispatched) -> None:
        second = Owner()
        dispatched.new_request()
        dispatched.new_request(owner=second)
        dispatched.dispatcher.send(RequestFinished(second, "r"))
        dispatched.balancer.on(AttemptFinished, FailRequest("r"))
        dispatched.dispatcher.send(AttemptFinished("r", 0, AttemptStatus.ERROR))
        await dispatched.let_run()
        assert second.messages == [FailRequest("r")]
        assert dispatched.owner.messages == [FailRequest("r")]

    play(scenario)


def test_an_attempt_for_a_request_whose_owner_is_done_is_reported_as_not_sent() -> None:
    async def scenario(dispatched: Dispatched) -> None:
        dispatched.new_request()
        dispatched.dispatcher.send(RequestFinished(dispatched.owner, "r"))
        dispatched.balancer.on(TimerFired, StartAttempt("r", "s0", 0.5))
        dispatched.dispatcher.send(TimerFired(1))
        await dispatched.let_run()
        assert dispatched.owner.messages == []
        not_sent = AttemptFinished("r", 0, AttemptStatus.NOT_SENT, 0.0, True)
        assert dispatched.balancer.events[-1] == not_sent

    play(scenario)


def test_a_drain_migrates_established_connections_and_later_ones_until_it_is_stopped() -> None:
    async def scenario(dispatched: Dispatched) -> None:
        for request in ("a", "b", "c"):
            dispatched.balancer.on(RequestReceived, StartAttempt(request, "s0", 0.5))
            dispatched.new_request(request)
        dispatched.dispatcher.send(ConnectionEstablished("a", 0, 0.01))
        dispatched.dispatcher.send(StartDraining())
        dispatched.dispatcher.send(ConnectionEstablished("b", 0, 0.01))
        dispatched.dispatcher.send(StopDraining())
        dispatched.dispatcher.send(ConnectionEstablished("c", 0, 0.01))
        await dispatched.let_run()
        migrated = [m for m in dispatched.owner.messages if isinstance(m, MigrateConnection)]
        assert migrated == [MigrateConnection("a"), MigrateConnection("b")]

    play(scenario)


def test_a_fault_in_the_balancer_costs_waiting_requests_and_no_established_connection() -> None:
    """The balancer raised an exception while one request waited and one connection was established.

    Nothing that it held can be trusted then. The request that waits is failed at once, and a new balancer is
    given the endpoint list and the established connection.
    """

    async def scenario(dispatched: Dispatched) -> None:
        for request in ("established", "waiting"):
            dispatched.balancer.on(RequestReceived, StartAttempt(request, "s0", 0.5))
            dispatched.new_request(request)
        dispatched.dispatcher.send(ConnectionEstablished("established", 0, 0.01))
        await dispatched.let_run()
        dispatched.owner.messages.clear()
        dispatched.balancer.handle = None  # type: ignore[assignment, method-assign]
        with capture_logs() as logs:
            dispatched.dispatcher.send(TimerFired(1))
            await dispatched.let_run()
        assert [entry["event"] for entry in logs] == ["balancer failed"]
        assert dispatched.owner.messages == [FailRequest("waiting")]
        new_balancer = dispatched.dispatcher._balancer
        assert new_balancer is not dispatched.balancer
        reports = new_balancer.backend_reports(dispatched.dispatcher._clock.now())
        assert [report.backend for report in reports] == ["s0"]
        assert [report.occupancy > 0 for report in reports] == [True]

    play(scenario)


def test_a_resumed_connection_reaches_the_balancer_and_can_be_migrated() -> None:
    async def scenario(dispatched: Dispatched) -> None:
        resumed = ConnectionResumed("r", "quick", "s0")
        dispatched.dispatcher.send(ResumedConnection(dispatched.owner, resumed))
        dispatched.balancer.on(TimerFired, MigrateConnection("r"))
        dispatched.dispatcher.send(TimerFired(1))
        await dispatched.let_run()
        assert resumed in dispatched.balancer.events
        assert dispatched.owner.messages == [MigrateConnection("r")]

    play(scenario)
