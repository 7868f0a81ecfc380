"""The drain plan: moves spread over the time that the rules leave, all of them by its end."""

from __future__ import annotations

from saltcourse.balancing.drain_schedule import DrainPlan


def test_moves_are_spread_evenly_and_all_are_done_by_the_end() -> None:
    plan, standing, moved = DrainPlan(1.0, 3.0), 40, []
    assert plan.due(0.9, standing, 0.25) == 0  # nothing before it begins
    for look in range(9):
        due = plan.due(1.0 + 0.25 * look, standing, 0.25)
        standing, moved = standing - due, moved + [due]
    assert standing == 0 and max(moved) <= 6 and moved.count(0) <= 1  # about 40/8 a look, none all at once
    assert DrainPlan(0.0, 0.0).due(0.0, 12, 0.25) == 12  # a plan without room is a move at once
