"""Groups are kept together, and proxies choose the same backend."""

from __future__ import annotations

from collections import Counter

import pytest

from saltcourse.balancing.actions import RejectRequest
from saltcourse.balancing.events import AttemptStatus
from saltcourse.balancing.occupancy import GROUP_SLOTS
from saltcourse.balancing.settings import Tenant
from tests.balancing.balancer_host import BalancerHost, endpoints_in_zones, host_with_reports, members


def test_a_group_stays_together_while_there_are_free_slots_and_counts_where_it_is() -> None:
    # Each backend that holds any of a group pays three loads for it; spread out they were most of the work.
    hosts = [BalancerHost(seed=seed, has_groups=True, tenants=(Tenant("t", 1.0, 90.0),)) for seed in (1, 2)]
    homes = []
    for host in hosts:
        host.update_endpoints(members(6))
        first = host.request(group="a")
        more = [first, *[host.request(group="a") for _ in range(2)]]
        homes.append({host.backend_of(r) for r in more})
        [home] = homes[-1]
        backend = host.backend(home)
        assert backend.occupancy == pytest.approx(3 + GROUP_SLOTS)
        for request in more:
            host.finish(request, AttemptStatus.CANCELLED, final=True)
        assert not backend.groups and backend.occupancy == 0
    assert homes[0] == homes[1]  # with other seeds: proxies agree without a word
    crowd = [hosts[0].request(group="c") for _ in range(60)]
    held = Counter(hosts[0].backend_of(r) for r in crowd if r in hosts[0].in_flight)
    assert len(held) > 2 and max(held.values()) < 25  # but not far beyond what others hold


def test_where_loads_are_reported_a_group_stays_and_is_rejected_rather_than_spread() -> None:
    # A busy day's 20 groups stood on 100 pairs of group and backend: each cost as much as a connection and a
    # half, the fleet was full with half the connections that it began with, and a third of all were rejected.
    host = host_with_reports(3, s0="aaaa", s1="bbbb", s2="cccc")
    host.report_loads(s0=0.6, s1=0.6, s2=0.7)
    host.run(1.6)  # a tick: what a full load is in slots has been learned
    host.report_loads(s0=0.6, s1=0.6, s2=0.7)
    assert {host.backend_of(host.request(group="a")) for _ in range(2)} == {"s0"}  # two in three were spread
    host.report_loads(s0=0.9)
    rejected = host.request(group="a")
    assert [m.request for m in host.actions(RejectRequest)] == [
        rejected
    ]  # s1 and s2 have some room, not for a group
    assert host.request(group="new") in host.in_flight  # but a group that stands nowhere finds a place in it
    host.report_loads(s0=0.9, s1=0.1, s2=0.7)
    assert host.backend_of(host.request(group="a")) == "s1"


def test_proxies_of_all_zones_choose_the_same_backend_for_a_group() -> None:
    chosen: dict[str, set[str]] = {}
    for zone in ("z0", "z1", "z2"):
        host = BalancerHost(seed=int(zone[1]) + 5, has_groups=True, zone=zone)
        host.update_endpoints(endpoints_in_zones(9))
        for number in range(20):
            request = host.request(group=f"g{number}")
            chosen.setdefault(f"g{number}", set()).add(host.backend_of(request))
            host.finish(request, AttemptStatus.CANCELLED, final=True)
    agreed = [group for group, backends in chosen.items() if len(backends) == 1]
    assert len(agreed) == len(chosen)
