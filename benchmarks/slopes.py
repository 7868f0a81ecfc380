"""Benchmark of unit costs: ``python benchmarks/slopes.py [--quick] [--json] [--save FILE]``.

Each cost (CPU time or memory per connection, line, set-up, placement, peer ...) is measured at three or more
sizes, and the slope of a least-squares line is the unit cost. The whole measurement is repeated, which gives
the spread.

- Data path: ``saltcourse serve`` runs on loopback with push servers in a separate process. Its CPU time and
  memory are read from ``/proc``. The control is a plain asyncio relay under the same load in the same run.
- Balancer and shared state: the classes are driven directly, without a proxy process.

``--save`` writes all values to a file that ``benchmarks/capacity.py`` reads. The last line is one JSON
object: for each slope its median, and its lowest and highest value (``_low``, ``_high``) of all repetitions.
"""

from __future__ import annotations

import asyncio
import json
import os
import platform
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "example"), str(ROOT / "benchmarks")]

from slopes_data_path import measure_data_path, serve_pass_through, serve_push_servers  # noqa: E402
from slopes_mesh import measure_datagrams, measure_mesh  # noqa: E402
from slopes_module import measure_groups, measure_module  # noqa: E402
from slopes_results import QUICK, Results, Sizes  # noqa: E402


def commit() -> str:
    """Return the short commit hash, with ``+`` appended if the package has uncommitted changes."""

    def git(*arguments: str) -> str:
        return subprocess.run(["git", *arguments], cwd=ROOT, text=True, capture_output=True).stdout.strip()

    return git("rev-parse", "--short", "HEAD") + ("+" if git("status", "--porcelain", "saltcourse") else "")


def measure(sizes: Sizes, report_progress: Callable[[str], None]) -> Results:
    results = Results()
    steps: dict[str, Callable[[], None]] = {
        "data path": lambda: measure_data_path(results, sizes),
        "datagrams": lambda: measure_datagrams(results, sizes),
        "module": lambda: measure_module(results, sizes),
        "groups": lambda: measure_groups(results, sizes),
    }
    for repetition in range(sizes.repetitions):
        for name, measure_step in steps.items():
            began = time.monotonic()
            measure_step()
            report_progress(f"repetition {repetition + 1}, {name}: {time.monotonic() - began:.0f} s")
    began = time.monotonic()
    measure_mesh(results, sizes)
    report_progress(f"mesh, all repetitions: {time.monotonic() - began:.0f} s")
    return results


def saved_values(results: Results, command: str) -> dict[str, Any]:
    """Return the contents of the file that ``--save`` writes."""
    return {
        "command": command,
        "commit": commit(),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "machine": platform.machine(),
        "repetitions": len(next(iter(results.slopes.values())).values),
        "slopes": {name: asdict(slope) for name, slope in results.slopes.items()},
    }


@click.command()
@click.option("--quick", is_flag=True, help="Small sizes; takes under 40 s.")
@click.option("--json", "only_json", is_flag=True, help="Print the JSON object only.")
@click.option("--save", metavar="FILE", help="Write all values to FILE, for benchmarks/capacity.py.")
@click.option("--role", type=click.Choice(["push-servers", "pass-through"]), hidden=True)
@click.option("--port", type=int, default=0, hidden=True)
def main(quick: bool, only_json: bool, save: str | None, role: str | None, port: int) -> None:
    """Measure the unit costs of the proxy as slopes over size."""
    if role is not None:
        asyncio.run(serve_push_servers() if role == "push-servers" else serve_pass_through(port))
        return
    results = measure(QUICK if quick else Sizes(), (lambda _: None) if only_json else click.echo)
    if save:
        command = "python benchmarks/slopes.py" + (" --quick" if quick else "")
        Path(save).write_text(json.dumps(saved_values(results, command), indent=1) + "\n")
    if not only_json:
        for name, slope in results.slopes.items():
            median, low, high = slope.summary()
            click.echo(f"{name:28} {median:10.4g} ({low:.4g} to {high:.4g}) {slope.unit} per {slope.per}")
    click.echo(json.dumps(results.flat()))


if __name__ == "__main__":
    main()
