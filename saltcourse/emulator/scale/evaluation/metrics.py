"""The metrics of one run of one fleet size, as typed values."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from saltcourse.emulator.scale.safety import Breach
from saltcourse.emulator.scale.summary import Summary

OVERLOAD_LAG = 0.1  # seconds of timer lag (p99) above which the machine was too slow for the run


@dataclass(frozen=True, slots=True)
class CostSummary:
    """The cost of members, summarized over all windows of ``costs.WINDOW_SECONDS`` seconds of all members."""

    bytes_per_s: Summary  # sent plus received
    cpu_share: Summary  # fraction of a core


@dataclass(frozen=True, slots=True)
class PhaseCost:
    """The highest window means of any proxy in one phase."""

    name: str
    bytes_per_s: float  # sent plus received
    cpu_share: float  # fraction of a core


@dataclass(frozen=True, slots=True)
class Propagation:
    """The time until the members learned of events such as changes or failures."""

    seconds: Summary | None  # over pairs of an event and a member that learned of it
    missing: int  # pairs of an event and a member that should have learned of it and did not
    events: int


@dataclass(frozen=True, slots=True)
class PartitionRecovery:
    """Seconds from the end of a partition until all live members agreed.

    None means that they did not agree within ``watched`` seconds.
    """

    members: float | None
    configuration: float | None
    watched: float

    @property
    def both(self) -> float | None:
        """Seconds until they agreed on both the members and the configuration; None if they did not."""
        if self.members is None or self.configuration is None:
            return None
        return max(self.members, self.configuration)


@dataclass(frozen=True, slots=True)
class RealCost:
    """The highest cost of any real process.

    CPU and memory are those of the first ordinary phase. The cost of gossip is the difference to the process
    that runs without gossip.
    """

    processes: int
    bytes_per_s: float  # highest window mean in the ordinary phases
    cpu_share: float  # fraction of a core
    cpu_share_without_gossip: float
    memory_mb: float
    memory_mb_without_gossip: float


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """All metrics of a run of one size."""

    mechanism: str
    size: int  # number of simulated proxies
    seed: int
    proxies: CostSummary | None
    control: CostSummary | None  # cost of the control members
    phases: tuple[PhaseCost, ...]
    memory_mb: float  # per member, in the worker with the highest mean
    change: Propagation
    change_by_phase: Mapping[str, Propagation]
    changes_confirmed: int
    changes_lost: int  # submitted, but neither confirmed nor applied by any member
    failure: Propagation
    failure_everywhere: Summary | None  # seconds until the last member learned of a failure that all detected
    joining: Propagation  # from a restart to the version that was the newest at the restart
    staleness: Propagation  # from the start of a partition to the stale reports of the minority side
    false_suspicions: int
    false_deaths: int
    partitions: tuple[PartitionRecovery, ...]
    breaches: tuple[Breach, ...]
    workers_cpu_per_member: float  # fraction of a core, emulator included
    lag_p99: float  # seconds of timer lag in the slowest worker
    lag_max: float  # seconds
    dropped: int  # datagrams that the kernel dropped for lack of buffer space
    real: RealCost | None

    @property
    def overloaded(self) -> bool:
        """Whether the timer lag shows that the machine was too slow for the run."""
        return self.lag_p99 > OVERLOAD_LAG


def slowest_recovery(partitions: Iterable[PartitionRecovery]) -> float | None:
    """Return the longest recovery in seconds, or None if one did not complete or there was no partition."""
    recoveries = [partition.both for partition in partitions]
    completed = [seconds for seconds in recoveries if seconds is not None]
    return max(completed) if completed and len(completed) == len(recoveries) else None
