"""The tables of ``docs/CAPACITY.md`` by question, each of which is a function of the measurements.

Each figure has a mark: (m) measured, (w) computed from measured slopes, (a) a requirement or an assumption.
The functions in ``TABLES`` take the slopes and the results of the scale run, and return a Markdown table.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from capacity_model import (
    BYTES_BUDGET,
    CHANGE_DEADLINE,
    CONTROL_MACHINES,
    CPU_BUDGET,
    LARGEST_TOPIC,
    LIFETIMES,
    LINE_BYTES,
    MAGLEV_ENTRIES,
    MAX_PEER_ENTRIES,
    MAX_RETRY_AFTER,
    MAX_UTILIZATION,
    MEMORY_BUDGET,
    PEAK_FACTOR,
    PROXIES,
    PUSH_SERVERS,
    RECONNECT_SECONDS,
    SCRAPE_BYTES,
    SCRAPE_INTERVAL,
    SET_UP_CORES,
    SHARDS,
    ZONES,
    Measurements,
    Range,
    all_cores,
    arrivals,
    as_range,
    assumed,
    bytes_limit,
    computed,
    connection_memory_bytes,
    connections_per_proxy,
    cores,
    deliveries_per_proxy,
    full_table_bytes,
    largest_topic_per_proxy,
    machine_downtime_share,
    majority,
    measured,
    mesh_bytes,
    mesh_cpu,
    mesh_memory,
    mesh_sent_per_connection,
    no_majority_probability,
    ordinary_cores,
    processes,
    reconnects_per_proxy,
    set_up_seconds,
    shards_held,
    table,
)

NOT_MEASURED = "not measured yet"
TableFunction = Callable[[Measurements, dict[str, Any]], str]


def budget_factor(value: Range, budget: float) -> str:
    """Format a value as a multiple of its budget."""
    return computed(value / budget, "x")


def link(name: str) -> str:
    """Return a Markdown link to the section ``name`` of the page."""
    return f"[{name}](#{name.replace(' ', '-')})"


def scale_figure(scale: dict[str, Any], key: str, unit: str, factor: float = 1.0) -> str:
    """Format one result of the scale run, if there is one under this key."""
    value = scale.get(key)
    return NOT_MEASURED if value is None else measured(value * factor, unit)


def summary(m: Measurements, scale: dict[str, Any]) -> str:
    head = (
        "role",
        "budget",
        "today's design at that size",
        "factor over budget",
        "mechanism",
        "with it at 490 (a) proxies",
        "where shown",
    )
    busy, memory = all_cores(m), connection_memory_bytes(m, connections_per_proxy())
    mesh_costs = [mesh_bytes(m, PROXIES), mesh_cpu(m, PROXIES), m.at("mesh_memory", PROXIES) * 1e3]
    pairs = shards_held(connections_per_proxy())
    bytes_at_1h = mesh_bytes(m, PROXIES, arrivals(LIFETIMES["1 h"]))
    placement_cores = cores(arrivals(LIFETIMES["1 h"]), m.at("placement_new_group", PUSH_SERVERS))
    gossip = "membership and dissemination (`saltcourse/gossip/`)"
    rows = [
        (
            "proxy: data path, CPU",
            assumed(1, "core a process"),
            computed(busy, "cores"),
            budget_factor(busy, 1.0),
            "several processes a machine, one gossip member for all",
            "not touched",
            link("data path"),
        ),
        (
            "proxy: data path, memory",
            "none told",
            computed(memory * 1e-9, "GB"),
            "none told",
            "a cheaper connection, see below",
            "not touched",
            link("data path"),
        ),
        (
            "proxy: control, bytes, at casa-main's rate of new connections",
            assumed(BYTES_BUDGET / 1e3, "KB/s"),
            computed(mesh_costs[0] * 1e-3, "KB/s"),
            budget_factor(mesh_costs[0], BYTES_BUDGET),
            gossip,
            scale_figure(scale, "n490_control_bytes_per_s_max", "KB/s", 1e-3),
            link("mesh"),
        ),
        (
            "proxy: control, CPU",
            assumed(100 * CPU_BUDGET, "%"),
            computed(mesh_costs[1] * 100, "%"),
            budget_factor(mesh_costs[1], CPU_BUDGET),
            gossip,
            scale_figure(scale, "n490_control_cpu_share_max", "%", 100.0),
            link("mesh"),
        ),
        (
            "proxy: control, memory",
            assumed(MEMORY_BUDGET / 1e6, "MB"),
            computed(mesh_costs[2] * 1e-6, "MB"),
            budget_factor(mesh_costs[2], MEMORY_BUDGET),
            gossip,
            scale_figure(scale, "n490_control_memory_mb_max", "MB"),
            link("mesh"),
        ),
        (
            "proxy: control, bytes, at 1 h (a) of mean life",
            assumed(BYTES_BUDGET / 1e3, "KB/s"),
            computed(bytes_at_1h * 1e-3, "KB/s"),
            budget_factor(bytes_at_1h, BYTES_BUDGET),
            "nothing told for each group",
            NOT_MEASURED,
            link("shards"),
        ),
        (
            "proxy: control, memory, with 160,000 (a) shards",
            assumed(MEMORY_BUDGET / 1e6, "MB"),
            computed(mesh_memory(m, PROXIES, pairs) * 1e-6, "MB if nothing were cut off"),
            budget_factor(mesh_memory(m, PROXIES, pairs), MEMORY_BUDGET),
            "nothing told for each group",
            NOT_MEASURED,
            link("shards"),
        ),
        (
            f"proxy: placement of a group, {PUSH_SERVERS:,} (a) push servers, 1 h (a)",
            "none told",
            computed(placement_cores, "cores"),
            "none told",
            "an issue of its own: a table instead of a hash for each server",
            NOT_MEASURED,
            link("shards"),
        ),
        (
            "proxy: a configuration change",
            assumed(CHANGE_DEADLINE, "s everywhere"),
            "a file and a SIGHUP on each machine",
            "no bound",
            gossip,
            scale_figure(scale, "n490_change_everywhere_s_max", "s"),
            link("configuration"),
        ),
        (
            "control machine",
            assumed(CONTROL_MACHINES, "machines"),
            "nothing runs there",
            "none",
            "voters on 5 (a) of them",
            NOT_MEASURED,
            link("voters"),
        ),
        (
            "push server as seen by us, 5,000 (a) of them, 1 h (a)",
            "none told",
            computed(arrivals(LIFETIMES["1 h"]) * PROXIES / PUSH_SERVERS, "set-ups/s each"),
            "none told",
            "as today",
            "not touched",
            link("push server"),
        ),
        ("zone relay", "none", "none", "none", "none needed", "none", link("zone relay")),
        (
            "operator's tools",
            "none told",
            computed(
                Range(*SCRAPE_BYTES) * PROXIES / SCRAPE_INTERVAL * 1e-3, "KB/s to read every admin address"
            ),
            "none told",
            "sums of zones from any one proxy",
            NOT_MEASURED,
            link("operators tools"),
        ),
    ]
    return table(head, rows)


def slopes_table(m: Measurements, _: dict[str, Any]) -> str:
    rows = []
    for name, slope in m.slopes.items():
        if name.endswith("_control"):
            continue
        has_control = f"{name}_control" in m.slopes
        control = measured(m.slope(f"{name}_control")) if has_control else "none"
        ratio = measured(m.ratio(name), "x") if has_control and name != "connection_idle" else "none"
        sizes = ", ".join(f"{size:,}" for size in slope["sizes"])
        largest = measured(m.measured_at(name, slope["sizes"][-1]))
        rows.append(
            (
                f"`{name}`",
                f"{slope['unit'].replace('_per_s', '/s')} per {slope['per']}",
                measured(m.slope(name)),
                control,
                ratio,
                largest,
                sizes + " (m)",
            )
        )
    return table(("cost", "unit", "slope", "control's slope", "ratio", "at the largest size", "sizes"), rows)


def leads(m: Measurements, _: dict[str, Any]) -> str:
    """Compare the estimates that the capacity issue gives ("leads") with the measured figures."""

    def figure_at(name: str, size: int, factor: float, unit: str) -> str:
        return measured(m.measured_at(name, size) * factor, unit)

    rows = []
    for size, sent_kb_per_s, cpu_percent, memory_mb in (
        (20, 4.3, 0.6, 0.9),
        (40, 9.7, 1.2, 2.2),
        (80, 22.3, 2.8, 4.7),
        (160, 46.1, 7.2, 10.1),
    ):
        rows += [
            (
                f"sent by each of {size} (a) proxies",
                assumed(sent_kb_per_s, "KB/s"),
                figure_at("mesh_sent", size, 1, "KB/s"),
            ),
            (
                f"CPU to take what {size} (a) proxies send",
                assumed(cpu_percent, "%"),
                figure_at("mesh_take", size, 0.1, "%"),
            ),
            (
                f"copies of {size} (a) proxies' tables",
                assumed(memory_mb, "MB"),
                figure_at("mesh_memory", size, 1e-3, "MB"),
            ),
        ]
    rows += [
        (
            "sent by each of 490 (a) proxies",
            assumed(141, "KB/s, if linear"),
            figure_at("mesh_sent", 490, 1, "KB/s"),
        ),
        (
            "CPU to take what 490 (a) proxies send",
            assumed(22, "%, if linear"),
            figure_at("mesh_take", 490, 0.1, "%"),
        ),
        (
            "copies of 490 (a) proxies' tables",
            assumed(31, "MB, if linear"),
            figure_at("mesh_memory", 490, 1e-3, "MB"),
        ),
        (
            "fleet at which 21 KB/s (a) are reached, sent alone",
            assumed(80, "proxies"),
            computed(m.size_at("mesh_sent", BYTES_BUDGET / 1e3), "proxies"),
        ),
        (
            "the same, sent plus received with headers",
            assumed(40, "proxies"),
            computed(bytes_limit(m), "proxies"),
        ),
        ("a standing connection", assumed(Range(41, 42), "KB"), measured(m.slope("connection_memory"), "KB")),
        (
            "the same, bare pass-through",
            assumed(12, "KB"),
            measured(m.slope("connection_memory_control"), "KB"),
        ),
        (
            "a line there and back, one at a time",
            assumed(Range(0.37, 0.59), "ms"),
            measured(m.slope("line_alone"), "ms"),
        ),
        (
            "the same, bare pass-through",
            assumed(Range(0.16, 0.25), "ms"),
            measured(m.slope("line_alone_control"), "ms"),
        ),
        (
            "a line there and back, on 100 (a) connections at once",
            "none",
            measured(m.slope("line_trip"), "ms"),
        ),
        ("the same, bare pass-through", "none", measured(m.slope("line_trip_control"), "ms")),
        ("a set-up", assumed(Range(1.9, 2.2), "ms"), measured(m.slope("set_up"), "ms")),
        (
            "the same, bare pass-through",
            assumed(Range(1.0, 1.2), "ms"),
            measured(m.slope("set_up_control"), "ms"),
        ),
        (
            "a placement of a group that is new here, 1,000 (a) servers",
            assumed(Range(2.3, 3.6), "ms"),
            figure_at("placement_new_group", 1000, 1, "ms"),
        ),
        (
            "a placement without groups, up to 5,000 (a) servers",
            assumed(Range(0.05, 0.13), "ms"),
            figure_at("placement", 5000, 1, "ms"),
        ),
        ("one list change, 5,000 (a) servers", assumed(26, "ms"), figure_at("list_change", 5000, 1, "ms")),
        (
            "a whole list, 5,000 (a) servers: the first one",
            assumed(81, "ms"),
            figure_at("list_first", 5000, 1, "ms"),
        ),
        (
            "a whole list, 5,000 (a) servers: a later one",
            assumed(81, "ms"),
            figure_at("list_whole", 5000, 1, "ms"),
        ),
    ]
    return table(("what", "lead", "here"), rows)


def mesh(m: Measurements, _: dict[str, Any]) -> str:
    rows = []
    for size in (40, 80, 160, 245, 490, 980):
        sent, cpu = mesh_bytes(m, size), mesh_cpu(m, size)
        memory = m.at("mesh_memory", size) * 1e3
        rows.append(
            (
                assumed(size, "proxies"),
                computed(sent * 1e-3, "KB/s"),
                budget_factor(sent, BYTES_BUDGET),
                computed(cpu * 100, "%"),
                budget_factor(cpu, CPU_BUDGET),
                computed(memory * 1e-6, "MB"),
                budget_factor(memory, MEMORY_BUDGET),
            )
        )
    return table(
        ("fleet", "sent plus received", "of 21 KB/s (a)", "CPU", "of 2.6% (a)", "copies", "of 32 MB (a)"),
        rows,
    )


def gossip(m: Measurements, scale: dict[str, Any]) -> str:
    rows = []
    for size in (30, 60, 120, 245, 490, 980):
        key = f"n{size}"
        changes = [scale_figure(scale, f"{key}_change_everywhere_s_{end}", "s") for end in ("p99", "max")]
        rows.append(
            (
                assumed(size, "proxies"),
                computed(mesh_bytes(m, size) * 1e-3, "KB/s"),
                scale_figure(scale, f"mesh_{key}_control_bytes_per_s_max", "KB/s", 1e-3),
                scale_figure(scale, f"{key}_control_bytes_per_s_max", "KB/s", 1e-3),
                scale_figure(scale, f"{key}_control_cpu_share_max", "%", 100.0),
                scale_figure(scale, f"{key}_control_memory_mb_max", "MB"),
                NOT_MEASURED if NOT_MEASURED in changes else ", ".join(changes),
                scale_figure(scale, f"{key}_after_cut_agree_s_max", "s"),
            )
        )
    return table(
        (
            "fleet",
            "today's mesh",
            "today's mesh in the scale run, largest of all proxies",
            "gossip: sent plus received",
            "gossip: CPU",
            "gossip: memory",
            "gossip: a change everywhere (p99, max)",
            "agreed after a cut of 120 s (a)",
        ),
        rows,
    )


def data_path(m: Measurements, _: dict[str, Any]) -> str:
    deliveries, connections = deliveries_per_proxy(), connections_per_proxy()
    delivery_cores = cores(deliveries, m.slope("delivery"))
    answered_cores = cores(deliveries, m.slope("line_trip"))
    rows = [
        ("standing connections", computed(connections, "a machine"), "44 million (a) over 490 (a)"),
        ("deliveries, lines one way", computed(delivery_cores, "cores"), "`delivery` at 20,400/s (w)"),
        (
            "deliveries, each answered by the client",
            computed(answered_cores, "cores"),
            "`line_trip` at 20,400/s (w)",
        ),
        (
            "the same, one line at a time",
            computed(cores(deliveries, m.slope("line_alone")), "cores"),
            "`line_alone` at 20,400/s (w)",
        ),
        (
            "standing still",
            computed(m.slope("connection_idle") * connections * 1e-3, "cores"),
            "`connection_idle` at 89,800 (w)",
        ),
        (
            "memory of the process or processes",
            computed(connection_memory_bytes(m, connections) * 1e-9, "GB"),
            "`connection_memory` at 89,800 (w); the kernel's share comes on top",
        ),
        (
            "the same, bare pass-through",
            computed(m.slope("connection_memory_control") * connections * 1e-6, "GB"),
            "control",
        ),
    ]
    for label, seconds in LIFETIMES.items():
        busy = ordinary_cores(m, seconds)
        set_up_cores = cores(arrivals(seconds), m.slope("set_up"))
        rows += [
            (
                f"set-ups at a mean life of {label} (a)",
                computed(set_up_cores, "cores"),
                f"`set_up` at {computed(arrivals(seconds), '/s')}",
            ),
            (
                f"all, at a mean life of {label} (a)",
                computed(busy, "cores"),
                "deliveries one way, set-ups, and standing still",
            ),
            (
                f"processes a machine, at a mean life of {label} (a)",
                computed(processes(busy), "processes"),
                f"each filled to {assumed(100 * MAX_UTILIZATION, '%')} at most",
            ),
            (
                f"the same at peak, mean life {label} (a)",
                computed(processes(busy * PEAK_FACTOR), "processes"),
                f"{assumed(PEAK_FACTOR, 'x')} the mean",
            ),
        ]
    return table(("what", "today", "from"), rows)


def slopes_to_fall(m: Measurements, _: dict[str, Any]) -> str:
    """Compare each slope with the one at which a single process carries that part of a proxy's load."""
    rows = []
    loads = [("delivery", "delivery", deliveries_per_proxy())]
    loads += [
        (f"set-up, mean life {label} (a)", "set_up", arrivals(seconds))
        for label, seconds in LIFETIMES.items()
    ]
    for label, name, rate in loads:
        allowed_ms = MAX_UTILIZATION / rate * 1e3
        proxy, control = m.slope(name), m.slope(f"{name}_control")
        rows.append(
            (
                label,
                computed(proxy, "ms"),
                computed(allowed_ms, "ms"),
                computed(proxy / allowed_ms, "x"),
                computed(control / allowed_ms, "x"),
            )
        )
    return table(
        (
            "slope",
            "today",
            "one process at 60% (a) bears",
            "must fall by",
            "a bare pass-through in asyncio would have to fall by",
        ),
        rows,
    )


