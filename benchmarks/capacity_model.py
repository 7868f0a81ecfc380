"""Capacity model of the planned fleet: constants, and formulas that use measured slopes.

The operators' requirements and the assumptions are defined here, each with its unit. ``Measurements`` gives
access to the slopes that ``benchmarks/slopes.py --save`` wrote. Formulas return a ``Range`` from the lowest
to the highest value that the measurements and assumptions allow.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

# ---- requirements of the operators -----------------------------------------------------------------

PROXIES = 490
CONNECTIONS = 44e6  # in the whole fleet
DELIVERIES_PER_S = 10e6  # lines per second in the whole fleet
SHARDS = 160_000  # shards of topics; the balancer calls a shard a group
LARGEST_TOPIC = 290_000  # listeners
ZONES, REGIONS = 5, 2
ZONES_OF_REGION = 3  # in the larger region; the other has two
CHANGES_A_DAY = 1_100
CHANGE_DEADLINE = 5.0  # seconds until a configuration change has reached every proxy
BYTES_BUDGET = 21e3  # bytes per second of control traffic per proxy, sent plus received
CPU_BUDGET = 0.026  # cores for control traffic per proxy
MEMORY_BUDGET = 32e6  # bytes
CONTROL_MACHINES = 8
FAILURES_A_DAY, RESTARTS_A_DAY = 2, 50
LIFETIMES = {"36 s": 36.0, "1 h": 3_600.0}  # mean lifetime of a connection in seconds
DAY_SECONDS = 86_400.0  # seconds

# ---- assumptions, which the page asks the operators to confirm --------------------------------------

MAX_UTILIZATION = 0.6  # of a core, the utilization limit of a process for 99% of deliveries within 260 ms
PEAK_FACTOR = 1.5  # ratio of the peak load to the mean
RACK_PROXIES = 10
PUSH_SERVERS = 5_000
LINE_BYTES = (100.0, 400.0)
CHANGE_BYTES = (200.0, 1_000.0)  # of a configuration change; the upper end fills one datagram
RECONNECT_SECONDS = 60.0  # seconds over which the clients of a lost zone are asked to reconnect
SET_UP_CORES = 0.3  # of a core, which a process reserves for set-ups in addition to its ordinary load
MAX_RETRY_AFTER = 1.1  # seconds; the maximum that current sites configure (max_retry_after_ms)
REPAIR_SECONDS = DAY_SECONDS  # seconds until a failed machine is repaired
SCRAPE_INTERVAL, SCRAPE_BYTES = 10.0, (1_000.0, 2_000.0)  # seconds, and bytes of one /_vars response

# ---- the mesh of shared state (saltcourse/shared_state) --------------------------------------------

CASA_MAIN_RATE = 2.75  # new connections per second at each proxy in benchmarks/fleet.py
PACKET_BYTES = 28  # IPv4 and UDP headers
PAIR_RECORD_BYTES = 9  # an encoded (server, group) pair: a sign and two names of four characters
MESSAGE_BYTES, MESSAGE_HEADER_BYTES = 256, 9  # the maximum size of a message, and its header
BROADCAST_INTERVAL = 0.05  # seconds between two broadcasts of one proxy
MAX_PEER_ENTRIES = 4_096  # the limit of stored entries per peer

MAGLEV_ENTRIES = 65_537  # entries of a Maglev hash table over all backends

# ---- ranges and their formatting --------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Range:
    """A range of values; both ends are zero or positive."""

    low: float
    high: float

    @classmethod
    def over(cls, values: Iterable[float]) -> Range:
        """Return the span of the values; a negative value, which is noise around zero, counts as zero."""
        non_negative = [max(0.0, value) for value in values]
        return cls(min(non_negative), max(non_negative))

    def __add__(self, other: Range | float) -> Range:
        other = as_range(other)
        return Range(self.low + other.low, self.high + other.high)

    def __mul__(self, other: Range | float) -> Range:
        other = as_range(other)
        return Range(self.low * other.low, self.high * other.high)

    def __truediv__(self, other: Range | float) -> Range:
        other = as_range(other)
        return Range(self.low / other.high, self.high / other.low if other.low else math.inf)


def as_range(value: Range | float) -> Range:
    """Return a number as a range without width; return a range unchanged."""
    return value if isinstance(value, Range) else Range(float(value), float(value))


def format_number(value: float) -> str:
    """Format a number with three significant digits and a thousands separator."""
    if value == 0 or not math.isfinite(value):
        return "0" if value == 0 else "no bound"
    rounded = float(f"{value:.3g}")
    if rounded >= 1_000:
        return f"{rounded:,.0f}"
    places = max(0, 2 - math.floor(math.log10(rounded)))
    text = f"{rounded:.{min(places, 4)}f}"
    return (text.rstrip("0").rstrip(".") if "." in text else text) or "0"


def format_figure(value: Range | float, unit: str, mark: str) -> str:
    """Format a figure with its unit and its mark; a single number if both ends format the same."""
    ends = as_range(value)
    low, high = format_number(ends.low), format_number(ends.high)
    figure = low if low == high else f"{low} to {high}"
    separator = "" if not unit or unit.startswith(("%", "x", "/")) else " "
    return f"{figure}{separator}{unit} ({mark})"


def computed(value: Range | float, unit: str = "") -> str:
    """Format a figure that was computed from measured slopes (mark "w")."""
    return format_figure(value, unit, "w")


def assumed(value: Range | float, unit: str = "") -> str:
    """Format a requirement or an assumption (mark "a")."""
    return format_figure(value, unit, "a")


def measured(value: Range | float, unit: str = "") -> str:
    """Format a measured figure (mark "m")."""
    return format_figure(value, unit, "m")


def table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Format a Markdown table."""
    names = list(head)
    lines = ["| " + " | ".join(names) + " |", "| " + " | ".join("---" for _ in names) + " |"]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


