"""Dissemination in simulated fleets: speed, number of copies, and states of the members."""

from __future__ import annotations

import pytest

from saltcourse.emulator.simnet import Link
from saltcourse.gossip import dissemination as dissemination_module
from saltcourse.gossip.codec import encode_configuration
from saltcourse.gossip.messages import (
    Freshness,
    Position,
)
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.snapshots import (
    SNAPSHOT_PART_BYTES,
)
from tests.gossip.dissemination_fleet import Fleet, Member


def fill(fleet: Fleet, count: int, keys: int, size: int) -> None:
    """Publish ``count`` changes of one key each, out of ``keys`` keys, with values of ``size`` bytes."""
    for _ in range(count):
        number = fleet.position.version
        fleet.publish((f"key{number % keys:03}", number.to_bytes(4, "big") + bytes(size - 4)))


def sent_and_received(member: Member) -> int:
    return member.sent_bytes + member.received_bytes


def test_each_of_fifty_changes_reaches_a_hundred_members_about_once(
    record_property: pytest.RecordProperty,
) -> None:
    fleet = Fleet(1, 100, link=Link(loss=0.01))
    fleet.start_all()
    fleet.send_heartbeats(1.0, 8.0)
    fleet.net.run(2.0)
    before = {member.record.name: sent_and_received(member) for member in fleet.live()}
    for _ in range(50):
        fill(fleet, 1, keys=25, size=200)
        fleet.net.run(fleet.net.now + 0.05)
    fleet.net.run(8.0)
    assert fleet.has_converged()
    receivers = fleet.live()[fleet.voters :]
    copies = [sum(member.received_changes.values()) / 50 for member in receivers]
    cost = [sent_and_received(member) - before[member.record.name] for member in fleet.live()]
    record_property("copies_mean", sum(copies) / len(copies))
    record_property("copies_max", max(copies))
    record_property("bytes_mean", sum(cost) / len(cost))
    record_property("bytes_max", max(cost))
    assert min(copies) >= 1.0
    assert sum(copies) / len(copies) < 1.1 and max(copies) < 1.5
    # Typically 61,000 on average and 107,000 at most, including 6 s of probes and heartbeats.
    assert sum(cost) / len(cost) < 80_000 and max(cost) < 125_000


def heartbeat_delays(fleet: Fleet, count: int) -> list[float]:
    """Return the seconds in which heartbeat number ``count`` reached each member, in ascending order."""
    reached: dict[str, float] = {}
    start = fleet.net.now
    while len(reached) < len(fleet.hosts):
        for member in fleet.live():
            if member.dissemination.heartbeat.count >= count:
                reached.setdefault(member.record.name, fleet.net.now - start)
        fleet.net.run(fleet.net.now + 0.05)
    return sorted(reached.values())


