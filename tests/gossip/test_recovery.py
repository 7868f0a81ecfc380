"""Recovery of accepted changes from the promises of voters."""

from __future__ import annotations

from saltcourse.gossip.messages import (
    AcceptedChange,
    Position,
    Promise,
)
from saltcourse.gossip.recovery import PromiseSet
from tests.gossip.quorum_changes import change


def test_a_promise_of_several_messages_is_complete_in_any_order_and_across_an_apply() -> None:
    promises = PromiseSet()
    promises.add(1, Promise(9, Position(3, 5), 8, AcceptedChange(4, change(4, 8))))
    promises.add(1, Promise(9, Position(3, 5), 8, AcceptedChange(4, change(4, 6))))
    assert not promises.is_complete(1)
    promises.add(1, Promise(9, Position(4, 7), 8, AcceptedChange(4, change(4, 8))))  # 6 and 7 are applied
    assert promises.is_complete(1) and promises.committed_version == 7
    assert promises.recover(Position(4, 7)) == [change(4, 8)]
