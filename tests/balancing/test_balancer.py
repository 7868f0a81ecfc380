"""Tests of the balancer as a whole: determinism, late events and returned actions."""

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
from tests.balancing.balancer_host import BalancerHost, make_endpoints, settings


def test_equal_settings_seed_and_events_give_equal_actions() -> None:
    logs = []
    for _ in range(2):
        host = BalancerHost(seed=7)
        host.update_endpoints(make_endpoints(9))
        for i in range(50):
            request = host.request()
            if i % 5:
                host.establish(request)
            host.finish(request, AttemptStatus.CANCELLED if i % 5 else AttemptStatus.RESET, final=i % 5 != 0)
            host.run(0.1)
        logs.append(host.log)
    assert logs[0] == logs[1]


def test_events_for_unknown_requests_and_backends_are_ignored() -> None:
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


def test_the_actions_of_an_event_that_raises_are_discarded(monkeypatch: pytest.MonkeyPatch) -> None:
    # An exception is raised after the balancer has decided to start an attempt. The action must not be
    # returned with those of the next event.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(1))
    with monkeypatch.context() as patch, pytest.raises(ZeroDivisionError):
        patch.setattr(SharedState, "outgoing_messages", lambda *_: 1 / 0)
        host.balancer.handle(host.now, RequestReceived("x", "quick", 1.0))
    assert host.balancer.handle(host.now, ClientDisconnected("nobody")) == []


def test_returned_actions_are_not_changed_by_the_next_event() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(1))
    actions = host.balancer.handle(host.now, RequestReceived("x", "quick", 1.0))
    before = list(actions)
    host.balancer.handle(host.now, RequestReceived("y", "quick", 1.0))
    assert actions == before
