"""Score variation of one build over repeated runs: ``python benchmarks/spread.py [DAYS] [--quick] [--json]``.

Runs each scenario ("day") of the operators' benchmark program several times. Prints for each day the lowest,
median and highest score, the time windows in which the worst run lost most compared with the best run, and
the backends whose logged limits differ between these two runs. The last line is one JSON object.

A day is ``KIND:SEED`` (a generated day, as in ``rude+fleet:7``) or the name of a recorded one (``r71a328``).
The benchmark program is in the operators' kit, which is not part of this repository. Each lane (a run at the
same time as others) needs three otherwise idle cores. Each run leaves a snapshot in ``journal/``.
"""

from __future__ import annotations

import json
import os
import queue
import re
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter, defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

DAYS = ("rude+fleet:234388696724", "reload:838228887655", "wide+reset:70429888464", "r71a328")
QUICK_DAYS, QUICK_RUNS = DAYS[:1], 1
RUN_TIMEOUT = 180.0  # seconds; a day takes less than 30 s
CORES_PER_LANE = 3
BACKEND_LINE = re.compile(
    r'event="backend traffic" backend=(\S+) established=\d+ occupancy=([\d.]+)/([\d.]+) limits=(\S*)'
)
SUMMARY_LINE = re.compile(r"event=traffic\b")  # follows the backend lines of one summary
WINDOWS_SHOWN = 4


class NoReportError(Exception):
    """A run ended without a report; the text contains the last lines of the benchmark program's output."""


@dataclass(frozen=True)
class Run:
    """The result of one run of one day."""

    score: float
    g: float  # the value of this name in the report
    broken_rules: str
    windows: list[tuple[float, float, float]]  # (start in seconds, worth offered, worth served)
    limits: dict[str, Counter[str]]  # how often each limit was logged, by backend, over all proxies
    imbalance: float  # the largest ratio of highest to mean backend occupancy in one summary of one proxy


def read_logs(folder: Path) -> tuple[dict[str, Counter[str]], float]:
    """Return the logged limits by backend and the largest imbalance, from the log files of all proxies."""
    limits: dict[str, Counter[str]] = defaultdict(Counter)
    largest_imbalance = 0.0
    for file in sorted(folder.rglob("*.log")):
        occupancies: list[float] = []  # of the backends in the current summary
        for line in file.read_text(errors="replace").splitlines():
            found = BACKEND_LINE.search(line)
            if found:
                occupancies.append(float(found[2]))
                for limit in filter(None, found[4].split(",")):
                    limits[found[1]][limit] += 1
            elif SUMMARY_LINE.search(line):
                if sum(occupancies) > len(occupancies):
                    imbalance = max(occupancies) * len(occupancies) / sum(occupancies)
                    largest_imbalance = max(largest_imbalance, imbalance)
                occupancies = []
    return dict(limits), largest_imbalance


def read_run(report: dict[str, Any], logs: Path) -> Run:
    row = report.get("row") or {}
    rules = {**(row.get("rules") or {}), **(report.get("breaks") or {})}
    broken_rules = ",".join(sorted(name for name, count in rules.items() if count)) or (
        report.get("fault") or ""
    )
    windows = [(w["from_s"], w["worth_offered"], w["worth_served"]) for w in report["windows"]]
    return Run(row.get("score", 0.0), report["g"], str(broken_rules), windows, *read_logs(logs))


