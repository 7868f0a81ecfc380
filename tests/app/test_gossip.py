"""A proxy without gossip does not import its modules."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import urllib.error
import urllib.request
from pathlib import Path

import pytest

from tests.cli.gossip_commands import ROOT, write_config
from tests.config.operator_files import write_operator_file

PRINT_MODULES_AT_EXIT = """
import atexit, sys
atexit.register(lambda: print(*sorted(sys.modules)))
from saltcourse.cli.main import main
main(sys.argv[1:])
"""


def test_a_proxy_without_the_gossip_section_imports_no_gossip_modules(tmp_path: Path) -> None:
    operator = write_operator_file(tmp_path, "fleet { term_s: 3 }")
    arguments = ["serve", "--config", str(write_config(tmp_path)), "--operator", str(operator)]
    process = subprocess.Popen(
        [sys.executable, "-c", PRINT_MODULES_AT_EXIT, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    assert process.stdout is not None and process.stderr is not None
    try:
        while "phase=serving" not in process.stderr.readline():
            assert process.poll() is None
        admin = json.loads((tmp_path / "config.json").read_text())["admin"]
        with pytest.raises(urllib.error.HTTPError, match="404"):
            urllib.request.urlopen(f"http://{admin}/_gossip/members", timeout=10)
        process.send_signal(signal.SIGTERM)
        modules = process.stdout.read().split()
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
    assert "saltcourse.proxy.server" in modules and "saltcourse.config.operator" in modules
    disabled = ("saltcourse.gossip", "saltcourse.config.operator_gossip", "sqlite3")
    assert [name for name in modules if name.startswith(disabled)] == []
