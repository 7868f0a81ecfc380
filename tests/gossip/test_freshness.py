"""Freshness: whether a member detects that it may be behind.

A member that is cut off or stopped can't be notified. It must detect the missing heartbeats itself, and must
not take old datagrams that were queued in its socket for new ones.
"""

from __future__ import annotations

from saltcourse.gossip.dissemination import TICK_INTERVAL_SECONDS, Dissemination
from saltcourse.gossip.freshness import STALL_GRACE_SECONDS
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
    return [action.freshness for action in member.take_actions() if isinstance(action, FreshnessChanged)]


def test_a_member_is_stale_before_the_first_heartbeat_and_when_no_higher_one_follows() -> None:
    member = new_member()
    assert member.freshness is Freshness.STALE and run(member, 0.0, 30.0) == [] and states(member) == []
    member.observe(30.0, A, header(heartbeat=1))
    assert states(member) == [Freshness.CURRENT] and member.heartbeat == Heartbeat(1, 1)
    run(member, 30.0, 39.0)
    member.observe(39.0, B, header(heartbeat=1))  # a repeated heartbeat is not new
    run(member, 39.0, 39.99)
    assert states(member) == []
    run(member, 39.99, 40.0)
    assert states(member) == [Freshness.STALE] and member.freshness is Freshness.STALE


def test_a_member_is_behind_while_a_higher_version_is_known() -> None:
    member = new_member()
    member.observe(0.0, A, header(heartbeat=1))
    member.observe(0.1, A, header(2, heartbeat=1))
    member.handle(0.2, A, header(2), changes(1, 1))
    assert states(member) == [Freshness.CURRENT, Freshness.BEHIND]
    member.handle(0.3, A, header(2), changes(2, 2))
    assert states(member) == [Freshness.CURRENT]
    run(member, 0.3, 9.0)
    member.observe(9.0, A, header(3, heartbeat=1))
    run(member, 9.0, 10.0)
    assert states(member) == [Freshness.BEHIND, Freshness.STALE]  # even newer versions may exist


def test_heartbeats_are_ordered_by_epoch_and_count_and_replaced_publishers_are_ignored() -> None:
    member = new_member()
    member.advance_heartbeat(0.0, Heartbeat(2, 5))
    for older in (Heartbeat(1, 99), Heartbeat(2, 4), Heartbeat(2, 5), Heartbeat()):
        member.observe(1.0, A, Header(1, 0, 0, Position(), older))
        assert member.heartbeat == Heartbeat(2, 5)
    member.advance_heartbeat(1.0, Heartbeat(3, 1))
    assert member.heartbeat == Heartbeat(3, 1)
    member.commit(2.0, change(1, epoch=7))
    member.advance_heartbeat(9.0, Heartbeat(6, 100))  # its publisher was replaced before epoch 7
    assert member.heartbeat == Heartbeat(3, 1)
    run(member, 9.0, 11.0)
    assert member.freshness is Freshness.STALE


def test_a_new_heartbeat_is_forwarded_once_to_one_member() -> None:
    member = new_member()
    assert len(announcements(member.observe(0.0, A, header(heartbeat=1)))) == 1
    assert member.observe(0.0, B, header(heartbeat=1)) == []


def test_a_stalled_process_is_stale_immediately_despite_old_datagrams() -> None:
    member = new_member()
    member.observe(0.0, A, header(heartbeat=1))
    run(member, 0.0, 2.0)
    states(member)
    deadline = member.next_deadline()
    assert deadline <= 2.0 + TICK_INTERVAL_SECONDS
    resumed = deadline + TIMING.stall + 0.01
    member.observe(resumed, A, header(heartbeat=2))  # it was queued in the socket during the stall
    member.tick(resumed)
    assert states(member) == [Freshness.STALE] and member.heartbeat == Heartbeat(1, 2)
    member.observe(resumed + STALL_GRACE_SECONDS, A, header(heartbeat=2))
    assert states(member) == []
    member.observe(resumed + STALL_GRACE_SECONDS, A, header(heartbeat=3))
    assert states(member) == [Freshness.CURRENT]


def test_a_slightly_late_tick_is_not_a_stall() -> None:
    member = new_member()
    member.observe(0.0, A, header(heartbeat=1))
    member.tick(0.5)
    states(member)
    member.tick(member.next_deadline() + TIMING.stall - 0.01)
    assert states(member) == [] and member.freshness is Freshness.CURRENT


def test_an_idle_member_sends_nothing_and_ticks_once_a_second() -> None:
    member = member_at(5)
    member.observe(0.0, A, header(5, heartbeat=1))
    ticks = 0
    now = 0.0
    while (now := member.next_deadline()) <= 60.0:
        assert member.tick(now) == []
        ticks += 1
    assert ticks <= 62
