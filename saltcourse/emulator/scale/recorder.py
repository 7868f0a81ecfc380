"""Records the observations, load and views of a worker's members."""

from __future__ import annotations

import os
import time
from collections.abc import Collection
from pathlib import Path

from saltcourse.emulator.scale.hosted_member import HostedMember
from saltcourse.emulator.scale.records import (
    ConfigurationSeen,
    FreshnessSeen,
    Lifecycle,
    Load,
    RecordWriter,
    StatusSeen,
    View,
    WorkerUsage,
)
from saltcourse.emulator.scale.simulated_member import (
    ConfigurationObserved,
    FreshnessObserved,
    StatusObserved,
)
from saltcourse.emulator.scale.timeline import FaultAction
from saltcourse.emulator.scale.timer_queue import LagSample
from saltcourse.emulator.scale.topology import Topology
from saltcourse.gossip.messages import Status

ALL_MEMBERS = -1  # member index in the records of partitions


class Recorder:
    """Writes the records of one worker, with times in seconds since the start of the run."""

    def __init__(self, path: Path, topology: Topology) -> None:
        self._writer = RecordWriter(path)
        self._index_by_name = {spec.name: spec.index for spec in topology.members}
        self.run_start = 0.0  # start of the run, CLOCK_MONOTONIC

    def close(self) -> None:
        """Flush and close the record file."""
        self._writer.close()

    def record_lifecycle(self, action: FaultAction, member: int = ALL_MEMBERS) -> None:
        """Record an action that was carried out on one member, or on the links of all members."""
        self._writer.write(Lifecycle(self._now(), member, action.value))

    def record_freshness(self, hosted: HostedMember, observation: FreshnessObserved) -> None:
        """Record that the member's configuration became possibly stale or current."""
        self._writer.write(FreshnessSeen(self._now(), hosted.spec.index, observation.stale))

    def record_configuration(self, hosted: HostedMember, observation: ConfigurationObserved) -> None:
        """Record a configuration version that came into force at the member."""
        self._writer.write(
            ConfigurationSeen(
                self._now(),
                hosted.spec.index,
                observation.epoch,
                observation.version,
                observation.digest,
                list(observation.changes),
                list(observation.torn),
            )
        )

    def record_status(self, hosted: HostedMember, observation: StatusObserved) -> None:
        """Record that the member changed its view of another member.

        Only failures and recoveries are recorded; the discovery of members at the start of the run is not.
        """
        other = self._index_by_name.get(observation.name)
        if other is None or hosted.not_alive.get(observation.name, Status.ALIVE) == observation.status:
            return
        if observation.status is Status.ALIVE:
            del hosted.not_alive[observation.name]
        else:
            hosted.not_alive[observation.name] = observation.status
        self._writer.write(StatusSeen(self._now(), hosted.spec.index, other, int(observation.status)))

    def record_loads(self, members: Collection[HostedMember]) -> None:
        """Record the bytes and CPU time of each member since the previous call, and flush the file."""
        at = self._now()
        for hosted in members:
            self._writer.write(Load(at, hosted.spec.index, hosted.sent, hosted.received, hosted.cpu_delta()))
            hosted.sent = hosted.received = 0
        self._writer.flush()

    def record_views(self, members: Collection[HostedMember]) -> None:
        """Record the view of each running member whose view has changed."""
        at = self._now()
        for hosted in members:
            if hosted.process is None or hosted.stopped:
                continue
            view = hosted.process.view()
            if view != hosted.view:
                hosted.view = view
                self._writer.write(View(at, hosted.spec.index, view.count, view.digest))

    def record_usage(
        self, members: int, memory_before: int, cpu: float, lag: LagSample, dropped: int
    ) -> None:
        """Record the worker's resources: memory in bytes, CPU in seconds, datagrams dropped by the kernel."""
        self._writer.write(
            WorkerUsage(
                members=members,
                memory_without_members=memory_before,
                memory_at_end=resident_memory(),
                cpu=cpu,
                lag_p99=lag.p99,
                lag_max=lag.max,
                dropped=dropped,
            )
        )

    def _now(self) -> float:
        return time.monotonic() - self.run_start


def resident_memory() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
