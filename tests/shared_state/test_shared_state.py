"""Shared state: replicas that agree after any loss, bounds that hold, and what the balancing makes of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from saltcourse.balancing.actions import MigrateConnection, SendPeerMessage
from saltcourse.balancing.events import (
    AttemptStatus,
    ClientDisconnected,
    ConnectionResumed,
    HealthCheckFinished,
    LoadReport,
    PeerMessageReceived,
    ResponseLatencyMeasured,
)
from saltcourse.emulator.simnet import Link
from saltcourse.shared_state.codec import MAX_BYTES
from saltcourse.shared_state.ejections import Ejections
from saltcourse.shared_state.health_check_budget import HealthCheckBudget
from saltcourse.shared_state.messages import LeaseGrant
from saltcourse.shared_state.quota import QuotaLeases
from saltcourse.shared_state.state import SharedState
from tests.balancing.balancer_host import BalancerHost, members, settings
from tests.shared_state.simulated_proxies import SILENCE_SECONDS, SimulatedProxies, run_with_faults


@pytest.mark.parametrize("seed", range(16))
def test_replicas_agree_budgets_hold_and_ejections_end_after_faults(seed: int) -> None:
    # Messages are lost, late and duplicated; a proxy is cut off for longer than a lease, another is
    # stopped, one restarts. Then the replicas must agree, and at no time may the fleet have spent more than
    # its budget, or an ejection have outlived its end.
    link = Link(delay=(0.0017, 0.3), loss=(seed % 6) * 0.1, duplication=0.2)
    proxies = SimulatedProxies(seed, link, count=3 + seed % 4)
    assert run_with_faults(proxies) == []
    assert 0 < proxies.longest_message <= MAX_BYTES
    assert not proxies.overspent() and len(proxies.health_checks) > 300
    assert not proxies.outlived_ejections


def finds_fault(check: Callable[[SimulatedProxies], object], core: type[SharedState]) -> bool:
    """Whether a check finds fault with a broken variant on any of some seeds."""
    for seed in range(8):
        proxies = SimulatedProxies(seed, Link(delay=(0.0017, 0.3), loss=0.3), core)
        run_with_faults(proxies)
        if check(proxies):
            return True
    return False


def test_each_check_finds_a_broken_variant() -> None:
    class NeverRepairs(SharedState):
        """Never asks for what it has missed."""

        def _request_repairs(self, now: float) -> None:
            pass

    class UnsafeLeases(QuotaLeases):
        """Inherits a portion as soon as it starts; counts its own from the grant, not from the request."""

        def _start(self, now: float) -> None:
            self.granted_until = self.granted_until or dict.fromkeys(self.predecessors, now)

        def receive_grant(self, now: float, sender: int, grant: LeaseGrant) -> None:
            self.open_requests = dict.fromkeys(self.open_requests, now)
            super().receive_grant(now, sender, grant)

    class Overspending(SharedState):
        """Its shares can exceed the whole."""

        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            self.leases = UnsafeLeases(self.index, self.leases.proxy_count, self.settings)
            rate = self.settings.health_checks_per_second
            self.health_checks = HealthCheckBudget(rate, self.leases)

    class AgelessEjections(Ejections):
        """Counts an ejection's time from its arrival."""

        def _remaining(self, now: float, origin: int, end: int) -> float:
            return 1.0

    class OutlivingEjections(SharedState):
        """Holds ejections beyond their end."""

        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            self.ejections = AgelessEjections(self.settings.clock_drift)

    assert finds_fault(SimulatedProxies.stale_replicas, NeverRepairs)
    assert finds_fault(SimulatedProxies.overspent, Overspending)
    assert finds_fault(lambda proxies: proxies.outlived_ejections, OutlivingEjections)


def test_the_share_of_a_lost_peer_is_inherited_and_its_connections_decay_to_a_bound() -> None:
    # One proxy of four is cut off for good. The others give it up after a lease term and take over what it
    # leased from them; its connections may still exist, so they decay to the mean of the others and not to
    # nothing.
    proxies = SimulatedProxies(5, Link(), count=4)
    proxies.net.run(8.0)
    proxies.changing = False
    proxies.net.run(13.0)
    key = max(proxies.held[3], key=lambda s: proxies.held[3][s].count)
    lost, others = proxies.held[3][key].count, sum(h[key].count for h in proxies.held[:3])
    assert lost > 1 and not proxies.stale_replicas()
    assert proxies.cores[0].fleet_connections(proxies.clock(0), key) == lost + others
    assert all(
        core.relative_share(proxies.clock(i)) == pytest.approx(1.0) for i, core in enumerate(proxies.cores)
    )
    for other in "012":
        proxies.net.cut("3", other)
    proxies.net.run(13.0 + SILENCE_SECONDS + 6)
    assert all(3 not in core.peers for core in proxies.cores[:3])
    assert all(3 in pair for pair in proxies.stale_replicas())  # nothing sent for 20 s but heartbeats
    share = proxies.cores[0].relative_share(proxies.clock(0))
    assert share == pytest.approx(1.0)  # a lease lost, a portion inherited
    assert not proxies.overspent()
    proxies.net.run(13.0 + SILENCE_SECONDS + 6 + 600)
    assert proxies.cores[0].fleet_connections(proxies.clock(0), key) == pytest.approx(
        others + min(lost, others / 3), abs=0.1
    )


