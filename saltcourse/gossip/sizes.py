"""Encoded sizes of changes and configurations, to refuse what is too large before it is proposed."""

from __future__ import annotations

from collections.abc import Iterable

from saltcourse.gossip.messages import (
    MAX_CHANGE_BYTES, MAX_CONFIGURATION_BYTES, MAX_KEY_BYTES, Write,
)

# Of the codec: a change is a position, a count and its writes; each item has the lengths of key and value.
CHANGE_BYTES = 9
ITEM_BYTES = 3
FIRST_PRINTABLE = " "
DELETE_CHARACTER, LAST_CONTROL_CHARACTER = "\x7f", "\x9f"


def has_valid_size(writes: Iterable[Write]) -> bool:
    """Whether a change of these writes can be encoded. Keys have 1 to ``MAX_KEY_BYTES`` bytes and no control
    characters."""
    size = CHANGE_BYTES
    for key, value in writes:
        if not _is_valid_key(key):
            return False
        size += ITEM_BYTES + len(key.encode()) + len(value or b"")
    return size <= MAX_CHANGE_BYTES


def _is_valid_key(key: str) -> bool:
    try:
        size = len(key.encode())
    except UnicodeEncodeError:
        return False
    if not 0 < size <= MAX_KEY_BYTES:
        return False
    return all(FIRST_PRINTABLE <= c < DELETE_CHARACTER or c > LAST_CONTROL_CHARACTER for c in key)


class ConfigurationSize:
    """Encoded size of a configuration that changes are applied to."""

    def __init__(self, items: Iterable[tuple[str, bytes]]) -> None:
        self._items = {key: _item_size(key, value) for key, value in items}
        self._total = sum(self._items.values())

    def fits(self, writes: Iterable[Write]) -> bool:
        """Whether the configuration is within its bound after these writes."""
        sizes = {key: _item_size(key, value) for key, value in writes}
        replaced = sum(self._items.get(key, 0) for key in sizes)
        return self._total - replaced + sum(sizes.values()) <= MAX_CONFIGURATION_BYTES

    def apply(self, writes: Iterable[Write]) -> None:
        for key, value in writes:
            self._total -= self._items.pop(key, 0)
            if value is not None:
                self._items[key] = _item_size(key, value)
                self._total += self._items[key]


def _item_size(key: str, value: bytes | None) -> int:
    return 0 if value is None else ITEM_BYTES + len(key.encode()) + len(value)
