"""The schedule of a run, built from a scenario and a seed."""

from __future__ import annotations

from dataclasses import replace

from saltcourse.emulator.scale.scenario import Phase, Scenario, ZoneOutage
from saltcourse.emulator.scale.timeline import (
    FaultAction,
    PhaseSpan,
    PublicationKind,
    build_timeline,
)
from saltcourse.emulator.scale.topology import Topology


def test_the_same_seed_gives_the_same_timeline(scenario: Scenario, topology: Topology) -> None:
    assert build_timeline(scenario, topology, 1) == build_timeline(scenario, topology, 1)
    assert build_timeline(scenario, topology, 1) != build_timeline(scenario, topology, 2)


def test_the_timeline_follows_the_scenario(scenario: Scenario, topology: Topology) -> None:
    timeline = build_timeline(scenario, topology, 1)
    assert timeline.spans == (PhaseSpan("ordinary", 1.0, 11.0, True), PhaseSpan("faults", 11.0, 41.0, False))
    actions = [
        (command.at, command.action)
        for command in timeline.commands
        if command.action is not FaultAction.START
    ]
    assert actions == [(12.0, FaultAction.KILL), (13.0, FaultAction.PARTITION), (21.0, FaultAction.HEAL)]
    started = [index for c in timeline.commands if c.action is FaultAction.START for index in c.members]
    assert sorted(started) == list(range(10))
    assert [p.kind for p in timeline.publications].count(PublicationKind.CONFLICT) == 1
    assert [p.at for p in timeline.publications[:5]] == [2.0, 4.0, 6.0, 8.0, 10.0]


def test_a_zone_outage_affects_all_members_of_one_zone(scenario: Scenario, topology: Topology) -> None:
    """A zone loses power: its proxies and control members fail at the same time and restart together."""
    phase = Phase("zone", 20.0, 0.0, (ZoneOutage(2.0, 5.0),))
    timeline = build_timeline(replace(scenario, phases=(phase,)), topology, 3)
    killed = next(command for command in timeline.commands if command.action is FaultAction.KILL)
    zones = {topology.members[index].zone for index in killed.members}
    assert len(zones) == 1
    assert set(killed.members) == {p.index for p in topology.members if p.zone in zones}
    again = timeline.commands[-1]
    assert (again.action, again.at, again.members) == (FaultAction.START, 8.0, killed.members)


def test_the_configuration_is_filled_before_the_first_phase(scenario: Scenario, topology: Topology) -> None:
    timeline = build_timeline(replace(scenario, configuration_bytes=4_000), topology, 1)
    fill = [p for p in timeline.publications if p.kind is PublicationKind.FILL]
    assert sum(p.padding for p in fill) == 4_000
    assert all(0 < p.at < scenario.settle for p in fill)
