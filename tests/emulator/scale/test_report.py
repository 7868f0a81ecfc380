"""The flat JSON object and the table of all runs."""

from __future__ import annotations

from dataclasses import replace

import pytest

from saltcourse.emulator.scale.mechanisms import MESH
from saltcourse.emulator.scale.records import Load
from saltcourse.emulator.scale.report import flat_metrics, table
from saltcourse.emulator.scale.topology import Topology
from tests.emulator.scale.cases import metrics_of


def test_the_report_has_the_main_keys_for_each_size_and_mechanism(topology: Topology) -> None:
    metrics = metrics_of(
        topology, *[Load(float(s), p.index, 10, 20, 0.01) for s in range(1, 21) for p in topology.members]
    )
    runs = [metrics, replace(metrics, size=60), replace(metrics, mechanism=MESH)]
    flat = flat_metrics(runs)
    for key in (
        "control_bytes_per_s_max",
        "control_cpu_share_max",
        "control_memory_mb_max",
        "change_everywhere_s_p50",
        "change_everywhere_s_p99",
        "change_everywhere_s_max",
        "after_cut_agree_s_max",
    ):
        assert f"n6_{key}" in flat and f"n60_{key}" in flat and f"mesh_n6_{key}" in flat
    assert flat["bytes_growth_exponent"] == pytest.approx(0.0) and flat["mesh_bytes_growth_exponent"] is None
    assert all(value is None or isinstance(value, (int, float)) for value in flat.values())
    assert len(table(runs).splitlines()) == 4
