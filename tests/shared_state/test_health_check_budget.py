"""The health check budget: the initial burst, the rate, and a separate bucket for each backend."""

from __future__ import annotations

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.shared_state.health_check_budget import BURST_PER_PROXY, HealthCheckBudget, SharedTokenBucket
from saltcourse.shared_state.quota import QuotaLeases

RATE = 20.0  # health checks per second of the fleet


def test_an_isolated_proxy_may_start_with_a_burst() -> None:
    budget = HealthCheckBudget(RATE, QuotaLeases(0, 1, SharedStateSettings()))
    started = [budget.spend(0.0, "a", started_at=0.0) for _ in range(5)]
    assert sum(started) == BURST_PER_PROXY
    assert budget.spend(0.0, "b", started_at=0.0)  # each backend has its own budget


def test_a_proxy_with_peers_starts_with_an_empty_bucket() -> None:
    # An earlier process of the proxy may have spent the burst just before.
    budget = HealthCheckBudget(RATE, QuotaLeases(0, 4, SharedStateSettings()))
    assert not budget.spend(0.0, "a", started_at=0.0)
    assert budget.spend(0.4, "a", started_at=0.0)  # half of an equal part is 2.5 tokens per second


def test_a_growing_share_adds_no_tokens() -> None:
    bucket = SharedTokenBucket(RATE, burst=8.0)
    assert not bucket.spend(0.0, share=0.125)
    assert not bucket.spend(0.0, share=1.0)


def test_unused_tokens_accumulate_up_to_the_share_of_the_burst() -> None:
    bucket = SharedTokenBucket(RATE, burst=8.0)
    started = [bucket.spend(100.0, share=0.25) for _ in range(5)]
    assert sum(started) == 2
