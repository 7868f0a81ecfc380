"""The balancer as a whole: the same events give the same actions, late events are ignored."""

from __future__ import annotations

import pytest

from saltcourse.balancing.balancer import Balancer
from saltcourse.balancing.events import (
    AttemptFinished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    HealthCheckFinished,
    RequestReceived,
    ResponseLatencyMeasured,
)
from saltcourse.shared_state.state import SharedState
from tests.balancing.balancer_host import BalancerHost, members, settings


def test_same_events_same_actions() -> None:
    logs = []
    for _ in range(2):
        host = BalancerHost(seed=7)
        host.update_endpoints(members(9))
        for i in range(50):
            request = host.request()
            if i % 5:
                host.establish(request)
            host.finish(request, AttemptStatus.CANCELLED if i % 5 else AttemptStatus.RESET, final=i % 5 != 0)
            host.run(0.1)
        logs.append(host.log)
    assert logs[0] == logs[1]


def test_events_for_what_has_ended_are_ignored() -> None:
    balancer = Balancer(settings(), 1)
    for event in (
        ClientDisconnected("x"),
        AttemptFinished("x", 0, AttemptStatus.OK),
        ConnectionEstablished("x", 0, 0.1),
        ConnectionLoadChanged("x", 1.0),
        ResponseLatencyMeasured("x", 1.0),
        HealthCheckFinished("x", AttemptStatus.OK),
    ):
        assert balancer.handle(1.0, event) == []


def test_an_event_that_raises_leaves_no_actions_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    # A fault ends an event after it has decided on an attempt. That attempt must not be started with the
    # actions of the next event.
    host = BalancerHost()
    host.update_endpoints(members(1))
    with monkeypatch.context() as fault, pytest.raises(ZeroDivisionError):
        fault.setattr(SharedState, "outgoing_messages", lambda *_: 1 / 0)
        host.balancer.handle(host.now, RequestReceived("x", "quick", 1.0))
    assert host.balancer.handle(host.now, ClientDisconnected("nobody")) == []


def test_the_actions_of_an_event_are_not_changed_by_the_next_one() -> None:
    host = BalancerHost()
    host.update_endpoints(members(1))
    actions = host.balancer.handle(host.now, RequestReceived("x", "quick", 1.0))
    before = list(actions)
    host.balancer.handle(host.now, RequestReceived("y", "quick", 1.0))
    assert actions == before
