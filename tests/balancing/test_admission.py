"""Overload: what counts as one, and what it rejects."""

from __future__ import annotations

from saltcourse.balancing.actions import StartAttempt
from saltcourse.balancing.events import AttemptStatus
from tests.balancing.balancer_host import BalancerHost, members


def test_requests_are_rejected_at_once_under_overload() -> None:
    # All set-ups time out, wherever they go, and more attempts would make it worse. Requests are rejected at
    # once, until the failures are forgotten.
    host = BalancerHost()
    host.update_endpoints(members(50))
    for _ in range(200):
        request = host.request()
        while request in host.in_flight:
            host.finish(request, AttemptStatus.TIMEOUT)
    assert len(host.actions(StartAttempt)) <= 6
    host.run(60.0)  # forgotten: the next one is admitted
    assert host.request() in host.in_flight


def test_a_connection_dropped_young_counts_as_a_failure_and_an_old_one_does_not() -> None:
    host = BalancerHost()
    host.update_endpoints(members(3))
    young, old = host.connect(), host.connect()
    host.finish(young, AttemptStatus.RESET, final=True)
    assert host.balancer.overload.failures == 1 and host.balancer.overload.successes == 1
    host.now += 10.0
    host.finish(old, AttemptStatus.RESET, final=True)
    assert host.balancer.overload.failures == 1
