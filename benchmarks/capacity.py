"""Computes the capacity that the planned fleet needs: ``python benchmarks/capacity.py [--write] [--json]``.

Reads ``docs/measurements/capacity.json`` (written by ``benchmarks/slopes.py --save``) and, if it exists,
``docs/measurements/scale.json`` (the last line of ``benchmarks/scale.py``). Prints all tables; ``--json``
prints the single figures of the pages' text instead, and ``--write`` inserts tables and figures between the
markers of ``docs/CAPACITY.md`` and ``docs/design/scale.md``. Formulas are in ``capacity_model.py`` and
``scale_weighing.py``, tables in ``capacity_tables.py``, ``capacity_roles.py`` and ``scale_weighing.py``.
"""

from __future__ import annotations

import json
import re
import sys
from pathlib import Path
from typing import Any

import click

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "benchmarks"))

import capacity_roles  # noqa: E402
import capacity_tables  # noqa: E402
import scale_weighing  # noqa: E402
from capacity_model import (  # noqa: E402
    BYTES_BUDGET,
    CHANGE_BYTES,
    LARGEST_TOPIC,
    LIFETIMES,
    MAX_PEER_ENTRIES,
    MAX_RETRY_AFTER,
    MEMORY_BUDGET,
    PEAK_FACTOR,
    PROXIES,
    RECONNECT_SECONDS,
    SET_UP_CORES,
    ZONES,
    Measurements,
    Range,
    arrivals,
    bytes_limit,
    computed,
    connection_memory_bytes,
    connections_per_proxy,
    cores,
    cpu_limit,
    full_table_bytes,
    largest_topic_per_proxy,
    machine_downtime_share,
    mesh_bytes,
    mesh_memory,
    ordinary_cores,
    processes,
    reconnects_per_proxy,
    set_up_seconds,
    shards_held,
)
from scale_weighing import (  # noqa: E402
    change_bytes,
    relay_bytes,
    suspicion_seconds,
    swim_bytes,
    swim_memory,
)

MEASURED = ROOT / "docs" / "measurements" / "capacity.json"
SCALE = ROOT / "docs" / "measurements" / "scale.json"
PAGES = (ROOT / "docs" / "CAPACITY.md", ROOT / "docs" / "design" / "scale.md")
TABLES = capacity_tables.TABLES | capacity_roles.TABLES | scale_weighing.TABLES
MARKED = re.compile(r"(<!-- (table|figure): ([a-z0-9-]+) -->)(.*?)(<!-- end -->)", re.DOTALL)

# ---- single figures in the text of the pages --------------------------------------------------------


