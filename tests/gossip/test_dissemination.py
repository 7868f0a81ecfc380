"""Announcements and fetches of one member, tested with hand-made messages of its neighbours.

A change is announced once to a few members, and announcements may be lost, late, wrong or repeated. Every
member must receive the change nevertheless, and a wrong announcement must not keep it busy indefinitely.
"""

from __future__ import annotations

from random import Random

import pytest

from saltcourse.gossip.configuration import (
    MAX_LOG_CHANGES,
)
from saltcourse.gossip.dissemination import ANNOUNCE_INTERVAL_SECONDS
from saltcourse.gossip.messages import (
    MAX_CONFIGURATION_BYTES,
    Applied,
    Change,
    Changes,
    ConfigurationMessage,
    Fetch,
    Header,
    Position,
    Priority,
    ReplicaState,
    Send,
    SnapshotFetch,
    SnapshotPart,
    Write,
)
from saltcourse.gossip.snapshots import (
    SNAPSHOT_PART_BYTES,
)
from saltcourse.gossip.sources import MAX_SOURCES
from tests.gossip.dissemination_members import (
    HIGHEST,
    NEIGHBOURS,
    TIMING,
    A,
    B,
    C,
    announcements,
    change,
    changes,
    fetches,
    header,
    member_at,
    new_member,
    run,
)


def test_a_higher_position_is_fetched_from_its_sender_and_others_are_ignored() -> None:
    member = member_at(5)
    assert member.observe(0.0, A, header(5)) == member.observe(0.0, A, header(3)) == []
    sends = member.observe(0.0, A, header(6))
    assert sends == [Send(A, Fetch(Position(1, 5)), Priority.CONFIGURATION)]
    assert (
        member.observe(0.1, B, header(6)) == member.observe(0.1, B, header(7)) == []
    )  # one request at a time
    sends = member.handle(0.2, A, header(6), changes(6, 6))
    assert member.position == Position(1, 6)
    assert fetches(sends) == [Send(B, Fetch(Position(1, 6)), Priority.CONFIGURATION)]  # B has announced 7


def test_after_a_timeout_another_member_that_is_ahead_or_a_random_one_is_asked() -> None:
    member = member_at(5)
    member.observe(0.0, A, header(6))
    member.observe(0.0, B, header(6))
    requested = [send.destination for _, send in run(member, 0.0, 0.6)]
    assert requested == [B]
    member_with_one_source = member_at(5)
    member_with_one_source.observe(0.0, A, header(6))
    requested = [send.destination for _, send in run(member_with_one_source, 0.0, 0.6)]
    assert len(requested) == 1 and requested[0] != A
    assert requested[0] in {record.address for record in NEIGHBOURS}


def test_the_only_known_member_is_asked_again_after_a_timeout() -> None:
    member = new_member(neighbours=[])
    member.observe(0.0, A, header(6))
    assert [send.destination for _, send in run(member, 0.0, 1.2)] == [A, A]


def test_a_position_that_nobody_delivers_is_fetched_twice_a_second_until_it_expires() -> None:
    member = member_at(5)
    member.observe(0.0, A, header(HIGHEST, HIGHEST))
    sent = run(member, 0.0, 60.0)
    assert len(sent) <= TIMING.stale_after / TIMING.fetch_timeout
    assert max(at for at, _ in sent) < TIMING.stale_after
    assert member.metrics()["sources"] == 0
    assert fetches(member.observe(60.0, B, header(6)))  # it still fetches real changes


def test_a_false_announcement_of_the_highest_version_does_not_block_real_changes() -> None:
    member = member_at(5)
    for number in range(6, 30):
        now = float(number)
        member.observe(now, A, header(HIGHEST, HIGHEST))
        sends = member.observe(now, B, header(number))
        for _, send in [(now, send) for send in sends] + run(member, now, now + 0.9):
            if isinstance(send.message, Fetch) and send.destination == B:
                member.handle(now + 0.9, B, header(number), changes(member.position.version + 1, number))
    assert member.position.version >= 25


def test_after_an_answer_without_progress_the_next_fetch_waits_for_the_timeout() -> None:
    member = member_at(5)
    member.observe(0.0, A, header(9))
    for answer in (Changes(()), changes(1, 5), changes(7, 9), Changes((change(6, epoch=0),))):
        assert member.handle(0.1, A, header(9), answer) == []
    assert member.position == Position(1, 5)
    assert [at for at, _ in run(member, 0.1, 0.6)] == [TIMING.fetch_timeout]


def test_a_member_that_others_updated_fetches_again_before_its_request_is_answered() -> None:
    member = member_at(5)
    assert fetches(member.observe(0.0, A, header(6)))
    member.commit(0.1, change(6))
    member.handle(0.1, C, header(6), changes(6, 6))  # duplicated by the network
    assert fetches(member.observe(0.2, B, header(7)))


def test_applied_changes_are_announced_to_a_few_members_once_per_interval() -> None:
    member = member_at(0)
    assert len(announcements(member.commit(0.0, change(1)))) == TIMING.announce_fanout
    sent: list[Send] = []
    for number in range(2, 52):  # 50 changes within 50 ms
        sent += member.commit(0.001 * (number - 1), change(number))
    sent += [send for _, send in run(member, 0.05, 1.0)]
    assert len(announcements(sent)) <= 2 * TIMING.announce_fanout
    assert {send.priority for send in announcements(sent)} == {Priority.CONFIGURATION}
    last = member.metrics()["announcement_rounds"]
    assert run(member, 1.0, 5.0) == [] and member.metrics()["announcement_rounds"] == last
    assert ANNOUNCE_INTERVAL_SECONDS == 0.05


