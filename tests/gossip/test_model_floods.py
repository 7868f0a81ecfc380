"""Tests with floods of datagrams, some of them signed with the fleet's key.

A flood must not raise an exception, and no table may grow beyond its limit.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from saltcourse.emulator.gossip.object_count import count_elements
from saltcourse.emulator.gossip.scenario import (
    start_fleet,
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

DATAGRAMS = 1_500  # per flood
MAX_ELEMENTS = 2_000  # in all containers of a node in a small fleet: logs, queues, counters
MAX_ELEMENTS_WITH_FULL_TABLE = 12 * MAX_MEMBERS  # member records and the related state of each
UNKNOWN_SENDER = Header(member_id("stranger"), 1, 77)


def member_record(i: int) -> MemberRecord:
    return MemberRecord(
        f"forged-{i}", (f"10.77.{i // 250}.{i % 250}", 1), "north", f"z{i % 50}", Role.PROXY, 0, i
    )


def random_bytes(i: int) -> bytes:
    return random.Random(i).randbytes(i % 1_400)


def signed(message: Callable[[int], Any], header: Callable[[int], Header] = lambda _: UNKNOWN_SENDER) -> Any:
    codec = Codec(KEY)
    return lambda i: codec.encode(header(i), message(i))


FLOODS = {
    "junk": random_bytes,
    "members": signed(lambda i: Gossip(tuple(member_record(10 * i + j) for j in range(10)))),
    "tables": signed(lambda i: SyncReply(tuple(member_record(10 * i + j) for j in range(10)), True)),
    "sums": signed(lambda i: Gossip((ZoneSum(f"zone-{i}", 1, 1, 1),))),
    "tallies": signed(lambda i: Tally("n1", 1, 1), lambda i: Header(i + 1, 1, 1)),
    "epochs": signed(lambda i: Prepare(i), lambda i: Header(member_id("control-1"), 1, i)),
    "positions": signed(
        lambda i: Gossip(), lambda i: Header(UNKNOWN_SENDER.sender, 1, 1, Position(0, i), Heartbeat(0, i))
    ),
    "snapshots": signed(lambda i: SnapshotPart(Position(0, 64 * i), 200_000, i, 0, b"x" * 500)),
}


@pytest.mark.parametrize("kind", FLOODS)
def test_flood_raises_nothing_and_tables_stay_within_their_limits(kind: str) -> None:
    world = start_fleet(28, 3)
    for i in range(DATAGRAMS):
        world.network.inject("control-2", ("192.0.2.7", 9), FLOODS[kind](i))
        if i % 100 == 0:
            world.run(0.05)
    world.run(2.0)
    limit = MAX_ELEMENTS_WITH_FULL_TABLE if kind in ("members", "tables") else MAX_ELEMENTS
    assert count_elements(world.processes["control-2"].node) < limit
