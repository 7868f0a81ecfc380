"""Floods of valid and invalid datagrams.

The story: somebody sends datagrams without end, some of them with the fleet's key. Nothing raises, and no
table grows beyond its bound.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from saltcourse.emulator.gossip.object_count import count_elements
from saltcourse.emulator.gossip.scenario import (
    formed,
)
from saltcourse.emulator.gossip.world import KEY
from saltcourse.gossip.codec import Codec
from saltcourse.gossip.messages import (
    MAX_MEMBERS,
    Gossip,
    Header,
    Heartbeat,
    MemberRecord,
    Position,
    Prepare,
    Role,
    SnapshotPart,
    SyncReply,
    Tally,
    ZoneSum,
    member_id,
)

FLOOD = 1_500  # datagrams of each kind
MOST_ELEMENTS = 2_000  # in all containers of a node in a small fleet: logs, queues, counters
MOST_ELEMENTS_WITH_FULL_TABLE = 12 * MAX_MEMBERS  # records with what is kept beside each
UNKNOWN_SENDER = Header(member_id("stranger"), 1, 77)


def records(i: int) -> MemberRecord:
    return MemberRecord(
        f"forged-{i}", (f"10.77.{i // 250}.{i % 250}", 1), "north", f"z{i % 50}", Role.PROXY, 0, i
    )


def junk(i: int) -> bytes:
    return random.Random(i).randbytes(i % 1_400)


def forged(message: Callable[[int], Any], header: Callable[[int], Header] = lambda _: UNKNOWN_SENDER) -> Any:
    codec = Codec(KEY)
    return lambda i: codec.encode(header(i), message(i))


FLOODS = {
    "junk": junk,
    "members": forged(lambda i: Gossip(tuple(records(10 * i + j) for j in range(10)))),
    "tables": forged(lambda i: SyncReply(tuple(records(10 * i + j) for j in range(10)), True)),
    "sums": forged(lambda i: Gossip((ZoneSum(f"zone-{i}", 1, 1, 1),))),
    "tallies": forged(lambda i: Tally("n1", 1, 1), lambda i: Header(i + 1, 1, 1)),
    "epochs": forged(lambda i: Prepare(i), lambda i: Header(member_id("control-1"), 1, i)),
    "positions": forged(
        lambda i: Gossip(), lambda i: Header(UNKNOWN_SENDER.sender, 1, 1, Position(0, i), Heartbeat(0, i))
    ),
    "snapshots": forged(lambda i: SnapshotPart(Position(0, 64 * i), 200_000, i, 0, b"x" * 500)),
}


@pytest.mark.parametrize("kind", FLOODS)
def test_a_flood_raises_nothing_and_tables_stay_within_their_bounds(kind: str) -> None:
    world = formed(28, 3)
    for i in range(FLOOD):
        world.network.inject("control-2", ("192.0.2.7", 9), FLOODS[kind](i))
        if i % 100 == 0:
            world.run(0.05)
    world.run(2.0)
    most = MOST_ELEMENTS_WITH_FULL_TABLE if kind in ("members", "tables") else MOST_ELEMENTS
    assert count_elements(world.processes["control-2"].node) < most
