"""A scenario of a scale run: the fleet, its links and loads, and what fails when. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Zone:
    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Link:
    """``least`` and ``most`` delay one way in seconds; the share of datagrams that are lost."""

    least: float
    most: float
    loss: float


@dataclass(frozen=True, slots=True)
class Links:
    in_zone: Link
    in_region: Link
    between_regions: Link


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Client connections of each proxy: new ones a second, and their mean life in seconds."""

    connections_per_s: float
    life: float
    servers_per_proxy: float
    groups_per_server: int


@dataclass(frozen=True, slots=True)
class Kill:
    at: float
    machines: int
    restart_after: float  # 0: never


@dataclass(frozen=True, slots=True)
class StopResume:
    at: float
    members: int
    seconds: float


@dataclass(frozen=True, slots=True)
class RollingReplacement:
    at: float
    members: int
    every: float
    down: float


@dataclass(frozen=True, slots=True)
class RackOutage:
    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class ZoneOutage:
    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class RegionCut:
    at: float
    seconds: float
    conflicting_change: bool


@dataclass(frozen=True, slots=True)
class PublisherLost:
    at: float
    after: float
    restart_after: float  # 0: never


@dataclass(frozen=True, slots=True)
class Burst:
    at: float
    changes: int


Fault = Kill | StopResume | RollingReplacement | RackOutage | ZoneOutage | RegionCut | PublisherLost | Burst


@dataclass(frozen=True, slots=True)
class Phase:
    """``at`` of its faults counts from its begin. A phase without faults is an ordinary one."""

    name: str
    seconds: float
    changes_per_s: float
    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Scenario:
    sizes: tuple[int, ...]
    zones: tuple[Zone, ...]
    links: Links
    members_per_machine: int
    machines_per_rack: int
    control_members: int
    voters: int
    arrivals: Arrivals
    start_over: float
    settle: float
    phases: tuple[Phase, ...]
    sizes_at_once: bool
    configuration_bytes: int  # published before the first phase

    @property
    def seconds(self) -> float:
        """From the first start to the end of the last phase."""
        return self.settle + sum(phase.seconds for phase in self.phases)
