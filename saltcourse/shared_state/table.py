"""Each proxy's table of what it holds, and replicas of the others': any order of messages fills them alike.

An entry's key is a pair of backend and group (its value is ``PAIR_VALUE``) or a backend (its value is the
number of connections there). The owner sends changes to all, with a digest of all that it has announced; a
replica whose digest differs has missed a message. It requests what followed the last message it agreed with,
then a snapshot, and so agrees seconds after the last loss.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from saltcourse.shared_state.codec import DIGESTS, NAME_LENGTH, NUMBERS, encode_count
from saltcourse.shared_state.messages import (
    Connections,
    EntryKey,
    EntryRecord,
    PairHeld,
    PairReleased,
    Reset,
    TableRecord,
)

MAX_ENTRIES = 4096  # of one replica, so that no peer can make this process grow without bound
MAX_NAMED_KEYS = 2 * MAX_ENTRIES  # of a replica, also of entries that are gone
PAIR_VALUE = 0  # of a pair's entry, whose presence means that the pair is held
NEVER = -1  # a sequence below that of any message


def is_pair(key: EntryKey) -> bool:
    """Whether the key is of a backend and a group, not of a backend alone."""
    return len(key) > NAME_LENGTH


def entry_digest(key: EntryKey, value: int) -> int:
    """An entry's part of a table's digest, which is the exclusive or of all parts, the same in any order.

    A checksum would not do: those of two backends' pairs with the same two groups cancel each other out.
    """
    text = key if len(key) > NAME_LENGTH else key + encode_count(value)
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big") % DIGESTS


@dataclass(slots=True)
class Replica:
    """A copy of one peer's table.

    Each entry is as the newest message that named it has it, and a Reset clears what older ones have set.
    """

    entries: dict[EntryKey, int] = field(default_factory=dict)
    last_named: dict[EntryKey, int] = field(default_factory=dict)  # -> sequence of the newest that named it
    reset_sequence: int = NEVER  # of the newest message with a Reset
    digest: int = 0

    def apply(self, sequence: int, record: TableRecord) -> list[EntryKey]:
        """Take a record of the message of that sequence. The keys whose entries may have changed."""
        if isinstance(record, Reset):
            return self._reset(sequence)
        value: int | None
        if isinstance(record, Connections):
            key, value = record.backend, record.count or None
        else:
            key, value = record.pair, PAIR_VALUE if isinstance(record, PairHeld) else None
        return [key] if self._set(key, value, sequence) else []

    def _reset(self, sequence: int) -> list[EntryKey]:
        self.reset_sequence = max(self.reset_sequence, sequence)
        old = [key for key in self.entries if self.last_named[key] < sequence]
        return [key for key in old if self._set(key, None, sequence)]

    def _set(self, key: EntryKey, value: int | None, sequence: int) -> bool:
        """Whether the message is new enough, and there is room."""
        if sequence < self.reset_sequence or sequence < self.last_named.get(key, NEVER):
            return False
        before = self.entries.get(key)
        if before is None and value is not None and self.is_full():
            return False
        self.last_named[key] = sequence
        if value != before:
            self._replace(key, before, value)
        if len(self.last_named) > MAX_NAMED_KEYS:  # entries that are long gone need not be remembered
            self.last_named = {k: n for k, n in self.last_named.items() if k in self.entries}
        return True

    def _replace(self, key: EntryKey, before: int | None, after: int | None) -> None:
        if before is not None:
            self.digest ^= entry_digest(key, before)
        if after is not None:
            self.digest ^= entry_digest(key, after)
            self.entries[key] = after
        else:
            del self.entries[key]

    def is_full(self) -> bool:
        """Whether new entries are ignored; a full replica never agrees, however often it asks."""
        return len(self.entries) >= MAX_ENTRIES


class LocalTable:
    """This proxy's own table, and what of it has been announced to all."""

    def __init__(self) -> None:
        self.entries: dict[EntryKey, int] = {}
        self.announced: dict[EntryKey, int] = {}  # the replica of a peer that has missed nothing
        self.digest = 0  # of what has been announced
        self.changed: set[EntryKey] = set()  # keys whose entries may differ from the announced ones

    def set_pair(self, pair: EntryKey, held: bool) -> None:
        """Note whether this proxy has connections of a group at a backend."""
        self._set(pair, PAIR_VALUE if held else None)

    def set_connections(self, backend: EntryKey, connections: int) -> None:
        """Note how many connections this proxy has at a backend."""
        self._set(backend, min(connections, NUMBERS - 1) if connections > 0 else None)

    def _set(self, key: EntryKey, value: int | None) -> None:
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = value
        self.changed.add(key)

    def pop_changes(self, is_due: Callable[[EntryKey], bool]) -> list[EntryRecord]:
        """Announce the changed entries whose keys are due: the records that say so to all."""
        records = []
        for key in sorted(key for key in self.changed if is_due(key)):
            self.changed.discard(key)
            before, after = self.announced.get(key), self.entries.get(key)
            if before != after:
                self._announce(key, before, after)
                records.append(_record(key, after))
        return records

    def _announce(self, key: EntryKey, before: int | None, after: int | None) -> None:
        if before is not None:
            self.digest ^= entry_digest(key, self.announced.pop(key))
        if after is not None:
            self.digest ^= entry_digest(key, after)
            self.announced[key] = after

    def snapshot(self) -> list[TableRecord]:
        """Records that make any replica one of what has been announced."""
        return [Reset(), *[_record(key, value) for key, value in sorted(self.announced.items())]]


def key_of(record: EntryRecord) -> EntryKey:
    """The key of the entry that a record sets."""
    return record.backend if isinstance(record, Connections) else record.pair


def _record(key: EntryKey, value: int | None) -> EntryRecord:
    if not is_pair(key):
        return Connections(key, value or 0)
    return PairReleased(key) if value is None else PairHeld(key)
