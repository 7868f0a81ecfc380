"""The tables of ``docs/CAPACITY.md`` by role: ordinary day, peak and each failure."""

from __future__ import annotations

from typing import Any

from capacity_model import (
    BYTES_BUDGET,
    CASA_MAIN_RATE,
    CHANGE_BYTES,
    CHANGES_A_DAY,
    CONNECTIONS,
    DAY,
    DELIVERIES,
    LIVES,
    MOST_ENTRIES,
    PACKET_BYTES,
    PEAK,
    PROXIES,
    PUSH_SERVERS,
    RACK_PROXIES,
    SCRAPE_BYTES,
    SCRAPE_EVERY,
    SPREAD,
    ZONES,
    ZONES_OF_REGION,
    Measurements,
    Range,
    arrivals,
    busy_cores,
    connections_per_proxy,
    deliveries_per_proxy,
    exactly,
    mesh_bytes,
    mesh_cpu,
    mesh_memory,
    ordinary_cores,
    returning,
    shards_held,
    standing_memory,
    table,
    whole_table_bytes,
    worked,
)
from capacity_tables import NOT_MEASURED, over
from scale_weighing import (
    CHANGE_OVERHEAD,
    MEMBER_UPDATE,
    QUORUM_MESSAGE,
    STATUS_UPDATE,
    change_bytes,
    retransmissions,
    swim_bytes,
    whole_member_table,
)


def data_path_days(m: Measurements, _: dict[str, Any]) -> str:
    hour, short = LIVES["1 h"], LIVES["36 s"]
    deliveries = deliveries_per_proxy()

    def row(what: str, more: float, over_seconds: float, carried: str) -> tuple[str, ...]:
        """So many more connections, which come within so many seconds, beside an ordinary day of 1 h."""
        rate = arrivals(hour) + more / over_seconds
        share = 1 + more / connections_per_proxy()
        busy = busy_cores(m, connections_per_proxy() + more, deliveries * share, rate)
        return (
            what,
            worked(deliveries * share, "lines out/s"),
            worked(rate, "set-ups/s"),
            worked(busy, "cores"),
            worked(standing_memory(m, connections_per_proxy() + more) * 1e-9, "GB"),
            carried,
        )

    zone = PROXIES // ZONES
    region = zone * (ZONES - ZONES_OF_REGION)
    refill = arrivals(hour) + connections_per_proxy() / SPREAD
    rows = [
        row("ordinary day, mean life 1 h (a)", 0.0, 1.0, "one connection to a push server for each client"),
        (
            f"peak: {PEAK} times (a)",
            worked(PEAK * deliveries, "lines out/s"),
            worked(PEAK * arrivals(hour), "set-ups/s"),
            worked(ordinary_cores(m, hour) * PEAK, "cores"),
            worked(standing_memory(m, connections_per_proxy()) * PEAK * 1e-9, "GB"),
            "more processes",
        ),
        (
            "ordinary day, mean life 36 s (a)",
            worked(deliveries, "lines out/s"),
            worked(arrivals(short), "set-ups/s"),
            worked(ordinary_cores(m, short), "cores"),
            worked(standing_memory(m, connections_per_proxy()) * 1e-9, "GB"),
            "the same",
        ),
        row("one proxy replaced, its clients within 4 s (a)", returning(1), 4.0, "`MOVE`, drain plan"),
        row(
            f"a rack of {RACK_PROXIES} (a) lost, back within 60 s (a)",
            returning(RACK_PROXIES),
            SPREAD,
            "the front's notice, BUSY with a retry-after",
        ),
        row(
            f"restart wave: {zone} (w) of one zone, clients within 60 s (a)",
            returning(zone),
            SPREAD,
            "`MOVE`, drain plan, BUSY",
        ),
        row("a zone lost, clients back within 60 s (a)", returning(zone), SPREAD, "BUSY with a retry-after"),
        row(
            "the smaller region lost to its clients, back within 60 s (a)",
            returning(region),
            SPREAD,
            "BUSY with a retry-after; capacity for it is a question",
        ),
        (
            "regions cut from each other",
            worked(deliveries, "lines out/s"),
            worked(arrivals(hour), "set-ups/s"),
            worked(ordinary_cores(m, hour), "cores"),
            worked(standing_memory(m, connections_per_proxy()) * 1e-9, "GB"),
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
            worked(deliveries, "lines out/s"),
            worked(refill, "set-ups/s"),
            worked(busy_cores(m, connections_per_proxy(), deliveries, refill), "cores"),
            worked(standing_memory(m, connections_per_proxy()) * 1e-9, "GB"),
            "admission: BUSY with a retry-after",
        ),
    ]
    return table(("proxy: data path", "lines", "set-ups", "CPU", "memory", "carried by"), rows)


