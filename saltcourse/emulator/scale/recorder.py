"""Writes down what the members of a worker observe and spend."""

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

EVERYONE = -1  # the member of a partition's records


class Recorder:
    """Records of one worker, stamped with seconds since the begin of the run."""

    def __init__(self, path: Path, topology: Topology) -> None:
        self._writer = RecordWriter(path)
        self._index_by_name = {spec.name: spec.index for spec in topology.members}
        self.begin = 0.0  # CLOCK_MONOTONIC of the run's begin

    def close(self) -> None:
        """Closes the file of records."""
        self._writer.close()

    def lifecycle(self, action: FaultAction, member: int = EVERYONE) -> None:
        """An action that was carried out on one member, or on the links of all."""
        self._writer.write(Lifecycle(self._now(), member, action.value))

    def freshness(self, hosted: HostedMember, seen: FreshnessObserved) -> None:
        """The member knows that it may be stale, or no longer is."""
        self._writer.write(FreshnessSeen(self._now(), hosted.spec.index, seen.stale))

    def configuration(self, hosted: HostedMember, seen: ConfigurationObserved) -> None:
        """A version came into force at the member."""
        self._writer.write(
            ConfigurationSeen(
                self._now(),
                hosted.spec.index,
                seen.epoch,
                seen.version,
                seen.digest,
                list(seen.changes),
                list(seen.torn),
            )
        )

    def status(self, hosted: HostedMember, seen: StatusObserved) -> None:
        """The member changed its view of another one.

        Only faults and the end of faults are recorded, not that members learn of each other at the start.
        """
        other = self._index_by_name.get(seen.name)
        if other is None or hosted.not_alive.get(seen.name, Status.ALIVE) == seen.status:
            return
        if seen.status is Status.ALIVE:
            del hosted.not_alive[seen.name]
        else:
            hosted.not_alive[seen.name] = seen.status
        self._writer.write(StatusSeen(self._now(), hosted.spec.index, other, int(seen.status)))

    def loads(self, members: Collection[HostedMember]) -> None:
        """What each member sent, received and computed since the last call."""
        at = self._now()
        for hosted in members:
            self._writer.write(Load(at, hosted.spec.index, hosted.sent, hosted.received, hosted.cpu_delta()))
            hosted.sent = hosted.received = 0
        self._writer.flush()

    def views(self, members: Collection[HostedMember]) -> None:
        """Which members each running one considers alive, where that has changed."""
        at = self._now()
        for hosted in members:
            if hosted.process is None or hosted.stopped:
                continue
            view = hosted.process.view()
            if view != hosted.view:
                hosted.view = view
                self._writer.write(View(at, hosted.spec.index, view.count, view.digest))

    def usage(self, members: int, memory_before: int, cpu: float, lag: LagSample, dropped: int) -> None:
        """Resources of the process: bytes of memory, seconds of CPU, datagrams that the kernel dropped."""
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
        return time.monotonic() - self.begin


def resident_memory() -> int:
    """Bytes of this process, as the kernel counts them."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
