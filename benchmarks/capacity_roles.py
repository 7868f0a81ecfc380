"""The tables of ``docs/CAPACITY.md`` by role: the load on an ordinary day, at peak and in each failure.

See ``capacity_tables.py`` for the marks of the figures and the arguments of the functions.
"""

from __future__ import annotations

from typing import Any

from capacity_model import (
    BYTES_BUDGET,
    CASA_MAIN_RATE,
    CHANGE_BYTES,
    CHANGES_A_DAY,
    CONNECTIONS,
    DAY_SECONDS,
    DELIVERIES_PER_S,
    LIFETIMES,
    MAX_PEER_ENTRIES,
    PACKET_BYTES,
    PEAK_FACTOR,
    PROXIES,
    PUSH_SERVERS,
    RACK_PROXIES,
    RECONNECT_SECONDS,
    SCRAPE_BYTES,
    SCRAPE_INTERVAL,
    ZONES,
    ZONES_OF_REGION,
    Measurements,
    Range,
    arrivals,
    as_range,
    busy_cores,
    computed,
    connection_memory_bytes,
    connections_per_proxy,
    deliveries_per_proxy,
    full_table_bytes,
    mesh_bytes,
    mesh_cpu,
    mesh_memory,
    ordinary_cores,
    reconnects_per_proxy,
    shards_held,
    table,
)
from capacity_tables import NOT_MEASURED, budget_factor
from scale_weighing import (
    CHANGE_OVERHEAD_BYTES,
    MEMBER_UPDATE_BYTES,
    QUORUM_MESSAGE_BYTES,
    STATUS_UPDATE_BYTES,
    change_bytes,
    member_table_bytes,
    retransmissions,
    swim_bytes,
)


def data_path_days(m: Measurements, _: dict[str, Any]) -> str:
    hour, short = LIFETIMES["1 h"], LIFETIMES["36 s"]
    deliveries = deliveries_per_proxy()

    def row(label: str, additional: float, seconds: float, carried_by: str) -> tuple[str, ...]:
        """Return the row for additional connections within some seconds, at a mean lifetime of 1 h."""
        rate = arrivals(hour) + additional / seconds
        share = 1 + additional / connections_per_proxy()
        busy = busy_cores(m, connections_per_proxy() + additional, deliveries * share, rate)
        return (
            label,
            computed(deliveries * share, "lines out/s"),
            computed(rate, "set-ups/s"),
            computed(busy, "cores"),
            computed(connection_memory_bytes(m, connections_per_proxy() + additional) * 1e-9, "GB"),
            carried_by,
        )

    zone = PROXIES // ZONES
    region = zone * (ZONES - ZONES_OF_REGION)
    refill_rate = arrivals(hour) + connections_per_proxy() / RECONNECT_SECONDS
    rows = [
        row("ordinary day, mean life 1 h (a)", 0.0, 1.0, "one connection to a push server for each client"),
        (
            f"peak: {PEAK_FACTOR} times (a)",
            computed(PEAK_FACTOR * deliveries, "lines out/s"),
            computed(PEAK_FACTOR * arrivals(hour), "set-ups/s"),
            computed(ordinary_cores(m, hour) * PEAK_FACTOR, "cores"),
            computed(connection_memory_bytes(m, connections_per_proxy()) * PEAK_FACTOR * 1e-9, "GB"),
            "more processes",
        ),
        (
            "ordinary day, mean life 36 s (a)",
            computed(deliveries, "lines out/s"),
            computed(arrivals(short), "set-ups/s"),
            computed(ordinary_cores(m, short), "cores"),
            computed(connection_memory_bytes(m, connections_per_proxy()) * 1e-9, "GB"),
            "the same",
        ),
        row(
            "one proxy replaced, its clients within 4 s (a)",
            reconnects_per_proxy(1),
            4.0,
            "`MOVE`, drain plan",
        ),
        row(
            f"a rack of {RACK_PROXIES} (a) lost, back within 60 s (a)",
            reconnects_per_proxy(RACK_PROXIES),
            RECONNECT_SECONDS,
            "the front's notice, BUSY with a retry-after",
        ),
        row(
            f"restart wave: {zone} (w) of one zone, clients within 60 s (a)",
            reconnects_per_proxy(zone),
            RECONNECT_SECONDS,
            "`MOVE`, drain plan, BUSY",
        ),
        row(
            "a zone lost, clients back within 60 s (a)",
            reconnects_per_proxy(zone),
            RECONNECT_SECONDS,
            "BUSY with a retry-after",
        ),
        row(
            "the smaller region lost to its clients, back within 60 s (a)",
            reconnects_per_proxy(region),
            RECONNECT_SECONDS,
            "BUSY with a retry-after; capacity for it is a question",
        ),
        (
            "regions cut from each other",
            computed(deliveries, "lines out/s"),
            computed(arrivals(hour), "set-ups/s"),
            computed(ordinary_cores(m, hour), "cores"),
            computed(connection_memory_bytes(m, connections_per_proxy()) * 1e-9, "GB"),
            "connections over the cut are silent, and moved after 4 to 7 s (a); how many is a question",
        ),
        (
            "healing",
            "as before",
            "none by itself",
            "as before",
            "as before",
            "nothing is moved back at once: 5% (a) a second at most, and none where there are groups",
        ),
        (
            "the zone is back and all its readers return to its proxies within 60 s (a)",
            computed(deliveries, "lines out/s"),
            computed(refill_rate, "set-ups/s"),
            computed(busy_cores(m, connections_per_proxy(), deliveries, refill_rate), "cores"),
            computed(connection_memory_bytes(m, connections_per_proxy()) * 1e-9, "GB"),
            "admission: BUSY with a retry-after",
        ),
    ]
    return table(("proxy: data path", "lines", "set-ups", "CPU", "memory", "carried by"), rows)


