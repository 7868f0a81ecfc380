"""Distinguishes a zone that cannot be reached from many dead members.

A zone is unreachable when nothing was received from any of its members for ``zone_silence``, and there is
more to it than a few dead ones: at least two members, and a fifth of the zone, are suspect or were declared
dead since its last contact. In a large fleet a small zone may well send nothing for a while. So, while a
member of a silent zone is suspect, others of it are sent Pings, and CHECKS_IF_MANY_LOST of these have to
stay unanswered too; after CHECKS_IF_FEW_LOST unanswered ones a single suspect is enough. As many different
members must have been pinged, or all that are left. A member that receives nothing at all takes every zone
for unreachable: it is cut off itself.

Cost that grows with the number of zones: one record each, below 1 kB. While suspicions are open, at most
MAX_CHECKS_PER_TICK Pings at each evaluation; CHECKS_PER_MEMBER in a probe interval arrive at each member of
the zone, from the whole fleet.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from saltcourse.gossip.member_table import MemberTable, ZoneIndex
from saltcourse.gossip.messages import MemberId, Status
from saltcourse.gossip.settings import Timing

LOST_FRACTION = 5  # one in so many members of a zone
MIN_LOST_MEMBERS = 2
CHECKS_IF_MANY_LOST = 2  # unanswered, together with the fraction: one may go to another dead member
CHECKS_IF_FEW_LOST = 4  # unanswered, in place of the fraction
CHECKS_PER_MEMBER = 20.0  # each probe interval, at each member of a zone that may be silent
MAX_CHECKED_MEMBERS = 16  # members remembered for each zone
CHECKS_PER_INTERVAL = 2  # evaluations in each probe interval
MAX_CHECKS_PER_TICK = 4  # zones
CHECK_TRIES = 8  # random members tried for one that is not suspect


@dataclass(slots=True)
class ZoneWatch:
    """What is known of one zone besides its members."""

    last_contact_at: float
    checks: int = 0  # Pings sent since then
    checked: set[MemberId] = field(default_factory=set)  # to whom
    checked_at: float = 0.0  # when the last one was, that went to somebody new
    deaths: int = 0  # declared since then for want of an answer
    reachable: bool = True

    def restart(self, now: float) -> None:
        """The zone has answered: what was counted against it is no longer valid."""
        self.last_contact_at = now
        self.checks = self.deaths = 0
        self.checked.clear()


class ZoneEvaluation(NamedTuple):
    """What one evaluation has found."""

    silent: list[str]  # zones that are unreachable from now on
    to_ping: list[MemberId]  # to find out about other zones


class ZoneSilence:
    """What this member knows of each zone's silence."""

    def __init__(self, timing: Timing, rng: random.Random, table: MemberTable) -> None:
        self._silence = timing.zone_silence
        self._answer_time = timing.probe_interval  # that a check has
        self._check_interval = timing.probe_interval / CHECKS_PER_INTERVAL
        self._rng = rng
        self._table = table
        self._zones: dict[str, ZoneWatch] = {}
        self._last_contact_at = 0.0
        self._evaluate_at = 0.0
        self.unreachable: dict[str, None] = {}  # in the order in which they fell silent

    def restart(self, now: float) -> None:
        """At the start, and after a time in which this process did not run: silence until now is none."""
        self._last_contact_at = now
        for zone in self._zones.values():
            zone.restart(now)

    # ---- events -----------------------------------------------------------------------------------

    def member_added(self, now: float, zone: str) -> None:
        """A live member of this zone was stored."""
        if zone not in self._zones:
            self._zones[zone] = ZoneWatch(now)

    def on_any_contact(self, now: float) -> None:
        """A datagram of any member was received."""
        self._last_contact_at = now

    def on_contact(self, now: float, name: str) -> bool:
        """A live member of the zone has answered or sent. Whether the zone has become reachable by it."""
        zone = self._zones.get(name)
        if zone is None:
            return False
        zone.restart(now)
        released = not zone.reachable
        zone.reachable = True
        self.unreachable.pop(name, None)
        return released

    def on_death(self, name: str) -> None:
        """A suspect of the zone was declared dead."""
        zone = self._zones.get(name)
        if zone is not None:
            zone.deaths += 1

    def is_reachable(self, name: str) -> bool:
        """Whether the zone is not considered silent."""
        return name not in self.unreachable

    def is_isolated(self, now: float) -> bool:
        """Whether this member has received nothing from anybody for ``zone_silence``."""
        return len(self._table.live_ids) > 0 and now - self._last_contact_at > self._silence

    # ---- time -------------------------------------------------------------------------------------

    def evaluate(self, now: float) -> ZoneEvaluation:
        """Look at all zones, CHECKS_PER_INTERVAL times in a probe interval; nothing in between."""
        if now < self._evaluate_at:
            return ZoneEvaluation([], [])
        self._evaluate_at = now + self._check_interval
        self._forget_empty()
        isolated = self.is_isolated(now)
        silent: list[str] = []
        to_ping: list[MemberId] = []
        if now - self._last_contact_at > self._silence / 2:
            to_ping += self._choose_anyone()
        for name, zone in self._zones.items():
            if not zone.reachable:
                continue
            if isolated or self._is_silent(now, name, zone):
                silent.append(name)
            elif self._needs_check(now, name, zone) and len(to_ping) < MAX_CHECKS_PER_TICK:
                to_ping += self._choose_check(now, name, zone)
        for name in silent:
            self._zones[name].reachable = False
            self.unreachable[name] = None
        return ZoneEvaluation(silent, to_ping)

    def _is_silent(self, now: float, name: str, zone: ZoneWatch) -> bool:
        if now - zone.last_contact_at <= self._silence:
            return False
        index = self._table.zones[name]
        lost = len(index.suspects) + zone.deaths
        # Either many members are lost and a few checks confirm it, or one is lost and more checks do.
        if lost >= MIN_LOST_MEMBERS and lost * LOST_FRACTION >= len(index.live) + zone.deaths:
            return self._is_checked(now, index, zone, CHECKS_IF_MANY_LOST)
        return lost > 0 and zone.checks > 0 and self._is_checked(now, index, zone, CHECKS_IF_FEW_LOST)

    def _is_checked(self, now: float, index: ZoneIndex, zone: ZoneWatch, required: int) -> bool:
        """Whether so many others, or all that there are, have had the time to answer and did not."""
        others = len(index.live) - len(index.suspects)
        if others == 0:
            return True
        pinged = sum(member in index.live and member not in index.suspects for member in zone.checked)
        had_time = now - zone.checked_at >= self._answer_time
        return had_time and zone.checks >= required and pinged >= min(required, others)

    def _needs_check(self, now: float, name: str, zone: ZoneWatch) -> bool:
        lost = len(self._table.zones[name].suspects) + zone.deaths
        return lost > 0 and now - zone.last_contact_at > self._silence / 2

    def _choose_check(self, now: float, name: str, zone: ZoneWatch) -> list[MemberId]:
        """Return one member to ping; often none where the zone is small: the whole fleet does the same."""
        live = self._table.zones[name].live
        share = CHECKS_PER_MEMBER / CHECKS_PER_INTERVAL * len(live) / self._table.size
        if self._rng.random() >= share:
            return []
        chosen = None
        for _ in range(CHECK_TRIES):
            member = live.choose(self._rng)
            if self._table.members[member].status is Status.ALIVE:
                chosen = member
                if member not in zone.checked:
                    break
        if chosen is None:
            return []
        if chosen not in zone.checked and len(zone.checked) < MAX_CHECKED_MEMBERS:
            zone.checked.add(chosen)
            zone.checked_at = now
        zone.checks += 1
        return [chosen]

    def _choose_anyone(self) -> list[MemberId]:
        """Return a member that should answer: silence may be chance in a small fleet that is half cut off."""
        for _ in range(CHECK_TRIES if len(self._table.live_ids) else 0):
            member = self._table.live_ids.choose(self._rng)
            record = self._table.members[member].record
            if record.status is Status.ALIVE and self.is_reachable(record.zone):
                return [member]
        return []

    def _forget_empty(self) -> None:
        """Zones without live members. Costs O(zones) at each evaluation."""
        if len(self._zones) != len(self._table.zones):
            for name in [name for name in self._zones if name not in self._table.zones]:
                del self._zones[name]
                self.unreachable.pop(name, None)

    def next_deadline(self) -> float:
        """When ``evaluate`` is to be called, in seconds on the clock of ``now``."""
        return self._evaluate_at