def arrivals_table(m: Measurements, _: dict[str, Any]) -> str:
    zone = PROXIES // ZONES
    wave = reconnects_per_proxy(zone)
    rows: list[tuple[str, ...]] = []
    for label, seconds in LIFETIMES.items():
        rate = arrivals(seconds)
        rows.append(
            (
                f"ordinary, mean life {label} (a)",
                computed(rate, "/s"),
                computed(cores(rate, m.slope("set_up")), "cores"),
                "none",
            )
        )
    rows += [
        (
            f"all of a lost zone of {zone} (w) proxies, at once",
            computed(wave, "come to each proxy that is left"),
            computed(cores(wave, m.slope("set_up")), "core-seconds"),
            "none",
        ),
        (
            "the same spread over 60 s (a)",
            computed(wave / RECONNECT_SECONDS, "/s"),
            computed(cores(wave / RECONNECT_SECONDS, m.slope("set_up")), "cores"),
            "retry after 1 to 60 s (a), drawn evenly",
        ),
        (
            "one process that keeps 30% (a) of its core for set-ups",
            computed(as_range(SET_UP_CORES * 1e3) / m.slope("set_up"), "/s"),
            assumed(SET_UP_CORES, "cores"),
            f"the wave takes {computed(set_up_seconds(wave, m.slope('set_up'), SET_UP_CORES), 's')}",
        ),
        (
            "eight such processes a machine (a)",
            computed(as_range(8 * SET_UP_CORES * 1e3) / m.slope("set_up"), "/s"),
            assumed(8 * SET_UP_CORES, "cores"),
            f"the wave takes {computed(set_up_seconds(wave, m.slope('set_up'), 8 * SET_UP_CORES), 's')}",
        ),
        (
            "refusals, when all come again within the 1.1 s (a) that a site of today allows",
            computed(Range(wave / MAX_RETRY_AFTER, wave / (MAX_RETRY_AFTER / 2)), "/s"),
            computed(
                cores(Range(wave / MAX_RETRY_AFTER, wave / (MAX_RETRY_AFTER / 2)), m.slope("refusal")),
                "cores for refusals alone",
            ),
            "a longer retry-after: the wave over the rate of admission",
        ),
    ]
    return table(("what", "new connections", "CPU a proxy", "held to that by"), rows)


