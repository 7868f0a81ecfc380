"""The file of a voter: what was saved is there after a restart; a file that can't be trusted is an error."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from saltcourse.gossip.errors import StoreError
from saltcourse.gossip.messages import AcceptedChange, Change, Position, ReplicaState
from saltcourse.gossip.store import ReplicaStore


def entry(epoch: int, version: int, *writes: tuple[str, bytes | None]) -> AcceptedChange:
    return AcceptedChange(epoch, Change(Position(epoch, version), writes or (("key", b"value"),)))


STATE = ReplicaState(
    promised=7,
    committed=Position(5, 2),
    configuration=(("a", b"1"), ("b", b"\0\xff"), ("ü", b"")),
    accepted=(AcceptedChange(6, Change(Position(5, 3), (("a", None), ("b", b""), ("a", b"x")))), entry(6, 4)),
)


def reopened(file: Path, me: str = "v0") -> ReplicaState | None:
    store = ReplicaStore(file, me)
    try:
        return store.load()
    finally:
        store.close()


def test_a_state_is_there_after_a_restart_and_for_this_member_only(tmp_path: Path) -> None:
    file = tmp_path / "replica"
    store = ReplicaStore(file, "v0")
    assert store.load() is None
    store.save(STATE)
    with pytest.raises(StoreError, match=r"replica: .*locked"):
        ReplicaStore(file, "v0")
    store.close()
    assert reopened(file) == STATE
    with pytest.raises(StoreError, match="holds the state of v0, not of v1"):
        reopened(file, "v1")


def test_a_save_without_a_load_replaces_what_an_earlier_process_saved(tmp_path: Path) -> None:
    file = tmp_path / "replica"
    for state in (STATE, ReplicaState(8, Position(6, 3), (("b", b"2"),))):
        store = ReplicaStore(file, "v0")
        store.save(state)
        store.close()
        assert reopened(file) == state


def test_a_file_that_was_opened_and_never_saved_to_is_a_first_start(tmp_path: Path) -> None:
    ReplicaStore(tmp_path / "replica", "v0").close()
    assert reopened(tmp_path / "replica") is None
    (tmp_path / "empty").touch()
    assert reopened(tmp_path / "empty") is None


KEYS = st.sampled_from(["a", "b", "key", "ü", "\U0001f9c2"])
VALUES = st.binary(max_size=5)
WRITES = st.lists(st.tuples(KEYS, st.none() | VALUES), max_size=3).map(tuple)
NUMBERS = st.integers(0, 2**32 - 1)
POSITIONS = st.builds(Position, NUMBERS, NUMBERS)
ENTRIES = st.lists(
    st.builds(AcceptedChange, NUMBERS, st.builds(Change, POSITIONS, WRITES)),
    max_size=4,
    unique_by=lambda found: found.change.position.version,
)
STATES = st.builds(
    ReplicaState,
    NUMBERS,
    POSITIONS,
    st.dictionaries(KEYS, VALUES).map(lambda items: tuple(sorted(items.items()))),
    ENTRIES.map(lambda found: tuple(sorted(found, key=lambda one: one.change.position.version))),
)


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(st.tuples(STATES, st.booleans()), min_size=1, max_size=5))
def test_the_last_state_is_there_after_any_saves_and_restarts(
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
    assert reopened(file) == saves[-1][0]


def test_torn_and_foreign_files_are_errors_that_name_them_and_stay_as_they_are(tmp_path: Path) -> None:
    file = tmp_path / "replica"
    store = ReplicaStore(file, "v0")
    store.save(STATE)
    store.close()
    whole = file.read_bytes()
    for torn in (
        whole[: len(whole) // 2],
        b"not a database at all" * 300,
        whole[:4096] + b"\0" * (len(whole) - 4096),
    ):
        file.write_bytes(torn)
        with pytest.raises(StoreError, match=str(file)):
            reopened(file)
        assert file.read_bytes() == torn
    file.unlink()
    with sqlite3.connect(file) as other:
        other.execute("CREATE TABLE x (y)")
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
def test_a_row_that_was_changed_by_another_hand_is_found_out(tmp_path: Path, statement: str) -> None:
    file = tmp_path / "replica"
    store = ReplicaStore(file, "v0")
    store.save(STATE)
    store.close()
    other = sqlite3.connect(file)
    with other:
        assert other.execute(statement).rowcount == 1
    other.close()
    with pytest.raises(StoreError, match="the digest does not fit"):
        reopened(file)


def test_a_file_of_a_later_form_is_an_error(tmp_path: Path) -> None:
    ReplicaStore(tmp_path / "replica", "v0").close()
    other = sqlite3.connect(tmp_path / "replica")
    with other:
        other.execute("PRAGMA user_version=2")
    other.close()
    with pytest.raises(StoreError, match="form 2, this program reads 1"):
        ReplicaStore(tmp_path / "replica", "v0")


def test_a_failed_save_closes_the_store_and_leaves_the_state_before_it(tmp_path: Path) -> None:
    file = tmp_path / "replica"
    store = ReplicaStore(file, "v0")
    store.save(STATE)
    store._db.execute("PRAGMA max_page_count=1")  # as a full disk: SQLite keeps it at the present size
    large = ReplicaState(8, Position(6, 3), (("key", bytes(200_000)),))
    with pytest.raises(StoreError, match=r"replica: .*full"):
        store.save(large)
    with pytest.raises(StoreError, match=r"replica: .*closed"):
        store.save(STATE)
    assert reopened(file) == STATE
