"""How widely one build swings on given days of the operators' bench: ``python benchmarks/spread.py``.

Plays each day a number of times and prints the lowest, the median and the highest score, the windows in
which the worst run lost most against the best, and which backends' states differed between the two. The
last line is one JSON object. It needs the operators' kit, which is not part of the repository, and three
cores a lane that nothing else uses; each run leaves its snapshot in ``journal/``.

A day is ``KIND:SEED`` (a rough day, as in ``rude+fleet:7``) or the name of a recorded one (``r71a328``).
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
RUN_LIMIT = 180.0  # s for one day, which takes under half a minute
CORES_A_LANE = 3
BACKEND_LINE = re.compile(
    r'event="backend traffic" backend=(\S+) established=\d+ occupancy=([\d.]+)/([\d.]+) limits=(\S*)'
)
SUMMARY_LINE = re.compile(r"event=traffic\b")  # ends the block of one proxy's backend lines
WINDOWS_SHOWN = 4


class NoReportError(Exception):
    """A run gave no report; the text is the bench's own last lines."""


@dataclass(frozen=True)
class Run:
    score: float
    g: float
    broken: str
    windows: list[tuple[float, float, float]]  # from (s), worth offered, worth served
    states: dict[str, Counter[str]]  # backend -> how often each limit was logged, over all proxies
    uneven: float  # largest over mean occupancy of a backend, the worst block of any proxy


def read_logs(folder: Path) -> tuple[dict[str, Counter[str]], float]:
    """Limits by backend in the proxies' log lines of their backends, and the worst imbalance."""
    states: dict[str, Counter[str]] = defaultdict(Counter)
    worst = 0.0
    for file in sorted(folder.rglob("*.log")):
        block: list[float] = []
        for line in file.read_text(errors="replace").splitlines():
            found = BACKEND_LINE.search(line)
            if found:
                block.append(float(found[2]))
                for limit in filter(None, found[4].split(",")):
                    states[found[1]][limit] += 1
            elif SUMMARY_LINE.search(line):
                if sum(block) > len(block):
                    worst = max(worst, max(block) * len(block) / sum(block))
                block = []
    return dict(states), worst


def read_run(report: dict[str, Any], logs: Path) -> Run:
    row = report.get("row") or {}
    rules = {**(row.get("rules") or {}), **(report.get("breaks") or {})}
    broken = ",".join(sorted(name for name, count in rules.items() if count)) or (report.get("fault") or "")
    windows = [(w["from_s"], w["worth_offered"], w["worth_served"]) for w in report["windows"]]
    return Run(row.get("score", 0.0), report["g"], str(broken), windows, *read_logs(logs))


