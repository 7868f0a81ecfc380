"""The tables of ``docs/CAPACITY.md`` that answer its questions, each a function of what was measured.

Each figure carries its mark: (m) measured here, (w) worked out from measured slopes, (a) assumed.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from capacity_model import (
    BYTES_BUDGET,
    CHANGE_WITHIN,
    CONTROL_MACHINES,
    CPU_BUDGET,
    FULL_SHARE,
    HEADROOM,
    LARGEST_TOPIC,
    LINE_BYTES,
    LIVES,
    LONGEST_RETRY_AFTER,
    MAGLEV_ENTRIES,
    MEMORY_BUDGET,
    MOST_ENTRIES,
    PEAK,
    PROXIES,
    PUSH_SERVERS,
    SCRAPE_BYTES,
    SCRAPE_EVERY,
    SHARDS,
    SPREAD,
    ZONES,
    Measurements,
    Range,
    all_cores,
    arrivals,
    assumed,
    bytes_limit,
    connections_per_proxy,
    cores,
    deliveries_per_proxy,
    exactly,
    largest_topic_per_proxy,
    machine_down,
    majority,
    measured,
    mesh_bytes,
    mesh_cpu,
    mesh_memory,
    mesh_per_connection,
    ordinary_cores,
    processes,
    returning,
    shards_held,
    standing_memory,
    table,
    time_to_take,
    unavailable,
    whole_table_bytes,
    worked,
)

NOT_MEASURED = "not measured yet"
Build = Callable[[Measurements, dict[str, Any]], str]


def over(value: Range, budget: float) -> str:
    return worked(value / budget, "x")


def link(name: str) -> str:
    return f"[{name}](#{name.replace(' ', '-')})"


def gossip_figure(scale: dict[str, Any], key: str, unit: str, factor: float = 1.0) -> str:
    return measured(scale[key] * factor, unit) if key in scale else NOT_MEASURED


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
    busy, held = all_cores(m), standing_memory(m, connections_per_proxy())
    mesh = [mesh_bytes(m, PROXIES), mesh_cpu(m, PROXIES), m.at("mesh_memory", PROXIES) * 1e3]
    pairs = shards_held(connections_per_proxy())
    own = mesh_bytes(m, PROXIES, arrivals(LIVES["1 h"]))
    placing = cores(arrivals(LIVES["1 h"]), m.at("placement_new_group", PUSH_SERVERS))
    gossip = "membership and dissemination (`saltcourse/gossip/`)"
    rows = [
        (
            "proxy: data path, CPU",
            assumed(1, "core a process"),
            worked(busy, "cores"),
            over(busy, 1.0),
            "several processes a machine, one gossip member for all",
            "not touched",
            link("data path"),
        ),
        (
            "proxy: data path, memory",
            "none told",
            worked(held * 1e-9, "GB"),
            "none told",
            "a cheaper connection, see below",
            "not touched",
            link("data path"),
        ),
        (
            "proxy: control, bytes, at casa-main's rate of new connections",
            assumed(BYTES_BUDGET / 1e3, "KB/s"),
            worked(mesh[0] * 1e-3, "KB/s"),
            over(mesh[0], BYTES_BUDGET),
            gossip,
            gossip_figure(scale, "n490_control_bytes_per_s_max", "KB/s", 1e-3),
            link("mesh"),
        ),
        (
            "proxy: control, CPU",
            assumed(100 * CPU_BUDGET, "%"),
            worked(mesh[1] * 100, "%"),
            over(mesh[1], CPU_BUDGET),
            gossip,
            gossip_figure(scale, "n490_control_cpu_share_max", "%", 100.0),
            link("mesh"),
        ),
        (
            "proxy: control, memory",
            assumed(MEMORY_BUDGET / 1e6, "MB"),
            worked(mesh[2] * 1e-6, "MB"),
            over(mesh[2], MEMORY_BUDGET),
            gossip,
            gossip_figure(scale, "n490_control_memory_mb_max", "MB"),
            link("mesh"),
        ),
        (
            "proxy: control, bytes, at 1 h (a) of mean life",
            assumed(BYTES_BUDGET / 1e3, "KB/s"),
            worked(own * 1e-3, "KB/s"),
            over(own, BYTES_BUDGET),
            "nothing told for each group",
            NOT_MEASURED,
            link("shards"),
        ),
        (
            "proxy: control, memory, with 160,000 (a) shards",
            assumed(MEMORY_BUDGET / 1e6, "MB"),
            worked(mesh_memory(m, PROXIES, pairs) * 1e-6, "MB if nothing were cut off"),
            over(mesh_memory(m, PROXIES, pairs), MEMORY_BUDGET),
            "nothing told for each group",
            NOT_MEASURED,
            link("shards"),
        ),
        (
            f"proxy: placement of a group, {PUSH_SERVERS:,} (a) push servers, 1 h (a)",
            "none told",
            worked(placing, "cores"),
            "none told",
            "an issue of its own: a table instead of a hash for each server",
            NOT_MEASURED,
            link("shards"),
        ),
        (
            "proxy: a configuration change",
            assumed(CHANGE_WITHIN, "s everywhere"),
            "a file and a SIGHUP on each machine",
            "no bound",
            gossip,
            gossip_figure(scale, "n490_change_everywhere_s_max", "s"),
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
            worked(arrivals(LIVES["1 h"]) * PROXIES / PUSH_SERVERS, "set-ups/s each"),
            "none told",
            "as today",
            "not touched",
            link("push server"),
        ),
        ("zone relay", "none", "none", "none", "none needed", "none", link("zone relay")),
        (
            "operator's tools",
            "none told",
            worked(Range(*SCRAPE_BYTES) * PROXIES / SCRAPE_EVERY * 1e-3, "KB/s to read every admin address"),
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
        largest = measured(m.seen(name, slope["sizes"][-1]))
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
    """The leads of the issue, each beside what was measured here."""

    def at(name: str, size: int, factor: float, unit: str) -> str:
        return measured(m.seen(name, size) * factor, unit)

    rows = []
    for size, sent, cpu, memory in (
        (20, 4.3, 0.6, 0.9),
        (40, 9.7, 1.2, 2.2),
        (80, 22.3, 2.8, 4.7),
        (160, 46.1, 7.2, 10.1),
    ):
        rows += [
            (f"sent by each of {size} (a) proxies", assumed(sent, "KB/s"), at("mesh_sent", size, 1, "KB/s")),
            (f"CPU to take what {size} (a) proxies send", assumed(cpu, "%"), at("mesh_take", size, 0.1, "%")),
            (
                f"copies of {size} (a) proxies' tables",
                assumed(memory, "MB"),
                at("mesh_memory", size, 1e-3, "MB"),
            ),
        ]
    rows += [
        ("sent by each of 490 (a) proxies", assumed(141, "KB/s, if linear"), at("mesh_sent", 490, 1, "KB/s")),
        (
            "CPU to take what 490 (a) proxies send",
            assumed(22, "%, if linear"),
            at("mesh_take", 490, 0.1, "%"),
        ),
        (
            "copies of 490 (a) proxies' tables",
            assumed(31, "MB, if linear"),
            at("mesh_memory", 490, 1e-3, "MB"),
        ),
        (
            "fleet at which 21 KB/s (a) are reached, sent alone",
            assumed(80, "proxies"),
            worked(m.size_at("mesh_sent", BYTES_BUDGET / 1e3), "proxies"),
        ),
        (
            "the same, sent plus received with headers",
            assumed(40, "proxies"),
            worked(bytes_limit(m), "proxies"),
        ),
        ("a standing connection", assumed(Range(41, 42), "KB"), measured(m.slope("connection_memory"), "KB")),
        (
            "the same, bare pass-through",
            assumed(12, "KB"),
            measured(m.slope("connection_memory_control"), "KB"),
        ),
        ("a line there and back", assumed(Range(0.37, 0.59), "ms"), measured(m.slope("line_trip"), "ms")),
        (
            "the same, bare pass-through",
            assumed(Range(0.16, 0.25), "ms"),
            measured(m.slope("line_trip_control"), "ms"),
        ),
        ("a set-up", assumed(Range(1.9, 2.2), "ms"), measured(m.slope("set_up"), "ms")),
        (
            "the same, bare pass-through",
            assumed(Range(1.0, 1.2), "ms"),
            measured(m.slope("set_up_control"), "ms"),
        ),
        (
            "a placement of a group that is new here, 1,000 (a) servers",
            assumed(Range(2.3, 3.6), "ms"),
            at("placement_new_group", 1000, 1, "ms"),
        ),
        (
            "a placement without groups, up to 5,000 (a) servers",
            assumed(Range(0.05, 0.13), "ms"),
            at("placement", 5000, 1, "ms"),
        ),
        ("one list change, 5,000 (a) servers", assumed(26, "ms"), at("list_change", 5000, 1, "ms")),
        (
            "a whole list, 5,000 (a) servers: the first one",
            assumed(81, "ms"),
            at("list_first", 5000, 1, "ms"),
        ),
        ("a whole list, 5,000 (a) servers: a later one", assumed(81, "ms"), at("list_whole", 5000, 1, "ms")),
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
                worked(sent * 1e-3, "KB/s"),
                over(sent, BYTES_BUDGET),
                worked(cpu * 100, "%"),
                over(cpu, CPU_BUDGET),
                worked(memory * 1e-6, "MB"),
                over(memory, MEMORY_BUDGET),
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
        changes = [gossip_figure(scale, f"{key}_change_everywhere_s_{end}", "s") for end in ("p99", "max")]
        rows.append(
            (
                assumed(size, "proxies"),
                worked(mesh_bytes(m, size) * 1e-3, "KB/s"),
                gossip_figure(scale, f"{key}_control_bytes_per_s_max", "KB/s", 1e-3),
                gossip_figure(scale, f"{key}_control_cpu_share_max", "%", 100.0),
                gossip_figure(scale, f"{key}_control_memory_mb_max", "MB"),
                NOT_MEASURED if NOT_MEASURED in changes else ", ".join(changes),
                gossip_figure(scale, f"{key}_after_cut_agree_s_max", "s"),
            )
        )
    return table(
        (
            "fleet",
            "today's mesh",
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
    one_way = cores(deliveries, m.slope("delivery"))
    answered = cores(deliveries, m.slope("line_trip"))
    rows = [
        ("standing connections", worked(connections, "a machine"), "44 million (a) over 490 (a)"),
        ("deliveries, lines one way", worked(one_way, "cores"), "`delivery` at 20,400/s (w)"),
        ("deliveries, each answered by the client", worked(answered, "cores"), "`line_trip` at 20,400/s (w)"),
        (
            "standing still",
            worked(m.slope("connection_idle") * connections * 1e-3, "cores"),
            "`connection_idle` at 89,800 (w)",
        ),
        (
            "memory of the process or processes",
            worked(standing_memory(m, connections) * 1e-9, "GB"),
            "`connection_memory` at 89,800 (w); the kernel's share comes on top",
        ),
        (
            "the same, bare pass-through",
            worked(m.slope("connection_memory_control") * connections * 1e-6, "GB"),
            "control",
        ),
    ]
    for life, seconds in LIVES.items():
        busy = ordinary_cores(m, seconds)
        setting_up = cores(arrivals(seconds), m.slope("set_up"))
        rows += [
            (
                f"set-ups at a mean life of {life} (a)",
                worked(setting_up, "cores"),
                f"`set_up` at {worked(arrivals(seconds), '/s')}",
            ),
            (f"all, at a mean life of {life} (a)", worked(busy, "cores"), "deliveries one way and set-ups"),
            (
                f"processes a machine, at a mean life of {life} (a)",
                worked(processes(busy), "processes"),
                f"each filled to {assumed(100 * FULL_SHARE, '%')} at most",
            ),
            (
                f"the same at peak, mean life {life} (a)",
                worked(processes(busy * PEAK), "processes"),
                f"{assumed(PEAK, 'x')} the mean",
            ),
        ]
    return table(("what", "today", "from"), rows)


def slopes_to_fall(m: Measurements, _: dict[str, Any]) -> str:
    """What each slope may be if one process of one core is to carry a proxy's part of it alone."""
    rows = []
    parts = [("delivery", "delivery", deliveries_per_proxy())]
    parts += [
        (f"set-up, mean life {life} (a)", "set_up", arrivals(seconds)) for life, seconds in LIVES.items()
    ]
    for what, name, rate in parts:
        allowed = FULL_SHARE / rate * 1e3
        ours, control = m.slope(name), m.slope(f"{name}_control")
        rows.append(
            (
                what,
                worked(ours, "ms"),
                worked(allowed, "ms"),
                worked(ours / allowed, "x"),
                worked(control / allowed, "x"),
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
    wave = returning(zone)
    rows: list[tuple[str, ...]] = []
    for life, seconds in LIVES.items():
        rate = arrivals(seconds)
        rows.append(
            (
                f"ordinary, mean life {life} (a)",
                worked(rate, "/s"),
                worked(cores(rate, m.slope("set_up")), "cores"),
                "none",
            )
        )
    rows += [
        (
            f"all of a lost zone of {zone} (w) proxies, at once",
            worked(wave, "come to each proxy that is left"),
            worked(cores(wave, m.slope("set_up")), "core-seconds"),
            "none",
        ),
        (
            "the same spread over 60 s (a)",
            worked(wave / SPREAD, "/s"),
            worked(cores(wave / SPREAD, m.slope("set_up")), "cores"),
            "retry after 1 to 60 s (a), drawn evenly",
        ),
        (
            "one process that keeps 30% (a) of its core for set-ups",
            worked(exactly(HEADROOM * 1e3) / m.slope("set_up"), "/s"),
            assumed(HEADROOM, "cores"),
            f"the wave takes {worked(time_to_take(wave, m.slope('set_up'), HEADROOM), 's')}",
        ),
        (
            "eight such processes a machine (a)",
            worked(exactly(8 * HEADROOM * 1e3) / m.slope("set_up"), "/s"),
            assumed(8 * HEADROOM, "cores"),
            f"the wave takes {worked(time_to_take(wave, m.slope('set_up'), 8 * HEADROOM), 's')}",
        ),
        (
            "refusals, when all come again within the 1.1 s (a) that a site of today allows",
            worked(Range(wave / LONGEST_RETRY_AFTER, wave / (LONGEST_RETRY_AFTER / 2)), "/s"),
            worked(
                cores(
                    Range(wave / LONGEST_RETRY_AFTER, wave / (LONGEST_RETRY_AFTER / 2)), m.slope("refusal")
                ),
                "cores for refusals alone",
            ),
            "a longer retry-after: the wave over the rate of admission",
        ),
    ]
    return table(("what", "new connections", "CPU a proxy", "held to that by"), rows)


def topic(m: Measurements, _: dict[str, Any]) -> str:
    listeners = largest_topic_per_proxy()
    one_by_one = cores(LARGEST_TOPIC, m.slope("delivery"))
    bytes_in = Range(*LINE_BYTES) * LARGEST_TOPIC * 1e-6
    writing = Range(m.slope("delivery").low * 0.5, m.slope("delivery").high)
    rows = [
        (
            "lines into the proxies",
            worked(LARGEST_TOPIC, "in the whole fleet"),
            worked(PROXIES, "in the fleet"),
        ),
        ("lines into one proxy", worked(listeners), worked(1)),
        (
            "bytes from push servers to proxies",
            worked(bytes_in, "MB"),
            worked(Range(*LINE_BYTES) * PROXIES * 1e-6, "MB"),
        ),
        (
            "CPU of the fleet",
            worked(one_by_one, "core-seconds"),
            worked(cores(LARGEST_TOPIC, writing), "core-seconds"),
        ),
        (
            "CPU of one proxy",
            worked(cores(listeners, m.slope("delivery")) * 1e3, "ms"),
            worked(cores(listeners, writing) * 1e3, "ms"),
        ),
        (
            "last listener of one proxy served after, if its one process does nothing else",
            worked(cores(listeners, m.slope("delivery")) * 1e3, "ms"),
            worked(cores(listeners, writing) * 1e3, "ms"),
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
    table_bytes = whole_table_bytes(pairs)
    peers = PROXIES - 1
    rate = arrivals(LIVES["1 h"])
    rows = [
        ("shards held by one proxy, if spread evenly", worked(pairs, "pairs"), worked(pairs, "pairs")),
        ("memory in the module, one group", measured(m.slope("group_in_module"), "KB"), "the same"),
        (
            "memory in the module, all of a proxy's",
            worked(m.slope("group_in_module") * pairs * 1e-3, "MB"),
            "the same",
        ),
        ("memory in the mesh, one peer's pair", measured(m.slope("pair_of_peer"), "KB"), "none kept"),
        (
            "memory in the mesh, all peers' pairs",
            worked(mesh_memory(m, PROXIES, pairs) * 1e-9, "GB"),
            "none kept",
        ),
        (
            "the same, cut off at 4,096 (a) entries a peer",
            worked(mesh_memory(m, PROXIES, MOST_ENTRIES) * 1e-6, "MB, and no copy ever agrees"),
            "none kept",
        ),
        (
            "all of a fleet's shards in one table",
            worked(m.slope("pair_of_peer") * SHARDS * 1e-3, "MB"),
            worked(MAGLEV_ENTRIES * 4e-6, "MB for a Maglev table of push servers"),
        ),
        (
            "bytes to and from one proxy for one new connection at each",
            worked(mesh_per_connection(m, "mesh_sent_crowd") * 2e3 * peers * 1e-3, "KB"),
            "none",
        ),
        ("messages, mean life 1 h (a)", worked(mesh_bytes(m, PROXIES, rate) * 1e-3, "KB/s"), "none"),
        ("CPU to take them, mean life 1 h (a)", worked(mesh_cpu(m, PROXIES, rate), "cores"), "none"),
        ("one peer's whole table", worked(table_bytes * 1e-3, "KB"), "none"),
        ("all tables to a proxy that starts", worked(table_bytes * peers * 1e-6, "MB"), "none"),
        ("time for that within 21 KB/s (a)", worked(table_bytes * peers / BYTES_BUDGET / 3_600, "h"), "none"),
        (
            "a placement of a group that is new here, 5,000 servers (a)",
            measured(m.seen("placement_new_group", PUSH_SERVERS), "ms"),
            "a look into a table; not built",
        ),
        (
            "placements at a mean life of 1 h (a)",
            worked(cores(rate, m.at("placement_new_group", PUSH_SERVERS)), "cores"),
            "not built",
        ),
        (
            "placements at a mean life of 36 s (a)",
            worked(cores(arrivals(LIVES["36 s"]), m.at("placement_new_group", PUSH_SERVERS)), "cores"),
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
    for count, placed in placements.items():
        most_in_zone = math.ceil(count / ZONES)
        lost = count - majority(count)
        rows.append(
            (
                assumed(count, "voters"),
                placed + " (a)",
                worked(majority(count), "of them"),
                worked(lost),
                "yes (w)" if lost >= most_in_zone + 1 else "no (w)",
                f"{unavailable(count, machine_down()):.0e} (w)",
                worked(2 * (count - 1), "messages"),
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


TABLES: dict[str, Build] = {
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
