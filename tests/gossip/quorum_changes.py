"""A builder of changes for tests of the quorum."""

from __future__ import annotations

from saltcourse.gossip.messages import (
    Change,
    Position,
)


def change(epoch: int, version: int, value: bytes = b"value") -> Change:
    return Change(Position(epoch, version), (("key", value),))
