"""The BGP codec and one session: what peers do wrong, and what a session that breaks means for the route."""

from __future__ import annotations

import ipaddress
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcourse.address_failover import bgp_session as sp
from saltcourse.address_failover.bgp_session import Peering, Speaker, State, ranked
from saltcourse.codec import bgp

IBGP = Peering(64512, 64512, "10.0.0.1")
EBGP = Peering(4_200_000_001, 64512, "10.0.0.1")
V4 = ranked("192.0.2.7", "10.0.0.1", 9, IBGP)
V6 = ranked("2001:db8::7", "2001:db8::1", 9, EBGP)
THEIRS = bgp.Open(64512, 90, ipaddress.IPv4Address("10.0.0.9"), frozenset({(1, 1)}))


def cut(data: bytes, as4: bool = True) -> list[bgp.Message]:
    buffer = bgp.Buffer()
    buffer.feed(data)
    found = []
    while (one := buffer.next()) is not None:
        found.append(bgp.read(*one, as4))
    return found


@pytest.mark.parametrize("route", [V4, V6])
def test_routes_and_their_withdrawal_come_out_as_they_went_in(route: bgp.Route) -> None:
    assert cut(bgp.announce(route) + bgp.withdraw(route.address)) == [
        bgp.Update(announced=(route,)),
        bgp.Update(withdrawn=(route.address,)),
    ]


def test_an_update_has_the_bytes_that_the_rfc_says() -> None:
    want = (
        "ff" * 16
        + "0031"
        + "02"
        + "0000"
        + "0015"
        + "400101"
        + "00"
        + "400200"
        + "4003040a000001"
        + "40050400000009"
        + "20c0000207"
    )
    assert bgp.announce(V4).hex() == want


def test_a_large_as_number_goes_through_two_octets_where_the_peer_is_old() -> None:
    assert cut(bgp.announce(V6, as4=False), as4=False)[0].announced[0].as_path == (bgp.AS_TRANS,)  # type: ignore
    told = bgp.Open(4_200_000_001, 3, ipaddress.IPv4Address("10.0.0.1"), frozenset({(1, 1), (2, 1)}))
    assert cut(bgp.open_message(told)) == [told]


@given(st.binary(max_size=200), st.sampled_from([1, 2, 3, 4, 5]), st.booleans())
def test_any_bytes_give_a_message_or_a_named_error(junk: bytes, kind: int, as4: bool) -> None:
    framed = bgp.MARKER + (19 + len(junk)).to_bytes(2, "big") + bytes((kind,)) + junk
    for data in (junk, framed):
        try:
            cut(data, as4)
        except bgp.BgpError as wrong:
            assert 1 <= wrong.code <= 6


@given(st.integers(0, 2000), st.integers(1, 255))
def test_any_changed_byte_of_real_messages_is_borne(at: int, flip: int) -> None:
    data = bytearray(bgp.open_message(THEIRS) + bgp.announce(V6) + bgp.announce(V4))
    data[at % len(data)] ^= flip
    try:
        cut(bytes(data))
    except bgp.BgpError as wrong:
        assert 1 <= wrong.code <= 6


class Session:
    """A speaker, a clock, and what it did."""

    def __init__(self, peering: Peering = IBGP) -> None:
        self.speaker = Speaker(peering, 1)
        self.now, self.wake = 100.0, 0.0
        self.said: list[bgp.Message] = []
        self.stands: list[sp.Stands] = []
        self.dials = self.hung_up = 0
        self.do("start")

    def do(self, what: str, *args: Any) -> None:
        for action in getattr(self.speaker, what)(self.now, *args):
            match action:
                case sp.Write(data):
                    self.said += cut(data)
                case sp.Stands():
                    self.stands.append(action)
                case sp.Wake(at):
                    self.wake = at
                case sp.Dial():
                    self.dials += 1
                case sp.HangUp():
                    self.hung_up += 1

    def until(self, when: float) -> None:
        while self.wake <= when:
            self.now = max(self.now, self.wake)
            self.do("tick")
        self.now = when

    def establish(self) -> Session:
        self.do("connected")
        self.do("received", bgp.open_message(THEIRS) + bgp.keepalive())
        assert self.speaker.state is State.ESTABLISHED
        return self


