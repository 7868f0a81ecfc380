"""Shared state: convergence of replicas, bounds on budgets and ejections, and the effects on the balancer."""

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
from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.emulator.simnet import Link
from saltcourse.shared_state.codec import MAX_BYTES, decode
from saltcourse.shared_state.ejections import Ejections
from saltcourse.shared_state.health_check_budget import BURST_PER_PROXY, HealthCheckBudget
from saltcourse.shared_state.messages import LeaseGrant, SnapshotRequest
from saltcourse.shared_state.quota import QuotaLeases
from saltcourse.shared_state.state import SharedState
from tests.balancing.balancer_host import BalancerHost, make_endpoints, settings
from tests.shared_state.simulated_proxies import SILENCE_SECONDS, SimulatedProxies, run_with_faults


@pytest.mark.parametrize("seed", range(16))
def test_replicas_converge_and_budgets_and_ejections_keep_their_limits_despite_faults(seed: int) -> None:
    # Messages are lost, delayed and duplicated; a proxy is cut off for longer than a lease, another one is
    # stopped, and one restarts. Afterwards the replicas must match. At no time may the fleet exceed its
    # budget, or an ejection last longer than at its origin.
    link = Link(delay=(0.0017, 0.3), loss=(seed % 6) * 0.1, duplication=0.2)
    proxies = SimulatedProxies(seed, link, count=3 + seed % 4)
    assert run_with_faults(proxies) == []
    assert 0 < proxies.longest_message <= MAX_BYTES
    assert not proxies.overspent() and len(proxies.health_checks) > 300
    assert not proxies.outlived_ejections


def detects_violation(check: Callable[[SimulatedProxies], object], state_class: type[SharedState]) -> bool:
    """Return whether a check detects a violation by a broken variant with any of 8 seeds."""
    for seed in range(8):
        proxies = SimulatedProxies(seed, Link(delay=(0.0017, 0.3), loss=0.3), state_class)
        run_with_faults(proxies)
        if check(proxies):
            return True
    return False


def test_each_check_detects_a_broken_variant() -> None:
    class NeverRequestsRepairs(SharedState):
        """Never requests the records that it has missed."""

        def _request_repairs(self, now: float) -> None:
            pass

    class LeasesCountedFromGrant(QuotaLeases):
        """Counts a lease from the arrival of the grant instead of from the request."""

        def _start(self, now: float) -> None:
            self.granted_until = self.granted_until or dict.fromkeys(self.predecessors, now)

        def receive_grant(self, now: float, sender: int, grant: LeaseGrant) -> None:
            self.open_requests = dict.fromkeys(self.open_requests, now)
            super().receive_grant(now, sender, grant)

    class ExceedsBudget(SharedState):
        """Uses portions whose leases have expired, so the shares of all proxies can add up to more than 1."""

        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            self.leases = LeasesCountedFromGrant(self.index, self.leases.proxy_count, self.settings)
            rate = self.settings.health_checks_per_second
            self.health_checks = HealthCheckBudget(rate, self.leases)

    class EjectionsWithoutEnd(Ejections):
        """Ignores the end of an ejection and keeps it for the maximum time after its arrival."""

        def _remaining(self, now: float, origin: int, end: int) -> float:
            return 1.0

    class ExtendsEjections(SharedState):
        """Applies ejections of peers beyond their end."""

        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            self.ejections = EjectionsWithoutEnd(self.settings.clock_drift)

    assert detects_violation(SimulatedProxies.stale_replicas, NeverRequestsRepairs)
    assert detects_violation(SimulatedProxies.overspent, ExceedsBudget)
    assert detects_violation(lambda proxies: proxies.outlived_ejections, ExtendsEjections)


