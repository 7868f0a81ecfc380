"""Short names of servers and groups: four digits of a hash, because a message has little room.

Two identifiers that share one are taken for one: a hint is then wrong, and a hint is all that a message can
be.
"""

from __future__ import annotations

import hashlib

from saltcourse.shared_state.codec import NAME_LENGTH, encode_number

MAX_CACHED = 20_000  # names; groups come and go for ever


def short_name(identifier: str) -> str:
    digest = hashlib.blake2b(identifier.encode(), digest_size=NAME_LENGTH).digest()
    return encode_number(int.from_bytes(digest, "big"), NAME_LENGTH)


class ShortNames:
    """Each name is made once, for that is dear; at MAX_CACHED all are forgotten and made again."""

    def __init__(self) -> None:
        self._known: dict[str, str] = {}

    def of(self, identifier: str) -> str:
        if len(self._known) > MAX_CACHED:
            self._known.clear()
        return self._known.get(identifier) or self._known.setdefault(identifier, short_name(identifier))
