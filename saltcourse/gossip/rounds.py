"""Periodic work of a member: probe the next member, reconnect to dead or unreachable ones, send updates.

Each class gives the time of its next round (``deadline``, in seconds on the member's clock) and the work of
that round. Rounds that were missed while the process did not run are skipped.
"""

from __future__ import annotations

import math
import random

from saltcourse.gossip.broadcasts import RECORDS_ROOM_BYTES, BroadcastQueue
from saltcourse.gossip.failure_detector import ProbeOrder
from saltcourse.gossip.member_table import MemberTable
from saltcourse.gossip.messages import Gossip, MemberId, Priority, Send
from saltcourse.gossip.own_record import OwnRecord
from saltcourse.gossip.sampling import MemberSampler
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.zone_silence import ZoneSilence

BUSY_INTERVAL_FACTOR = 2.0  # multiplies the gossip interval while many updates wait: datagrams are then full


class ProbeRound:
    """Chooses one member to probe every ``probe_interval``."""

    def __init__(self, timing: Timing, own: OwnRecord, order: ProbeOrder) -> None:
        self.deadline = math.inf
        self._interval = timing.probe_interval
        self._own = own
        self._order = order

    def start(self, now: float, rng: random.Random) -> None:
        """Schedule the first round at random within one interval, so that members do not probe in step."""
        self.deadline = now + rng.random() * self._interval

    def next_target(self, now: float) -> MemberId | None:
        """Return the member to probe; None before the deadline, without members or after leaving."""
        if now < self.deadline:
            return None
        self.deadline = _next_round(self.deadline, self._interval, now)
        return None if self._own.has_left else self._order.next()


class ReconnectRound:
    """Chooses one dead or unreachable member to ping every ``reconnect_interval``.

    It is at random either a dead member or a member in an unreachable zone. In this way, the two sides of a
    network partition find each other after the partition has healed.
    """

    def __init__(
        self, timing: Timing, rng: random.Random, own: OwnRecord, table: MemberTable, zones: ZoneSilence
    ) -> None:
        self.deadline = math.inf
        self._interval = timing.reconnect_interval
        self._rng = rng
        self._own = own
        self._table = table
        self._zones = zones

    def start(self, now: float) -> None:
        """Schedule the first round one interval after ``now``."""
        self.deadline = now + self._interval

    def targets(self, now: float) -> list[MemberId]:
        """Return the member to ping: at most one."""
        if now < self.deadline:
            return []
        self.deadline = _next_round(self.deadline, self._interval, now)
        candidates = []
        if len(self._table.dead_ids):
            candidates.append(self._table.dead_ids.choose(self._rng))
        if self._zones.unreachable:
            zone = self._rng.choice(list(self._zones.unreachable))
            candidates.append(self._table.zones[zone].live.choose(self._rng))
        if not candidates or self._own.has_left:
            return []
        return [self._rng.choice(candidates)]


class GossipRound:
    """Sends waiting updates to a few random members every ``gossip_interval``, while any updates wait."""

    def __init__(
        self, timing: Timing, queue: BroadcastQueue, table: MemberTable, sampler: MemberSampler
    ) -> None:
        self.deadline = math.inf
        self._interval = timing.gossip_interval
        self._fanout = timing.gossip_fanout
        self._queue = queue
        self._table = table
        self._sampler = sampler

    def start(self, now: float, rng: random.Random) -> None:
        """Schedule the first round at a random time within one interval."""
        self.deadline = now + rng.random() * self._interval

    def messages(self, now: float) -> list[Send]:
        """Return one message for each chosen member, filled with updates."""
        if now < self.deadline or not self._queue.has_member_updates:
            return []
        factor = BUSY_INTERVAL_FACTOR if self._queue.is_busy else 1.0
        self.deadline = now + factor * self._interval
        sends = []
        for record in self._sampler.sample(self._fanout):
            updates = self._queue.take(RECORDS_ROOM_BYTES, self._table.size)
            if updates:
                sends.append(Send(record.address, Gossip(updates), Priority.MEMBERSHIP))
        return sends


def _next_round(deadline: float, interval: float, now: float) -> float:
    return deadline + interval if deadline + interval > now else now + interval
