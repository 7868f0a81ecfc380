"""Probes of one member and its local health score.

A member that stops answering is probed directly, then through relays, then suspected. A slow or overloaded
member must not suspect others because of its own delays (Lifeguard).
"""

from __future__ import annotations

import math
from typing import Any

import pytest

from saltcourse.gossip.failure_detector import MAX_HEALTH_SCORE, MAX_RELAYED_PROBES, NACK_FRACTION
from saltcourse.gossip.messages import (
    Ack,
    Gossip,
    MemberRecord,
    Nack,
    Ping,
    PingRequest,
    Send,
    StatusUpdate,
    member_id,
)
from tests.gossip.membership_fleet import (
    ALIVE,
    DEAD,
    SUSPECT,
    TIMING,
    MemberHarness,
    acks_from,
    pings,
    record_of,
)


def test_probe_is_direct_then_relayed_before_suspicion_and_death() -> None:
    """A member that does not answer must be dead after the suspicion timeout, and not before.

    There are four members, each in its own zone.
    """
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    unresponsive, live = others[0], others[1:]
    harness = MemberHarness(*others)
    sends: list[Send] = []
    started = asked = suspected = dead = None

    def answer(send: Send) -> Any:
        nonlocal started, asked
        sends.append(send)
        if isinstance(send.message, Ping) and send.destination == unresponsive.address and started is None:
            started = harness.now
        if isinstance(send.message, PingRequest):
            asked = asked or harness.now
            relay = next(record for record in live if record.address == send.destination)
            return relay, Nack(send.message.sequence)
        return acks_from(*live)(send)

    while dead is None:
        harness.run(harness.now + 0.05, answer)
        if suspected is None and harness.status(unresponsive) is SUSPECT:
            suspected = harness.now
        if harness.status(unresponsive) is DEAD:
            dead = harness.now
        assert harness.now < 30
    assert started is not None and asked is not None and suspected is not None
    first = [send.message for send in sends if isinstance(send.message, PingRequest)][:3]
    assert asked - started == pytest.approx(TIMING.probe_timeout)
    assert {request.target for request in first} == {unresponsive.id}
    assert len({send.destination for send in sends if send.message in first}) == TIMING.indirect_probes
    assert suspected - started == pytest.approx(TIMING.probe_interval, abs=0.06)
    timeout = TIMING.suspicion_multiplier * max(1.0, math.log10(5)) * TIMING.probe_interval
    assert dead - suspected == pytest.approx(timeout, abs=0.06)
    assert harness.metric("deaths") == 1


def test_relayed_ack_ends_the_probe() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    unreachable = others[0]

    def answer(send: Send) -> Any:
        if isinstance(send.message, PingRequest):
            relay = next(record for record in others[1:] if record.address == send.destination)
            return relay, Ack(send.message.sequence)
        return acks_from(*others[1:])(send)

    harness = MemberHarness(*others)
    harness.run(20.0, answer)
    assert harness.status(unreachable) is ALIVE
    assert harness.metric("suspicions") == 0


def test_ack_from_a_member_that_was_not_pinged_is_ignored() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 4)]

    def answer(send: Send) -> Any:
        wrong = others[1] if send.destination == others[0].address else others[0]
        return (wrong, Ack(send.message.sequence)) if isinstance(send.message, Ping) else None

    harness = MemberHarness(*others)
    harness.run(4.0, answer)
    assert harness.metric("suspicions") > 0


def test_relay_sends_a_nack_in_time_and_forwards_a_late_ack() -> None:
    requester, target = record_of(1), record_of(2)
    harness = MemberHarness(requester, target)
    request = PingRequest(77, target.id)
    sends = harness.receive(requester, request)
    ping = next(send.message for send in pings(sends) if send.destination == target.address)
    assert ping.target == target.id and ping.sequence != 77
    nacks = [
        send
        for send in harness.run(NACK_FRACTION * TIMING.probe_timeout + 0.001, acks_from(requester))
        if isinstance(send.message, Nack)
    ]
    assert [(send.destination, send.message.sequence) for send in nacks] == [(requester.address, 77)]
    late = harness.receive(target, Ack(ping.sequence))
    assert Send(requester.address, Ack(77)) in late
    assert harness.receive(target, Ack(ping.sequence)) == []


