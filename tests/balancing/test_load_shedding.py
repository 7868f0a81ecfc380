"""Tests of the migration of connections away from slow backends."""

from __future__ import annotations

from collections import Counter

import pytest

from saltcourse.balancing.actions import MigrateConnection
from saltcourse.balancing.events import ResponseLatencyMeasured
from saltcourse.balancing.settings import Tenant
from tests.balancing.balancer_host import QUICK, BalancerHost, host_with_reports, make_endpoints


def test_slow_messages_migrate_a_share_while_another_backend_has_free_slots() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(2))
    connections = [host.connect() for _ in range(40)]
    slow = host.backend_of(connections[0])
    host.handle(ResponseLatencyMeasured(connections[0], QUICK.message_latency_objective))
    migrated = host.actions(MigrateConnection)
    on_slow = [r for r in connections if host.backend_of(r) == slow]
    assert 1 <= len(migrated) <= len(on_slow) / 5
    assert all(m.request in on_slow for m in migrated)
    host.balancer.slot_ceilings.largest_free_slots = 0.0
    host.handle(ResponseLatencyMeasured(connections[0], QUICK.message_latency_objective))
    assert len(host.actions(MigrateConnection)) == len(migrated)  # No other backend has free slots.


def test_a_slow_setup_cuts_the_ceiling_and_sheds() -> None:
    # On sockets, an echo does not queue behind a backend's work, so message latencies show no overload.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(2))
    connections = [host.connect() for _ in range(40)]
    request = host.request()
    host.establish(request, 0.02)  # Twice the typical latency may be chance.
    assert not host.actions(MigrateConnection)
    request = host.request()
    host.establish(request, 0.04)
    backend = host.backend(host.backend_of(request))
    assert backend.ceiling_record.cut_until > host.now and backend.ceiling <= backend.occupancy + 1
    migrated = {m.request for m in host.actions(MigrateConnection)}
    assert migrated and migrated <= {r for r in [*connections, request] if host.backend_of(r) == backend.name}


def test_all_connections_of_a_hung_backend_are_migrated_together() -> None:
    # A backend hangs with its connections open. If each connection were left to fail, every client would miss
    # its deadline.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(3))
    connections = [host.connect() for _ in range(30)]
    backend = host.backend_of(connections[0])
    host.handle(ResponseLatencyMeasured(connections[0], 1.2))
    assert {m.request for m in host.actions(MigrateConnection)} == {
        r for r in connections if host.backend_of(r) == backend
    }
    assert all(
        host.backend_of(r) != backend for r in [host.request() for _ in range(9)] if r in host.in_flight
    )


def test_a_burst_of_slow_setups_sheds_only_once() -> None:
    # Guards against shedding for each setup of a burst: after a restart, connections of one backend were
    # migrated 55 times in a second, and their clients reconnected to it.
    host = BalancerHost(tenants=(Tenant("t", 1.0, 200.0),))
    host.update_endpoints(make_endpoints(2))
    connections = [host.connect() for _ in range(60)]
    burst = [host.request() for _ in range(20)]
    for request in burst:
        host.now += 0.01
        host.establish(request, 0.06)
    established = Counter(host.backend_of(r) for r in connections + burst)
    migrated = Counter(host.backend_of(m.request) for m in host.actions(MigrateConnection))
    assert migrated and all(migrated[name] <= 0.2 * established[name] + 1 for name in migrated)


def test_a_slow_backend_that_reports_its_load_sheds_its_smallest_groups_completely() -> None:
    host = host_with_reports(3, s0="a" * 16 + "bb" + "cc")
    host.report_loads(s0=0.9, s1=0.2, s2=0.2)
    host.handle(ResponseLatencyMeasured("s0-a0", 0.07))
    migrated = {m.request for m in host.actions(MigrateConnection)}
    group_b, group_c = {"s0-b16", "s0-b17"}, {"s0-c18", "s0-c19"}
    assert migrated in (group_b, group_b | group_c)


def test_a_backend_that_stalls_briefly_keeps_most_of_its_connections() -> None:
    # Backends that stall for 0.3 s every few seconds show latencies of 7 s and loads of 9 during the stalls.
    # All their connections used to be migrated repeatedly, although they had capacity for a third of the
    # fleet's connections.
    host = host_with_reports(3, s0="abcdefghijklmnopqrst")
    for load, delay in ((9.1, 7.2), (0.5, 0.004), (8.8, 7.2), (9.0, 7.2)):
        host.report_loads(s0=load, s1=0.2, s2=0.2)
        host.handle(ResponseLatencyMeasured("s0-t19", delay))
        host.now += 1.0
    assert len(host.actions(MigrateConnection)) <= 3 and host.backend("s0").health.state.name == "HEALTHY"


def test_two_reports_above_1_after_late_messages_migrate_the_excess_connections() -> None:
    host = host_with_reports(3, s0="aaaaa" + "bbb" + "cc")
    for _ in range(3):
        host.handle(ResponseLatencyMeasured("s0-a0", 0.5))
    before = len(host.actions(MigrateConnection))
    host.report_loads(s0=4.0)
    assert len(host.actions(MigrateConnection)) == before  # A single report may be wrong.
    host.report_loads(s0=4.1)
    backend = host.backend("s0")
    assert len(
        host.actions(MigrateConnection)
    ) > before and backend.ceiling_record.learned_limit == pytest.approx(backend.occupancy * 0.2)
