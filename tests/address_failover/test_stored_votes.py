"""Vote files written by earlier versions: a member that is upgraded must not forget whom it promised.

The files in ``fixtures/`` were written by the program of commit bafdb7c.
"""

from __future__ import annotations

import shutil
import sqlite3
from contextlib import closing
from pathlib import Path

import pytest

from saltcourse.address_failover.messages import Vote
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