class Bench:
    """Runs the operators' benchmark program, each run on one lane of cores."""

    def __init__(self, program: Path, site: Path, repo: Path, note: str, lanes: list[str]) -> None:
        self.program, self.site, self.repo, self.note = program, site, repo, note
        self.lanes: queue.Queue[str] = queue.Queue()
        for lane in lanes:
            self.lanes.put(lane)
        self.stopped = threading.Event()
        self.processes: set[subprocess.Popen[str]] = set()

    def run_day(self, day: str) -> Run:
        """Run one day. Raises NoReportError if the program wrote no valid report, or after ``stop``."""
        lane = self.lanes.get()
        folder = Path(tempfile.mkdtemp(prefix="spread-"))
        try:
            if self.stopped.is_set():
                raise NoReportError(f"{day}: not run: the benchmark was interrupted")
            output = self._run_bench(self._command(day, lane, folder))
            try:
                return read_run(json.loads((folder / "report").read_text()), folder / "logs")
            except (OSError, ValueError, KeyError):
                last_lines = " / ".join(output.splitlines()[-3:])
                raise NoReportError(f"{day}: no valid report; the output ends with: {last_lines}") from None
        finally:
            shutil.rmtree(folder, ignore_errors=True)
            self.lanes.put(lane)

    def _command(self, day: str, lane: str, folder: Path) -> list[str]:
        kind, colon, seed = day.partition(":")
        day_arguments = [str(self.site), "--rough", kind, "--seed", seed] if colon else ["replay", kind]
        outputs = ["--json", str(folder / "report"), "--logs", str(folder / "logs"), "--why", self.note]
        return [str(self.program), *day_arguments, "--cpus", lane, "--no-build", *outputs]

    def _run_bench(self, command: list[str]) -> str:
        """Return the output of the program, which gets SIGTERM after ``RUN_TIMEOUT`` seconds."""
        process = subprocess.Popen(
            command,
            cwd=self.repo,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        self.processes.add(process)
        try:
            output, _ = process.communicate(timeout=RUN_TIMEOUT)
        except subprocess.TimeoutExpired:
            os.killpg(process.pid, signal.SIGTERM)
            output, _ = process.communicate()
        finally:
            self.processes.discard(process)
        return output

    def stop(self) -> None:
        """Terminate the runs in progress and start no further ones."""
        self.stopped.set()
        for process in list(self.processes):
            os.killpg(process.pid, signal.SIGTERM)


def print_day(day: str, runs: list[Run]) -> None:
    scores = sorted(run.score for run in runs)
    worst, best = min(runs, key=lambda r: r.score), max(runs, key=lambda r: r.score)
    click.echo(
        f"\n{day}: {len(runs)} runs  min {scores[0]:.3f}  median {statistics.median(scores):.3f}"
        f"  max {scores[-1]:.3f}  all {' '.join(f'{s:.2f}' for s in scores)}"
    )
    for run in runs:
        if run.broken_rules:
            click.echo(f"  broken rules: {run.broken_rules}")
    losses = []
    for (start, offered, served), (_, _, best_served) in zip(worst.windows, best.windows, strict=False):
        if best_served > served:
            losses.append((best_served - served, start, served / offered if offered else 1.0))
    for loss, start, share in sorted(losses, reverse=True)[:WINDOWS_SHOWN]:
        click.echo(
            f"  window from {start:.0f} s: worst run served {share:.1%}, {loss:.0f} less than the best"
        )
    click.echo(f"  highest to mean occupancy: worst run {worst.imbalance:.2f}, best run {best.imbalance:.2f}")
    for backend in sorted(worst.limits.keys() | best.limits.keys()):
        in_worst, in_best = worst.limits.get(backend, Counter()), best.limits.get(backend, Counter())
        if in_worst != in_best:
            click.echo(
                f"  {backend}: worst run {dict(in_worst) or 'none'}, best run {dict(in_best) or 'none'}"
            )


@click.command()
@click.argument("days", nargs=-1)
@click.option("--runs", type=click.IntRange(1, 100), default=8, show_default=True, help="Runs per day.")
@click.option("--quick", is_flag=True, help="One run of one day; takes under 40 s.")
@click.option("--json", "only_json", is_flag=True, help="Print the JSON object only.")
@click.option(
    "--lanes",
    type=click.IntRange(1, 8),
    default=None,
    help="Parallel runs, with three cores each; default as many as fit.",
)
@click.option(
    "--kit",
    type=click.Path(path_type=Path),
    default=None,
    help="Folder of the operators' kit; default ../given/kit beside this checkout.",
)
@click.option(
    "--repo",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    default=None,
    help="Built checkout to measure; default this checkout.",
)
@click.option(
    "--why",
    default="Spread of one build over repeated runs",
    show_default=True,
    help="Note that is stored in the journal.",
)
def main(
    days: tuple[str, ...],
    runs: int,
    quick: bool,
    only_json: bool,
    lanes: int | None,
    kit: Path | None,
    repo: Path | None,
    why: str,
) -> None:
    """Run DAYS (KIND:SEED, or the name of a recorded day) several times and print how the scores vary."""
    here = Path(__file__).resolve().parents[1]
    kit = (kit or here.parent / "given" / "kit").resolve()
    program, site = kit / "more" / "bin" / "lbreal", kit / "sites" / "lima-push.toml"
    if not program.exists():
        click.echo(f"--kit: {program} does not exist: this benchmark needs the operators' kit", err=True)
        sys.exit(2)
    check_days(days)
    lane_cores = split_cores(lanes)
    chosen_days = list(days or (QUICK_DAYS if quick else DAYS))
    plan = [day for _ in range(QUICK_RUNS if quick else runs) for day in chosen_days]
    began = time.monotonic()
    bench = Bench(program, site, (repo or here).resolve(), why, lane_cores)
    runs_by_day, failed = run_plan(bench, len(lane_cores), plan)
    result: dict[str, float | int] = {}
    for day, day_runs in runs_by_day.items():
        if not day_runs:
            continue
        if not only_json:
            print_day(day, day_runs)
        result |= day_result(day, day_runs)
    click.echo(json.dumps(result | {"unplayed_runs": failed, "took_s": round(time.monotonic() - began, 1)}))
    sys.exit(1 if failed else 0)


def check_days(days: tuple[str, ...]) -> None:
    """Exit with code 2 if a day has an invalid form."""
    for day in days:
        if not re.fullmatch(r"[a-z+]+:\d+|r[0-9a-f]+", day):
            click.echo(f"DAYS: '{day}' is neither KIND:SEED nor the name of a recorded day", err=True)
            sys.exit(2)


def split_cores(lanes: int | None) -> list[str]:
    """Return the cores of each lane as a comma-separated list; exit with code 2 if there are too few."""
    cores = sorted(os.sched_getaffinity(0))
    max_lanes = max(1, (len(cores) - 1) // CORES_PER_LANE)
    if lanes and lanes > max_lanes:
        click.echo(
            f"--lanes: {lanes} lanes of {CORES_PER_LANE} cores each exceed the maximum of {max_lanes} "
            f"on {len(cores)} cores",
            err=True,
        )
        sys.exit(2)
    return [
        ",".join(str(core) for core in cores[i * CORES_PER_LANE : (i + 1) * CORES_PER_LANE])
        for i in range(lanes or max_lanes)
    ]


def run_plan(bench: Bench, parallel_runs: int, plan: list[str]) -> tuple[dict[str, list[Run]], int]:
    """Return the runs of each day, and the number of runs without a report.

    Ctrl-C stops the remaining runs; the completed ones are returned.
    """
    runs_by_day: dict[str, list[Run]] = {day: [] for day in plan}
    failed = 0
    try:
        with (
            ThreadPoolExecutor(parallel_runs) as pool,
            click.progressbar(length=len(plan), label="days", file=sys.stderr) as bar,
        ):
            try:
                for day, future in [(day, pool.submit(bench.run_day, day)) for day in plan]:
                    try:
                        runs_by_day[day].append(future.result())
                    except NoReportError as error:
                        failed += 1
                        click.echo(f"\n{error}", err=True)
                    bar.update(1)
            except KeyboardInterrupt:
                bench.stop()
                raise
    except KeyboardInterrupt:
        click.echo("\ninterrupted; the results cover the completed runs only", err=True)
    return runs_by_day, failed


def day_result(day: str, runs: list[Run]) -> dict[str, float | int]:
    name = re.sub(r"\W+", "_", day.partition(":")[0])
    scores = [run.score for run in runs]
    return {
        f"{name}_runs": len(runs),
        f"{name}_min_score": round(min(scores), 3),
        f"{name}_median_score": round(statistics.median(scores), 3),
        f"{name}_max_score": round(max(scores), 3),
        f"{name}_rules_broken_runs": sum(bool(run.broken_rules) for run in runs),
    }


if __name__ == "__main__":
    main()
