"""Parses and validates the changes that operators submit: JSON objects of keys and new values."""

from __future__ import annotations

import orjson

from saltcourse.gossip.codec import change_size
from saltcourse.gossip.errors import ChangeTooLargeError, EncodeError, InvalidChangeError
from saltcourse.gossip.fields import MAX_LIST_LENGTH, encode_text
from saltcourse.gossip.messages import MAX_CHANGE_BYTES, MAX_KEY_BYTES, Change, Position, Write


def parse_change(body: bytes) -> tuple[Write, ...]:
    """Parse the JSON object ``{"key": "value", "deleted key": null}`` into writes.

    Raises ``InvalidChangeError``, or its subclass ``ChangeTooLargeError``, if the change can't be published.
    """
    try:
        entries = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidChangeError(f"change is not JSON: {error}") from None
    if not isinstance(entries, dict):
        raise InvalidChangeError(
            f"change must be a JSON object of keys and values, not {type(entries).__name__}"
        )
    writes = tuple((key, _parse_value(key, value)) for key, value in entries.items())
    validate_writes(writes)
    return writes


def _parse_value(key: str, value: object) -> bytes | None:
    if value is None:
        return None
    if not isinstance(value, str):
        raise InvalidChangeError(
            f"key {key!r}: value must be a string, or null to delete the key, not {type(value).__name__}"
        )
    return value.encode()


def validate_writes(writes: tuple[Write, ...]) -> None:
    """Raise ``InvalidChangeError`` or ``ChangeTooLargeError`` if the writes can't be published."""
    if not writes:
        raise InvalidChangeError("change has no keys; at least one is required")
    for key, _ in writes:
        try:
            encode_text(key, MAX_KEY_BYTES)
        except EncodeError:
            raise InvalidChangeError(
                f"key {key!r}: must have 1 to {MAX_KEY_BYTES} bytes and no control characters"
            ) from None
    if len(writes) > MAX_LIST_LENGTH:
        raise ChangeTooLargeError(f"change has {len(writes)} keys; at most {MAX_LIST_LENGTH} are allowed")
    try:
        change_size(Change(Position(), writes))
    except EncodeError:
        raise ChangeTooLargeError(
            f"change is larger than {MAX_CHANGE_BYTES} bytes, including its keys"
        ) from None
