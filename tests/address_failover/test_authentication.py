"""Authentication of datagrams: forged, replayed, outdated and non-member datagrams are dropped."""

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
OLD_KEY, NEW_KEY = b"o" * 32, b"n" * 32
MESSAGES: list[Message] = [
    VoteRequest(65, 1.5, True, 64),
    VoteResponse(65, 1.5, False, True, 65),
    LeaseRenewal(65, 2.25),
    LeaseRenewalAck(65, 2.25),
    LeaseRelease(65),
    LeaseTransfer(2**40),
]


def authenticator_pair(
    incarnation_a: int = 10, incarnation_b: int = 20
) -> tuple[DatagramAuthenticator, DatagramAuthenticator]:
    """Return the authenticators of two members that know each other's incarnations."""
    a, b = (
        DatagramAuthenticator("a", incarnation_a, [OLD_KEY], {"b": B}),
        DatagramAuthenticator("b", incarnation_b, [OLD_KEY], {"a": A}),
    )
    assert b.verify(a.sign("b", LeaseRenewal(1, 0.0)), A) is DropReason.UNKNOWN_INCARNATION
    # The Hello is dropped, but ``a`` learns its sender's incarnation.
    assert a.verify(b.sign("a", Hello()), B) is DropReason.UNKNOWN_INCARNATION
    assert b.verify(a.sign("b", Hello()), A) == AuthenticatedMessage("a", Hello())
    return a, b


def test_each_message_is_accepted_unchanged_and_only_once() -> None:
    a, b = authenticator_pair()
    for message in MESSAGES:
        data = a.sign("b", message)
        assert b.verify(data, A) == AuthenticatedMessage("a", message)
        assert b.verify(data, A) is DropReason.REPLAYED
    assert b.dropped[DropReason.REPLAYED] == len(MESSAGES)


def test_reordered_datagrams_are_accepted_within_the_replay_window() -> None:
    a, b = authenticator_pair()
    datagrams = [a.sign("b", LeaseRenewal(1, float(i))) for i in range(70)]
    assert b.verify(datagrams[-1], A) == AuthenticatedMessage("a", LeaseRenewal(1, 69.0))
    assert b.verify(datagrams[20], A) == AuthenticatedMessage("a", LeaseRenewal(1, 20.0))
    assert b.verify(datagrams[20], A) is DropReason.REPLAYED
    assert b.verify(datagrams[2], A) is DropReason.REPLAYED  # older than the window


def test_datagrams_recorded_before_a_restart_of_either_side_are_dropped() -> None:
    a, b = authenticator_pair()
    recorded = a.sign("b", LeaseRelease(1))
    restarted_b = DatagramAuthenticator("b", 21, [OLD_KEY], {"a": A})
    assert restarted_b.verify(recorded, A) is DropReason.UNKNOWN_INCARNATION
    restarted_a = DatagramAuthenticator("a", 11, [OLD_KEY], {"b": B})
    assert restarted_a.verify(b.sign("a", Hello()), B) is DropReason.UNKNOWN_INCARNATION
    assert b.verify(restarted_a.sign("b", LeaseRenewal(2, 0.0)), A) == AuthenticatedMessage(
        "a", LeaseRenewal(2, 0.0)
    )
    assert b.verify(recorded, A) is DropReason.STALE_INCARNATION


def test_no_datagram_is_dropped_while_keys_are_replaced_one_member_at_a_time() -> None:
    a, b = authenticator_pair()
    steps = [
        (member, keys) for keys in ([OLD_KEY, NEW_KEY], [NEW_KEY, OLD_KEY], [NEW_KEY]) for member in (a, b)
    ]
    for member, keys in steps:
        member.change_keys(keys)
        assert b.verify(a.sign("b", LeaseRenewal(1, 0.0)), A) == AuthenticatedMessage(
            "a", LeaseRenewal(1, 0.0)
        )
        assert a.verify(b.sign("a", LeaseRenewalAck(1, 0.0)), B) == AuthenticatedMessage(
            "b", LeaseRenewalAck(1, 0.0)
        )
    assert b.verify(authenticator_pair()[0].sign("b", LeaseRenewal(1, 0.0)), A) is DropReason.UNKNOWN_KEY


@pytest.mark.parametrize(
    "keys, error",
    [
        ([], "expected 1 to 2 keys, got 0"),
        ([b"short"], "key of 5 bytes is too short, expected at least 16"),
        ([OLD_KEY, OLD_KEY], "duplicate key"),
        ([OLD_KEY, NEW_KEY, b"x" * 32], "expected 1 to 2 keys, got 3"),
    ],
)
def test_invalid_keys_are_rejected_and_the_old_keys_stay_in_use(keys: list[bytes], error: str) -> None:
    a, b = authenticator_pair()
    with pytest.raises(InvalidKeysError, match=error):
        a.change_keys(keys)
    assert b.verify(a.sign("b", LeaseRelease(1)), A) == AuthenticatedMessage("a", LeaseRelease(1))


def test_datagrams_from_unknown_senders_or_wrong_addresses_are_dropped() -> None:
    a, b = authenticator_pair()
    assert b.verify(a.sign("b", LeaseRelease(1)), B) is DropReason.NOT_A_MEMBER
    assert (
        DatagramAuthenticator("c", 1, [OLD_KEY], {"a": A}).verify(a.sign("b", LeaseRelease(1)), A)
        is DropReason.NOT_A_MEMBER
    )


@given(st.integers(0, 200), st.integers(1, 255), st.binary(max_size=600))
def test_corrupted_and_random_datagrams_are_dropped(position: int, flipped_bits: int, junk: bytes) -> None:
    a, b = authenticator_pair()
    data = bytearray(a.sign("b", VoteRequest(65, 1.5)))
    data[position % len(data)] ^= flipped_bits
    assert isinstance(b.verify(bytes(data), A), DropReason)
    assert isinstance(b.verify(junk, A), DropReason) and isinstance(
        b.verify(bytes(data[:HEADER_LENGTH]) + junk, A), DropReason
    )
