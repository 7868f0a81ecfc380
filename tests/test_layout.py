"""Import rules: a module imports only modules of its own or a lower layer, and imports form no cycle.

The source is parsed, not imported, so imports inside functions and under TYPE_CHECKING count as well.
"""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "saltcourse"
ENTRY_POINT, COMPOSITION, IO, LOGIC, BASE = 4, 3, 2, 1, 0  # layers, 0 is the lowest
TOOLING = 5  # may import all layers; no other layer imports it
LAYERS = {  # layer of a module or of all modules in a package; the longest matching name wins
    "saltcourse": ENTRY_POINT,  # only saltcourse/__init__.py
    "saltcourse.__main__": ENTRY_POINT,
    "saltcourse.cli": ENTRY_POINT,
    "saltcourse.simulator_adapter": ENTRY_POINT,
    "saltcourse.app": COMPOSITION,
    "saltcourse.proxy": IO,
    "saltcourse.admin": IO,
    "saltcourse.address_failover": IO,
    "saltcourse.gossip.admin": IO,
    "saltcourse.gossip.event_log": IO,
    "saltcourse.gossip.host": IO,
    "saltcourse.gossip.store": IO,
    "saltcourse.balancing": LOGIC,
    "saltcourse.shared_state": LOGIC,
    "saltcourse.gossip": LOGIC,
    "saltcourse.address_failover.bgp_session": LOGIC,
    "saltcourse.address_failover.election": LOGIC,
    "saltcourse.address_failover.grants": LOGIC,
    "saltcourse.address_failover.promises": LOGIC,
    "saltcourse.balancing.actions": BASE,
    "saltcourse.balancing.events": BASE,
    "saltcourse.balancing.settings": BASE,
    "saltcourse.config": BASE,
    "saltcourse.codec": BASE,
    "saltcourse.schema": BASE,
    "saltcourse.boottime": BASE,
    "saltcourse.signals": BASE,
    "saltcourse.metrics": BASE,
    "saltcourse.shared_state.codec": BASE,
    "saltcourse.shared_state.errors": BASE,
    "saltcourse.shared_state.messages": BASE,
    "saltcourse.shared_state.short_names": BASE,
    "saltcourse.gossip.errors": BASE,
    "saltcourse.gossip.fields": BASE,  # the codec of records
    "saltcourse.gossip.messages": BASE,
    "saltcourse.gossip.settings": BASE,
    "saltcourse.address_failover.actions": BASE,
    "saltcourse.address_failover.authentication": BASE,  # the codec of signed messages and keys
    "saltcourse.address_failover.errors": BASE,
    "saltcourse.address_failover.events": BASE,
    "saltcourse.address_failover.message_codec": BASE,
    "saltcourse.address_failover.messages": BASE,
    "saltcourse.address_failover.replay_window": BASE,
    "saltcourse.address_failover.roles": BASE,
    "saltcourse.address_failover.terms": BASE,
    "saltcourse.address_failover.timing": BASE,
    "saltcourse.address_failover.vote": BASE,
    "saltcourse.address_failover.voters": BASE,
    "saltcourse.emulator": TOOLING,
}
ROOT = "saltcourse"  # its layer is not inherited: every module or package directly in it needs an entry

Imports = dict[str, set[str]]  # module -> modules of the same package that it imports


def modules_of(package: Path) -> dict[str, Path]:
    """Map the dotted name of each module to its path; ``__init__.py`` has the name of its package."""
    modules = {}
    for path in package.rglob("*.py"):
        parts = path.relative_to(package.parent).with_suffix("").parts
        modules[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return modules


def imported_names(module: str, path: Path) -> set[str]:
    """Return the dotted names that a module imports, including ``a.b`` for ``from a import b``."""
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
    """Return the groups of modules that import each other, directly or indirectly."""
    reachable: Imports = {module: set(targets) for module, targets in imports.items()}
    changed = True
    while changed:
        changed = False
        for targets in reachable.values():
            added = set().union(*[reachable[target] for target in targets]) - targets
            targets |= added
            changed = changed or bool(added)
    groups = {
        frozenset([module, *[other for other in targets if module in reachable[other]]])
        for module, targets in reachable.items()
        if module in targets
    }
    return sorted(sorted(group) for group in groups)


def layer_of(module: str) -> int | None:
    if module in LAYERS:
        return LAYERS[module]
    package = module.rpartition(".")[0]
    return layer_of(package) if package and package != ROOT else None


def upward_imports(imports: Imports) -> list[str]:
    """Return the imports of a higher layer by a lower one, and the modules without a layer."""
    violations = [f"{module} has no layer" for module in imports if layer_of(module) is None]
    for module, targets in imports.items():
        for target in targets:
            layer, target_layer = layer_of(module), layer_of(target)
            if layer is not None and target_layer is not None and layer < target_layer:
                violations.append(f"{module} imports {target}")
    return sorted(violations)


def test_imports_form_no_cycle() -> None:
    assert import_cycles(imports_of(PACKAGE)) == []


def test_no_layer_imports_a_higher_layer() -> None:
    assert upward_imports(imports_of(PACKAGE)) == []


def test_each_entry_of_the_layers_names_a_module() -> None:
    """Entries of renamed or removed modules must be updated."""
    assert set(LAYERS) <= set(modules_of(PACKAGE))


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
        ({"attic.py": ""}, [], ["saltcourse.attic has no layer"]),
    ],
)
def test_cycles_upward_imports_and_missing_layers_are_found(
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
