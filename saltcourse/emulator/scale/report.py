"""Reports the metrics of all runs as a flat JSON object, a table and a chart.

The keys of the JSON object are read by scripts and do not change.
"""

from __future__ import annotations

import importlib
from collections.abc import Iterator, Sequence
from pathlib import Path

from saltcourse.emulator.scale.evaluation.metrics import RunMetrics, slowest_recovery
from saltcourse.emulator.scale.mechanisms import MESH
from saltcourse.emulator.scale.summary import Summary, growth_exponent

Value = float | int | bool | str | None
BUDGET_BYTES_PER_S = 21_000.0  # a proxy's budget for control traffic (issue 32), sent plus received
BUDGET_CPU_SHARE = 0.026  # a proxy's budget for control work, fraction of a core
DIGITS = 5  # decimal places of numbers in the JSON object
COLUMNS = (
    "proxies",
    "B/s mean",
    "p99",
    "max",
    "CPU mean",
    "max",
    "MB",
    "change p50",
    "p99",
    "max",
    "missing",
    "failure p50",
    "max",
    "after cut",
    "suspected",
    "held dead",
    "breaches",
)


def flat_metrics(runs: Sequence[RunMetrics]) -> dict[str, Value]:
    """Return one flat object for all runs. Keys of mesh runs start with ``mesh_``."""
    flat: dict[str, Value] = {}
    for metrics in runs:
        for key, value in _metrics_of_run(metrics):
            flat[f"{prefix(metrics)}n{metrics.size}_{key}"] = _rounded(value)
    for mechanism in sorted({metrics.mechanism for metrics in runs}):
        chosen = [
            metrics for metrics in runs if metrics.mechanism == mechanism and metrics.proxies is not None
        ]
        key_prefix = f"{mechanism}_" if mechanism == MESH else ""
        byte_rates = {run.size: run.proxies.bytes_per_s.mean for run in chosen if run.proxies is not None}
        cpu_shares = {run.size: run.proxies.cpu_share.mean for run in chosen if run.proxies is not None}
        flat[f"{key_prefix}bytes_growth_exponent"] = _rounded(growth_exponent(byte_rates))
        flat[f"{key_prefix}cpu_growth_exponent"] = _rounded(growth_exponent(cpu_shares))
    return flat


def prefix(metrics: RunMetrics) -> str:
    """Return the prefix of a run's keys."""
    return "mesh_" if metrics.mechanism == MESH else ""


def _metrics_of_run(metrics: RunMetrics) -> Iterator[tuple[str, Value]]:
    yield from _costs(metrics)
    yield from _changes(metrics)
    yield from _failures_and_recovery(metrics)
    yield from _phases(metrics)
    yield from _real_processes(metrics)
    yield from _harness(metrics)


def _costs(metrics: RunMetrics) -> Iterator[tuple[str, Value]]:
    if metrics.proxies is not None:
        yield "control_bytes_per_s_mean", metrics.proxies.bytes_per_s.mean
        yield "control_bytes_per_s_p99", metrics.proxies.bytes_per_s.p99
        yield "control_bytes_per_s_max", metrics.proxies.bytes_per_s.max
        yield "control_cpu_share_mean", metrics.proxies.cpu_share.mean
        yield "control_cpu_share_max", metrics.proxies.cpu_share.max
    if metrics.control is not None:
        yield "control_member_bytes_per_s_max", metrics.control.bytes_per_s.max
        yield "control_member_cpu_share_max", metrics.control.cpu_share.max
    yield "control_memory_mb_max", metrics.memory_mb


def _changes(metrics: RunMetrics) -> Iterator[tuple[str, Value]]:
    for name in ("p50", "p99", "max"):
        yield f"change_everywhere_s_{name}", _statistic(metrics.change.seconds, name)
    yield "changes", metrics.change.events
    yield "changes_missing", metrics.change.missing
    yield "changes_confirmed", metrics.changes_confirmed
    yield "changes_lost", metrics.changes_lost


def _failures_and_recovery(metrics: RunMetrics) -> Iterator[tuple[str, Value]]:
    yield "failure_known_s_p50", _statistic(metrics.failure.seconds, "p50")
    yield "failure_known_everywhere_s_p50", _statistic(metrics.failure_everywhere, "p50")
    yield "failure_known_everywhere_s_max", _statistic(metrics.failure_everywhere, "max")
    yield "failures", metrics.failure.events
    yield "failures_missing", metrics.failure.missing
    yield "join_s_p50", _statistic(metrics.joining.seconds, "p50")
    yield "join_s_max", _statistic(metrics.joining.seconds, "max")
    yield "joins", metrics.joining.events
    yield "joins_missing", metrics.joining.missing
    yield "stale_known_s_max", _statistic(metrics.staleness.seconds, "max")
    yield "stale_missing", metrics.staleness.missing
    yield "false_suspicions", metrics.false_suspicions
    yield "false_deaths", metrics.false_deaths
    yield "after_cut_agree_s_max", slowest_recovery(metrics.partitions)
    yield "safety_breaches", len(metrics.breaches)


