"""Random schedules of faults for dissemination, also with deliberately broken configurations.

Members crash, stall, join late and are cut off, while datagrams are lost, duplicated and reordered. No member
may ever have a configuration that was not committed, or return to an earlier one. The same schedules must
detect configurations that violate these rules.
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


class AppliesChangeAfterGap(FleetConfiguration):
    """Applies a change even if the change before it is missing."""

    def outcome_of(self, change: Change) -> ApplyOutcome:
        outcome = super().outcome_of(change)
        return ApplyOutcome.APPLIED if outcome is ApplyOutcome.GAP else outcome


class AppliesOlderChange(FleetConfiguration):
    """Applies a change of an earlier version over a later one."""

    def outcome_of(self, change: Change) -> ApplyOutcome:
        is_older = change.position.version < self.position.version
        return ApplyOutcome.APPLIED if is_older else super().outcome_of(change)


def test_schedules_of_faults_violate_no_rule() -> None:
    versions = 0
    snapshots = 0
    for seed in range(SCHEDULES):
        fleet = Schedule(seed, FleetConfiguration).play()
        versions += fleet.position.version
        snapshots += sum(member.dissemination.metrics().get("snapshot_applied", 0) for member in fleet.live())
    assert versions > SCHEDULES * 50 and snapshots > SCHEDULES  # the schedules had an effect


@pytest.mark.parametrize("broken_variant", [AppliesChangeAfterGap, AppliesOlderChange])
def test_schedules_detect_a_broken_configuration(broken_variant: type[FleetConfiguration]) -> None:
    with pytest.raises(Violation, match="a wrong configuration|moved from"):
        for seed in range(SCHEDULES):
            Schedule(seed, broken_variant).play()


def test_a_seed_determines_the_whole_schedule() -> None:
    def trace() -> list[tuple[str, Position, int, int]]:
        fleet = Schedule(2, FleetConfiguration).play()
        return [
            (member.record.name, member.last_applied, member.sent_bytes, member.received_bytes)
            for member in fleet.live()
        ]

    assert trace() == trace()
