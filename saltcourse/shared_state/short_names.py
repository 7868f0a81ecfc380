"""Short names of backends and groups: four base-64 digits of a hash, because messages are small.

Two identifiers with the same short name cannot be told apart. Such a collision makes a hint wrong, which is
acceptable because messages carry only hints.
"""

from __future__ import annotations

import hashlib

from saltcourse.shared_state.codec import NAME_LENGTH, encode_number

MAX_CACHED = 20_000  # short names; bounds the cache, since new group names keep appearing


def short_name(identifier: str) -> str:
    """Return the short name that represents an identifier in messages."""
    digest = hashlib.blake2b(identifier.encode(), digest_size=NAME_LENGTH).digest()
    return encode_number(int.from_bytes(digest, "big"), NAME_LENGTH)


class ShortNameCache:
    """Caches the short names of identifiers; cleared when it exceeds ``MAX_CACHED`` entries."""

    def __init__(self) -> None:
        self._cached: dict[str, str] = {}

    def get(self, identifier: str) -> str:
        """Return the short name of an identifier."""
        if len(self._cached) > MAX_CACHED:
            self._cached.clear()
        return self._cached.get(identifier) or self._cached.setdefault(identifier, short_name(identifier))
