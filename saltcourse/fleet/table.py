"""Each proxy's table of what it holds, and replicas of the others': any order of messages fills them alike.

An entry's key is a pair of server and group (its value is empty) or a server (its value is the number of
connections there). The owner sends changes to all, with a digest of everything announced; a replica with
another digest has missed a message, asks, and is sent a snapshot. So they agree seconds after the last loss.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from saltcourse.fleet.codec import (
    CONNECTIONS, DIGEST_LENGTH, NAME_LENGTH, NUMBER_LENGTH, PAIR_HELD, PAIR_RELEASED, RESET, decode_number,
    encode_clamped,
)

DIGESTS = 1 << 6 * DIGEST_LENGTH  # different digests of an entry
MAX_ENTRIES = 4096  # of one table: what comes from a peer cannot grow this program without bound


def entry_digest(key: str, value: str) -> int:
    """An entry's part of the digest; that is their exclusive or, the same in any order. A checksum would not
    do: those of two servers' pairs with the same two groups cancel each other out."""
    return int.from_bytes(blake2b((key + value).encode(), digest_size=4).digest(), "big") % DIGESTS


@dataclass(slots=True)
class Replica:
    """A copy of one peer's table. Each entry is as the newest message that named it says, and a RESET clears
    what older ones said."""

    entries: dict[str, str] = field(default_factory=dict)
    last_named: dict[str, int] = field(default_factory=dict)  # key -> the newest message that named it
    reset_sequence: int = -1  # the newest message with a RESET
    digest: int = 0

    def apply(self, sequence: int, kind: str, body: str) -> list[str]:
        """The keys whose entries may have changed."""
        if kind == RESET:
            self.reset_sequence = max(self.reset_sequence, sequence)
            old = [key for key in self.entries if self.last_named[key] < sequence]
            return [key for key in old if self._set(key, None, sequence)]
        key, value = (body[:NAME_LENGTH], body[NAME_LENGTH:]) if kind == CONNECTIONS else (body, "")
        gone = kind == PAIR_RELEASED or (kind == CONNECTIONS and not decode_number(value))
        return [key] if self._set(key, None if gone else value, sequence) else []

    def _set(self, key: str, value: str | None, sequence: int) -> bool:
        if sequence < max(self.reset_sequence, self.last_named.get(key, -1)):
            return False
        before = self.entries.get(key)
        if before is None and value is not None and len(self.entries) >= MAX_ENTRIES:
            return False
        self.last_named[key] = sequence
        if before is not None:
            self.digest ^= entry_digest(key, before)
            del self.entries[key]
        if value is not None:
            self.digest ^= entry_digest(key, value)
            self.entries[key] = value
        if len(self.last_named) > 2 * MAX_ENTRIES:  # what is long gone need not be remembered
            self.last_named = {k: n for k, n in self.last_named.items() if k in self.entries}
        return True

    def is_full(self) -> bool:
        """Then it cannot agree, however often it asks."""
        return len(self.entries) >= MAX_ENTRIES


class LocalTable:
    """This proxy's own."""

    def __init__(self) -> None:
        self.entries: dict[str, str] = {}
        self.announced: dict[str, str] = {}  # what peers that missed nothing have
        self.digest = 0  # of what has been announced
        self.changed: set[str] = set()  # keys of which that may differ

    def set(self, key: str, value: str | None) -> None:
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = value
        self.changed.add(key)

    def set_connections(self, server: str, connections: int) -> None:
        self.set(server, encode_clamped(connections, NUMBER_LENGTH) if connections > 0 else None)

    def pop_changes(self, due: Callable[[str], bool]) -> list[str]:
        """Records for all of the changed keys that are ``due``."""
        records = []
        for key in sorted(k for k in self.changed if due(k)):
            self.changed.discard(key)
            before, after = self.announced.get(key), self.entries.get(key)
            if before == after:
                continue
            if before is not None:
                self.digest ^= entry_digest(key, self.announced.pop(key))
            if after is not None:
                self.digest ^= entry_digest(key, after)
                self.announced[key] = after
            records.append(record(key, after))
        return records

    def snapshot(self) -> list[str]:
        return [RESET, *[record(key, value) for key, value in sorted(self.announced.items())]]


def record(key: str, value: str | None) -> str:
    if len(key) == NAME_LENGTH:
        return CONNECTIONS + key + (value or encode_clamped(0, NUMBER_LENGTH))
    return (PAIR_RELEASED if value is None else PAIR_HELD) + key
