"""Tests of a voter's replica file: restarts, invalid files and failed saves."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from saltcourse.gossip.errors import StoreError
from saltcourse.gossip.messages import AcceptedChange, Change, Position, ReplicaState
from saltcourse.gossip.store import ReplicaStore


def accepted_change(epoch: int, version: int, *writes: tuple[str, bytes | None]) -> AcceptedChange:
    return AcceptedChange(epoch, Change(Position(epoch, version), writes or (("key", b"value"),)))


STATE = ReplicaState(
    promised=7,
    committed=Position(5, 2),
    configuration=(("a", b"1"), ("b", b"\0\xff"), ("ü", b"")),
    accepted=(
        AcceptedChange(6, Change(Position(5, 3), (("a", None), ("b", b""), ("a", b"x")))),
        accepted_change(6, 4),
    ),
)


def load_reopened(file: Path, own_name: str = "v0") -> ReplicaState | None:
    store = ReplicaStore(file, own_name)
    try:
        return store.load()
    finally:
        store.close()


def test_state_is_restored_after_restart_for_the_same_member_only(tmp_path: Path) -> None:
    file = tmp_path / "replica"
    store = ReplicaStore(file, "v0")
    assert store.load() is None
    store.save(STATE)
    with pytest.raises(StoreError, match=r"replica: .*locked"):
        ReplicaStore(file, "v0")
    store.close()
    assert load_reopened(file) == STATE
    with pytest.raises(StoreError, match="file belongs to member 'v0', expected 'v1'"):
        load_reopened(file, "v1")


def test_save_without_load_replaces_the_state_of_an_earlier_process(tmp_path: Path) -> None:
    file = tmp_path / "replica"
    for state in (STATE, ReplicaState(8, Position(6, 3), (("b", b"2"),))):
        store = ReplicaStore(file, "v0")
        store.save(state)
        store.close()
        assert load_reopened(file) == state


def test_load_returns_none_for_a_file_without_saved_state(tmp_path: Path) -> None:
    ReplicaStore(tmp_path / "replica", "v0").close()
    assert load_reopened(tmp_path / "replica") is None
    (tmp_path / "empty").touch()
    assert load_reopened(tmp_path / "empty") is None


KEYS = st.sampled_from(["a", "b", "key", "ü", "\U0001f9c2"])
VALUES = st.binary(max_size=5)
WRITES = st.lists(st.tuples(KEYS, st.none() | VALUES), max_size=3).map(tuple)
NUMBERS = st.integers(0, 2**32 - 1)
POSITIONS = st.builds(Position, NUMBERS, NUMBERS)
ACCEPTED = st.lists(
    st.builds(AcceptedChange, NUMBERS, st.builds(Change, POSITIONS, WRITES)),
    max_size=4,
    unique_by=lambda accepted: accepted.change.position.version,
)
STATES = st.builds(
    ReplicaState,
    NUMBERS,
    POSITIONS,
    st.dictionaries(KEYS, VALUES).map(lambda items: tuple(sorted(items.items()))),
    ACCEPTED.map(
        lambda changes: tuple(sorted(changes, key=lambda accepted: accepted.change.position.version))
    ),
)


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(st.tuples(STATES, st.booleans()), min_size=1, max_size=5))
def test_last_saved_state_is_restored_after_any_saves_and_restarts(
    tmp_path: Path, saves: list[tuple[ReplicaState, bool]]
) -> None:
    file = tmp_path / "replica"
    file.unlink(missing_ok=True)
    store = ReplicaStore(file, "v0")
    for state, restart in saves:
        store.save(state)
        if restart:
            store.close()
            store = ReplicaStore(file, "v0")
            assert store.load() == state
    store.close()
    assert load_reopened(file) == saves[-1][0]


def test_corrupt_and_foreign_files_raise_an_error_with_the_path_and_are_not_modified(tmp_path: Path) -> None:
    file = tmp_path / "replica"
    store = ReplicaStore(file, "v0")
    store.save(STATE)
    store.close()
    valid = file.read_bytes()
    for corrupt in (
        valid[: len(valid) // 2],
        b"not a database at all" * 300,
        valid[:4096] + b"\0" * (len(valid) - 4096),
    ):
        file.write_bytes(corrupt)
        with pytest.raises(StoreError, match=str(file)):
            load_reopened(file)
        assert file.read_bytes() == corrupt
    file.unlink()
    with sqlite3.connect(file) as connection:
        connection.execute("CREATE TABLE x (y)")
    with pytest.raises(StoreError, match="not a replica file"):
        ReplicaStore(file, "v0")
    with pytest.raises(StoreError, match="nowhere"):
        ReplicaStore(tmp_path / "nowhere" / "replica", "v0")


@pytest.mark.parametrize(
    "statement",
    [
        "UPDATE replica SET promised = 6",
        "UPDATE replica SET version = 3",
        "UPDATE configuration SET value = x'32' WHERE key = 'a'",
        "DELETE FROM configuration WHERE key = 'b'",
        "UPDATE accepted SET accepted_epoch = 5 WHERE version = 3",
        "DELETE FROM accepted WHERE version = 4",
        "UPDATE accepted_write SET value = NULL WHERE version = 3 AND number = 1",
        "DELETE FROM accepted_write WHERE version = 4",
    ],
)
def test_modified_row_is_detected_by_the_digest(tmp_path: Path, statement: str) -> None:
    file = tmp_path / "replica"
    store = ReplicaStore(file, "v0")
    store.save(STATE)
    store.close()
    connection = sqlite3.connect(file)
    with connection:
        assert connection.execute(statement).rowcount == 1
    connection.close()
    with pytest.raises(StoreError, match="corrupt: the digest does not match"):
        load_reopened(file)


def test_unknown_format_version_is_an_error(tmp_path: Path) -> None:
    ReplicaStore(tmp_path / "replica", "v0").close()
    connection = sqlite3.connect(tmp_path / "replica")
    with connection:
        connection.execute("PRAGMA user_version=2")
    connection.close()
    with pytest.raises(StoreError, match="format version 2, expected 1"):
        ReplicaStore(tmp_path / "replica", "v0")


def test_failed_save_closes_the_store_and_keeps_the_previous_state(tmp_path: Path) -> None:
    file = tmp_path / "replica"
    store = ReplicaStore(file, "v0")
    store.save(STATE)
    store._db.execute("PRAGMA max_page_count=1")  # simulates a full disk: the file can't grow
    large = ReplicaState(8, Position(6, 3), (("key", bytes(200_000)),))
    with pytest.raises(StoreError, match=r"replica: .*full"):
        store.save(large)
    with pytest.raises(StoreError, match=r"replica: .*closed"):
        store.save(STATE)
    assert load_reopened(file) == STATE
