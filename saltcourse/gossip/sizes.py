"""Encoded sizes of changes and configurations, to reject what is too large before it is proposed."""

from __future__ import annotations

from collections.abc import Iterable

from saltcourse.gossip.codec.configuration import CONFIGURATION_ITEM, change_size
from saltcourse.gossip.errors import EncodeError
from saltcourse.gossip.messages import MAX_CONFIGURATION_BYTES, Change, Position, Write


def is_encodable(writes: tuple[Write, ...]) -> bool:
    """Whether a change of these writes fits its bound and each key and value has a binary form."""
    try:
        change_size(Change(Position(), writes))
    except EncodeError:
        return False
    return True


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
        """Take over the writes of a change."""
        for key, value in writes:
            self._total -= self._items.pop(key, 0)
            if value is not None:
                self._items[key] = _item_size(key, value)
                self._total += self._items[key]


def _item_size(key: str, value: bytes | None) -> int:
    return 0 if value is None else CONFIGURATION_ITEM.size + len(key.encode()) + len(value)
