"""Carries out the commands of a run's timeline on the members of one worker."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from random import Random

from saltcourse.emulator.scale.hollow import HollowMember, MemberContext
from saltcourse.emulator.scale.hosted_member import HostedMember
from saltcourse.emulator.scale.member_host import MemberHost
from saltcourse.emulator.scale.recorder import Recorder
from saltcourse.emulator.scale.timeline import Act, Command
from saltcourse.emulator.scale.worker_messages import WorkerTask
from saltcourse.gossip.messages import Address


class MemberFactory:
    """Creates a new process of a member."""

    def __init__(
        self,
        member_class: type[HollowMember],
        task: WorkerTask,
        addresses: tuple[Address, ...],
        random: Random,
    ) -> None:
        self._member_class = member_class
        self._task = task
        self._addresses = addresses
        self._random = random

    def create(self, hosted: HostedMember) -> HollowMember:
        """A process with a new incarnation, and with what the member has stored."""
        task = self._task
        return self._member_class(
            MemberContext(
                place=hosted.place,
                topology=task.topology,
                addresses=self._addresses,
                arrivals=task.scenario.arrivals,
                key=task.key,
                process=self._random.getrandbits(32),
                random=Random(f"member {task.seed} {hosted.place.index} {self._random.random()}"),
                stored=hosted.stored,
            )
        )


class FaultInjector:
    """Starts, kills, stops and resumes members, and separates regions.

    ``on_killed`` is called after a member's process has ended.
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
        """Applies the command to those of its members that this worker hosts."""
        if command.act in (Act.PARTITION, Act.HEAL):
            self._host.set_partition(command.act is Act.PARTITION)
            self._recorder.lifecycle(command.act)
            return
        for index in command.members:
            if index in self._members:
                self.apply(self._members[index], command.act)

    def apply(self, hosted: HostedMember, act: Act) -> None:
        """Does nothing where an earlier fault has left no room for this one."""
        match act:
            case Act.START if hosted.core is None:
                self._start(hosted)
            case Act.KILL if hosted.core is not None:
                self._kill(hosted, hosted.core)
            case Act.STOP if hosted.core is not None and not hosted.stopped:
                self._recorder.lifecycle(act, hosted.place.index)
                self._host.pause(hosted)
            case Act.RESUME if hosted.stopped:
                self._recorder.lifecycle(act, hosted.place.index)
                self._host.unpause(hosted)
                self._host.deliver_waiting(hosted)
            case _:
                pass

    def _start(self, hosted: HostedMember) -> None:
        self._recorder.lifecycle(Act.START, hosted.place.index)
        hosted.view = None
        hosted.not_alive = {}
        core = self._factory.create(hosted)
        hosted.core = core
        self._host.execute(hosted, core.start(time.monotonic()))

    def _kill(self, hosted: HostedMember, core: HollowMember) -> None:
        self._recorder.lifecycle(Act.KILL, hosted.place.index)
        if hosted.stopped:
            self._host.unpause(hosted)
        hosted.cpu += core.cpu
        hosted.stored = core.stored()
        hosted.core = None
        hosted.waiting = []
        self._on_killed(hosted)