def topic(m: Measurements, _: dict[str, Any]) -> str:
    listeners = largest_topic_per_proxy()
    cpu_per_connection_lines = cores(LARGEST_TOPIC, m.slope("delivery"))
    bytes_in = Range(*LINE_BYTES) * LARGEST_TOPIC * 1e-6
    # If a line arrives once per proxy, writing it to a listener costs between half and all of a delivery.
    write_ms = Range(m.slope("delivery").low * 0.5, m.slope("delivery").high)
    rows = [
        (
            "lines into the proxies",
            computed(LARGEST_TOPIC, "in the whole fleet"),
            computed(PROXIES, "in the fleet"),
        ),
        ("lines into one proxy", computed(listeners), computed(1)),
        (
            "bytes from push servers to proxies",
            computed(bytes_in, "MB"),
            computed(Range(*LINE_BYTES) * PROXIES * 1e-6, "MB"),
        ),
        (
            "CPU of the fleet",
            computed(cpu_per_connection_lines, "core-seconds"),
            computed(cores(LARGEST_TOPIC, write_ms), "core-seconds"),
        ),
        (
            "CPU of one proxy",
            computed(cores(listeners, m.slope("delivery")) * 1e3, "ms"),
            computed(cores(listeners, write_ms) * 1e3, "ms"),
        ),
        (
            "last listener of one proxy served after, if its one process does nothing else",
            computed(cores(listeners, m.slope("delivery")) * 1e3, "ms"),
            computed(cores(listeners, write_ms) * 1e3, "ms"),
        ),
        ("allowed by today's protocol", "yes", "no"),
    ]
    return table(
        (
            "one publication to 290,000 listeners (a)",
            "each line passes each proxy 592 times (w)",
            "it comes once a proxy",
        ),
        rows,
    )


