"""One BGP session: what peers do wrong, and what a session that breaks means for the route."""

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
    """A session, a clock, and what the session did."""

    def __init__(self, peering: Peering = IBGP) -> None:
        self.session = BgpSession(peering, 1)
        self.now, self.timer_at = 100.0, 0.0
        self.sent: list[bgp.Message] = []
        self.changes: list[EstablishedChanged] = []
        self.connects = self.closes = 0
        self.do("start")

    def do(self, what: str, *args: Any) -> None:
        for action in getattr(self.session, what)(self.now, *args):
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

    def until(self, when: float) -> None:
        while self.timer_at <= when:
            self.now = max(self.now, self.timer_at)
            self.do("timer_expired")
        self.now = when

    def establish(self) -> SessionDriver:
        self.do("connected")
        self.do("received", bgp.encode_open(THEIRS) + bgp.encode_keepalive())
        assert self.session.state is State.ESTABLISHED
        return self


def test_routes_are_announced_when_the_session_is_established_and_again_after_it_broke() -> None:
    s = SessionDriver()
    s.do("set_route", V4)
    s.establish()
    assert s.sent[-1] == bgp.Update(announced=(V4,)) and s.changes == [EstablishedChanged(True)]
    s.do("closed")
    assert s.changes[-1].established is False
    s.until(s.now + 1)
    assert s.connects == 2
    s.establish()
    assert s.sent[-1] == bgp.Update(announced=(V4,))
    s.do("set_route", None)
    assert s.sent[-1] == bgp.Update(withdrawn=(V4.address,))
    before = len(s.sent)
    s.do("set_route", None)
    assert len(s.sent) == before


def test_a_newer_claim_replaces_the_route_with_a_better_rank() -> None:
    s = SessionDriver().establish()
    s.do("set_route", V4)
    s.do("set_route", ranked_route("192.0.2.7", "10.0.0.1", 10, IBGP))
    old, new = (u.announced[0] for u in s.sent[-2:])  # type: ignore[union-attr]
    assert new.local_pref > old.local_pref
    assert (
        ranked_route("192.0.2.7", "10.0.0.1", 10, EBGP).med
        < ranked_route("192.0.2.7", "10.0.0.1", 9, EBGP).med
    )  # type: ignore


def test_a_route_server_that_hangs_with_the_connection_open_is_noticed_within_the_hold_time() -> None:
    s = SessionDriver().establish()
    began = s.now
    s.until(began + 2.9)
    assert s.changes[-1].established and sum(m == bgp.Keepalive() for m in s.sent) >= 3
    s.until(began + 3.0)
    assert s.changes[-1] == EstablishedChanged(False, "hold timer expired") and s.closes == 1
    assert bgp.Notification(bgp.HOLD_TIMER_EXPIRED, 0) in s.sent


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
def test_a_peer_that_errs_is_notified_of_its_error_and_the_session_closed(
    data: bytes, code: int, subcode: int
) -> None:
    s = SessionDriver()
    s.do("connected")
    s.do("received", data)
    last = s.sent[-1]
    assert isinstance(last, bgp.Notification) and (last.code, last.subcode) == (code, subcode)
    assert s.closes == 1 and s.session.state is State.IDLE


def test_attempts_back_off_and_a_session_that_was_established_starts_over() -> None:
    s = SessionDriver()
    times = []
    for _ in range(9):
        s.do("closed", "refused")
        times.append(s.timer_at - s.now)
        s.until(s.timer_at)
    assert times[0] < 0.3 and 5 < times[-1] <= 10
    s.establish()
    s.do("received", bgp.encode_notification(6, 2, b"\x05night"))
    assert s.changes[-1].reason == "peer sent NOTIFICATION 6/2 (night)" and s.timer_at - s.now < 0.3


def test_stopping_is_notified_and_nothing_is_retried() -> None:
    s = SessionDriver().establish()
    s.do("stop", "planned leave")
    assert s.sent[-1] == bgp.Notification(6, 2, b"\x0dplanned leave")
    connects = s.connects
    s.timer_at = s.now + 100
    s.do("timer_expired")
    s.do("connected")
    assert s.connects == connects and s.session.state is State.STOPPED


def test_a_hold_time_that_the_rfc_forbids_is_rejected() -> None:
    with pytest.raises(InvalidPeeringError, match="expected at least 3 s, got 2 s"):
        Peering(64512, 64512, "10.0.0.1", 2)


def test_the_rank_of_a_route_is_its_round_within_an_as_and_between_two() -> None:
    internal = ranked_route("192.0.2.7", "10.0.0.1", 9, IBGP)
    external = ranked_route("2001:db8::7", "2001:db8::1", 9, EBGP)
    assert (internal.local_pref, internal.med, internal.as_path) == (9, None, ())
    assert (external.local_pref, external.med) == (None, bgp.MAX_U32 - 9)
    assert external.as_path == (4_200_000_001,)
