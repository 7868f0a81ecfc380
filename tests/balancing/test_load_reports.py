"""Tests of the effect of load reports on selection, and of their renewal."""

from __future__ import annotations

from collections import Counter

from saltcourse.balancing.actions import StartHealthCheck
from tests.balancing.balancer_host import BalancerHost, host_with_reports, make_endpoints


def test_a_backend_with_a_low_reported_load_is_drawn_more_often() -> None:
    host = BalancerHost(reports_load=True, health_checks_allowed=True)
    host.update_endpoints(make_endpoints(2))
    counts: Counter[str] = Counter()
    for _ in range(30):
        request = host.request()
        for check in [a for t, a in host.log if isinstance(a, StartHealthCheck) and t == host.now]:
            load = 0.95 if check.backend == "s0" else 0.3
            host.report_loads(**{check.backend: load})
        if request in host.in_flight:
            counts[host.backend_of(request)] += 1
            host.establish(request)
        host.run(1.0)
    assert counts["s1"] > 3 * counts["s0"]


def test_the_report_of_a_full_backend_is_renewed_so_that_it_is_drawn_again() -> None:
    # Placements do not health-check a backend whose last report was "full". Without the renewal, two of
    # twelve backends stayed empty for 35 s.
    host = host_with_reports(3, s1="bb", s2="cc")
    host.report_loads(s0=1.2, s1=0.5, s2=0.5)
    before = len(host.actions(StartHealthCheck))
    host.run(4.0)
    assert "s0" in [check.backend for check in host.actions(StartHealthCheck)[before:]]
    host.report_loads(s0=0.1)
    assert host.backend_of(host.request(group="new")) == "s0"
