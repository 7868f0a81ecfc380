"""Storage of a voter's ``ReplicaState`` in an SQLite file, locked exclusively by this process.

SQLite is part of the standard library and, with ``synchronous=FULL``, survives a power loss. A save is one
transaction and writes only what has changed since the previous save. A file that is corrupt, has another
format or belongs to another member is an error: starting with an empty state could break earlier promises.
"""

from __future__ import annotations

import hashlib
import sqlite3
from pathlib import Path

from saltcourse.gossip.errors import StoreError
from saltcourse.gossip.messages import AcceptedChange, Change, Position, ReplicaState, Write

APPLICATION_ID = 0x53616C72  # PRAGMA application_id: "Salr"
FORMAT_VERSION = 1  # PRAGMA user_version: version of the tables below
CREATE_TABLES = (
    "CREATE TABLE replica (one INTEGER PRIMARY KEY CHECK (one = 1), member TEXT NOT NULL,"
    " promised INTEGER NOT NULL, epoch INTEGER NOT NULL, version INTEGER NOT NULL,"
    " digest TEXT NOT NULL) STRICT",
    "CREATE TABLE configuration (key TEXT PRIMARY KEY, value BLOB NOT NULL) STRICT, WITHOUT ROWID",
    "CREATE TABLE accepted (version INTEGER PRIMARY KEY, accepted_epoch INTEGER NOT NULL,"
    " epoch INTEGER NOT NULL) STRICT",
    "CREATE TABLE accepted_write (version INTEGER NOT NULL, number INTEGER NOT NULL, key TEXT NOT NULL,"
    " value BLOB, PRIMARY KEY (version, number)) STRICT, WITHOUT ROWID",
)


