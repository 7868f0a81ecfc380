"""Tests of updates of the endpoint list and of the calls to discovery."""

from __future__ import annotations

from saltcourse.balancing.actions import FetchEndpoints, MigrateConnection, WatchEndpoints
from saltcourse.balancing.events import BackendState, Endpoint, EndpointUpdateKind
from saltcourse.balancing.settings import DiscoveryMode
from tests.balancing.balancer_host import BalancerHost, make_endpoints


def test_draining_and_removed_backends_get_no_attempts() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(3))
    host.update_endpoints((Endpoint("s0", BackendState.DRAINING, "z0"),), EndpointUpdateKind.DELTA)
    host.update_endpoints(make_endpoints(3)[1:])  # s0 is missing from a complete list.
    for _ in range(20):
        assert host.backend_of(host.connect()) != "s0"
    host.update_endpoints((Endpoint("s1", BackendState.REMOVED),), EndpointUpdateKind.DELTA)
    for _ in range(20):
        assert host.backend_of(host.connect()) == "s2"


def test_a_restart_of_a_backend_resets_its_learned_state() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(2))
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


def test_a_polled_list_is_fetched_after_a_failed_watch_and_then_watched_again() -> None:
    # Discovery fails once. The proxy fetches the complete list, keeps using the old one until the response,
    # and then watches again.
    host = BalancerHost(discovery_mode=DiscoveryMode.POLLED, poll_interval=10.0, proxy_count=20)
    host.update_endpoints(make_endpoints(2), EndpointUpdateKind.CACHED)
    host.run(5.0)
    assert len(host.actions(WatchEndpoints)) == 1
    host.update_endpoints((), EndpointUpdateKind.UNAVAILABLE)
    host.run(10.0)
    assert len(host.actions(FetchEndpoints)) == 1  # The fallback for a failed watch.
    assert host.balancer.pool.candidates  # The old list is still used.
    host.update_endpoints(make_endpoints(3))
    host.run(5.0)
    assert len(host.actions(WatchEndpoints)) == 2  # Watched again within the poll interval.
    host.run(60.0)
    assert len(host.actions(WatchEndpoints)) == 2  # A successful watch is not repeated.


def test_proxies_that_start_together_call_discovery_at_different_times() -> None:
    # All proxies of a fleet start together. Discovery would reject calls that arrive at the same time.
    call_times = []
    for seed in range(10):
        host = BalancerHost(seed=seed, discovery_mode=DiscoveryMode.POLLED, proxy_count=20)
        host.update_endpoints(make_endpoints(1), EndpointUpdateKind.CACHED)
        host.run(6.0)
        call_times += [round(t, 1) for t, a in host.log if isinstance(a, WatchEndpoints)]
    assert len(call_times) == 10 and len(set(call_times)) >= 7


def test_connections_of_a_draining_backend_are_migrated_before_it_closes_them() -> None:
    # Without migration, a backend that stops resets all connections that are still established, 46 of them in
    # the worst window of a release.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(3))
    connections = [host.connect() for _ in range(12)]
    late = host.request()
    by_backend = {name: {r for r in connections if host.backend_of(r) == name} for name in ("s0", "s1", "s2")}
    draining = host.backend_of(late)
    host.update_endpoints((Endpoint(draining, BackendState.DRAINING, "z0"),), EndpointUpdateKind.DELTA)
    assert {m.request for m in host.actions(MigrateConnection)} == by_backend[draining]
    host.establish(late)  # Its attempt was in flight when the drain began.
    assert {m.request for m in host.actions(MigrateConnection)} == by_backend[draining] | {late}
    other = next(name for name in by_backend if name != draining and by_backend[name])
    host.update_endpoints(tuple(m for m in make_endpoints(3) if m.backend not in (other, draining)))
    migrated = {m.request for m in host.actions(MigrateConnection)}
    assert not by_backend[other] & migrated  # A complete list may be stale, so it causes no migration.


def test_discovery_is_still_called_after_hours_of_failures() -> None:
    # Guards against an OverflowError in the balancer: without a bound, the backoff's power of two exceeds the
    # range of a float at the 1024th failure.
    host = BalancerHost(discovery_mode=DiscoveryMode.POLLED)
    host.update_endpoints(make_endpoints(2), EndpointUpdateKind.CACHED)
    for _ in range(1100):
        host.update_endpoints((), EndpointUpdateKind.UNAVAILABLE)
        host.run(2.0)
    assert len(host.actions(FetchEndpoints)) + len(host.actions(WatchEndpoints)) >= 1100
