"""Ejections of peers: they end when they end at their origin, even if their notice was delayed."""

from __future__ import annotations

from saltcourse.shared_state.ejections import MAX_EJECTION_SECONDS, MAX_EJECTIONS, Ejections
from saltcourse.shared_state.messages import ClockReading, EjectionNotice

DRIFT = 0.01
PEER = 1
PEER_CLOCK = 500.0  # seconds by which the peer's clock is ahead of this proxy's


def clock_units(seconds: float) -> int:
    return round(100 * seconds)


def with_known_clock() -> Ejections:
    """Return ejections with a reading of the peer's clock that arrived at 0 s without delay."""
    ejections = Ejections(DRIFT)
    ejections.receive_clock(0.0, PEER, ClockReading(clock_units(PEER_CLOCK)))
    return ejections


def test_an_ejection_ends_by_the_clock_of_its_origin() -> None:
    ejections = with_known_clock()
    ejections.receive_notice(1.0, PEER, EjectionNotice("srv1", clock_units(PEER_CLOCK + 3.0)))
    assert ejections.active(2.9) == {"srv1"}
    assert ejections.active(3.1) == set()


def test_an_ejection_that_ended_before_its_delayed_notice_arrives_is_ignored() -> None:
    # The notice was sent at 1 s and arrives at 9 s, with the clock reading from 1 s.
    ejections = with_known_clock()
    ejections.receive_clock(9.0, PEER, ClockReading(clock_units(PEER_CLOCK + 1.0)))
    ejections.receive_notice(9.0, PEER, EjectionNotice("srv1", clock_units(PEER_CLOCK + 3.0)))
    assert ejections.active(9.0) == set()


def test_an_ejection_from_a_peer_with_an_unknown_clock_is_ignored() -> None:
    ejections = Ejections(DRIFT)
    ejections.receive_notice(1.0, PEER, EjectionNotice("srv1", clock_units(PEER_CLOCK + 3.0)))
    assert ejections.active(1.0) == set()


def test_no_ejection_lasts_longer_than_the_limit() -> None:
    ejections = with_known_clock()
    ejections.receive_notice(1.0, PEER, EjectionNotice("srv1", clock_units(PEER_CLOCK + 1000.0)))
    assert ejections.active(1.0 + MAX_EJECTION_SECONDS - 0.1) == {"srv1"}
    assert ejections.active(1.0 + MAX_EJECTION_SECONDS) == set()


def test_ejections_of_a_peer_are_limited_in_number_and_discarded_when_it_restarts() -> None:
    ejections = with_known_clock()
    for number in range(MAX_EJECTIONS + 1):
        ejections.receive_notice(1.0, PEER, EjectionNotice(f"{number:04d}", clock_units(PEER_CLOCK + 3.0)))
    assert len(ejections.active(1.0)) == MAX_EJECTIONS
    ejections.forget_peer(PEER)
    assert ejections.active(1.0) == set() and not ejections.offsets


def test_an_ejection_is_sent_once_and_preceded_by_a_clock_reading() -> None:
    ejections = Ejections(DRIFT)
    assert ejections.pop_pending(1.0) == []
    ejections.announce("srv1", 3.0)
    assert ejections.pop_pending(1.0) == [ClockReading(100), EjectionNotice("srv1", 300)]
    assert ejections.pop_pending(1.0) == []
