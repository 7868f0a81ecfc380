"""Detection of unreachable zones.

When the link between two regions is cut, each side stops receiving from all members of the other side at
once. No member may be declared dead because of the cut, and after it the refutations must not flood the
network. A few members of one zone that crash must be declared dead, however.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from saltcourse.gossip.messages import (
    Gossip,
    StatusUpdate,
    ZoneReachability,
)
from saltcourse.gossip.zone_silence import ZoneSilence
from tests.gossip.membership_fleet import (
    ALIVE,
    DEAD,
    SUSPECT,
    Fleet,
    MemberHarness,
    acks_from,
    cut_regions,
    fleet_of,
    record_of,
)


def test_suspect_that_moves_out_of_an_unreachable_zone_has_a_timer() -> None:
    """Guards against a fault found by test_any_messages_keep_the_table_consistent.

    No timer was started for such a member, so that it stayed suspect forever.
    """
    local, remote = record_of(1, "local"), record_of(2, "remote")
    harness = MemberHarness(local, remote)
    harness.run(9.0)
    assert harness.metric("zones_unreachable") == 2 and harness.status(remote) is SUSPECT
    harness.receive(local, Gossip((replace(remote, zone="new", process_id=2, status=SUSPECT),)))
    assert remote.id in harness.membership._timers


@pytest.mark.parametrize("count, zones, crashes", [(30, 5, 2), (60, 12, 3)])
def test_crashed_members_do_not_make_their_zone_unreachable(count: int, zones: int, crashes: int) -> None:
    """This must hold even if the zone is so small that most members receive nothing from it for seconds."""
    fleet = fleet_of(count, zones=zones)
    fleet.changes.clear()
    crashed = [host for host in fleet.hosts if host.membership.own_record.zone == "z3"][:crashes]
    for host in crashed:
        fleet.crash(host)
    # Each member has time to compare tables, since a broadcast may miss a member.
    fleet.run(fleet.now + 25.0)
    for host in crashed:
        assert fleet.statuses(host.membership.own_record) == {DEAD: count - crashes}
    assert not [change for _, _, change in fleet.changes if isinstance(change, ZoneReachability)]


def cut_and_restore(fleet: Fleet, seconds: float = 120.0) -> tuple[int, int]:
    """Cut the regions for ``seconds`` and restore the link.

    Return how many updates were queued and how many incarnations were raised after the link was restored.
    """
    fleet.is_blocked = cut_regions
    fleet.run(fleet.now + seconds)
    queued, raised = fleet.metric("broadcasts_queued"), fleet.metric("incarnation")
    fleet.is_blocked = lambda sender, receiver: False
    fleet.run_until_converged(60.0)
    fleet.run(fleet.now + 20.0)
    assert fleet.has_converged()
    return fleet.metric("broadcasts_queued") - queued, fleet.metric("incarnation") - raised


@pytest.mark.parametrize("seed, seconds", [(1, 120.0), (2, 30.0), (3, 30.0)])
def test_cut_of_regions_causes_no_deaths_and_few_refutations_afterwards(seed: int, seconds: float) -> None:
    fleet = fleet_of(30, seed=seed, zones=6, loss=0.01)
    fleet.changes.clear()
    start = fleet.now
    queued, raised = cut_and_restore(fleet, seconds)
    assert fleet.metric("deaths") == 0
    assert raised <= 2 and queued <= 2 * len(fleet.hosts)
    zones = [(host, c) for _, host, c in fleet.changes if isinstance(c, ZoneReachability)]
    for host in fleet.hosts:
        other_region = "r1" if host.membership.own_record.region == "r0" else "r0"
        remote_zones = {"z1", "z3", "z5"} if other_region == "r1" else {"z0", "z2", "z4"}
        own_changes = [c for h, c in zones if h is host]
        assert {c.zone for c in own_changes if not c.reachable} == remote_zones
        assert {c.zone for c in own_changes if c.reachable} == remote_zones
        assert host.membership.metrics()["zones_unreachable"] == 0
    times = [when for when, _, c in fleet.changes if isinstance(c, ZoneReachability) and not c.reachable]
    # A member that received no suspicion detects the cut with its own probes.
    assert max(times) - start < 25.0


def test_cut_of_regions_causes_many_refutations_without_zone_detection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The checks of the test above must fail when zones are never considered unreachable."""
    monkeypatch.setattr(ZoneSilence, "_is_unreachable", lambda *_: False)
    fleet = fleet_of(30, seed=1, zones=6)
    queued, raised = cut_and_restore(fleet, 30.0)
    assert fleet.metric("deaths") > 0
    assert raised > len(fleet.hosts) / 2 and queued > 10 * len(fleet.hosts)