def test_number_of_relayed_probes_is_bounded() -> None:
    requester, target = record_of(1), record_of(2)
    harness = MemberHarness(requester, target)
    sends = []
    for sequence in range(MAX_RELAYED_PROBES + 10):
        sends += harness.receive(requester, PingRequest(sequence, target.id))
    assert len(pings(sends)) == MAX_RELAYED_PROBES
    assert harness.metric("relays_refused") == 10


def test_each_round_probes_every_member_once_in_a_new_order() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 11)]
    harness = MemberHarness(*others)
    targets = [send.message.target for send in pings(harness.run(31.0, acks_from(*others)))]
    rounds = [targets[start : start + 10] for start in (0, 10, 20)]
    for order in rounds:
        assert sorted(order) == sorted(record.id for record in others)
    assert rounds[0] != rounds[1] != rounds[2]


def test_ping_for_another_member_id_is_not_answered() -> None:
    other = record_of(1)
    harness = MemberHarness(other)
    assert harness.receive(other, Ping(5, member_id("previous-owner-of-this-address"))) == []
    assert harness.metric("misaddressed_pings") == 1
    assert [send.message.sequence for send in harness.receive(other, Ping(6, harness.initial_record.id))] == [
        6
    ]


def test_health_score_rises_with_missing_acks_and_nacks_and_extends_timeouts() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 12)]
    harness = MemberHarness(*others)
    started: dict[int, float] = {}
    asked: dict[int, float] = {}

    def record_times(send: Send) -> Any:
        if isinstance(send.message, Ping):
            started.setdefault(send.message.sequence, harness.now)
        if isinstance(send.message, PingRequest):
            asked.setdefault(send.message.sequence, harness.now)
        if not isinstance(send.message, Ping) and harness.now < 3.0:
            return others[0], Gossip()  # the member still receives messages, so it is not isolated
        return None

    harness.run(2.5, record_times)
    assert harness.metric("health") >= 4  # one failed probe and three missing Nacks
    harness.run(30.0, record_times)
    assert harness.metric("health") <= MAX_HEALTH_SCORE
    delays = [asked[sequence] - started[sequence] for sequence in asked if sequence in started]
    assert min(delays) == pytest.approx(TIMING.probe_timeout)
    assert max(delays) >= 4 * TIMING.probe_timeout


def test_health_score_recovers_with_direct_answers_and_is_bounded() -> None:
    other = record_of(1)
    harness = MemberHarness(other)
    for incarnation in range(20):
        harness.now += 1.5
        harness.receive(other, Gossip((StatusUpdate(harness.initial_record.id, incarnation, SUSPECT),)))
    assert harness.metric("health") == MAX_HEALTH_SCORE
    harness.run(harness.now + 20, acks_from(other))
    assert harness.metric("health") == 0


def test_probe_interval_does_not_depend_on_the_health_score() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    harness = MemberHarness(*others)
    for incarnation in range(9):
        harness.now += 1.1
        harness.receive(others[0], Gossip((StatusUpdate(harness.initial_record.id, incarnation, SUSPECT),)))
    start = harness.now
    targets = [send for send in pings(harness.run(start + 30, acks_from(*others)))]
    assert 29 <= len(targets) <= 31


def test_dead_members_are_pinged_one_at_a_time() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 30)]
    harness = MemberHarness(*others)
    dead = others[3:]
    harness.receive(others[0], Gossip(tuple(StatusUpdate(record.id, 0, DEAD) for record in dead)))
    addresses = {record.address for record in dead}
    dead_pings = [
        send for send in harness.run(100.0, acks_from(*others[:3])) if send.destination in addresses
    ]
    assert 45 <= len(dead_pings) <= 51
    assert len({send.destination for send in dead_pings}) > 10
    assert all(
        isinstance(update, MemberRecord) and update.status is DEAD
        for send in dead_pings
        for update in send.message.updates[:1]
    )