# ---- measured slopes --------------------------------------------------------------------------------


class Measurements:
    """The saved slopes; each method returns the range over the repetitions, which are fitted separately."""

    def __init__(self, saved: dict[str, Any]) -> None:
        self.saved, self.slopes = saved, saved["slopes"]

    def _fits(self, name: str) -> list[tuple[float, float]]:
        slope = self.slopes[name]
        lines = [statistics.linear_regression(slope["sizes"], row) for row in slope["values"]]
        return [(line.intercept, line.slope) for line in lines]

    def slope(self, name: str) -> Range:
        """Return the slope of a cost."""
        return Range.over(slope for _, slope in self._fits(name))

    def at(self, name: str, size: float) -> Range:
        """Return the fitted cost at any size."""
        return Range.over(intercept + slope * size for intercept, slope in self._fits(name))

    def measured_at(self, name: str, size: int) -> Range:
        """Return the measured cost at one of the measured sizes."""
        index = self.slopes[name]["sizes"].index(size)
        return Range.over(row[index] for row in self.slopes[name]["values"])

    def ratio(self, name: str) -> Range:
        """Return the ratio of a slope to that of its control within each repetition."""
        pairs = zip(self._fits(name), self._fits(f"{name}_control"), strict=True)
        return Range.over(slope / control if control > 0 else math.inf for (_, slope), (_, control) in pairs)

    def size_at(self, name: str, budget: float) -> Range:
        """Return the size at which the fitted cost reaches a budget."""
        return Range.over((budget - intercept) / slope for intercept, slope in self._fits(name))


# ---- formulas: the data path ------------------------------------------------------------------------


def connections_per_proxy(proxies: float = PROXIES) -> float:
    return CONNECTIONS / proxies


def deliveries_per_proxy() -> float:
    return DELIVERIES_PER_S / PROXIES


def arrivals(lifetime: float) -> float:
    """Return the new connections per second at one proxy for a mean lifetime in seconds (Little's law)."""
    return connections_per_proxy() / lifetime