@pytest.mark.parametrize(("fanout", "within_target"), [(0, False), (1, True)])
def test_heartbeats_reach_490_members_in_time_only_with_forwarding(
    fanout: int, within_target: bool, monkeypatch: pytest.MonkeyPatch, record_property: pytest.RecordProperty
) -> None:
    monkeypatch.setattr(dissemination_module, "HEARTBEAT_FANOUT", fanout)
    fleet = Fleet(3, 490, link=Link(delay=(0.0005, 0.04), loss=0.01))
    fleet.start_all()
    fleet.net.run(1.0)
    fleet.send_heartbeat()
    delays = heartbeat_delays(fleet, 1)
    p99 = delays[int(len(delays) * 0.99)]
    for name, value in (("p50", delays[len(delays) // 2]), ("p99", p99), ("max", delays[-1])):
        record_property(name, round(value, 2))
    assert (p99 < 4.0) if within_target else (p99 > 5.0)  # without forwarding it exceeds the target of 5 s


@pytest.mark.parametrize("seed", [4, 5, 6])
def test_a_partitioned_group_is_stale_until_the_partition_has_healed(
    seed: int,
) -> None:
    fleet = Fleet(seed, 30, link=Link(loss=0.01))
    fleet.start_all()
    fleet.send_heartbeats(1.0, 60.0)
    fleet.net.run(10.0)
    assert {member.dissemination.freshness for member in fleet.live()} == {Freshness.CURRENT}
    fleet.isolate(set(range(20, 30)))
    fill(fleet, 3, keys=3, size=100)
    fleet.net.run(30.0)
    cut_off, others = fleet.live()[20:], fleet.live()[:20]
    for member in cut_off:
        # A member becomes stale exactly ``stale_after`` after its last new heartbeat. The last heartbeat
        # before the cut still spreads within the group for up to 8.5 s, since two of three probes are lost to
        # the cut.
        at, freshness = member.freshness[-1]
        assert freshness is Freshness.STALE
        assert at == pytest.approx(member.heartbeat_at + fleet.timing.stale_after)
        assert member.heartbeat_at < 17.0
        assert member.dissemination.position.version == 0
    assert {member.dissemination.freshness for member in others} == {Freshness.CURRENT}
    assert {member.dissemination.position.version for member in others} == {3}
    fleet.net.heal()
    fleet.net.run(45.0)
    assert fleet.has_converged()
    assert {member.dissemination.freshness for member in fleet.live()} == {Freshness.CURRENT}


@pytest.mark.parametrize(
    ("rate", "link"),
    [
        (8_000.0, Link(delay=(0.0002, 0.004))),
        (8_000.0, Link(delay=(0.038, 0.042), loss=0.01)),
        (30_000.0, Link(delay=(0.038, 0.042))),  # one part per round trip would be 12,500 bytes/s
    ],
)
def test_a_late_joiner_gets_the_snapshot_in_the_stated_time_and_then_later_changes(
    rate: float, link: Link
) -> None:
    fleet = Fleet(5, 12, link=link, timing=Timing(snapshot_bytes_per_s=rate))
    for index in range(11):
        fleet.start(index)
    for _ in range(14):
        fill(fleet, 10, keys=100, size=500)
        fleet.net.run(fleet.net.now + 0.2)
    fleet.net.run(fleet.net.now + 5.0)
    assert fleet.has_converged() and fleet.position.version == 140
    joiner = fleet.start(11).dissemination
    while joiner.metrics().get("snapshot_transfers", 0) == 0:
        fleet.net.run(fleet.net.now + 0.01)
    started = fleet.net.now
    size = len(encode_configuration(fleet.history[Position(1, 128)].items()))
    fill(fleet, 20, keys=100, size=500)  # during the transfer
    while joiner.position == Position():
        fleet.net.run(fleet.net.now + 0.01)
    duration = fleet.net.now - started
    expected = size / rate
    assert fleet.live()[11].applied[0] == Position(1, 128)
    assert (
        expected - 0.2 < duration < expected * 1.05 + 0.1 + (fleet.timing.fetch_timeout if link.loss else 0.0)
    )
    fleet.net.run(fleet.net.now + 2.0)
    assert fleet.has_converged()
    parts = -(-size // SNAPSHOT_PART_BYTES)
    received = fleet.live()[11].received_types["SnapshotPart"]
    assert parts <= received <= parts * 1.05 + 2


def test_voters_that_all_restarted_serve_members_with_an_empty_configuration() -> None:
    fleet = Fleet(6, 8)
    fleet.start_all()
    for _ in range(10):
        fill(fleet, 10, keys=20, size=200)
        fleet.net.run(fleet.net.now + 0.2)
    fleet.net.run(fleet.net.now + 3.0)
    assert fleet.has_converged() and fleet.position.version == 100
    for index in range(8):
        fleet.crash(index)
    fleet.start_all()  # no member has a log or a checkpoint at a multiple of 64
    fleet.net.run(fleet.net.now + 5.0)
    assert fleet.has_converged()
