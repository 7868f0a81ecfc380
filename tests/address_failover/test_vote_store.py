"""The vote file: restarts, corrupt files, files of other members or programs, and files of earlier versions.

A member must not lose its promises in an upgrade. The files in ``fixtures/`` were written by commit bafdb7c.
"""

from __future__ import annotations

import shutil
import sqlite3
from contextlib import closing
from pathlib import Path

import pytest

from saltcourse.address_failover.errors import VoteStoreError
from saltcourse.address_failover.vote import Vote
from saltcourse.address_failover.vote_store import VoteStore

FIXTURES = Path(__file__).parent / "fixtures"
SQLITE_VERSION_OFFSET = 96  # offset of the 4-byte version number of the SQLite library that wrote the file
# The votes that were saved to each file, in order.
SAVED = {
    "vote-voted-for-other.sqlite": [Vote(65, "n1", "n1"), Vote(129, "n2", "n2")],
    "vote-term-learned.sqlite": [Vote(8193, "n0", "n0"), Vote(2**40 + 65, "", "n0")],
    "vote-empty.sqlite": [],
}


@pytest.mark.parametrize("name", SAVED)
def test_vote_files_of_earlier_versions_can_be_read(name: str, tmp_path: Path) -> None:
    file = tmp_path / name
    shutil.copy(FIXTURES / name, file)
    with closing(VoteStore(file, "n0")) as store:
        assert store.load() == (SAVED[name][-1] if SAVED[name] else None)


def contents(file: Path) -> tuple[object, ...]:
    with closing(sqlite3.connect(file)) as database:
        pragmas = [
            database.execute(f"PRAGMA {pragma}").fetchone() for pragma in ("application_id", "user_version")
        ]
        return tuple(pragmas), tuple(database.iterdump())


@pytest.mark.parametrize("name", SAVED)
def test_vote_files_have_the_same_format_as_those_of_earlier_versions(name: str, tmp_path: Path) -> None:
    file = tmp_path / name
    with closing(VoteStore(file, "n0")) as store:
        for vote in SAVED[name]:
            store.save(vote)
    assert contents(file) == contents(FIXTURES / name)
    written, fixture = file.read_bytes(), (FIXTURES / name).read_bytes()
    # Other versions of SQLite may use another page layout.
    if written[SQLITE_VERSION_OFFSET:][:4] == fixture[SQLITE_VERSION_OFFSET:][:4]:
        assert written == fixture


def test_a_stored_vote_survives_a_restart_and_is_rejected_for_another_member(tmp_path: Path) -> None:
    store = VoteStore(tmp_path / "vote", "a")
    assert store.load() is None
    store.save(Vote(65, "b", "b"))
    store.save(Vote(129, "a", "a"))
    with pytest.raises(VoteStoreError, match=r"vote: .*locked"):
        VoteStore(tmp_path / "vote", "a")
    store.close()
    reopened = VoteStore(tmp_path / "vote", "a")
    assert reopened.load() == Vote(129, "a", "a")
    reopened.close()
    with pytest.raises(VoteStoreError, match="contains the vote of a, expected b"):
        VoteStore(tmp_path / "vote", "b").load()


def test_corrupt_and_foreign_files_are_rejected_by_name_and_left_unchanged(tmp_path: Path) -> None:
    file = tmp_path / "vote"
    store = VoteStore(file, "a")
    store.save(Vote(65, "b", "b"))
    store.close()
    intact = file.read_bytes()
    for corrupt in (
        intact[: len(intact) // 2],
        b"not a database at all" * 300,
        intact.replace(b"bb", b"cc"),
        intact[:4096] + b"\0" * (len(intact) - 4096),
    ):
        file.write_bytes(corrupt)
        with pytest.raises(VoteStoreError, match=str(file)):
            VoteStore(file, "a").load()
        assert file.read_bytes() == corrupt
    file.unlink()
    with sqlite3.connect(file) as other:
        other.execute("CREATE TABLE x (y)")
    with pytest.raises(VoteStoreError, match="not a vote file"):
        VoteStore(file, "a")
    with pytest.raises(VoteStoreError, match="nowhere"):
        VoteStore(tmp_path / "nowhere" / "vote", "a")
