"""How the proxy is created from its own file and the operator's file."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from saltcourse.app.proxy import ProxyProgram
from saltcourse.config import ConfigError
from tests.config.operator_files import EXAMPLE, write_operator_file, write_proxy_config

GOSSIP = """gossip {
  me: "n" listen: "127.0.0.1:7002" region: "r" zone: "z" role: CONTROL key_file: "key"
  voter { name: "v" address: "127.0.0.1:7003" }
}
"""
PRINT_MODULES = """
import sys
from saltcourse.app.proxy import ProxyProgram
ProxyProgram(sys.argv[1], None, {})
print(*sys.modules)
"""


def test_without_an_operators_file_no_optional_module_is_imported(tmp_path: Path) -> None:
    path = write_proxy_config(tmp_path, peers=False)
    program = ProxyProgram(path, None, {})
    assert program.operator is None
    process = subprocess.run(
        [sys.executable, "-c", PRINT_MODULES, path],
        capture_output=True,
        text=True,
        check=True,
        cwd=EXAMPLE.parent.parent,
    )
    optional = (
        "google",
        "pathlib",
        "sqlite3",
        "saltcourse.gossip",
        "saltcourse.address_failover",
        "saltcourse.admin",
    )
    assert [name for name in process.stdout.split() if name.startswith(optional)] == []


def test_the_shared_state_section_is_part_of_the_settings(tmp_path: Path) -> None:
    path = write_proxy_config(tmp_path, peers=True)
    operator = write_operator_file(tmp_path, "fleet { term_s: 3 }")
    assert ProxyProgram(path, None, {}).config.settings.shared_state.lease_term == 12
    assert ProxyProgram(path, str(operator), {}).config.settings.shared_state.lease_term == 3


@pytest.mark.parametrize(
    ("text", "section"), [("fleet {}", "fleet"), (GOSSIP, "gossip"), ("fleet {}\n" + GOSSIP, "fleet")]
)
def test_sections_are_rejected_if_the_deployment_forbids_traffic_between_proxies(
    text: str, section: str, tmp_path: Path
) -> None:
    path = write_proxy_config(tmp_path, peers=False)
    operator = write_operator_file(tmp_path, text)
    with pytest.raises(ConfigError, match=rf"^{section}: .*'settings\.limits\.peers'"):
        ProxyProgram(path, str(operator), {})


def test_a_proxy_rejects_the_role_of_a_control_member(tmp_path: Path) -> None:
    path = write_proxy_config(tmp_path, peers=True)
    program = ProxyProgram(path, str(write_operator_file(tmp_path, GOSSIP)), {})
    with pytest.raises(ConfigError, match="gossip.role: must be PROXY for a proxy"):
        program.run()
