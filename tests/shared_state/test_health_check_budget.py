"""The budget of health checks: the burst at the start, the rate, and a bucket for each backend."""

from __future__ import annotations

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.shared_state.health_check_budget import BURST_PER_PROXY, HealthCheckBudget, SharedTokenBucket
from saltcourse.shared_state.quota import QuotaLeases

RATE = 20.0  # health checks per second of the fleet


def test_a_proxy_alone_may_start_with_a_burst() -> None:
    budget = HealthCheckBudget(RATE, QuotaLeases(0, 1, SharedStateSettings()))
    started = [budget.spend(0.0, "a", started_at=0.0) for _ in range(5)]
    assert sum(started) == BURST_PER_PROXY
    assert budget.spend(0.0, "b", started_at=0.0)  # another backend has a budget of its own


def test_a_proxy_among_others_starts_with_an_empty_bucket() -> None:
    # An earlier incarnation may have spent the burst a moment ago.
    budget = HealthCheckBudget(RATE, QuotaLeases(0, 4, SharedStateSettings()))
    assert not budget.spend(0.0, "a", started_at=0.0)
    assert budget.spend(0.4, "a", started_at=0.0)  # half of an equal part: 2.5 a second


def test_a_share_that_grows_brings_no_tokens_with_it() -> None:
    bucket = SharedTokenBucket(RATE, burst=8.0)
    assert not bucket.spend(0.0, share=0.125)
    assert not bucket.spend(0.0, share=1.0)


def test_unused_tokens_are_kept_up_to_the_share_of_the_burst() -> None:
    bucket = SharedTokenBucket(RATE, burst=8.0)
    started = [bucket.spend(100.0, share=0.25) for _ in range(5)]
    assert sum(started) == 2
