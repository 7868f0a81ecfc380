"""The way of a request to its attempt or final answer."""

from __future__ import annotations

from saltcourse.balancing.actions import FailRequest, RejectRequest, StartAttempt, StartHealthCheck
from saltcourse.balancing.events import AttemptStatus, BackendState, Endpoint, EndpointUpdateKind
from tests.balancing.balancer_host import BalancerHost, members


def test_a_request_is_answered_at_its_deadline() -> None:
    # The attempt does not answer. The client is answered at its deadline all the same, and once only, though
    # the time-out of the attempt arrives after it.
    host = BalancerHost()
    host.update_endpoints(members(4))
    request = host.request(time_left=0.2)
    host.run(0.2)
    answers = host.actions(RejectRequest) + host.actions(FailRequest)
    assert [a.request for a in answers] == [request]
    host.finish(request, AttemptStatus.TIMEOUT)  # crossed: no further answer and no attempt
    assert (
        len(host.actions(StartAttempt)) == 1
        and len(host.actions(RejectRequest) + host.actions(FailRequest)) == 1
    )


def test_placement_does_not_wait_for_a_health_check_that_never_returns() -> None:
    # A backend hangs as its load is asked for. The request is placed by what is known, after a short wait.
    host = BalancerHost(reports_load=True, health_checks_allowed=True)
    host.update_endpoints(members(5))
    request = host.request()
    assert request not in host.in_flight and host.actions(StartHealthCheck)
    host.run(0.1)
    assert request in host.in_flight


def test_a_backend_that_drains_while_its_health_check_is_in_flight_is_not_chosen() -> None:
    # Two events cross: the list says that a backend drains while a placement waits for its load report.
    host = BalancerHost(reports_load=True, health_checks_allowed=True)
    host.update_endpoints(members(1))
    host.request()
    host.update_endpoints((Endpoint("s0", BackendState.DRAINING, "z0"),), EndpointUpdateKind.DELTA)
    host.run(0.2)
    assert not host.actions(StartAttempt) and host.actions(RejectRequest)


def test_a_request_is_rejected_when_all_health_checked_backends_are_full() -> None:
    host = BalancerHost(reports_load=True, health_checks_allowed=True)
    host.update_endpoints(members(3))
    host.request()
    for _ in range(3):
        for check in [a for t, a in host.log if isinstance(a, StartHealthCheck)]:
            if host.backend(check.backend).report.check_in_flight:
                host.report_loads(**{check.backend: 1.4})
    assert host.actions(RejectRequest) and not host.actions(StartAttempt)
