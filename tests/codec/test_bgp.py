"""The BGP codec: encoded bytes as the RFC specifies them, and malformed messages."""

from __future__ import annotations

from ipaddress import IPv4Address, IPv6Address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcourse.codec import bgp
from saltcourse.codec.bgp_decoder import MessageBuffer, decode

V4 = bgp.Route(IPv4Address("192.0.2.7"), IPv4Address("10.0.0.1"), local_pref=9)
V6 = bgp.Route(IPv6Address("2001:db8::7"), IPv6Address("2001:db8::1"), (4_200_000_001,), med=bgp.MAX_U32 - 9)
THEIRS = bgp.Open(64512, 90, IPv4Address("10.0.0.9"), frozenset({(1, 1)}))


def decode_all(data: bytes, four_octet_asn: bool = True) -> list[bgp.Message]:
    buffer = MessageBuffer()
    buffer.feed(data)
    messages = []
    while (frame := buffer.next()) is not None:
        messages.append(decode(frame, four_octet_asn))
    return messages


@pytest.mark.parametrize("route", [V4, V6])
def test_announcements_and_withdrawals_round_trip(route: bgp.Route) -> None:
    assert decode_all(bgp.encode_announcement(route) + bgp.encode_withdrawal(route.address)) == [
        bgp.Update(announced=(route,)),
        bgp.Update(withdrawn=(route.address,)),
    ]


def test_an_update_has_the_bytes_that_the_rfc_specifies() -> None:
    expected = (
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
    assert bgp.encode_announcement(V4).hex() == expected


def test_a_large_as_number_is_sent_as_as_trans_to_a_peer_without_the_capability() -> None:
    assert decode_all(bgp.encode_announcement(V6, four_octet_asn=False), four_octet_asn=False)[0].announced[
        0
    ].as_path == (bgp.AS_TRANS,)  # type: ignore
    message = bgp.Open(4_200_000_001, 3, IPv4Address("10.0.0.1"), frozenset({(1, 1), (2, 1)}))
    assert decode_all(bgp.encode_open(message)) == [message]


@given(st.binary(max_size=200), st.sampled_from([1, 2, 3, 4, 5]), st.booleans())
def test_random_bytes_give_messages_or_a_bgp_error(
    junk: bytes, message_type: int, four_octet_asn: bool
) -> None:
    framed = bgp.MARKER + (19 + len(junk)).to_bytes(2, "big") + bytes((message_type,)) + junk
    for data in (junk, framed):
        try:
            decode_all(data, four_octet_asn)
        except bgp.BgpError as error:
            assert 1 <= error.code <= 6


@given(st.integers(0, 2000), st.integers(1, 255))
def test_a_corrupted_byte_gives_messages_or_a_bgp_error(index: int, bit_mask: int) -> None:
    data = bytearray(bgp.encode_open(THEIRS) + bgp.encode_announcement(V6) + bgp.encode_announcement(V4))
    data[index % len(data)] ^= bit_mask
    try:
        decode_all(bytes(data))
    except bgp.BgpError as error:
        assert 1 <= error.code <= 6
