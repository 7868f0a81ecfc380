"""The control member as a process: reloads, and exclusive access to its store."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

from tests.cli.gossip_commands import ROOT, on_loopback, run_command
from tests.config.operator_files import GOSSIP_SECTION, write_operator_file
from tests.free_ports import free_port


def test_sighup_logs_a_changed_or_invalid_section_and_the_store_is_exclusive(tmp_path: Path) -> None:
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
        assert (
            other.returncode == 2 and "gossip.store_file" in other.stderr
        )  # two processes must not share a vote
        write_operator_file(tmp_path, text.replace("probe_interval_s: 2", "probe_interval_s: 3"))
        process.send_signal(signal.SIGHUP)
        line = process.stderr.readline()
        while "configuration changes require a restart" not in line and line:
            line = process.stderr.readline()
        assert "gossip.timing" in line
        write_operator_file(tmp_path, "gossip {")
        process.send_signal(signal.SIGHUP)
        line = process.stderr.readline()
        while "operator file rejected" not in line and line:
            line = process.stderr.readline()
        assert line
        process.send_signal(signal.SIGINT)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
