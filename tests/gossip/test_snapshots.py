"""Transfer of a snapshot in parts.

A member is so far behind that no log reaches back to its version. Parts are lost, servers stop or move on to
a newer checkpoint, and one server sends wrong bytes. The configuration must be loaded completely and
correctly, or not at all.
"""

from __future__ import annotations

import pytest

from saltcourse.gossip.codec import encode_configuration
from saltcourse.gossip.configuration import (
    CHECKPOINT_INTERVAL,
    Checkpoint,
)
from saltcourse.gossip.dissemination import Dissemination
from saltcourse.gossip.messages import (
    MAX_CONFIGURATION_BYTES,
    Applied,
    Fetch,
    Position,
    Priority,
    SnapshotFetch,
    SnapshotPart,
)
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.snapshots import (
    MAX_FAILED_SERVERS,
    MAX_OUTSTANDING_PARTS,
    SNAPSHOT_PART_BYTES,
    make_part,
)
from tests.gossip.dissemination_members import (
    HIGHEST,
    TIMING,
    A,
    B,
    announcements,
    changes,
    fetches,
    header,
    member_at,
    new_member,
    run,
)


def make_checkpoint(size: int, version: int = CHECKPOINT_INTERVAL, fill: bytes = b"x") -> Checkpoint:
    items: list[tuple[str, bytes]] = []
    for number in range(size // 500):
        items.append((f"k{number:04}", fill * (500 - 3 - 5)))
    return Checkpoint.create(Position(1, version), encode_configuration(items))


def answer(checkpoint: Checkpoint, message: SnapshotFetch) -> SnapshotPart:
    assert message.position == checkpoint.position
    part = make_part(checkpoint, message.offset)
    assert part is not None
    return part


def first_part(checkpoint: Checkpoint) -> SnapshotPart:
    part = make_part(checkpoint, 0)
    assert part is not None
    return part


def start_transfer(checkpoint: Checkpoint, timing: Timing = TIMING) -> Dissemination:
    member = new_member(timing=timing)
    assert fetches(member.observe(0.0, A, header(checkpoint.position.version)))
    assert member.handle(0.0, A, header(checkpoint.position.version), first_part(checkpoint)) == []
    return member


def test_parts_are_requested_in_order_at_the_stated_rate_and_applied_when_complete() -> None:
    checkpoint = make_checkpoint(20_000)
    member = start_transfer(checkpoint)
    requested: list[tuple[float, int]] = []
    now = 0.0
    while member.position == Position():
        now = member.next_deadline()
        for send in member.tick(now):
            assert isinstance(send.message, SnapshotFetch) and send.priority is Priority.BULK
            assert send.destination == A
            requested.append((now, send.message.offset))
            member.handle(now, A, header(64), answer(checkpoint, send.message))
    interval = SNAPSHOT_PART_BYTES / TIMING.snapshot_bytes_per_s
    assert [offset for _, offset in requested] == list(range(1_000, 20_000, 1_000))
    assert [at for at, _ in requested] == pytest.approx([interval * number for number in range(1, 20)])
    assert dict(member.configuration) == dict(
        zip((f"k{n:04}" for n in range(40)), [b"x" * 492] * 40, strict=True)
    )
    assert [type(action) for action in member.take_actions()] == [Applied]
    [send] = member.handle(now, B, header(), SnapshotFetch(Position(), 0))  # the member can serve it now
    assert send.message == first_part(checkpoint)


def test_outstanding_parts_are_limited_and_lost_ones_are_requested_from_others() -> None:
    timing = Timing(snapshot_bytes_per_s=100_000.0)
    checkpoint = make_checkpoint(20_000)
    member = start_transfer(checkpoint, timing)
    sent = run(member, 0.0, timing.fetch_timeout - 0.01)
    assert [send.message for _, send in sent] == [
        SnapshotFetch(checkpoint.position, 1_000 * number) for number in range(1, 1 + MAX_OUTSTANDING_PARTS)
    ]
    repeated_requests = [send for _, send in run(member, 0.49, 0.6)]
    assert {send.destination for send in repeated_requests}.isdisjoint({A})
    assert {send.message for send in repeated_requests} == {send.message for _, send in sent}


def test_a_transfer_without_answers_is_suspended_and_keeps_its_parts() -> None:
    checkpoint = make_checkpoint(10_000)
    member = start_transfer(checkpoint)
    member.handle(0.1, A, header(64), answer(checkpoint, SnapshotFetch(checkpoint.position, 5_000)))
    sent = run(member, 0.1, 9.0)
    assert len({send.destination for _, send in sent if isinstance(send.message, SnapshotFetch)}) >= 3
    assert any(isinstance(send.message, Fetch) for _, send in sent)
    assert len(sent) < 9.0 * 8  # within the rate limit
    assert [send for _, send in run(member, 9.0, 100.0)] != sent and member.metrics()["sources"] == 0
    assert run(member, 100.0, 200.0) == []
    assert fetches(member.observe(200.0, B, header(64)))
    member.handle(200.1, B, header(64), first_part(checkpoint))
    requested = set()
    while member.position == Position():
        now = member.next_deadline()
        for send in member.tick(now):
            assert isinstance(send.message, SnapshotFetch)
            requested.add(send.message.offset)
            member.handle(now, B, header(64), answer(checkpoint, send.message))
    assert requested == set(range(1_000, 10_000, 1_000)) - {5_000}


def test_a_server_that_moved_on_to_a_newer_checkpoint_is_replaced_by_another() -> None:
    old, new = make_checkpoint(5_000), make_checkpoint(5_000, version=128, fill=b"y")
    member = start_transfer(old)
    [(now, send)] = run(member, 0.0, 0.13)
    member.handle(now, A, header(200), first_part(new))
    sent = [send for _, send in run(member, now, 0.3) if isinstance(send.message, SnapshotFetch)]
    assert sent and all(
        request.destination != A and request.message.position == old.position for request in sent
    )
    assert sent[0].message == send.message  # the same part is requested again
    assert member.metrics()["snapshot_moved_on"] == 1


def test_a_snapshot_that_no_server_has_any_more_is_replaced_by_a_newer_one() -> None:
    old, new = make_checkpoint(5_000), make_checkpoint(5_000, version=128, fill=b"y")
    member = start_transfer(old)
    now = 0.0
    while member.position == Position():
        now = member.next_deadline()
        assert now < 10.0
        for send in member.tick(now):
            message = send.message
            if isinstance(message, SnapshotFetch) and message.position == new.position:
                reply = answer(new, message)
            else:
                reply = first_part(new)
            for more in member.handle(now, send.destination, header(128), reply):
                if isinstance(more.message, Fetch):
                    member.handle(now, more.destination, header(128), first_part(new))
    assert member.position == new.position
    assert member.metrics()["snapshot_moved_on"] == MAX_FAILED_SERVERS


def test_a_wrong_digest_drops_the_snapshot_and_another_member_is_asked_later() -> None:
    checkpoint = make_checkpoint(2_000)
    member = start_transfer(checkpoint)
    [(now, send)] = run(member, 0.0, 0.13)
    good = answer(checkpoint, SnapshotFetch(checkpoint.position, 1_000))
    corrupted = SnapshotPart(good.position, good.size, good.digest, 1_000, b"z" + good.data[1:])
    assert member.handle(now, A, header(64), corrupted) == []
    assert member.position == Position() and member.take_actions() == []
    assert member.metrics()["snapshot_invalid"] == 1
    [(at, send)] = run(member, now, now + 0.6)
    assert isinstance(send.message, Fetch) and send.destination != A
    assert at == pytest.approx(now + TIMING.fetch_timeout)
    member.handle(at, send.destination, header(64), first_part(checkpoint))
    [(at, repeated_request)] = run(member, at, at + 0.13)
    member.handle(at, repeated_request.destination, header(64), good)
    assert member.position == checkpoint.position


def test_bytes_that_are_not_a_configuration_are_rejected_even_with_a_matching_digest() -> None:
    member = new_member()
    member.observe(0.0, A, header(64))
    invalid = Checkpoint.create(Position(1, 64), b"\xff" * 100)
    assert member.handle(0.0, A, header(64), first_part(invalid)) == []
    assert member.metrics()["snapshot_invalid"] == 1 and member.position == Position()


def test_parts_of_a_different_snapshot_at_the_same_position_are_rejected() -> None:
    checkpoint, other = make_checkpoint(5_000), make_checkpoint(5_000, fill=b"y")
    member = start_transfer(checkpoint)
    run(member, 0.0, 0.13)
    member.handle(0.13, A, header(64), answer(other, SnapshotFetch(other.position, 1_000)))
    assert member.metrics()["snapshot_conflict"] == 1
    sent = [send for _, send in run(member, 0.13, 0.3)]
    assert sent and all(send.destination != A for send in sent)


@pytest.mark.parametrize(
    "part",
    [
        SnapshotPart(Position(1, 64), MAX_CONFIGURATION_BYTES + 1, 1, 0, bytes(1_000)),
        SnapshotPart(Position(1, 64), HIGHEST, 1, HIGHEST - 999, bytes(1_000)),
        SnapshotPart(Position(1, 64), 5_000, 1, 5_000, bytes(1_000)),
        SnapshotPart(Position(1, 64), 5_000, 1, 500, bytes(1_000)),  # overlaps two parts
        SnapshotPart(Position(1, 64), 5_000, 1, 0, bytes(999)),
        SnapshotPart(Position(1, 64), 5_000, 1, 0, b""),
        SnapshotPart(Position(1, 64), 5_000, 1, 4_000, bytes(1_001)),
        SnapshotPart(Position(1, 64), 5_500, 1, 5_000, bytes(1_000)),
        SnapshotPart(Position(1, 64), 0, 1, 0, b"x"),
        SnapshotPart(Position(1, 64), 0, 1, 1_000, b""),
        SnapshotPart(Position(1, 64), 5_000, 1, -1_000, bytes(1_000)),
    ],
)
def test_malformed_parts_are_counted_and_start_no_transfer(part: SnapshotPart) -> None:
    member = new_member()
    member.observe(0.0, A, header(64))
    assert member.handle(0.0, A, header(64), part) == []
    metrics = member.metrics()
    assert metrics.get("snapshot_malformed", 0) + metrics.get("snapshot_too_large", 0) == 1
    assert "snapshot_transfers" not in metrics
    checkpoint = make_checkpoint(5_000)
    receiving = start_transfer(checkpoint)
    receiving.handle(0.0, A, header(64), part)
    assert receiving.position == Position()


def test_an_empty_snapshot_is_the_empty_configuration_and_needs_its_digest() -> None:
    member = new_member()
    member.observe(0.0, A, header(64))
    member.handle(0.0, A, header(64), SnapshotPart(Position(1, 64), 0, 1, 0, b""))
    assert member.position == Position() and member.metrics()["snapshot_invalid"] == 1
    [(at, send)] = run(member, 0.0, 0.6)
    member.handle(at, send.destination, header(64), first_part(Checkpoint.create(Position(1, 64), b"")))
    assert member.position == Position(1, 64) and len(member.configuration) == 0


def test_an_unsolicited_part_or_a_known_position_starts_no_transfer() -> None:
    member = new_member()
    assert member.handle(0.0, A, header(64), first_part(make_checkpoint(5_000))) == []
    assert member.metrics()["snapshot_unsolicited"] == 1
    later = member_at(70)
    later.observe(0.0, A, header(90))
    assert later.handle(0.0, A, header(90), first_part(make_checkpoint(5_000))) == []
    assert later.metrics()["snapshot_known"] == 1


def test_a_request_with_an_invalid_offset_is_counted_and_not_answered() -> None:
    server = member_at(70)
    for offset in (1, 999, 1_000_000, HIGHEST, -1_000):
        assert server.handle(0.0, A, header(), SnapshotFetch(Position(1, 64), offset)) == []
    assert server.metrics()["snapshot_bad_offset"] == 5
    # A position that the server has not reached, and a server without any checkpoint.
    assert server.handle(0.0, A, header(), SnapshotFetch(Position(1, 128), 0)) == []
    assert new_member().handle(0.0, A, header(), SnapshotFetch(Position(), 0)) == []


def test_a_transfer_ends_when_changes_pass_its_position() -> None:
    member = start_transfer(make_checkpoint(5_000))
    assert member.observe(0.04, B, header(70)) == []  # no fetch during the transfer
    for first in range(1, 64, 9):
        member.handle(0.05, B, header(70), changes(first, first + 8))
    assert member.position == Position(1, 63)
    member.handle(0.06, B, header(70), changes(64, 66))
    sent = [send for _, send in run(member, 0.06, 0.5)]
    assert fetches(sent) and len(fetches(sent)) + len(announcements(sent)) == len(sent)