def control_days(m: Measurements, _: dict[str, Any]) -> str:
    zone = PROXIES // ZONES
    region = zone * (ZONES - ZONES_OF_REGION)
    table_bytes = m.at("mesh_restart_received", PROXIES) * 1e3 / (PROXIES - 1)
    table_cpu_s = m.at("mesh_restart_take", PROXIES) * 1e-3 / (PROXIES - 1)
    sharded_table_bytes = full_table_bytes(shards_held(connections_per_proxy()))
    copies = computed(m.at("mesh_memory", PROXIES) * 1e-3, "MB")
    truncated_copies = computed(mesh_memory(m, PROXIES, MAX_PEER_ENTRIES) * 1e-6, "MB, cut off")

    def tables(label: str, count: int, carried_by: str) -> tuple[str, ...]:
        """Return the row for complete tables that this proxy sends or receives in addition."""
        transferred = table_bytes * count
        return (
            label,
            computed(transferred * 1e-3, "KB at once"),
            computed(table_cpu_s * count, "core-seconds"),
            copies,
            computed(transferred / BYTES_BUDGET, "s of the budget"),
            computed(sharded_table_bytes * count * 1e-6, "MB at once"),
            carried_by,
        )

    def rates(label: str, rate: float, memory: str, carried_by: str = "full mesh") -> tuple[str, ...]:
        """Return the row for a rate of new connections per second."""
        mesh_bytes_per_s, cpu = mesh_bytes(m, PROXIES, rate), mesh_cpu(m, PROXIES, rate)
        cpu_share = computed(cpu * 100, "%")
        return (
            label,
            computed(mesh_bytes_per_s * 1e-3, "KB/s"),
            cpu_share,
            memory,
            budget_factor(mesh_bytes_per_s, BYTES_BUDGET),
            "in this row",
            carried_by,
        )

    hour = arrivals(LIFETIMES["1 h"])
    rows = [
        rates("ordinary day, casa-main's 2.75 (a) new connections/s", CASA_MAIN_RATE, copies),
        rates("peak: 1.5 (a) times that", PEAK_FACTOR * CASA_MAIN_RATE, copies),
        rates("ordinary day, mean life 1 h (a), 160,000 (a) shards", hour, truncated_copies),
        rates(
            "ordinary day, mean life 36 s (a), 160,000 (a) shards",
            arrivals(LIFETIMES["36 s"]),
            truncated_copies,
        ),
        tables("this proxy restarts: asks all", PROXIES - 1, "ASKS_ALL to each peer"),
        tables(f"a rack of {RACK_PROXIES} (a) restarts: each asks this one", RACK_PROXIES, "ASKS_ALL"),
        tables("restart wave of a zone: each asks this one", zone, "ASKS_ALL"),
        (
            "a zone lost",
            "less by a fifth",
            "less by a fifth",
            "less by a fifth",
            "none",
            "less by a fifth",
            "forgotten 12 s (a) after the last message; its connections fade by half in 30 s (a)",
        ),
        (
            "regions cut from each other",
            "less",
            "less",
            "less",
            "none",
            "less",
            "each side forgets the other; budget shares of the other side are idle for one grant",
        ),
        tables(
            "healing, in the larger region: tables of the smaller one", region, "digests differ, ASKS_ALL"
        ),
        tables(
            "healing, in the smaller region: tables of the larger one",
            PROXIES - region,
            "digests differ, ASKS_ALL",
        ),
        rates(
            "readers of a lost zone come back within 60 s (a)",
            hour + reconnects_per_proxy(zone) / RECONNECT_SECONDS,
            truncated_copies,
        ),
    ]
    head = (
        "proxy: control (today's mesh)",
        "messages, sent plus received",
        "CPU",
        "copies",
        "over the budget",
        "with 160,000 (a) shards",
        "carried by",
    )
    return table(head, rows)


