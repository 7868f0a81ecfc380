"""Dissemination: one member against hand-made neighbours, then simulated fleets with faults and a checker."""

from __future__ import annotations

from random import Random

import pytest

from saltcourse.emulator.simnet import Link
from saltcourse.gossip import dissemination as dissemination_module
from saltcourse.gossip.codec import HEADER_BYTES, Codec, change_size, encode_configuration
from saltcourse.gossip.configuration import (
    CHECKPOINT_INTERVAL,
    MAX_LOG_CHANGES,
    Checkpoint,
    Configuration,
    Outcome,
)
from saltcourse.gossip.dissemination import ANNOUNCE_INTERVAL_S, TICK_INTERVAL_S, Dissemination
from saltcourse.gossip.freshness import WAKE_GRACE_S
from saltcourse.gossip.messages import (
    MAX_CONFIGURATION_BYTES,
    MAX_DATAGRAM_BYTES,
    Applied,
    Change,
    Changes,
    ConfigurationMessage,
    Fetch,
    Freshness,
    FreshnessChanged,
    Gossip,
    Header,
    Heartbeat,
    MemberRecord,
    Position,
    Priority,
    ReplicaState,
    Send,
    SnapshotFetch,
    SnapshotPart,
    Write,
)
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.snapshots import (
    MAX_FAILED_SERVERS,
    MAX_OUTSTANDING_PARTS,
    SNAPSHOT_PART_BYTES,
    part_of,
)
from saltcourse.gossip.sources import MAX_SOURCES
from tests.gossip.fleet import Fleet, Member, Violation, address_of, record_of

HIGHEST = 2**32 - 1
TIMING = Timing()
A, B, C, D = (address_of(index) for index in range(1, 5))
NEIGHBOURS = [record_of(index) for index in range(1, 11)]
SCHEDULES = 12


def change(version: int, epoch: int = 1, value: bytes = b"v") -> Change:
    return Change(Position(epoch, version), ((f"key{version % 10}", value),))


def changes(first: int, last: int) -> Changes:
    return Changes(tuple(change(version) for version in range(first, last + 1)))


def header(version: int = 0, epoch: int = 1, beat: int = 0) -> Header:
    position = Position(epoch, version) if version else Position()
    return Header(1, 0, 0, position, Heartbeat(1, beat) if beat else Heartbeat())


def new_member(neighbours: list[MemberRecord] = NEIGHBOURS, timing: Timing = TIMING) -> Dissemination:
    random = Random(1)
    return Dissemination(timing, random, lambda count: random.sample(neighbours, min(count, len(neighbours))))


def member_at(version: int, now: float = 0.0, timing: Timing = TIMING) -> Dissemination:
    """Its announcements are over."""
    member = new_member(timing=timing)
    for number in range(1, version + 1):
        member.commit(now - 10.0, change(number))
    member.tick(now - 1.0)
    member.tick(now)
    member.take_actions()
    return member


def fetches(sends: list[Send]) -> list[Send]:
    return [send for send in sends if isinstance(send.message, Fetch)]


def announcements(sends: list[Send]) -> list[Send]:
    return [send for send in sends if isinstance(send.message, Gossip)]


def run(member: Dissemination, start: float, until: float) -> list[tuple[float, Send]]:
    """Tick whenever something is due; nothing is answered."""
    sent = []
    while (due := max(member.next_deadline(), start)) <= until:
        sent += [(due, send) for send in member.tick(due)]
        start = due
    return sent


# ---- announcements and fetches -----------------------------------------------------------------------


def test_a_higher_position_is_fetched_from_its_sender_and_a_lower_or_equal_one_is_passed_over() -> None:
    member = member_at(5)
    assert member.observe(0.0, A, header(5)) == member.observe(0.0, A, header(3)) == []
    sends = member.observe(0.0, A, header(6))
    assert sends == [Send(A, Fetch(Position(1, 5)), Priority.CONFIGURATION)]
    assert member.observe(0.1, B, header(6)) == member.observe(0.1, B, header(7)) == []  # one at a time
    sends = member.handle(0.2, A, header(6), changes(6, 6))
    assert member.position == Position(1, 6)
    assert fetches(sends) == [Send(B, Fetch(Position(1, 6)), Priority.CONFIGURATION)]  # B has announced 7


def test_after_a_timeout_another_announcer_is_asked_else_a_random_member() -> None:
    member = member_at(5)
    member.observe(0.0, A, header(6))
    member.observe(0.0, B, header(6))
    asked = [send.destination for _, send in run(member, 0.0, 0.6)]
    assert asked == [B]
    lonely = member_at(5)
    lonely.observe(0.0, A, header(6))
    asked = [send.destination for _, send in run(lonely, 0.0, 0.6)]
    assert len(asked) == 1 and asked[0] != A
    assert asked[0] in {record.address for record in NEIGHBOURS}


def test_a_lone_announcer_is_asked_again_where_nobody_else_is_known() -> None:
    member = new_member(neighbours=[])
    member.observe(0.0, A, header(6))
    assert [send.destination for _, send in run(member, 0.0, 1.2)] == [A, A]


