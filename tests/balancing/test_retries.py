"""Tests of retries: which requests are retried, on which backends, how often and with which timeouts."""

from __future__ import annotations

from saltcourse.balancing.actions import FailRequest, RejectRequest, StartAttempt
from saltcourse.balancing.events import AttemptStatus, Endpoint
from saltcourse.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from tests.balancing.balancer_host import BalancerHost, make_endpoints

NOT_IDEMPOTENT = RequestClass(
    "pay", latency_objective=0.3, deadline=1.2, idempotency=Idempotency.NOT_IDEMPOTENT
)
KEYED = RequestClass(
    "book",
    latency_objective=0.3,
    deadline=1.2,
    idempotency=Idempotency.KEYED,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window=5.0,
)


def test_a_failed_attempt_is_retried_at_other_backends_up_to_the_maximum_of_attempts() -> None:
    # No backend is reachable. Each attempt goes to another backend, and the last failure rejects the request.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(6))
    request = host.request()
    tried = []
    while request in host.in_flight:
        tried.append(host.backend_of(request))
        host.finish(request, AttemptStatus.CONNECT_FAILED)
    assert len(tried) == len(set(tried)) == host.settings.max_attempts
    assert [a.request for a in host.actions(RejectRequest)] == [request]


def test_attempt_timeouts_leave_time_for_a_retry() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(4))
    host.request()
    assert host.actions(StartAttempt)[0].timeout < 0.6


def test_a_request_that_is_not_idempotent_and_may_have_run_fails() -> None:
    # A payment is rejected by a full backend, so it has not run there. Then another backend resets it and may
    # have run it. There must be no third attempt, and no answer that a retry is safe.
    host = BalancerHost(classes=(NOT_IDEMPOTENT,))
    host.update_endpoints(make_endpoints(4))
    request = host.request(request_class="pay")
    host.finish(request, AttemptStatus.FULL)  # The request has not run.
    assert len(host.actions(StartAttempt)) == 2
    host.finish(request, AttemptStatus.RESET)
    assert len(host.actions(StartAttempt)) == 2 and not host.actions(RejectRequest)
    assert [a.request for a in host.actions(FailRequest)] == [request]


def test_a_keyed_request_is_retried_only_within_its_deduplication_scope() -> None:
    endpoints = tuple(Endpoint(f"s{i}", zone="z0" if i < 2 else "z1") for i in range(4))
    for seed in range(20):
        host = BalancerHost(seed=seed, classes=(KEYED,))
        host.update_endpoints(endpoints)
        request = host.request(request_class="book")
        is_first_zone = host.backend_of(request) in ("s0", "s1")
        host.finish(request, AttemptStatus.ERROR)
        assert (host.backend_of(request) in ("s0", "s1")) is is_first_zone
        # No backend is left in the scope. A rejection would tell the client that a retry is safe.
        host.finish(request, AttemptStatus.ERROR)
        assert [a.request for a in host.actions(FailRequest)] == [request]


def test_retries_are_limited_to_a_share_of_the_requests() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(50))
    for _ in range(100):
        host.balancer.overload.failures = 0.0  # Prevents an overload.
        request = host.request()
        while request in host.in_flight:
            host.finish(request, AttemptStatus.FULL)
    assert 30 < len(host.actions(StartAttempt)) <= 100 * 1.3 + 11
