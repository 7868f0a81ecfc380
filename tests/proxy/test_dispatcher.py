"""The dispatcher with a scripted balancer: the balancer's events, and the execution of its actions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from structlog.testing import capture_logs

from saltcourse.balancing.actions import (
    Action,
    CancelTimer,
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
    """Returns scripted lists of actions for each type of event, each list once."""

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


class RecordingOwner:
    """A request owner that records its messages."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    def send(self, message: Any) -> None:
        self.messages.append(message)


class DispatcherHarness:
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
        self.owner = RecordingOwner()

    def new_request(self, request: str = "r", owner: RecordingOwner | None = None) -> None:
        received = RequestReceived(request, "quick", 1.0)
        self.dispatcher.send(NewRequest(owner or self.owner, received))

    async def let_run(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)


def play(scenario: Callable[[DispatcherHarness], Any]) -> None:
    async def run() -> None:
        harness = DispatcherHarness()
        harness.dispatcher.start()
        try:
            await scenario(harness)
        finally:
            assert harness.dispatcher.task is not None
            harness.dispatcher.task.cancel()

    asyncio.run(run())


def test_the_balancer_gets_the_known_endpoints_first_and_attempts_are_numbered() -> None:
    async def scenario(harness: DispatcherHarness) -> None:
        harness.balancer.on(RequestReceived, StartAttempt("r", "s0", 0.5))
        harness.balancer.on(AttemptFinished, StartAttempt("r", "unlisted", 0.4))
        harness.new_request()
        harness.dispatcher.send(AttemptFinished("r", 0, AttemptStatus.FULL))
        await harness.let_run()
        assert isinstance(harness.balancer.events[0], EndpointsUpdated)
        assert harness.owner.messages == [
            BeginAttempt("r", "s0", 0, 0.5, ("127.0.0.1", 9)),
            BeginAttempt("r", "unlisted", 1, 0.4, None),
        ]

    play(scenario)


def test_each_action_is_sent_to_its_handler() -> None:
    async def scenario(harness: DispatcherHarness) -> None:
        reject, message, fetch = RejectRequest("r", 0.25), SendPeerMessage("x"), FetchEndpoints()
        timer = SetTimer(0.0, 42)
        start = StartAttempt("r", "s0", 0.5)
        harness.balancer.on(RequestReceived, start, reject, message, fetch, timer)
        harness.new_request()
        await harness.let_run()
        begin = BeginAttempt("r", "s0", 0, 0.5, ("127.0.0.1", 9))
        assert harness.owner.messages == [begin, reject]
        assert harness.to_peers == [message] and harness.to_discovery == [fetch]
        await asyncio.sleep(0.01)
        assert harness.balancer.events[-1] == TimerFired(42)

    play(scenario)


def test_a_request_with_a_duplicate_id_is_failed_and_the_first_one_is_kept() -> None:
    async def scenario(harness: DispatcherHarness) -> None:
        second = RecordingOwner()
        harness.new_request()
        harness.new_request(owner=second)
        harness.dispatcher.send(RequestFinished(second, "r"))
        harness.balancer.on(AttemptFinished, FailRequest("r"))
        harness.dispatcher.send(AttemptFinished("r", 0, AttemptStatus.ERROR))
        await harness.let_run()
        assert second.messages == [FailRequest("r")]
        assert harness.owner.messages == [FailRequest("r")]

    play(scenario)


def test_an_attempt_for_a_finished_request_is_reported_as_not_sent() -> None:
    async def scenario(harness: DispatcherHarness) -> None:
        harness.new_request()
        harness.dispatcher.send(RequestFinished(harness.owner, "r"))
        harness.balancer.on(TimerFired, StartAttempt("r", "s0", 0.5))
        harness.dispatcher.send(TimerFired(1))
        await harness.let_run()
        assert harness.owner.messages == []
        not_sent = AttemptFinished("r", 0, AttemptStatus.NOT_SENT, 0.0, True)
        assert harness.balancer.events[-1] == not_sent

    play(scenario)


def test_a_drain_migrates_established_connections_and_later_ones_until_it_is_stopped() -> None:
    async def scenario(harness: DispatcherHarness) -> None:
        for request in ("a", "b", "c"):
            harness.balancer.on(RequestReceived, StartAttempt(request, "s0", 0.5))
            harness.new_request(request)
        harness.dispatcher.send(ConnectionEstablished("a", 0, 0.01))
        harness.dispatcher.send(StartDraining())
        harness.dispatcher.send(ConnectionEstablished("b", 0, 0.01))
        harness.dispatcher.send(StopDraining())
        harness.dispatcher.send(ConnectionEstablished("c", 0, 0.01))
        await harness.let_run()
        migrated = [m for m in harness.owner.messages if isinstance(m, MigrateConnection)]
        assert migrated == [MigrateConnection("a"), MigrateConnection("b")]

    play(scenario)


def test_a_balancer_exception_fails_waiting_requests_and_keeps_established_connections() -> None:
    """The balancer raises an exception while one request is waiting and one connection is established.

    Its state may be inconsistent then. The waiting request has to be failed immediately, and a new balancer
    has to get the endpoint list and the established connection.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        for request in ("established", "waiting"):
            harness.balancer.on(RequestReceived, StartAttempt(request, "s0", 0.5))
            harness.new_request(request)
        harness.dispatcher.send(ConnectionEstablished("established", 0, 0.01))
        await harness.let_run()
        harness.owner.messages.clear()
        harness.balancer.handle = None  # type: ignore[assignment, method-assign]
        with capture_logs() as logs:
            harness.dispatcher.send(TimerFired(1))
            await harness.let_run()
        assert [entry["event"] for entry in logs] == ["balancer failed"]
        assert harness.owner.messages == [FailRequest("waiting")]
        new_balancer = harness.dispatcher._balancer
        assert new_balancer is not harness.balancer
        reports = new_balancer.backend_reports(harness.dispatcher._clock.now())
        assert [report.backend for report in reports] == ["s0"]
        assert [report.occupancy > 0 for report in reports] == [True]

    play(scenario)


def test_a_resumed_connection_reaches_the_balancer_and_can_be_migrated() -> None:
    async def scenario(harness: DispatcherHarness) -> None:
        resumed = ConnectionResumed("r", "quick", "s0")
        harness.dispatcher.send(ResumedConnection(harness.owner, resumed))
        harness.balancer.on(TimerFired, MigrateConnection("r"))
        harness.dispatcher.send(TimerFired(1))
        await harness.let_run()
        assert resumed in harness.balancer.events
        assert harness.owner.messages == [MigrateConnection("r")]

    play(scenario)


def test_a_cancelled_timer_neither_fires_nor_stays_in_memory() -> None:
    async def scenario(harness: DispatcherHarness) -> None:
        harness.balancer.on(RequestReceived, SetTimer(0.01, 7), SetTimer(0.02, 8), CancelTimer(7))
        harness.new_request()
        await harness.let_run()
        assert list(harness.dispatcher._timers) == [8]
        async with asyncio.timeout(5.0):
            while TimerFired(8) not in harness.balancer.events:
                await asyncio.sleep(0.005)
        assert TimerFired(7) not in harness.balancer.events and not harness.dispatcher._timers

    play(scenario)