class Bench:
    """One lane of cores at a time for each run; a stop ends the runs that are out."""

    def __init__(self, program: Path, site: Path, repo: Path, why: str, lanes: list[str]) -> None:
        self.program, self.site, self.repo, self.why = program, site, repo, why
        self.lanes: queue.Queue[str] = queue.Queue()
        for lane in lanes:
            self.lanes.put(lane)
        self.stopped = threading.Event()
        self.out: set[subprocess.Popen[str]] = set()

    def play(self, day: str) -> Run:
        """Raises NoReportError when the bench left no report, or after ``stop``."""
        lane = self.lanes.get()
        folder = Path(tempfile.mkdtemp(prefix="spread-"))
        try:
            if self.stopped.is_set():
                raise NoReportError("stopped")
            output = self._run_bench(self._command(day, lane, folder))
            try:
                return read_run(json.loads((folder / "report").read_text()), folder / "logs")
            except (OSError, ValueError, KeyError):
                last_lines = " / ".join(output.splitlines()[-3:])
                raise NoReportError(f"{day}: no report: {last_lines}") from None
        finally:
            shutil.rmtree(folder, ignore_errors=True)
            self.lanes.put(lane)

    def _command(self, day: str, lane: str, folder: Path) -> list[str]:
        kind, colon, seed = day.partition(":")
        chosen_day = [str(self.site), "--rough", kind, "--seed", seed] if colon else ["replay", kind]
        outputs = ["--json", str(folder / "report"), "--logs", str(folder / "logs"), "--why", self.why]
        return [str(self.program), *chosen_day, "--cpus", lane, "--no-build", *outputs]

    def _run_bench(self, command: list[str]) -> str:
        """Its output. The bench is asked to end after ``RUN_LIMIT`` seconds."""
        process = subprocess.Popen(
            command,
            cwd=self.repo,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        self.out.add(process)
        try:
            output, _ = process.communicate(timeout=RUN_LIMIT)
        except subprocess.TimeoutExpired:
            os.killpg(process.pid, signal.SIGTERM)
            output, _ = process.communicate()
        finally:
            self.out.discard(process)
        return output

    def stop(self) -> None:
        self.stopped.set()
        for process in list(self.out):
            os.killpg(process.pid, signal.SIGTERM)


def print_day(day: str, runs: list[Run]) -> None:
    scores = sorted(run.score for run in runs)
    worst, best = min(runs, key=lambda r: r.score), max(runs, key=lambda r: r.score)
    click.echo(
        f"\n{day}: {len(runs)} runs  min {scores[0]:.3f}  median {statistics.median(scores):.3f}"
        f"  max {scores[-1]:.3f}  all {' '.join(f'{s:.2f}' for s in scores)}"
    )
    for run in runs:
        if run.broken:
            click.echo(f"  broken: {run.broken}")
    lost = []
    for (since, offered, served), (_, _, there) in zip(worst.windows, best.windows, strict=False):
        if there > served:
            lost.append((there - served, since, served / offered if offered else 1.0))
    for worth, since, share in sorted(lost, reverse=True)[:WINDOWS_SHOWN]:
        click.echo(f"  worst run: from {since:.0f} s it served {share:.1%}, {worth:.0f} less than the best")
    click.echo(f"  fullest backend over the mean: worst {worst.uneven:.2f}, best {best.uneven:.2f}")
    for backend in sorted(worst.states.keys() | best.states.keys()):
        ours, theirs = worst.states.get(backend, Counter()), best.states.get(backend, Counter())
        if ours != theirs:
            click.echo(f"  {backend}: worst run {dict(ours) or 'free'}, best run {dict(theirs) or 'free'}")


@click.command()
@click.argument("days", nargs=-1)
@click.option("--runs", type=click.IntRange(1, 100), default=8, show_default=True, help="Runs of each day.")
@click.option("--quick", is_flag=True, help="One run of one day, under 40 s.")
@click.option("--json", "only_json", is_flag=True, help="Print the JSON object only.")
@click.option("--lanes", type=click.IntRange(1, 8), default=None, help="Runs at once, three cores each.")
@click.option("--kit", type=click.Path(path_type=Path), default=None, help="The operators' kit.")
@click.option(
    "--repo",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    default=None,
    help="A built checkout to measure; this one if not given.",
)
@click.option(
    "--why",
    default="Spread of one build over repeated runs",
    show_default=True,
    help="The note that the journal keeps.",
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
    """Play DAYS (KIND:SEED, or a recorded day's name) several times and print how far they spread."""
    here = Path(__file__).resolve().parents[1]
    kit = (kit or here.parent / "given" / "kit").resolve()
    program, site = kit / "more" / "bin" / "lbreal", kit / "sites" / "lima-push.toml"
    if not program.exists():
        click.echo(f"--kit: no bench at {program}: this benchmark needs the operators' kit", err=True)
        sys.exit(2)
    check_days(days)
    blocks = core_blocks(lanes)
    chosen = list(days or (QUICK_DAYS if quick else DAYS))
    plan = [day for _ in range(QUICK_RUNS if quick else runs) for day in chosen]
    began = time.monotonic()
    found, failed = play_all(Bench(program, site, (repo or here).resolve(), why, blocks), len(blocks), plan)
    result: dict[str, float | int] = {}
    for day, played in found.items():
        if not played:
            continue
        if not only_json:
            print_day(day, played)
        result |= day_result(day, played)
    click.echo(json.dumps(result | {"unplayed_runs": failed, "took_s": round(time.monotonic() - began, 1)}))
    sys.exit(1 if failed else 0)


def check_days(days: tuple[str, ...]) -> None:
    for day in days:
        if not re.fullmatch(r"[a-z+]+:\d+|r[0-9a-f]+", day):
            click.echo(f"DAYS: '{day}' is neither KIND:SEED nor a recorded day's name", err=True)
            sys.exit(2)


def core_blocks(lanes: int | None) -> list[str]:
    """The cores of each lane, as a list with commas."""
    cores = sorted(os.sched_getaffinity(0))
    most = max(1, (len(cores) - 1) // CORES_A_LANE)
    if lanes and lanes > most:
        click.echo(f"--lanes: {lanes} of {CORES_A_LANE} cores each do not fit on {len(cores)}", err=True)
        sys.exit(2)
    return [
        ",".join(str(core) for core in cores[i * CORES_A_LANE : (i + 1) * CORES_A_LANE])
        for i in range(lanes or most)
    ]


def play_all(bench: Bench, at_once: int, plan: list[str]) -> tuple[dict[str, list[Run]], int]:
    """The runs of each day, and how many gave no report. Ctrl-C keeps what has ended."""
    found: dict[str, list[Run]] = {day: [] for day in plan}
    failed = 0
    try:
        with (
            ThreadPoolExecutor(at_once) as pool,
            click.progressbar(length=len(plan), label="days", file=sys.stderr) as bar,
        ):
            try:
                for day, future in [(day, pool.submit(bench.play, day)) for day in plan]:
                    try:
                        found[day].append(future.result())
                    except NoReportError as error:
                        failed += 1
                        click.echo(f"\n{error}", err=True)
                    bar.update(1)
            except KeyboardInterrupt:
                bench.stop()
                raise
    except KeyboardInterrupt:
        click.echo("\nstopped; what follows is what had ended", err=True)
    return found, failed


def day_result(day: str, played: list[Run]) -> dict[str, float | int]:
    name = re.sub(r"\W+", "_", day.partition(":")[0])
    scores = [run.score for run in played]
    return {
        f"{name}_runs": len(played),
        f"{name}_min_score": round(min(scores), 3),
        f"{name}_median_score": round(statistics.median(scores), 3),
        f"{name}_max_score": round(max(scores), 3),
        f"{name}_rules_broken_runs": sum(bool(run.broken) for run in played),
    }


if __name__ == "__main__":
    main()
