"""Which requests are retried, where, how often and how long."""

from __future__ import annotations

from saltcourse.balancing.actions import FailRequest, RejectRequest, StartAttempt
from saltcourse.balancing.events import AttemptStatus, Endpoint
from saltcourse.balancing.settings import DeduplicationScope, Idempotency, RequestClass
from tests.balancing.balancer_host import BalancerHost, members

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


def test_a_failed_attempt_is_retried_at_another_backend_up_to_the_maximum() -> None:
    # No backend can be reached. Each attempt goes to another one, and the last failure rejects the request.
    host = BalancerHost()
    host.update_endpoints(members(6))
    request = host.request()
    seen = []
    while request in host.in_flight:
        seen.append(host.backend_of(request))
        host.finish(request, AttemptStatus.CONNECT_FAILED)
    assert len(seen) == len(set(seen)) == host.settings.max_attempts
    assert [a.request for a in host.actions(RejectRequest)] == [request]


def test_attempt_timeouts_leave_time_for_a_retry() -> None:
    host = BalancerHost()
    host.update_endpoints(members(4))
    host.request()
    assert host.actions(StartAttempt)[0].timeout < 0.6


def test_a_request_that_is_not_idempotent_and_may_have_run_fails() -> None:
    # A payment is rejected by a full backend, which proves that it never ran, and then broken off by another
    # one, which may have run it: no third attempt, and no promise that a repeat is harmless.
    host = BalancerHost(classes=(NOT_IDEMPOTENT,))
    host.update_endpoints(members(4))
    request = host.request(request_class="pay")
    host.finish(request, AttemptStatus.FULL)  # proves that it never ran
    assert len(host.actions(StartAttempt)) == 2
    host.finish(request, AttemptStatus.RESET)
    assert len(host.actions(StartAttempt)) == 2 and not host.actions(RejectRequest)
    assert [a.request for a in host.actions(FailRequest)] == [request]


def test_a_keyed_request_is_retried_within_its_deduplication_scope_only() -> None:
    fleet = tuple(Endpoint(f"s{i}", zone="z0" if i < 2 else "z1") for i in range(4))
    for seed in range(20):
        host = BalancerHost(seed=seed, classes=(KEYED,))
        host.update_endpoints(fleet)
        request = host.request(request_class="book")
        zone = host.backend_of(request) in ("s0", "s1")
        host.finish(request, AttemptStatus.ERROR)
        assert (host.backend_of(request) in ("s0", "s1")) is zone
        host.finish(request, AttemptStatus.ERROR)  # none left in its scope; a rejection promises too much
        assert [a.request for a in host.actions(FailRequest)] == [request]


def test_retries_are_bounded_by_a_share_of_the_requests() -> None:
    host = BalancerHost()
    host.update_endpoints(members(50))
    for _ in range(100):
        host.balancer.overload.failures = 0.0  # no overload
        request = host.request()
        while request in host.in_flight:
            host.finish(request, AttemptStatus.FULL)
    assert 30 < len(host.actions(StartAttempt)) <= 100 * 1.3 + 11
