"""Tests of occupancy in slots, and of the load of one slot."""

from __future__ import annotations

from collections import Counter

import pytest

from saltcourse.balancing.events import AttemptStatus, ConnectionLoadChanged, ConnectionResumed
from tests.balancing.balancer_host import BalancerHost, make_endpoints


def test_occupancy_counts_attempts_and_resumed_connections_until_they_end() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(3))
    host.handle(ConnectionResumed("old", "quick", "s1"))
    host.in_flight["old"] = (0, "s1")
    connections = [host.connect() for _ in range(9)]
    statuses = [AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.CANCELLED]
    for i, request in enumerate(connections[:6]):
        host.finish(request, statuses[i % 3], final=True)
    expected = Counter(backend for _, backend in host.in_flight.values())
    for backend in host.balancer.pool.backends.values():
        assert backend.count == expected[backend.name]
        assert backend.occupancy == pytest.approx(expected[backend.name])


def test_a_changed_load_changes_the_occupancy() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(1))
    request = host.request(load_hint=0.01)
    host.establish(request)
    backend = host.backend("s0")
    assert backend.occupancy == pytest.approx(1.0)
    host.handle(ConnectionLoadChanged(request, 0.03))
    assert backend.occupancy == pytest.approx(1.5)  # One slot is the mean of 0.01 and 0.03.
    host.finish(request, AttemptStatus.OK, final=True)
    assert backend.occupancy == 0.0


def test_one_atypical_load_does_not_determine_the_load_of_a_slot() -> None:
    # Guards against a mean that gives the first load too much weight: after a small first load, ten
    # connections counted as forty slots.
    host = BalancerHost()
    host.update_endpoints(make_endpoints(1))
    connections = [host.connect() for _ in range(10)]
    for request in connections:
        host.handle(ConnectionLoadChanged(request, 0.01 if request == connections[0] else 0.04))
    assert 8 < host.backend("s0").occupancy < 13
