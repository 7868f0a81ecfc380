"""Costs of the mechanisms that ``docs/design/scale.md`` compares, computed from message sizes and rates.

Unless a function states otherwise, bytes are those that one member sends plus receives per second, with IP
and UDP headers. Sizes are those of the gossip codec, and intervals those of the gossip settings.
"""

from __future__ import annotations

import math
from typing import Any

from capacity_model import (
    BYTES_BUDGET,
    CHANGE_BYTES,
    CHANGES_A_DAY,
    DAY_SECONDS,
    LIFETIMES,
    MAGLEV_ENTRIES,
    PACKET_BYTES,
    PROXIES,
    PUSH_SERVERS,
    ZONES,
    Measurements,
    Range,
    arrivals,
    as_range,
    assumed,
    computed,
    connections_per_proxy,
    mesh_bytes,
    mesh_cpu,
    mesh_memory,
    shards_held,
    table,
)

# ---- messages of the gossip mechanism ---------------------------------------------------------------
# Sizes are bytes of a datagram including its header of 52 bytes, without IP and UDP headers. Intervals and
# fanout are those of ``saltcourse/gossip/settings.py``. A test compares both with the code.

PING_BYTES, ACK_BYTES = 65, 57
GOSSIP_BYTES = 53  # without updates
SYNC_BYTES, SYNC_REPLY_BYTES = 317, 54  # the reply is without member records
FETCH_BYTES = 60
TALLY_BYTES = 67
QUORUM_MESSAGE_BYTES = 62  # a vote
CHANGE_OVERHEAD_BYTES = 76  # a datagram with one change, without the change's writes
STATUS_UPDATE_BYTES, MEMBER_UPDATE_BYTES, ZONE_SUM_BYTES = 13, 40, 20  # one update within a datagram
MAX_DATAGRAM_BYTES = 1_200
GOSSIP_RATE = 15.0  # gossip messages per second while members change
SUSPICION_MULTIPLIER = 4.0
SYNC_INTERVAL = 10.0  # seconds between two table comparisons
SUM_INTERVAL = 5.0  # seconds between two sums of a zone, which all members receive
ANNOUNCE_FANOUT = 4
MEMBER_MEMORY_BYTES = (700.0, 1_500.0)  # memory of one entry of the member table in a Python process
RECEIVE_MS = (0.1, 0.3)  # CPU milliseconds to authenticate and handle one gossip datagram in Python
ACTIVE_VIEW, PASSIVE_VIEW = 5, 30  # members in the HyParView views of a fleet of up to 10,000


# ---- formulas: the compared mechanisms --------------------------------------------------------------


def retransmissions(members: int) -> int:
    """Return the number of times that a member retransmits one update."""
    return math.ceil(3 * math.log10(members + 1))


def suspicion_seconds(members: int) -> float:
    """Return the seconds until a suspected member that does not refute the suspicion is declared dead."""
    return SUSPICION_MULTIPLIER * math.log10(members)


def probe_bytes() -> float:
    """Return the bytes per second of one probe sent and one answered."""
    return 2.0 * (PING_BYTES + ACK_BYTES + 2 * PACKET_BYTES)


def change_bytes(size: float) -> float:
    """Return the bytes sent plus received to fetch, serve and announce one change of ``size`` bytes."""
    fetch = FETCH_BYTES + CHANGE_OVERHEAD_BYTES + size + 2 * PACKET_BYTES
    return 2 * fetch + 2 * ANNOUNCE_FANOUT * (GOSSIP_BYTES + PACKET_BYTES)


def configuration_bytes() -> Range:
    """Return the bytes per second of configuration changes, as the mean over a day."""
    return Range(*(CHANGES_A_DAY / DAY_SECONDS * change_bytes(size) for size in CHANGE_BYTES))


