"""Where a member keeps its vote, for sites whose disk survives a restart: one row in an SQLite file.

SQLite because it is in the standard library, is durable against power loss with ``synchronous=FULL``, and a
write takes place only when the vote changes (never for a renewal). A file that is torn, foreign or another
member's is an error that names it: to begin anew could mean a second vote.
"""

from __future__ import annotations

import hashlib
import sqlite3
from pathlib import Path

from saltcourse.address_failover.messages import Vote

APPLICATION, VERSION = 0x53616C74, 1  # "Salt"; PRAGMA application_id and user_version


class StoreError(Exception):
    """The file can't be used; the text names it and says why."""


def _digest(me: str, vote: Vote) -> str:
    return hashlib.sha256("\0".join((me, str(vote.term), vote.voted, vote.promised)).encode()).hexdigest()


class VoteStore:
    """``load`` returns None on a first start. All errors are StoreError."""

    def __init__(self, file: Path, me: str) -> None:
        self.file, self.me = file, me
        try:
            new = not file.exists() or file.stat().st_size == 0
            self._db = sqlite3.connect(file, isolation_level=None, timeout=0.0)
            # Exclusive: two processes with one vote between them would be two votes.
            self._db.execute("PRAGMA locking_mode=EXCLUSIVE")
            self._db.execute("PRAGMA synchronous=FULL")
            self._db.execute("BEGIN IMMEDIATE")
            if new:
                self._db.execute(f"PRAGMA application_id={APPLICATION}")
                self._db.execute(f"PRAGMA user_version={VERSION}")
                self._db.execute(
                    "CREATE TABLE vote (one INTEGER PRIMARY KEY CHECK (one = 1), member TEXT NOT NULL,"
                    " term INTEGER NOT NULL, voted TEXT NOT NULL, promised TEXT NOT NULL,"
                    " digest TEXT NOT NULL) STRICT"
                )
            self._db.execute("COMMIT")
            application, version, checked = (
                self._db.execute(f"PRAGMA {name}").fetchone()[0]
                for name in ("application_id", "user_version", "quick_check")
            )
        except (OSError, sqlite3.Error) as wrong:
            raise StoreError(f"{file}: {wrong}") from None
        if application != APPLICATION:
            raise StoreError(f"{file}: not a vote file of this program")
        if version != VERSION:
            raise StoreError(f"{file}: form {version}, this program reads {VERSION}")
        if checked != "ok":
            raise StoreError(f"{file}: torn: {checked}")

    def load(self) -> Vote | None:
        try:
            row = self._db.execute("SELECT member, term, voted, promised, digest FROM vote").fetchone()
        except sqlite3.Error as wrong:
            raise StoreError(f"{self.file}: {wrong}") from None
        if row is None:
            return None
        member, vote, digest = row[0], Vote(row[1], row[2], row[3]), row[4]
        if member != self.me:
            raise StoreError(f"{self.file}: holds the vote of {member}, not of {self.me}")
        if digest != _digest(member, vote):
            raise StoreError(f"{self.file}: torn: the digest does not fit")
        return vote

    def save(self, vote: Vote) -> None:
        """Returns when it is on the disk."""
        try:
            self._db.execute(
                "INSERT OR REPLACE INTO vote VALUES (1, ?, ?, ?, ?, ?)",
                (self.me, vote.term, vote.voted, vote.promised, _digest(self.me, vote)),
            )
        except sqlite3.Error as wrong:
            raise StoreError(f"{self.file}: {wrong}") from None

    def close(self) -> None:
        self._db.close()
