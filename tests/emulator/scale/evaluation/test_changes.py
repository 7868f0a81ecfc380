"""Propagation of changes, and lost changes."""

from __future__ import annotations

import pytest

from saltcourse.emulator.scale.evaluation.evaluate import evaluate
from saltcourse.emulator.scale.mechanisms import GOSSIP
from saltcourse.emulator.scale.records import ChangeSubmitted, Lifecycle
from saltcourse.emulator.scale.topology import Topology
from tests.emulator.scale.cases import STARTS, TIMELINE, change_seen, metrics_of


def test_a_change_is_timed_from_its_first_submission_to_each_member(topology: Topology) -> None:
    submitted = [ChangeSubmitted(1.0, 0, 0, "change"), ChangeSubmitted(1.5, 0, 1, "change")]
    metrics = metrics_of(topology, *submitted, *change_seen(topology, 2.0, 0))
    assert metrics.change.seconds is not None
    assert metrics.change.seconds.max == pytest.approx(1.9)
    assert metrics.change.seconds.count == 10 and metrics.change.missing == 0
    assert metrics.change_by_phase["ordinary"].events == 1 and metrics.change_by_phase["cut"].events == 0


def test_a_member_without_a_change_counts_as_missing_only_if_it_ran(topology: Topology) -> None:
    """One member never gets a change. It counts as missing if it ran undisturbed, but not if it was killed,
    stopped or not yet started during the propagation.
    """
    records = [ChangeSubmitted(1.0, 0, 0, "change"), *change_seen(topology, 2.0, 0, without=(9,))]
    assert metrics_of(topology, *records).change.missing == 1
    assert metrics_of(topology, *records, Lifecycle(1.5, 9, "kill")).change.missing == 0
    assert (
        metrics_of(topology, *records, Lifecycle(0.5, 9, "stop"), Lifecycle(4.0, 9, "resume")).change.missing
        == 0
    )
    late_start = [record for record in STARTS if record != STARTS[9]] + [Lifecycle(3.0, 9, "start")]
    assert evaluate(GOSSIP, 1, topology, TIMELINE, [*late_start, *records]).change.missing == 0


def test_a_change_that_no_member_applied_is_lost_unless_it_was_a_conflict(topology: Topology) -> None:
    """A submitted change that no member applied and no voter confirmed is lost. A conflicting change, which
    the minority side of a partition has to reject, does not count as lost.
    """
    assert metrics_of(topology, ChangeSubmitted(1.0, 0, 0, "change")).changes_lost == 1
    assert metrics_of(topology, ChangeSubmitted(1.0, 0, 0, "conflict")).changes_lost == 0
