"""Ejections of peers: they end as they end at their origin, whatever held their message up."""

from __future__ import annotations

from saltcourse.shared_state.ejections import MAX_EJECTIONS, MAX_HOLD_SECONDS, Ejections
from saltcourse.shared_state.messages import ClockReading, EjectionNotice

DRIFT = 0.01
PEER = 1
PEER_CLOCK = 500.0  # s that the peer's clock is ahead of this proxy's


def units(seconds: float) -> int:
    return round(100 * seconds)


def with_known_clock() -> Ejections:
    """At 0 s a reading of the peer's clock came without delay."""
    ejections = Ejections(DRIFT)
    ejections.receive_clock(0.0, PEER, ClockReading(units(PEER_CLOCK)))
    return ejections


def test_an_ejection_ends_by_the_clock_of_its_origin() -> None:
    ejections = with_known_clock()
    ejections.receive_notice(1.0, PEER, EjectionNotice("srv1", units(PEER_CLOCK + 3.0)))
    assert ejections.active(2.9) == {"srv1"}
    assert ejections.active(3.1) == set()


def test_an_ejection_that_was_held_up_on_its_way_is_over_when_it_comes() -> None:
    # The notice was sent at 1 s and comes at 9 s with the clock reading of its sending.
    ejections = with_known_clock()
    ejections.receive_clock(9.0, PEER, ClockReading(units(PEER_CLOCK + 1.0)))
    ejections.receive_notice(9.0, PEER, EjectionNotice("srv1", units(PEER_CLOCK + 3.0)))
    assert ejections.active(9.0) == set()


def test_an_ejection_of_an_unknown_clock_is_passed_over() -> None:
    ejections = Ejections(DRIFT)
    ejections.receive_notice(1.0, PEER, EjectionNotice("srv1", units(PEER_CLOCK + 3.0)))
    assert ejections.active(1.0) == set()


def test_no_ejection_is_held_for_longer_than_the_limit() -> None:
    ejections = with_known_clock()
    ejections.receive_notice(1.0, PEER, EjectionNotice("srv1", units(PEER_CLOCK + 1000.0)))
    assert ejections.active(1.0 + MAX_HOLD_SECONDS - 0.1) == {"srv1"}
    assert ejections.active(1.0 + MAX_HOLD_SECONDS) == set()


def test_what_a_peer_sends_is_bounded_and_forgotten_with_its_process() -> None:
    ejections = with_known_clock()
    for number in range(MAX_EJECTIONS + 1):
        ejections.receive_notice(1.0, PEER, EjectionNotice(f"{number:04d}", units(PEER_CLOCK + 3.0)))
    assert len(ejections.active(1.0)) == MAX_EJECTIONS
    ejections.forget_peer(PEER)
    assert ejections.active(1.0) == set() and not ejections.offsets


def test_ejections_are_sent_once_behind_a_clock_reading() -> None:
    ejections = Ejections(DRIFT)
    assert ejections.pop_pending(1.0) == []
    ejections.announce("srv1", 3.0)
    assert ejections.pop_pending(1.0) == [ClockReading(100), EjectionNotice("srv1", 300)]
    assert ejections.pop_pending(1.0) == []
