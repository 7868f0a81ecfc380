"""Tests of overload detection and of rejection under overload."""

from __future__ import annotations

from saltcourse.balancing.actions import StartAttempt
from saltcourse.balancing.events import AttemptStatus
from tests.balancing.balancer_host import BalancerHost, make_endpoints


def test_requests_are_rejected_without_an_attempt_under_overload() -> None:
    # All connection setups time out, and further attempts would increase the overload. Requests are
    # rejected immediately until the failure count has decayed.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(50))
    for _ in range(200):
        request = host.request()
        while request in host.in_flight:
            host.finish(request, AttemptStatus.TIMEOUT)
    assert len(host.actions(StartAttempt)) <= 6
    host.run(60.0)  # The failure count has decayed, so the next request is admitted.
    assert host.request() in host.in_flight


def test_a_connection_reset_soon_after_its_setup_counts_as_a_failure_but_a_later_reset_does_not() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(3))
    new, old = host.connect(), host.connect()
    host.finish(new, AttemptStatus.RESET, final=True)
    assert host.balancer.overload.failures == 1 and host.balancer.overload.successes == 1
    host.now += 10.0
    host.finish(old, AttemptStatus.RESET, final=True)
    assert host.balancer.overload.failures == 1
