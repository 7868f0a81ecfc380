"""Updates of the endpoint list, and the calls of discovery."""

from __future__ import annotations

from saltcourse.balancing.actions import FetchEndpoints, MigrateConnection, WatchEndpoints
from saltcourse.balancing.events import BackendState, Endpoint, EndpointUpdateKind
from saltcourse.balancing.settings import DiscoveryMode
from tests.balancing.balancer_host import BalancerHost, members


def test_draining_and_removed_backends_get_nothing_new() -> None:
    host = BalancerHost()
    host.update_endpoints(members(3))
    host.update_endpoints((Endpoint("s0", BackendState.DRAINING, "z0"),), EndpointUpdateKind.DELTA)
    host.update_endpoints(members(3)[1:])  # s0 is missing from a complete list
    for _ in range(20):
        assert host.backend_of(host.connect()) != "s0"
    host.update_endpoints((Endpoint("s1", BackendState.REMOVED),), EndpointUpdateKind.DELTA)
    for _ in range(20):
        assert host.backend_of(host.connect()) == "s2"


def test_a_restart_forgets_what_was_learned() -> None:
    host = BalancerHost()
    host.update_endpoints(members(2))
    backend = host.backend("s0")
    backend.ceiling_record.learned_limit, backend.health.consecutive_ejections, backend.report.load = (
        1.0,
        3,
        0.99,
    )
    host.update_endpoints((Endpoint("s0", started=99.0),), EndpointUpdateKind.DELTA)
    assert (backend.ceiling_record.learned_limit, backend.health.consecutive_ejections) == (
        0.0,
        0,
    ) and backend.report.load < 0


def test_polled_discovery_is_watched_early_and_called_again_after_a_failure() -> None:
    # Discovery fails once. The proxy fetches the complete list, goes on with the old one meanwhile, and
    # watches again as soon as it has been answered.
    host = BalancerHost(discovery_mode=DiscoveryMode.POLLED, poll_interval=10.0, proxy_count=20)
    host.update_endpoints(members(2), EndpointUpdateKind.CACHED)
    host.run(5.0)
    assert len(host.actions(WatchEndpoints)) == 1
    host.update_endpoints((), EndpointUpdateKind.UNAVAILABLE)
    host.run(10.0)
    assert len(host.actions(FetchEndpoints)) == 1  # polled as a fallback
    assert host.balancer.pool.candidates  # the old list goes on
    host.update_endpoints(members(3))
    host.run(5.0)
    assert len(host.actions(WatchEndpoints)) == 2  # and watched again, within the poll interval
    host.run(60.0)
    assert len(host.actions(WatchEndpoints)) == 2  # a watch that works is not repeated


def test_proxies_started_together_do_not_call_discovery_together() -> None:
    # A fleet is started at once. Calls at the same moment would be rejected by discovery.
    moments = []
    for seed in range(10):
        host = BalancerHost(seed=seed, discovery_mode=DiscoveryMode.POLLED, proxy_count=20)
        host.update_endpoints(members(1), EndpointUpdateKind.CACHED)
        host.run(6.0)
        moments += [round(t, 1) for t, a in host.log if isinstance(a, WatchEndpoints)]
    assert len(moments) == 10 and len(set(moments)) >= 7


def test_connections_of_a_draining_backend_are_migrated_before_it_closes_them() -> None:
    # A backend that stopped with its clients still on it reset them all: 46 in the worst window of a release.
    host = BalancerHost()
    host.update_endpoints(members(3))
    held = [host.connect() for _ in range(12)]
    late = host.request()
    on = {name: {r for r in held if host.backend_of(r) == name} for name in ("s0", "s1", "s2")}
    leaving = host.backend_of(late)
    host.update_endpoints((Endpoint(leaving, BackendState.DRAINING, "z0"),), EndpointUpdateKind.DELTA)
    assert {m.request for m in host.actions(MigrateConnection)} == on[leaving]
    host.establish(late)  # its attempt was in flight already
    assert {m.request for m in host.actions(MigrateConnection)} == on[leaving] | {late}
    other = next(name for name in on if name != leaving and on[name])
    host.update_endpoints(tuple(m for m in members(3) if m.backend not in (other, leaving)))
    assert not on[other] & {
        m.request for m in host.actions(MigrateConnection)
    }  # left out of a complete list: it may be stale


def test_discovery_that_stays_away_for_hours_is_called_all_the_same() -> None:
    # Discovery is down for hours. The backoff's power of two outgrew a float at the 1024th failure, and the
    # balancer raised OverflowError.
    host = BalancerHost(discovery_mode=DiscoveryMode.POLLED)
    host.update_endpoints(members(2), EndpointUpdateKind.CACHED)
    for _ in range(1100):
        host.update_endpoints((), EndpointUpdateKind.UNAVAILABLE)
        host.run(2.0)
    assert len(host.actions(FetchEndpoints)) + len(host.actions(WatchEndpoints)) >= 1100
