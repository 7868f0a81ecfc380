"""The installed package: a wheel of this checkout, installed in a new environment outside the checkout."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import venv
import zipfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
NOT_COPIED = shutil.ignore_patterns(
    ".git",
    ".venv*",
    "build",
    "found",
    "logs",
    "journal",
    "*.egg-info",
    "__pycache__",
    ".*_cache",
    ".hypothesis",
)
EXTRAS = "membership,gossip"  # extras that modules of the package need
NEEDS_EXTRA = (
    "saltcourse.schema.",
    "saltcourse.app.address_failover.",
    "saltcourse.app.control_member.",
    "saltcourse.app.gossip.",
    "saltcourse.app.witness.",
    "saltcourse.config.operator",
    "saltcourse.address_failover.",
    "saltcourse.gossip.",
    "saltcourse.emulator.scale.scenario_file.",
)
DEPENDENCY_OF_THE_EXTRAS = "google"  # top-level package that they need
SCALE_MODULES = ("matplotlib", "psutil", "hdrh", "rich")  # modules of the extra 'scale'
STEP_TIMEOUT_SECONDS = 300.0  # the longest step downloads packages from the index

IMPORT_EVERYTHING = """
import importlib, json, pkgutil, saltcourse
failed = {}
for module in pkgutil.walk_packages(saltcourse.__path__, "saltcourse.", onerror=lambda name: None):
    try:
        importlib.import_module(module.name)
    except ModuleNotFoundError as missing:
        failed[module.name] = missing.name
print(json.dumps([saltcourse.__file__, failed]))
"""
LIST_COMMANDS = """
import json, click
from saltcourse.cli.main import main
def paths(command, path):
    yield path
    if isinstance(command, click.Group):
        context = click.Context(command)
        for name in command.list_commands(context):
            yield from paths(command.get_command(context, name), [*path, name])
print(json.dumps(list(paths(main, []))))
"""
RECORD_HOLD_CALLS = """
import json, sys
from saltcourse import signals
held_before_imports = []
hold = signals.hold
def recording_hold():
    held_before_imports.append("click" not in sys.modules)
    hold()
signals.hold = recording_hold
sys.argv = ["saltcourse", "version"]
try:
    {start}
except SystemExit:
    pass
print(json.dumps(held_before_imports))
"""
START_COMMAND = (
    "__import__('importlib.metadata').metadata.entry_points("
    "group='console_scripts', name='saltcourse')['saltcourse'].load()()"
)
START_MODULE = "__import__('runpy').run_module('saltcourse', run_name='__main__')"


@dataclass(frozen=True)
class Installed:
    """A virtual environment with the installed package, outside the checkout."""

    folder: Path  # working directory of commands, outside the checkout
    wheel: Path

    def run(self, *command: str) -> str:
        """Run a command of the environment, which must succeed, and return its standard output."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(("PYTHON", "EDGE_", "SALTCOURSE"))
        }
        process = subprocess.run(
            [str(self.folder / "venv" / "bin" / command[0]), *command[1:]],
            cwd=self.folder,
            env=environment,
            capture_output=True,
            text=True,
            timeout=STEP_TIMEOUT_SECONDS,
        )
        assert process.returncode == 0, f"{command}: exit {process.returncode}: {process.stderr}"
        return process.stdout

    def imports(self) -> dict[str, str]:
        """Map each module that cannot be imported to the missing module."""
        origin, failed = json.loads(self.run("python", "-c", IMPORT_EVERYTHING))
        assert Path(origin).is_relative_to(self.folder)
        return dict(failed)


def pip(*arguments: str) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "pip", "--disable-pip-version-check", *arguments],
        capture_output=True,
        text=True,
        timeout=STEP_TIMEOUT_SECONDS,
    )
    assert process.returncode == 0, process.stderr


