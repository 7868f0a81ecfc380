"""Count the elements that a simulated process stores, without knowledge of its attributes."""

from __future__ import annotations

from collections.abc import Mapping


def count_elements(root: object) -> int:
    """Return the number of elements in all containers reachable from ``root``.

    Attributes are followed only for objects of ``saltcourse.gossip``.
    """
    seen: set[int] = set()
    pending: list[object] = [root]
    count = 0
    while pending:
        item = pending.pop()
        if id(item) in seen:
            continue
        seen.add(id(item))
        if isinstance(item, Mapping):
            count += len(item)
            pending += list(item.values()) + list(item.keys())
        elif isinstance(item, list | tuple | set | frozenset) or type(item).__name__ == "deque":
            elements = list(item)  # type: ignore[call-overload]
            count += len(elements)
            pending += elements
        elif type(item).__module__.startswith("saltcourse.gossip"):
            pending += _attributes(item)
    return count


def _attributes(item: object) -> list[object]:
    names = set(getattr(item, "__dict__", {}))
    for base in type(item).__mro__:
        names |= set(getattr(base, "__slots__", ()))
    return [getattr(item, name) for name in names if hasattr(item, name)]
