"""Random schedules of faults for the dissemination, and configurations that are broken on purpose.

The story: members crash, stand still, join late and are cut off, while datagrams are lost, doubled and
reordered. No member may ever hold a configuration that was not committed, or go back; broken rules must be
found by the same schedules.
"""

from __future__ import annotations

import pytest

from saltcourse.gossip.configuration import (
    ApplyOutcome,
    FleetConfiguration,
)
from saltcourse.gossip.messages import (
    Change,
    Position,
)
from tests.gossip.dissemination_fleet import Violation
from tests.gossip.dissemination_schedule import Schedule

SCHEDULES = 12


class GapTwin(FleetConfiguration):
    """Broken: applies a change also where the one before it is missing."""

    def check(self, change: Change) -> ApplyOutcome:
        outcome = super().check(change)
        return ApplyOutcome.APPLIED if outcome is ApplyOutcome.GAP else outcome


class OlderTwin(FleetConfiguration):
    """Broken: applies a change of an earlier position over a later one."""

    def check(self, change: Change) -> ApplyOutcome:
        older = change.position.version < self.position.version
        return ApplyOutcome.APPLIED if older else super().check(change)


def test_no_schedule_of_faults_breaks_a_rule() -> None:
    versions = 0
    snapshots = 0
    for seed in range(SCHEDULES):
        fleet = Schedule(seed, FleetConfiguration).play()
        versions += fleet.position.version
        snapshots += sum(member.dissemination.metrics().get("snapshot_applied", 0) for member in fleet.live())
    assert versions > SCHEDULES * 50 and snapshots > SCHEDULES  # they did something


@pytest.mark.parametrize("broken", [GapTwin, OlderTwin])
def test_schedules_find_a_broken_configuration(broken: type[FleetConfiguration]) -> None:
    with pytest.raises(Violation, match="another configuration|went from"):
        for seed in range(SCHEDULES):
            Schedule(seed, broken).play()


def test_one_seed_replays_everything() -> None:
    def trace() -> list[tuple[str, Position, int, int]]:
        fleet = Schedule(2, FleetConfiguration).play()
        return [
            (member.record.name, member.last_applied, member.sent_bytes, member.received_bytes)
            for member in fleet.live()
        ]

    assert trace() == trace()
