"""Short names of backends and groups: four digits of a hash, because a message has little room.

Two identifiers that share a short name are taken for one. That makes a hint wrong, and all that a message
carries are hints.
"""

from __future__ import annotations

import hashlib

from saltcourse.shared_state.codec import NAME_LENGTH, encode_number

MAX_CACHED = 20_000  # short names; groups come and go without end


def short_name(identifier: str) -> str:
    """The name that represents an identifier in messages."""
    digest = hashlib.blake2b(identifier.encode(), digest_size=NAME_LENGTH).digest()
    return encode_number(int.from_bytes(digest, "big"), NAME_LENGTH)


class ShortNameCache:
    """Hashes each identifier once; at MAX_CACHED the cache is emptied."""

    def __init__(self) -> None:
        self._cached: dict[str, str] = {}

    def get(self, identifier: str) -> str:
        """The short name of an identifier."""
        if len(self._cached) > MAX_CACHED:
            self._cached.clear()
        return self._cached.get(identifier) or self._cached.setdefault(identifier, short_name(identifier))
