"""Works out what the fleet ahead costs: ``python benchmarks/capacity.py [--write] [--json]``.

Reads ``docs/measurements/capacity.json`` (what ``benchmarks/slopes.py --save`` kept) and, once it exists,
``docs/measurements/scale.json`` (the last line of ``benchmarks/scale.py``). ``--write`` puts the tables and
figures between the markers of ``docs/CAPACITY.md`` and ``docs/design/scale.md``; ``--json`` prints the single
figures. Formulas are in ``capacity_model.py`` and ``scale_weighing.py``, tables in ``capacity_tables.py``,
``capacity_roles.py`` and ``scale_weighing.py``.
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
    HEADROOM,
    LARGEST_TOPIC,
    LIVES,
    LONGEST_RETRY_AFTER,
    MEMORY_BUDGET,
    MOST_ENTRIES,
    PEAK,
    PROXIES,
    SPREAD,
    ZONES,
    Measurements,
    Range,
    arrivals,
    bytes_limit,
    connections_per_proxy,
    cores,
    cpu_limit,
    largest_topic_per_proxy,
    machine_down,
    mesh_bytes,
    mesh_memory,
    ordinary_cores,
    processes,
    returning,
    shards_held,
    standing_memory,
    time_to_take,
    whole_table_bytes,
    worked,
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

# ---- single figures in the pages' sentences ---------------------------------------------------------


def figures(m: Measurements, _: dict[str, Any]) -> dict[str, str]:
    zone = PROXIES // ZONES
    wave = returning(zone)
    pairs = shards_held(connections_per_proxy())
    hour, short = ordinary_cores(m, LIVES["1 h"]), ordinary_cores(m, LIVES["36 s"])
    return {
        "commit": f"`{m.kept['commit']}`",
        "python": m.kept["python"],
        "cores": str(m.kept["cores"]),
        "repetitions": str(m.kept["repetitions"]),
        "command": f"`{m.kept['command']}`",
        "cores-hour": worked(hour, "cores"),
        "cores-short": worked(short, "cores"),
        "processes-hour": worked(processes(hour * PEAK), "processes"),
        "processes-short": worked(processes(short * PEAK), "processes"),
        "memory": worked(standing_memory(m, connections_per_proxy()) * 1e-9, "GB"),
        "rate-hour": worked(arrivals(LIVES["1 h"]), "/s"),
        "rate-short": worked(arrivals(LIVES["36 s"]), "/s"),
        "wave": worked(wave, "clients"),
        "wave-rate": worked(wave / SPREAD, "/s"),
        "wave-one-process": worked(time_to_take(wave, m.slope("set_up"), HEADROOM), "s"),
        "refusal-cores": worked(
            cores(Range(wave / LONGEST_RETRY_AFTER, 2 * wave / LONGEST_RETRY_AFTER), m.slope("refusal")),
            "cores",
        ),
        "topic-proxy": worked(cores(largest_topic_per_proxy(), m.slope("delivery")) * 1e3, "ms"),
        "topic-fleet": worked(cores(LARGEST_TOPIC, m.slope("delivery")), "core-seconds"),
        "pairs": worked(pairs, "pairs"),
        "pairs-factor": worked(pairs / MOST_ENTRIES, "x"),
        "mesh-shard-memory": worked(mesh_memory(m, PROXIES, pairs) * 1e-9, "GB"),
        "module-shard-memory": worked(m.slope("group_in_module") * pairs * 1e-3, "MB"),
        "table-hours": worked(whole_table_bytes(pairs) * (PROXIES - 1) / BYTES_BUDGET / 3_600, "hours"),
        "mesh-bytes": worked(mesh_bytes(m, PROXIES) * 1e-3, "KB/s"),
        "mesh-limit-bytes": worked(bytes_limit(m), "proxies"),
        "mesh-limit-cpu": worked(cpu_limit(m), "proxies"),
        "mesh-limit-memory": worked(m.size_at("mesh_memory", MEMORY_BUDGET / 1e3), "proxies"),
        "burst": worked(Range(*(change_bytes(size) * 50 / BYTES_BUDGET for size in CHANGE_BYTES)), "s"),
        "down": worked(100 * machine_down(), "%"),
        "suspicion": worked(suspicion_seconds(PROXIES), "s"),
        "suspicion-twice": worked(suspicion_seconds(2 * PROXIES), "s"),
        "swim-memory": worked(swim_memory(PROXIES) * 1e-6, "MB"),
        "swim-bytes": worked(swim_bytes(PROXIES) * 1e-3, "KB/s"),
        "relay-bytes": worked(relay_bytes(2 * PROXIES) * 1e-3, "KB/s"),
    }


# ---- pages ------------------------------------------------------------------------------------------


class UnknownMarkerError(Exception):
    """A page names a table or figure that is not computed here."""


def rendered(page: str, m: Measurements, scale: dict[str, Any]) -> str:
    """The page with everything between markers computed again. Raises UnknownMarkerError."""
    single = figures(m, scale)

    def fill(found: re.Match[str]) -> str:
        begin, kind, name, _, end = found.groups()
        if name not in (TABLES if kind == "table" else single):
            raise UnknownMarkerError(f"{kind} {name}")
        text = f"\n{TABLES[name](m, scale)}\n" if kind == "table" else single[name]
        return begin + text + end

    return MARKED.sub(fill, page)


def read() -> tuple[Measurements, dict[str, Any]]:
    scale = json.loads(SCALE.read_text()) if SCALE.exists() else {}
    return Measurements(json.loads(MEASURED.read_text())), scale


@click.command()
@click.option("--write", is_flag=True, help="Write the tables and figures into the pages.")
@click.option("--json", "as_json", is_flag=True, help="Print single figures as one JSON object.")
def main(write: bool, as_json: bool) -> None:
    """Work out what the fleet ahead costs."""
    m, scale = read()
    if write:
        for page in PAGES:
            page.write_text(rendered(page.read_text(), m, scale))
    elif not as_json:
        for name, build in TABLES.items():
            click.echo(f"{name}\n{build(m, scale)}\n")
    if as_json:
        click.echo(json.dumps(figures(m, scale)))


if __name__ == "__main__":
    main()
