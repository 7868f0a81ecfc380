"""Inputs of the compatibility tests: one datagram of each type, a replica state, and emulator histories.

The fixtures in ``fixtures/`` were written by commit bafdb7c with the functions of this module. A history's
hash does not include the names of types and fields, so that renames do not change it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

from saltcourse.emulator.gossip.schedule import Schedule
from saltcourse.emulator.gossip_quorum import schedule as quorum_schedule
from saltcourse.emulator.simnet import Network
from saltcourse.gossip import messages as m
from saltcourse.gossip.codec import SCHEMA_BY_TYPE
from saltcourse.gossip.configuration import FleetConfiguration
from saltcourse.gossip.node import Node
from tests.gossip import dissemination_schedule, membership_fleet

KEY = bytes(range(32))
HEADER = m.Header(0x0123456789ABCDEF, 3, 0xCAFEBABE, m.Position(7, 42), m.Heartbeat(7, 99))
RECORD = m.MemberRecord("proxy-1", ("10.0.0.1", 7946), "north", "n1", m.Role.PROXY, 5, 0xDEADBEEF)
RECORD_V6 = m.MemberRecord(
    "contrôl-2", ("fe80::1", 65_535), "south", "s2", m.Role.CONTROL, 2**32 - 1, 0, m.Status.LEFT
)
UPDATES: tuple[m.Update, ...] = (
    RECORD,
    RECORD_V6,
    m.StatusUpdate(RECORD.id, 5, m.Status.SUSPECT),
    m.StatusUpdate(RECORD_V6.id, 6, m.Status.DEAD),
    m.ZoneSum("n1", 17, 12, 3_456),
)
CHANGE = m.Change(
    m.Position(6, 43), (("a/key", b"value"), ("deleted", None), ("empty", b""), ("ü", b"\0\xff"))
)
NEXT_CHANGE = m.Change(m.Position(7, 44), (("a/key", b"other"),))

MESSAGES: dict[str, m.Message] = {
    "ping": m.Ping(0x01020304, RECORD.id, UPDATES),
    "ping without updates": m.Ping(1, 2),
    "ack": m.Ack(0x01020304, UPDATES[2:]),
    "ping request": m.PingRequest(0x01020304, RECORD_V6.id, UPDATES[:1]),
    "nack": m.Nack(0x01020304),
    "gossip": m.Gossip(UPDATES),
    "gossip without updates": m.Gossip(),
    "sync request": m.SyncRequest(RECORD.id, tuple(range(m.SYNC_BUCKETS))),
    "sync request of a joining member": m.SyncRequest(0),
    "sync reply": m.SyncReply((RECORD, RECORD_V6), True),
    "last sync reply": m.SyncReply((), False),
    "tally": m.Tally("n1", 9, 1_234),
    "fetch": m.Fetch(m.Position(6, 42)),
    "changes": m.Changes((CHANGE, NEXT_CHANGE)),
    "snapshot fetch": m.SnapshotFetch(m.Position(6, 64), 3_000),
    "snapshot part": m.SnapshotPart(m.Position(6, 64), 3_005, 0x1122334455667788, 3_000, b"\0\1\2\xfe\xff"),
    "prepare": m.Prepare(8),
    "promise": m.Promise(8, m.Position(6, 42), 44, m.AcceptedChange(7, CHANGE)),
    "promise without an accepted change": m.Promise(8, m.Position(6, 42), 42),
    "propose": m.Propose(8, CHANGE),
    "accepted": m.Accepted(8, m.Position(6, 43)),
    "lease request": m.LeaseRequest(8, 100),
    "lease grant": m.LeaseGrant(8, 100),
    "rejected": m.Rejected(9),
}

REPLICA_MEMBER = "control-1"
REPLICA_STATE = m.ReplicaState(
    promised=9,
    committed=m.Position(6, 42),
    configuration=(("a", b"1"), ("b", b"\0\xff"), ("empty", b""), ("ü", "é".encode())),
    accepted=(m.AcceptedChange(8, CHANGE), m.AcceptedChange(9, NEXT_CHANGE)),
)
EARLIER_REPLICA_STATE = m.ReplicaState(  # saved before REPLICA_STATE, so that rows were deleted and replaced
    promised=8,
    committed=m.Position(6, 41),
    configuration=(("a", b"0"), ("gone", b"x")),
    accepted=(m.AcceptedChange(7, m.Change(m.Position(6, 42), (("gone", None), ("a", b"1")))),),
)


# ---- histories of emulators -------------------------------------------------------------------------


def canonical(value: Any) -> str:
    """Return a text form of ``value`` without the names of types and fields.

    A message starts with its code on the wire.
    """
    if is_dataclass(value):
        schema = SCHEMA_BY_TYPE.get(type(value))
        parts = [] if schema is None else [str(schema.code)]
        return (
            "(" + " ".join(parts + [canonical(getattr(value, field.name)) for field in fields(value)]) + ")"
        )
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, dict):
        return "{" + " ".join(f"{canonical(key)}={canonical(value[key])}" for key in sorted(value)) + "}"
    if isinstance(value, tuple | list):
        return "[" + " ".join(map(canonical, value)) + "]"
    return value.hex() if isinstance(value, bytes) else repr(value)


class History:
    """Running hash of the events of an emulator run."""

    def __init__(self) -> None:
        self._hash = hashlib.sha256()

    def add(self, *values: Any) -> None:
        self._hash.update(canonical(values).encode() + b"\n")

    def digest(self) -> str:
        return self._hash.hexdigest()


@contextmanager
def record_sends(history: History) -> Iterator[None]:
    """Add all messages sent over the simulated network to ``history``, with their times."""
    original = Network.send

    def send(network: Network, sender: str, receiver: str, event: Any) -> None:
        history.add(network.now, sender, receiver, event)
        original(network, sender, receiver, event)

    Network.send = send  # type: ignore[method-assign]
    try:
        yield
    finally:
        Network.send = original  # type: ignore[method-assign]


def node_history(seed: int) -> str:
    """Return the digest of a random fault schedule of complete nodes: all datagrams and the final state."""
    history = History()
    schedule = Schedule(seed, Node, (1, 5))
    network = schedule.world.network
    transmit = network.transmit

    def record_and_transmit(sender: Any, destination: m.Address, datagram: bytes) -> None:
        history.add(network.now, sender.name, destination, datagram)
        transmit(sender, destination, datagram)

    network.transmit = record_and_transmit  # type: ignore[method-assign]
    schedule.form_fleet()
    schedule.inject_faults(10.0)
    history.add(schedule.settle(), schedule.publish_final_change())
    for host, process in sorted(schedule.world.processes.items()):
        history.add(host, process.position, dict(process.node.dissemination.configuration))
    return history.digest()


def quorum_history(seed: int) -> str:
    """Return the digest of a random fault schedule of voters: all messages, and the committed changes."""
    history = History()
    with record_sends(history):
        world = quorum_schedule.run_schedule(seed)
    history.add(world.checker.changes, world.checker.results)
    return history.digest()


def dissemination_history(seed: int) -> str:
    """Return the digest of a random fault schedule of the dissemination: all messages and final states."""
    history = History()
    with record_sends(history):
        fleet = dissemination_schedule.Schedule(seed, FleetConfiguration).play()
    for member in fleet.live():
        history.add(member.record.name, member.applied, member.freshness, member.sent_bytes)
    return history.digest()


def membership_history(seed: int) -> str:
    """Return the digest of a membership run with loss, a crash, a departure and a partition of regions.

    It covers all messages and status changes.
    """
    history = History()
    fleet = membership_fleet.fleet_of(24, seed, loss=0.05, duplication=0.05, settle=0.0)
    fleet.log = []
    fleet.run(12.0)
    fleet.crash(fleet.hosts[5])
    leaving = fleet.hosts[7]
    fleet._send(leaving, leaving.membership.leave(fleet.now))
    fleet.run(20.0)
    fleet.is_blocked = membership_fleet.cut_regions
    fleet.run(50.0)
    fleet.is_blocked = lambda sender, receiver: False
    fleet.run(80.0)
    history.add(fleet.log)
    history.add([(at, host.address, change) for at, host, change in fleet.changes])
    for host in fleet.running():
        metrics = host.membership.metrics()
        history.add(host.address, [metrics[name] for name in sorted(metrics)])
    return history.digest()


HISTORIES = {
    "whole node": node_history,
    "quorum": quorum_history,
    "dissemination": dissemination_history,
    "membership": membership_history,
}
HISTORY_SEEDS = (0, 1, 2)
