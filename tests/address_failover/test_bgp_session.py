"""The BGP session: errors of the peer, broken sessions, and the announcement of the route."""

from __future__ import annotations

import ipaddress
from typing import Any

import pytest

from saltcourse.address_failover.bgp_session import (
    BgpSession,
    CloseConnection,
    EstablishedChanged,
    OpenConnection,
    Peering,
    SendBytes,
    SetTimer,
    State,
    ranked_route,
)
from saltcourse.address_failover.errors import InvalidPeeringError
from saltcourse.codec import bgp
from tests.codec.test_bgp import THEIRS, decode_all

IBGP = Peering(64512, 64512, "10.0.0.1")
EBGP = Peering(4_200_000_001, 64512, "10.0.0.1")
V4 = ranked_route("192.0.2.7", "10.0.0.1", 9, IBGP)


class SessionDriver:
    """Drives a session with a simulated clock and records its actions."""

    def __init__(self, peering: Peering = IBGP) -> None:
        self.session = BgpSession(peering, 1)
        self.now, self.timer_at = 100.0, 0.0
        self.sent: list[bgp.Message] = []
        self.changes: list[EstablishedChanged] = []
        self.connects = self.closes = 0
        self.call("start")

    def call(self, method: str, *args: Any) -> None:
        for action in getattr(self.session, method)(self.now, *args):
            match action:
                case SendBytes(data):
                    self.sent += decode_all(data)
                case EstablishedChanged():
                    self.changes.append(action)
                case SetTimer(at):
                    self.timer_at = at
                case OpenConnection():
                    self.connects += 1
                case CloseConnection():
                    self.closes += 1

    def run_until(self, end: float) -> None:
        while self.timer_at <= end:
            self.now = max(self.now, self.timer_at)
            self.call("timer_expired")
        self.now = end

    def establish(self) -> SessionDriver:
        self.call("connected")
        self.call("received", bgp.encode_open(THEIRS) + bgp.encode_keepalive())
        assert self.session.state is State.ESTABLISHED
        return self


def test_the_route_is_announced_whenever_the_session_becomes_established() -> None:
    driver = SessionDriver()
    driver.call("set_route", V4)
    driver.establish()
    assert driver.sent[-1] == bgp.Update(announced=(V4,)) and driver.changes == [EstablishedChanged(True)]
    driver.call("closed")
    assert driver.changes[-1].established is False
    driver.run_until(driver.now + 1)
    assert driver.connects == 2
    driver.establish()
    assert driver.sent[-1] == bgp.Update(announced=(V4,))
    driver.call("set_route", None)
    assert driver.sent[-1] == bgp.Update(withdrawn=(V4.address,))
    before = len(driver.sent)
    driver.call("set_route", None)
    assert len(driver.sent) == before


def test_a_newer_round_replaces_the_route_with_a_preferred_one() -> None:
    driver = SessionDriver().establish()
    driver.call("set_route", V4)
    driver.call("set_route", ranked_route("192.0.2.7", "10.0.0.1", 10, IBGP))
    old, new = (u.announced[0] for u in driver.sent[-2:])  # type: ignore[union-attr]
    assert new.local_pref > old.local_pref
    assert (
        ranked_route("192.0.2.7", "10.0.0.1", 10, EBGP).med
        < ranked_route("192.0.2.7", "10.0.0.1", 9, EBGP).med
    )  # type: ignore


def test_a_route_server_that_hangs_with_the_connection_open_is_detected_within_the_hold_time() -> None:
    driver = SessionDriver().establish()
    start = driver.now
    driver.run_until(start + 2.9)
    assert driver.changes[-1].established and sum(m == bgp.Keepalive() for m in driver.sent) >= 3
    driver.run_until(start + 3.0)
    assert driver.changes[-1] == EstablishedChanged(False, "hold timer expired") and driver.closes == 1
    assert bgp.Notification(bgp.HOLD_TIMER_EXPIRED, 0) in driver.sent


@pytest.mark.parametrize(
    "data, code, subcode",
    [
        (b"HTTP/1.1 400 Bad", 1, 1),
        (bgp.MARKER + b"\x00\x12\x04", 1, 2),
        (bgp.MARKER + b"\x00\x13\x09", 1, 3),
        (bgp.encode_open(bgp.Open(65000, 90, ipaddress.IPv4Address("10.0.0.9"))), 2, 2),
        (bgp.encode_open(bgp.Open(64512, 90, ipaddress.IPv4Address("10.0.0.1"))), 2, 3),
        (bgp.encode_open(bgp.Open(64512, 2, ipaddress.IPv4Address("10.0.0.9"))), 2, 6),
        (bgp.encode_announcement(V4), 5, 0),
    ],
)
def test_a_protocol_error_of_the_peer_is_answered_by_a_notification_and_closes_the_session(
    data: bytes, code: int, subcode: int
) -> None:
    driver = SessionDriver()
    driver.call("connected")
    driver.call("received", data)
    last = driver.sent[-1]
    assert isinstance(last, bgp.Notification) and (last.code, last.subcode) == (code, subcode)
    assert driver.closes == 1 and driver.session.state is State.IDLE


def test_the_retry_delay_grows_and_is_reset_by_an_established_session() -> None:
    driver = SessionDriver()
    delays = []
    for _ in range(9):
        driver.call("closed", "refused")
        delays.append(driver.timer_at - driver.now)
        driver.run_until(driver.timer_at)
    assert delays[0] < 0.3 and 5 < delays[-1] <= 10
    driver.establish()
    driver.call("received", bgp.encode_notification(6, 2, b"\x05night"))
    assert (
        driver.changes[-1].reason == "peer sent NOTIFICATION 6/2 (night)"
        and driver.timer_at - driver.now < 0.3
    )


def test_stopping_sends_a_notification_and_disables_retries() -> None:
    driver = SessionDriver().establish()
    driver.call("stop", "planned leave")
    assert driver.sent[-1] == bgp.Notification(6, 2, b"\x0dplanned leave")
    connects = driver.connects
    driver.timer_at = driver.now + 100
    driver.call("timer_expired")
    driver.call("connected")
    assert driver.connects == connects and driver.session.state is State.STOPPED


def test_a_hold_time_below_the_minimum_of_the_rfc_is_rejected() -> None:
    with pytest.raises(InvalidPeeringError, match="expected at least 3 s, got 2 s"):
        Peering(64512, 64512, "10.0.0.1", 2)


def test_the_route_preference_is_local_pref_within_an_as_and_med_between_two() -> None:
    internal = ranked_route("192.0.2.7", "10.0.0.1", 9, IBGP)
    external = ranked_route("2001:db8::7", "2001:db8::1", 9, EBGP)
    assert (internal.local_pref, internal.med, internal.as_path) == (9, None, ())
    assert (external.local_pref, external.med) == (None, bgp.MAX_U32 - 9)
    assert external.as_path == (4_200_000_001,)