def test_short_cut_causes_no_deaths_and_few_refutations() -> None:
    fleet = fleet_of(36, zones=6)
    _, raised = cut_and_restore(fleet, 5.0)
    assert fleet.metric("deaths") == 0
    assert raised <= len(fleet.hosts) / 2


def test_member_that_joins_during_a_cut_causes_no_deaths() -> None:
    fleet = fleet_of(30)
    fleet.is_blocked = cut_regions
    fleet.run(fleet.now + 20.0)
    fleet.add(record_of(999, "z0", "r0"), (record_of(0).address,))
    fleet.run(fleet.now + 40.0)
    for host in fleet.hosts[:30]:
        assert host.membership.metrics()["dead"] == 0
    fleet.is_blocked = lambda sender, receiver: False
    fleet.run_until_converged(60.0)


def test_member_of_an_unreachable_zone_stays_suspect_when_others_declare_it_dead() -> None:
    local = [record_of(number, "local") for number in range(1, 4)]
    remote = [record_of(number, "remote") for number in range(4, 8)]
    harness = MemberHarness(*local, *remote, initial_record=record_of(0, "local"))
    harness.run(15.0, acks_from(*local))
    assert ZoneReachability("remote", False) in harness.membership.take_changes()
    assert harness.metric("zones_silent") == 1
    assert harness.metric("dead") == 0
    queued = harness.metric("broadcasts_queued")
    harness.receive(local[0], Gossip(tuple(StatusUpdate(record.id, 0, DEAD) for record in remote)))
    assert [harness.status(record) for record in remote] == [SUSPECT] * 4
    assert harness.metric("broadcasts_queued") == queued
    harness.membership.take_changes()
    harness.receive(remote[0], Gossip())
    assert harness.membership.take_changes()[0] == ZoneReachability("remote", True)
    assert [harness.status(record) for record in remote] == [ALIVE] * 4
    assert harness.metric("broadcasts_queued") == queued


def test_isolated_member_declares_no_member_dead() -> None:
    fleet = fleet_of(30, zones=5)
    isolated = fleet.hosts[6]
    others = isolated.membership.live()
    fleet.is_blocked = lambda sender, receiver: isolated.membership.own_record.id in (sender.id, receiver.id)
    fleet.changes.clear()
    fleet.run(fleet.now + 60.0)
    assert isolated.membership.metrics()["deaths"] == 0
    assert isolated.membership.metrics()["zones_unreachable"] == len({record.zone for record in others})
    before = isolated.membership.metrics()["broadcasts_queued"]
    assert set(fleet.statuses(isolated.membership.own_record)) == {DEAD}
    fleet.is_blocked = lambda sender, receiver: False
    fleet.run_until_converged(60.0)
    fleet.run(fleet.now + 10)
    assert fleet.metric("dead") == 0
    assert isolated.membership.own_record.incarnation == 1
    assert isolated.membership.metrics()["broadcasts_queued"] - before <= 10


def test_both_sides_of_a_cut_reconnect_to_dead_members() -> None:
    """Each member is in its own zone, so that a cut cannot be distinguished from dead members."""
    fleet = fleet_of(24, zones=24)
    fleet.is_blocked = cut_regions
    fleet.run(fleet.now + 100.0)
    assert fleet.metric("dead") >= 24 * 11
    fleet.is_blocked = lambda sender, receiver: False
    fleet.run_until_converged(60.0)


def test_cut_between_two_regions_is_bridged_by_a_third_region() -> None:
    fleet = fleet_of(36, zones=6, regions=3)
    pair = {"r0", "r1"}
    fleet.is_blocked = lambda sender, receiver: {sender.region, receiver.region} == pair
    fleet.run(fleet.now + 60.0)
    assert fleet.metric("deaths") == 0
    fleet.is_blocked = lambda sender, receiver: False
    fleet.run_until_converged(30.0)