def test_a_claim_that_nobody_satisfies_is_given_up_and_costs_two_fetches_a_second_until_then() -> None:
    member = member_at(5)
    member.observe(0.0, A, header(HIGHEST, HIGHEST))
    sent = run(member, 0.0, 60.0)
    assert len(sent) <= TIMING.stale_after / TIMING.fetch_timeout
    assert max(at for at, _ in sent) < TIMING.stale_after
    assert member.figures()["sources"] == 0
    assert fetches(member.observe(60.0, B, header(6)))  # and it still learns


def test_one_who_claims_the_highest_version_does_not_keep_a_member_from_the_true_ones() -> None:
    member = member_at(5)
    for number in range(6, 30):
        now = float(number)
        member.observe(now, A, header(HIGHEST, HIGHEST))
        sends = member.observe(now, B, header(number))
        for _, send in [(now, send) for send in sends] + run(member, now, now + 0.9):
            if isinstance(send.message, Fetch) and send.destination == B:
                member.handle(now + 0.9, B, header(number), changes(member.position.version + 1, number))
    assert member.position.version >= 25


def test_an_answer_without_progress_is_not_followed_by_a_fetch_before_the_timeout() -> None:
    member = member_at(5)
    member.observe(0.0, A, header(9))
    for answer in (Changes(()), changes(1, 5), changes(7, 9), Changes((change(6, epoch=0),))):
        assert member.handle(0.1, A, header(9), answer) == []
    assert member.position == Position(1, 5)
    assert [at for at, _ in run(member, 0.1, 0.6)] == [TIMING.fetch_timeout]


def test_a_member_that_was_brought_up_to_date_by_others_fetches_again_before_its_answer_comes() -> None:
    member = member_at(5)
    assert fetches(member.observe(0.0, A, header(6)))
    member.commit(0.1, change(6))
    member.handle(0.1, C, header(6), changes(6, 6))  # doubled
    assert fetches(member.observe(0.2, B, header(7)))


def test_after_applying_it_announces_to_a_few_and_in_a_burst_once_each_interval() -> None:
    member = member_at(0)
    assert len(announcements(member.commit(0.0, change(1)))) == TIMING.announce_fanout
    sent: list[Send] = []
    for number in range(2, 52):  # 50 changes within 50 ms
        sent += member.commit(0.001 * (number - 1), change(number))
    sent += [send for _, send in run(member, 0.05, 1.0)]
    assert len(announcements(sent)) <= 2 * TIMING.announce_fanout
    assert {send.priority for send in announcements(sent)} == {Priority.CONFIGURATION}
    last = member.figures()["announcement_rounds"]
    assert run(member, 1.0, 5.0) == [] and member.figures()["announcement_rounds"] == last
    assert ANNOUNCE_INTERVAL_S == 0.05


def test_a_fetched_change_is_announced_also_while_more_are_coming() -> None:
    member = member_at(5)
    member.observe(0.0, A, header(9))
    sends = member.handle(0.1, A, header(9), changes(6, 7))
    assert len(fetches(sends)) == 1 and len(announcements(sends)) == TIMING.announce_fanout
    sends = member.handle(0.12, A, header(9), changes(8, 8))
    assert len(fetches(sends)) == 1 and not announcements(sends)  # not before the interval is over
    assert len(announcements(member.handle(0.2, A, header(9), changes(9, 9)))) == TIMING.announce_fanout


def test_a_burst_is_fetched_from_any_that_is_ahead_not_from_the_first_alone() -> None:
    member = member_at(0)
    member.observe(0.0, A, header(50))
    member.observe(0.0, B, header(50))
    server = A
    asked = set()
    for number in range(1, 30):
        [fetch] = fetches(member.handle(0.01 * number, server, header(50), changes(number, number)))
        assert fetch.message == Fetch(Position(1, number))
        server = fetch.destination
        asked.add(server)
    assert asked == {A, B}


def test_a_control_member_that_missed_a_commit_fetches_what_lies_before() -> None:
    member = member_at(5)
    sends = member.commit(0.0, change(7))
    assert member.position == Position(1, 5) and len(fetches(sends)) == 1
    server = fetches(sends)[0].destination
    member.handle(0.1, server, header(7), changes(6, 7))
    assert member.position == Position(1, 7)


