"""Detects unreachable zones, as opposed to many dead members.

A lost member is one that is suspect, or was declared dead since the last contact with its zone. A zone is
unreachable when nothing was received from any of its members for ``zone_silence`` seconds and either

- at least MIN_LOST_MEMBERS members and a fifth of the zone are lost, and CHECKS_IF_MANY_LOST check Pings to
  other members of the zone were not answered, or
- at least one member is lost, and CHECKS_IF_FEW_LOST check Pings were not answered.

The checks are needed because in a large fleet a small zone may send this member nothing for a while. They are
sent while a zone has lost members and has been silent for half of ``zone_silence``, and must have gone to as
many different members as are required, or to all remaining ones. A member that receives nothing from any
other member is isolated itself and treats every zone as unreachable.

Cost that grows with the number of zones: one record for each zone, below 1 kB. While a zone has lost members,
each evaluation sends at most MAX_CHECKS_PER_TICK Pings. Each member of the zone receives about
CHECKS_PER_MEMBER check Pings in a probe interval, from all members of the fleet together.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from saltcourse.gossip.member_table import MemberTable, ZoneIndex
from saltcourse.gossip.messages import MemberId, Status
from saltcourse.gossip.settings import Timing

# A zone has many lost members if they are at least MIN_LOST_MEMBERS and 1 in LOST_FRACTION_DENOMINATOR.
LOST_FRACTION_DENOMINATOR = 5
MIN_LOST_MEMBERS = 2
CHECKS_IF_MANY_LOST = 2  # unanswered checks required; a single check may have gone to another dead member
CHECKS_IF_FEW_LOST = 4  # unanswered checks required with fewer lost members, but at least one
CHECKS_PER_MEMBER = 20.0  # check Pings received by each member of a zone in a probe interval, fleet-wide
MAX_CHECKED_MEMBERS = 16  # checked members remembered for each zone
EVALUATIONS_PER_INTERVAL = 2  # evaluations in each probe interval
MAX_CHECKS_PER_TICK = 4  # Pings in one evaluation, at most one to each zone
CHECK_CANDIDATES = 8  # random members drawn to find one that is not suspect


@dataclass(slots=True)
class ZoneState:
    """Reachability of one zone. Times in seconds; the counts are reset by each contact."""

    last_contact_at: float
    checks: int = 0  # check Pings sent since the last contact
    checked: set[MemberId] = field(default_factory=set)  # members that the check Pings went to
    last_new_check_at: float = 0.0  # last check Ping to a member that was not in ``checked``
    deaths: int = 0  # members declared dead since the last contact
    reachable: bool = True

    def restart(self, now: float) -> None:
        """Reset the counts after a contact with the zone."""
        self.last_contact_at = now
        self.checks = self.deaths = 0
        self.checked.clear()


class ZoneEvaluation(NamedTuple):
    """Result of one evaluation."""

    newly_unreachable: list[str]  # names of zones
    to_ping: list[MemberId]  # members to ping as checks


class ZoneSilence:
    """Tracks for each zone whether this member can reach it."""

    def __init__(self, timing: Timing, rng: random.Random, table: MemberTable) -> None:
        self._silence = timing.zone_silence
        self._check_timeout = timing.probe_interval  # time to answer a check Ping, seconds
        self._check_interval = timing.probe_interval / EVALUATIONS_PER_INTERVAL
        self._rng = rng
        self._table = table
        self._zones: dict[str, ZoneState] = {}
        self._last_contact_at = 0.0
        self._evaluate_at = 0.0
        self.unreachable: dict[str, None] = {}  # zone names, in the order in which they became unreachable

    def restart(self, now: float) -> None:
        """Start to measure the silence of all zones at ``now``.

        Called at the start, and after a time in which this process did not run and could receive nothing.
        """
        self._last_contact_at = now
        for zone in self._zones.values():
            zone.restart(now)

    # ---- events -----------------------------------------------------------------------------------

    def member_added(self, now: float, zone: str) -> None:
        """Start to track the zone of a live member that was added to the table."""
        if zone not in self._zones:
            self._zones[zone] = ZoneState(now)

    def on_any_contact(self, now: float) -> None:
        """Record that a datagram was received from some member."""
        self._last_contact_at = now

    def on_contact(self, now: float, name: str) -> bool:
        """Record that a live member of the zone sent or answered a message.

        Return whether the zone was unreachable until now.
        """
        zone = self._zones.get(name)
        if zone is None:
            return False
        zone.restart(now)
        became_reachable = not zone.reachable
        zone.reachable = True
        self.unreachable.pop(name, None)
        return became_reachable

    def on_death(self, name: str) -> None:
        """Record that a suspect of the zone was declared dead."""
        zone = self._zones.get(name)
        if zone is not None:
            zone.deaths += 1

    def is_reachable(self, name: str) -> bool:
        """Return whether the zone is considered reachable."""
        return name not in self.unreachable

    def is_isolated(self, now: float) -> bool:
        """Return whether this member has received nothing from any member for ``zone_silence`` seconds."""
        return len(self._table.live_ids) > 0 and now - self._last_contact_at > self._silence

    # ---- time -------------------------------------------------------------------------------------

    def evaluate(self, now: float) -> ZoneEvaluation:
        """Find zones that have become unreachable, and choose members to ping as checks.

        Does nothing before the next evaluation time (EVALUATIONS_PER_INTERVAL in a probe interval).
        """
        if now < self._evaluate_at:
            return ZoneEvaluation([], [])
        self._evaluate_at = now + self._check_interval
        self._remove_empty_zones()
        isolated = self.is_isolated(now)
        newly_unreachable: list[str] = []
        to_ping: list[MemberId] = []
        if now - self._last_contact_at > self._silence / 2:
            to_ping += self._choose_reachable_member()
        for name, zone in self._zones.items():
            if not zone.reachable:
                continue
            if isolated or self._is_unreachable(now, name, zone):
                newly_unreachable.append(name)
            elif self._needs_check(now, name, zone) and len(to_ping) < MAX_CHECKS_PER_TICK:
                to_ping += self._choose_check(now, name, zone)
        for name in newly_unreachable:
            self._zones[name].reachable = False
            self.unreachable[name] = None
        return ZoneEvaluation(newly_unreachable, to_ping)

    def _is_unreachable(self, now: float, name: str, zone: ZoneState) -> bool:
        if now - zone.last_contact_at <= self._silence:
            return False
        index = self._table.zones[name]
        lost = len(index.suspects) + zone.deaths
        # With many lost members a few unanswered checks suffice; with few lost members more are required.
        if lost >= MIN_LOST_MEMBERS and lost * LOST_FRACTION_DENOMINATOR >= len(index.live) + zone.deaths:
            return self._is_checked(now, index, zone, CHECKS_IF_MANY_LOST)
        return lost > 0 and zone.checks > 0 and self._is_checked(now, index, zone, CHECKS_IF_FEW_LOST)

    def _is_checked(self, now: float, index: ZoneIndex, zone: ZoneState, required: int) -> bool:
        """Return whether ``required`` check Pings to members that are not suspect were not answered in time.

        They must have gone to ``required`` different members, or to all such members if there are fewer.
        """
        unsuspected = len(index.live) - len(index.suspects)
        if unsuspected == 0:
            return True
        pinged = sum(member in index.live and member not in index.suspects for member in zone.checked)
        timed_out = now - zone.last_new_check_at >= self._check_timeout
        return timed_out and zone.checks >= required and pinged >= min(required, unsuspected)

    def _needs_check(self, now: float, name: str, zone: ZoneState) -> bool:
        lost = len(self._table.zones[name].suspects) + zone.deaths
        return lost > 0 and now - zone.last_contact_at > self._silence / 2

    def _choose_check(self, now: float, name: str, zone: ZoneState) -> list[MemberId]:
        """Return one member to ping, or none.

        The probability is proportional to the zone's share of the fleet, since all other members send checks
        too and a small zone must not be flooded.
        """
        live = self._table.zones[name].live
        probability = CHECKS_PER_MEMBER / EVALUATIONS_PER_INTERVAL * len(live) / self._table.size
        if self._rng.random() >= probability:
            return []
        chosen = None
        for _ in range(CHECK_CANDIDATES):
            member = live.choose(self._rng)
            if self._table.members[member].status is Status.ALIVE:
                chosen = member
                if member not in zone.checked:
                    break
        if chosen is None:
            return []
        if chosen not in zone.checked and len(zone.checked) < MAX_CHECKED_MEMBERS:
            zone.checked.add(chosen)
            zone.last_new_check_at = now
        zone.checks += 1
        return [chosen]

    def _choose_reachable_member(self) -> list[MemberId]:
        """Return a live member of a reachable zone to ping, or none.

        Its answer shows that this member is not isolated: in a small fleet of which half is unreachable, it
        may receive nothing for a while by chance.
        """
        for _ in range(CHECK_CANDIDATES if len(self._table.live_ids) else 0):
            member = self._table.live_ids.choose(self._rng)
            record = self._table.members[member].record
            if record.status is Status.ALIVE and self.is_reachable(record.zone):
                return [member]
        return []

    def _remove_empty_zones(self) -> None:
        """Remove zones without live members. Costs at most O(zones) at each evaluation."""
        if len(self._zones) != len(self._table.zones):
            for name in [name for name in self._zones if name not in self._table.zones]:
                del self._zones[name]
                self.unreachable.pop(name, None)

    def next_deadline(self) -> float:
        """Return the time of the next ``evaluate``, in seconds on the clock of ``now``."""
        return self._evaluate_at