def cores(rate: Range | float, cpu_ms: Range) -> Range:
    """Return the cores that ``rate`` events per second of ``cpu_ms`` each keep busy."""
    return cpu_ms * rate * 1e-3


def processes(busy: Range) -> Range:
    """Return the number of single-core processes, each utilized up to ``MAX_UTILIZATION``."""
    return Range(math.ceil(busy.low / MAX_UTILIZATION), math.ceil(busy.high / MAX_UTILIZATION))


def reconnects_per_proxy(lost: int) -> float:
    """Return the connections that reconnect to each remaining proxy after ``lost`` proxies have failed."""
    return connections_per_proxy() * lost / (PROXIES - lost)


def set_up_seconds(waiting: float, set_up_ms: Range, spare_cores: Range | float) -> Range:
    """Return the seconds in which one machine sets up ``waiting`` connections."""
    return set_up_ms * waiting * 1e-3 / spare_cores


def largest_topic_per_proxy() -> float:
    return LARGEST_TOPIC / PROXIES


def busy_cores(m: Measurements, connections: float, deliveries: float, set_ups: float) -> Range:
    """Return the cores that one machine needs for its connections, deliveries/s and set-ups/s."""
    idle = cores(connections, m.slope("connection_idle"))
    return cores(deliveries, m.slope("delivery")) + cores(set_ups, m.slope("set_up")) + idle


def ordinary_cores(m: Measurements, lifetime: float) -> Range:
    """Return the cores that one proxy needs at the mean load."""
    return busy_cores(m, connections_per_proxy(), deliveries_per_proxy(), arrivals(lifetime))


def all_cores(m: Measurements) -> Range:
    """Return the cores of one proxy over both mean lifetimes of a connection."""
    return Range(
        ordinary_cores(m, LIFETIMES["1 h"]).low,
        ordinary_cores(m, LIFETIMES["36 s"]).high,
    )


def connection_memory_bytes(m: Measurements, connections: float) -> Range:
    """Return the bytes of process memory that the connections need, without kernel memory."""
    return m.slope("connection_memory") * connections * 1e3


# ---- formulas: shards and the shared-state mesh -----------------------------------------------------


def shards_held(connections: float, shards: float = SHARDS) -> float:
    """Return the expected number of distinct shards among connections spread evenly over all shards."""
    return shards * -math.expm1(connections * math.log1p(-1 / shards))


def mesh_per_connection(m: Measurements, name: str) -> Range:
    """Return the additional cost per peer of one more new connection per second at each proxy."""
    return m.slope(name) / ((m.slopes["mesh_sent"]["sizes"][1] - 1) * CASA_MAIN_RATE)


def mesh_at(m: Measurements, name: str, proxies: int, rate: float) -> Range:
    """Return a cost at a fleet size and a rate of new connections.

    It is the fitted cost at ``CASA_MAIN_RATE`` plus the additional cost of a higher rate.
    """
    additional_rate = max(0.0, rate - CASA_MAIN_RATE)
    additional = mesh_per_connection(m, f"{name}_crowd") * (additional_rate * (proxies - 1))
    return m.at(name, proxies) + additional


def mesh_messages(m: Measurements, proxies: int, rate: float) -> Range:
    """Return the messages that one proxy receives per second.

    A peer sends at most one broadcast per ``BROADCAST_INTERVAL``, unless its records fill more messages.
    There are two records per connection, one when it opens and one when it closes.
    """
    filled_messages = 2 * rate * PAIR_RECORD_BYTES / (MESSAGE_BYTES - MESSAGE_HEADER_BYTES)
    limit = (proxies - 1) * max(1 / BROADCAST_INTERVAL, filled_messages)
    fitted = mesh_at(m, "mesh_messages", proxies, rate)
    return Range(min(fitted.low, limit), min(fitted.high, limit))


