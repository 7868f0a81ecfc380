"""Durable storage of a member's vote: one row in an SQLite file, for sites whose disk survives a restart.

SQLite is in the standard library, and ``synchronous=FULL`` makes it durable against power loss. The file is
written only when the vote, the newest term or the receiver of the last promise changes, not with each renewal
of the same holder. A file that is corrupt, has another format or belongs to another member is an error:
starting with an empty vote instead could lead to a second vote in the same term.
"""

from __future__ import annotations

import hashlib
import sqlite3
from pathlib import Path

from saltcourse.address_failover.errors import VoteStoreError
from saltcourse.address_failover.vote import Vote

APPLICATION_ID = 0x53616C74  # "Salt", as SQLite's application_id
FORMAT_VERSION = 1  # as SQLite's user_version
# Column names are fixed by the file format: ``voted`` is Vote.voted_for, ``promised`` is Vote.promised_to.
CREATE_TABLES = (
    "CREATE TABLE vote (one INTEGER PRIMARY KEY CHECK (one = 1), member TEXT NOT NULL,"
    " term INTEGER NOT NULL, voted TEXT NOT NULL, promised TEXT NOT NULL,"
    " digest TEXT NOT NULL) STRICT",
)


class VoteStore:
    """The vote file of the member ``own_name``; stays open and locked until ``close``.

    The constructor, ``load`` and ``save`` raise VoteStoreError.
    """

    def __init__(self, file: Path, own_name: str) -> None:
        self.file = file
        self.own_name = own_name
        try:
            is_new = not file.exists() or file.stat().st_size == 0
            self._db = sqlite3.connect(file, isolation_level=None, timeout=0.0)
        except (OSError, sqlite3.Error) as error:
            raise VoteStoreError(f"{file}: {error}") from None
        try:
            self._lock(is_new)
            self._check_format()
        except sqlite3.Error as error:
            self.close()
            raise VoteStoreError(f"{file}: {error}") from None
        except VoteStoreError:
            self.close()
            raise

    def _lock(self, is_new: bool) -> None:
        # Locked exclusively: two processes that share the file could each use the member's vote.
        self._db.execute("PRAGMA locking_mode=EXCLUSIVE")
        self._db.execute("PRAGMA synchronous=FULL")
        self._db.execute("BEGIN IMMEDIATE")
        if is_new:
            self._db.execute(f"PRAGMA application_id={APPLICATION_ID}")
            self._db.execute(f"PRAGMA user_version={FORMAT_VERSION}")
            for statement in CREATE_TABLES:
                self._db.execute(statement)
        self._db.execute("COMMIT")

    def _check_format(self) -> None:
        application_id = self._pragma("application_id")
        if application_id != APPLICATION_ID:
            raise VoteStoreError(
                f"{self.file}: not a vote file: application_id is {application_id}, expected {APPLICATION_ID}"
            )
        version = self._pragma("user_version")
        if version != FORMAT_VERSION:
            raise VoteStoreError(
                f"{self.file}: unsupported format version {version}, expected {FORMAT_VERSION}"
            )
        integrity = self._pragma("quick_check")
        if integrity != "ok":
            raise VoteStoreError(f"{self.file}: corrupt: {integrity}")

    def _pragma(self, name: str) -> object:
        return self._db.execute(f"PRAGMA {name}").fetchone()[0]

    def load(self) -> Vote | None:
        """Return the stored vote, or None if no vote has been stored yet."""
        try:
            row = self._db.execute("SELECT member, term, voted, promised, digest FROM vote").fetchone()
        except sqlite3.Error as error:
            raise VoteStoreError(f"{self.file}: {error}") from None
        if row is None:
            return None
        member, term, voted_for, promised_to, digest = row
        vote = Vote(term, voted_for, promised_to)
        if member != self.own_name:
            raise VoteStoreError(f"{self.file}: contains the vote of {member}, expected {self.own_name}")
        if digest != _digest(member, vote):
            raise VoteStoreError(f"{self.file}: corrupt: the digest does not match the vote")
        return vote

    def save(self, vote: Vote) -> None:
        """Store the vote; return once it is on disk."""
        try:
            self._db.execute(
                "INSERT OR REPLACE INTO vote VALUES (1, ?, ?, ?, ?, ?)",
                (self.own_name, vote.term, vote.voted_for, vote.promised_to, _digest(self.own_name, vote)),
            )
        except sqlite3.Error as error:
            raise VoteStoreError(f"{self.file}: {error}") from None

    def close(self) -> None:
        """Close the file and release its lock."""
        self._db.close()


def _digest(member: str, vote: Vote) -> str:
    text = "\0".join((member, str(vote.term), vote.voted_for, vote.promised_to))
    return hashlib.sha256(text.encode()).hexdigest()
