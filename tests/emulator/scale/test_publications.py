"""Publication of the operator's changes at a hosted member."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from saltcourse.emulator.scale.publications import PublicationResults
from saltcourse.emulator.scale.scenario import Scenario
from saltcourse.emulator.scale.simulated_member import PublicationConfirmed
from saltcourse.emulator.scale.timeline import FaultAction
from saltcourse.emulator.scale.topology import Topology
from saltcourse.emulator.scale.worker_messages import DOWN, Publish, PublishResult
from tests.emulator.scale.worker_parts import MEMBER, WorkerParts, worker_parts


@pytest.fixture
def parts(scenario: Scenario, topology: Topology, tmp_path: Path) -> Iterator[WorkerParts]:
    with worker_parts(scenario, topology, tmp_path) as found:
        yield found


@pytest.mark.parametrize(
    "actions", [(), (FaultAction.START, FaultAction.STOP), (FaultAction.START, FaultAction.KILL)]
)
def test_a_member_that_does_not_run_rejects_a_change(
    parts: WorkerParts, actions: tuple[FaultAction, ...]
) -> None:
    """A change is submitted to a voter that is down or stopped. The operator must get a result at once, so
    that it can try another voter.
    """
    for action in actions:
        parts.faults.apply(parts.hosted, action)
    parts.publications.publish(Publish(7, MEMBER))
    assert parts.results == [PublishResult(7, MEMBER, DOWN)]


def test_a_kill_fails_the_pending_publications(parts: WorkerParts) -> None:
    """A member is killed while a change is pending. The operator gets one failure for that change, as for a
    broken connection, and none for a change that was already confirmed.
    """
    parts.faults.apply(parts.hosted, FaultAction.START)
    parts.publications.publish(Publish(1, MEMBER))
    parts.publications.publish(Publish(2, MEMBER))
    PublicationResults(parts.results.append).confirmed(parts.hosted, PublicationConfirmed(1, 4, 9))
    parts.faults.apply(parts.hosted, FaultAction.KILL)
    assert parts.results == [PublishResult(1, MEMBER, "", 4, 9), PublishResult(2, MEMBER, DOWN)]


def test_a_publisher_is_killed_after_it_received_the_change(parts: WorkerParts) -> None:
    """A scenario kills the publisher just after a change was submitted. The process gets the change first, is
    then killed, and a new process is started.
    """
    parts.faults.apply(parts.hosted, FaultAction.START)
    old = parts.process
    parts.publications.publish(Publish(3, MEMBER, kill_after=1e-6, restart_after=1e-6))
    assert old.published == [3] and parts.hosted.process is old
    while parts.timers.next_expiry(time.monotonic() + 60) < time.monotonic() + 1:
        parts.timers.run_expired()
    assert parts.process is not old
    assert parts.results == [PublishResult(3, MEMBER, DOWN)]