def test_what_is_wanted_is_announced_when_the_session_stands_and_again_after_it_broke() -> None:
    s = Session()
    s.do("want", V4)
    s.establish()
    assert s.said[-1] == bgp.Update(announced=(V4,)) and s.stands == [sp.Stands(True)]
    s.do("closed")
    assert s.stands[-1].able is False
    s.until(s.now + 1)
    assert s.dials == 2
    s.establish()
    assert s.said[-1] == bgp.Update(announced=(V4,))
    s.do("want", None)
    assert s.said[-1] == bgp.Update(withdrawn=(V4.address,))
    before = len(s.said)
    s.do("want", None)
    assert len(s.said) == before


def test_a_newer_claim_replaces_the_route_with_a_better_rank() -> None:
    s = Session().establish()
    s.do("want", V4)
    s.do("want", ranked("192.0.2.7", "10.0.0.1", 10, IBGP))
    old, new = (u.announced[0] for u in s.said[-2:])  # type: ignore[union-attr]
    assert new.local_pref > old.local_pref
    assert ranked("192.0.2.7", "10.0.0.1", 10, EBGP).med < ranked("192.0.2.7", "10.0.0.1", 9, EBGP).med  # type: ignore


def test_a_route_server_that_hangs_with_the_connection_open_is_noticed_within_the_hold_time() -> None:
    s = Session().establish()
    began = s.now
    s.until(began + 2.9)
    assert s.stands[-1].able and sum(m == bgp.Keepalive() for m in s.said) >= 3
    s.until(began + 3.0)
    assert s.stands[-1] == sp.Stands(False, "the peer said nothing in time") and s.hung_up == 1
    assert bgp.Notification(bgp.HOLD_EXPIRED, 0) in s.said


@pytest.mark.parametrize(
    "data, code, subcode",
    [
        (b"HTTP/1.1 400 Bad", 1, 1),
        (bgp.MARKER + b"\x00\x12\x04", 1, 2),
        (bgp.MARKER + b"\x00\x13\x09", 1, 3),
        (bgp.open_message(bgp.Open(65000, 90, ipaddress.IPv4Address("10.0.0.9"))), 2, 2),
        (bgp.open_message(bgp.Open(64512, 90, ipaddress.IPv4Address("10.0.0.1"))), 2, 3),
        (bgp.open_message(bgp.Open(64512, 2, ipaddress.IPv4Address("10.0.0.9"))), 2, 6),
        (bgp.announce(V4), 5, 0),
    ],
)
def test_a_peer_that_errs_is_told_how_and_left(data: bytes, code: int, subcode: int) -> None:
    s = Session()
    s.do("connected")
    s.do("received", data)
    last = s.said[-1]
    assert isinstance(last, bgp.Notification) and (last.code, last.subcode) == (code, subcode)
    assert s.hung_up == 1 and s.speaker.state is State.IDLE


def test_attempts_come_ever_later_and_a_session_that_stood_starts_over() -> None:
    s = Session()
    times = []
    for _ in range(9):
        s.do("closed", "refused")
        times.append(s.wake - s.now)
        s.until(s.wake)
    assert times[0] < 0.3 and 5 < times[-1] <= 10
    s.establish()
    s.do("received", bgp.notification(6, 2, b"\x05night"))
    assert s.stands[-1].reason == "the peer closed: NOTIFICATION 6/2 (night)" and s.wake - s.now < 0.3


def test_stopping_says_so_and_nothing_is_tried_again() -> None:
    s = Session().establish()
    s.do("stop", "planned leave")
    assert s.said[-1] == bgp.Notification(6, 2, b"\x0dplanned leave")
    dials = s.dials
    s.wake = s.now + 100
    s.do("tick")
    s.do("connected")
    assert s.dials == dials and s.speaker.state is State.STOPPED
