"""Encoded sizes of changes and configurations, to reject oversized changes before they are proposed."""

from __future__ import annotations

from collections.abc import Iterable

from saltcourse.gossip.codec.configuration import CONFIGURATION_ITEM, change_size
from saltcourse.gossip.errors import EncodeError
from saltcourse.gossip.messages import MAX_CONFIGURATION_BYTES, Change, Position, Write


def is_encodable(writes: tuple[Write, ...]) -> bool:
    """Return whether a change with these writes has valid keys and values and is within the size limit."""
    try:
        change_size(Change(Position(), writes))
    except EncodeError:
        return False
    return True


class ConfigurationSize:
    """Tracks the encoded size of a configuration while changes are applied to it."""

    def __init__(self, items: Iterable[tuple[str, bytes]]) -> None:
        self._items = {key: _item_size(key, value) for key, value in items}
        self._total = sum(self._items.values())

    def fits(self, writes: Iterable[Write]) -> bool:
        """Return whether the configuration stays within MAX_CONFIGURATION_BYTES after these writes."""
        sizes = {key: _item_size(key, value) for key, value in writes}
        replaced = sum(self._items.get(key, 0) for key in sizes)
        return self._total - replaced + sum(sizes.values()) <= MAX_CONFIGURATION_BYTES

    def apply(self, writes: Iterable[Write]) -> None:
        """Update the size with the writes of a change."""
        for key, value in writes:
            self._total -= self._items.pop(key, 0)
            if value is not None:
                self._items[key] = _item_size(key, value)
                self._total += self._items[key]


def _item_size(key: str, value: bytes | None) -> int:
    return 0 if value is None else CONFIGURATION_ITEM.size + len(key.encode()) + len(value)
