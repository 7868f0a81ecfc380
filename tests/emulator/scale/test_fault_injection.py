"""Faults of a hosted member: kills, stops and partitions."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest

from saltcourse.emulator.scale.records import Lifecycle, read_records
from saltcourse.emulator.scale.scenario import Link, Links, Scenario
from saltcourse.emulator.scale.timeline import Command, FaultAction
from saltcourse.emulator.scale.topology import Topology
from tests.emulator.scale.worker_parts import MEMBER, WorkerParts, worker_parts

INSTANT = Link(0.0, 0.0, 0.0)


@pytest.fixture
def parts(scenario: Scenario, topology: Topology, tmp_path: Path) -> Iterator[WorkerParts]:
    without_faults = replace(scenario, links=Links(INSTANT, INSTANT, INSTANT))
    with worker_parts(without_faults, topology, tmp_path) as found:
        yield found


def arrive(parts: WorkerParts, datagram: bytes) -> None:
    parts.host.datagram_arrived(parts.hosted, parts.remote_address, datagram)


def actions(parts: WorkerParts) -> list[str]:
    parts.recorder.loads([])  # flushes
    return [record.action for record in read_records([parts.path]) if isinstance(record, Lifecycle)]


def test_a_restarted_member_has_its_disk_and_nothing_else(parts: WorkerParts) -> None:
    """A member is killed and started again. The new process has what the old one stored, and none of the
    datagrams that arrived meanwhile.
    """
    parts.faults.apply(parts.hosted, FaultAction.START)
    old = parts.process
    parts.faults.apply(parts.hosted, FaultAction.KILL)
    arrive(parts, b"lost")
    parts.timers.run_expired()
    parts.faults.apply(parts.hosted, FaultAction.START)
    assert parts.process is not old
    assert parts.process.context.stored == 1 and parts.process.received == []
    assert actions(parts) == ["start", "kill", "start"]


def test_a_stopped_member_gets_its_datagrams_when_it_resumes(parts: WorkerParts) -> None:
    """A process is stopped, as by SIGSTOP, while a datagram is on its way. It gets no event before it
    resumes, and then all datagrams in the order of their arrival.
    """
    parts.faults.apply(parts.hosted, FaultAction.START)
    arrive(parts, b"first")
    arrive(parts, b"second")
    parts.faults.apply(parts.hosted, FaultAction.STOP)
    parts.timers.run_expired()
    assert parts.process.received == []
    parts.faults.apply(parts.hosted, FaultAction.RESUME)
    assert parts.process.received == [b"first", b"second"]


def test_a_member_that_is_killed_while_stopped_loses_what_waited(parts: WorkerParts) -> None:
    """A stopped process is killed before it resumes. Its datagrams are gone, and the resume that was planned
    does nothing to the next process, which gets none of them after a stop of its own either.
    """
    parts.faults.apply(parts.hosted, FaultAction.START)
    arrive(parts, b"waiting")
    parts.faults.apply(parts.hosted, FaultAction.STOP)
    parts.timers.run_expired()
    parts.faults.apply(parts.hosted, FaultAction.KILL)
    parts.faults.apply(parts.hosted, FaultAction.START)
    parts.faults.apply(parts.hosted, FaultAction.RESUME)
    assert actions(parts) == ["start", "stop", "kill", "start"]
    parts.faults.apply(parts.hosted, FaultAction.STOP)
    parts.faults.apply(parts.hosted, FaultAction.RESUME)
    assert parts.process.received == []


def test_a_partition_loses_what_is_on_its_way(parts: WorkerParts, topology: Topology) -> None:
    """A partition begins after a datagram of the other region arrived at the host and before its delay has
    passed. The datagram is lost, and later ones come through again after the partition.
    """
    parts.faults.apply(parts.hosted, FaultAction.START)
    parts.remote_address = next(
        ("127.0.0.1", 1_000 + spec.index) for spec in topology.members if spec.region == "east"
    )
    arrive(parts, b"lost")
    parts.faults.execute(Command(0.0, FaultAction.PARTITION))
    parts.timers.run_expired()
    parts.faults.execute(Command(0.0, FaultAction.HEAL))
    arrive(parts, b"delivered")
    parts.timers.run_expired()
    assert parts.process.received == [b"delivered"]
    assert actions(parts) == ["start", "cut", "heal"]


def test_a_command_for_members_of_other_workers_does_nothing_here(parts: WorkerParts) -> None:
    parts.faults.execute(Command(0.0, FaultAction.START, (MEMBER + 1,)))
    assert parts.hosted.process is None and actions(parts) == []


def test_each_fault_is_carried_out_once(parts: WorkerParts) -> None:
    """Two faults of a scenario hit the same member. The second kill, stop or start finds it as the first one
    left it and does nothing.
    """
    for action in (
        FaultAction.KILL,
        FaultAction.START,
        FaultAction.START,
        FaultAction.STOP,
        FaultAction.STOP,
        FaultAction.KILL,
        FaultAction.KILL,
    ):
        parts.faults.apply(parts.hosted, action)
    assert actions(parts) == ["start", "stop", "kill"]
