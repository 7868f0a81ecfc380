"""Ejection and probing of backends, and of whole zones."""

from __future__ import annotations

from collections import Counter

import pytest

from saltcourse.balancing.events import AttemptStatus, Endpoint
from saltcourse.balancing.outlier_ejection import EJECTION_BACKOFF_MAX_SECONDS, TRANSITIONS, HealthEvent
from saltcourse.balancing.settings import Tenant
from saltcourse.balancing.state import HealthState
from tests.balancing.balancer_host import BalancerHost, members


def test_a_backend_that_cannot_be_reached_is_ejected_and_returns_by_one_probe() -> None:
    # A backend stops, and comes back seconds later. Meanwhile nothing goes there; then a single request
    # tries it, and only its success lets others follow.
    host = BalancerHost()
    host.update_endpoints(members(2))
    while True:
        request = host.request()
        if host.backend_of(request) == "s0":
            host.finish(request, AttemptStatus.CONNECT_FAILED)
            break
        host.establish(request)
    assert all(host.backend_of(host.connect()) == "s1" for _ in range(20))
    host.run(3.0)
    after: Counter[str] = Counter()
    for _ in range(10):
        request = host.request()
        after[host.backend_of(request)] += 1
        if host.backend_of(request) != "s0":
            host.establish(request)
    assert after["s0"] == 1  # the probe; no other attempt until it has ended
    probe = next(r for r, (_, s) in host.in_flight.items() if s == "s0")
    host.establish(probe)
    host.run(1.0)
    assert Counter(host.backend_of(host.connect()) for _ in range(20))["s0"] > 1


def test_all_backends_failing_leaves_all_in_use() -> None:
    # The proxy's own network is cut: every attempt fails. All backends stay in use, for rejecting everything
    # would last longer than the cut.
    host = BalancerHost()
    host.update_endpoints(members(2))
    for _ in range(3):
        request = host.request()
        while request in host.in_flight:
            host.finish(request, AttemptStatus.CONNECT_FAILED)
    assert host.balancer.pool.candidates


def test_a_remote_zone_with_failures_in_a_row_is_ejected_as_a_whole() -> None:
    # The link to another zone is cut. After four failures in a row the other sixteen backends there are not
    # tried one by one.
    host = BalancerHost(zone="home")
    far = tuple(Endpoint(f"f{i}", zone="far") for i in range(20))
    host.update_endpoints((Endpoint("h", zone="home"), *far))
    for name in ("f0", "f1", "f2", "f3"):
        host.fail(name)
    assert [s.name for s in host.balancer.pool.candidates] == ["h"]


def test_failures_of_attempts_from_before_an_ejection_do_not_lengthen_it() -> None:
    # Eight errors in one burst after a restart left a backend alone for eight seconds at once.
    host = BalancerHost(tenants=(Tenant("t", 1.0, 90.0),))
    host.update_endpoints(members(2))
    out = [r for r in [host.request() for _ in range(30)] if host.backend_of(r) == "s0"]
    for request in out[:8]:
        host.finish(request, AttemptStatus.CONNECT_FAILED)
    backend = host.backend("s0")
    assert (
        backend.health.consecutive_ejections == 1 and host.now < backend.health.ejected_until < host.now + 1
    )


def test_each_state_has_a_transition_for_each_event_and_only_an_attempt_begins_a_probe() -> None:
    assert set(TRANSITIONS) == set(HealthEvent) and all(
        len(row) == len(HealthState) for row in TRANSITIONS.values()
    )
    assert [
        (s, h) for s, row in TRANSITIONS.items() for h in HealthState if row[h] is HealthState.PROBING
    ] == [
        (HealthEvent.ATTEMPT_STARTED, HealthState.ELIGIBLE),
        (HealthEvent.ATTEMPT_STARTED, HealthState.PROBING),
        (HealthEvent.EJECTION_EXPIRED, HealthState.PROBING),
        (HealthEvent.PEER_EJECTED, HealthState.PROBING),
    ]


@pytest.mark.parametrize(
    "status", [AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT]
)
def test_a_probe_ends_with_its_attempt_however_that_ends(status: AttemptStatus) -> None:
    # ERROR and RESET once held the probe for ever: a proxy lost a backend for each bad client that met one.
    host = BalancerHost()
    host.update_endpoints(members(3))
    host.fail("s0")
    host.run(2.0)
    while host.backend("s0").health.state is not HealthState.PROBING:
        tried = host.request()
    assert host.backend_of(tried) == "s0"
    host.finish(tried, status)
    for _ in range(100):
        host.run(0.2)
        host.establish(host.request())
    assert Counter(backend for _, backend in host.in_flight.values())["s0"] > 20


def test_a_backend_that_stays_dead_for_hours_is_probed_all_the_same() -> None:
    # A listed backend is dead for hours, and every probe fails. The backoff's power of two outgrew a float at
    # the 1025th ejection, and the balancer raised OverflowError.
    host = BalancerHost()
    host.update_endpoints(members(2))
    for _ in range(1100):
        host.fail("s0")
        host.run(2 * EJECTION_BACKOFF_MAX_SECONDS)
    assert host.backend("s0").health.state is HealthState.ELIGIBLE
