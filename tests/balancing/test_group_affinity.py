"""Tests of group affinity: groups stay together, and proxies choose the same backends."""

from __future__ import annotations

from collections import Counter

import pytest

from saltcourse.balancing.actions import RejectRequest
from saltcourse.balancing.events import AttemptStatus
from saltcourse.balancing.occupancy import GROUP_SLOTS
from saltcourse.balancing.settings import Tenant
from tests.balancing.balancer_host import BalancerHost, endpoints_in_zones, host_with_reports, make_endpoints


def test_a_group_stays_on_one_backend_with_free_slots_and_its_cost_is_counted_there() -> None:
    # A group costs three slots at each backend that serves it; with spread groups this was most of the load.
    hosts = [BalancerHost(seed=seed, has_groups=True, tenants=(Tenant("t", 1.0, 90.0),)) for seed in (1, 2)]
    chosen = []
    for host in hosts:
        host.update_endpoints(make_endpoints(6))
        first = host.request(group="a")
        requests = [first, *[host.request(group="a") for _ in range(2)]]
        chosen.append({host.backend_of(r) for r in requests})
        [name] = chosen[-1]
        backend = host.backend(name)
        assert backend.occupancy == pytest.approx(3 + GROUP_SLOTS)
        for request in requests:
            host.finish(request, AttemptStatus.CANCELLED, final=True)
        assert not backend.groups and backend.occupancy == 0
    assert chosen[0] == chosen[1]  # Proxies with different seeds choose the same backend.
    large_group = [hosts[0].request(group="c") for _ in range(60)]
    counts = Counter(hosts[0].backend_of(r) for r in large_group if r in hosts[0].in_flight)
    assert len(counts) > 2 and max(counts.values()) < 25  # No backend gets far more than the mean.


def test_with_load_reports_a_group_is_rejected_rather_than_spread() -> None:
    # With spread groups, 20 groups made 100 pairs of group and backend, each at the cost of 1.5 connections.
    # The fleet was full with half of its initial connections, and a third of all requests were rejected. In
    # this test, two of three connections of group a were placed on other backends.
    host = host_with_reports(3, s0="aaaa", s1="bbbb", s2="cccc")
    host.report_loads(s0=0.6, s1=0.6, s2=0.7)
    host.run(1.6)  # A tick estimates the slots at full load.
    host.report_loads(s0=0.6, s1=0.6, s2=0.7)
    assert {host.backend_of(host.request(group="a")) for _ in range(2)} == {"s0"}
    host.report_loads(s0=0.9)
    rejected = host.request(group="a")
    # The free slots of s1 and s2 are too few for an additional group.
    assert [m.request for m in host.actions(RejectRequest)] == [rejected]
    assert host.request(group="new") in host.in_flight  # A group without a backend may still use them.
    host.report_loads(s0=0.9, s1=0.1, s2=0.7)
    assert host.backend_of(host.request(group="a")) == "s1"


def test_proxies_in_different_zones_choose_the_same_backend_for_a_group() -> None:
    chosen: dict[str, set[str]] = {}
    for zone in ("z0", "z1", "z2"):
        host = BalancerHost(seed=int(zone[1]) + 5, has_groups=True, zone=zone)
        host.update_endpoints(endpoints_in_zones(9))
        for number in range(20):
            request = host.request(group=f"g{number}")
            chosen.setdefault(f"g{number}", set()).add(host.backend_of(request))
            host.finish(request, AttemptStatus.CANCELLED, final=True)
    on_one_backend = [group for group, backends in chosen.items() if len(backends) == 1]
    assert len(on_one_backend) == len(chosen)