def test_the_portions_of_a_lost_peer_are_inherited_and_its_connections_decay_to_the_mean() -> None:
    # One proxy of four is permanently cut off. The others consider it lost after a lease term and use its
    # portions. Its connections may still exist, so the estimate decays to the mean of the other proxies, not
    # to 0.
    proxies = SimulatedProxies(5, Link(), count=4)
    proxies.net.run(8.0)
    proxies.changes_enabled = False
    proxies.net.run(13.0)
    key = max(proxies.connections[3], key=lambda s: proxies.connections[3][s].count)
    lost, others = proxies.connections[3][key].count, sum(h[key].count for h in proxies.connections[:3])
    assert lost > 1 and not proxies.stale_replicas()
    assert proxies.states[0].fleet_connections(proxies.clock(0), key) == lost + others
    assert all(
        state.relative_share(proxies.clock(i)) == pytest.approx(1.0) for i, state in enumerate(proxies.states)
    )
    for other in "012":
        proxies.net.cut("3", other)
    proxies.net.run(13.0 + SILENCE_SECONDS + 6)
    assert all(3 not in state.peers for state in proxies.states[:3])
    assert all(3 in pair for pair in proxies.stale_replicas())  # only heartbeats were sent for 20 s
    share = proxies.states[0].relative_share(proxies.clock(0))
    assert share == pytest.approx(1.0)  # one lease has expired, one portion is inherited
    assert not proxies.overspent()
    proxies.net.run(13.0 + SILENCE_SECONDS + 6 + 600)
    assert proxies.states[0].fleet_connections(proxies.clock(0), key) == pytest.approx(
        others + min(lost, others / 3), abs=0.1
    )


def test_without_peers_nothing_is_sent_and_the_share_is_an_equal_part() -> None:
    for changes in ({"peers_allowed": False}, {"proxy_count": 1}):
        state = SharedState(
            settings(**({"proxy_count": 4, "peers_allowed": True, "has_groups": True} | changes)), 1, {}
        )
        state.record_group("s0", "g0", True)
        assert state.outgoing_messages(1.0) == [] and state.relative_share(1.0) == 1.0
        spent = sum(state.may_health_check(1.0 + i / 100, "s0") for i in range(1000))  # 10 s
        parts = 4 if "peers_allowed" in changes else 1
        assert 10 * 20 / parts - 1 <= spent <= 10 * 20 / parts + 3


