"""Tests of the capacity estimate: slots at full load, and the relative capacity of machine types."""

from __future__ import annotations

import pytest

from saltcourse.balancing.capacity_estimate import (
    INITIAL_MEAN_LOAD,
    MIN_USEFUL_LOAD,
    PRIOR_LOAD,
    CapacityEstimate,
)
from saltcourse.balancing.events import Endpoint
from saltcourse.balancing.load_reports import MAX_REPORT_AGE_SECONDS
from saltcourse.balancing.state import Backend
from saltcourse.shared_state.state import SharedState
from tests.balancing.balancer_host import settings

NOW = 100.0


def backend(machine_type: str, occupancy: float, load: float, received_at: float = NOW) -> Backend:
    result = Backend(Endpoint(f"{machine_type}-{occupancy}", machine_type=machine_type))
    result.occupancy = occupancy
    result.report.load = load
    result.report.received_at = received_at
    return result


def estimate() -> CapacityEstimate:
    return CapacityEstimate(SharedState(settings(), 1, {}))


def test_slots_at_full_load_are_the_occupancy_over_the_reported_load() -> None:
    capacity = estimate()
    capacity.update(NOW, [backend("a", 4.0, 0.4), backend("a", 8.0, 0.8)])
    assert capacity.slots_at_full_load == pytest.approx(12.0 / 1.2)
    assert capacity.mean_reported_load == pytest.approx(0.6)


def test_a_machine_type_that_holds_more_at_the_same_load_has_more_capacity() -> None:
    small, large = backend("small", 4.0, 0.5), backend("large", 12.0, 0.5)
    estimate().update(NOW, [small, large])
    # 16 slots are a load of 1 on a mean backend, so 4 slots are a load of 0.25 and 12 slots one of 0.75.
    assert small.relative_capacity == pytest.approx((0.25 + PRIOR_LOAD) / (0.5 + PRIOR_LOAD))
    assert large.relative_capacity == pytest.approx((0.75 + PRIOR_LOAD) / (0.5 + PRIOR_LOAD))


@pytest.mark.parametrize(
    "ignored",
    [
        backend("a", 4.0, 0.4, received_at=NOW - MAX_REPORT_AGE_SECONDS),
        backend("a", 4.0, MIN_USEFUL_LOAD),
        backend("a", 0.0, 0.4),
    ],
    ids=["expired report", "idle backend", "no slots of this proxy"],
)
def test_reports_without_information_do_not_change_the_estimate(ignored: Backend) -> None:
    capacity = estimate()
    capacity.update(NOW, [ignored])
    assert (capacity.slots_at_full_load, capacity.mean_reported_load) == (0.0, INITIAL_MEAN_LOAD)
    assert ignored.relative_capacity == 1.0
