"""Reconstruction of partitions from recorded actions."""

from __future__ import annotations

from saltcourse.emulator.scale.history import History
from saltcourse.emulator.scale.records import Lifecycle
from saltcourse.emulator.scale.topology import Topology
from tests.emulator.scale.cases import STARTS


def test_history_shows_which_members_a_partition_separated(topology: Topology) -> None:
    """A partition of one second separates the region east, which has no majority of the voters."""
    history = History(topology, [*STARTS, Lifecycle(5, -1, "cut"), Lifecycle(6, -1, "heal")])  # type: ignore[list-item]
    east = next(spec.index for spec in topology.members if spec.region == "east")
    assert (
        history.in_minority(east, 0, 10)
        and not history.in_minority(east, 7, 10)
        and not history.in_minority(0, 0, 10)
    )
    assert history.partitioned_between(0, east, 5.5, 5.6) and not history.partitioned_between(0, 1, 5.5, 5.6)
