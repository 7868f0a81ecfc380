"""Tests of the drain schedule: migrations are spread over the drain and complete at its end."""

from __future__ import annotations

from saltcourse.balancing.drain_schedule import DrainSchedule


def test_migrations_are_spread_evenly_and_all_are_done_by_the_end() -> None:
    schedule, established, migrated = DrainSchedule(1.0, 3.0), 40, []
    assert schedule.connections_to_migrate(0.9, established, 0.25) == 0  # No migrations before the begin.
    for check in range(9):
        count = schedule.connections_to_migrate(1.0 + 0.25 * check, established, 0.25)
        established, migrated = established - count, migrated + [count]
    assert established == 0
    assert max(migrated) <= 6 and migrated.count(0) <= 1  # About 40 / 8 per check.


def test_a_schedule_of_zero_length_migrates_all_connections_immediately() -> None:
    assert DrainSchedule(0.0, 0.0).connections_to_migrate(0.0, 12, 0.25) == 12
