"""A single member for tests of dissemination, and hand-made messages of its neighbours."""

from __future__ import annotations

from random import Random

from saltcourse.gossip.dissemination import Dissemination
from saltcourse.gossip.messages import (
    Change,
    Changes,
    Fetch,
    Gossip,
    Header,
    Heartbeat,
    MemberRecord,
    Position,
    Send,
)
from saltcourse.gossip.settings import Timing
from tests.gossip.dissemination_fleet import address_of, record_of

HIGHEST = 2**32 - 1
TIMING = Timing()
A, B, C, D = (address_of(index) for index in range(1, 5))
NEIGHBOURS = [record_of(index) for index in range(1, 11)]


def change(version: int, epoch: int = 1, value: bytes = b"v") -> Change:
    return Change(Position(epoch, version), ((f"key{version % 10}", value),))


def changes(first: int, last: int) -> Changes:
    return Changes(tuple(change(version) for version in range(first, last + 1)))


def header(version: int = 0, epoch: int = 1, heartbeat: int = 0) -> Header:
    position = Position(epoch, version) if version else Position()
    return Header(1, 0, 0, position, Heartbeat(1, heartbeat) if heartbeat else Heartbeat())


def new_member(neighbours: list[MemberRecord] = NEIGHBOURS, timing: Timing = TIMING) -> Dissemination:
    random = Random(1)
    return Dissemination(timing, random, lambda count: random.sample(neighbours, min(count, len(neighbours))))


def member_at(version: int, now: float = 0.0, timing: Timing = TIMING) -> Dissemination:
    """Return a member at ``version`` that has no announcements left to send."""
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
    """Tick the member at each of its deadlines, without answers; return what it sends, with the times."""
    sent = []
    while (deadline := max(member.next_deadline(), start)) <= until:
        sent += [(deadline, send) for send in member.tick(deadline)]
        start = deadline
    return sent
