"""Tests of the placement of requests: attempts, health checks and final answers."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from saltcourse.balancing.actions import (
    CancelTimer,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
)
from saltcourse.balancing.balancer import Balancer
from saltcourse.balancing.errors import UnknownTimerError
from saltcourse.balancing.events import (
    AttemptStatus,
    BackendState,
    ClientDisconnected,
    Endpoint,
    EndpointUpdateKind,
    TimerFired,
)
from tests.balancing.balancer_host import BalancerHost, make_endpoints


def test_a_request_gets_one_final_answer_at_its_deadline() -> None:
    # The attempt does not end before the deadline. The client gets a final answer at the deadline, and no
    # second one when the timeout of the attempt arrives later.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(4))
    request = host.request(time_left=0.2)
    host.run(0.2)
    answers = host.actions(RejectRequest) + host.actions(FailRequest)
    assert [a.request for a in answers] == [request]
    host.finish(request, AttemptStatus.TIMEOUT)  # Too late for another answer or attempt.
    assert (
        len(host.actions(StartAttempt)) == 1
        and len(host.actions(RejectRequest) + host.actions(FailRequest)) == 1
    )


def test_placement_continues_when_a_health_check_does_not_end() -> None:
    # A backend hangs during its health check. After a short wait the request is placed without its report.
    host = BalancerHost(reports_load=True, health_checks_allowed=True)
    host.update_endpoints(make_endpoints(5))
    request = host.request()
    assert request not in host.in_flight and host.actions(StartHealthCheck)
    host.run(0.1)
    assert request in host.in_flight


def test_a_backend_that_begins_to_drain_during_its_health_check_is_not_chosen() -> None:
    # The endpoint list announces the drain of a backend while a placement waits for its load report.
    host = BalancerHost(reports_load=True, health_checks_allowed=True)
    host.update_endpoints(make_endpoints(1))
    host.request()
    host.update_endpoints((Endpoint("s0", BackendState.DRAINING, "z0"),), EndpointUpdateKind.DELTA)
    host.run(0.2)
    assert not host.actions(StartAttempt) and host.actions(RejectRequest)


def test_a_request_is_rejected_when_all_health_checked_backends_are_full() -> None:
    host = BalancerHost(reports_load=True, health_checks_allowed=True)
    host.update_endpoints(make_endpoints(3))
    host.request()
    for _ in range(3):
        for check in [a for t, a in host.log if isinstance(a, StartHealthCheck)]:
            if host.backend(check.backend).report.check_in_flight:
                host.report_loads(**{check.backend: 1.4})
    assert host.actions(RejectRequest) and not host.actions(StartAttempt)


@pytest.mark.parametrize(
    "end",
    [
        lambda host, request: host.handle(ClientDisconnected(request)),
        lambda host, request: host.establish(request),
        lambda host, request: host.finish(request, AttemptStatus.CANCELLED, final=True),
        lambda host, request: [host.finish(request, AttemptStatus.FULL) for _ in range(4)],
    ],
    ids=["client disconnects", "established", "final outcome", "rejected"],
)
def test_a_request_that_needs_no_answer_any_more_is_not_kept_by_its_timer(
    end: Callable[[BalancerHost, str], object],
) -> None:
    """Guards against memory that fills with the requests of clients that leave at once."""
    host = BalancerHost()
    host.update_endpoints(make_endpoints(5))
    request = host.request(time_left=60.0)
    token = host.actions(SetTimer)[-1].token
    assert token in host.balancer.timers.requests
    end(host, request)
    assert host.actions(CancelTimer) == [CancelTimer(token)]
    assert not host.balancer.timers.requests
    before = len(host.log)
    host.handle(TimerFired(token))  # from a host that cannot cancel timers, or did so too late
    assert len(host.log) == before


def test_a_timer_that_was_never_set_is_an_error() -> None:
    balancer = Balancer(BalancerHost().settings, 1)
    with pytest.raises(UnknownTimerError, match="^a timer fired with token 77, but no timer"):
        balancer.handle(0.0, TimerFired(77))