def mesh_sent_per_connection(m: Measurements) -> Range:
    """Return the kB that one new connection causes to be sent to one peer.

    The lower end counts only the records: a pair that is new to the proxy is sent when it appears and when it
    disappears. The upper end is the fitted cost over several rates of new connections, which includes the
    answers to lost messages; those grow with the tables.
    """
    new_pair_share = shards_held(connections_per_proxy()) / connections_per_proxy()
    records = 2 * PAIR_RECORD_BYTES * new_pair_share * 1e-3
    fitted = mesh_per_connection(m, "mesh_sent_crowd")
    return Range(min(records, fitted.low), fitted.high)


def mesh_sent(m: Measurements, proxies: int, rate: float) -> Range:
    """Return the kB that one proxy sends per second, without IP and UDP headers."""
    additional_rate = max(0.0, rate - CASA_MAIN_RATE) * (proxies - 1)
    return m.at("mesh_sent", proxies) + mesh_sent_per_connection(m) * additional_rate


def mesh_bytes(m: Measurements, proxies: int, rate: float = CASA_MAIN_RATE) -> Range:
    """Return the bytes that one proxy sends plus receives per second, with IP and UDP headers."""
    headers = mesh_messages(m, proxies, rate) * (2 * PACKET_BYTES)
    return mesh_sent(m, proxies, rate) * 2e3 + headers


def mesh_cpu(m: Measurements, proxies: int, rate: float = CASA_MAIN_RATE) -> Range:
    """Return the cores that one proxy needs to receive and create messages, and for their datagrams."""
    datagrams = (m.slope("datagram_take") + m.slope("datagram_send")) * mesh_messages(m, proxies, rate)
    create_ms = m.at("mesh_send", proxies)
    return (mesh_at(m, "mesh_take", proxies, rate) + create_ms + datagrams) * 1e-3


def bytes_limit(m: Measurements) -> Range:
    """Return the fleet size at which ``mesh_bytes`` reaches the budget."""
    return fleet_size_at(lambda n: mesh_bytes(m, n), BYTES_BUDGET)


def cpu_limit(m: Measurements) -> Range:
    """Return the fleet size at which ``mesh_cpu`` reaches the budget."""
    return fleet_size_at(lambda n: mesh_cpu(m, n), CPU_BUDGET)


def fleet_size_at(cost: Callable[[int], Range], budget: float) -> Range:
    """Return the smallest fleet sizes at which the high end and the low end of a cost reach a budget."""
    sizes = range(2, 10_000)
    low = next(n for n in sizes if cost(n).high >= budget)
    return Range(low, next(n for n in sizes if cost(n).low >= budget))


def mesh_memory(m: Measurements, proxies: int, pairs: float) -> Range:
    """Return the bytes of the replicas of all peers' (server, group) pairs in one proxy."""
    return m.slope("pair_of_peer") * (1e3 * pairs * (proxies - 1))


def full_table_bytes(pairs: float) -> float:
    """Return the bytes to send the complete table of one peer, in messages of 256 bytes, with headers."""
    pairs_per_message = (MESSAGE_BYTES - MESSAGE_HEADER_BYTES) // PAIR_RECORD_BYTES
    return pairs * PAIR_RECORD_BYTES + math.ceil(pairs / pairs_per_message) * (
        MESSAGE_HEADER_BYTES + PACKET_BYTES
    )


# ---- formulas: voters -------------------------------------------------------------------------------


def majority(voters: int) -> int:
    return voters // 2 + 1


def no_majority_probability(voters: int, down: float) -> float:
    """Return the probability that no majority is up, if each voter is down with probability ``down``.

    Machines are assumed to fail independently.
    """
    min_failed = voters - majority(voters) + 1
    return sum(
        math.comb(voters, k) * down**k * (1 - down) ** (voters - k) for k in range(min_failed, voters + 1)
    )


def machine_downtime_share() -> float:
    """Return the share of time in which one machine is down."""
    return FAILURES_A_DAY * REPAIR_SECONDS / DAY_SECONDS / (PROXIES + CONTROL_MACHINES)
