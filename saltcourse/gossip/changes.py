"""A change as operators give it: JSON object of keys and new values, checked before it is published."""

from __future__ import annotations

import orjson

from saltcourse.gossip.codec import change_size
from saltcourse.gossip.errors import ChangeTooLargeError, EncodeError, InvalidChangeError
from saltcourse.gossip.fields import MAX_LIST_LENGTH, encode_text
from saltcourse.gossip.messages import MAX_CHANGE_BYTES, MAX_KEY_BYTES, Change, Position, Write


def parse_change(body: bytes) -> tuple[Write, ...]:
    """Parse the JSON object ``{"key": "value", "deleted key": null}`` into writes.

    Raises ``InvalidChangeError``.
    """
    try:
        entries = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidChangeError(f"not JSON: {error}") from None
    if not isinstance(entries, dict):
        raise InvalidChangeError("not an object of keys and values")
    writes = tuple((key, _parse_value(key, value)) for key, value in entries.items())
    check_writes(writes)
    return writes


def _parse_value(key: str, value: object) -> bytes | None:
    if value is None:
        return None
    if not isinstance(value, str):
        raise InvalidChangeError(f"{key!r}: the value must be a text, or null to delete the key")
    return value.encode()


def check_writes(writes: tuple[Write, ...]) -> None:
    """``InvalidChangeError`` or ``ChangeTooLargeError`` where it could not be published."""
    if not writes:
        raise InvalidChangeError("no key")
    for key, _ in writes:
        try:
            encode_text(key, MAX_KEY_BYTES)
        except EncodeError:
            raise InvalidChangeError(
                f"{key!r}: a key has 1 to {MAX_KEY_BYTES} bytes, no control character"
            ) from None
    if len(writes) > MAX_LIST_LENGTH:
        raise ChangeTooLargeError(f"{len(writes)} keys; at most {MAX_LIST_LENGTH} in one change")
    try:
        change_size(Change(Position(), writes))
    except EncodeError:
        raise ChangeTooLargeError(f"over {MAX_CHANGE_BYTES} bytes with its keys") from None
