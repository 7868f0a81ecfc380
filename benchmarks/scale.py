"""Benchmark of control traffic by fleet size: ``python benchmarks/scale.py [--quick] [--sizes 30,120]``.

The gossip (or mesh) code of a whole fleet runs with many members per worker process and exchanges real UDP
datagrams on loopback, under the delays, losses and failures of a scenario file. Some real proxies take part.
The results are computed from what the members recorded; docs/measurements/scale.md defines each of them. The
last line is one JSON object with flat keys; keys of the mesh begin with ``mesh_``.
"""

from __future__ import annotations

import json
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor, wait
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import click

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from saltcourse.config import ConfigError  # noqa: E402
from saltcourse.emulator.scale.evaluation.evaluate import evaluate  # noqa: E402
from saltcourse.emulator.scale.evaluation.metrics import RunMetrics  # noqa: E402
from saltcourse.emulator.scale.mechanisms import GOSSIP, MESH, member_class  # noqa: E402
from saltcourse.emulator.scale.records import read_records  # noqa: E402
from saltcourse.emulator.scale.report import chart, flat_metrics, table  # noqa: E402
from saltcourse.emulator.scale.runner import RealProcesses, RunError, RunPlan, execute_run  # noqa: E402
from saltcourse.emulator.scale.scenario import Scenario  # noqa: E402
from saltcourse.emulator.scale.scenario_file import read_scenario  # noqa: E402

SCENARIOS = ROOT / "benchmarks" / "scenarios"
WORKERS = 7  # processes in total; runs at the same time share them
REAL_PROXIES, REAL_PROXIES_QUICK = 8, 2
PROGRESS_INTERVAL = 5.0  # seconds between progress lines if stderr is not a terminal
TERMINAL_PROGRESS_INTERVAL = 0.2  # seconds
EXIT_FAILED, EXIT_USAGE, EXIT_INTERRUPTED = 1, 2, 130


@dataclass(frozen=True, slots=True)
class Options:
    """The command-line options."""

    quick: bool
    only_json: bool
    seed: int
    sizes: tuple[int, ...] | None
    path: Path | None
    mechanism: str
    real: int | None
    chart_path: Path | None
    keep: Path | None

    @property
    def mechanisms(self) -> list[str]:
        return [MESH, GOSSIP] if self.mechanism == "both" else [self.mechanism]

    @property
    def real_proxies(self) -> int:
        if self.real is not None:
            return self.real
        return REAL_PROXIES_QUICK if self.quick else REAL_PROXIES


class Progress:
    """Shows the progress of all runs on stderr: one line, which is redrawn if stderr is a terminal."""

    def __init__(self, quiet: bool) -> None:
        self._quiet = quiet
        self._shares: dict[str, float] = {}
        self._shown_at = 0.0
        self._lock = threading.Lock()

    def reporter(self, name: str) -> Callable[[float], None]:
        """Return a function that reports the completed share (0 to 1) of the run ``name``."""

        def report(share: float) -> None:
            with self._lock:
                self._shares[name] = share
                self._show()

        return report

    def _show(self) -> None:
        terminal = sys.stderr.isatty()
        now = time.monotonic()
        if self._quiet or now < self._shown_at + (
            TERMINAL_PROGRESS_INTERVAL if terminal else PROGRESS_INTERVAL
        ):
            return
        self._shown_at = now
        text = "   ".join(f"{name} {share:4.0%}" for name, share in self._shares.items() if share < 1.0)
        print(
            f"\r\x1b[K{text}" if terminal else text, end="" if terminal else "\n", file=sys.stderr, flush=True
        )

    def clear(self) -> None:
        """Clear the line if stderr is a terminal."""
        if not self._quiet and sys.stderr.isatty():
            print("\r\x1b[K", end="", file=sys.stderr, flush=True)


def run_one(
    plan: RunPlan, folder: Path, stop: threading.Event, progress: Callable[[float], None]
) -> RunMetrics:
    real = start_real() if plan.real else None
    records = execute_run(plan, folder, stop, progress, real)
    return evaluate(
        plan.mechanism, plan.seed, records.topology, records.timeline, read_records(records.paths)
    )


def start_real() -> RealProcesses:
    from scale_real import RealFleet

    return RealFleet()


def run_in_parallel(
    plans: Sequence[RunPlan], parallel_runs: int, progress: Progress, folder: Path
) -> list[RunMetrics]:
    """Return the metrics in the order of ``plans``; a failed run is reported on stderr and omitted."""
    stop = threading.Event()
    metrics: list[RunMetrics] = []
    with ThreadPoolExecutor(parallel_runs) as pool:
        futures: list[Future[RunMetrics]] = [
            pool.submit(run_one, plan, folder, stop, progress.reporter(f"{plan.mechanism} {plan.size}"))
            for plan in plans
        ]
        try:
            wait(futures)
        except KeyboardInterrupt:
            stop.set()
            pool.shutdown(cancel_futures=True)
            raise
    progress.clear()
    for plan, future in zip(plans, futures, strict=True):
        error = future.exception()
        if error is None:
            metrics.append(future.result())
        elif isinstance(error, RunError):
            print(f"{plan.mechanism} {plan.size}: {error}", file=sys.stderr)
        else:
            raise error
    return metrics


