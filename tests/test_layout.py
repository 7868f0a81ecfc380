"""How the modules of saltcourse may import each other: downwards between floors, and never in a cycle.

The source is parsed, not imported: imports inside functions and those for type checking alone count as well.
"""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "saltcourse"
ENTRY, WIRING, HOSTS, CHOICES, TYPES = 4, 3, 2, 1, 0  # floors, the lowest is 0
BESIDE = 5  # may import everything; nothing on the floors imports it
FLOORS = {  # of a module, or of all of a package; the longest name that fits counts
    "saltcourse": ENTRY,  # the package's own file: the version, and the module when it is asked for
    "saltcourse.__main__": ENTRY,
    "saltcourse.cli": ENTRY,
    "saltcourse.simulator_adapter": ENTRY,
    "saltcourse.app": WIRING,
    "saltcourse.proxy": HOSTS,
    "saltcourse.admin": HOSTS,
    "saltcourse.address_failover": HOSTS,
    "saltcourse.gossip.admin": HOSTS,
    "saltcourse.gossip.event_log": HOSTS,
    "saltcourse.gossip.host": HOSTS,
    "saltcourse.gossip.store": HOSTS,
    "saltcourse.balancing": CHOICES,
    "saltcourse.shared_state": CHOICES,
    "saltcourse.gossip": CHOICES,
    "saltcourse.address_failover.bgp_session": CHOICES,
    "saltcourse.address_failover.election": CHOICES,
    "saltcourse.address_failover.grants": CHOICES,
    "saltcourse.address_failover.promises": CHOICES,
    "saltcourse.balancing.actions": TYPES,
    "saltcourse.balancing.events": TYPES,
    "saltcourse.balancing.settings": TYPES,
    "saltcourse.config": TYPES,
    "saltcourse.codec": TYPES,
    "saltcourse.schema": TYPES,
    "saltcourse.boottime": TYPES,
    "saltcourse.signals": TYPES,
    "saltcourse.metrics": TYPES,
    "saltcourse.shared_state.codec": TYPES,
    "saltcourse.shared_state.errors": TYPES,
    "saltcourse.shared_state.messages": TYPES,
    "saltcourse.shared_state.short_names": TYPES,
    "saltcourse.gossip.errors": TYPES,
    "saltcourse.gossip.fields": TYPES,  # the codec of records
    "saltcourse.gossip.messages": TYPES,
    "saltcourse.gossip.settings": TYPES,
    "saltcourse.address_failover.actions": TYPES,
    "saltcourse.address_failover.authentication": TYPES,  # the codec of signed messages and keys
    "saltcourse.address_failover.errors": TYPES,
    "saltcourse.address_failover.events": TYPES,
    "saltcourse.address_failover.message_codec": TYPES,
    "saltcourse.address_failover.messages": TYPES,
    "saltcourse.address_failover.replay_window": TYPES,
    "saltcourse.address_failover.roles": TYPES,
    "saltcourse.address_failover.terms": TYPES,
    "saltcourse.address_failover.timing": TYPES,
    "saltcourse.address_failover.vote": TYPES,
    "saltcourse.address_failover.voters": TYPES,
    "saltcourse.emulator": BESIDE,
}
ROOT = "saltcourse"  # its floor is its own file's alone: a new module or package below it names its own

Imports = dict[str, set[str]]  # module -> modules of the same package that it imports


def modules_of(package: Path) -> dict[str, Path]:
    """The package's modules by their dotted names; a package's own file has the package's name."""
    found = {}
    for path in package.rglob("*.py"):
        parts = path.relative_to(package.parent).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported_names(module: str, path: Path) -> set[str]:
    """Dotted names that a module imports, each with the names taken from it as if they were modules."""
    names = set()
    package = module.split(".") if path.name == "__init__.py" else module.split(".")[:-1]
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            above = package[: len(package) - node.level + 1] if node.level else []
            origin = ".".join([*above, *([node.module] if node.module else [])])
            names |= {f"{origin}.{alias.name}" for alias in node.names}
    return names


