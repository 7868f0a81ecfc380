"""A scenario of a scale run: the fleet, its links and loads, and what fails when. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Zone:
    """A zone and the region that it is part of."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Link:
    """Bounds of the one-way delay in seconds, and the share of datagrams that are lost."""

    min_delay: float
    max_delay: float
    loss: float


@dataclass(frozen=True, slots=True)
class Links:
    """The links of members by the distance between them."""

    in_zone: Link
    in_region: Link
    between_regions: Link


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Client connections of each proxy: new ones a second, and their mean lifetime in seconds."""

    connections_per_s: float
    mean_lifetime: float
    servers_per_proxy: float
    groups_per_server: int


@dataclass(frozen=True, slots=True)
class Kill:
    """Machines drawn at random lose all their proxies."""

    at: float
    machines: int
    restart_after: float  # 0: never


@dataclass(frozen=True, slots=True)
class StopResume:
    """Proxies drawn at random stop, as by SIGSTOP, for ``seconds``."""

    at: float
    members: int
    seconds: float


@dataclass(frozen=True, slots=True)
class RollingReplacement:
    """Proxies are restarted one ``every`` seconds, each ``down`` for a while."""

    at: float
    members: int
    every: float
    down: float


@dataclass(frozen=True, slots=True)
class RackOutage:
    """All proxies of one rack are down for ``seconds``."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class ZoneOutage:
    """All members of one zone are down for ``seconds``."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class RegionPartition:
    """The first region and the others cannot reach each other for ``seconds``."""

    at: float
    seconds: float
    conflicting_change: bool


@dataclass(frozen=True, slots=True)
class PublisherLost:
    """The publisher is killed ``after`` seconds from the submission of a change."""

    at: float
    after: float
    restart_after: float  # 0: never


@dataclass(frozen=True, slots=True)
class Burst:
    """Changes that are submitted at once."""

    at: float
    changes: int


Fault = (
    Kill | StopResume | RollingReplacement | RackOutage | ZoneOutage | RegionPartition | PublisherLost | Burst
)


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of the run; ``at`` of its faults counts from its begin. Without faults it is an ordinary one."""

    name: str
    seconds: float
    changes_per_s: float
    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole scenario file."""

    sizes: tuple[int, ...]
    zones: tuple[Zone, ...]
    links: Links
    members_per_machine: int
    machines_per_rack: int
    control_members: int
    voters: int
    arrivals: Arrivals
    start_duration: float  # s over which the proxies start
    settle: float  # s before the first phase
    phases: tuple[Phase, ...]
    sizes_at_once: bool
    configuration_bytes: int  # published before the first phase

    @property
    def seconds(self) -> float:
        """From the first start to the end of the last phase."""
        return self.settle + sum(phase.seconds for phase in self.phases)
