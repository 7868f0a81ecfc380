"""Membership as a whole: what one member sends, and fleets through loss, stops, crashes and restarts."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from saltcourse.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    SYNC_BUCKETS,
    Ack,
    Gossip,
    MemberRecord,
    Ping,
    Priority,
    Role,
    StatusUpdate,
    SyncReply,
    SyncRequest,
    ZoneSum,
)
from tests.gossip.membership_fleet import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    TIMING,
    Fleet,
    Lone,
    answering,
    fleet_of,
    record_of,
    send_size,
)


def test_messages_fit_a_datagram_with_the_longest_names() -> None:
    others = [
        MemberRecord(f"{number:064}", (f"fd00::{number}", 1), "r" * 16, "z" * 16, Role.PROXY, 0, 1)
        for number in range(1, 200)
    ]
    lone = Lone(*others)
    lone.receive(others[0], SyncRequest(0))
    lone.receive(others[0], SyncRequest(0, tuple(range(SYNC_BUCKETS))))
    lone.receive(others[0], Gossip(tuple(StatusUpdate(record.id, 0, SUSPECT) for record in others[1:])))
    lone.receive(others[0], Ping(1, lone.me.id))
    lone.receive(others[1], Ping(1, lone.me.id))
    lone.run(10.0, answering(*others[:50]))
    sizes = [send_size(send) for send in lone.sends]
    assert 1_000 < max(sizes) <= MAX_DATAGRAM_BYTES


def test_priorities_of_what_is_sent() -> None:
    fleet = fleet_of(12, settle=0.0)
    fleet.log = []
    fleet.run(15.0)
    found = {(type(send.message), send.priority) for _, _, send in fleet.log}
    assert found == {
        (Ping, Priority.PROBE),
        (Ack, Priority.PROBE),
        (Gossip, Priority.MEMBERSHIP),
        (SyncRequest, Priority.BULK),
        (SyncReply, Priority.BULK),
    }


def test_samples_are_different_live_members_and_rather_not_suspects() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 9)]
    lone = Lone(*others)
    gone = StatusUpdate(others[1].id, 0, SUSPECT), StatusUpdate(others[2].id, 0, DEAD)
    lone.receive(others[0], Gossip(gone))
    for _ in range(50):
        names = [record.name for record in lone.membership.sample(4)]
        assert len(names) == len(set(names)) > 0
        assert not {others[1].name, others[2].name, lone.me.name} & set(names)
    assert Lone().membership.sample(3) == []


def test_updates_of_other_parts_are_handed_over_and_bounded() -> None:
    other = record_of(1)
    lone = Lone(other)
    lone.receive(other, Gossip(tuple(ZoneSum("a", number, 1, 1) for number in range(1_000))))
    received = lone.membership.take_received()
    assert received[0] == ZoneSum("a", 0, 1, 1) and len(received) == 256
    assert lone.membership.take_received() == []
    lone.membership.broadcast(ZoneSum("a", 7, 1, 1))
    gossip = [send.message for send in lone.run(1.0, answering(other)) if isinstance(send.message, Gossip)]
    assert any(ZoneSum("a", 7, 1, 1) in message.updates for message in gossip)


def test_a_crash_is_known_everywhere_in_time() -> None:
    """A process is killed: all believe it dead after the time of a suspicion, and none before."""
    fleet = fleet_of(30)
    gone = fleet.hosts[7]
    fleet.crash(gone)
    crashed = fleet.now
    bound = TIMING.suspicion_multiplier * math.log10(30) * TIMING.probe_interval
    fleet.run(crashed + bound - 0.5)
    assert fleet.statuses(gone.membership.own_record)[DEAD] == 0
    fleet.run(crashed + bound + 5.0)
    assert set(fleet.statuses(gone.membership.own_record)) == {DEAD}
    assert fleet.figure("dead") == 29


def test_a_leaving_member_is_gone_at_once_and_does_not_object() -> None:
    """A process ends in order. Late claims must not make it refute that it has left."""
    fleet = fleet_of(30)
    leaver = fleet.hosts[3]
    fleet._send(leaver, leaver.membership.leave(fleet.now))
    fleet.run(fleet.now + 3.0)
    assert set(fleet.statuses(leaver.membership.own_record)) == {LEFT}
    assert leaver.membership.own_record.incarnation == 0
    fleet.crash(leaver)
    fleet.run(fleet.now + 15.0)
    assert set(fleet.statuses(leaver.membership.own_record)) == {LEFT}


@pytest.mark.parametrize("seed", [1, 2])
def test_loss_doubling_and_reordering_kill_nobody(seed: int) -> None:
    """The network loses, doubles and reorders datagrams, and nobody has failed."""
    fleet = fleet_of(30, seed=seed, loss=0.15, double=0.2, delay=(0.001, 0.15), through_codec=True)
    fleet.run(40.0)
    assert fleet.figure("deaths") == 0
    fleet.loss = 0.0
    fleet.run_until_whole(15.0)


def test_a_stopped_process_goes_on_without_harm() -> None:
    """A process is stopped for a minute and goes on: it must not take the others for dead."""
    fleet = fleet_of(30, zones=5)
    sleeper = fleet.hosts[9]
    fleet.stop(sleeper)
    fleet.run(fleet.now + 60.0)
    assert set(fleet.statuses(sleeper.membership.own_record)) == {DEAD}
    fleet.go_on(sleeper)
    fleet.run_until_whole(20.0)
    fleet.run(fleet.now + 20.0)
    assert sleeper.membership.metrics()["deaths"] == 0
    assert sleeper.membership.metrics()["stalls"] == 1
    assert sum(host.membership.own_record.incarnation for host in fleet.hosts if host is not sleeper) == 0


def test_a_restart_under_the_same_name_at_another_address() -> None:
    """A process dies, and its successor has the name and another address."""
    fleet = fleet_of(30)
    old = fleet.hosts[4]
    fleet.crash(old)
    fleet.run(fleet.now + 1.0)
    new = replace(old.membership.own_record, address=("10.8.8.8", 7000), process_id=4711)
    host = fleet.add(new, (record_of(0).address, record_of(1).address))
    fleet.run_until_whole(20.0)
    assert host.membership.own_record.incarnation == 1
    assert host.membership.metrics()["name_conflicts"] == 0


def test_an_address_used_again_by_another_name() -> None:
    """A process dies and another member gets its address: its answers must not keep the dead one alive."""
    fleet = fleet_of(30, zones=3)
    old = fleet.hosts[4]
    fleet.crash(old)
    new = replace(record_of(777, "z0"), address=old.address)
    host = fleet.add(new, (record_of(0).address, record_of(1).address))
    fleet.run(fleet.now + 20.0)
    assert set(fleet.statuses(old.membership.own_record)) == {DEAD}
    assert set(fleet.statuses(new)) == {ALIVE}
    assert host.membership.metrics()["misaddressed_pings"] > 0


def test_two_live_processes_of_one_name_in_a_fleet_do_not_shake_it() -> None:
    """Two processes run under one name by mistake: the others must not be drawn into it."""
    fleet = fleet_of(30)
    first = fleet.hosts[4]
    twin = replace(first.membership.own_record, address=("10.8.8.8", 7000), process_id=4711)
    second = fleet.add(twin, (record_of(0).address, record_of(1).address))
    fleet.run(fleet.now + 30.0)
    assert max(first.membership.own_record.incarnation, second.membership.own_record.incarnation) <= 62
    assert first.membership.metrics()["name_conflicts"] + second.membership.metrics()["name_conflicts"] > 0
    assert sum(h.membership.own_record.incarnation for h in fleet.hosts if h not in (first, second)) == 0


def test_one_seed_gives_one_history() -> None:
    logs = []
    for _ in range(2):
        fleet = Fleet(9, loss=0.1)
        fleet.log = []
        for number in range(15):
            fleet.add(record_of(number, f"z{number % 3}"), (record_of(0).address,))
        fleet.run(20.0)
        logs.append(fleet.log)
    assert len(logs[0]) > 500 and logs[0] == logs[1]


def test_a_quiet_fleet_sends_a_constant_amount() -> None:
    """Datagrams of one member and second: a Ping, an Ack, and now and then a comparison of tables."""
    rates = []
    for count in (10, 40):
        fleet = fleet_of(count, settle=20.0)
        fleet.log = []
        fleet.run(fleet.now + 10.0)
        rates.append(len(fleet.log) / count / 10)
    assert all(2.0 <= rate <= 2.5 for rate in rates)
