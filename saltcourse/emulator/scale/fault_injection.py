"""Executes the fault commands of a run's timeline on the members of one worker."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from random import Random

from saltcourse.emulator.scale.hosted_member import HostedMember
from saltcourse.emulator.scale.member_host import MemberHost
from saltcourse.emulator.scale.recorder import Recorder
from saltcourse.emulator.scale.simulated_member import MemberContext, SimulatedMember
from saltcourse.emulator.scale.timeline import Command, FaultAction
from saltcourse.emulator.scale.worker_messages import WorkerTask
from saltcourse.gossip.messages import Address


class MemberFactory:
    """Creates the processes of simulated members."""

    def __init__(
        self,
        member_class: type[SimulatedMember],
        task: WorkerTask,
        addresses: tuple[Address, ...],
        random: Random,
    ) -> None:
        self._member_class = member_class
        self._task = task
        self._addresses = addresses
        self._random = random

    def create(self, hosted: HostedMember) -> SimulatedMember:
        """Create a process with a new process id and the member's persisted state."""
        task = self._task
        return self._member_class(
            MemberContext(
                spec=hosted.spec,
                topology=task.topology,
                addresses=self._addresses,
                arrivals=task.scenario.arrivals,
                key=task.key,
                process_id=self._random.getrandbits(32),
                random=Random(f"member {task.seed} {hosted.spec.index} {self._random.random()}"),
                stored=hosted.stored,
            )
        )


class FaultInjector:
    """Starts, kills, stops and resumes members, and begins and ends network partitions.

    ``on_killed`` is called after a member was killed.
    """

    def __init__(
        self,
        members: Mapping[int, HostedMember],
        factory: MemberFactory,
        host: MemberHost,
        recorder: Recorder,
        on_killed: Callable[[HostedMember], None],
    ) -> None:
        self._members = members
        self._factory = factory
        self._host = host
        self._recorder = recorder
        self._on_killed = on_killed

    def execute(self, command: Command) -> None:
        """Apply the command to its members that this worker hosts, or to the links."""
        if command.action in (FaultAction.PARTITION, FaultAction.HEAL):
            self._host.set_partition(command.action is FaultAction.PARTITION)
            self._recorder.record_lifecycle(command.action)
            return
        for index in command.members:
            if index in self._members:
                self.apply(self._members[index], command.action)

    def apply(self, hosted: HostedMember, action: FaultAction) -> None:
        """Apply the action, or ignore it if the member's state does not allow it (e.g. a second kill)."""
        match action:
            case FaultAction.START if hosted.process is None:
                self._start(hosted)
            case FaultAction.KILL if hosted.process is not None:
                self._kill(hosted, hosted.process)
            case FaultAction.STOP if hosted.process is not None and not hosted.stopped:
                self._recorder.record_lifecycle(action, hosted.spec.index)
                self._host.pause(hosted)
            case FaultAction.RESUME if hosted.stopped:
                self._recorder.record_lifecycle(action, hosted.spec.index)
                self._host.unpause(hosted)
                self._host.deliver_queued(hosted)
            case _:
                pass

    def _start(self, hosted: HostedMember) -> None:
        self._recorder.record_lifecycle(FaultAction.START, hosted.spec.index)
        hosted.view = None
        hosted.not_alive = {}
        process = self._factory.create(hosted)
        hosted.process = process
        self._host.handle_output(hosted, process.start(time.monotonic()))

    def _kill(self, hosted: HostedMember, process: SimulatedMember) -> None:
        self._recorder.record_lifecycle(FaultAction.KILL, hosted.spec.index)
        if hosted.stopped:
            self._host.unpause(hosted)
        hosted.cpu += process.cpu
        hosted.stored = process.stored()
        hosted.process = None
        hosted.queued = []
        self._on_killed(hosted)
