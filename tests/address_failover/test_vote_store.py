"""The file that keeps a vote: restarts, torn and foreign files, and files written by earlier versions.

A member that is upgraded must not forget whom it promised. The files in ``fixtures/`` were written by the
program of commit bafdb7c.
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
SQLITE_VERSION_OFFSET = 96  # of the version number of the library that wrote a file, 4 bytes
# Each file with the votes that were saved in it, in their order.
SAVED = {
    "vote-voted-for-other.sqlite": [Vote(65, "n1", "n1"), Vote(129, "n2", "n2")],
    "vote-term-learned.sqlite": [Vote(8193, "n0", "n0"), Vote(2**40 + 65, "", "n0")],
    "vote-empty.sqlite": [],
}


@pytest.mark.parametrize("name", SAVED)
def test_votes_of_earlier_versions_are_read(name: str, tmp_path: Path) -> None:
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
def test_votes_are_written_as_earlier_versions_wrote_them(name: str, tmp_path: Path) -> None:
    file = tmp_path / name
    with closing(VoteStore(file, "n0")) as store:
        for vote in SAVED[name]:
            store.save(vote)
    assert contents(file) == contents(FIXTURES / name)
    written, kept = file.read_bytes(), (FIXTURES / name).read_bytes()
    if written[SQLITE_VERSION_OFFSET:][:4] == kept[SQLITE_VERSION_OFFSET:][:4]:
        assert written == kept  # another SQLite may lay its pages out in another way


def test_a_vote_is_there_after_a_restart_and_for_this_member_only(tmp_path: Path) -> None:
    store = VoteStore(tmp_path / "vote", "a")
    assert store.load() is None
    store.save(Vote(65, "b", "b"))
    store.save(Vote(129, "a", "a"))
    with pytest.raises(VoteStoreError, match=r"vote: .*locked"):
        VoteStore(tmp_path / "vote", "a")
    store.close()
    again = VoteStore(tmp_path / "vote", "a")
    assert again.load() == Vote(129, "a", "a")
    again.close()
    with pytest.raises(VoteStoreError, match="contains the vote of a, expected b"):
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
        with pytest.raises(VoteStoreError, match=str(file)):
            VoteStore(file, "a").load()
        assert file.read_bytes() == torn
    file.unlink()
    with sqlite3.connect(file) as other:
        other.execute("CREATE TABLE x (y)")
    with pytest.raises(VoteStoreError, match="not a vote file"):
        VoteStore(file, "a")
    with pytest.raises(VoteStoreError, match="nowhere"):
        VoteStore(tmp_path / "nowhere" / "vote", "a")
