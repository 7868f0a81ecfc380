"""What the mechanisms weighed in ``docs/design/scale.md`` cost, by stated message sizes and rates.

Bytes are those of the mechanism's own messages, IP and UDP headers included, sent plus received by one member
a second. The sizes are those of its codec, the intervals those of its settings.
"""

from __future__ import annotations

import math
from typing import Any

from capacity_model import (
    BYTES_BUDGET,
    CHANGE_BYTES,
    CHANGES_A_DAY,
    DAY,
    LIVES,
    MAGLEV_ENTRIES,
    PACKET_BYTES,
    PROXIES,
    PUSH_SERVERS,
    ZONES,
    Measurements,
    Range,
    arrivals,
    assumed,
    connections_per_proxy,
    exactly,
    mesh_bytes,
    mesh_cpu,
    mesh_memory,
    shards_held,
    table,
    worked,
)

# ---- messages of the mechanism being built, for the weighing in docs/design/scale.md ----------------
# Bytes of a datagram by its codec, header of 52 included, without IP and UDP; intervals and fanout are those
# of ``saltcourse/gossip/settings.py``. A test compares both.

PING, ACK, GOSSIP, SYNC, SYNC_REPLY, FETCH, TALLY = 65, 57, 53, 317, 54, 60, 67
QUORUM_MESSAGE, CHANGE_OVERHEAD = 62, 76  # of a vote; of a datagram with one change, around its writes
STATUS_UPDATE, MEMBER_UPDATE, ZONE_SUM = 13, 40, 20
MAX_DATAGRAM_BYTES = 1_200
GOSSIP_RATE = 15.0  # messages of updates a second while members change
SUSPICION_MULTIPLIER = 4.0
SYNC_INTERVAL = 10.0
SUM_INTERVAL = 5.0  # s between two sums of a zone that all receive
ANNOUNCE_FANOUT = 4
MEMBER_BYTES = (700.0, 1_500.0)  # of one member in the table of a process of this language
TAKE_MS = (0.1, 0.3)  # CPU of one gossip datagram in this language, its authentication included
ACTIVE_VIEW, PASSIVE_VIEW = 5, 30  # HyParView's, for fleets up to 10,000


# ---- formulas: the mechanisms that were weighed (bytes a second, sent plus received) ----------------


def retransmissions(members: int) -> int:
    """How often a member passes one update on."""
    return math.ceil(3 * math.log10(members + 1))


def suspicion_seconds(members: int) -> float:
    """From the suspicion of a member until it is held for dead, if it does not object."""
    return SUSPICION_MULTIPLIER * math.log10(members)


def probe_bytes() -> float:
    """One probe a second made and one answered."""
    return 2.0 * (PING + ACK + 2 * PACKET_BYTES)


def change_bytes(size: float) -> float:
    """One change fetched, passed on once, and announced, sent plus received."""
    fetched = FETCH + CHANGE_OVERHEAD + size + 2 * PACKET_BYTES
    return 2 * fetched + 2 * ANNOUNCE_FANOUT * (GOSSIP + PACKET_BYTES)


def configuration_bytes() -> Range:
    """A day's changes, in the mean of the day."""
    return Range(*(CHANGES_A_DAY / DAY * change_bytes(size) for size in CHANGE_BYTES))


def swim_bytes(members: int) -> Range:
    """Probes, updates (the zones' sums keep them going), the publisher's heartbeat, and table comparisons.
    The lower end has updates ride on probes and answers alone, the upper one as many datagrams as may be."""
    updates = 2.0 * ZONES / SUM_INTERVAL * retransmissions(members) * ZONE_SUM
    heartbeat = 2.0 * (GOSSIP + PACKET_BYTES)
    sync = 2 * (SYNC + SYNC_REPLY + 2 * PACKET_BYTES) / SYNC_INTERVAL
    most = 2 * GOSSIP_RATE * (GOSSIP + PACKET_BYTES)
    tally = 2.0 * (TALLY + PACKET_BYTES)
    return Range(0.0, most) + (probe_bytes() + updates + heartbeat + sync + tally) + configuration_bytes()


def whole_member_table(members: int) -> Range:
    """Bytes of all records, in datagrams as full as may be."""
    each = (MAX_DATAGRAM_BYTES - SYNC_REPLY) // MEMBER_UPDATE
    return exactly(float(members * MEMBER_UPDATE + math.ceil(members / each) * (SYNC_REPLY + PACKET_BYTES)))


def swim_datagrams() -> Range:
    """Sent plus received a second."""
    least = 4.0 + 2.0 + 2.0  # probes and answers, sums up the tree, heartbeats
    return Range(least, least + 2 * GOSSIP_RATE)


def swim_cpu(m: Measurements) -> Range:
    return (exactly(Range(*TAKE_MS)) + m.slope("datagram_take")) * swim_datagrams() * 1e-3


def swim_memory(members: int) -> Range:
    return Range(*MEMBER_BYTES) * members


