"""Datagrams between members and the file that keeps a vote: forged, replayed, stale, torn, foreign."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcourse.address_failover.authentication import HEAD, Drop, Seal
from saltcourse.address_failover.messages import Answer, Ask, HandOver, Message, Release, Renew, Renewed, Vote
from saltcourse.address_failover.vote_store import StoreError, VoteStore

A, B = ("127.0.0.1", 7001), ("127.0.0.2", 7001)
OLD, NEW = b"o" * 32, b"n" * 32
MESSAGES: list[Message] = [
    Ask(65, 1.5, True, 64),
    Answer(65, 1.5, False, True, 65),
    Renew(65, 2.25),
    Renewed(65, 2.25),
    Release(65),
    HandOver(2**40),
]


def pair(boot_a: int = 10, boot_b: int = 20) -> tuple[Seal, Seal]:
    """Two members that know each other's boots."""
    a, b = Seal("a", boot_a, [OLD], {"b": B}), Seal("b", boot_b, [OLD], {"a": A})
    assert b.open(a.pack("b", Renew(1, 0.0)), A) is Drop.UNKNOWN_BOOT
    assert a.open(b.pack("a", None), B) is Drop.UNKNOWN_BOOT  # but its boot is known now
    assert b.open(a.pack("b", None), A) == ("a", None)
    return a, b


def test_every_message_comes_out_as_it_went_in_and_once() -> None:
    a, b = pair()
    for message in MESSAGES:
        data = a.pack("b", message)
        assert b.open(data, A) == ("a", message)
        assert b.open(data, A) is Drop.REPLAY
    assert b.dropped[Drop.REPLAY] == len(MESSAGES)


def test_datagrams_that_overtake_one_another_are_taken_within_the_window() -> None:
    a, b = pair()
    late = [a.pack("b", Renew(1, float(i))) for i in range(70)]
    assert b.open(late[-1], A) == ("a", Renew(1, 69.0))
    assert b.open(late[20], A) == ("a", Renew(1, 20.0)) and b.open(late[20], A) is Drop.REPLAY
    assert b.open(late[2], A) is Drop.REPLAY  # too old to say


def test_what_was_recorded_before_a_restart_of_either_side_is_void() -> None:
    a, b = pair()
    recorded = a.pack("b", Release(1))
    again = Seal("b", 21, [OLD], {"a": A})
    assert again.open(recorded, A) is Drop.UNKNOWN_BOOT
    newer = Seal("a", 11, [OLD], {"b": B})
    assert newer.open(b.pack("a", None), B) is Drop.UNKNOWN_BOOT
    assert b.open(newer.pack("b", Renew(2, 0.0)), A) == ("a", Renew(2, 0.0))
    assert b.open(recorded, A) is Drop.STALE


def test_keys_are_changed_member_by_member_without_a_gap() -> None:
    a, b = pair()
    for who, keys in [(who, keys) for keys in ([OLD, NEW], [NEW, OLD], [NEW]) for who in (a, b)]:
        who.change_keys(keys)
        assert b.open(a.pack("b", Renew(1, 0.0)), A) == ("a", Renew(1, 0.0))
        assert a.open(b.pack("a", Renewed(1, 0.0)), B) == ("b", Renewed(1, 0.0))
    assert b.open(pair()[0].pack("b", Renew(1, 0.0)), A) is Drop.KEY


@pytest.mark.parametrize(
    "keys, named",
    [([], "not 0"), ([b"short"], "under 16"), ([OLD, OLD], "twice"), ([OLD, NEW, b"x" * 32], "not 3")],
)
def test_keys_that_can_not_be_are_refused_and_the_old_ones_stay(keys: list[bytes], named: str) -> None:
    a, b = pair()
    with pytest.raises(ValueError, match=named):
        a.change_keys(keys)
    assert b.open(a.pack("b", Release(1)), A) == ("a", Release(1))


def test_strangers_and_wrong_addresses_are_dropped() -> None:
    a, b = pair()
    assert b.open(a.pack("b", Release(1)), B) is Drop.STRANGER
    assert Seal("c", 1, [OLD], {"a": A}).open(a.pack("b", Release(1)), A) is Drop.STRANGER


@given(st.integers(0, 200), st.integers(1, 255), st.binary(max_size=600))
def test_no_byte_changed_and_no_junk_gets_through(at: int, flip: int, junk: bytes) -> None:
    a, b = pair()
    data = bytearray(a.pack("b", Ask(65, 1.5)))
    data[at % len(data)] ^= flip
    assert isinstance(b.open(bytes(data), A), Drop)
    assert isinstance(b.open(junk, A), Drop) and isinstance(b.open(bytes(data[:HEAD]) + junk, A), Drop)


def test_a_vote_is_there_after_a_restart_and_for_this_member_only(tmp_path: Path) -> None:
    store = VoteStore(tmp_path / "vote", "a")
    assert store.load() is None
    store.save(Vote(65, "b", "b"))
    store.save(Vote(129, "a", "a"))
    with pytest.raises(StoreError, match=r"vote: .*locked"):
        VoteStore(tmp_path / "vote", "a")
    store.close()
    again = VoteStore(tmp_path / "vote", "a")
    assert again.load() == Vote(129, "a", "a")
    again.close()
    with pytest.raises(StoreError, match="holds the vote of a, not of b"):
        VoteStore(tmp_path / "vote", "b").load()


def test_torn_and_foreign_files_are_errors_that_name_them_and_stay_as_they_are(tmp_path: Path) -> None:
    file = tmp_path / "vote"
    store = VoteStore(file, "a")
    store.save(Vote(65, "b", "b"))
    store.close()
    whole = file.read_bytes()
    for torn in (
        whole[: len(whole) // 2],
        b"not a database at all" * 300,
        whole.replace(b"bb", b"cc"),
        whole[:4096] + b"\0" * (len(whole) - 4096),
    ):
        file.write_bytes(torn)
        with pytest.raises(StoreError, match=str(file)):
            VoteStore(file, "a").load()
        assert file.read_bytes() == torn
    file.unlink()
    with sqlite3.connect(file) as other:
        other.execute("CREATE TABLE x (y)")
    with pytest.raises(StoreError, match="not a vote file"):
        VoteStore(file, "a")
    with pytest.raises(StoreError, match="nowhere"):
        VoteStore(tmp_path / "nowhere" / "vote", "a")
