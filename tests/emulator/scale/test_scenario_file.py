"""Scenario files: the benchmarks' files are valid, and invalid files are rejected."""

from __future__ import annotations

from pathlib import Path

import pytest

from saltcourse.config import ConfigError
from saltcourse.emulator.scale.scenario import (
    Burst,
    Kill,
    PublisherLost,
    RackOutage,
    RegionPartition,
    RollingReplacement,
    StopResume,
    ZoneOutage,
)
from saltcourse.emulator.scale.scenario_file import read_scenario
from tests.emulator.scale.cases import SCENARIOS, SMALL, read_scenario_text


@pytest.mark.parametrize("name", ["ordinary", "quick", "faults", "slope"])
def test_the_benchmark_scenarios_are_valid(name: str) -> None:
    scenario = read_scenario(SCENARIOS / f"{name}.txtpb")
    assert (scenario.control_members, scenario.voters) == (8, 5)
    assert len({zone.region for zone in scenario.zones}) == 2 and len(scenario.zones) == 5


def test_the_ordinary_scenario_has_all_fault_kinds_and_the_quick_one_is_short() -> None:
    ordinary = read_scenario(SCENARIOS / "ordinary.txtpb")
    kinds = {type(fault) for phase in ordinary.phases for fault in phase.faults}
    assert kinds == {
        Kill,
        StopResume,
        RollingReplacement,
        RackOutage,
        ZoneOutage,
        RegionPartition,
        PublisherLost,
        Burst,
    }
    assert ordinary.sizes == (30, 60, 120, 245, 490, 980)
    assert [f.seconds for p in ordinary.phases for f in p.faults if isinstance(f, RegionPartition)] == [120.0]
    quick = read_scenario(SCENARIOS / "quick.txtpb")
    assert quick.sizes == (30, 60, 120) and quick.sizes_at_once
    assert quick.seconds <= 33


@pytest.mark.parametrize(
    ("valid", "invalid", "line", "reason"),
    [
        ("size: 6", "size: 1", 2, "size[0]: must be from 2 to 2000, not 1"),
        ("size: 6", "", 1, "size: missing"),
        ("size: 6", "sizes: 6", 2, "no field named"),
        ('zone: "e1"', 'zone: "w1"', 4, "region[1].zone[0]: duplicate zone name 'w1'"),
        ('zone: "e1"', "", 4, "region[1].zone: missing"),
        ('name: "east"', 'name: "a-region-of-a-long-name"', 4, "region[1].name: must be from 1 to 16 bytes"),
        (
            "most_delay_ms: 1 }",
            "most_delay_ms: -1 }",
            6,
            "links.in_zone.most_delay_ms: must be from 0 to 1000",
        ),
        ("loss: 0.02", "loss: 1", 8, "links.between_regions.loss: must be from 0 to 0.9, not 1"),
        ("voters: 3", "voters: 5", 11, "control.voters: must be from 1 to 4, not 5"),
        ("life_s: 10", "life_s: nan", 12, "arrivals.life_s: must be from 0.1 to 86400, not nan"),
        ('"ordinary"', '"Ordinary day"', 14, "phase[0].name: must be a lowercase letter"),
        ('name: "faults"', 'name: "ordinary"', 16, "phase[1].name: duplicate phase name 'ordinary'"),
        ("kill { machines: 1 }", "", 17, "phase[1].fault[0]: missing, expected one of kill, stop_resume"),
        ("seconds: 8", "seconds: 29", 18, "phase[1].fault[1].cut_regions.seconds: must be from 0.1 to 28"),
        (
            "kill { machines: 1 }",
            "burst { changes: 0 }",
            17,
            "phase[1].fault[0].burst.changes: must be from 1",
        ),
    ],
)
def test_an_invalid_scenario_is_rejected_with_line_and_key(
    tmp_path: Path, valid: str, invalid: str, line: int, reason: str
) -> None:
    """A scenario file has one value that is out of bounds, missing or duplicate. The run must not start, and
    the message must give the line of the file.
    """
    with pytest.raises(ConfigError) as caught:
        read_scenario_text(SMALL.replace(valid, invalid, 1), tmp_path)
    assert str(caught.value).startswith(f"{tmp_path}/test.txtpb:{line}: ")
    assert reason in str(caught.value)


def test_a_missing_scenario_file_is_reported(tmp_path: Path) -> None:
    """The path of the scenario is wrong. The message has the path and the operating system's reason."""
    with pytest.raises(ConfigError, match="nothing.txtpb: No such file"):
        read_scenario(tmp_path / "nothing.txtpb")
