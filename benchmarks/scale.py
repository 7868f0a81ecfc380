"""What control costs as the fleet grows: ``python benchmarks/scale.py [--quick] [--json] [--sizes 30,120]``.

The program's own cores, many to a worker process, exchange real UDP datagrams on loopback, through the
delays, losses and failures of a scenario file; the run is evaluated by what the receivers recorded.
docs/measurements/scale.md says how each figure comes about. The last line is one JSON object with flat keys;
keys of the mesh begin with ``mesh_``.
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
WORKERS = 7  # processes in all
REAL, REAL_QUICK = 8, 2  # real proxies
PROGRESS_INTERVAL = 5.0  # s between lines where there is no terminal
EXIT_FAILED, EXIT_USAGE, EXIT_INTERRUPTED = 1, 2, 130


@dataclass(frozen=True, slots=True)
class Options:
    """The command line."""

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
        return REAL_QUICK if self.quick else REAL


class Progress:
    """One line for each run: drawn anew on a terminal, now and then elsewhere."""

    def __init__(self, quiet: bool) -> None:
        self._quiet = quiet
        self._shares: dict[str, float] = {}
        self._shown = 0.0
        self._lock = threading.Lock()

    def of(self, name: str) -> Callable[[float], None]:
        def show(share: float) -> None:
            with self._lock:
                self._shares[name] = share
                self._show()

        return show

    def _show(self) -> None:
        terminal = sys.stderr.isatty()
        now = time.monotonic()
        if self._quiet or now < self._shown + (0.2 if terminal else PROGRESS_INTERVAL):
            return
        self._shown = now
        text = "   ".join(f"{name} {share:4.0%}" for name, share in self._shares.items() if share < 1.0)
        print(
            f"\r\x1b[K{text}" if terminal else text, end="" if terminal else "\n", file=sys.stderr, flush=True
        )

    def end(self) -> None:
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


def run_all(plans: Sequence[RunPlan], at_once: int, progress: Progress, folder: Path) -> list[RunMetrics]:
    """Metrics in the order of the plans; a failed run is reported on stderr and left out."""
    stop = threading.Event()
    found: list[RunMetrics] = []
    with ThreadPoolExecutor(at_once) as pool:
        futures: list[Future[RunMetrics]] = [
            pool.submit(run_one, plan, folder, stop, progress.of(f"{plan.mechanism} {plan.size}"))
            for plan in plans
        ]
        try:
            wait(futures)
        except KeyboardInterrupt:
            stop.set()
            pool.shutdown(cancel_futures=True)
            raise
    progress.end()
    for plan, future in zip(plans, futures, strict=True):
        error = future.exception()
        if error is None:
            found.append(future.result())
        elif isinstance(error, RunError):
            print(f"{plan.mechanism} {plan.size}: {error}", file=sys.stderr)
        else:
            raise error
    return found


def build_plans(scenario: Scenario, mechanisms: Sequence[str], seed: int, real: int) -> list[RunPlan]:
    """Where sizes run at once, each has its part of the workers, and only the largest has real proxies."""
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
        raise click.BadParameter("numbers with commas between them, such as 30,60,120") from None
    if not sizes or min(sizes) < 2 or max(sizes) > 2_000:
        raise click.BadParameter("each from 2 to 2000")
    return sizes


@click.command()
@click.option("--quick", is_flag=True, help="30, 60 and 120 proxies and short phases, under 40 s in all.")
@click.option("--json", "only_json", is_flag=True, help="Print the JSON object only.")
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--sizes", callback=parse_sizes, help="Proxies of each run, in place of the scenario's.")
@click.option(
    "--scenario", "path", type=click.Path(path_type=Path), help="A file of saltcourse/schema/scenario.proto."
)
@click.option("--mechanism", type=click.Choice([GOSSIP, MESH, "both"]), default=GOSSIP, show_default=True)
@click.option(
    "--chart", "chart_path", type=click.Path(path_type=Path, dir_okay=False), help="Draw one to this file."
)
@click.option(
    "--real", type=click.IntRange(0, 32), help="Real proxies beside them; default 8, with --quick 2."
)
@click.option(
    "--keep", type=click.Path(path_type=Path, file_okay=False), help="Keep the records in this folder."
)
def main(**values: Any) -> None:
    """Measure what control costs a proxy, and how fast news gets around, over the size of the fleet."""
    options = Options(**values)
    scenario = chosen_scenario(options)
    plans = build_plans(scenario, options.mechanisms, options.seed, options.real_proxies)
    began = time.monotonic()
    try:
        runs = run_plans(plans, scenario, options)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    if not options.only_json and runs:
        print(table(runs))
    if options.chart_path is not None and runs:
        draw(runs, options.chart_path)
    took = {"seed": options.seed, "took_s": round(time.monotonic() - began, 1)}
    print(json.dumps(flat_metrics(runs) | took))
    if len(runs) < len(plans):
        sys.exit(EXIT_FAILED)


def chosen_scenario(options: Options) -> Scenario:
    """Ends the program where the file or a mechanism cannot be used."""
    path = options.path or SCENARIOS / ("quick.txtpb" if options.quick else "ordinary.txtpb")
    try:
        scenario = read_scenario(path)
        for name in options.mechanisms:
            member_class(name)
    except ConfigError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except ImportError as error:
        print(f"--mechanism {options.mechanism}: not in this version ({error})", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return replace(scenario, sizes=options.sizes) if options.sizes else scenario


def run_plans(plans: Sequence[RunPlan], scenario: Scenario, options: Options) -> list[RunMetrics]:
    """The mechanisms run one after another, never beside each other."""
    runs: list[RunMetrics] = []
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        at_once = len(scenario.sizes) if scenario.sizes_at_once else 1
        for name in options.mechanisms:
            chosen = [plan for plan in plans if plan.mechanism == name]
            runs += run_all(chosen, at_once, Progress(options.only_json), folder)
    return runs


def draw(runs: Sequence[RunMetrics], path: Path) -> None:
    try:
        chart(runs, path)
    except ImportError:
        print("no chart: pip install -r requirements-bench.txt", file=sys.stderr)


if __name__ == "__main__":
    main()
