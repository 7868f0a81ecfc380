"""Zones that cannot be reached.

The story: the link between two regions is cut. Each side sees all members of the other fall silent at once.
They are not dead: nobody may be declared dead for it, and when the link is back there must be no wave of
refutations that fills the network. A few members of one zone that crash are dead, however, and must be
declared so.
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
    Lone,
    answering,
    cut_regions,
    fleet_of,
    record_of,
)


def test_a_suspect_that_moves_from_a_silent_zone_to_another_has_a_timer() -> None:
    """Found by the test of any messages: no timer ran, so that it stayed suspect for ever."""
    near, far = record_of(1, "near"), record_of(2, "far")
    lone = Lone(near, far)
    lone.run(9.0)
    assert lone.figure("zones_unreachable") == 2 and lone.status(far) is SUSPECT
    lone.receive(near, Gossip((replace(far, zone="new", process_id=2, status=SUSPECT),)))
    assert far.id in lone.membership._timers


@pytest.mark.parametrize("count, zones, crashes", [(30, 5, 2), (60, 12, 3)])
def test_crashes_in_a_zone_are_dead_members_and_no_silent_zone(count: int, zones: int, crashes: int) -> None:
    """Also where most members hear nothing of so small a zone for seconds by chance."""
    fleet = fleet_of(count, zones=zones)
    fleet.changes.clear()
    gone = [host for host in fleet.hosts if host.membership.own_record.zone == "z3"][:crashes]
    for host in gone:
        fleet.crash(host)
    fleet.run(fleet.now + 25.0)  # with a comparison of tables at each: a broadcast may miss one
    for host in gone:
        assert fleet.statuses(host.membership.own_record) == {DEAD: count - crashes}
    assert not [change for _, _, change in fleet.changes if isinstance(change, ZoneReachability)]


def cut_and_heal(fleet: Fleet, seconds: float = 120.0) -> tuple[int, int]:
    """Regions are cut and healed: how many updates were queued to be broadcast, and incarnations raised,
    after the healing."""
    fleet.is_cut = cut_regions
    fleet.run(fleet.now + seconds)
    queued, raised = fleet.figure("broadcasts_queued"), fleet.figure("incarnation")
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(60.0)
    fleet.run(fleet.now + 20.0)
    assert fleet.is_whole()
    return fleet.figure("broadcasts_queued") - queued, fleet.figure("incarnation") - raised


@pytest.mark.parametrize("seed, seconds", [(1, 120.0), (2, 30.0), (3, 30.0)])
def test_a_cut_of_regions_kills_nobody_and_its_healing_makes_no_wave(seed: int, seconds: float) -> None:
    fleet = fleet_of(30, seed=seed, zones=6, loss=0.01)
    fleet.changes.clear()
    start = fleet.now
    queued, raised = cut_and_heal(fleet, seconds)
    assert fleet.figure("deaths") == 0
    assert raised <= 2 and queued <= 2 * len(fleet.hosts)
    zones = [(host, c) for _, host, c in fleet.changes if isinstance(c, ZoneReachability)]
    for host in fleet.hosts:
        other = "r1" if host.membership.own_record.region == "r0" else "r0"
        far = {"z1", "z3", "z5"} if other == "r1" else {"z0", "z2", "z4"}
        mine = [c for h, c in zones if h is host]
        assert {c.zone for c in mine if not c.reachable} == far
        assert {c.zone for c in mine if c.reachable} == far
        assert host.membership.metrics()["zones_unreachable"] == 0
    times = [when for when, _, c in fleet.changes if isinstance(c, ZoneReachability) and not c.reachable]
    assert max(times) - start < 25.0  # one that no suspicion reached finds out in its own round of probes


def test_the_same_check_finds_a_wave_without_the_rule(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ZoneSilence, "_is_silent", lambda *_: False)
    fleet = fleet_of(30, seed=1, zones=6)
    queued, raised = cut_and_heal(fleet, 30.0)
    assert fleet.figure("deaths") > 0
    assert raised > len(fleet.hosts) / 2 and queued > 10 * len(fleet.hosts)


def test_a_short_cut_leaves_nothing_behind() -> None:
    fleet = fleet_of(36, zones=6)
    _, raised = cut_and_heal(fleet, 5.0)
    assert fleet.figure("deaths") == 0
    assert raised <= len(fleet.hosts) / 2


def test_one_that_joins_during_a_cut_does_not_kill_the_other_side() -> None:
    fleet = fleet_of(30)
    fleet.is_cut = cut_regions
    fleet.run(fleet.now + 20.0)
    fleet.add(record_of(999, "z0", "r0"), (record_of(0).address,))
    fleet.run(fleet.now + 40.0)
    for host in fleet.hosts[:30]:
        assert host.membership.metrics()["dead"] == 0
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(60.0)


def test_a_member_of_a_silent_zone_stays_suspect_whoever_declares_it_dead() -> None:
    near = [record_of(number, "near") for number in range(1, 4)]
    far = [record_of(number, "far") for number in range(4, 8)]
    lone = Lone(*near, *far, me=record_of(0, "near"))
    lone.run(15.0, answering(*near))
    assert ZoneReachability("far", False) in lone.membership.take_changes()
    assert lone.figure("zones_silent") == 1
    assert lone.figure("dead") == 0
    queued = lone.figure("broadcasts_queued")
    lone.receive(near[0], Gossip(tuple(StatusUpdate(record.id, 0, DEAD) for record in far)))
    assert [lone.status(record) for record in far] == [SUSPECT] * 4
    assert lone.figure("broadcasts_queued") == queued
    lone.membership.take_changes()
    lone.receive(far[0], Gossip())
    assert lone.membership.take_changes()[0] == ZoneReachability("far", True)
    assert [lone.status(record) for record in far] == [ALIVE] * 4
    assert lone.figure("broadcasts_queued") == queued


def test_a_member_that_is_cut_off_declares_nobody_dead() -> None:
    fleet = fleet_of(30, zones=5)
    alone = fleet.hosts[6]
    others = alone.membership.live()
    fleet.is_cut = lambda sender, receiver: alone.membership.own_record.id in (sender.id, receiver.id)
    fleet.changes.clear()
    fleet.run(fleet.now + 60.0)
    assert alone.membership.metrics()["deaths"] == 0
    assert alone.membership.metrics()["zones_unreachable"] == len({record.zone for record in others})
    before = alone.membership.metrics()["broadcasts_queued"]
    assert set(fleet.statuses(alone.membership.own_record)) == {DEAD}
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(60.0)
    fleet.run(fleet.now + 10)
    assert fleet.figure("dead") == 0
    assert alone.membership.own_record.incarnation == 1
    assert alone.membership.metrics()["broadcasts_queued"] - before <= 10


def test_both_parts_of_a_cut_find_their_dead_again() -> None:
    """Each member is a zone of its own, so that a cut does look like dead members."""
    fleet = fleet_of(24, zones=24)
    fleet.is_cut = cut_regions
    fleet.run(fleet.now + 100.0)
    assert fleet.figure("dead") >= 24 * 11
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(60.0)


def test_a_cut_between_two_regions_is_bridged_by_a_third() -> None:
    fleet = fleet_of(36, zones=6, regions=3)
    pair = {"r0", "r1"}
    fleet.is_cut = lambda sender, receiver: {sender.region, receiver.region} == pair
    fleet.run(fleet.now + 60.0)
    assert fleet.figure("deaths") == 0
    fleet.is_cut = lambda sender, receiver: False
    fleet.run_until_whole(30.0)