def shards(m: Measurements, _: dict[str, Any]) -> str:
    connections = connections_per_proxy()
    pairs = shards_held(connections)
    table_bytes = full_table_bytes(pairs)
    peers = PROXIES - 1
    rate = arrivals(LIFETIMES["1 h"])
    rows = [
        ("shards held by one proxy, if spread evenly", computed(pairs, "pairs"), computed(pairs, "pairs")),
        ("memory in the module, one group", measured(m.slope("group_in_module"), "KB"), "the same"),
        (
            "memory in the module, all of a proxy's",
            computed(m.slope("group_in_module") * pairs * 1e-3, "MB"),
            "the same",
        ),
        ("memory in the mesh, one peer's pair", measured(m.slope("pair_of_peer"), "KB"), "none kept"),
        (
            "memory in the mesh, all peers' pairs",
            computed(mesh_memory(m, PROXIES, pairs) * 1e-9, "GB"),
            "none kept",
        ),
        (
            "the same, cut off at 4,096 (a) entries a peer",
            computed(mesh_memory(m, PROXIES, MAX_PEER_ENTRIES) * 1e-6, "MB, and no copy ever agrees"),
            "none kept",
        ),
        (
            "all of a fleet's shards in one table",
            computed(m.slope("pair_of_peer") * SHARDS * 1e-3, "MB"),
            computed(MAGLEV_ENTRIES * 4e-6, "MB for a Maglev table of push servers"),
        ),
        (
            "bytes to and from one proxy for one new connection at each",
            computed(mesh_sent_per_connection(m) * (2 * peers), "KB"),
            "none",
        ),
        ("messages, mean life 1 h (a)", computed(mesh_bytes(m, PROXIES, rate) * 1e-3, "KB/s"), "none"),
        ("CPU to take them, mean life 1 h (a)", computed(mesh_cpu(m, PROXIES, rate), "cores"), "none"),
        ("one peer's whole table", computed(table_bytes * 1e-3, "KB"), "none"),
        ("all tables to a proxy that starts", computed(table_bytes * peers * 1e-6, "MB"), "none"),
        (
            "time for that within 21 KB/s (a)",
            computed(table_bytes * peers / BYTES_BUDGET / 3_600, "h"),
            "none",
        ),
        (
            "a placement of a group that is new here, 5,000 servers (a)",
            measured(m.measured_at("placement_new_group", PUSH_SERVERS), "ms"),
            "a look into a table; not built",
        ),
        (
            "placements at a mean life of 1 h (a)",
            computed(cores(rate, m.at("placement_new_group", PUSH_SERVERS)), "cores"),
            "not built",
        ),
        (
            "placements at a mean life of 36 s (a)",
            computed(
                cores(arrivals(LIFETIMES["36 s"]), m.at("placement_new_group", PUSH_SERVERS)),
                "cores",
            ),
            "not built",
        ),
    ]
    return table(("per shard", "today", "after: a hash over a versioned view of the push servers"), rows)


