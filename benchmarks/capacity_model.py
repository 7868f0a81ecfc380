"""What the fleet ahead costs, worked out from measured slopes: constants and formulas, nothing else.

The operators' figures and the assumptions are defined here once, each with its unit; ``Measurements`` reads
the slopes that ``benchmarks/slopes.py --save`` kept.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

# ---- given by the operators ------------------------------------------------------------------------

PROXIES = 490
CONNECTIONS = 44e6
DELIVERIES = 10e6  # a second
SHARDS = 160_000  # of topics; a shard is a group in the module's words
LARGEST_TOPIC = 290_000  # listeners
ZONES, REGIONS = 5, 2
ZONES_OF_REGION = 3  # of the larger one; the other has two
CHANGES_A_DAY = 1_100
CHANGE_WITHIN = 5.0  # s
BYTES_BUDGET = 21e3  # a second, taken as sent plus received
CPU_BUDGET = 0.026  # of a core
MEMORY_BUDGET = 32e6  # bytes
CONTROL_MACHINES = 8
FAILURES_A_DAY, RESTARTS_A_DAY = 2, 50
LIVES = {"36 s": 36.0, "1 h": 3_600.0}  # mean life of a connection
DAY = 86_400.0

# ---- what is assumed; the page's questions ask for it -----------------------------------------------

FULL_SHARE = 0.6  # of a core up to which a process is filled, for 99 deliveries in 100 within 260 ms
PEAK = 1.5  # times the mean
RACK_PROXIES = 10
PUSH_SERVERS = 5_000
LINE_BYTES = (100.0, 400.0)
CHANGE_BYTES = (200.0, 1_000.0)  # of a configuration change; the upper end is what one datagram carries
SPREAD = 60.0  # s over which clients of a lost zone are asked to come back
HEADROOM = 0.3  # of a core that a process keeps for set-ups beside its ordinary work
LONGEST_RETRY_AFTER = 1.1  # s; the longest that a site of today allows (max_retry_after_ms)
REPAIR = DAY  # s until a failed machine is back
SCRAPE_EVERY, SCRAPE_BYTES = 10.0, (1_000.0, 2_000.0)  # the operators' scrape of an admin address

# ---- the mesh of shared state (saltcourse/shared_state) --------------------------------------------

CASA_MAIN_RATE = 2.75  # new connections a second at each proxy in benchmarks/fleet.py
PACKET_BYTES = 28  # IPv4 and UDP headers
PAIR_RECORD_BYTES = 9  # a pair of server and group on the wire: sign and two names of four characters
MESSAGE_BYTES, MESSAGE_HEAD = 256, 9
MESH_PACE = 0.05  # s between messages of one proxy to all
MOST_ENTRIES = 4_096  # of one peer's table that are stored

MAGLEV_ENTRIES = 65_537  # of a table that serves as a hash over all backends

# ---- ranges and how they are shown ------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Range:
    """Both ends are positive or nought."""

    low: float
    high: float

    @classmethod
    def over(cls, values: Iterable[float]) -> Range:
        """The span of the values; noise around nought counts as nought."""
        found = [max(0.0, value) for value in values]
        return cls(min(found), max(found))

    def __add__(self, other: Range | float) -> Range:
        other = exactly(other)
        return Range(self.low + other.low, self.high + other.high)

    def __mul__(self, other: Range | float) -> Range:
        other = exactly(other)
        return Range(self.low * other.low, self.high * other.high)

    def __truediv__(self, other: Range | float) -> Range:
        other = exactly(other)
        return Range(self.low / other.high, self.high / other.low if other.low else math.inf)


def exactly(value: Range | float) -> Range:
    return value if isinstance(value, Range) else Range(float(value), float(value))


def digits(value: float) -> str:
    """Three significant digits, thousands set apart."""
    if value == 0 or not math.isfinite(value):
        return "0" if value == 0 else "no bound"
    rounded = float(f"{value:.3g}")
    if rounded >= 1_000:
        return f"{rounded:,.0f}"
    places = max(0, 2 - math.floor(math.log10(rounded)))
    text = f"{rounded:.{min(places, 4)}f}"
    return (text.rstrip("0").rstrip(".") if "." in text else text) or "0"


def show(value: Range | float, unit: str, mark: str) -> str:
    """A figure with its unit and its mark; one number where both ends look the same."""
    found = exactly(value)
    low, high = digits(found.low), digits(found.high)
    figure = low if low == high else f"{low} to {high}"
    gap = "" if not unit or unit.startswith(("%", "x", "/")) else " "
    return f"{figure}{gap}{unit} ({mark})"


def worked(value: Range | float, unit: str = "") -> str:
    return show(value, unit, "w")


def assumed(value: Range | float, unit: str = "") -> str:
    return show(value, unit, "a")


def measured(value: Range | float, unit: str = "") -> str:
    return show(value, unit, "m")


def table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    names = list(head)
    lines = ["| " + " | ".join(names) + " |", "| " + " | ".join("---" for _ in names) + " |"]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


# ---- what was measured ------------------------------------------------------------------------------


class Measurements:
    """The kept slopes, each fitted by repetition."""

    def __init__(self, kept: dict[str, Any]) -> None:
        self.kept, self.slopes = kept, kept["slopes"]

    def _fits(self, name: str) -> list[tuple[float, float]]:
        found = self.slopes[name]
        lines = [statistics.linear_regression(found["sizes"], row) for row in found["values"]]
        return [(line.intercept, line.slope) for line in lines]

    def slope(self, name: str) -> Range:
        return Range.over(slope for _, slope in self._fits(name))

    def at(self, name: str, size: float) -> Range:
        """By the fitted lines, at any size."""
        return Range.over(intercept + slope * size for intercept, slope in self._fits(name))

    def seen(self, name: str, size: int) -> Range:
        """As it was measured at one of the sizes."""
        at = self.slopes[name]["sizes"].index(size)
        return Range.over(row[at] for row in self.slopes[name]["values"])

    def ratio(self, name: str) -> Range:
        """Over the control, repetition by repetition."""
        pairs = zip(self._fits(name), self._fits(f"{name}_control"), strict=True)
        return Range.over(ours / control if control > 0 else math.inf for (_, ours), (_, control) in pairs)

    def size_at(self, name: str, budget: float) -> Range:
        """The size at which the fitted lines reach a budget."""
        return Range.over((budget - intercept) / slope for intercept, slope in self._fits(name))


# ---- formulas: the data path ------------------------------------------------------------------------


def connections_per_proxy(proxies: float = PROXIES) -> float:
    return CONNECTIONS / proxies


def deliveries_per_proxy() -> float:
    return DELIVERIES / PROXIES


def arrivals(life: float) -> float:
    """New connections a second at one proxy, by the mean life of a connection (Little's law)."""
    return connections_per_proxy() / life


def cores(rate: Range | float, cpu_ms: Range) -> Range:
    """Cores that so many events a second keep busy."""
    return cpu_ms * rate * 1e-3


def processes(busy: Range) -> Range:
    """Processes of one core each, filled no further than allowed."""
    return Range(math.ceil(busy.low / FULL_SHARE), math.ceil(busy.high / FULL_SHARE))


def returning(lost: int) -> float:
    """Connections that come to each of the proxies that are left when so many are lost."""
    return connections_per_proxy() * lost / (PROXIES - lost)


def time_to_take(waiting: float, set_up_ms: Range, spare_cores: Range | float) -> Range:
    """s in which so many connections can be set up at one machine."""
    return set_up_ms * waiting * 1e-3 / spare_cores


def largest_topic_per_proxy() -> float:
    return LARGEST_TOPIC / PROXIES


def busy_cores(m: Measurements, connections: float, deliveries: float, set_ups: float) -> Range:
    """What one machine's connections, lines one way and set-ups (both a second) keep busy."""
    standing = cores(connections, m.slope("connection_idle"))
    return cores(deliveries, m.slope("delivery")) + cores(set_ups, m.slope("set_up")) + standing


def ordinary_cores(m: Measurements, life: float) -> Range:
    return busy_cores(m, connections_per_proxy(), deliveries_per_proxy(), arrivals(life))


def all_cores(m: Measurements) -> Range:
    """From the long life to the short one."""
    return Range(ordinary_cores(m, LIVES["1 h"]).low, ordinary_cores(m, LIVES["36 s"]).high)


def standing_memory(m: Measurements, connections: float) -> Range:
    """Bytes of the process, without the kernel's."""
    return m.slope("connection_memory") * connections * 1e3


# ---- formulas: shards and today's mesh --------------------------------------------------------------


def shards_held(connections: float, shards: float = SHARDS) -> float:
    """Different shards among so many connections spread evenly over all shards; fewer when they are not."""
    return shards * -math.expm1(connections * math.log1p(-1 / shards))


def mesh_per_connection(m: Measurements, name: str) -> Range:
    """What one more new connection a second at each proxy adds, for each peer."""
    return m.slope(name) / ((m.slopes["mesh_sent"]["sizes"][1] - 1) * CASA_MAIN_RATE)


def mesh_at(m: Measurements, name: str, proxies: int, rate: float) -> Range:
    """At casa-main's rate by the slope over fleet sizes, and what a higher rate adds."""
    more = max(0.0, rate - CASA_MAIN_RATE)
    added = mesh_per_connection(m, f"{name}_crowd") * (more * (proxies - 1))
    return m.at(name, proxies) + added


def mesh_messages(m: Measurements, proxies: int, rate: float) -> Range:
    """Received by one proxy a second. A peer tells all at most once in its pace, in as many as the records
    fill: two for each new connection, one when it comes and one when it goes."""
    full = 2 * rate * PAIR_RECORD_BYTES / (MESSAGE_BYTES - MESSAGE_HEAD)
    most = (proxies - 1) * max(1 / MESH_PACE, full)
    found = mesh_at(m, "mesh_messages", proxies, rate)
    return Range(min(found.low, most), min(found.high, most))


def mesh_sent_per_connection(m: Measurements) -> Range:
    """KB to one peer for one new connection. The lower end has the records alone, a fresh pair told when it
    comes and when it goes; the upper end is the line through several rates of new connections, in which
    answers to lost messages grow with the tables."""
    fresh = shards_held(connections_per_proxy()) / connections_per_proxy()
    records = 2 * PAIR_RECORD_BYTES * fresh * 1e-3
    line = mesh_per_connection(m, "mesh_sent_crowd")
    return Range(min(records, line.low), line.high)


def mesh_sent(m: Measurements, proxies: int, rate: float) -> Range:
    """KB that one proxy sends a second, without headers."""
    more = max(0.0, rate - CASA_MAIN_RATE) * (proxies - 1)
    return m.at("mesh_sent", proxies) + mesh_sent_per_connection(m) * more


def mesh_bytes(m: Measurements, proxies: int, rate: float = CASA_MAIN_RATE) -> Range:
    """Sent plus received by one proxy a second, IP and UDP headers included."""
    headers = mesh_messages(m, proxies, rate) * (2 * PACKET_BYTES)
    return mesh_sent(m, proxies, rate) * 2e3 + headers


def mesh_cpu(m: Measurements, proxies: int, rate: float = CASA_MAIN_RATE) -> Range:
    """Share of a core: messages read and made, and their datagrams."""
    datagrams = (m.slope("datagram_take") + m.slope("datagram_send")) * mesh_messages(m, proxies, rate)
    made = m.at("mesh_send", proxies)
    return (mesh_at(m, "mesh_take", proxies, rate) + made + datagrams) * 1e-3


def bytes_limit(m: Measurements) -> Range:
    """The fleet at which the mesh's bytes, sent plus received with headers, reach the budget."""
    return fleet_at(lambda n: mesh_bytes(m, n), BYTES_BUDGET)


def cpu_limit(m: Measurements) -> Range:
    """The fleet at which the mesh's CPU reaches the budget."""
    return fleet_at(lambda n: mesh_cpu(m, n), CPU_BUDGET)


def fleet_at(cost: Callable[[int], Range], budget: float) -> Range:
    """The smallest fleets of which the dear end and the cheap end of the cost reach a budget."""
    sizes = range(2, 10_000)
    low = next(n for n in sizes if cost(n).high >= budget)
    return Range(low, next(n for n in sizes if cost(n).low >= budget))


def mesh_memory(m: Measurements, proxies: int, pairs: float) -> Range:
    """Bytes of the copies of all peers' pairs."""
    return m.slope("pair_of_peer") * (1e3 * pairs * (proxies - 1))


def whole_table_bytes(pairs: float) -> float:
    """One peer's whole table on the wire, in messages of 256 bytes."""
    each = (MESSAGE_BYTES - MESSAGE_HEAD) // PAIR_RECORD_BYTES
    return pairs * PAIR_RECORD_BYTES + math.ceil(pairs / each) * (MESSAGE_HEAD + PACKET_BYTES)


# ---- formulas: voters -------------------------------------------------------------------------------


def majority(voters: int) -> int:
    return voters // 2 + 1


def unavailable(voters: int, down: float) -> float:
    """Chance that no majority is up, machines failing apart from each other."""
    lost = voters - majority(voters) + 1
    return sum(math.comb(voters, k) * down**k * (1 - down) ** (voters - k) for k in range(lost, voters + 1))


def machine_down() -> float:
    """Share of the time that one machine is down."""
    return FAILURES_A_DAY * REPAIR / DAY / (PROXIES + CONTROL_MACHINES)
