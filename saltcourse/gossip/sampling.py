"""Random selection of live members, at a cost that does not depend on the size of the fleet."""

from __future__ import annotations

import random

from saltcourse.gossip.member_table import MemberTable
from saltcourse.gossip.messages import MemberId, MemberRecord, Status
from saltcourse.gossip.zone_silence import ZoneSilence

RELAY_CANDIDATES = 4  # members sampled per requested relay
SAMPLE_TRIES = 6  # random draws per requested member


class MemberSampler:
    """Selects random members, preferring those that are likely to answer."""

    def __init__(self, rng: random.Random, table: MemberTable, zones: ZoneSilence) -> None:
        self._rng = rng
        self._table = table
        self._zones = zones

    def sample(self, count: int) -> list[MemberRecord]:
        """Return distinct members; suspects and members of unreachable zones only if there are no others."""
        chosen: dict[MemberId, MemberRecord] = {}
        others: dict[MemberId, MemberRecord] = {}
        ids = self._table.live_ids
        for _ in range(SAMPLE_TRIES * count if ids else 0):
            member = ids.choose(self._rng)
            record = self._table.members[member].record
            is_preferred = record.status is Status.ALIVE and self._zones.is_reachable(record.zone)
            (chosen if is_preferred else others)[member] = record
            if len(chosen) == count:
                break
        return list((chosen or others).values())[:count]

    def relays(self, target: MemberId, count: int) -> list[MemberRecord]:
        """Return relays, preferably in different regions: one may reach a region that this member can't."""
        candidates = [record for record in self.sample(RELAY_CANDIDATES * count) if record.id != target]
        by_region = {record.region: record for record in candidates}
        chosen = list(by_region.values())
        chosen += [record for record in candidates if by_region[record.region] is not record]
        return chosen[:count]
