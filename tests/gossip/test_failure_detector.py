"""Probes of one member, and its trust in its own observations.

The story: a member stops answering. It is probed directly, then through others, then suspected. A slow or
overloaded observer must doubt itself before it doubts the others (Lifeguard).
"""

from __future__ import annotations

import math
from typing import Any

import pytest

from saltcourse.gossip.failure_detector import MAX_HEALTH, MAX_RELAYED_PROBES, NACK_FRACTION
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
    Lone,
    answering,
    pings,
    record_of,
)


def test_a_probe_goes_direct_then_through_others_then_suspects_then_declares_dead() -> None:
    """Four members of zones of their own; the silent one is dead after the stated time and not before."""
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    silent, live = others[0], others[1:]
    lone = Lone(*others)
    sends: list[Send] = []
    begun = asked = suspected = dead = None

    def answer(send: Send) -> Any:
        nonlocal begun, asked
        sends.append(send)
        if isinstance(send.message, Ping) and send.destination == silent.address and begun is None:
            begun = lone.now
        if isinstance(send.message, PingRequest):
            asked = asked or lone.now
            relay = next(record for record in live if record.address == send.destination)
            return relay, Nack(send.message.sequence)
        return answering(*live)(send)

    while dead is None:
        lone.run(lone.now + 0.05, answer)
        if suspected is None and lone.status(silent) is SUSPECT:
            suspected = lone.now
        if lone.status(silent) is DEAD:
            dead = lone.now
        assert lone.now < 30
    assert begun is not None and asked is not None and suspected is not None
    first = [send.message for send in sends if isinstance(send.message, PingRequest)][:3]
    assert asked - begun == pytest.approx(TIMING.probe_timeout)
    assert {request.target for request in first} == {silent.id}
    assert len({send.destination for send in sends if send.message in first}) == TIMING.indirect_probes
    assert suspected - begun == pytest.approx(TIMING.probe_interval, abs=0.06)
    wait = TIMING.suspicion_multiplier * max(1.0, math.log10(5)) * TIMING.probe_interval
    assert dead - suspected == pytest.approx(wait, abs=0.06)
    assert lone.figure("deaths") == 1


def test_an_ack_through_a_relay_ends_the_probe() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    unreachable = others[0]

    def answer(send: Send) -> Any:
        if isinstance(send.message, PingRequest):
            relay = next(record for record in others[1:] if record.address == send.destination)
            return relay, Ack(send.message.sequence)
        return answering(*others[1:])(send)

    lone = Lone(*others)
    lone.run(20.0, answer)
    assert lone.status(unreachable) is ALIVE
    assert lone.figure("suspicions") == 0


def test_an_ack_of_a_member_that_was_not_pinged_proves_nothing() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 4)]

    def answer(send: Send) -> Any:
        wrong = others[1] if send.destination == others[0].address else others[0]
        return (wrong, Ack(send.message.sequence)) if isinstance(send.message, Ping) else None

    lone = Lone(*others)
    lone.run(4.0, answer)
    assert lone.figure("suspicions") > 0


def test_a_relay_sends_a_nack_in_time_and_still_passes_a_late_ack_on() -> None:
    asker, target = record_of(1), record_of(2)
    lone = Lone(asker, target)
    request = PingRequest(77, target.id)
    sends = lone.receive(asker, request)
    ping = next(send.message for send in pings(sends) if send.destination == target.address)
    assert ping.target == target.id and ping.sequence != 77
    nacks = [
        send
        for send in lone.run(NACK_FRACTION * TIMING.probe_timeout + 0.001, answering(asker))
        if isinstance(send.message, Nack)
    ]
    assert [(send.destination, send.message.sequence) for send in nacks] == [(asker.address, 77)]
    late = lone.receive(target, Ack(ping.sequence))
    assert Send(asker.address, Ack(77)) in late
    assert lone.receive(target, Ack(ping.sequence)) == []


def test_relayed_probes_are_bounded() -> None:
    asker, target = record_of(1), record_of(2)
    lone = Lone(asker, target)
    sends = []
    for sequence in range(MAX_RELAYED_PROBES + 10):
        sends += lone.receive(asker, PingRequest(sequence, target.id))
    assert len(pings(sends)) == MAX_RELAYED_PROBES
    assert lone.figure("relays_refused") == 10


def test_each_round_probes_everyone_once_in_another_order() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 11)]
    lone = Lone(*others)
    targets = [send.message.target for send in pings(lone.run(31.0, answering(*others)))]
    rounds = [targets[start : start + 10] for start in (0, 10, 20)]
    for order in rounds:
        assert sorted(order) == sorted(record.id for record in others)
    assert rounds[0] != rounds[1] != rounds[2]


def test_a_ping_meant_for_another_name_is_not_answered() -> None:
    other = record_of(1)
    lone = Lone(other)
    assert lone.receive(other, Ping(5, member_id("an earlier owner of this address"))) == []
    assert lone.figure("misaddressed_pings") == 1
    assert [send.message.sequence for send in lone.receive(other, Ping(6, lone.me.id))] == [6]


def test_health_falls_with_missed_acks_and_nacks_and_lengthens_timeouts() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 12)]
    lone = Lone(*others)
    begun: dict[int, float] = {}
    asked: dict[int, float] = {}

    def silent(send: Send) -> Any:
        if isinstance(send.message, Ping):
            begun.setdefault(send.message.sequence, lone.now)
        if isinstance(send.message, PingRequest):
            asked.setdefault(send.message.sequence, lone.now)
        if not isinstance(send.message, Ping) and lone.now < 3.0:
            return others[0], Gossip()  # it is not cut off: it receives messages
        return None

    lone.run(2.5, silent)
    assert lone.figure("health") >= 4  # one probe failed, three Nacks missing
    lone.run(30.0, silent)
    assert lone.figure("health") <= MAX_HEALTH
    waits = [asked[sequence] - begun[sequence] for sequence in asked if sequence in begun]
    assert min(waits) == pytest.approx(TIMING.probe_timeout)
    assert max(waits) >= 4 * TIMING.probe_timeout


def test_health_recovers_with_direct_answers_and_stays_in_its_bounds() -> None:
    other = record_of(1)
    lone = Lone(other)
    for incarnation in range(20):
        lone.now += 1.5
        lone.receive(other, Gossip((StatusUpdate(lone.me.id, incarnation, SUSPECT),)))
    assert lone.figure("health") == MAX_HEALTH
    lone.run(lone.now + 20, answering(other))
    assert lone.figure("health") == 0


def test_the_pace_of_probes_stays_when_health_is_poor() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 5)]
    lone = Lone(*others)
    for incarnation in range(9):
        lone.now += 1.1
        lone.receive(others[0], Gossip((StatusUpdate(lone.me.id, incarnation, SUSPECT),)))
    start = lone.now
    targets = [send for send in pings(lone.run(start + 30, answering(*others)))]
    assert 29 <= len(targets) <= 31


def test_the_dead_are_tried_one_at_a_time() -> None:
    others = [record_of(number, f"z{number}") for number in range(1, 30)]
    lone = Lone(*others)
    dead = others[3:]
    lone.receive(others[0], Gossip(tuple(StatusUpdate(record.id, 0, DEAD) for record in dead)))
    addresses = {record.address for record in dead}
    tries = [send for send in lone.run(100.0, answering(*others[:3])) if send.destination in addresses]
    assert 45 <= len(tries) <= 51
    assert len({send.destination for send in tries}) > 10
    assert all(
        isinstance(update, MemberRecord) and update.status is DEAD
        for send in tries
        for update in send.message.updates[:1]
    )
