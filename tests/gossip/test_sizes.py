"""Encoded sizes of changes and configurations, computed before a change is proposed."""

from __future__ import annotations

from saltcourse.gossip.codec import encode_configuration
from saltcourse.gossip.messages import (
    MAX_CONFIGURATION_BYTES,
)
from saltcourse.gossip.sizes import ConfigurationSize, is_encodable


def test_writes_that_cannot_be_encoded_are_detected() -> None:
    assert is_encodable((("key", b""), ("other", None)))
    for key in ("", "x" * 129, "a\nb", "\x85", "\ud800"):
        assert not is_encodable(((key, b""),))


def test_size_follows_writes_replacements_and_deletions() -> None:
    items = [(f"key{i}", bytes(50_000)) for i in range(5)]
    size = ConfigurationSize(items)
    room = MAX_CONFIGURATION_BYTES - len(encode_configuration([*items, ("b", b"")]))
    assert size.fits([("b", bytes(room))]) and not size.fits([("b", bytes(room + 1))])
    size.apply([("b", bytes(9)), ("b", bytes(room))])
    assert not size.fits([("c", b"")])
    assert size.fits([("b", None), ("c", bytes(room))])
    assert not size.fits([("b", None), ("c", bytes(room)), ("d", b"")])
    size.apply([("b", None), ("b", None)])
    assert size.fits([("b", bytes(room))]) and not size.fits([("b", bytes(room + 1))])