def voters(_: Measurements, __: dict[str, Any]) -> str:
    placements = {
        3: "one in each of three zones",
        5: "one in each zone",
        7: "2, 2, 1, 1, 1",
        8: "2, 2, 2, 1, 1",
    }
    rows = []
    for count, placement in placements.items():
        max_per_zone = math.ceil(count / ZONES)
        tolerated = count - majority(count)
        rows.append(
            (
                assumed(count, "voters"),
                placement + " (a)",
                computed(majority(count), "of them"),
                computed(tolerated),
                "yes (w)" if tolerated >= max_per_zone + 1 else "no (w)",
                f"{no_majority_probability(count, machine_downtime_share()):.0e} (w)",
                computed(2 * (count - 1), "messages"),
            )
        )
    return table(
        (
            "voters",
            "placed in five zones",
            "majority",
            "machines that may fail together",
            "bears a zone and one more machine",
            "no majority, share of the time",
            "messages for one change",
        ),
        rows,
    )


TABLES: dict[str, TableFunction] = {
    "summary": summary,
    "slopes": slopes_table,
    "leads": leads,
    "mesh": mesh,
    "gossip": gossip,
    "data-path": data_path,
    "slopes-to-fall": slopes_to_fall,
    "arrivals": arrivals_table,
    "topic": topic,
    "shards": shards,
    "voters": voters,
}
