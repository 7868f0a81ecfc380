"""The members of a fleet of one size: names, zones, machines, racks and roles, in a fixed order."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.emulator.scale.scenario import Link, Scenario
from saltcourse.gossip.messages import MemberId, Role, member_id

REAL_MACHINE = -1  # of all real processes


@dataclass(frozen=True, slots=True)
class Place:
    """One member and its location.

    ``machine`` and ``rack`` are numbered over the fleet; a rack is of one zone.
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
        """The member's id in gossip."""
        return member_id(self.name)


@dataclass(frozen=True, slots=True)
class Topology:
    """All members: control members, then hollow proxies, both round-robin over the zones, then real ones."""

    places: tuple[Place, ...]
    voters: tuple[Place, ...]
    proxies: tuple[Place, ...]
    real: tuple[Place, ...] = ()  # proxies that run as processes of their own; no fault is injected there

    def machines(self) -> dict[int, list[Place]]:
        """The proxies of each machine. Control members have machines of their own, which are not listed."""
        found: dict[int, list[Place]] = {}
        for place in self.proxies:
            found.setdefault(place.machine, []).append(place)
        return found

    def racks(self) -> dict[int, list[Place]]:
        """The proxies of each rack."""
        found: dict[int, list[Place]] = {}
        for place in self.proxies:
            found.setdefault(place.rack, []).append(place)
        return found


def build_topology(scenario: Scenario, size: int, real: int = 0) -> Topology:
    """A fleet of ``size`` hollow proxies, the scenario's control members and ``real`` processes."""
    places = _control_members(scenario)
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
        places.append(
            Place(
                len(places), f"proxy-{number}", zone.region, zone.name, machine, rack, Role.PROXY, voter=False
            )
        )
    proxies = tuple(place for place in places if place.role is Role.PROXY)
    real_proxies = tuple(_real_proxy(scenario, len(places) + number, number) for number in range(real))
    return Topology(
        places=(*places, *real_proxies),
        voters=tuple(place for place in places if place.voter),
        proxies=proxies,
        real=real_proxies,
    )


def _real_proxy(scenario: Scenario, index: int, number: int) -> Place:
    """All are in the first zone, because no links are emulated between them."""
    zone = scenario.zones[0]
    return Place(
        index, f"real-{number}", zone.region, zone.name, REAL_MACHINE, REAL_MACHINE, Role.PROXY, voter=False
    )


def _control_members(scenario: Scenario) -> list[Place]:
    """Each on a machine and a rack of its own."""
    places = []
    for number in range(scenario.control_members):
        zone = scenario.zones[number % len(scenario.zones)]
        places.append(
            Place(
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
    return places


def link_between(scenario: Scenario, one: Place, other: Place) -> Link:
    """The link of two members, the same in both directions."""
    if one.region != other.region:
        return scenario.links.between_regions
    return scenario.links.in_zone if one.zone == other.zone else scenario.links.in_region
