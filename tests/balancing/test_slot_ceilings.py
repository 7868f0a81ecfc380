"""Tests of slot ceilings: learned limits, cuts and recovery."""

from __future__ import annotations

import pytest

from saltcourse.balancing.actions import RejectRequest
from saltcourse.balancing.events import AttemptStatus, ConnectionResumed, ResponseLatencyMeasured
from saltcourse.balancing.settings import Tenant
from saltcourse.balancing.slot_ceilings import may_overflow
from tests.balancing.balancer_host import QUICK, BalancerHost, make_endpoints


def test_filling_the_last_slot_raises_a_learned_limit_and_a_rejection_cuts_it() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(1))
    backend = host.backend("s0")
    backend.occupancy, backend.count, backend.ceiling, backend.ceiling_record.learned_limit = 3.0, 3, 3.5, 3.5
    request = host.request()
    host.establish(request)
    assert backend.ceiling_record.learned_limit == pytest.approx(4.5)
    request = host.request()
    host.finish(request, AttemptStatus.FULL)
    assert backend.ceiling_record.learned_limit < 4.0 and not may_overflow(host.now, backend)


def test_slow_messages_cut_the_ceiling() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(1))
    request = host.connect()
    backend = host.backend("s0")
    host.handle(ResponseLatencyMeasured(request, QUICK.message_latency_objective))
    assert backend.ceiling <= backend.occupancy
    host.run(1.0)  # A refresh adds no free slots while messages are slow.
    assert backend.ceiling <= backend.occupancy
    host.handle(ResponseLatencyMeasured(request, 0.001))
    host.run(2.0)
    assert backend.ceiling > backend.occupancy


def test_late_messages_stop_new_connections_even_with_a_low_reported_load() -> None:
    host = BalancerHost(reports_load=True, health_checks_allowed=True)
    host.update_endpoints(make_endpoints(2))
    backend = host.backend("s0")
    host.handle(ConnectionResumed("old", "quick", "s0"))
    host.handle(ResponseLatencyMeasured("old", 2 * QUICK.message_latency_objective))
    host.report_loads(s0=0.2)
    assert backend.ceiling <= backend.occupancy and not may_overflow(host.now, backend)
    host.run(10.0)
    host.report_loads(s0=0.2)
    assert backend.ceiling > backend.occupancy and may_overflow(host.now, backend)


def test_a_connection_accepted_after_the_backoff_resets_the_backoff() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(1))
    backend = host.backend("s0")
    for _ in range(3):
        host.now += 20.0
        host.balancer.slot_ceilings.cut(host.now, backend, blocks_overflow=True)
    assert backend.ceiling_record.no_overflow_until - host.now == 8.0
    host.run(20.0)
    host.connect()
    host.balancer.slot_ceilings.cut(host.now, backend, blocks_overflow=True)
    assert backend.ceiling_record.no_overflow_until - host.now == 2.0


def test_a_started_proxy_can_accept_all_clients_of_a_stopped_one() -> None:
    # Guards against initial ceilings of only a few slots: a proxy rejected 700 requests in four seconds after
    # a restart.
    host = BalancerHost(tenants=(Tenant("t", 1.0, 120.0),), proxy_count=2)
    host.update_endpoints(make_endpoints(6))
    for _ in range(58):
        host.request()
    assert not host.actions(RejectRequest)
    without_quota = BalancerHost()
    without_quota.update_endpoints(make_endpoints(6))
    for _ in range(58):
        without_quota.request()
    assert without_quota.actions(RejectRequest)  # Without a quota, the initial ceilings are a few slots.
