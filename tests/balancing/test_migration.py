"""Tests of migration: each connection is migrated once, and shares are rounded at random."""

from __future__ import annotations

import random

import pytest

from saltcourse.balancing.actions import Action, MigrateConnection
from saltcourse.balancing.events import Endpoint
from saltcourse.balancing.migration import Migration
from saltcourse.balancing.state import Backend, Request
from tests.balancing.balancer_host import QUICK


def backend_with(count: int) -> Backend:
    backend = Backend(Endpoint("s0"))
    for number in range(count):
        request = Request(f"r{number}", QUICK, 0.0, 1.0, "", "")
        request.backend = backend
        backend.connections[request.id] = request
    return backend


def test_all_connections_of_a_backend_are_migrated_once() -> None:
    actions: list[Action] = []
    backend = backend_with(3)
    migration = Migration(actions, random.Random(1))
    migration.migrate_all(backend)
    migration.migrate_all(backend)
    assert actions == [MigrateConnection("r0"), MigrateConnection("r1"), MigrateConnection("r2")]
    assert not backend.connections


def test_a_small_share_is_migrated_exactly_on_average() -> None:
    migration = Migration([], random.Random(1))
    counts = [migration.sample_size(10, 0.03) for _ in range(4000)]
    assert set(counts) == {0, 1}
    assert sum(counts) / 4000 == pytest.approx(0.3, abs=0.03)


def test_a_share_of_connections_is_sampled_without_replacement() -> None:
    actions: list[Action] = []
    backend = backend_with(20)
    Migration(actions, random.Random(1)).migrate_share(list(backend.connections.values()), 0.5)
    assert len(actions) in (10, 11) and len(backend.connections) == 20 - len(actions)