def build_plans(scenario: Scenario, mechanisms: Sequence[str], seed: int, real: int) -> list[RunPlan]:
    """Return one plan per mechanism and fleet size.

    If the sizes run in parallel, they share the workers, and only the largest one includes real proxies.
    """
    with_real = scenario.sizes[-1:] if scenario.sizes_at_once else scenario.sizes
    workers = max(1, WORKERS // len(scenario.sizes)) if scenario.sizes_at_once else WORKERS
    return [
        RunPlan(
            mechanism,
            scenario,
            size,
            seed,
            workers,
            real=real if mechanism == GOSSIP and size in with_real else 0,
        )
        for mechanism in mechanisms
        for size in scenario.sizes
    ]


def parse_sizes(
    _context: click.Context, _parameter: click.Parameter, text: str | None
) -> tuple[int, ...] | None:
    if text is None:
        return None
    try:
        sizes = tuple(int(part) for part in text.split(","))
    except ValueError:
        raise click.BadParameter(
            f"{text!r} is not a comma-separated list of integers such as 30,60,120"
        ) from None
    if not sizes or min(sizes) < 2 or max(sizes) > 2_000:
        raise click.BadParameter(f"{text!r}: each size must be from 2 to 2000")
    return sizes


@click.command()
@click.option("--quick", is_flag=True, help="30, 60 and 120 proxies and short phases; takes under 40 s.")
@click.option("--json", "only_json", is_flag=True, help="Print the JSON object only.")
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option(
    "--sizes",
    callback=parse_sizes,
    help="Fleet sizes, which replace those of the scenario, such as 30,60,120.",
)
@click.option(
    "--scenario",
    "path",
    type=click.Path(path_type=Path),
    help="Scenario file in the format of saltcourse/schema/scenario.proto.",
)
@click.option("--mechanism", type=click.Choice([GOSSIP, MESH, "both"]), default=GOSSIP, show_default=True)
@click.option(
    "--chart",
    "chart_path",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Write a chart to this file.",
)
@click.option(
    "--real",
    type=click.IntRange(0, 32),
    help="Number of real proxies in a gossip run; default 8, with --quick 2.",
)
@click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    help="Keep the recorded events in this folder.",
)
def main(**values: Any) -> None:
    """Measure the cost of control traffic per proxy and the speed of dissemination by fleet size."""
    options = Options(**values)
    scenario = load_scenario(options)
    plans = build_plans(scenario, options.mechanisms, options.seed, options.real_proxies)
    began = time.monotonic()
    try:
        runs = run_plans(plans, scenario, options)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    if not options.only_json and runs:
        print(table(runs))
    if options.chart_path is not None and runs:
        write_chart(runs, options.chart_path)
    run_info = {"seed": options.seed, "took_s": round(time.monotonic() - began, 1)}
    print(json.dumps(flat_metrics(runs) | run_info))
    if len(runs) < len(plans):
        sys.exit(EXIT_FAILED)


def load_scenario(options: Options) -> Scenario:
    """Return the scenario with its fleet sizes; exit with code 2 if it or a mechanism cannot be used."""
    path = options.path or SCENARIOS / ("quick.txtpb" if options.quick else "ordinary.txtpb")
    try:
        scenario = read_scenario(path)
        for name in options.mechanisms:
            member_class(name)
    except ConfigError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except ImportError as error:
        print(f"--mechanism {options.mechanism}: not available in this version ({error})", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return replace(scenario, sizes=options.sizes) if options.sizes else scenario


def run_plans(plans: Sequence[RunPlan], scenario: Scenario, options: Options) -> list[RunMetrics]:
    """Run the mechanisms one after another, so that they do not compete for cores."""
    runs: list[RunMetrics] = []
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        parallel_runs = len(scenario.sizes) if scenario.sizes_at_once else 1
        for name in options.mechanisms:
            mechanism_plans = [plan for plan in plans if plan.mechanism == name]
            runs += run_in_parallel(mechanism_plans, parallel_runs, Progress(options.only_json), folder)
    return runs


def write_chart(runs: Sequence[RunMetrics], path: Path) -> None:
    try:
        chart(runs, path)
    except ImportError:
        print("--chart needs matplotlib: pip install -r requirements-bench.txt", file=sys.stderr)


if __name__ == "__main__":
    main()
