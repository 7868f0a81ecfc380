"""The parts of a worker around one member that only records the datagrams and changes that it gets."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random

from saltcourse.emulator.scale.fault_injection import FaultInjector, MemberFactory
from saltcourse.emulator.scale.hosted_member import HostedMember
from saltcourse.emulator.scale.member_host import MemberHost
from saltcourse.emulator.scale.publications import PublicationHandler, PublicationResults
from saltcourse.emulator.scale.recorder import Recorder
from saltcourse.emulator.scale.scenario import Scenario
from saltcourse.emulator.scale.simulated_member import MembersView, Output, SimulatedMember
from saltcourse.emulator.scale.sockets import LinkEmulator, Sockets
from saltcourse.emulator.scale.timeline import PhaseSpan, Timeline
from saltcourse.emulator.scale.timer_queue import TimerQueue
from saltcourse.emulator.scale.topology import Topology
from saltcourse.emulator.scale.worker_messages import PublishResult, WorkerTask
from saltcourse.gossip.messages import Address

MEMBER = 0


class RecordingMember(SimulatedMember):
    """A member that is always publisher, never confirms a change, and persists its number of processes."""

    def start(self, now: float) -> Output:
        self.received: list[bytes] = []
        self.published: list[int] = []
        self.next_deadline = now + 3_600
        return Output()

    def receive(self, now: float, source: Address, datagram: bytes) -> Output:
        self.received.append(datagram)
        return Output()

    def tick(self, now: float) -> Output:
        return Output()

    def publish(self, now: float, change: int, padding: int) -> Output:
        self.published.append(change)
        return Output()

    def is_publisher(self) -> bool:
        return True

    def view(self) -> MembersView:
        return MembersView(1, 0)

    def stored(self) -> int:
        return (self.context.stored or 0) + 1


class WorkerParts:
    """All parts of a worker except its loop. Datagrams come from member 1 unless a test changes it."""

    def __init__(self, scenario: Scenario, topology: Topology, folder: Path, sockets: Sockets) -> None:
        addresses = tuple(("127.0.0.1", 1_000 + spec.index) for spec in topology.members)
        timeline = Timeline((PhaseSpan("p", 0, 100, True),), (), ())
        self.path = folder / "records"
        task = WorkerTask("", scenario, topology, timeline, (MEMBER,), 1, b"", self.path)
        self.results: list[PublishResult] = []
        self.timers = TimerQueue(Random(1))
        self.hosted = HostedMember(topology.members[MEMBER])
        self.recorder = Recorder(self.path, topology)
        links = LinkEmulator(scenario, topology.members, addresses, Random(1))
        publication_results = PublicationResults(self.results.append)
        members = {MEMBER: self.hosted}
        self.host = MemberHost(sockets, links, self.timers, set(), lambda hosted, observation: None)
        factory = MemberFactory(RecordingMember, task, addresses, Random(1))
        self.faults = FaultInjector(
            members, factory, self.host, self.recorder, publication_results.member_killed
        )
        self.publications = PublicationHandler(
            members, self.host, self.faults, self.timers, publication_results
        )
        self.remote_address = addresses[1]

    @property
    def process(self) -> RecordingMember:
        assert isinstance(self.hosted.process, RecordingMember)
        return self.hosted.process


@contextmanager
def worker_parts(scenario: Scenario, topology: Topology, folder: Path) -> Iterator[WorkerParts]:
    control, other = socket.socketpair()
    sockets = Sockets([MEMBER], control.fileno())
    parts = WorkerParts(scenario, topology, folder, sockets)
    try:
        yield parts
    finally:
        parts.recorder.close()
        sockets.close()
        control.close()
        other.close()
