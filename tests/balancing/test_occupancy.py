"""Occupancy in slots, and what one slot is."""

from __future__ import annotations

from collections import Counter

import pytest

from saltcourse.balancing.events import AttemptStatus, ConnectionLoadChanged, ConnectionResumed
from tests.balancing.balancer_host import BalancerHost, members


def test_occupancy_counts_attempts_resumed_connections_and_every_ending() -> None:
    host = BalancerHost()
    host.update_endpoints(members(3))
    host.handle(ConnectionResumed("old", "quick", "s1"))
    host.in_flight["old"] = (0, "s1")
    held = [host.connect() for _ in range(9)]
    statuses = [AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.CANCELLED]
    for i, request in enumerate(held[:6]):
        host.finish(request, statuses[i % 3], final=True)
    want = Counter(backend for _, backend in host.in_flight.values())
    for backend in host.balancer.pool.backends.values():
        assert backend.count == want[backend.name]
        assert backend.occupancy == pytest.approx(want[backend.name])


def test_a_changed_load_changes_the_occupancy() -> None:
    host = BalancerHost()
    host.update_endpoints(members(1))
    request = host.request(load_hint=0.01)
    host.establish(request)
    backend = host.backend("s0")
    assert backend.occupancy == pytest.approx(1.0)
    host.handle(ConnectionLoadChanged(request, 0.03))
    assert backend.occupancy == pytest.approx(1.5)  # of a slot that is the mean of 0.01 and 0.03
    host.finish(request, AttemptStatus.OK, final=True)
    assert backend.occupancy == 0.0


def test_one_odd_load_does_not_set_the_measure_of_a_slot() -> None:
    # Ten connections once counted as forty slots: the first load reported was a small one, and led for long.
    host = BalancerHost()
    host.update_endpoints(members(1))
    held = [host.connect() for _ in range(10)]
    for request in held:
        host.handle(ConnectionLoadChanged(request, 0.01 if request == held[0] else 0.04))
    assert 8 < host.backend("s0").occupancy < 13
