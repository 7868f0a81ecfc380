"""Joining after a restart, staleness reports and agreement after a partition."""

from __future__ import annotations

import pytest

from saltcourse.emulator.scale.evaluation.metrics import slowest_recovery
from saltcourse.emulator.scale.evaluation.recovery import expected_view
from saltcourse.emulator.scale.records import (
    ChangeSubmitted,
    ConfigurationSeen,
    FreshnessSeen,
    Lifecycle,
    Record,
    View,
)
from saltcourse.emulator.scale.topology import Topology
from tests.emulator.scale.cases import change_seen, configuration_seen, metrics_of


def test_a_restarted_member_has_joined_at_the_version_newest_at_its_start(
    topology: Topology,
) -> None:
    """A member is killed and restarted. It has joined once it has the version that was the newest at its
    start; if it never has that version, it counts as missing.
    """
    away = [Lifecycle(22.0, 9, "kill"), Lifecycle(30.0, 9, "start")]
    before = [ChangeSubmitted(20.0, 0, 0, "change"), *change_seen(topology, 20.0, 0)]
    assert metrics_of(topology, *before, *away).joining.missing == 1
    joined = metrics_of(topology, *before, *away, configuration_seen(33.0, 9, 1, 1)).joining
    assert joined.seconds is not None and joined.seconds.max == pytest.approx(3.0)
    assert (joined.events, joined.missing) == (1, 0)


def test_the_minority_of_a_partition_must_report_that_it_is_stale(topology: Topology) -> None:
    """A partition separates one region from the majority of the voters. Its members must report within 20 s
    that they may be stale; a member with a later report counts as missing.
    """
    cut = [Lifecycle(30.0, -1, "cut"), Lifecycle(60.0, -1, "heal")]
    east = [spec.index for spec in topology.members if spec.region == "east"]
    reports: list[Record] = [FreshnessSeen(41.0 + index / 10, index, True) for index in east]
    found = metrics_of(topology, *cut, *reports).staleness
    assert found.seconds is not None and found.seconds.max == pytest.approx(11.0 + max(east) / 10)
    assert found.missing == 0
    assert metrics_of(topology, *cut, *reports[:-1]).staleness.missing == 1
    late = FreshnessSeen(55.0, east[-1], True)
    assert metrics_of(topology, *cut, *reports[:-1], late).staleness.missing == 1


def test_agreement_after_a_partition_needs_all_views_and_versions(topology: Topology) -> None:
    """A partition heals. The members agree once all views are correct and all members have the newest
    version. A single missing version or wrong view means that they did not agree.
    """
    count, digest = expected_view(topology.members)
    cut: list[Record] = [Lifecycle(30.0, -1, "cut"), Lifecycle(40.0, -1, "heal")]
    views: list[Record] = [View(1.0, spec.index, count, digest) for spec in topology.members]
    views += [View(32.0, 0, 7, 123), View(44.0, 0, count, digest)]
    versions = [
        *change_seen(topology, 35.0, 0, without=(9,)),
        ConfigurationSeen(42.0, 9, 1, 1, 5, [0], []),
    ]
    submitted = ChangeSubmitted(35.0, 0, 0, "change")
    found = metrics_of(topology, *cut, *views, *versions, submitted).partitions
    assert [(agreement.members, agreement.configuration) for agreement in found] == [(4.0, 2.0)]
    assert slowest_recovery(found) == 4.0
    assert slowest_recovery(metrics_of(topology, *cut, *views, *versions[:-1], submitted).partitions) is None
    wrong_view = View(50.0, 3, count, digest ^ 1)  # correct count, wrong members
    assert (
        slowest_recovery(metrics_of(topology, *cut, *views[:-1], wrong_view, *versions, submitted).partitions)
        is None
    )