def control_days(m: Measurements, _: dict[str, Any]) -> str:
    zone = PROXIES // ZONES
    region = zone * (ZONES - ZONES_OF_REGION)
    each_table = m.at("mesh_restart_received", PROXIES) * 1e3 / (PROXIES - 1)
    each_cpu = m.at("mesh_restart_take", PROXIES) * 1e-3 / (PROXIES - 1)
    own_table = whole_table_bytes(shards_held(connections_per_proxy()))
    casa_main = worked(m.at("mesh_memory", PROXIES) * 1e-3, "MB")
    cut_off = worked(mesh_memory(m, PROXIES, MOST_ENTRIES) * 1e-6, "MB, cut off")

    def tables(what: str, count: int, carried: str) -> tuple[str, ...]:
        """So many whole tables are told to this proxy or by it, beside the ordinary day."""
        told = each_table * count
        return (
            what,
            worked(told * 1e-3, "KB at once"),
            worked(each_cpu * count, "core-seconds"),
            casa_main,
            worked(told / BYTES_BUDGET, "s of the budget"),
            worked(own_table * count * 1e-6, "MB at once"),
            carried,
        )

    def rates(what: str, rate: float, copies: str, carried: str = "full mesh") -> tuple[str, ...]:
        sent, cpu = mesh_bytes(m, PROXIES, rate), mesh_cpu(m, PROXIES, rate)
        share = worked(cpu * 100, "%")
        return (
            what,
            worked(sent * 1e-3, "KB/s"),
            share,
            copies,
            over(sent, BYTES_BUDGET),
            "in this row",
            carried,
        )

    hour = arrivals(LIVES["1 h"])
    rows = [
        rates("ordinary day, casa-main's 2.75 (a) new connections/s", CASA_MAIN_RATE, casa_main),
        rates("peak: 1.5 (a) times that", PEAK * CASA_MAIN_RATE, casa_main),
        rates("ordinary day, mean life 1 h (a), 160,000 (a) shards", hour, cut_off),
        rates("ordinary day, mean life 36 s (a), 160,000 (a) shards", arrivals(LIVES["36 s"]), cut_off),
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
        rates("readers of a lost zone come back within 60 s (a)", hour + returning(zone) / SPREAD, cut_off),
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
    change = 2.0 * 4 * (QUORUM_MESSAGE + PACKET_BYTES)
    accept = (
        Range(*CHANGE_BYTES) * 4 + 4 * (CHANGE_OVERHEAD + PACKET_BYTES) + 4 * (QUORUM_MESSAGE + PACKET_BYTES)
    )
    beats = 2.0 * 4 * (QUORUM_MESSAGE + PACKET_BYTES)
    told = NOT_MEASURED if not scale else "see the run"
    rows = [
        ("ordinary day, any member", worked(swim_bytes(PROXIES) * 1e-3, "KB/s"), "member table", told),
        (
            "ordinary day, the publisher besides",
            worked((exactly(beats) + accept * (CHANGES_A_DAY / DAY)) * 1e-3, "KB/s"),
            "lease of four voters each second; one accept round a change",
            told,
        ),
        ("a burst of 50 (a) changes", worked(accept * 50 * 1e-3, "KB"), "one after another", told),
        (
            "the publisher fails",
            worked(change * 2 * 1e-3, "KB"),
            "another voter prepares after 2.5 s (a) without a heartbeat",
            told,
        ),
        ("a zone lost: one voter of five", "less", "a majority of three stays", told),
        (
            "regions cut from each other",
            "less",
            "three voters commit, two do not; which is which depends on the region",
            told,
        ),
        (
            "healing",
            worked(Range(*CHANGE_BYTES) * 1.0, "bytes for each change missed"),
            "the two learn what was committed",
            told,
        ),
        ("disk", "one small file (a)", "promise, accepted change, configuration: at most 256 KiB (a)", told),
    ]
    return table(
        ("control machine (to be)", "messages, sent plus received", "state and mechanism", "measured"), rows
    )


def gossip_days(_: Measurements, __: dict[str, Any]) -> str:
    """What one member sends plus receives for each event, with the mechanism that is being built."""
    zone = PROXIES // ZONES

    def passed_on(updates: float) -> Range:
        """Bytes of so many updates, each passed on by every member and heard as often."""
        return exactly(2.0 * retransmissions(PROXIES) * updates)

    def row(what: str, cost: Range, carried: str) -> tuple[str, ...]:
        return (what, worked(cost * 1e-3, "KB"), worked(cost / BYTES_BUDGET, "s"), carried)

    death = 2.0 * STATUS_UPDATE  # suspected, then dead
    replaced = 2.0 * MEMBER_UPDATE  # left, then there again
    burst = Range(*(50 * change_bytes(size) for size in CHANGE_BYTES))
    rows = [
        row("a second of an ordinary day", swim_bytes(PROXIES), "probes, sums, the day's changes"),
        row("a second at peak", swim_bytes(PROXIES), "the same: connections are only summed"),
        row("a machine fails", passed_on(death), "probe, indirect probes, suspicion, broadcast"),
        row("this proxy restarts", whole_member_table(PROXIES), "whole member table, then a snapshot"),
        row(f"a rack of {RACK_PROXIES} (a) fails", passed_on(RACK_PROXIES * death), "the same, side by side"),
        row(
            "restart wave of a zone", passed_on(zone * replaced), "left and joined again, paced by the budget"
        ),
        row(
            "a zone lost", passed_on(zone / 5 * STATUS_UPDATE), "suspicions held once a fifth (a) is suspect"
        ),
        row("regions cut from each other, two zones", passed_on(2 * zone / 5 * STATUS_UPDATE), "the same"),
        row("healing", whole_member_table(PROXIES) * 2, "comparison of tables, at most all of it both ways"),
        row(
            "readers of a lost zone come back", swim_bytes(PROXIES), "as any second: no word for a connection"
        ),
        row("a burst of 50 (a) changes", burst, "announce and fetch"),
    ]
    return table(
        ("proxy: control (gossip, to be)", "sent plus received", "of the budget", "carried by"), rows
    )


def push_servers(m: Measurements, _: dict[str, Any]) -> str:
    each = CONNECTIONS / PUSH_SERVERS
    rows = [
        ("connections of one push server", worked(each), "from every proxy that placed one there"),
        ("lines to us", worked(DELIVERIES / PUSH_SERVERS, "/s"), "one connection for each client"),
        ("set-ups, mean life 1 h (a)", worked(each / LIVES["1 h"], "/s"), "paced while cold, slots else"),
        ("set-ups, mean life 36 s (a)", worked(each / LIVES["36 s"], "/s"), "the same"),
        ("it fails or drains: clients that come back", worked(each, "in all"), "placed elsewhere at once"),
        ("the same, to one proxy", worked(each / PROXIES), "its share"),
        ("a zone of proxies is lost: its connections are reset", worked(each / ZONES), "the kernel"),
        (
            "the same clients come back within 60 s (a)",
            worked(each / ZONES / SPREAD, "set-ups/s"),
            "slots and ceilings of each proxy, learned anew",
        ),
        (
            "the whole list at a proxy",
            worked(m.at("list_text", PUSH_SERVERS), "KB"),
            f"read in {worked(m.at('list_read', PUSH_SERVERS), 'ms')}, "
            f"taken in {worked(m.at('list_whole', PUSH_SERVERS), 'ms')}",
        ),
        (
            "the whole list within 21 KB/s (a), if it counts as control",
            worked(m.at("list_text", PUSH_SERVERS) * 1e3 / BYTES_BUDGET, "s"),
            "a question",
        ),
        (
            "one change of the list",
            worked(m.at("list_change", PUSH_SERVERS), "ms"),
            "each refresh looks at all",
        ),
    ]
    return table(("push server as seen by us, 5,000 of them (a)", "figure", "carried by"), rows)


def tools(_: Measurements, __: dict[str, Any]) -> str:
    reading = Range(*SCRAPE_BYTES) * PROXIES / SCRAPE_EVERY * 1e-3
    signals = float(CHANGES_A_DAY * PROXIES)
    rows = [
        (
            "figures of all proxies, every 10 s (a)",
            worked(reading, "KB/s"),
            worked(PROXIES / SCRAPE_EVERY, "calls/s"),
            "one call a connection at each admin address",
        ),
        (
            "changes of configuration, today",
            "a file each",
            worked(signals, "SIGHUPs a day"),
            "the operators' own copying",
        ),
        (
            "changes of configuration, to be",
            worked(CHANGES_A_DAY / DAY * 60, "calls/minute"),
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
