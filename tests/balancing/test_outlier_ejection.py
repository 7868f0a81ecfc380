"""Tests of the ejection and probing of backends, and of the ejection of zones."""

from __future__ import annotations

from collections import Counter

import pytest

from saltcourse.balancing.events import AttemptStatus, Endpoint
from saltcourse.balancing.outlier_ejection import EJECTION_BACKOFF_MAX_SECONDS, TRANSITIONS, HealthEvent
from saltcourse.balancing.settings import Tenant
from saltcourse.balancing.state import HealthState
from tests.balancing.balancer_host import BalancerHost, make_endpoints


def test_an_unreachable_backend_is_ejected_and_used_again_after_a_successful_probe() -> None:
    # A backend stops, and starts again seconds later. While it is ejected it gets no attempts. Then a single
    # request probes it, and others follow only after the probe has succeeded.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(2))
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
    assert after["s0"] == 1  # Only the probe, until it has ended.
    probe = next(r for r, (_, s) in host.in_flight.items() if s == "s0")
    host.establish(probe)
    host.run(1.0)
    assert Counter(host.backend_of(host.connect()) for _ in range(20))["s0"] > 1


def test_candidates_remain_when_all_backends_fail() -> None:
    # The proxy loses its network, and every attempt fails. If no candidates remained, the proxy would reject
    # all requests beyond the end of the outage.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(2))
    for _ in range(3):
        request = host.request()
        while request in host.in_flight:
            host.finish(request, AttemptStatus.CONNECT_FAILED)
    assert host.balancer.pool.candidates


def test_a_remote_zone_is_ejected_as_a_whole_after_consecutive_failures() -> None:
    # The link to another zone fails. After four consecutive failures, the other sixteen backends of the zone
    # are not tried one after another.
    host = BalancerHost(zone="home")
    far = tuple(Endpoint(f"f{i}", zone="far") for i in range(20))
    host.update_endpoints((Endpoint("h", zone="home"), *far))
    for name in ("f0", "f1", "f2", "f3"):
        host.fail(name)
    assert [s.name for s in host.balancer.pool.candidates] == ["h"]


def test_failures_of_attempts_started_before_an_ejection_do_not_prolong_it() -> None:
    # Guards against doubling the ejection time for each failure of a burst: eight failures after a restart
    # ejected a backend for eight seconds.
    host = BalancerHost(tenants=(Tenant("t", 1.0, 90.0),))
    host.update_endpoints(make_endpoints(2))
    requests = [r for r in [host.request() for _ in range(30)] if host.backend_of(r) == "s0"]
    for request in requests[:8]:
        host.finish(request, AttemptStatus.CONNECT_FAILED)
    backend = host.backend("s0")
    assert (
        backend.health.consecutive_ejections == 1 and host.now < backend.health.ejected_until < host.now + 1
    )


def test_each_state_has_a_transition_for_each_event_and_only_an_attempt_starts_a_probe() -> None:
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
def test_a_probe_ends_with_its_attempt_for_every_status(status: AttemptStatus) -> None:
    # Guards against a probe that ERROR or RESET does not end: each faulty client whose request became a probe
    # excluded a backend permanently.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(3))
    host.fail("s0")
    host.run(2.0)
    while host.backend("s0").health.state is not HealthState.PROBING:
        probe = host.request()
    assert host.backend_of(probe) == "s0"
    host.finish(probe, status)
    for _ in range(100):
        host.run(0.2)
        host.establish(host.request())
    assert Counter(backend for _, backend in host.in_flight.values())["s0"] > 20


def test_a_backend_is_still_probed_after_hours_of_failures() -> None:
    # Guards against an OverflowError in the balancer: without a bound, the backoff's power of two exceeds the
    # range of a float at the 1025th ejection.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(2))
    for _ in range(1100):
        host.fail("s0")
        host.run(2 * EJECTION_BACKOFF_MAX_SECONDS)
    assert host.backend("s0").health.state is HealthState.ELIGIBLE