def tree_bytes(members: int) -> Range:
    """HyParView and Plumtree: a keep-alive a second on each link, sums down the tree, lazy announcements."""
    links = 2.0 * ACTIVE_VIEW * (PING + ACK + 2 * PACKET_BYTES) / 2
    eager = 2.0 * ZONES / SUM_INTERVAL * (GOSSIP + ZONE_SUM + PACKET_BYTES) + 2.0 * (GOSSIP + PACKET_BYTES)
    lazy = 2.0 * (ACTIVE_VIEW - 2) * (GOSSIP + PACKET_BYTES + ZONES * 8)
    shuffle = 2.0 * (GOSSIP + PACKET_BYTES + 8 * MEMBER_UPDATE) / SYNC_INTERVAL
    return Range(links + eager, 2 * links + eager + lazy + shuffle) + configuration_bytes()


def tree_members(members: int) -> int:
    """Whom one process knows: none of the rest."""
    return min(members, ACTIVE_VIEW + PASSIVE_VIEW)


def child_bytes() -> Range:
    """A proxy under a relay: one heartbeat a second and its answer, with the sums of the zones."""
    beat = PING + ACK + 2 * PACKET_BYTES + ZONES / SUM_INTERVAL * ZONE_SUM
    return exactly(float(beat)) + configuration_bytes()


def relay_bytes(members: int) -> Range:
    """The one relay of a zone: all its children, and the control machines above it."""
    return child_bytes() * (members / ZONES + 1)


def zone_only_bytes(members: int) -> Range:
    """Full detail inside a zone alone, and sums between zones."""
    return swim_bytes(math.ceil(members / ZONES))


# ---- tables: the weighing in docs/design/scale.md ---------------------------------------------------


def alternatives(m: Measurements, _: dict[str, Any]) -> str:
    rows = []
    for size in (PROXIES, 2 * PROXIES):
        fleet = assumed(size, "members")
        everyone = swim_memory(size) * 1e-6
        rows += [
            (
                fleet,
                "today's mesh",
                worked(mesh_bytes(m, size) * 1e-3, "KB/s"),
                worked(mesh_cpu(m, size) * 100, "%"),
                worked(m.at("mesh_memory", size) * 1e-3, "MB"),
                "all",
                "the same",
            ),
            (
                fleet,
                "SWIM, whole member table",
                worked(swim_bytes(size) * 1e-3, "KB/s"),
                worked(swim_cpu(m) * 100, "%"),
                worked(everyone, "MB"),
                "all",
                "the same",
            ),
            (
                fleet,
                "HyParView and Plumtree",
                worked(tree_bytes(size) * 1e-3, "KB/s"),
                "below SWIM's",
                worked(Range(*MEMBER_BYTES) * tree_members(size) * 1e-6, "MB"),
                worked(tree_members(size), "members"),
                "the same",
            ),
            (
                fleet,
                "one relay a zone",
                worked(child_bytes() * 1e-3, "KB/s"),
                "below SWIM's",
                worked(Range(*MEMBER_BYTES) * 3 * 1e-6, "MB"),
                worked(3, "members"),
                worked(relay_bytes(size) * 1e-3, "KB/s at the relay"),
            ),
            (
                fleet,
                "full detail inside a zone only",
                worked(zone_only_bytes(size) * 1e-3, "KB/s"),
                worked(swim_cpu(m) * 100, "%"),
                worked(everyone / ZONES, "MB"),
                worked(math.ceil(size / ZONES), "members"),
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
        ("one change at one member", worked(Range(low, high) * 1e-3, "KB")),
        ("a day's 1,100 (a) changes, in the mean", worked(configuration_bytes(), "bytes/s")),
        ("a burst of 50 (a) changes", worked(Range(low, high) * 50 * 1e-3, "KB")),
        ("the same within 21 KB/s (a)", worked(Range(low, high) * 50 / BYTES_BUDGET, "s")),
        ("the largest snapshot, 256 KiB (a), received at 8 KB/s (a)", worked(262_144 / 8_000, "s")),
        ("the same, sent and received within 21 KB/s (a)", worked(262_144 / BYTES_BUDGET, "s at least")),
    ]
    return table(("configuration changes of 200 to 1,000 bytes (a)", "cost"), rows)


def hashing(m: Measurements, _: dict[str, Any]) -> str:
    pairs = shards_held(connections_per_proxy())
    rows = [
        (
            "telling who holds which group, bytes",
            worked(mesh_bytes(m, PROXIES, arrivals(LIVES["1 h"])) * 1e-3, "KB/s"),
            worked(0, "bytes/s for each group"),
        ),
        (
            "memory",
            worked(mesh_memory(m, PROXIES, pairs) * 1e-9, "GB"),
            worked(MAGLEV_ENTRIES * 4e-6, "MB, a table of a hash"),
        ),
        (
            "CPU of a placement, 5,000 servers (a)",
            worked(m.at("placement_new_group", PUSH_SERVERS), "ms"),
            "a look into the table",
        ),
        ("at a change of the view", "nothing", "the table is made anew"),
        ("needs", "messages from all proxies", "the same versioned view at all proxies: what gossip carries"),
    ]
    return table(("groups", "today", "hash over a versioned view"), rows)


TABLES = {"alternatives": alternatives, "change-costs": change_costs, "hashing": hashing}
