"""Membership as a whole: messages of one member, and fleets with loss, stops, crashes and restarts."""

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
    MemberHarness,
    acks_from,
    fleet_of,
    record_of,
    send_size,
)


def test_messages_with_the_longest_names_fit_into_a_datagram() -> None:
    others = [
        MemberRecord(f"{number:064}", (f"fd00::{number}", 1), "r" * 16, "z" * 16, Role.PROXY, 0, 1)
        for number in range(1, 200)
    ]
    harness = MemberHarness(*others)
    harness.receive(others[0], SyncRequest(0))
    harness.receive(others[0], SyncRequest(0, tuple(range(SYNC_BUCKETS))))
    harness.receive(others[0], Gossip(tuple(StatusUpdate(record.id, 0, SUSPECT) for record in others[1:])))
    harness.receive(others[0], Ping(1, harness.initial_record.id))
    harness.receive(others[1], Ping(1, harness.initial_record.id))
    harness.run(10.0, acks_from(*others[:50]))
    sizes = [send_size(send) for send in harness.sends]
    assert 1_000 < max(sizes) <= MAX_DATAGRAM_BYTES


def test_message_priorities() -> None:
    fleet = fleet_of(12, settle=0.0)
    fleet.log = []
    fleet.run(15.0)
    priorities = {(type(send.message), send.priority) for _, _, send in fleet.log}
    assert priorities == {
        (Ping, Priority.PROBE),
        (Ack, Priority.PROBE),
        (Gossip, Priority.MEMBERSHIP),
        (SyncRequest, Priority.BULK),
        (SyncReply, Priority.BULK),
    }


def test_sample_returns_distinct_members_and_avoids_suspects() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 9)]
    harness = MemberHarness(*others)
    updates = StatusUpdate(others[1].id, 0, SUSPECT), StatusUpdate(others[2].id, 0, DEAD)
    harness.receive(others[0], Gossip(updates))
    for _ in range(50):
        names = [record.name for record in harness.membership.sample(4)]
        assert len(names) == len(set(names)) > 0
        assert not {others[1].name, others[2].name, harness.initial_record.name} & set(names)
    assert MemberHarness().membership.sample(3) == []


def test_zone_sums_are_handed_over_and_bounded() -> None:
    other = record_of(1)
    harness = MemberHarness(other)
    harness.receive(other, Gossip(tuple(ZoneSum("a", number, 1, 1) for number in range(1_000))))
    received = harness.membership.take_zone_sums()
    assert received[0] == ZoneSum("a", 0, 1, 1) and len(received) == 256
    assert harness.membership.take_zone_sums() == []
    harness.membership.broadcast(ZoneSum("a", 7, 1, 1))
    gossip = [send.message for send in harness.run(1.0, acks_from(other)) if isinstance(send.message, Gossip)]
    assert any(ZoneSum("a", 7, 1, 1) in message.updates for message in gossip)


def test_crash_is_detected_by_all_members_in_time() -> None:
    """A process is killed. All members must consider it dead after the suspicion timeout, and none before."""
    fleet = fleet_of(30)
    crashed_host = fleet.hosts[7]
    fleet.crash(crashed_host)
    crashed_at = fleet.now
    bound = TIMING.suspicion_multiplier * math.log10(30) * TIMING.probe_interval
    fleet.run(crashed_at + bound - 0.5)
    assert fleet.statuses(crashed_host.membership.own_record)[DEAD] == 0
    fleet.run(crashed_at + bound + 5.0)
    assert set(fleet.statuses(crashed_host.membership.own_record)) == {DEAD}
    assert fleet.metric("dead") == 29


