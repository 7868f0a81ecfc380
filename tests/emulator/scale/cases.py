"""A small scenario and builders of records for the tests of the scale emulator."""

from __future__ import annotations

from pathlib import Path

from saltcourse.emulator.scale.evaluation.evaluate import evaluate
from saltcourse.emulator.scale.mechanisms import GOSSIP
from saltcourse.emulator.scale.records import ConfigurationSeen, Lifecycle, Record
from saltcourse.emulator.scale.scenario import Scenario
from saltcourse.emulator.scale.scenario_file import read_scenario
from saltcourse.emulator.scale.timeline import PhaseSpan, Timeline
from saltcourse.emulator.scale.topology import Topology

SCENARIOS = Path(__file__).parents[3] / "benchmarks" / "scenarios"


SMALL = """
size: 6
region { name: "west" zone: "w1" zone: "w2" }
region { name: "east" zone: "e1" }
links {
  in_zone { most_delay_ms: 1 }
  in_region { least_delay_ms: 1 most_delay_ms: 2 loss: 0.01 }
  between_regions { least_delay_ms: 30 most_delay_ms: 40 loss: 0.02 }
}
machines { members_per_machine: 1 machines_per_rack: 2 }
control { members: 4 voters: 3 }
arrivals { connections_per_s: 2 life_s: 10 servers_per_proxy: 2 groups_per_server: 3 }
settle_s: 1
phase { name: "ordinary" seconds: 10 changes_per_s: 0.5 }
phase {
  name: "faults" seconds: 30
  fault { at_s: 1 kill { machines: 1 } }
  fault { at_s: 2 cut_regions { seconds: 8 conflicting_change: true } }
}
"""


def read_scenario_text(text: str, folder: Path) -> Scenario:
    path = folder / "test.txtpb"
    path.write_text(text)
    return read_scenario(path)


TIMELINE = Timeline((PhaseSpan("ordinary", 0, 20, True), PhaseSpan("cut", 20, 100, False)), (), ())


STARTS: list[Record] = [Lifecycle(0.0, index, "start") for index in range(10)]


def configuration_seen(
    at: float, member: int, epoch: int, version: int, digest: int = 0, torn: tuple[int, ...] = ()
) -> Record:
    return ConfigurationSeen(at, member, epoch, version, digest, [version], list(torn))


def metrics_of(topology: Topology, *records: Record):  # type: ignore[no-untyped-def]
    return evaluate(GOSSIP, 1, topology, TIMELINE, [*STARTS, *records])


def change_seen(topology: Topology, at: float, change: int, without: tuple[int, ...] = ()) -> list[Record]:
    """Return records in which each member applies the change 0.1 s after the previous member.

    The members with the indexes ``without`` do not apply it.
    """
    return [
        ConfigurationSeen(at + 0.1 * spec.index, spec.index, 1, change + 1, 5, [change], [])
        for spec in topology.members
        if spec.index not in without
    ]
