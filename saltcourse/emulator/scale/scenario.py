"""The scenario of a scale run: fleet, links, load and scheduled faults. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Zone:
    """A zone and its region."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Link:
    """Bounds of the one-way delay in seconds, and the fraction of datagrams that are lost."""

    min_delay: float
    max_delay: float
    loss: float


@dataclass(frozen=True, slots=True)
class Links:
    """The links between members of one zone, of one region and of different regions."""

    in_zone: Link
    in_region: Link
    between_regions: Link


@dataclass(frozen=True, slots=True)
class Arrivals:
    """The client connections of each proxy, with the number of backends and groups that they go to."""

    connections_per_s: float
    mean_lifetime: float  # seconds
    servers_per_proxy: float
    groups_per_server: int


@dataclass(frozen=True, slots=True)
class Kill:
    """All proxies of some random machines are killed."""

    at: float
    machines: int
    restart_after: float  # 0: never


@dataclass(frozen=True, slots=True)
class StopResume:
    """Random proxies are stopped for ``seconds``, as by SIGSTOP."""

    at: float
    members: int
    seconds: float


@dataclass(frozen=True, slots=True)
class RollingReplacement:
    """Random proxies are replaced, one every ``every`` seconds; each is down for ``down`` seconds."""

    at: float
    members: int
    every: float
    down: float


@dataclass(frozen=True, slots=True)
class RackOutage:
    """All proxies of a random rack are down for ``seconds``."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class ZoneOutage:
    """All members of a random zone are down for ``seconds``."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class RegionPartition:
    """The first region is separated from the others for ``seconds``.

    With ``conflicting_change``, each side receives a change halfway through the partition.
    """

    at: float
    seconds: float
    conflicting_change: bool


@dataclass(frozen=True, slots=True)
class PublisherLost:
    """The publisher is killed ``after`` seconds after it received a change."""

    at: float
    after: float
    restart_after: float  # 0: never


@dataclass(frozen=True, slots=True)
class Burst:
    """Changes that are submitted at the same time."""

    at: float
    changes: int


Fault = (
    Kill | StopResume | RollingReplacement | RackOutage | ZoneOutage | RegionPartition | PublisherLost | Burst
)


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of the run. ``at`` of its faults is relative to the start of the phase."""

    name: str
    seconds: float
    changes_per_s: float
    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class Scenario:
    """The content of a scenario file."""

    sizes: tuple[int, ...]
    zones: tuple[Zone, ...]
    links: Links
    members_per_machine: int
    machines_per_rack: int
    control_members: int
    voters: int
    arrivals: Arrivals
    start_duration: float  # seconds over which the proxies are started
    settle: float  # seconds from the first start to the first phase
    phases: tuple[Phase, ...]
    sizes_at_once: bool
    configuration_bytes: int  # bytes published before the first phase

    @property
    def seconds(self) -> float:
        """The duration from the first start to the end of the last phase."""
        return self.settle + sum(phase.seconds for phase in self.phases)
