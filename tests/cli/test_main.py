"""The command line imports optional modules only when a command needs them."""

from __future__ import annotations

import subprocess
import sys


def test_importing_the_command_line_loads_no_optional_module() -> None:
    code = (
        "import sys, saltcourse.cli.main; print([m for m in sys.modules if any(part in m for part in "
        "('protobuf', 'membership', 'address_failover', 'emulator', 'sqlite3', 'config.operator'))])"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert process.stdout.strip() == "[]"
