"""Helpers for tests of commands with gossip: files, ports and processes."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from tests.config.operator_files import EXAMPLE, GOSSIP_SECTION
from tests.free_ports import free_port

ROOT = Path(__file__).parents[2]
PROXY_SECTION = GOSSIP_SECTION.replace('  me: "c0"', '  me: "p"').replace("role: CONTROL", "role: PROXY")


def write_config(folder: Path, peers: bool = True) -> Path:
    values = json.loads(EXAMPLE.read_text())
    values["settings"]["limits"]["peers"] = peers
    values["listen"] = f"127.0.0.1:{free_port()}"
    values["admin"] = f"127.0.0.1:{free_port()}"
    (folder / "config.json").write_text(json.dumps(values))
    return folder / "config.json"


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "saltcourse", *arguments], capture_output=True, text=True, cwd=ROOT, timeout=20
    )


def on_loopback(text: str, port: int) -> str:
    return text.replace("0.0.0.0:7500", f"127.0.0.1:{port}").replace("10.0.0.1:7500", f"127.0.0.1:{port}")
