"""Whether a member knows that it may be behind.

The story: a member is cut off or stopped. Nobody can notify it; it must notice by the missing
heartbeats, and must not take old datagrams that waited in its socket for news.
"""

from __future__ import annotations

from saltcourse.gossip.dissemination import TICK_INTERVAL_SECONDS, Dissemination
from saltcourse.gossip.freshness import WAKE_GRACE_SECONDS
from saltcourse.gossip.messages import (
    Freshness,
    FreshnessChanged,
    Header,
    Heartbeat,
    Position,
)
from tests.gossip.dissemination_members import (
    TIMING,
    A,
    B,
    announcements,
    change,
    changes,
    header,
    member_at,
    new_member,
    run,
)


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
    assert due <= 2.0 + TICK_INTERVAL_SECONDS
    woken = due + TIMING.stall + 0.01
    member.observe(woken, A, header(beat=2))  # it waited in the socket since before
    member.tick(woken)
    assert states(member) == [Freshness.STALE] and member.heartbeat == Heartbeat(1, 2)
    member.observe(woken + WAKE_GRACE_SECONDS, A, header(beat=2))
    assert states(member) == []
    member.observe(woken + WAKE_GRACE_SECONDS, A, header(beat=3))
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
