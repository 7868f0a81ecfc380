"""The schedule of one run: phases, faults and publications worked out for a fleet, from one seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from saltcourse.emulator.scale import scenario as scenario_types
from saltcourse.emulator.scale.scenario import Phase, Scenario
from saltcourse.emulator.scale.topology import MemberSpec, Topology
from saltcourse.gossip.messages import Role

FILL_BYTES = 800  # of one change that fills the configuration; it fits a datagram with its keys


class FaultAction(Enum):
    """What a worker does to its members."""

    START = "start"  # a new process of the member's name and address
    KILL = "kill"
    STOP = "stop"  # it gets no events, and what comes waits
    RESUME = "resume"
    PARTITION = "cut"  # separates the first region from the others; of no single member
    HEAL = "heal"


@dataclass(frozen=True, slots=True)
class Command:
    """``at`` counts from the begin of the run; ``members`` are indexes of the topology."""

    at: float
    action: FaultAction
    members: tuple[int, ...] = ()


class PublicationKind(Enum):
    """Why the operator publishes a change."""

    CHANGE = "change"
    FILL = "fill"  # a large one before the first phase; not timed
    CONFLICT = "conflict"  # submitted to a voter of the minority side of a partition, without a retry
    LOSE_PUBLISHER = "lose_publisher"


@dataclass(frozen=True, slots=True)
class Publication:
    """A change that the operator submits at ``at``.

    The publisher is killed ``kill_after`` seconds later, and started again ``restart_after`` seconds after
    that.
    """

    at: float
    kind: PublicationKind
    kill_after: float = 0.0
    restart_after: float = 0.0
    padding: int = 0  # bytes of a value beside the change's own


@dataclass(frozen=True, slots=True)
class PhaseSpan:
    """When a phase begins and ends, in seconds; an ordinary one has no faults."""

    name: str
    begin: float
    end: float
    ordinary: bool


@dataclass(frozen=True, slots=True)
class Timeline:
    """Commands and publications in the order of their times."""

    spans: tuple[PhaseSpan, ...]
    commands: tuple[Command, ...]
    publications: tuple[Publication, ...]

    @property
    def end(self) -> float:
        """Seconds from the begin of the run to the end of the last phase."""
        return self.spans[-1].end


def build_timeline(scenario: Scenario, topology: Topology, seed: int) -> Timeline:
    """The schedule of a fleet; one seed always gives the same one."""
    return _Builder(scenario, topology, seed).build()


class _Builder:
    def __init__(self, scenario: Scenario, topology: Topology, seed: int) -> None:
        self._scenario = scenario
        self._topology = topology
        self._random = Random(f"timeline {seed} {len(topology.members)}")
        self._commands: list[Command] = []
        self._publications: list[Publication] = []
        self._removed: set[int] = set()  # members that are killed for good

    def build(self) -> Timeline:
        self._start_all()
        self._fill()
        spans = []
        begin = self._scenario.settle
        for phase in self._scenario.phases:
            spans.append(PhaseSpan(phase.name, begin, begin + phase.seconds, not phase.faults))
            self._changes(phase, begin)
            for fault in phase.faults:
                self._fault(begin + fault.at, fault)
            begin += phase.seconds
        return Timeline(
            spans=tuple(spans),
            commands=tuple(sorted(self._commands, key=lambda command: command.at)),
            publications=tuple(sorted(self._publications, key=lambda publication: publication.at)),
        )

    def _start_all(self) -> None:
        """Control members at once, then the proxies in an order drawn at random."""
        control = [spec.index for spec in self._topology.members if spec.role is Role.CONTROL]
        self._command(0.0, FaultAction.START, control)
        proxies = [spec.index for spec in self._topology.proxies]
        self._random.shuffle(proxies)
        for number, index in enumerate(proxies):
            self._command(self._scenario.start_duration * number / len(proxies), FaultAction.START, [index])

    def _fill(self) -> None:
        """The middle half of the settling time brings the configuration to its size."""
        count = self._scenario.configuration_bytes // FILL_BYTES
        settle = self._scenario.settle
        for number in range(count):
            at = settle * (0.25 + 0.5 * number / count)
            self._publications.append(Publication(at, PublicationKind.FILL, padding=FILL_BYTES))

    def _changes(self, phase: Phase, begin: float) -> None:
        if phase.changes_per_s <= 0:
            return
        interval = 1.0 / phase.changes_per_s
        at = begin + interval / 2
        while at < begin + phase.seconds:
            self._publish(at, PublicationKind.CHANGE)
            at += interval

    def _fault(self, at: float, fault: scenario_types.Fault) -> None:
        match fault:
            case scenario_types.Kill():
                self._kill(at, fault)
            case scenario_types.StopResume():
                self._stop_and_resume(at, fault)
            case scenario_types.RollingReplacement():
                self._replace_one_by_one(at, fault)
            case scenario_types.RackOutage():
                self._lose_rack(at, fault)
            case scenario_types.ZoneOutage():
                self._lose_zone(at, fault)
            case scenario_types.RegionPartition():
                self._partition(at, fault)
            case scenario_types.PublisherLost():
                self._publish(at, PublicationKind.LOSE_PUBLISHER, fault.after, fault.restart_after)
            case scenario_types.Burst():
                for _ in range(fault.changes):
                    self._publish(at, PublicationKind.CHANGE)

    def _stop_and_resume(self, at: float, fault: scenario_types.StopResume) -> None:
        members = self._choose(fault.members)
        self._command(at, FaultAction.STOP, members)
        self._command(at + fault.seconds, FaultAction.RESUME, members)

    def _replace_one_by_one(self, at: float, fault: scenario_types.RollingReplacement) -> None:
        for number, member in enumerate(self._choose(fault.members)):
            self._outage(at + number * fault.every, [member], fault.down)

    def _lose_rack(self, at: float, fault: scenario_types.RackOutage) -> None:
        racks = self._topology.racks()
        rack = self._random.choice(sorted(racks))
        self._outage(at, _indexes(racks[rack]), fault.seconds)

    def _lose_zone(self, at: float, fault: scenario_types.ZoneOutage) -> None:
        zone = self._random.choice(self._scenario.zones).name
        lost = [p for p in self._topology.members if p.zone == zone and p not in self._topology.real]
        self._outage(at, _indexes(lost), fault.seconds)

    def _partition(self, at: float, fault: scenario_types.RegionPartition) -> None:
        self._command(at, FaultAction.PARTITION, [])
        self._command(at + fault.seconds, FaultAction.HEAL, [])
        if fault.conflicting_change:
            middle = at + fault.seconds / 2
            self._publish(middle, PublicationKind.CHANGE)
            self._publish(middle, PublicationKind.CONFLICT)

    def _kill(self, at: float, fault: scenario_types.Kill) -> None:
        machines = self._topology.machines()
        intact = [m for m in sorted(machines) if not self._removed & set(_indexes(machines[m]))]
        chosen = self._random.sample(intact, min(fault.machines, len(intact)))
        members = [index for machine in chosen for index in _indexes(machines[machine])]
        if fault.restart_after > 0:
            self._outage(at, members, fault.restart_after)
        else:
            self._command(at, FaultAction.KILL, members)
            self._removed |= set(members)

    def _outage(self, at: float, members: list[int], seconds: float) -> None:
        members = [index for index in members if index not in self._removed]
        self._command(at, FaultAction.KILL, members)
        self._command(at + seconds, FaultAction.START, members)

    def _choose(self, count: int) -> list[int]:
        left = [spec.index for spec in self._topology.proxies if spec.index not in self._removed]
        return self._random.sample(left, min(count, len(left)))

    def _publish(
        self, at: float, kind: PublicationKind, kill_after: float = 0.0, restart_after: float = 0.0
    ) -> None:
        self._publications.append(Publication(at, kind, kill_after, restart_after))

    def _command(self, at: float, action: FaultAction, members: list[int]) -> None:
        self._commands.append(Command(at, action, tuple(members)))


def _indexes(specs: list[MemberSpec]) -> list[int]:
    return [spec.index for spec in specs]
