"""The metrics of one run of one fleet size, as typed values."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from saltcourse.emulator.scale.safety import Breach
from saltcourse.emulator.scale.summary import Summary

OVERLOAD_LAG = 0.1  # s; where events are handled later than this, the machine was too small for the run


@dataclass(frozen=True, slots=True)
class CostSummary:
    """Cost over members and time, averaged over windows of ``costs.WINDOW`` seconds."""

    bytes_per_s: Summary  # sent plus received
    cpu_share: Summary  # of a core


@dataclass(frozen=True, slots=True)
class PhaseCost:
    """The worst window of any proxy in one phase."""

    name: str
    bytes_per_s: float  # sent plus received
    cpu_share: float  # of a core


@dataclass(frozen=True, slots=True)
class Propagation:
    """How long it took until the members knew of events, such as changes or failures."""

    seconds: Summary | None  # over each pair of an event and a member that had to learn of it
    missing: int  # pairs in which the member never did
    events: int


@dataclass(frozen=True, slots=True)
class PartitionRecovery:
    """Seconds from the end of a partition until all live members agreed.

    None: they did not agree within ``watched`` seconds.
    """

    members: float | None
    configuration: float | None
    watched: float

    @property
    def both(self) -> float | None:
        """Seconds until they agreed on the members and on the configuration."""
        if self.members is None or self.configuration is None:
            return None
        return max(self.members, self.configuration)


@dataclass(frozen=True, slots=True)
class RealCost:
    """Cost of the real processes in the first ordinary phase: the highest of any.

    The cost of gossip is the difference to the process that runs without it.
    """

    processes: int
    bytes_per_s: float  # the worst window of the ordinary phases
    cpu_share: float  # of a core
    cpu_share_without_gossip: float
    memory_mb: float
    memory_mb_without_gossip: float


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """Everything that a run of one size gave."""

    mechanism: str
    size: int  # hollow proxies
    seed: int
    proxies: CostSummary | None
    control: CostSummary | None  # of the control members
    phases: tuple[PhaseCost, ...]
    memory_mb: float  # of one member: the mean of the worker where it is highest
    change: Propagation
    change_by_phase: Mapping[str, Propagation]
    changes_confirmed: int
    changes_lost: int  # submitted, in force nowhere and not confirmed
    failure: Propagation
    failure_everywhere: (
        Summary | None
    )  # s until the last member knew, over the failures that all came to know
    joining: Propagation  # from a restart to what was the newest version then
    staleness: Propagation  # from the begin of a partition until the minority side reports that it is stale
    false_suspicions: int
    false_deaths: int
    partitions: tuple[PartitionRecovery, ...]
    breaches: tuple[Breach, ...]
    workers_cpu_per_member: float  # of a core, the harness included
    lag_p99: float  # s by which workers handled events late
    lag_max: float
    dropped: int  # datagrams for which the kernel had no room
    real: RealCost | None

    @property
    def overloaded(self) -> bool:
        """Whether the machine was too small for the run."""
        return self.lag_p99 > OVERLOAD_LAG


def slowest_recovery(partitions: Iterable[PartitionRecovery]) -> float | None:
    """The longest recovery in seconds; None if one did not end in agreement, or there was no partition."""
    found = [partition.both for partition in partitions]
    known = [seconds for seconds in found if seconds is not None]
    return max(known) if known and len(known) == len(found) else None