def control_machines(_: Measurements, scale: dict[str, Any]) -> str:
    prepare_round = 2.0 * 4 * (QUORUM_MESSAGE_BYTES + PACKET_BYTES)
    accept = (
        Range(*CHANGE_BYTES) * 4
        + 4 * (CHANGE_OVERHEAD_BYTES + PACKET_BYTES)
        + 4 * (QUORUM_MESSAGE_BYTES + PACKET_BYTES)
    )
    heartbeats = 2.0 * 4 * (QUORUM_MESSAGE_BYTES + PACKET_BYTES)
    measured_text = NOT_MEASURED if not scale else "see the run"
    rows = [
        (
            "ordinary day, any member",
            computed(swim_bytes(PROXIES) * 1e-3, "KB/s"),
            "member table",
            measured_text,
        ),
        (
            "ordinary day, the publisher besides",
            computed((as_range(heartbeats) + accept * (CHANGES_A_DAY / DAY_SECONDS)) * 1e-3, "KB/s"),
            "lease of four voters each second; one accept round a change",
            measured_text,
        ),
        ("a burst of 50 (a) changes", computed(accept * 50 * 1e-3, "KB"), "one after another", measured_text),
        (
            "the publisher fails",
            computed(prepare_round * 2 * 1e-3, "KB"),
            "another voter prepares after 2.5 s (a) without a heartbeat",
            measured_text,
        ),
        ("a zone lost: one voter of five", "less", "a majority of three stays", measured_text),
        (
            "regions cut from each other",
            "less",
            "three voters commit, two do not; which is which depends on the region",
            measured_text,
        ),
        (
            "healing",
            computed(Range(*CHANGE_BYTES) * 1.0, "bytes for each change missed"),
            "the two learn what was committed",
            measured_text,
        ),
        (
            "disk",
            "one small file (a)",
            "promise, accepted change, configuration: at most 256 KiB (a)",
            measured_text,
        ),
    ]
    return table(
        ("control machine (to be)", "messages, sent plus received", "state and mechanism", "measured"), rows
    )


def gossip_days(_: Measurements, __: dict[str, Any]) -> str:
    """Return the bytes that one member sends plus receives for each event with the gossip mechanism."""
    zone = PROXIES // ZONES

    def disseminated(update_bytes: float) -> Range:
        """Return the bytes of updates that every member retransmits, and receives as often."""
        return as_range(2.0 * retransmissions(PROXIES) * update_bytes)

    def row(label: str, cost: Range, carried_by: str) -> tuple[str, ...]:
        return (label, computed(cost * 1e-3, "KB"), computed(cost / BYTES_BUDGET, "s"), carried_by)

    failure_bytes = 2.0 * STATUS_UPDATE_BYTES  # suspected, then dead
    restart_bytes = 2.0 * MEMBER_UPDATE_BYTES  # left, then joined
    burst = Range(*(50 * change_bytes(size) for size in CHANGE_BYTES))
    rows = [
        row("a second of an ordinary day", swim_bytes(PROXIES), "probes, sums, the day's changes"),
        row("a second at peak", swim_bytes(PROXIES), "the same: connections are only summed"),
        row("a machine fails", disseminated(failure_bytes), "probe, indirect probes, suspicion, broadcast"),
        row("this proxy restarts", member_table_bytes(PROXIES), "whole member table, then a snapshot"),
        row(
            f"a rack of {RACK_PROXIES} (a) fails",
            disseminated(RACK_PROXIES * failure_bytes),
            "the same, side by side",
        ),
        row(
            "restart wave of a zone",
            disseminated(zone * restart_bytes),
            "left and joined again, paced by the budget",
        ),
        row(
            "a zone lost",
            disseminated(zone / 5 * STATUS_UPDATE_BYTES),
            "suspicions held once a fifth (a) is suspect",
        ),
        row(
            "regions cut from each other, two zones",
            disseminated(2 * zone / 5 * STATUS_UPDATE_BYTES),
            "the same",
        ),
        row("healing", member_table_bytes(PROXIES) * 2, "comparison of tables, at most all of it both ways"),
        row(
            "readers of a lost zone come back", swim_bytes(PROXIES), "as any second: no word for a connection"
        ),
        row("a burst of 50 (a) changes", burst, "announce and fetch"),
    ]
    return table(
        ("proxy: control (gossip, to be)", "sent plus received", "of the budget", "carried by"), rows
    )