def swim_bytes(members: int) -> Range:
    """Return the bytes per second of SWIM: probes, updates, publisher heartbeats and table comparisons.

    The zone sums are a constant source of updates. At the lower end all updates are piggybacked on probes and
    acknowledgements; at the upper end gossip messages are sent at ``GOSSIP_RATE``.
    """
    updates = 2.0 * ZONES / SUM_INTERVAL * retransmissions(members) * ZONE_SUM_BYTES
    heartbeat = 2.0 * (GOSSIP_BYTES + PACKET_BYTES)
    sync = 2 * (SYNC_BYTES + SYNC_REPLY_BYTES + 2 * PACKET_BYTES) / SYNC_INTERVAL
    gossip = 2 * GOSSIP_RATE * (GOSSIP_BYTES + PACKET_BYTES)
    tally = 2.0 * (TALLY_BYTES + PACKET_BYTES)
    return Range(0.0, gossip) + (probe_bytes() + updates + heartbeat + sync + tally) + configuration_bytes()


def member_table_bytes(members: int) -> Range:
    """Return the bytes of all member records in full datagrams."""
    records_per_datagram = (MAX_DATAGRAM_BYTES - SYNC_REPLY_BYTES) // MEMBER_UPDATE_BYTES
    return as_range(
        float(
            members * MEMBER_UPDATE_BYTES
            + math.ceil(members / records_per_datagram) * (SYNC_REPLY_BYTES + PACKET_BYTES)
        )
    )


def swim_datagrams() -> Range:
    """Return the datagrams that one member sends plus receives per second."""
    minimum = 4.0 + 2.0 + 2.0  # probes and acknowledgements, sums up the tree, heartbeats
    return Range(minimum, minimum + 2 * GOSSIP_RATE)


def swim_cpu(m: Measurements) -> Range:
    """Return the cores that one member needs."""
    return (as_range(Range(*RECEIVE_MS)) + m.slope("datagram_take")) * swim_datagrams() * 1e-3


def swim_memory(members: int) -> Range:
    """Return the bytes of the member table in one process."""
    return Range(*MEMBER_MEMORY_BYTES) * members


def tree_bytes(members: int) -> Range:
    """Return the bytes per second of HyParView and Plumtree.

    They are a keep-alive per second on each link, zone sums down the tree, and lazy announcements.
    """
    links = 2.0 * ACTIVE_VIEW * (PING_BYTES + ACK_BYTES + 2 * PACKET_BYTES) / 2
    eager = 2.0 * ZONES / SUM_INTERVAL * (GOSSIP_BYTES + ZONE_SUM_BYTES + PACKET_BYTES) + 2.0 * (
        GOSSIP_BYTES + PACKET_BYTES
    )
    lazy = 2.0 * (ACTIVE_VIEW - 2) * (GOSSIP_BYTES + PACKET_BYTES + ZONES * 8)
    shuffle = 2.0 * (GOSSIP_BYTES + PACKET_BYTES + 8 * MEMBER_UPDATE_BYTES) / SYNC_INTERVAL
    return Range(links + eager, 2 * links + eager + lazy + shuffle) + configuration_bytes()


def tree_members(members: int) -> int:
    """Return the number of members in the views of one process."""
    return min(members, ACTIVE_VIEW + PASSIVE_VIEW)


def child_bytes() -> Range:
    """Return the bytes per second of a proxy under a relay: heartbeats, and answers with the zone sums."""
    heartbeat = PING_BYTES + ACK_BYTES + 2 * PACKET_BYTES + ZONES / SUM_INTERVAL * ZONE_SUM_BYTES
    return as_range(float(heartbeat)) + configuration_bytes()


def relay_bytes(members: int) -> Range:
    """Return the bytes per second of the relay of a zone: its children, and the control machines above it."""
    return child_bytes() * (members / ZONES + 1)


def zone_only_bytes(members: int) -> Range:
    """Return the bytes per second if members know only their own zone, and the sums of other zones."""
    return swim_bytes(math.ceil(members / ZONES))


# ---- tables of docs/design/scale.md -----------------------------------------------------------------


