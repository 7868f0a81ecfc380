"""The control member as a process: what a reload changes, and that its store has one owner."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

from tests.cli.gossip_commands import ROOT, free_port, on_loopback, run_command
from tests.config.operator_files import GOSSIP_SECTION, write_operator_file


def test_a_changed_section_is_logged_on_sighup_and_waits_for_a_restart(tmp_path: Path) -> None:
    text = on_loopback(GOSSIP_SECTION, free_port())
    file = write_operator_file(tmp_path, text)
    process = subprocess.Popen(
        [sys.executable, "-m", "saltcourse", "control", "--operator", str(file)],
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    assert process.stderr is not None
    try:
        assert 'event="gossip started"' in process.stderr.readline()
        other = run_command(
            "control",
            "--operator",
            str(write_operator_file(tmp_path, on_loopback(GOSSIP_SECTION, free_port()))),
        )
        assert other.returncode == 2 and "gossip.store_file" in other.stderr  # two processes, one vote
        write_operator_file(tmp_path, text.replace("probe_interval_s: 2", "probe_interval_s: 3"))
        process.send_signal(signal.SIGHUP)
        line = process.stderr.readline()
        while "changed keys" not in line and line:
            line = process.stderr.readline()
        assert "gossip.timing" in line
        write_operator_file(tmp_path, "gossip {")
        process.send_signal(signal.SIGHUP)
        line = process.stderr.readline()
        while "old operator's file is kept" not in line and line:
            line = process.stderr.readline()
        assert line
        process.send_signal(signal.SIGINT)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