def install(folder: Path, wheel: Path, extras: str) -> None:
    """Install the package with its dependencies, in the versions that this checkout is tested with."""
    pins = [
        line
        for name in ("requirements.txt", "requirements-dev.txt")
        for line in (ROOT / name).read_text().splitlines()
        if not line.startswith("-")
    ]
    constraints = folder / "constraints.txt"
    constraints.write_text("\n".join(pins))
    pip(
        "--python",
        str(folder / "venv" / "bin" / "python"),
        "install",
        "-q",
        "-c",
        str(constraints),
        f"{wheel}{extras}",
    )


@pytest.fixture(scope="module")
def plain(tmp_path_factory: pytest.TempPathFactory) -> Installed:
    """An installation without extras."""
    folder = tmp_path_factory.mktemp("plain")
    source = folder / "source"
    shutil.copytree(ROOT, source, ignore=NOT_COPIED)
    pip("wheel", "-q", "--no-deps", "--wheel-dir", str(folder), str(source))
    (wheel,) = folder.glob("*.whl")
    venv.create(folder / "venv")
    install(folder, wheel, "")
    return Installed(folder, wheel)


@pytest.fixture(scope="module")
def extended(plain: Installed, tmp_path_factory: pytest.TempPathFactory) -> Installed:
    """An installation with the extras."""
    folder = tmp_path_factory.mktemp("extended")
    venv.create(folder / "venv")
    install(folder, plain.wheel, f"[{EXTRAS}]")
    return Installed(folder, plain.wheel)


def test_the_wheel_contains_exactly_the_modules_of_the_checkout(plain: Installed) -> None:
    wanted = {str(path.relative_to(ROOT)) for path in (ROOT / "saltcourse").rglob("*.py")}
    with zipfile.ZipFile(plain.wheel) as wheel:
        found = {name for name in wheel.namelist() if ".dist-info/" not in name}
    assert {name for name in found if name.endswith(".py")} == wanted
    assert all(name.startswith("saltcourse/") for name in found)


def test_every_module_can_be_imported_unless_it_needs_an_extra(plain: Installed, extended: Installed) -> None:
    failed = plain.imports()
    assert set(failed.values()) <= {DEPENDENCY_OF_THE_EXTRAS}
    assert [name for name in failed if not (name + ".").startswith(NEEDS_EXTRA)] == []
    assert extended.imports() == {}


def test_the_command_and_the_module_print_the_same_version(plain: Installed) -> None:
    by_command = plain.run("saltcourse", "version")
    assert by_command.startswith("saltcourse ")
    assert by_command == plain.run("python", "-m", "saltcourse", "version")


def test_each_command_has_help(extended: Installed) -> None:
    paths: list[Sequence[str]] = json.loads(extended.run("python", "-c", LIST_COMMANDS))
    assert ["version"] in paths and ["serve"] in paths
    for path in paths:
        assert "Usage: saltcourse" in extended.run("saltcourse", *path, "--help")


def test_check_config_accepts_the_example_without_extras(plain: Installed) -> None:
    example = shutil.copy(ROOT / "example" / "config.json", plain.folder)
    assert "listens on" in plain.run("saltcourse", "check-config", "--config", str(example))


@pytest.mark.parametrize("start", [START_COMMAND, START_MODULE], ids=["command", "module"])
def test_signals_are_held_before_the_long_imports(plain: Installed, start: str) -> None:
    output = plain.run("python", "-c", RECORD_HOLD_CALLS.replace("{start}", start))
    assert json.loads(output.splitlines()[-1]) == [True]


def test_the_proxy_does_not_import_modules_of_the_scale_extra() -> None:
    script = "import sys, saltcourse.cli.main, saltcourse.proxy.server; print(*sys.modules)"
    process = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, cwd=ROOT, timeout=STEP_TIMEOUT_SECONDS
    )
    assert process.returncode == 0, process.stderr
    assert not {name.partition(".")[0] for name in process.stdout.split()} & set(SCALE_MODULES)