def figures(m: Measurements, _: dict[str, Any]) -> dict[str, str]:
    """Return the figures by the names that the markers of the pages use."""
    zone = PROXIES // ZONES
    wave = reconnects_per_proxy(zone)
    pairs = shards_held(connections_per_proxy())
    hour, short = (
        ordinary_cores(m, LIFETIMES["1 h"]),
        ordinary_cores(m, LIFETIMES["36 s"]),
    )
    return {
        "commit": f"`{m.saved['commit']}`",
        "python": m.saved["python"],
        "cores": str(m.saved["cores"]),
        "repetitions": str(m.saved["repetitions"]),
        "command": f"`{m.saved['command']}`",
        "cores-hour": computed(hour, "cores"),
        "cores-short": computed(short, "cores"),
        "processes-hour": computed(processes(hour * PEAK_FACTOR), "processes"),
        "processes-short": computed(processes(short * PEAK_FACTOR), "processes"),
        "memory": computed(connection_memory_bytes(m, connections_per_proxy()) * 1e-9, "GB"),
        "rate-hour": computed(arrivals(LIFETIMES["1 h"]), "/s"),
        "rate-short": computed(arrivals(LIFETIMES["36 s"]), "/s"),
        "wave": computed(wave, "clients"),
        "wave-rate": computed(wave / RECONNECT_SECONDS, "/s"),
        "wave-one-process": computed(set_up_seconds(wave, m.slope("set_up"), SET_UP_CORES), "s"),
        "refusal-cores": computed(
            cores(Range(wave / MAX_RETRY_AFTER, 2 * wave / MAX_RETRY_AFTER), m.slope("refusal")),
            "cores",
        ),
        "topic-proxy": computed(cores(largest_topic_per_proxy(), m.slope("delivery")) * 1e3, "ms"),
        "topic-fleet": computed(cores(LARGEST_TOPIC, m.slope("delivery")), "core-seconds"),
        "pairs": computed(pairs, "pairs"),
        "pairs-factor": computed(pairs / MAX_PEER_ENTRIES, "x"),
        "mesh-shard-memory": computed(mesh_memory(m, PROXIES, pairs) * 1e-9, "GB"),
        "module-shard-memory": computed(m.slope("group_in_module") * pairs * 1e-3, "MB"),
        "table-hours": computed(full_table_bytes(pairs) * (PROXIES - 1) / BYTES_BUDGET / 3_600, "hours"),
        "mesh-bytes": computed(mesh_bytes(m, PROXIES) * 1e-3, "KB/s"),
        "mesh-limit-bytes": computed(bytes_limit(m), "proxies"),
        "mesh-limit-cpu": computed(cpu_limit(m), "proxies"),
        "mesh-limit-memory": computed(m.size_at("mesh_memory", MEMORY_BUDGET / 1e3), "proxies"),
        "burst": computed(Range(*(change_bytes(size) * 50 / BYTES_BUDGET for size in CHANGE_BYTES)), "s"),
        "down": computed(100 * machine_downtime_share(), "%"),
        "suspicion": computed(suspicion_seconds(PROXIES), "s"),
        "suspicion-twice": computed(suspicion_seconds(2 * PROXIES), "s"),
        "swim-memory": computed(swim_memory(PROXIES) * 1e-6, "MB"),
        "swim-bytes": computed(swim_bytes(PROXIES) * 1e-3, "KB/s"),
        "relay-bytes": computed(relay_bytes(2 * PROXIES) * 1e-3, "KB/s"),
    }


# ---- pages ------------------------------------------------------------------------------------------


class UnknownMarkerError(Exception):
    """A marker of a page names a table or figure that does not exist."""


def render(page: str, m: Measurements, scale: dict[str, Any]) -> str:
    """Return the page with the text between all markers recomputed. Raises UnknownMarkerError."""
    figure_texts = figures(m, scale)

    def fill(match: re.Match[str]) -> str:
        begin, kind, name, _, end = match.groups()
        if name not in (TABLES if kind == "table" else figure_texts):
            raise UnknownMarkerError(f"{kind} {name}")
        text = f"\n{TABLES[name](m, scale)}\n" if kind == "table" else figure_texts[name]
        return begin + text + end

    return MARKED.sub(fill, page)


def read_measurements() -> tuple[Measurements, dict[str, Any]]:
    """Return the slopes, and the results of the scale run (empty if there are none)."""
    scale = json.loads(SCALE.read_text()) if SCALE.exists() else {}
    return Measurements(json.loads(MEASURED.read_text())), scale


@click.command()
@click.option("--write", is_flag=True, help="Write the tables and figures into the pages.")
@click.option("--json", "as_json", is_flag=True, help="Print single figures as one JSON object.")
def main(write: bool, as_json: bool) -> None:
    """Compute the capacity that the planned fleet needs."""
    m, scale = read_measurements()
    if write:
        for page in PAGES:
            page.write_text(render(page.read_text(), m, scale))
    elif not as_json:
        for name, build in TABLES.items():
            click.echo(f"{name}\n{build(m, scale)}\n")
    if as_json:
        click.echo(json.dumps(figures(m, scale)))


if __name__ == "__main__":
    main()