def push_servers(m: Measurements, _: dict[str, Any]) -> str:
    connections = CONNECTIONS / PUSH_SERVERS
    rows = [
        ("connections of one push server", computed(connections), "from every proxy that placed one there"),
        ("lines to us", computed(DELIVERIES_PER_S / PUSH_SERVERS, "/s"), "one connection for each client"),
        (
            "set-ups, mean life 1 h (a)",
            computed(connections / LIFETIMES["1 h"], "/s"),
            "paced while cold, slots else",
        ),
        ("set-ups, mean life 36 s (a)", computed(connections / LIFETIMES["36 s"], "/s"), "the same"),
        (
            "it fails or drains: clients that come back",
            computed(connections, "in all"),
            "placed elsewhere at once",
        ),
        ("the same, to one proxy", computed(connections / PROXIES), "its share"),
        ("a zone of proxies is lost: its connections are reset", computed(connections / ZONES), "the kernel"),
        (
            "the same clients come back within 60 s (a)",
            computed(connections / ZONES / RECONNECT_SECONDS, "set-ups/s"),
            "slots and ceilings of each proxy, learned anew",
        ),
        (
            "the whole list at a proxy",
            computed(m.at("list_text", PUSH_SERVERS), "KB"),
            f"read in {computed(m.at('list_read', PUSH_SERVERS), 'ms')}, "
            f"taken in {computed(m.at('list_whole', PUSH_SERVERS), 'ms')}",
        ),
        (
            "the whole list within 21 KB/s (a), if it counts as control",
            computed(m.at("list_text", PUSH_SERVERS) * 1e3 / BYTES_BUDGET, "s"),
            "a question",
        ),
        (
            "one change of the list",
            computed(m.at("list_change", PUSH_SERVERS), "ms"),
            "each refresh looks at all",
        ),
    ]
    return table(("push server as seen by us, 5,000 of them (a)", "figure", "carried by"), rows)


def tools(_: Measurements, __: dict[str, Any]) -> str:
    scrape_kb_per_s = Range(*SCRAPE_BYTES) * PROXIES / SCRAPE_INTERVAL * 1e-3
    signals_per_day = float(CHANGES_A_DAY * PROXIES)
    rows = [
        (
            "figures of all proxies, every 10 s (a)",
            computed(scrape_kb_per_s, "KB/s"),
            computed(PROXIES / SCRAPE_INTERVAL, "calls/s"),
            "one call a connection at each admin address",
        ),
        (
            "changes of configuration, today",
            "a file each",
            computed(signals_per_day, "SIGHUPs a day"),
            "the operators' own copying",
        ),
        (
            "changes of configuration, to be",
            computed(CHANGES_A_DAY / DAY_SECONDS * 60, "calls/minute"),
            "one call a change",
            "a control member's admin address",
        ),
        (
            "who lacks a change, to be",
            "with the figures",
            "with the figures",
            "position and freshness of each",
        ),
        (
            "a zone or region cut off",
            "less",
            "calls there fail",
            "the other side's own figures tell that it is cut off",
        ),
    ]
    return table(("operator's tools", "bytes or rate", "calls", "mechanism"), rows)


TABLES = {
    "data-path-days": data_path_days,
    "control-days": control_days,
    "control-machines": control_machines,
    "gossip-days": gossip_days,
    "push-servers": push_servers,
    "tools": tools,
}
