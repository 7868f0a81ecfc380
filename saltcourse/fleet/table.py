"""Each proxy's table of what it holds, and copies of the others': any order of messages fills them alike.

An entry's key is a pair of server and group (its value is empty) or a server (its value is the number of
connections there). The owner tells changes to all, with a digest of everything told; a copy with another
digest has missed a message, asks, and is told the whole table. So copies agree seconds after the last loss.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from saltcourse.fleet.words import COUNTS, DIGEST, DROPS, FIGURE, HOLDS, NAME, VOID, at_most, read_figure

MARKS = 1 << 6 * DIGEST  # different marks of an entry
MOST_ENTRIES = 4096  # of one table: what comes from a peer cannot grow this program without bound


def mark(key: str, value: str) -> int:
    """An entry's part of the digest; that is their exclusive or, the same in any order. A checksum would not
    do: those of two servers' pairs with the same two groups cancel each other out."""
    return int.from_bytes(blake2b((key + value).encode(), digest_size=4).digest(), "big") % MARKS


@dataclass(slots=True)
class Copy:
    """A copy of one peer's table. Each entry is as the newest message that named it says, and a VOID clears
    what older ones said."""

    entries: dict[str, str] = field(default_factory=dict)
    said: dict[str, int] = field(default_factory=dict)  # key -> number of the newest message that named it
    void: int = -1  # the number of the newest VOID
    digest: int = 0

    def take(self, number: int, sign: str, rest: str) -> list[str]:
        """The keys whose entries may have changed."""
        if sign == VOID:
            self.void = max(self.void, number)
            old = [key for key in self.entries if self.said[key] < number]
            return [key for key in old if self._set(key, None, number)]
        key, value = (rest[:NAME], rest[NAME:]) if sign == COUNTS else (rest, "")
        gone = sign == DROPS or (sign == COUNTS and not read_figure(value))
        return [key] if self._set(key, None if gone else value, number) else []

    def _set(self, key: str, value: str | None, number: int) -> bool:
        if number < max(self.void, self.said.get(key, -1)):
            return False
        before = self.entries.get(key)
        if before is None and value is not None and len(self.entries) >= MOST_ENTRIES:
            return False
        self.said[key] = number
        if before is not None:
            self.digest ^= mark(key, before)
            del self.entries[key]
        if value is not None:
            self.digest ^= mark(key, value)
            self.entries[key] = value
        if len(self.said) > 2 * MOST_ENTRIES:  # what is long gone need not be remembered
            self.said = {k: n for k, n in self.said.items() if k in self.entries}
        return True

    def full(self) -> bool:
        """Then it cannot agree, however often it asks."""
        return len(self.entries) >= MOST_ENTRIES


class Table:
    """The own one."""

    def __init__(self) -> None:
        self.own: dict[str, str] = {}
        self.told: dict[str, str] = {}  # what peers that missed nothing believe
        self.digest = 0  # of what has been told
        self.changed: set[str] = set()  # keys of which that may differ

    def set(self, key: str, value: str | None) -> None:
        if value is None:
            self.own.pop(key, None)
        else:
            self.own[key] = value
        self.changed.add(key)

    def count(self, server: str, connections: int) -> None:
        self.set(server, at_most(connections, FIGURE) if connections > 0 else None)

    def changes(self, now_told: Callable[[str], bool]) -> list[str]:
        """What all are to be told of the keys for which ``now_told`` says that it is time."""
        records = []
        for key in sorted(k for k in self.changed if now_told(k)):
            self.changed.discard(key)
            before, after = self.told.get(key), self.own.get(key)
            if before == after:
                continue
            if before is not None:
                self.digest ^= mark(key, self.told.pop(key))
            if after is not None:
                self.digest ^= mark(key, after)
                self.told[key] = after
            records.append(record(key, after))
        return records

    def whole(self) -> list[str]:
        return [VOID, *[record(key, value) for key, value in sorted(self.told.items())]]


def record(key: str, value: str | None) -> str:
    if len(key) == NAME:
        return COUNTS + key + (value or at_most(0, FIGURE))
    return (DROPS if value is None else HOLDS) + key
