"""The schedule of one run: phases, faults and publications for one fleet, generated from a seed.

Times are seconds since the start of the run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from saltcourse.emulator.scale import scenario as scenario_types
from saltcourse.emulator.scale.scenario import Phase, Scenario
from saltcourse.emulator.scale.topology import MemberSpec, Topology
from saltcourse.gossip.messages import Role

FILL_BYTES = 800  # padding per fill change, so that the change and its keys fit in one datagram


class FaultAction(Enum):
    """An action of a worker on its members or links. The values are written to the record files."""

    START = "start"  # start a new process with the member's name and address
    KILL = "kill"
    STOP = "stop"  # deliver no events; received datagrams are queued
    RESUME = "resume"
    PARTITION = "cut"  # separate the first region from the others
    HEAL = "heal"


@dataclass(frozen=True, slots=True)
class Command:
    """A scheduled fault action on the members with these indexes. PARTITION and HEAL have no members."""

    at: float
    action: FaultAction
    members: tuple[int, ...] = ()


class PublicationKind(Enum):
    """The purpose of a change. The values are written to the record files."""

    CHANGE = "change"
    FILL = "fill"  # fills the configuration before the first phase; its propagation is not timed
    CONFLICT = "conflict"  # submitted once to a voter on the minority side of a partition
    LOSE_PUBLISHER = "lose_publisher"  # the publisher is killed shortly after the submission


@dataclass(frozen=True, slots=True)
class Publication:
    """A change that the operator submits at ``at``.

    For LOSE_PUBLISHER, the publisher is killed ``kill_after`` seconds after the submission and restarted
    ``restart_after`` seconds later (0: never).
    """

    at: float
    kind: PublicationKind
    kill_after: float = 0.0
    restart_after: float = 0.0
    padding: int = 0  # bytes of an additional value


@dataclass(frozen=True, slots=True)
class PhaseSpan:
    """The time interval of a phase. An ordinary phase has no faults."""

    name: str
    start: float
    end: float
    ordinary: bool


@dataclass(frozen=True, slots=True)
class Timeline:
    """The phases, commands and publications of a run, each in time order."""

    spans: tuple[PhaseSpan, ...]
    commands: tuple[Command, ...]
    publications: tuple[Publication, ...]

    @property
    def end(self) -> float:
        """The end of the last phase."""
        return self.spans[-1].end


def build_timeline(scenario: Scenario, topology: Topology, seed: int) -> Timeline:
    """Build the schedule of a run. The same scenario, topology and seed always give the same schedule."""
    return _Builder(scenario, topology, seed).build()


class _Builder:
    def __init__(self, scenario: Scenario, topology: Topology, seed: int) -> None:
        self._scenario = scenario
        self._topology = topology
        self._random = Random(f"timeline {seed} {len(topology.members)}")
        self._commands: list[Command] = []
        self._publications: list[Publication] = []
        self._removed: set[int] = set()  # members that are killed and not restarted

    def build(self) -> Timeline:
        self._add_starts()
        self._add_fill_changes()
        spans = []
        start = self._scenario.settle
        for phase in self._scenario.phases:
            spans.append(PhaseSpan(phase.name, start, start + phase.seconds, not phase.faults))
            self._add_changes(phase, start)
            for fault in phase.faults:
                self._add_fault(start + fault.at, fault)
            start += phase.seconds
        return Timeline(
            spans=tuple(spans),
            commands=tuple(sorted(self._commands, key=lambda command: command.at)),
            publications=tuple(sorted(self._publications, key=lambda publication: publication.at)),
        )

    def _add_starts(self) -> None:
        """Start all control members at once, then the proxies in random order over ``start_duration``."""
        control = [spec.index for spec in self._topology.members if spec.role is Role.CONTROL]
        self._add_command(0.0, FaultAction.START, control)
        proxies = [spec.index for spec in self._topology.proxies]
        self._random.shuffle(proxies)
        for number, index in enumerate(proxies):
            self._add_command(
                self._scenario.start_duration * number / len(proxies), FaultAction.START, [index]
            )

    def _add_fill_changes(self) -> None:
        """Schedule the changes that fill the configuration, over the middle half of the settling time."""
        count = self._scenario.configuration_bytes // FILL_BYTES
        settle = self._scenario.settle
        for number in range(count):
            at = settle * (0.25 + 0.5 * number / count)
            self._publications.append(Publication(at, PublicationKind.FILL, padding=FILL_BYTES))

    def _add_changes(self, phase: Phase, start: float) -> None:
        if phase.changes_per_s <= 0:
            return
        interval = 1.0 / phase.changes_per_s
        at = start + interval / 2
        while at < start + phase.seconds:
            self._add_publication(at, PublicationKind.CHANGE)
            at += interval

    def _add_fault(self, at: float, fault: scenario_types.Fault) -> None:
        match fault:
            case scenario_types.Kill():
                self._add_kill(at, fault)
            case scenario_types.StopResume():
                self._add_stop_and_resume(at, fault)
            case scenario_types.RollingReplacement():
                self._add_rolling_replacement(at, fault)
            case scenario_types.RackOutage():
                self._add_rack_outage(at, fault)
            case scenario_types.ZoneOutage():
                self._add_zone_outage(at, fault)
            case scenario_types.RegionPartition():
                self._add_partition(at, fault)
            case scenario_types.PublisherLost():
                self._add_publication(at, PublicationKind.LOSE_PUBLISHER, fault.after, fault.restart_after)
            case scenario_types.Burst():
                for _ in range(fault.changes):
                    self._add_publication(at, PublicationKind.CHANGE)

    def _add_stop_and_resume(self, at: float, fault: scenario_types.StopResume) -> None:
        members = self._sample_proxies(fault.members)
        self._add_command(at, FaultAction.STOP, members)
        self._add_command(at + fault.seconds, FaultAction.RESUME, members)

    def _add_rolling_replacement(self, at: float, fault: scenario_types.RollingReplacement) -> None:
        for number, member in enumerate(self._sample_proxies(fault.members)):
            self._add_outage(at + number * fault.every, [member], fault.down)

    def _add_rack_outage(self, at: float, fault: scenario_types.RackOutage) -> None:
        racks = self._topology.racks()
        rack = self._random.choice(sorted(racks))
        self._add_outage(at, _indexes(racks[rack]), fault.seconds)

    def _add_zone_outage(self, at: float, fault: scenario_types.ZoneOutage) -> None:
        zone = self._random.choice(self._scenario.zones).name
        lost = [p for p in self._topology.members if p.zone == zone and p not in self._topology.real]
        self._add_outage(at, _indexes(lost), fault.seconds)

    def _add_partition(self, at: float, fault: scenario_types.RegionPartition) -> None:
        self._add_command(at, FaultAction.PARTITION, [])
        self._add_command(at + fault.seconds, FaultAction.HEAL, [])
        if fault.conflicting_change:
            middle = at + fault.seconds / 2
            self._add_publication(middle, PublicationKind.CHANGE)
            self._add_publication(middle, PublicationKind.CONFLICT)

    def _add_kill(self, at: float, fault: scenario_types.Kill) -> None:
        machines = self._topology.machines()
        intact = [m for m in sorted(machines) if not self._removed & set(_indexes(machines[m]))]
        chosen = self._random.sample(intact, min(fault.machines, len(intact)))
        members = [index for machine in chosen for index in _indexes(machines[machine])]
        if fault.restart_after > 0:
            self._add_outage(at, members, fault.restart_after)
        else:
            self._add_command(at, FaultAction.KILL, members)
            self._removed |= set(members)

    def _add_outage(self, at: float, members: list[int], seconds: float) -> None:
        members = [index for index in members if index not in self._removed]
        self._add_command(at, FaultAction.KILL, members)
        self._add_command(at + seconds, FaultAction.START, members)

    def _sample_proxies(self, count: int) -> list[int]:
        remaining = [spec.index for spec in self._topology.proxies if spec.index not in self._removed]
        return self._random.sample(remaining, min(count, len(remaining)))

    def _add_publication(
        self, at: float, kind: PublicationKind, kill_after: float = 0.0, restart_after: float = 0.0
    ) -> None:
        self._publications.append(Publication(at, kind, kill_after, restart_after))

    def _add_command(self, at: float, action: FaultAction, members: list[int]) -> None:
        self._commands.append(Command(at, action, tuple(members)))


def _indexes(specs: list[MemberSpec]) -> list[int]:
    return [spec.index for spec in specs]