def test_a_connection_is_placed_on_the_backend_where_a_peer_serves_its_group() -> None:
    # Without shared state, four proxies placed a group of eight connections on five backends.
    hosts = [
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
    for host in hosts:
        host.update_endpoints(make_endpoints(6))
        for i in range(6):
            host.handle(HealthCheckFinished(f"s{i}", AttemptStatus.OK, report=LoadReport(load=0.5)))
    hosts[0].handle(ConnectionResumed("old", "quick", "s4", group="a"))
    hosts[0].run(2.0)
    for message in hosts[0].actions(SendPeerMessage):
        hosts[1].handle(PeerMessageReceived(0, message.data))
    assert hosts[1].backend_of(hosts[1].request(group="a")) == "s4"


def test_a_backend_ejected_by_a_peer_gets_only_one_connection_at_a_time() -> None:
    # Without shared ejections, each proxy detected a dead backend separately, by the failure of all
    # connections that it had just sent there.
    hosts = [BalancerHost(peers_allowed=True, proxy_count=2, proxy_index=i, seed=3 + i) for i in (0, 1)]
    for host in hosts:
        host.update_endpoints(make_endpoints(2))
        host.run(1.0)
    hosts[0].fail("s0")
    for message in [
        a for a in hosts[0].handle(ClientDisconnected("nobody")) if isinstance(a, SendPeerMessage)
    ]:
        hosts[1].handle(PeerMessageReceived(0, message.data))
    requests = [hosts[1].request() for _ in range(30)]
    assert [hosts[1].backend_of(r) for r in requests if r in hosts[1].in_flight].count("s0") == 1


def test_a_group_that_a_peer_also_has_at_the_backend_is_shed_last() -> None:
    # Migrating this proxy's connections of the group saves nothing: the backend still bears its cost.
    host = BalancerHost(
        reports_load=True, health_checks_allowed=True, has_groups=True, peers_allowed=True, proxy_count=2
    )
    host.update_endpoints(make_endpoints(2))
    for i, group in enumerate("abbb"):
        host.handle(ConnectionResumed(f"c{i}", "quick", "s0", group=group))
    peer = SharedState(settings(proxy_count=2, proxy_index=1, peers_allowed=True, has_groups=True), 3, {})
    peer.record_group("s0", "a", True)
    for _, text in peer.outgoing_messages(host.now):
        host.handle(PeerMessageReceived(1, text))
    for _ in range(9):
        host.handle(ResponseLatencyMeasured("c0", 0.07))
    assert {m.request for m in host.actions(MigrateConnection)} == {"c1", "c2", "c3"}


def test_a_proxy_that_has_just_started_learns_the_capacity_scale_from_its_peers() -> None:
    # Without the peers' scale, a proxy without connections assumed two slots at a backend's full load and
    # rejected 75 requests in 5 s.
    host = BalancerHost(
        reports_load=True, health_checks_allowed=True, has_groups=True, peers_allowed=True, proxy_count=2
    )
    host.update_endpoints(make_endpoints(2))
    host.handle(HealthCheckFinished("s0", AttemptStatus.OK, report=LoadReport(load=0.1)))
    peer = SharedState(settings(proxy_count=2, proxy_index=1, peers_allowed=True, has_groups=True), 3, {})
    peer.set_capacity_scale(20.0)
    before = host.backend("s0").ceiling
    for _, text in peer.outgoing_messages(host.now):
        host.handle(PeerMessageReceived(1, text))
    host.run(2.0)
    assert before < 2.0 and host.backend("s0").ceiling == pytest.approx(0.7 * 10.0)


def test_the_two_processes_of_a_replacement_spend_no_more_than_one_proxy() -> None:
    """The old and the new process are one proxy to the others, so only the linked one spends and sends."""
    rules = SharedStateSettings(health_checks_per_second=40.0)
    common = settings(peers_allowed=True, proxy_count=4, proxy_index=0, shared_state=rules)
    old, new = (SharedState(common, incarnation, {}) for incarnation in (1, 2))
    part = 1 / 4  # of the budget; without answers to its lease requests a proxy has no more
    begin, now, replaced_at, spent = 100.0, 100.0, 130.0, 0
    new.set_linked(now, False)
    while now < begin + 60.0:
        now += 0.02
        if now >= replaced_at and old.is_linked:
            old.set_linked(now, False)
            new.set_linked(now, True)
        for state in (old, new):
            spent += state.may_health_check(now, "s0")
            assert state.is_linked or not state.outgoing_messages(now)
            state.outgoing_messages(now)
    most = part * (rules.health_checks_per_second * (now - begin) + BURST_PER_PROXY * 4)
    assert 0.6 * most < spent <= most


def test_a_linked_process_uses_no_portion_that_the_other_one_may_have_granted() -> None:
    common = settings(peers_allowed=True, proxy_count=4, proxy_index=0)
    state = SharedState(common, 2, {})
    term = state.settings.lease_term
    assert state.leases.share(100.0) == state.leases.share(100.0 + 0.9 * term) == 0.5 / 4
    assert state.leases.share(100.0 + 2 * term) == 1 / 4  # inherited
    state.set_linked(100.0 + 2 * term, False)
    state.set_linked(100.0 + 3 * term, True)
    assert state.leases.share(100.0 + 3.9 * term) == 0.5 / 4
    assert state.leases.share(100.0 + 4.1 * term) == 1 / 4


def test_a_process_that_becomes_linked_asks_its_peers_for_all_that_they_have() -> None:
    common = settings(peers_allowed=True, proxy_count=3, proxy_index=0)
    state = SharedState(common, 7, {})
    state.outgoing_messages(100.0)  # before the link is known to be taken; lost
    state.set_linked(100.0, False)
    assert state.outgoing_messages(105.0) == []
    state.set_linked(110.0, True)
    messages = [decode(text) for peer, text in state.outgoing_messages(110.0) if peer is not None]
    assert [SnapshotRequest() in message.records for message in messages] == [True, True]