def test_nothing_is_sent_where_peers_are_not_allowed_and_the_equal_part_is_kept() -> None:
    for changes in ({"peers_allowed": False}, {"proxy_count": 1}):
        core = SharedState(
            settings(**({"proxy_count": 4, "peers_allowed": True, "has_groups": True} | changes)), 1, {}
        )
        core.record_group("s0", "g0", True)
        assert core.outgoing_messages(1.0) == [] and core.relative_share(1.0) == 1.0
        spent = sum(core.may_health_check(1.0 + i / 100, "s0") for i in range(1000))  # 10 s
        parts = 4 if "peers_allowed" in changes else 1
        assert 10 * 20 / parts - 1 <= spent <= 10 * 20 / parts + 3


def test_a_group_is_placed_where_a_peer_has_it() -> None:
    # Four proxies, each choosing well by itself, had put a group of eight connections on five backends.
    nodes = [
        BalancerHost(
            reports_load=True,
            health_checks_allowed=True,
            has_groups=True,
            peers_allowed=True,
            proxy_count=2,
            proxy_index=i,
            seed=i,
        )
        for i in (0, 1)
    ]
    for node in nodes:
        node.update_endpoints(members(6))
        for i in range(6):
            node.handle(HealthCheckFinished(f"s{i}", AttemptStatus.OK, report=LoadReport(load=0.5)))
    nodes[0].handle(ConnectionResumed("old", "quick", "s4", group="a"))
    nodes[0].run(2.0)
    for message in nodes[0].actions(SendPeerMessage):
        nodes[1].handle(PeerMessageReceived(0, message.data))
    assert nodes[1].backend_of(nodes[1].request(group="a")) == "s4"


def test_a_backend_that_a_peer_has_ejected_is_tried_by_one_connection_at_a_time() -> None:
    # Each proxy found a dead backend by itself, by as many connections as it had just sent there.
    nodes = [BalancerHost(peers_allowed=True, proxy_count=2, proxy_index=i, seed=3 + i) for i in (0, 1)]
    for node in nodes:
        node.update_endpoints(members(2))
        node.run(1.0)
    nodes[0].fail("s0")
    for message in [
        a for a in nodes[0].handle(ClientDisconnected("nobody")) if isinstance(a, SendPeerMessage)
    ]:
        nodes[1].handle(PeerMessageReceived(0, message.data))
    out = [nodes[1].request() for _ in range(30)]
    assert [nodes[1].backend_of(r) for r in out if r in nodes[1].in_flight].count("s0") == 1


def test_a_group_that_a_peer_has_at_the_backend_too_is_shed_last() -> None:
    # Migrating one's own connections of it frees nothing: the backend pays for the group all the same.
    node = BalancerHost(
        reports_load=True, health_checks_allowed=True, has_groups=True, peers_allowed=True, proxy_count=2
    )
    node.update_endpoints(members(2))
    for i, group in enumerate("abbb"):
        node.handle(ConnectionResumed(f"c{i}", "quick", "s0", group=group))
    peer = SharedState(settings(proxy_count=2, proxy_index=1, peers_allowed=True, has_groups=True), 3, {})
    peer.record_group("s0", "a", True)
    for _, text in peer.outgoing_messages(node.now):
        node.handle(PeerMessageReceived(1, text))
    for _ in range(9):
        node.handle(ResponseLatencyMeasured("c0", 0.07))
    assert {m.request for m in node.actions(MigrateConnection)} == {"c1", "c2", "c3"}


def test_a_proxy_that_has_just_started_learns_the_capacity_scale_from_its_peers() -> None:
    # It had no connections, so it took two slots for a backend's whole load and rejected 75 requests in 5 s.
    node = BalancerHost(
        reports_load=True, health_checks_allowed=True, has_groups=True, peers_allowed=True, proxy_count=2
    )
    node.update_endpoints(members(2))
    node.handle(HealthCheckFinished("s0", AttemptStatus.OK, report=LoadReport(load=0.1)))
    peer = SharedState(settings(proxy_count=2, proxy_index=1, peers_allowed=True, has_groups=True), 3, {})
    peer.set_capacity_scale(20.0)
    before = node.backend("s0").ceiling
    for _, text in peer.outgoing_messages(node.now):
        node.handle(PeerMessageReceived(1, text))
    node.run(2.0)
    assert before < 2.0 and node.backend("s0").ceiling == pytest.approx(0.7 * 10.0)