def _phases(metrics: RunMetrics) -> Iterator[tuple[str, Value]]:
    for phase in metrics.phases:
        yield f"phase_{phase.name}_bytes_per_s_max", phase.bytes_per_s
        yield f"phase_{phase.name}_cpu_share_max", phase.cpu_share
    for name, change in metrics.change_by_phase.items():
        yield f"phase_{name}_change_everywhere_s_max", _statistic(change.seconds, "max")
        yield f"phase_{name}_changes_missing", change.missing


def _real_processes(metrics: RunMetrics) -> Iterator[tuple[str, Value]]:
    if metrics.real is not None:
        yield "real_processes", metrics.real.processes
        yield "real_bytes_per_s_max", metrics.real.bytes_per_s
        yield "real_cpu_share_max", metrics.real.cpu_share
        yield "real_cpu_share_without", metrics.real.cpu_share_without_gossip
        yield "real_memory_mb_max", metrics.real.memory_mb
        yield "real_memory_mb_without", metrics.real.memory_mb_without_gossip


def _harness(metrics: RunMetrics) -> Iterator[tuple[str, Value]]:
    yield "process_cpu_share_with_harness", metrics.workers_cpu_per_member
    yield "lag_p99_s", metrics.lag_p99
    yield "lag_max_s", metrics.lag_max
    yield "dropped_by_kernel", metrics.dropped
    yield "overloaded", metrics.overloaded


def _statistic(summary: Summary | None, name: str) -> float | None:
    if summary is None:
        return None
    return {"p50": summary.p50, "p99": summary.p99, "max": summary.max}[name]


def _rounded(value: Value) -> Value:
    return round(value, DIGITS) if isinstance(value, float) else value


def table(runs: Sequence[RunMetrics]) -> str:
    """Return a plain-text table, one row per run.

    Bytes are sent plus received, CPU is in percent of a core, times are in seconds.
    """
    rows = [COLUMNS, *[_row(metrics) for metrics in runs]]
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    lines = ["  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    return "\n".join(lines)


def _row(metrics: RunMetrics) -> tuple[str, ...]:
    cost = metrics.proxies
    name = f"{metrics.mechanism} {metrics.size}" + (" (overloaded)" if metrics.overloaded else "")
    return (
        name,
        _number(cost.bytes_per_s.mean if cost else None, 0),
        _number(cost.bytes_per_s.p99 if cost else None, 0),
        _number(cost.bytes_per_s.max if cost else None, 0),
        _number(100 * cost.cpu_share.mean if cost else None, 2),
        _number(100 * cost.cpu_share.max if cost else None, 2),
        _number(metrics.memory_mb, 2),
        *[_number(_statistic(metrics.change.seconds, name), 2) for name in ("p50", "p99", "max")],
        str(metrics.change.missing),
        *[_number(_statistic(metrics.failure_everywhere, name), 1) for name in ("p50", "max")],
        _number(slowest_recovery(metrics.partitions), 2),
        str(metrics.false_suspicions),
        str(metrics.false_deaths),
        str(len(metrics.breaches)),
    )


def _number(value: float | None, digits: int) -> str:
    return "-" if value is None else f"{value:,.{digits}f}"


def chart(runs: Sequence[RunMetrics], path: Path) -> None:
    """Draw bytes and CPU per proxy over the fleet size. Raises ImportError if matplotlib is not installed."""
    importlib.import_module("matplotlib").use("Agg")
    pyplot = importlib.import_module("matplotlib.pyplot")
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4.5))
    for mechanism in sorted({run.mechanism for run in runs}):
        chosen = [run for run in runs if run.mechanism == mechanism and run.proxies is not None]
        sizes = [run.size for run in chosen]
        costs = [run.proxies for run in chosen if run.proxies is not None]
        left.plot(sizes, [cost.bytes_per_s.mean for cost in costs], marker="o", label=f"{mechanism}, mean")
        left.plot(
            sizes, [cost.bytes_per_s.max for cost in costs], marker="^", label=f"{mechanism}, worst 10 s"
        )
        right.plot(
            sizes, [100 * cost.cpu_share.mean for cost in costs], marker="o", label=f"{mechanism}, mean"
        )
        right.plot(
            sizes, [100 * cost.cpu_share.max for cost in costs], marker="^", label=f"{mechanism}, worst 10 s"
        )
    left.axhline(BUDGET_BYTES_PER_S, linestyle="--", color="gray", label="budget")
    right.axhline(100 * BUDGET_CPU_SHARE, linestyle="--", color="gray", label="budget")
    left.set_ylabel("bytes per second per proxy, sent plus received")
    right.set_ylabel("% of a core per proxy")
    for axes in (left, right):
        axes.set_xlabel("proxies")
        axes.set_xscale("log")
        axes.set_yscale("log")
        sizes = sorted({run.size for run in runs})
        axes.set_xticks(sizes, labels=[str(size) for size in sizes])
        axes.minorticks_off()
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=120)
