"""Tests of which failed attempts count as a backend's fault."""

from __future__ import annotations

from collections import Counter

import pytest

from saltcourse.balancing.actions import RejectRequest, StartAttempt
from saltcourse.balancing.events import AttemptStatus
from saltcourse.balancing.outlier_ejection import EJECTION_BACKOFF_MAX_SECONDS
from saltcourse.balancing.settings import Tenant
from saltcourse.balancing.state import HealthState
from tests.balancing.balancer_host import BalancerHost, make_endpoints


def test_a_backend_that_answers_with_errors_gets_one_attempt_at_a_time() -> None:
    # A backend that fails setups keeps no connections, so without ejection it has the most free slots and is
    # drawn for most attempts.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(4))
    for _ in range(40):
        request = host.request()
        if host.backend_of(request) == "s0":
            host.finish(request, AttemptStatus.ERROR)
        host.establish(request)
    assert Counter(s for a in host.actions(StartAttempt) for s in [a.backend])["s0"] <= 3
    assert not host.actions(RejectRequest)  # Errors do not count as an overload.
    host.run(EJECTION_BACKOFF_MAX_SECONDS * 2)
    probes = [r for r in [host.request() for _ in range(9)] if r in host.in_flight]
    assert [host.backend_of(r) for r in probes].count("s0") <= 1 < len(probes)


def test_a_single_reset_is_no_fault_and_a_cut_leaves_an_idle_backend_free_slots() -> None:
    # Guards against two faults: each chance reset excluded a backend for seconds, and a cut limited an idle
    # backend to half a slot.
    host = BalancerHost(tenants=(Tenant("t", 1.0, 90.0),))
    host.update_endpoints(make_endpoints(3))
    connections = [host.connect() for _ in range(9)]
    backend = host.backend(host.backend_of(connections[0]))
    on_backend = [r for r in connections if host.backend_of(r) == backend.name]
    host.finish(on_backend[0], AttemptStatus.RESET, final=True)
    assert backend.ceiling_record.no_overflow_until <= host.now and backend.ceiling > backend.occupancy
    host.run(2.0)
    host.finish(on_backend[1], AttemptStatus.RESET, final=True)
    assert backend.ceiling_record.no_overflow_until <= host.now
    host.finish(on_backend[2], AttemptStatus.RESET, final=True)
    assert backend.ceiling_record.no_overflow_until > host.now and backend.ceiling_record.learned_limit > 10


@pytest.mark.parametrize("status", [AttemptStatus.ERROR, AttemptStatus.RESET])
def test_a_request_that_fails_at_every_backend_is_not_the_backends_fault(status: AttemptStatus) -> None:
    # Some clients send requests that every backend fails. No backend may be ejected or cut for them.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(4))
    for i in range(60):
        host.run(0.05)
        request = host.request(flow=f"f{i}")
        while i % 2 and request in host.in_flight:
            host.finish(request, status)
        if request in host.in_flight:
            host.establish(request)
    for backend in host.balancer.pool.backends.values():
        assert (
            backend.health.state is HealthState.HEALTHY
            and not backend.health.error_rate
            and backend.ceiling_record.no_overflow_until <= host.now
        )


@pytest.mark.parametrize("flows, health", [(40, HealthState.EJECTED), (1, HealthState.HEALTHY)])
def test_a_backend_that_fails_where_others_succeed_is_ejected_unless_all_errors_are_of_one_flow(
    flows: int, health: HealthState
) -> None:
    # A backend answers with errors while the retries succeed at other backends. It is ejected, unless all
    # errors are those of a single client.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(3))
    backend = host.backend("s0")
    for i in range(40):
        request = host.request(flow=f"f{i % flows}")
        if host.backend_of(request) == "s0":
            host.finish(request, AttemptStatus.ERROR)
        if backend.health.state is HealthState.EJECTED:
            break
        if request in host.in_flight:
            host.establish(request)
    assert backend.health.state is health


def test_attempts_at_the_process_before_a_restart_do_not_count_for_the_new_one() -> None:
    # A backend is restarted. The attempts and connections of its old process end after the endpoint list has
    # announced the new one, which is not at fault.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(1))
    old = [host.connect() for _ in range(4)] + [host.request()]
    host.run(1.0)
    host.update_endpoints(make_endpoints(1, started=host.now))
    for request in old:
        host.finish(request, AttemptStatus.RESET if request != old[-1] else AttemptStatus.TIMEOUT, final=True)
    backend = host.backend("s0")
    assert (
        backend.health.state is HealthState.HEALTHY
        and backend.ceiling_record.no_overflow_until <= host.now
        and backend.count == 0
    )
