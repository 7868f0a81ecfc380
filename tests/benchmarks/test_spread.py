"""Tests that the spread benchmark can parse the proxy's log; a renamed event or key would leave it empty."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.spread import read_logs

ROOT = Path(__file__).parents[2]
# Runs in a separate process, because logging is configured once per process and loggers are cached.
WRITE_SUMMARY = """
from saltcourse.balancing.backend_report import BackendReport
from saltcourse.balancing.events import AttemptStatus, BackendState
from saltcourse.cli.logging import set_up_logging
from saltcourse.proxy.traffic_summary import TrafficSummary

def report(backend, occupancy, *reasons):
    return BackendReport(backend, BackendState.READY, occupancy, 20.0, reasons, is_avoided=False)

set_up_logging()
summary = TrafficSummary()
summary.count_attempt("s1", AttemptStatus.TIMEOUT)
reports = [report("s1", 9.0, "ejected", "slow"), report("s2", 3.0), report("s3", 3.0, "slow")]
summary.write(reports, {"s1": 9, "s2": 3, "s3": 3}, requests=15, is_failing=False)
"""


def test_read_logs_parses_the_lines_that_the_proxy_writes(tmp_path: Path) -> None:
    process = subprocess.run(
        [sys.executable, "-c", WRITE_SUMMARY], cwd=ROOT, capture_output=True, check=True, timeout=20
    )
    (tmp_path / "proxy.log").write_bytes(process.stderr)
    limits, imbalance = read_logs(tmp_path)
    assert limits == {"s1": {"ejected": 1, "slow": 1}, "s3": {"slow": 1}}
    assert imbalance == pytest.approx(9.0 / 5.0)
