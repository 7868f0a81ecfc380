"""The drain schedule: migrations spread over the time of the drain, all of them by its end."""

from __future__ import annotations

from saltcourse.balancing.drain_schedule import DrainSchedule


def test_migrations_are_spread_evenly_and_all_are_done_by_the_end() -> None:
    schedule, established, migrated = DrainSchedule(1.0, 3.0), 40, []
    assert schedule.connections_to_migrate(0.9, established, 0.25) == 0  # nothing before it begins
    for check in range(9):
        due = schedule.connections_to_migrate(1.0 + 0.25 * check, established, 0.25)
        established, migrated = established - due, migrated + [due]
    assert established == 0
    assert max(migrated) <= 6 and migrated.count(0) <= 1  # about 40/8 a check, none all at once


def test_a_schedule_without_time_migrates_at_once() -> None:
    assert DrainSchedule(0.0, 0.0).connections_to_migrate(0.0, 12, 0.25) == 12
