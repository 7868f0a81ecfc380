"""Tests of the draw in proportion to free slots, and of overflow."""

from __future__ import annotations

from collections import Counter

import pytest

from saltcourse.balancing.actions import RejectRequest, StartAttempt
from saltcourse.balancing.events import AttemptStatus, ConnectionResumed
from tests.balancing.balancer_host import BalancerHost, make_endpoints


def test_backends_are_drawn_in_proportion_to_their_free_slots() -> None:
    host = BalancerHost(seed=3)
    host.update_endpoints(make_endpoints(2))
    first, second = host.backend("s0"), host.backend("s1")
    counts: Counter[str] = Counter()
    for _ in range(4000):
        first.ceiling, second.ceiling = 4.0, 2.0  # 3 free slots and 1
        first.occupancy, second.occupancy, first.count, second.count = 1.0, 1.0, 1, 1
        host.balancer.slot_ceilings.largest_free_slots = 3.0
        request = host.request()
        counts[host.backend_of(request)] += 1
        host.finish(request, AttemptStatus.CANCELLED, final=True)
    assert counts["s0"] / 4000 == pytest.approx(0.75, abs=0.03)


def test_full_backends_overflow_by_one_slot_unless_they_have_recently_rejected() -> None:
    host = BalancerHost()
    host.update_endpoints(make_endpoints(2))
    for backend in host.balancer.pool.backends.values():
        backend.occupancy, backend.count, backend.ceiling, backend.ceiling_record.learned_limit = (
            3.0,
            3,
            3.0,
            3.0,
        )
    host.backend("s0").ceiling_record.no_overflow_until = host.now + 5
    request = host.request()
    assert host.backend_of(request) == "s1"
    host.backend("s1").ceiling_record.no_overflow_until = host.now + 5
    host.request()
    rejection = host.actions(RejectRequest)[-1]
    assert rejection.request == "r2" and 0 < rejection.retry_after <= host.settings.max_retry_after


def test_a_backend_that_is_not_listed_gets_no_attempts_and_the_request_is_rejected() -> None:
    host = BalancerHost()
    host.handle(ConnectionResumed("old", "quick", "unlisted"))
    host.update_endpoints(())
    host.request()
    assert host.actions(RejectRequest) and not host.actions(StartAttempt)
