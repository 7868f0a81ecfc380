"""What today's program costs, as slopes: ``python benchmarks/slopes.py [--quick] [--json] [--save FILE]``.

Each cost is measured at three or more sizes, and a straight line is fitted through them by least squares; the
repetitions give the spread. The data path is the real ``saltcourse serve`` on loopback, with push servers in
a process of their own; its CPU and memory are read from ``/proc``. A bare pass-through of bytes in asyncio,
played the same in the same run, is the control. The other costs are taken by driving the module and the
fleet's core directly. ``benchmarks/capacity.py`` reads what ``--save`` writes. The last line is one JSON
object: for each slope its middle, and ``_low`` and ``_high`` over the repetitions.
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
    """The commit that was measured; ``+`` where the program differs from it."""

    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=ROOT, text=True, capture_output=True).stdout.strip()

    return git("rev-parse", "--short", "HEAD") + ("+" if git("status", "--porcelain", "saltcourse") else "")


def measure(sizes: Sizes, report_progress: Callable[[str], None]) -> Results:
    results = Results()
    parts: dict[str, Callable[[], None]] = {
        "data path": lambda: measure_data_path(results, sizes),
        "datagrams": lambda: measure_datagrams(results, sizes),
        "module": lambda: measure_module(results, sizes),
        "groups": lambda: measure_groups(results, sizes),
    }
    for repetition in range(sizes.repetitions):
        for name, work in parts.items():
            began = time.monotonic()
            work()
            report_progress(f"repetition {repetition + 1}, {name}: {time.monotonic() - began:.0f} s")
    began = time.monotonic()
    measure_mesh(results, sizes)
    report_progress(f"mesh, all repetitions: {time.monotonic() - began:.0f} s")
    return results


def kept(results: Results, command: str) -> dict[str, Any]:
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
@click.option("--quick", is_flag=True, help="Small sizes, within 40 s.")
@click.option("--json", "only", is_flag=True, help="Only the last line.")
@click.option("--save", metavar="FILE", help="Keep all values for benchmarks/capacity.py.")
@click.option("--role", type=click.Choice(["push-servers", "pass-through"]), hidden=True)
@click.option("--port", type=int, default=0, hidden=True)
def main(quick: bool, only: bool, save: str | None, role: str | None, port: int) -> None:
    """Measure what today's program costs, as slopes."""
    if role is not None:
        asyncio.run(serve_push_servers() if role == "push-servers" else serve_pass_through(port))
        return
    results = measure(QUICK if quick else Sizes(), (lambda _: None) if only else click.echo)
    if save:
        command = "python benchmarks/slopes.py" + (" --quick" if quick else "")
        Path(save).write_text(json.dumps(kept(results, command), indent=1) + "\n")
    if not only:
        for name, slope in results.slopes.items():
            middle, low, high = slope.summary()
            click.echo(f"{name:28} {middle:10.4g} ({low:.4g} to {high:.4g}) {slope.unit} per {slope.per}")
    click.echo(json.dumps(results.flat()))


if __name__ == "__main__":
    main()
