"""This proxy's table of connections, and replicas of the peers' tables.

An entry's key is a backend and a group (its value is ``PAIR_VALUE``), or a backend (its value is the number
of connections to it). The owner of a table broadcasts changes, with a digest of the entries announced so far.
A replica with a different digest has missed a message: its proxy requests the records since the last message
at which the digests matched, and then a snapshot, so replicas converge within seconds of the last loss. The
contents of a replica do not depend on the order in which messages arrive.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from saltcourse.shared_state.codec import DIGEST_MODULUS, NAME_LENGTH, NUMBER_MODULUS, encode_count
from saltcourse.shared_state.messages import (
    Connections,
    EntryKey,
    EntryRecord,
    PairAdded,
    PairRemoved,
    Reset,
    TableRecord,
)

MAX_ENTRIES = 4096  # entries per replica; bounds the memory that one peer can consume
MAX_TRACKED_KEYS = 2 * MAX_ENTRIES  # keys per replica with a known sequence, including removed entries
PAIR_VALUE = 0  # value of every pair entry; only the presence of the entry matters
NO_SEQUENCE = -1  # lower than the sequence number of any message


def is_pair(key: EntryKey) -> bool:
    """Return whether the key identifies a backend and a group rather than a backend."""
    return len(key) > NAME_LENGTH


def entry_digest(key: EntryKey, value: int) -> int:
    """Return the digest of one entry. A table's digest is the XOR of its entries' digests.

    A linear checksum (CRC) is not sufficient: with two backends and the same two groups at both, the
    checksums of the four pairs cancel each other out.
    """
    text = key if len(key) > NAME_LENGTH else key + encode_count(value)
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big") % DIGEST_MODULUS


@dataclass(slots=True)
class Replica:
    """A copy of one peer's table.

    For each key the record with the highest sequence number wins; a Reset removes entries set by messages
    with a lower one.
    """

    entries: dict[EntryKey, int] = field(default_factory=dict)
    # Sequence number of the newest message that changed each key.
    last_sequences: dict[EntryKey, int] = field(default_factory=dict)
    reset_sequence: int = NO_SEQUENCE  # sequence number of the newest message with a Reset
    digest: int = 0

    def apply(self, sequence: int, record: TableRecord) -> list[EntryKey]:
        """Apply a record of message number ``sequence``; return the keys whose entries may have changed."""
        if isinstance(record, Reset):
            return self._reset(sequence)
        value: int | None
        if isinstance(record, Connections):
            key, value = record.backend, record.count or None
        else:
            key, value = record.pair, PAIR_VALUE if isinstance(record, PairAdded) else None
        return [key] if self._set(key, value, sequence) else []

    def _reset(self, sequence: int) -> list[EntryKey]:
        self.reset_sequence = max(self.reset_sequence, sequence)
        old = [key for key in self.entries if self.last_sequences[key] < sequence]
        return [key for key in old if self._set(key, None, sequence)]

    def _set(self, key: EntryKey, value: int | None, sequence: int) -> bool:
        """Set or remove an entry. Return False if the message is outdated or the replica is full."""
        if sequence < self.reset_sequence or sequence < self.last_sequences.get(key, NO_SEQUENCE):
            return False
        before = self.entries.get(key)
        if before is None and value is not None and self.is_full():
            return False
        self.last_sequences[key] = sequence
        if value != before:
            self._replace_entry(key, before, value)
        if len(self.last_sequences) > MAX_TRACKED_KEYS:  # drops the sequence numbers of removed entries
            self.last_sequences = {k: n for k, n in self.last_sequences.items() if k in self.entries}
        return True

    def _replace_entry(self, key: EntryKey, before: int | None, after: int | None) -> None:
        if before is not None:
            self.digest ^= entry_digest(key, before)
        if after is not None:
            self.digest ^= entry_digest(key, after)
            self.entries[key] = after
        else:
            del self.entries[key]

    def is_full(self) -> bool:
        """Return whether new entries are ignored. Repair requests cannot bring a full replica in sync."""
        return len(self.entries) >= MAX_ENTRIES


class LocalTable:
    """This proxy's own table, and the part of it that has been broadcast."""

    def __init__(self) -> None:
        self.entries: dict[EntryKey, int] = {}
        self.announced: dict[EntryKey, int] = {}  # entries as broadcast so far
        self.digest = 0  # digest of ``announced``
        self.changed: set[EntryKey] = set()  # keys whose entries may differ from the announced ones

    def set_pair(self, pair: EntryKey, has_connections: bool) -> None:
        """Record whether this proxy has connections of a group to a backend."""
        self._set(pair, PAIR_VALUE if has_connections else None)

    def set_connections(self, backend: EntryKey, connections: int) -> None:
        """Record the number of connections that this proxy has to a backend."""
        self._set(backend, min(connections, NUMBER_MODULUS - 1) if connections > 0 else None)

    def _set(self, key: EntryKey, value: int | None) -> None:
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = value
        self.changed.add(key)

    def pop_changes(self, include: Callable[[EntryKey], bool]) -> list[EntryRecord]:
        """Mark the changed entries whose keys satisfy ``include`` as announced; return their records."""
        records = []
        for key in sorted(key for key in self.changed if include(key)):
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
        """Return records that set a replica to the announced entries, whatever it contained before."""
        return [Reset(), *[_record(key, value) for key, value in sorted(self.announced.items())]]


def key_of(record: EntryRecord) -> EntryKey:
    """Return the key of the entry that a record sets."""
    return record.backend if isinstance(record, Connections) else record.pair


def _record(key: EntryKey, value: int | None) -> EntryRecord:
    if not is_pair(key):
        return Connections(key, value or 0)
    return PairRemoved(key) if value is None else PairAdded(key)