class ReplicaStore:
    """Replica file of one voter. The constructor, ``load`` and ``save`` raise ``StoreError``.

    A failed ``save`` closes the store, since the state on disk is then unknown; the voter must stop.
    """

    def __init__(self, file: Path, own_name: str) -> None:
        self.file = file
        self.own_name = own_name
        self._saved: ReplicaState | None = None  # contents of the tables; None before the first load
        try:
            self._open()
        except (OSError, sqlite3.Error) as error:
            raise self._error(str(error)) from None

    def load(self) -> ReplicaState | None:
        """Return the state that was saved last, or None if none was saved."""
        try:
            row = self._db.execute("SELECT member, promised, epoch, version, digest FROM replica").fetchone()
            if row is None:
                self._saved = ReplicaState()
                return None
            member, promised, epoch, version, digest = row
            configuration = tuple(self._db.execute("SELECT key, value FROM configuration ORDER BY key"))
            accepted = self._load_accepted()
        except sqlite3.Error as error:
            raise self._error(str(error)) from None
        if member != self.own_name:
            raise self._error(f"file belongs to member {member!r}, expected {self.own_name!r}")
        state = ReplicaState(promised, Position(epoch, version), configuration, accepted)
        if digest != _digest(member, state):
            raise self._error("corrupt: the digest does not match the contents")
        self._saved = state
        return state

    def save(self, state: ReplicaState) -> None:
        """Write the state and return when it is on disk."""
        if self._saved is None:
            self.load()
        saved = self._saved or ReplicaState()
        try:
            self._db.execute("BEGIN IMMEDIATE")
            self._save_configuration(saved, state)
            self._save_accepted(saved, state)
            committed = state.committed
            self._db.execute(
                "INSERT OR REPLACE INTO replica VALUES (1, ?, ?, ?, ?, ?)",
                (
                    self.own_name,
                    state.promised,
                    committed.epoch,
                    committed.version,
                    _digest(self.own_name, state),
                ),
            )
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            self.close()
            raise self._error(str(error)) from None
        self._saved = state

    def close(self) -> None:
        """Close the file."""
        self._db.close()

    # ---- the file ---------------------------------------------------------------------------------

    def _open(self) -> None:
        new = not self.file.exists() or self.file.stat().st_size == 0
        self._db = sqlite3.connect(self.file, isolation_level=None, timeout=0.0)
        # Exclusive, since two processes that share a state would vote twice.
        self._db.execute("PRAGMA locking_mode=EXCLUSIVE")
        self._db.execute("PRAGMA synchronous=FULL")
        self._db.execute("BEGIN IMMEDIATE")
        if new:
            self._create()
        self._db.execute("COMMIT")
        self._check()

    def _create(self) -> None:
        self._db.execute(f"PRAGMA application_id={APPLICATION_ID}")
        self._db.execute(f"PRAGMA user_version={FORMAT_VERSION}")
        for statement in CREATE_TABLES:
            self._db.execute(statement)

    def _check(self) -> None:
        if self._pragma("application_id") != APPLICATION_ID:
            raise self._error(f"not a replica file: application_id is not {APPLICATION_ID:#x}")
        version = self._pragma("user_version")
        if version != FORMAT_VERSION:
            raise self._error(f"format version {version}, expected {FORMAT_VERSION}")
        result = self._pragma("quick_check")
        if result != "ok":
            raise self._error(f"corrupt: {result}")

    def _pragma(self, name: str) -> int | str:
        value: int | str = self._db.execute(f"PRAGMA {name}").fetchone()[0]
        return value

    def _error(self, reason: str) -> StoreError:
        return StoreError(f"{self.file}: {reason}")

    # ---- the tables -------------------------------------------------------------------------------

    def _load_accepted(self) -> tuple[AcceptedChange, ...]:
        rows = self._db.execute(
            "SELECT version, accepted_epoch, epoch FROM accepted ORDER BY version"
        ).fetchall()
        return tuple(
            AcceptedChange(accepted_epoch, Change(Position(epoch, version), self._load_writes(version)))
            for version, accepted_epoch, epoch in rows
        )

    def _load_writes(self, version: int) -> tuple[Write, ...]:
        return tuple(
            self._db.execute(
                "SELECT key, value FROM accepted_write WHERE version = ? ORDER BY number", (version,)
            )
        )

    def _save_configuration(self, saved: ReplicaState, state: ReplicaState) -> None:
        old = dict(saved.configuration)
        new = dict(state.configuration)
        deleted = [(key,) for key in old if key not in new]
        written = [(key, value) for key, value in new.items() if old.get(key) != value]
        self._db.executemany("DELETE FROM configuration WHERE key = ?", deleted)
        self._db.executemany("INSERT OR REPLACE INTO configuration VALUES (?, ?)", written)

    def _save_accepted(self, saved: ReplicaState, state: ReplicaState) -> None:
        for entry in set(saved.accepted) - set(state.accepted):
            version = entry.change.position.version
            self._db.execute("DELETE FROM accepted WHERE version = ?", (version,))
            self._db.execute("DELETE FROM accepted_write WHERE version = ?", (version,))
        for entry in set(state.accepted) - set(saved.accepted):
            position = entry.change.position
            self._db.execute(
                "INSERT INTO accepted VALUES (?, ?, ?)", (position.version, entry.epoch, position.epoch)
            )
            self._db.executemany(
                "INSERT INTO accepted_write VALUES (?, ?, ?, ?)",
                [
                    (position.version, number, key, value)
                    for number, (key, value) in enumerate(entry.change.writes)
                ],
            )


def _digest(member: str, state: ReplicaState) -> str:
    """Return a digest of the contents of all tables.

    Each string and value is preceded by its length, so that different contents can't give the same input. The
    length -1 marks a deleted key.
    """
    digest = hashlib.sha256()

    def add_number(number: int) -> None:
        digest.update(number.to_bytes(8, "big", signed=True))

    def add_item(key: str, value: bytes | None) -> None:
        data = key.encode()
        add_number(len(data))
        digest.update(data)
        add_number(-1 if value is None else len(value))
        digest.update(value or b"")

    add_item(member, b"")
    for number in (state.promised, state.committed.epoch, state.committed.version):
        add_number(number)
    add_number(len(state.configuration))
    for key, value in state.configuration:
        add_item(key, value)
    for entry in state.accepted:
        position = entry.change.position
        for number in (entry.epoch, position.epoch, position.version, len(entry.change.writes)):
            add_number(number)
        for name, new_value in entry.change.writes:
            add_item(name, new_value)
    return digest.hexdigest()