def test_leaving_member_is_left_everywhere_and_does_not_refute() -> None:
    """A process shuts down cleanly. Late claims must not make it refute that it has left."""
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
def test_loss_duplication_and_reordering_cause_no_deaths(seed: int) -> None:
    """The network loses, duplicates and reorders datagrams while no member has failed."""
    fleet = fleet_of(30, seed=seed, loss=0.15, duplication=0.2, delay=(0.001, 0.15), through_codec=True)
    fleet.run(40.0)
    assert fleet.metric("deaths") == 0
    fleet.loss = 0.0
    fleet.run_until_converged(15.0)


def test_resumed_process_declares_no_other_member_dead() -> None:
    """A process is stopped for a minute and resumed. It must not consider the other members dead."""
    fleet = fleet_of(30, zones=5)
    stopped = fleet.hosts[9]
    fleet.stop(stopped)
    fleet.run(fleet.now + 60.0)
    assert set(fleet.statuses(stopped.membership.own_record)) == {DEAD}
    fleet.resume(stopped)
    fleet.run_until_converged(20.0)
    fleet.run(fleet.now + 20.0)
    assert stopped.membership.metrics()["deaths"] == 0
    assert stopped.membership.metrics()["stalls"] == 1
    assert sum(host.membership.own_record.incarnation for host in fleet.hosts if host is not stopped) == 0


def test_restart_with_the_same_name_at_another_address() -> None:
    """A process dies, and a new process with the same name starts at another address."""
    fleet = fleet_of(30)
    old = fleet.hosts[4]
    fleet.crash(old)
    fleet.run(fleet.now + 1.0)
    new = replace(old.membership.own_record, address=("10.8.8.8", 7000), process_id=4711)
    host = fleet.add(new, (record_of(0).address, record_of(1).address))
    fleet.run_until_converged(20.0)
    assert host.membership.own_record.incarnation == 1
    assert host.membership.metrics()["name_conflicts"] == 0


def test_address_reused_by_another_member() -> None:
    """A process dies and another member gets its address. Its answers must not keep the dead member alive."""
    fleet = fleet_of(30, zones=3)
    old = fleet.hosts[4]
    fleet.crash(old)
    new = replace(record_of(777, "z0"), address=old.address)
    host = fleet.add(new, (record_of(0).address, record_of(1).address))
    fleet.run(fleet.now + 20.0)
    assert set(fleet.statuses(old.membership.own_record)) == {DEAD}
    assert set(fleet.statuses(new)) == {ALIVE}
    assert host.membership.metrics()["misaddressed_pings"] > 0


def test_two_live_processes_with_one_name_do_not_disturb_the_others() -> None:
    """Two processes run under one name by mistake. The other members must not raise their incarnations."""
    fleet = fleet_of(30)
    first = fleet.hosts[4]
    second_record = replace(first.membership.own_record, address=("10.8.8.8", 7000), process_id=4711)
    second = fleet.add(second_record, (record_of(0).address, record_of(1).address))
    fleet.run(fleet.now + 30.0)
    assert max(first.membership.own_record.incarnation, second.membership.own_record.incarnation) <= 62
    assert first.membership.metrics()["name_conflicts"] + second.membership.metrics()["name_conflicts"] > 0
    assert sum(h.membership.own_record.incarnation for h in fleet.hosts if h not in (first, second)) == 0


def test_history_is_reproducible_for_a_seed() -> None:
    logs = []
    for _ in range(2):
        fleet = Fleet(9, loss=0.1)
        fleet.log = []
        for number in range(15):
            fleet.add(record_of(number, f"z{number % 3}"), (record_of(0).address,))
        fleet.run(20.0)
        logs.append(fleet.log)
    assert len(logs[0]) > 500 and logs[0] == logs[1]


def test_idle_fleet_sends_a_constant_number_of_datagrams() -> None:
    """Each member sends about one Ping and one Ack per second, and occasionally compares tables."""
    rates = []
    for count in (10, 40):
        fleet = fleet_of(count, settle=20.0)
        fleet.log = []
        fleet.run(fleet.now + 10.0)
        rates.append(len(fleet.log) / count / 10)
    assert all(2.0 <= rate <= 2.5 for rate in rates)
