"""Tests of zone failback and group consolidation."""

from __future__ import annotations

import pytest

from saltcourse.balancing.actions import MigrateConnection
from saltcourse.balancing.events import ConnectionResumed, Endpoint
from saltcourse.balancing.occupancy import GROUP_SLOTS
from saltcourse.balancing.rebalancing import Rebalancing
from tests.balancing.balancer_host import BalancerHost, endpoints_in_zones, make_endpoints


def test_connections_in_other_zones_fail_back_while_local_backends_are_not_slow() -> None:
    host = BalancerHost(zone="home")
    host.update_endpoints((Endpoint("h", zone="home"), Endpoint("f", zone="far")))
    for i in range(40):
        host.handle(ConnectionResumed(f"old{i}", "quick", "f"))
    local = host.backend("h")
    local.ceiling_record.cut_until = host.now + 3.0
    host.run(2.5)
    assert not host.actions(MigrateConnection)  # The local backend is slow.
    local.ceiling_record.cut_until = 0.0
    host.run(3.0)
    migrated = {m.request for m in host.actions(MigrateConnection)}
    assert 1 <= len(migrated) <= 20 and len(migrated) == len(host.actions(MigrateConnection))


def test_a_few_connections_of_a_group_on_the_fullest_backend_join_the_others() -> None:
    # Connections resumed after a restart can be spread so that each backend bears the cost of every group.
    host = BalancerHost(has_groups=True)
    host.update_endpoints(make_endpoints(2))
    for i, (backend, group) in enumerate([("s0", "a")] * 9 + [("s0", "b")] + [("s1", "b")] * 3):
        host.handle(ConnectionResumed(f"old{i}", "quick", backend, group=group))
    host.run(2.0)
    assert {m.request for m in host.actions(MigrateConnection)} == {"old9"}


def test_the_excess_of_the_fullest_backend_is_migrated_from_its_largest_group() -> None:
    # Initially one of five backends can have a third of all connections. Such a backend used to drop all of
    # its connections.
    host = BalancerHost(has_groups=True)
    host.update_endpoints(make_endpoints(5))
    for i in range(15):
        host.handle(ConnectionResumed(f"a{i}", "quick", "s0", group="a"))
    for i in range(3):
        host.handle(ConnectionResumed(f"b{i}", "quick", "s0", group="b"))
    host.run(1.6)
    migrated = [a.request for a in host.actions(MigrateConnection)]
    mean = (15 + 3 + 2 * GROUP_SLOTS) / 5
    assert len(migrated) == 24 - int(mean + 5) and all(name.startswith("a") for name in migrated)


def test_no_excess_is_migrated_while_a_backend_waits_for_its_probe() -> None:
    # An empty backend whose ejection has ended lowers the mean. Connections used to be migrated each second,
    # although no other backend could accept them.
    host = BalancerHost(has_groups=True)
    host.update_endpoints(make_endpoints(4))
    for name in ("s0", "s1", "s2"):
        for i in range(14):
            host.handle(ConnectionResumed(f"{name}{i}", "quick", name, group=name))
    host.fail("s3")
    host.run(4.0)
    assert host.backend("s3").health.state.name == "ELIGIBLE" and not host.actions(MigrateConnection)


def test_zone_failback_does_not_separate_the_connections_of_a_group(monkeypatch: pytest.MonkeyPatch) -> None:
    # With 200 proxies in six zones, failback migrated 5% of the connections in other zones each second and
    # separated them from their groups: the pairs of group and backend grew from 570 to 840 in ten seconds.
    host = BalancerHost(has_groups=True)
    host.update_endpoints(endpoints_in_zones(9))
    for number in range(40):
        request = host.request(group=f"g{number % 10}")
        host.establish(request)
    remote = [r for r in host.in_flight if host.backend(host.backend_of(r)).zone != "z0"]
    assert remote
    host.log.clear()
    # Disables the other rule that migrates connections on a tick.
    monkeypatch.setattr(Rebalancing, "consolidate_groups", lambda self: None)
    host.run(20.0)
    assert not host.actions(MigrateConnection)
