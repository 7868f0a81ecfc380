"""The members of a fleet of one size: names, zones, machines, racks and roles, in deterministic order."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.emulator.scale.scenario import Link, Scenario
from saltcourse.gossip.messages import MemberId, Role, member_id

REAL_MACHINE = -1  # machine and rack number of all real processes


@dataclass(frozen=True, slots=True)
class MemberSpec:
    """Identity, location and role of one member.

    ``index`` is the member's position in ``Topology.members``. Machine and rack numbers are unique in the
    fleet; all machines of a rack are in one zone.
    """

    index: int
    name: str
    region: str
    zone: str
    machine: int
    rack: int
    role: Role
    voter: bool

    @property
    def id(self) -> MemberId:
        """The member's gossip id."""
        return member_id(self.name)


@dataclass(frozen=True, slots=True)
class Topology:
    """All members of a fleet: control members first, then simulated proxies, then real proxies.

    Control members and simulated proxies are assigned to the zones round-robin.
    """

    members: tuple[MemberSpec, ...]
    voters: tuple[MemberSpec, ...]
    proxies: tuple[MemberSpec, ...]
    real: tuple[MemberSpec, ...] = ()  # proxies in separate OS processes, without injected faults

    def machines(self) -> dict[int, list[MemberSpec]]:
        """Return the simulated proxies of each machine. Machines of control members are not included."""
        by_machine: dict[int, list[MemberSpec]] = {}
        for spec in self.proxies:
            by_machine.setdefault(spec.machine, []).append(spec)
        return by_machine

    def racks(self) -> dict[int, list[MemberSpec]]:
        """Return the simulated proxies of each rack."""
        by_rack: dict[int, list[MemberSpec]] = {}
        for spec in self.proxies:
            by_rack.setdefault(spec.rack, []).append(spec)
        return by_rack


def build_topology(scenario: Scenario, size: int, real: int = 0) -> Topology:
    """Build a fleet of ``size`` simulated proxies, the scenario's control members and ``real`` proxies."""
    specs = _control_members(scenario)
    zone_counts = dict.fromkeys([zone.name for zone in scenario.zones], 0)
    machines: dict[tuple[str, int], int] = {}
    racks: dict[tuple[str, int], int] = {}
    for number in range(size):
        zone = scenario.zones[number % len(scenario.zones)]
        position = zone_counts[zone.name]
        zone_counts[zone.name] += 1
        machine_in_zone = position // scenario.members_per_machine
        rack_in_zone = machine_in_zone // scenario.machines_per_rack
        machine = machines.setdefault((zone.name, machine_in_zone), scenario.control_members + len(machines))
        rack = racks.setdefault((zone.name, rack_in_zone), scenario.control_members + len(racks))
        specs.append(
            MemberSpec(
                len(specs), f"proxy-{number}", zone.region, zone.name, machine, rack, Role.PROXY, voter=False
            )
        )
    proxies = tuple(spec for spec in specs if spec.role is Role.PROXY)
    real_proxies = tuple(_real_proxy(scenario, len(specs) + number, number) for number in range(real))
    return Topology(
        members=(*specs, *real_proxies),
        voters=tuple(spec for spec in specs if spec.voter),
        proxies=proxies,
        real=real_proxies,
    )


def _real_proxy(scenario: Scenario, index: int, number: int) -> MemberSpec:
    """Return a real proxy in the first zone: links between real proxies are not emulated."""
    zone = scenario.zones[0]
    return MemberSpec(
        index, f"real-{number}", zone.region, zone.name, REAL_MACHINE, REAL_MACHINE, Role.PROXY, voter=False
    )


def _control_members(scenario: Scenario) -> list[MemberSpec]:
    """Return the control members, each on a separate machine and rack."""
    specs = []
    for number in range(scenario.control_members):
        zone = scenario.zones[number % len(scenario.zones)]
        specs.append(
            MemberSpec(
                number,
                f"control-{number}",
                zone.region,
                zone.name,
                number,
                number,
                Role.CONTROL,
                voter=number < scenario.voters,
            )
        )
    return specs


def link_between(scenario: Scenario, one: MemberSpec, other: MemberSpec) -> Link:
    """Return the link between two members. Links are symmetric."""
    if one.region != other.region:
        return scenario.links.between_regions
    return scenario.links.in_zone if one.zone == other.zone else scenario.links.in_region
