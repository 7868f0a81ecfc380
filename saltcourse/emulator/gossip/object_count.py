"""The number of objects that a simulated process stores, independent of the names of its tables."""

from __future__ import annotations

from collections.abc import Mapping


def count_elements(root: object) -> int:
    """Count the elements of all containers reached from ``root`` through the package's own objects."""
    seen: set[int] = set()
    waiting: list[object] = [root]
    count = 0
    while waiting:
        item = waiting.pop()
        if id(item) in seen:
            continue
        seen.add(id(item))
        if isinstance(item, Mapping):
            count += len(item)
            waiting += list(item.values()) + list(item.keys())
        elif isinstance(item, list | tuple | set | frozenset) or type(item).__name__ == "deque":
            members = list(item)  # type: ignore[call-overload]
            count += len(members)
            waiting += members
        elif type(item).__module__.startswith("saltcourse.gossip"):
            waiting += _attributes(item)
    return count


def _attributes(item: object) -> list[object]:
    names = set(getattr(item, "__dict__", {}))
    for base in type(item).__mro__:
        names |= set(getattr(base, "__slots__", ()))
    return [getattr(item, name) for name in names if hasattr(item, name)]