def alternatives(m: Measurements, _: dict[str, Any]) -> str:
    rows = []
    for size in (PROXIES, 2 * PROXIES):
        fleet = assumed(size, "members")
        full_table_mb = swim_memory(size) * 1e-6
        rows += [
            (
                fleet,
                "today's mesh",
                computed(mesh_bytes(m, size) * 1e-3, "KB/s"),
                computed(mesh_cpu(m, size) * 100, "%"),
                computed(m.at("mesh_memory", size) * 1e-3, "MB"),
                "all",
                "the same",
            ),
            (
                fleet,
                "SWIM, whole member table",
                computed(swim_bytes(size) * 1e-3, "KB/s"),
                computed(swim_cpu(m) * 100, "%"),
                computed(full_table_mb, "MB"),
                "all",
                "the same",
            ),
            (
                fleet,
                "HyParView and Plumtree",
                computed(tree_bytes(size) * 1e-3, "KB/s"),
                "below SWIM's",
                computed(Range(*MEMBER_MEMORY_BYTES) * tree_members(size) * 1e-6, "MB"),
                computed(tree_members(size), "members"),
                "the same",
            ),
            (
                fleet,
                "one relay a zone",
                computed(child_bytes() * 1e-3, "KB/s"),
                "below SWIM's",
                computed(Range(*MEMBER_MEMORY_BYTES) * 3 * 1e-6, "MB"),
                computed(3, "members"),
                computed(relay_bytes(size) * 1e-3, "KB/s at the relay"),
            ),
            (
                fleet,
                "full detail inside a zone only",
                computed(zone_only_bytes(size) * 1e-3, "KB/s"),
                computed(swim_cpu(m) * 100, "%"),
                computed(full_table_mb / ZONES, "MB"),
                computed(math.ceil(size / ZONES), "members"),
                "members that stand in two tables",
            ),
        ]
    return table(
        ("fleet", "mechanism", "sent plus received", "CPU", "member table", "whom one knows", "the busiest"),
        rows,
    )


def change_costs(_: Measurements, __: dict[str, Any]) -> str:
    low, high = (change_bytes(size) for size in CHANGE_BYTES)
    rows = [
        ("one change at one member", computed(Range(low, high) * 1e-3, "KB")),
        ("a day's 1,100 (a) changes, in the mean", computed(configuration_bytes(), "bytes/s")),
        ("a burst of 50 (a) changes", computed(Range(low, high) * 50 * 1e-3, "KB")),
        ("the same within 21 KB/s (a)", computed(Range(low, high) * 50 / BYTES_BUDGET, "s")),
        ("the largest snapshot, 256 KiB (a), received at 8 KB/s (a)", computed(262_144 / 8_000, "s")),
        ("the same, sent and received within 21 KB/s (a)", computed(262_144 / BYTES_BUDGET, "s at least")),
    ]
    return table(("configuration changes of 200 to 1,000 bytes (a)", "cost"), rows)


def hashing(m: Measurements, _: dict[str, Any]) -> str:
    pairs = shards_held(connections_per_proxy())
    rows = [
        (
            "telling who holds which group, bytes",
            computed(mesh_bytes(m, PROXIES, arrivals(LIFETIMES["1 h"])) * 1e-3, "KB/s"),
            computed(0, "bytes/s for each group"),
        ),
        (
            "memory",
            computed(mesh_memory(m, PROXIES, pairs) * 1e-9, "GB"),
            computed(MAGLEV_ENTRIES * 4e-6, "MB, a table of a hash"),
        ),
        (
            "CPU of a placement, 5,000 servers (a)",
            computed(m.at("placement_new_group", PUSH_SERVERS), "ms"),
            "a look into the table",
        ),
        ("at a change of the view", "nothing", "the table is made anew"),
        ("needs", "messages from all proxies", "the same versioned view at all proxies: what gossip carries"),
    ]
    return table(("groups", "today", "hash over a versioned view"), rows)


TABLES = {"alternatives": alternatives, "change-costs": change_costs, "hashing": hashing}