def imports_of(package: Path) -> Imports:
    modules = modules_of(package)

    def module_in(name: str) -> str | None:
        while name and name not in modules:
            name = name.rpartition(".")[0]
        return name or None

    found: Imports = {}
    for module, path in modules.items():
        targets = {module_in(name) for name in imported_names(module, path)}
        found[module] = {target for target in targets if target is not None} - {module}
    return found


def import_cycles(imports: Imports) -> list[list[str]]:
    """Groups of modules of which each imports every other one, directly or not."""
    reach: Imports = {module: set(targets) for module, targets in imports.items()}
    grown = True
    while grown:
        grown = False
        for targets in reach.values():
            further = set().union(*[reach[target] for target in targets]) - targets
            targets |= further
            grown = grown or bool(further)
    groups = {
        frozenset([module, *[other for other in targets if module in reach[other]]])
        for module, targets in reach.items()
        if module in targets
    }
    return sorted(sorted(group) for group in groups)


def floor_of(module: str) -> int | None:
    if module in FLOORS:
        return FLOORS[module]
    package = module.rpartition(".")[0]
    return floor_of(package) if package and package != ROOT else None


def upward_imports(imports: Imports) -> list[str]:
    """Imports of a higher floor from a lower one, and modules that stand on no floor."""
    found = [f"{module} stands on no floor" for module in imports if floor_of(module) is None]
    for module, targets in imports.items():
        for target in targets:
            low, high = floor_of(module), floor_of(target)
            if low is not None and high is not None and low < high:
                found.append(f"{module} imports {target}")
    return sorted(found)


def test_no_modules_import_each_other() -> None:
    assert import_cycles(imports_of(PACKAGE)) == []


def test_imports_run_downwards_between_floors() -> None:
    assert upward_imports(imports_of(PACKAGE)) == []


def test_each_entry_of_the_floors_names_a_module() -> None:
    """So that the table keeps up with renames."""
    assert set(FLOORS) <= set(modules_of(PACKAGE))


@pytest.mark.parametrize(
    ("sources", "cycles", "upward"),
    [
        (
            {
                "proxy/a.py": "from saltcourse.proxy.b import B",
                "proxy/b.py": "from saltcourse.proxy import a",
            },
            [["saltcourse.proxy.a", "saltcourse.proxy.b"]],
            [],
        ),
        (
            {
                "proxy/a.py": "import saltcourse.proxy.b\n",
                "proxy/b.py": "if TYPE_CHECKING:\n    from saltcourse.proxy.c import C",
                "proxy/c.py": "def late():\n    from . import a",
            },
            [["saltcourse.proxy.a", "saltcourse.proxy.b", "saltcourse.proxy.c"]],
            [],
        ),
        (
            {"balancing/a.py": "from saltcourse.proxy.a import A", "proxy/a.py": ""},
            [],
            ["saltcourse.balancing.a imports saltcourse.proxy.a"],
        ),
        (
            {
                "proxy/a.py": "from ..emulator import simnet",
                "emulator/simnet.py": "import saltcourse.proxy.b",
                "proxy/b.py": "from ..balancing.a import Balancer",
                "balancing/a.py": "import saltcourse_other.net",
            },
            [],
            ["saltcourse.proxy.a imports saltcourse.emulator.simnet"],
        ),
        ({"attic.py": ""}, [], ["saltcourse.attic stands on no floor"]),
    ],
)
def test_what_breaks_the_rules_is_found(
    tmp_path: Path, sources: dict[str, str], cycles: list[list[str]], upward: list[str]
) -> None:
    package = tmp_path / "saltcourse"
    empty = {
        "__init__.py": "",
        "proxy/__init__.py": "",
        "balancing/__init__.py": "",
        "emulator/__init__.py": "",
    }
    for name, source in (empty | sources).items():
        path = package / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(source)
    imports = imports_of(package)
    assert (import_cycles(imports), upward_imports(imports)) == (cycles, upward)
