"""Datagrams between members: forged, replayed, stale, from non-members."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcourse.address_failover.authentication import (
    HEADER_LENGTH,
    AuthenticatedMessage,
    DatagramAuthenticator,
    DropReason,
)
from saltcourse.address_failover.errors import InvalidKeysError
from saltcourse.address_failover.messages import (
    Hello,
    LeaseRelease,
    LeaseRenewal,
    LeaseRenewalAck,
    LeaseTransfer,
    Message,
    VoteRequest,
    VoteResponse,
)

A, B = ("127.0.0.1", 7001), ("127.0.0.2", 7001)
OLD, NEW = b"o" * 32, b"n" * 32
MESSAGES: list[Message] = [
    VoteRequest(65, 1.5, True, 64),
    VoteResponse(65, 1.5, False, True, 65),
    LeaseRenewal(65, 2.25),
    LeaseRenewalAck(65, 2.25),
    LeaseRelease(65),
    LeaseTransfer(2**40),
]


def pair(
    incarnation_a: int = 10, incarnation_b: int = 20
) -> tuple[DatagramAuthenticator, DatagramAuthenticator]:
    """Two members that know each other's incarnations."""
    a, b = (
        DatagramAuthenticator("a", incarnation_a, [OLD], {"b": B}),
        DatagramAuthenticator("b", incarnation_b, [OLD], {"a": A}),
    )
    assert b.verify(a.sign("b", LeaseRenewal(1, 0.0)), A) is DropReason.UNKNOWN_INCARNATION
    assert (
        a.verify(b.sign("a", Hello()), B) is DropReason.UNKNOWN_INCARNATION
    )  # but its incarnation is known now
    assert b.verify(a.sign("b", Hello()), A) == AuthenticatedMessage("a", Hello())
    return a, b


def test_every_message_comes_out_as_it_went_in_and_once() -> None:
    a, b = pair()
    for message in MESSAGES:
        data = a.sign("b", message)
        assert b.verify(data, A) == AuthenticatedMessage("a", message)
        assert b.verify(data, A) is DropReason.REPLAYED
    assert b.dropped[DropReason.REPLAYED] == len(MESSAGES)


def test_datagrams_that_overtake_one_another_are_taken_within_the_window() -> None:
    a, b = pair()
    late = [a.sign("b", LeaseRenewal(1, float(i))) for i in range(70)]
    assert b.verify(late[-1], A) == AuthenticatedMessage("a", LeaseRenewal(1, 69.0))
    assert (
        b.verify(late[20], A) == AuthenticatedMessage("a", LeaseRenewal(1, 20.0))
        and b.verify(late[20], A) is DropReason.REPLAYED
    )
    assert b.verify(late[2], A) is DropReason.REPLAYED  # too old to say


def test_what_was_recorded_before_a_restart_of_either_side_is_invalid() -> None:
    a, b = pair()
    recorded = a.sign("b", LeaseRelease(1))
    again = DatagramAuthenticator("b", 21, [OLD], {"a": A})
    assert again.verify(recorded, A) is DropReason.UNKNOWN_INCARNATION
    newer = DatagramAuthenticator("a", 11, [OLD], {"b": B})
    assert newer.verify(b.sign("a", Hello()), B) is DropReason.UNKNOWN_INCARNATION
    assert b.verify(newer.sign("b", LeaseRenewal(2, 0.0)), A) == AuthenticatedMessage(
        "a", LeaseRenewal(2, 0.0)
    )
    assert b.verify(recorded, A) is DropReason.STALE_INCARNATION


def test_keys_are_changed_member_by_member_without_a_gap() -> None:
    a, b = pair()
    for who, keys in [(who, keys) for keys in ([OLD, NEW], [NEW, OLD], [NEW]) for who in (a, b)]:
        who.change_keys(keys)
        assert b.verify(a.sign("b", LeaseRenewal(1, 0.0)), A) == AuthenticatedMessage(
            "a", LeaseRenewal(1, 0.0)
        )
        assert a.verify(b.sign("a", LeaseRenewalAck(1, 0.0)), B) == AuthenticatedMessage(
            "b", LeaseRenewalAck(1, 0.0)
        )
    assert b.verify(pair()[0].sign("b", LeaseRenewal(1, 0.0)), A) is DropReason.UNKNOWN_KEY


@pytest.mark.parametrize(
    "keys, named",
    [
        ([], "expected 1 to 2 keys, got 0"),
        ([b"short"], "key of 5 bytes is too short, expected at least 16"),
        ([OLD, OLD], "duplicate key"),
        ([OLD, NEW, b"x" * 32], "expected 1 to 2 keys, got 3"),
    ],
)
def test_invalid_keys_are_rejected_and_the_old_ones_stay(keys: list[bytes], named: str) -> None:
    a, b = pair()
    with pytest.raises(InvalidKeysError, match=named):
        a.change_keys(keys)
    assert b.verify(a.sign("b", LeaseRelease(1)), A) == AuthenticatedMessage("a", LeaseRelease(1))


def test_unknown_senders_and_wrong_addresses_are_dropped() -> None:
    a, b = pair()
    assert b.verify(a.sign("b", LeaseRelease(1)), B) is DropReason.NOT_A_MEMBER
    assert (
        DatagramAuthenticator("c", 1, [OLD], {"a": A}).verify(a.sign("b", LeaseRelease(1)), A)
        is DropReason.NOT_A_MEMBER
    )


@given(st.integers(0, 200), st.integers(1, 255), st.binary(max_size=600))
def test_no_byte_changed_and_no_junk_gets_through(at: int, flip: int, junk: bytes) -> None:
    a, b = pair()
    data = bytearray(a.sign("b", VoteRequest(65, 1.5)))
    data[at % len(data)] ^= flip
    assert isinstance(b.verify(bytes(data), A), DropReason)
    assert isinstance(b.verify(junk, A), DropReason) and isinstance(
        b.verify(bytes(data[:HEADER_LENGTH]) + junk, A), DropReason
    )
