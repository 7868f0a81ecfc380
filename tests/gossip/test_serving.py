"""Answers to fetches of members that lack changes."""

from __future__ import annotations

from saltcourse.gossip.codec import HEADER_BYTES, Codec, change_size
from saltcourse.gossip.configuration import (
    MAX_LOG_CHANGES,
)
from saltcourse.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    Changes,
    Fetch,
    Position,
    Priority,
    SnapshotPart,
)
from tests.gossip.dissemination_members import (
    HIGHEST,
    A,
    change,
    header,
    member_at,
    new_member,
)


def test_an_answer_contains_as_many_consecutive_changes_as_fit_into_one_datagram() -> None:
    codec = Codec(b"k" * 32)
    for size in (1, 60, 200, 500, 950):
        server = new_member()
        for number in range(1, 60):
            server.commit(0.0, change(number, value=bytes(size)))
        [send] = server.handle(0.0, A, header(3), Fetch(Position(1, 3)))
        assert send.destination == A and send.priority is Priority.CONFIGURATION
        assert isinstance(send.message, Changes)
        versions = [change.position.version for change in send.message.changes]
        assert versions == list(range(4, 4 + len(versions)))
        assert len(codec.encode(header(59), send.message)) <= MAX_DATAGRAM_BYTES
        room = MAX_DATAGRAM_BYTES - HEADER_BYTES
        per_change = change_size(change(11, value=bytes(size)))
        assert len(versions) == min(56, max((room - 40) // per_change, 1))


def test_a_fetch_from_a_member_that_is_not_behind_or_in_conflict_is_not_answered() -> None:
    server = member_at(5)
    for after in (Position(1, 5), Position(1, 6), Position(0, 9), Position(HIGHEST, HIGHEST)):
        assert server.handle(0.0, A, header(), Fetch(after)) == []
    assert "fetch_conflict" not in server.metrics()
    assert server.handle(0.0, A, header(), Fetch(Position(0, 4))) == []
    assert server.handle(0.0, A, header(), Fetch(Position(2, 3))) == []
    assert server.metrics()["fetch_conflict"] == 2


def test_a_fetch_older_than_the_log_is_answered_with_the_newest_checkpoint() -> None:
    server = member_at(MAX_LOG_CHANGES + 1)
    [send] = server.handle(0.0, A, header(), Fetch(Position()))
    assert isinstance(send.message, SnapshotPart) and send.priority is Priority.BULK
    assert send.message.position == Position(1, MAX_LOG_CHANGES) and send.message.offset == 0
    [send] = server.handle(0.0, A, header(), Fetch(Position(1, 1)))
    assert isinstance(send.message, Changes)