def test_an_answer_holds_as_many_consecutive_changes_as_one_datagram_does() -> None:
    codec = Codec(b"k" * 32)
    for size in (1, 60, 200, 500, 950):
        server = new_member()
        for number in range(1, 60):
            server.commit(0.0, change(number, value=bytes(size)))
        [send] = server.handle(0.0, A, header(3), Fetch(Position(1, 3)))
        assert send.destination == A and send.priority is Priority.CONFIGURATION
        assert isinstance(send.message, Changes)
        versions = [one.position.version for one in send.message.changes]
        assert versions == list(range(4, 4 + len(versions)))
        assert len(codec.encode(header(59), send.message)) <= MAX_DATAGRAM_BYTES
        room = MAX_DATAGRAM_BYTES - HEADER_BYTES
        per_change = change_size(change(11, value=bytes(size)))
        assert len(versions) == min(56, max((room - 40) // per_change, 1))


def test_a_fetch_is_not_answered_for_one_that_is_not_behind_or_of_another_sequence() -> None:
    server = member_at(5)
    for after in (Position(1, 5), Position(1, 6), Position(0, 9), Position(HIGHEST, HIGHEST)):
        assert server.handle(0.0, A, header(), Fetch(after)) == []
    assert "fetch_conflict" not in server.figures()
    assert server.handle(0.0, A, header(), Fetch(Position(0, 4))) == []
    assert server.handle(0.0, A, header(), Fetch(Position(2, 3))) == []
    assert server.figures()["fetch_conflict"] == 2


def test_a_fetch_from_before_the_log_is_answered_with_the_newest_checkpoint() -> None:
    server = member_at(MAX_LOG_CHANGES + 1)
    [send] = server.handle(0.0, A, header(), Fetch(Position()))
    assert isinstance(send.message, SnapshotPart) and send.priority is Priority.BULK
    assert send.message.position == Position(1, MAX_LOG_CHANGES) and send.message.offset == 0
    [send] = server.handle(0.0, A, header(), Fetch(Position(1, 1)))
    assert isinstance(send.message, Changes)


def test_refused_changes_are_counted_by_their_reason() -> None:
    member = member_at(5)
    answer = Changes((change(4), change(7), change(6, epoch=0), change(5, epoch=2)))
    assert member.handle(0.0, A, header(5), answer) == []
    member.observe(0.0, A, header(7, epoch=0))
    member.observe(0.0, A, header(4, epoch=2))
    figures = member.figures()
    assert figures["change_duplicate"] == figures["change_gap"] == 1
    assert figures["change_stale_epoch"] == figures["change_conflict"] == 1
    assert figures["position_stale_epoch"] == figures["position_conflict"] == 1
    assert member.position == Position(1, 5) and member.take_actions() == []


# ---- actions -----------------------------------------------------------------------------------------


def test_one_action_tells_what_a_call_has_changed() -> None:
    member = new_member()
    member.observe(0.0, A, header(3))
    member.handle(0.1, A, header(3), changes(1, 3))
    assert member.take_actions() == [Applied(Position(1, 3), ("key1", "key2", "key3"))]
    assert member.take_actions() == []


def test_a_restored_control_member_tells_its_configuration_and_serves_it_without_a_log() -> None:
    member = new_member()
    member.restore(0.0, ReplicaState(committed=Position(4, 100), configuration=(("a", b"1"),)))
    assert member.take_actions() == [Applied(Position(4, 100), ("a",))]
    assert member.position == Position(4, 100) and member.configuration["a"] == b"1"
    [send] = member.handle(0.1, A, header(), Fetch(Position()))
    assert isinstance(send.message, SnapshotPart) and send.message.position == Position(4, 100)


# ---- freshness ---------------------------------------------------------------------------------------


def states(member: Dissemination) -> list[Freshness]:
    return [one.freshness for one in member.take_actions() if isinstance(one, FreshnessChanged)]


def test_a_member_is_stale_until_the_first_heartbeat_and_again_without_a_higher_one() -> None:
    member = new_member()
    assert member.freshness is Freshness.STALE and run(member, 0.0, 30.0) == [] and states(member) == []
    member.observe(30.0, A, header(beat=1))
    assert states(member) == [Freshness.CURRENT] and member.heartbeat == Heartbeat(1, 1)
    run(member, 30.0, 39.0)
    member.observe(39.0, B, header(beat=1))  # the same again is no news
    run(member, 39.0, 39.99)
    assert states(member) == []
    run(member, 39.99, 40.0)
    assert states(member) == [Freshness.STALE] and member.freshness is Freshness.STALE


def test_a_member_is_behind_while_a_higher_version_is_known() -> None:
    member = new_member()
    member.observe(0.0, A, header(beat=1))
    member.observe(0.1, A, header(2, beat=1))
    member.handle(0.2, A, header(2), changes(1, 1))
    assert states(member) == [Freshness.CURRENT, Freshness.BEHIND]
    member.handle(0.3, A, header(2), changes(2, 2))
    assert states(member) == [Freshness.CURRENT]
    run(member, 0.3, 9.0)
    member.observe(9.0, A, header(3, beat=1))
    run(member, 9.0, 10.0)
    assert states(member) == [Freshness.BEHIND, Freshness.STALE]  # what is lacking may be more than that


def test_heartbeats_go_forward_by_epoch_and_count_and_one_of_a_replaced_publisher_is_none() -> None:
    member = new_member()
    member.advance_heartbeat(0.0, Heartbeat(2, 5))
    for older in (Heartbeat(1, 99), Heartbeat(2, 4), Heartbeat(2, 5), Heartbeat()):
        member.observe(1.0, A, Header(1, 0, 0, Position(), older))
        assert member.heartbeat == Heartbeat(2, 5)
    member.advance_heartbeat(1.0, Heartbeat(3, 1))
    assert member.heartbeat == Heartbeat(3, 1)
    member.commit(2.0, change(1, epoch=7))
    member.advance_heartbeat(9.0, Heartbeat(6, 100))  # its publisher ended before the change of epoch 7
    assert member.heartbeat == Heartbeat(3, 1)
    run(member, 9.0, 11.0)
    assert member.freshness is Freshness.STALE


def test_a_new_heartbeat_is_passed_on_once_to_one_member() -> None:
    member = new_member()
    assert len(announcements(member.observe(0.0, A, header(beat=1)))) == 1
    assert member.observe(0.0, B, header(beat=1)) == []


def test_a_process_that_stood_still_is_stale_at_once_and_old_datagrams_do_not_alter_that() -> None:
    member = new_member()
    member.observe(0.0, A, header(beat=1))
    run(member, 0.0, 2.0)
    states(member)
    due = member.next_deadline()
    assert due <= 2.0 + TICK_INTERVAL_S
    woken = due + TIMING.stall + 0.01
    member.observe(woken, A, header(beat=2))  # it waited in the socket since before
    member.tick(woken)
    assert states(member) == [Freshness.STALE] and member.heartbeat == Heartbeat(1, 2)
    member.observe(woken + WAKE_GRACE_S, A, header(beat=2))
    assert states(member) == []
    member.observe(woken + WAKE_GRACE_S, A, header(beat=3))
    assert states(member) == [Freshness.CURRENT]


def test_a_tick_that_is_a_little_late_is_no_standstill() -> None:
    member = new_member()
    member.observe(0.0, A, header(beat=1))
    member.tick(0.5)
    states(member)
    member.tick(member.next_deadline() + TIMING.stall - 0.01)
    assert states(member) == [] and member.freshness is Freshness.CURRENT


def test_the_wire_of_a_member_at_rest_is_silent_and_it_ticks_once_a_second() -> None:
    member = member_at(5)
    member.observe(0.0, A, header(5, beat=1))
    ticks = 0
    now = 0.0
    while (now := member.next_deadline()) <= 60.0:
        assert member.tick(now) == []
        ticks += 1
    assert ticks <= 62


# ---- snapshots ---------------------------------------------------------------------------------------


def checkpoint_of(size: int, version: int = CHECKPOINT_INTERVAL, fill: bytes = b"x") -> Checkpoint:
    items: list[tuple[str, bytes]] = []
    for number in range(size // 500):
        items.append((f"k{number:04}", fill * (500 - 3 - 5)))
    return Checkpoint.of(Position(1, version), encode_configuration(items))


def answer(checkpoint: Checkpoint, message: SnapshotFetch) -> SnapshotPart:
    assert message.position == checkpoint.position
    part = part_of(checkpoint, message.offset)
    assert part is not None
    return part


def first_part(checkpoint: Checkpoint) -> SnapshotPart:
    part = part_of(checkpoint, 0)
    assert part is not None
    return part


def begin_transfer(checkpoint: Checkpoint, timing: Timing = TIMING) -> Dissemination:
    member = new_member(timing=timing)
    assert fetches(member.observe(0.0, A, header(checkpoint.position.version)))
    assert member.handle(0.0, A, header(checkpoint.position.version), first_part(checkpoint)) == []
    return member


def test_parts_are_asked_one_after_another_at_the_stated_pace_and_applied_when_whole() -> None:
    checkpoint = checkpoint_of(20_000)
    member = begin_transfer(checkpoint)
    asked: list[tuple[float, int]] = []
    now = 0.0
    while member.position == Position():
        now = member.next_deadline()
        for send in member.tick(now):
            assert isinstance(send.message, SnapshotFetch) and send.priority is Priority.BULK
            assert send.destination == A
            asked.append((now, send.message.offset))
            member.handle(now, A, header(64), answer(checkpoint, send.message))
    interval = SNAPSHOT_PART_BYTES / TIMING.snapshot_bytes_per_s
    assert [offset for _, offset in asked] == list(range(1_000, 20_000, 1_000))
    assert [at for at, _ in asked] == pytest.approx([interval * number for number in range(1, 20)])
    assert dict(member.configuration) == dict(
        zip((f"k{n:04}" for n in range(40)), [b"x" * 492] * 40, strict=True)
    )
    assert [type(one) for one in member.take_actions()] == [Applied]
    [send] = member.handle(now, B, header(), SnapshotFetch(Position(), 0))  # and it can serve it now
    assert send.message == first_part(checkpoint)


def test_a_few_parts_are_outstanding_at_most_and_lost_ones_are_asked_of_others() -> None:
    timing = Timing(snapshot_bytes_per_s=100_000.0)
    checkpoint = checkpoint_of(20_000)
    member = begin_transfer(checkpoint, timing)
    sent = run(member, 0.0, timing.fetch_timeout - 0.01)
    assert [send.message for _, send in sent] == [
        SnapshotFetch(checkpoint.position, 1_000 * number) for number in range(1, 1 + MAX_OUTSTANDING_PARTS)
    ]
    again = [send for _, send in run(member, 0.49, 0.6)]
    assert {send.destination for send in again}.isdisjoint({A})
    assert {send.message for send in again} == {send.message for _, send in sent}


def test_a_transfer_that_nobody_answers_goes_back_to_fetching_and_keeps_its_parts() -> None:
    checkpoint = checkpoint_of(10_000)
    member = begin_transfer(checkpoint)
    member.handle(0.1, A, header(64), answer(checkpoint, SnapshotFetch(checkpoint.position, 5_000)))
    sent = run(member, 0.1, 9.0)
    assert len({send.destination for _, send in sent if isinstance(send.message, SnapshotFetch)}) >= 3
    assert any(isinstance(send.message, Fetch) for _, send in sent)
    assert len(sent) < 9.0 * 8  # no more than the pace
    assert [send for _, send in run(member, 9.0, 100.0)] != sent and member.figures()["sources"] == 0
    assert run(member, 100.0, 200.0) == []
    assert fetches(member.observe(200.0, B, header(64)))
    member.handle(200.1, B, header(64), first_part(checkpoint))
    asked = set()
    while member.position == Position():
        now = member.next_deadline()
        for send in member.tick(now):
            assert isinstance(send.message, SnapshotFetch)
            asked.add(send.message.offset)
            member.handle(now, B, header(64), answer(checkpoint, send.message))
    assert asked == set(range(1_000, 10_000, 1_000)) - {5_000}


def test_a_server_whose_checkpoint_moved_on_is_left_for_another_that_has_it() -> None:
    old, new = checkpoint_of(5_000), checkpoint_of(5_000, version=128, fill=b"y")
    member = begin_transfer(old)
    [(now, send)] = run(member, 0.0, 0.13)
    member.handle(now, A, header(200), first_part(new))
    sent = [send for _, send in run(member, now, 0.3) if isinstance(send.message, SnapshotFetch)]
    assert sent and all(one.destination != A and one.message.position == old.position for one in sent)
    assert sent[0].message == send.message  # the same part
    assert member.figures()["snapshot_moved_on"] == 1


def test_a_snapshot_that_nobody_has_any_more_is_dropped_for_the_newer() -> None:
    old, new = checkpoint_of(5_000), checkpoint_of(5_000, version=128, fill=b"y")
    member = begin_transfer(old)
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
    assert member.figures()["snapshot_moved_on"] == MAX_FAILED_SERVERS


def test_a_wrong_digest_drops_the_snapshot_and_another_member_is_asked_after_a_pause() -> None:
    checkpoint = checkpoint_of(2_000)
    member = begin_transfer(checkpoint)
    [(now, send)] = run(member, 0.0, 0.13)
    good = answer(checkpoint, SnapshotFetch(checkpoint.position, 1_000))
    spoiled = SnapshotPart(good.position, good.size, good.digest, 1_000, b"z" + good.data[1:])
    assert member.handle(now, A, header(64), spoiled) == []
    assert member.position == Position() and member.take_actions() == []
    assert member.figures()["snapshot_invalid"] == 1
    [(at, send)] = run(member, now, now + 0.6)
    assert isinstance(send.message, Fetch) and send.destination != A
    assert at == pytest.approx(now + TIMING.fetch_timeout)
    member.handle(at, send.destination, header(64), first_part(checkpoint))
    [(at, again)] = run(member, at, at + 0.13)
    member.handle(at, again.destination, header(64), good)
    assert member.position == checkpoint.position


def test_a_digest_that_fits_bytes_which_are_no_configuration_is_refused_as_well() -> None:
    member = new_member()
    member.observe(0.0, A, header(64))
    bogus = Checkpoint.of(Position(1, 64), b"\xff" * 100)
    assert member.handle(0.0, A, header(64), first_part(bogus)) == []
    assert member.figures()["snapshot_invalid"] == 1 and member.position == Position()


def test_parts_of_other_bytes_for_the_same_position_are_counted_and_refused() -> None:
    checkpoint, other = checkpoint_of(5_000), checkpoint_of(5_000, fill=b"y")
    member = begin_transfer(checkpoint)
    run(member, 0.0, 0.13)
    member.handle(0.13, A, header(64), answer(other, SnapshotFetch(other.position, 1_000)))
    assert member.figures()["snapshot_conflict"] == 1
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
def test_malformed_parts_are_counted_and_begin_no_transfer(part: SnapshotPart) -> None:
    member = new_member()
    member.observe(0.0, A, header(64))
    assert member.handle(0.0, A, header(64), part) == []
    figures = member.figures()
    assert figures.get("snapshot_malformed", 0) + figures.get("snapshot_too_large", 0) == 1
    assert "snapshot_transfers" not in figures
    checkpoint = checkpoint_of(5_000)
    busy = begin_transfer(checkpoint)
    busy.handle(0.0, A, header(64), part)
    assert busy.position == Position()


def test_a_snapshot_of_size_0_is_the_empty_configuration_and_must_have_its_digest() -> None:
    member = new_member()
    member.observe(0.0, A, header(64))
    member.handle(0.0, A, header(64), SnapshotPart(Position(1, 64), 0, 1, 0, b""))
    assert member.position == Position() and member.figures()["snapshot_invalid"] == 1
    [(at, send)] = run(member, 0.0, 0.6)
    member.handle(at, send.destination, header(64), first_part(Checkpoint.of(Position(1, 64), b"")))
    assert member.position == Position(1, 64) and len(member.configuration) == 0


def test_a_part_that_nobody_asked_for_or_of_a_known_position_begins_no_transfer() -> None:
    member = new_member()
    assert member.handle(0.0, A, header(64), first_part(checkpoint_of(5_000))) == []
    assert member.figures()["snapshot_unsolicited"] == 1
    later = member_at(70)
    later.observe(0.0, A, header(90))
    assert later.handle(0.0, A, header(90), first_part(checkpoint_of(5_000))) == []
    assert later.figures()["snapshot_known"] == 1


def test_a_part_request_outside_the_snapshot_is_counted_and_not_answered() -> None:
    server = member_at(70)
    for offset in (1, 999, 1_000_000, HIGHEST, -1_000):
        assert server.handle(0.0, A, header(), SnapshotFetch(Position(1, 64), offset)) == []
    assert server.figures()["snapshot_bad_offset"] == 5
    # Of a position that it has not come to, or has no checkpoint of.
    assert server.handle(0.0, A, header(), SnapshotFetch(Position(1, 128), 0)) == []
    assert new_member().handle(0.0, A, header(), SnapshotFetch(Position(), 0)) == []


def test_changes_that_overtake_a_transfer_end_it() -> None:
    member = begin_transfer(checkpoint_of(5_000))
    assert member.observe(0.04, B, header(70)) == []  # not while the transfer goes on
    for first in range(1, 64, 9):
        member.handle(0.05, B, header(70), changes(first, first + 8))
    assert member.position == Position(1, 63)
    member.handle(0.06, B, header(70), changes(64, 66))
    sent = [send for _, send in run(member, 0.06, 0.5)]
    assert fetches(sent) and len(fetches(sent)) + len(announcements(sent)) == len(sent)


# ---- bounds ------------------------------------------------------------------------------------------


def hostile_message(random: Random) -> ConfigurationMessage:
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
def test_nothing_that_a_stranger_sends_raises_or_makes_the_state_grow(seed: int) -> None:
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
        sent += len(member.handle(now, source, header(), hostile_message(random)))
        handled += 1
        if now >= member.next_deadline():
            sent += len(member.tick(now))
        figures = member.figures()
        assert figures["sources"] <= MAX_SOURCES
        assert figures["log_changes"] <= MAX_LOG_CHANGES
        assert figures["checkpoint_bytes"] <= 2 * MAX_CONFIGURATION_BYTES
        assert len(figures) < 50
        assert len(member.take_actions()) < 20
    # At most one answer for each message, one fetch each timeout, and what the pace of a snapshot allows.
    pace = TIMING.snapshot_bytes_per_s / SNAPSHOT_PART_BYTES + 1 / TIMING.fetch_timeout
    rounds = figures.get("announcement_rounds", 0) * TIMING.announce_fanout
    assert sent <= handled + now * pace + rounds


# ---- fleets ------------------------------------------------------------------------------------------


def fill(fleet: Fleet, count: int, keys: int, size: int) -> None:
    """Publish ``count`` changes of a few keys at once."""
    for _ in range(count):
        number = fleet.position.version
        fleet.publish((f"key{number % keys:03}", number.to_bytes(4, "big") + bytes(size - 4)))


def sent_and_received(member: Member) -> int:
    return member.sent_bytes + member.received_bytes


def test_fifty_changes_reach_a_hundred_members_once_each(record_property: pytest.RecordProperty) -> None:
    fleet = Fleet(1, 100, link=Link(loss=0.01))
    fleet.start_all()
    fleet.beat_every(1.0, 8.0)
    fleet.net.run(2.0)
    before = {member.record.name: sent_and_received(member) for member in fleet.live()}
    for _ in range(50):
        fill(fleet, 1, keys=25, size=200)
        fleet.net.run(fleet.net.now + 0.05)
    fleet.net.run(8.0)
    assert fleet.agreed()
    receivers = fleet.live()[fleet.voters :]
    copies = [sum(member.received_changes.values()) / 50 for member in receivers]
    cost = [sent_and_received(member) - before[member.record.name] for member in fleet.live()]
    record_property("copies_mean", sum(copies) / len(copies))
    record_property("copies_max", max(copies))
    record_property("bytes_mean", sum(cost) / len(cost))
    record_property("bytes_max", max(cost))
    assert min(copies) >= 1.0
    assert sum(copies) / len(copies) < 1.1 and max(copies) < 1.5
    # Measured 61,000 on average and 107,000 at most, with 6 s of probes and heartbeats.
    assert sum(cost) / len(cost) < 80_000 and max(cost) < 125_000


def heartbeat_delays(fleet: Fleet, beat: int) -> list[float]:
    """Of one heartbeat to all members, from when the publisher has it."""
    reached: dict[str, float] = {}
    start = fleet.net.now
    while len(reached) < len(fleet.hosts):
        for member in fleet.live():
            if member.dissemination.heartbeat.count >= beat:
                reached.setdefault(member.record.name, fleet.net.now - start)
        fleet.net.run(fleet.net.now + 0.05)
    return sorted(reached.values())


@pytest.mark.parametrize(("fanout", "fast"), [(0, False), (1, True)])
def test_heartbeats_reach_490_members_in_time_because_they_are_passed_on(
    fanout: int, fast: bool, monkeypatch: pytest.MonkeyPatch, record_property: pytest.RecordProperty
) -> None:
    monkeypatch.setattr(dissemination_module, "HEARTBEAT_FANOUT", fanout)
    fleet = Fleet(3, 490, link=Link(delay=(0.0005, 0.04), loss=0.01))
    fleet.start_all()
    fleet.net.run(1.0)
    fleet.beat()
    delays = heartbeat_delays(fleet, 1)
    p99 = delays[int(len(delays) * 0.99)]
    for name, value in (("p50", delays[len(delays) // 2]), ("p99", p99), ("max", delays[-1])):
        record_property(name, round(value, 2))
    assert (p99 < 4.0) if fast else (p99 > 5.0)  # without it above the 5 s that are aimed at


@pytest.mark.parametrize("seed", [4, 5, 6])
def test_a_cut_off_part_knows_that_it_lacks_news_and_is_current_again_after_the_cut(seed: int) -> None:
    fleet = Fleet(seed, 30, link=Link(loss=0.01))
    fleet.start_all()
    fleet.beat_every(1.0, 60.0)
    fleet.net.run(10.0)
    assert {member.dissemination.freshness for member in fleet.live()} == {Freshness.CURRENT}
    fleet.isolate(set(range(20, 30)))
    fill(fleet, 3, keys=3, size=100)
    fleet.net.run(30.0)
    cut_off, others = fleet.live()[20:], fleet.live()[:20]
    for member in cut_off:
        # Exactly so long after the last heartbeat that came. In this part, where two probes of three are
        # lost to the cut, the last one of before goes around for some seconds: 8.5 s at most in 60 trials.
        at, freshness = member.freshness[-1]
        assert freshness is Freshness.STALE
        assert at == pytest.approx(member.heartbeat_at + fleet.timing.stale_after)
        assert member.heartbeat_at < 17.0
        assert member.dissemination.position.version == 0
    assert {member.dissemination.freshness for member in others} == {Freshness.CURRENT}
    assert {member.dissemination.position.version for member in others} == {3}
    fleet.net.heal()
    fleet.net.run(45.0)
    assert fleet.agreed()
    assert {member.dissemination.freshness for member in fleet.live()} == {Freshness.CURRENT}


@pytest.mark.parametrize(
    ("rate", "link"),
    [
        (8_000.0, Link(delay=(0.0002, 0.004))),
        (8_000.0, Link(delay=(0.038, 0.042), loss=0.01)),
        (30_000.0, Link(delay=(0.038, 0.042))),  # one part a round trip would be 12,500 bytes a second
    ],
)
def test_a_late_joiner_has_the_snapshot_in_its_stated_time_and_then_what_came_meanwhile(
    rate: float, link: Link
) -> None:
    fleet = Fleet(5, 12, link=link, timing=Timing(snapshot_bytes_per_s=rate))
    for index in range(11):
        fleet.start(index)
    for _ in range(14):
        fill(fleet, 10, keys=100, size=500)
        fleet.net.run(fleet.net.now + 0.2)
    fleet.net.run(fleet.net.now + 5.0)
    assert fleet.agreed() and fleet.position.version == 140
    joiner = fleet.start(11).dissemination
    while joiner.figures().get("snapshot_transfers", 0) == 0:
        fleet.net.run(fleet.net.now + 0.01)
    began = fleet.net.now
    size = len(encode_configuration(fleet.history[Position(1, 128)].items()))
    fill(fleet, 20, keys=100, size=500)  # while the transfer goes on
    while joiner.position == Position():
        fleet.net.run(fleet.net.now + 0.01)
    took = fleet.net.now - began
    stated = size / rate
    assert fleet.live()[11].applied[0] == Position(1, 128)
    assert stated - 0.2 < took < stated * 1.05 + 0.1 + (fleet.timing.fetch_timeout if link.loss else 0.0)
    fleet.net.run(fleet.net.now + 2.0)
    assert fleet.agreed()
    parts = -(-size // SNAPSHOT_PART_BYTES)
    received = fleet.live()[11].received_types["SnapshotPart"]
    assert parts <= received <= parts * 1.05 + 2


def test_a_fleet_whose_control_members_all_restarted_serves_members_that_know_nothing() -> None:
    fleet = Fleet(6, 8)
    fleet.start_all()
    for _ in range(10):
        fill(fleet, 10, keys=20, size=200)
        fleet.net.run(fleet.net.now + 0.2)
    fleet.net.run(fleet.net.now + 3.0)
    assert fleet.agreed() and fleet.position.version == 100
    for index in range(8):
        fleet.crash(index)
    fleet.start_all()  # no log anywhere, and no checkpoint at a multiple of 64
    fleet.net.run(fleet.net.now + 5.0)
    assert fleet.agreed()


# ---- schedules of faults -----------------------------------------------------------------------------


class GapTwin(Configuration):
    """Broken: applies a change also where the one before it is missing."""

    def check(self, change: Change) -> Outcome:
        outcome = super().check(change)
        return Outcome.APPLIED if outcome is Outcome.GAP else outcome


class OlderTwin(Configuration):
    """Broken: applies a change of an earlier position over a later one."""

    def check(self, change: Change) -> Outcome:
        older = change.position.version < self.position.version
        return Outcome.APPLIED if older else super().check(change)


class Schedule:
    """Members with loss, doubling and reordering; cuts, standstills, crashes and late joiners."""

    members = 9
    voters = 3
    length = 25.0

    def __init__(self, seed: int, configuration: type[Configuration]) -> None:
        self.random = Random(seed)
        delay = self.random.choice([(0.0002, 0.004), (0.001, 0.3)])  # the latter reorders much
        link = Link(delay=delay, loss=self.random.choice([0.0, 0.01, 0.1]), double=0.1)
        timing = Timing(snapshot_bytes_per_s=20_000.0)
        self.fleet = Fleet(
            seed, self.members, link=link, voters=self.voters, timing=timing, configuration=configuration
        )
        self.fleet.commit_loss = 0.3

    def play(self) -> Fleet:
        fleet = self.fleet
        for index in range(self.members):
            if index < self.voters or self.random.random() < 0.6:
                fleet.start(index)
        fleet.beat_every(1.0, self.length + 40.0)
        while fleet.net.now < self.length:
            self.random.choice(
                [self.publish, self.publish, self.cut, self.standstill, self.crash, self.join]
            )()
            fleet.net.run(fleet.net.now + self.random.uniform(0.0, 1.5))
        self.quiet()
        return fleet

    def publish(self) -> None:
        if self.random.random() < 0.2:
            self.fleet.epoch += 1
        for _ in range(self.random.choice([1, 5, 40])):
            key = f"key{self.random.randrange(30):02}"
            value = None if self.random.random() < 0.2 else self.random.randbytes(self.random.randrange(300))
            self.fleet.publish((key, value))
            if self.random.random() < 0.5:
                self.fleet.net.run(self.fleet.net.now + 0.02)

    def cut(self) -> None:
        if self.fleet.net.cuts:
            self.fleet.net.heal()
        else:
            self.fleet.isolate(set(self.random.sample(range(self.members), self.random.randrange(1, 5))))

    def standstill(self) -> None:
        host = self.random.choice(self.fleet.hosts)
        if host.stopped:
            self.fleet.net.go_on(host)
        elif host.alive:
            self.fleet.net.stop(host)

    def crash(self) -> None:
        index = self.random.randrange(self.members)
        if self.fleet.hosts[index].alive:
            self.fleet.crash(index)

    def join(self) -> None:
        for index, host in enumerate(self.fleet.hosts):
            if not host.alive:
                self.fleet.start(index)
                return

    def settled(self) -> bool:
        fresh = all(member.dissemination.freshness is Freshness.CURRENT for member in self.fleet.live())
        return fresh and self.fleet.agreed()

    def quiet(self) -> None:
        """All is mended; within half a minute all must agree."""
        self.fleet.net.heal()
        for index, host in enumerate(self.fleet.hosts):
            if host.stopped:
                self.fleet.net.go_on(host)
            if not host.alive:
                self.fleet.start(index)
        end = self.fleet.net.now + 30.0
        while not self.settled() and self.fleet.net.now < end:
            self.fleet.net.run(self.fleet.net.now + 0.5)
        for member in self.fleet.live():
            found = member.dissemination
            if found.position != self.fleet.position:
                raise Violation(f"{member.record.name} is still at {found.position} of {self.fleet.position}")
            if found.freshness is not Freshness.CURRENT:
                raise Violation(f"{member.record.name} is {found.freshness.name}")


def test_no_schedule_of_faults_breaks_a_rule() -> None:
    versions = 0
    snapshots = 0
    for seed in range(SCHEDULES):
        fleet = Schedule(seed, Configuration).play()
        versions += fleet.position.version
        snapshots += sum(member.dissemination.figures().get("snapshot_applied", 0) for member in fleet.live())
    assert versions > SCHEDULES * 50 and snapshots > SCHEDULES  # they did something


@pytest.mark.parametrize("broken", [GapTwin, OlderTwin])
def test_schedules_find_a_broken_configuration(broken: type[Configuration]) -> None:
    with pytest.raises(Violation, match="another configuration|went from"):
        for seed in range(SCHEDULES):
            Schedule(seed, broken).play()


def test_one_seed_replays_everything() -> None:
    def trace() -> list[tuple[str, Position, int, int]]:
        fleet = Schedule(2, Configuration).play()
        return [
            (member.record.name, member.last_applied, member.sent_bytes, member.received_bytes)
            for member in fleet.live()
        ]

    assert trace() == trace()
