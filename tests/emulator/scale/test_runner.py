"""Small runs with worker processes, and a run that is stopped."""

from __future__ import annotations

import math
import multiprocessing
import threading
from dataclasses import replace
from pathlib import Path

import pytest

from saltcourse.emulator.scale.evaluation.evaluate import evaluate
from saltcourse.emulator.scale.mechanisms import GOSSIP, MESH
from saltcourse.emulator.scale.records import read_records
from saltcourse.emulator.scale.runner import RunError, RunPlan, execute_run
from saltcourse.emulator.scale.scenario import Phase, Scenario


@pytest.mark.parametrize("mechanism", [MESH, GOSSIP])
def test_a_run_of_six_members_has_plausible_metrics(
    scenario: Scenario, tmp_path: Path, mechanism: str
) -> None:
    short = replace(scenario, settle=0.3, phases=(Phase("ordinary", 1.2, 5.0, ()),), control_members=3)
    records = execute_run(
        RunPlan(mechanism, short, 3, 1, workers=2), tmp_path, threading.Event(), lambda share: None
    )
    metrics = evaluate(mechanism, 1, records.topology, records.timeline, read_records(records.paths))
    assert metrics.proxies is not None and metrics.proxies.bytes_per_s.mean > 100
    assert 0 < metrics.proxies.cpu_share.mean < 1
    assert metrics.change.events > 0 and metrics.change.seconds is not None
    assert metrics.change.seconds.p50 < 1.0
    assert math.isfinite(metrics.memory_mb) and not metrics.breaches


def test_a_run_that_is_stopped_leaves_no_process(scenario: Scenario, tmp_path: Path) -> None:
    """The user stops a run before its workers have started. No worker process may remain."""
    stop = threading.Event()
    stop.set()
    with pytest.raises(RunError, match="stopped"):
        execute_run(RunPlan(MESH, scenario, 6, 1, workers=1), tmp_path, stop, lambda share: None)
    assert not multiprocessing.active_children()
