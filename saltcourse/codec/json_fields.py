"""Checked access to the fields of an object parsed from JSON; each error names the field.

A field of value null is treated like an absent field.
"""

from __future__ import annotations

import math
from typing import Any

from saltcourse.codec.errors import InvalidObjectError


def field(message: dict[str, Any], key: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """Return the value of a field, which must be of a type in ``kind``; ``default`` if it is absent.

    Raises ``InvalidObjectError`` if the value has another type, or is absent and there is no default.
    """
    value = message.get(key)
    if value is None:
        if default is None:
            raise InvalidObjectError(f"{message.get('msg', 'message')}: '{key}' is missing")
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise InvalidObjectError(f"{message.get('msg', 'message')}: '{key}' has the wrong type: {value!r}")
    return value


def number(message: dict[str, Any], key: str, default: float | None = None) -> float:
    """Return the value of a field, which must be a finite number. Raises ``InvalidObjectError``."""
    value = field(message, key, (int, float), default)
    if not is_finite_number(value):
        raise InvalidObjectError(f"{message.get('msg', 'message')}: '{key}' is not a finite number")
    return float(value)


def is_finite_number(value: object) -> bool:
    """Return whether the value is a number that a float can hold, and neither infinite nor NaN."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:
        return False


def lookup(message: dict[str, Any], key: str, table: dict[Any, Any]) -> Any:
    """Return the entry of ``table`` for the value of a field.

    Raises ``InvalidObjectError`` if the table has no such entry.
    """
    value = message.get(key)
    try:
        return table[value]
    except (KeyError, TypeError):
        raise InvalidObjectError(
            f"{message.get('msg', 'message')}: '{key}' has an unknown value {value!r}"
        ) from None


def choice(kind: Any, value: str, name: str) -> Any:
    """Return the member of the enumeration ``kind`` with this value; ``name`` is the field for the error.

    Raises ``InvalidObjectError`` if there is no such member.
    """
    try:
        return kind(value)
    except ValueError:
        raise InvalidObjectError(f"env: '{name}' has an unknown value {value!r}") from None


def objects(message: dict[str, Any], key: str, default: list[Any] | None = None) -> list[dict[str, Any]]:
    """Return the value of a field, which must be a list of objects. Raises ``InvalidObjectError``."""
    values: list[dict[str, Any]] = field(message, key, list, default)
    for index, value in enumerate(values):
        if not isinstance(value, dict):
            raise InvalidObjectError(f"'{key}[{index}]' is not an object: {value!r}")
    return values


def texts(message: dict[str, Any], key: str) -> tuple[str, ...]:
    """Return the value of a field, which must be a list of strings; an empty tuple if it is absent.

    Raises ``InvalidObjectError``.
    """
    values = field(message, key, list, [])
    for index, value in enumerate(values):
        if not isinstance(value, str):
            raise InvalidObjectError(f"'{key}[{index}]' is not a string: {value!r}")
    return tuple(values)


def optional_amounts(message: dict[str, Any], key: str, count: int) -> list[float]:
    """Return the first ``count`` values of a field, which must be a list of numbers of 0 or more.

    Missing entries and entries of null are 0. Raises ``InvalidObjectError``.
    """
    values = field(message, key, list, [])
    for index, value in enumerate(values):
        if value is not None and not (is_finite_number(value) and value >= 0):
            raise InvalidObjectError(f"'{key}[{index}]' is not a finite number of 0 or more: {value!r}")
    amounts = [0.0 if value is None else value for value in values[:count]]
    return amounts + [0.0] * (count - len(amounts))
