"""Fault injection: kills, stops and restarts of a hosted member, and partitions."""

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


def receive_datagram(parts: WorkerParts, datagram: bytes) -> None:
    parts.host.datagram_arrived(parts.hosted, parts.remote_address, datagram)


def recorded_actions(parts: WorkerParts) -> list[str]:
    parts.recorder.record_loads([])  # flushes the record file
    return [record.action for record in read_records([parts.path]) if isinstance(record, Lifecycle)]


def test_a_restarted_member_keeps_only_its_persisted_state(parts: WorkerParts) -> None:
    """A member is killed and restarted. The new process has the persisted state of the old one, but no
    datagrams that arrived while the member was down.
    """
    parts.faults.apply(parts.hosted, FaultAction.START)
    old = parts.process
    parts.faults.apply(parts.hosted, FaultAction.KILL)
    receive_datagram(parts, b"lost")
    parts.timers.run_expired()
    parts.faults.apply(parts.hosted, FaultAction.START)
    assert parts.process is not old
    assert parts.process.context.stored == 1 and parts.process.received == []
    assert recorded_actions(parts) == ["start", "kill", "start"]


def test_a_stopped_member_gets_its_queued_datagrams_on_resume(parts: WorkerParts) -> None:
    """A process is stopped, as by SIGSTOP, while datagrams are in flight. It gets no event until it resumes,
    and then all datagrams in the order of their arrival.
    """
    parts.faults.apply(parts.hosted, FaultAction.START)
    receive_datagram(parts, b"first")
    receive_datagram(parts, b"second")
    parts.faults.apply(parts.hosted, FaultAction.STOP)
    parts.timers.run_expired()
    assert parts.process.received == []
    parts.faults.apply(parts.hosted, FaultAction.RESUME)
    assert parts.process.received == [b"first", b"second"]


def test_a_member_killed_while_stopped_loses_its_queued_datagrams(parts: WorkerParts) -> None:
    """A stopped process is killed before its scheduled resume. Its queued datagrams are lost, and the resume
    has no effect on the next process. That process must not get them after a stop and resume either.
    """
    parts.faults.apply(parts.hosted, FaultAction.START)
    receive_datagram(parts, b"waiting")
    parts.faults.apply(parts.hosted, FaultAction.STOP)
    parts.timers.run_expired()
    parts.faults.apply(parts.hosted, FaultAction.KILL)
    parts.faults.apply(parts.hosted, FaultAction.START)
    parts.faults.apply(parts.hosted, FaultAction.RESUME)
    assert recorded_actions(parts) == ["start", "stop", "kill", "start"]
    parts.faults.apply(parts.hosted, FaultAction.STOP)
    parts.faults.apply(parts.hosted, FaultAction.RESUME)
    assert parts.process.received == []


def test_a_partition_drops_datagrams_in_flight(parts: WorkerParts, topology: Topology) -> None:
    """A partition begins while a datagram from the other region is being delayed. The datagram is lost;
    datagrams that arrive after the partition are delivered.
    """
    parts.faults.apply(parts.hosted, FaultAction.START)
    parts.remote_address = next(
        ("127.0.0.1", 1_000 + spec.index) for spec in topology.members if spec.region == "east"
    )
    receive_datagram(parts, b"lost")
    parts.faults.execute(Command(0.0, FaultAction.PARTITION))
    parts.timers.run_expired()
    parts.faults.execute(Command(0.0, FaultAction.HEAL))
    receive_datagram(parts, b"delivered")
    parts.timers.run_expired()
    assert parts.process.received == [b"delivered"]
    assert recorded_actions(parts) == ["start", "cut", "heal"]


def test_a_command_for_members_of_other_workers_is_ignored(parts: WorkerParts) -> None:
    parts.faults.execute(Command(0.0, FaultAction.START, (MEMBER + 1,)))
    assert parts.hosted.process is None and recorded_actions(parts) == []


def test_a_repeated_fault_action_is_ignored(parts: WorkerParts) -> None:
    """Two faults of a scenario affect the same member. A second start, stop or kill has no effect and is not
    recorded.
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
    assert recorded_actions(parts) == ["start", "stop", "kill"]
