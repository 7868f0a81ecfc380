"""Tests of the candidates for new attempts and of their exclusion."""

from __future__ import annotations

from saltcourse.balancing.backend_pool import BackendPool
from saltcourse.balancing.events import BackendState, Endpoint
from saltcourse.balancing.state import Backend


def pool_of(*zones: str) -> BackendPool:
    pool = BackendPool()
    for number, zone in enumerate(zones):
        pool.backends[f"s{number}"] = Backend(Endpoint(f"s{number}", zone=zone))
    pool.candidates = pool.listed()
    return pool


def names(pool: BackendPool) -> list[str]:
    return [backend.name for backend in pool.candidates]


def test_only_ready_backends_are_listed() -> None:
    pool = pool_of("a", "a", "a")
    pool.backends["s0"].state = BackendState.DRAINING
    pool.backends["s1"].state = BackendState.REMOVED
    assert [backend.name for backend in pool.listed()] == ["s2"]


def test_the_last_candidate_is_not_excluded() -> None:
    pool = pool_of("a", "a")
    pool.exclude(pool.backends["s0"])
    assert names(pool) == ["s1"]
    pool.exclude(pool.backends["s1"])
    assert names(pool) == ["s1"]


def test_a_zone_is_excluded_unless_no_candidate_would_be_left() -> None:
    pool = pool_of("a", "b", "a")
    pool.exclude_zone("a")
    assert names(pool) == ["s1"]
    pool.exclude_zone("b")
    assert names(pool) == ["s1"]
