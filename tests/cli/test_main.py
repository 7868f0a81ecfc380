"""What the command line imports before a command needs it."""

from __future__ import annotations

import subprocess
import sys


def test_without_an_operators_file_nothing_of_it_is_imported() -> None:
    code = (
        "import sys, saltcourse.cli.main; print([m for m in sys.modules if any(w in m for w in "
        "('protobuf', 'membership', 'address_failover', 'emulator', 'sqlite3', 'config.operator'))])"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"
