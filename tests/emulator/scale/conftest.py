"""Fixtures for the tests of the scale emulator."""

from __future__ import annotations

from pathlib import Path

import pytest

from saltcourse.emulator.scale.scenario import Scenario
from saltcourse.emulator.scale.topology import Topology, build_topology
from tests.emulator.scale.cases import SMALL, read_scenario_text


@pytest.fixture
def scenario(tmp_path: Path) -> Scenario:
    return read_scenario_text(SMALL, tmp_path)


@pytest.fixture
def topology(scenario: Scenario) -> Topology:
    return build_topology(scenario, 6)