def test_a_fetched_change_is_announced_before_the_burst_has_ended() -> None:
    member = member_at(5)
    member.observe(0.0, A, header(9))
    sends = member.handle(0.1, A, header(9), changes(6, 7))
    assert len(fetches(sends)) == 1 and len(announcements(sends)) == TIMING.announce_fanout
    sends = member.handle(0.12, A, header(9), changes(8, 8))
    assert len(fetches(sends)) == 1 and not announcements(sends)  # the announcement interval is not over
    assert len(announcements(member.handle(0.2, A, header(9), changes(9, 9)))) == TIMING.announce_fanout


def test_a_burst_is_fetched_from_all_members_that_are_ahead() -> None:
    member = member_at(0)
    member.observe(0.0, A, header(50))
    member.observe(0.0, B, header(50))
    server = A
    requested = set()
    for number in range(1, 30):
        [fetch] = fetches(member.handle(0.01 * number, server, header(50), changes(number, number)))
        assert fetch.message == Fetch(Position(1, number))
        server = fetch.destination
        requested.add(server)
    assert requested == {A, B}


def test_a_voter_that_missed_a_commit_fetches_the_missing_changes() -> None:
    member = member_at(5)
    sends = member.commit(0.0, change(7))
    assert member.position == Position(1, 5) and len(fetches(sends)) == 1
    server = fetches(sends)[0].destination
    member.handle(0.1, server, header(7), changes(6, 7))
    assert member.position == Position(1, 7)


def test_rejected_changes_are_counted_by_reason() -> None:
    member = member_at(5)
    answer = Changes((change(4), change(7), change(6, epoch=0), change(5, epoch=2)))
    assert member.handle(0.0, A, header(5), answer) == []
    member.observe(0.0, A, header(7, epoch=0))
    member.observe(0.0, A, header(4, epoch=2))
    metrics = member.metrics()
    assert metrics["change_duplicate"] == metrics["change_gap"] == 1
    assert metrics["change_stale_epoch"] == metrics["change_conflict"] == 1
    assert metrics["position_stale_epoch"] == metrics["position_conflict"] == 1
    assert member.position == Position(1, 5) and member.take_actions() == []


def test_one_action_reports_all_keys_that_a_call_changed() -> None:
    member = new_member()
    member.observe(0.0, A, header(3))
    member.handle(0.1, A, header(3), changes(1, 3))
    assert member.take_actions() == [Applied(Position(1, 3), ("key1", "key2", "key3"))]
    assert member.take_actions() == []


def test_a_restored_voter_reports_and_serves_its_configuration_without_a_log() -> None:
    member = new_member()
    member.restore(0.0, ReplicaState(committed=Position(4, 100), configuration=(("a", b"1"),)))
    assert member.take_actions() == [Applied(Position(4, 100), ("a",))]
    assert member.position == Position(4, 100) and member.configuration["a"] == b"1"
    [send] = member.handle(0.1, A, header(), Fetch(Position()))
    assert isinstance(send.message, SnapshotPart) and send.message.position == Position(4, 100)


def random_message(random: Random) -> ConfigurationMessage:
    numbers = [0, 1, 2, 5, 6, 63, 64, 128, 1_000, 5_000, HIGHEST - 1, HIGHEST]

    def position() -> Position:
        return Position(random.choice(numbers), random.choice(numbers))

    writes: tuple[Write, ...] = (("k", random.choice([None, b"", bytes(900)])),)
    kind = random.randrange(4)
    if kind == 0:
        return Fetch(position())
    if kind == 1:
        return Changes(tuple(Change(position(), writes) for _ in range(random.randrange(5))))
    if kind == 2:
        return SnapshotFetch(position(), random.choice(numbers))
    size = random.choice(numbers)
    data = bytes(random.choice([0, 1, 999, 1_000, min(size, 1_000)]))
    return SnapshotPart(position(), size, random.choice(numbers), random.choice([0, 1_000, *numbers]), data)


@pytest.mark.parametrize("seed", range(4))
def test_random_messages_of_unknown_senders_neither_raise_nor_exceed_the_memory_bounds(seed: int) -> None:
    random = Random(seed)
    member = member_at(5)
    now = 0.0
    sent = 0
    handled = 0
    for _ in range(5_000):
        now += random.choice([0.0, 0.001, 0.3])
        source = f"10.9.{random.randrange(256)}.{random.randrange(256)}", 7000
        numbers = [0, 1, 4, 5, 6, 70, HIGHEST]
        position = Position(random.choice(numbers), random.choice(numbers))
        sent += len(member.observe(now, source, Header(random.getrandbits(64), 0, 0, position)))
        sent += len(member.handle(now, source, header(), random_message(random)))
        handled += 1
        if now >= member.next_deadline():
            sent += len(member.tick(now))
        metrics = member.metrics()
        assert metrics["sources"] <= MAX_SOURCES
        assert metrics["log_changes"] <= MAX_LOG_CHANGES
        assert metrics["checkpoint_bytes"] <= 2 * MAX_CONFIGURATION_BYTES
        assert len(metrics) < 50
        assert len(member.take_actions()) < 20
    # At most one answer per message, one fetch per timeout, the snapshot requests that the rate allows, and
    # the announcements.
    requests_per_s = TIMING.snapshot_bytes_per_s / SNAPSHOT_PART_BYTES + 1 / TIMING.fetch_timeout
    announced = metrics.get("announcement_rounds", 0) * TIMING.announce_fanout
    assert sent <= handled + now * requests_per_s + announced
