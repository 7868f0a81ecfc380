"""Comparison of member tables with random members, and the first table of a joining one.

Cost: one request of 32 digests each ``sync_interval``, whatever the fleet's size; a page of full records for
what differs. A joining member reads the whole table, about 60 bytes for each member of the fleet, in pages of
one datagram from different members.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from saltcourse.gossip.broadcasts import RECORDS_ROOM_BYTES
from saltcourse.gossip.codec import update_size
from saltcourse.gossip.member_table import MemberTable, is_departed, with_status
from saltcourse.gossip.messages import (
    Address,
    MemberId,
    MemberRecord,
    Priority,
    Send,
    Status,
    SyncReply,
    SyncRequest,
)
from saltcourse.gossip.settings import Timing

JOIN_INTERVAL_SECONDS = 1.0  # between questions to the seeds while nobody is known
JOIN_SEEDS = 3  # asked at a time
SEED_INTERVAL_SECONDS = 30.0  # between questions to a seed that is not a live member
PAGE_TIMEOUT_SECONDS = 1.0  # until another member is asked for the same page
PAGE_TRIES = 5  # then the comparison is given up
FIRST_SYNC_SECONDS = 1.0  # after the start; then twice as long each time, up to ``sync_interval``
JITTER = 0.2  # of an interval, each way


@dataclass(slots=True)
class SyncSession:
    """A comparison under way, page by page."""

    full_table: bool  # the whole table is requested, without comparison
    cursor: MemberId
    peers: tuple[Address, ...]  # asked for the page behind the cursor
    deadline: float
    tries: int = 1


class TableSync:
    """The comparison under way, if any, and the times of the next ones."""

    def __init__(
        self,
        table: MemberTable,
        seeds: tuple[Address, ...],
        timing: Timing,
        rng: random.Random,
        sample: Callable[[int], list[MemberRecord]],
    ) -> None:
        self.pages_sent = 0
        self.given_up = 0
        self._table = table
        self._seeds = tuple(seed for seed in seeds if seed != table.own.address)
        self._interval = timing.sync_interval
        self._rng = rng
        self._sample = sample
        self._session: SyncSession | None = None
        self._next_interval = FIRST_SYNC_SECONDS
        self._sync_at = math.inf
        self._seed_at = math.inf
        self._join_at = math.inf  # the next question to the seeds, if nobody is known by then

    @property
    def is_joining(self) -> bool:
        """Whether the first table is still being read."""
        return self._session is not None and self._session.full_table

    # ---- asking -----------------------------------------------------------------------------------

    def start(self, now: float) -> list[Send]:
        """Ask the seeds for the whole table."""
        self._sync_at = now + self._jittered(FIRST_SYNC_SECONDS)
        self._seed_at = now + self._jittered(SEED_INTERVAL_SECONDS)
        return self._join(now) if self._seeds else []

    def compare_with(self, now: float, peer: Address) -> list[Send]:
        """Ask one member for what differs, unless a comparison is under way."""
        if self._session is not None:
            return []
        self._session = SyncSession(False, 0, (peer,), now + PAGE_TIMEOUT_SECONDS)
        return [self._request(peer, self._session)]

    def tick(self, now: float) -> list[Send]:
        """Begin comparisons and repeat requests that have become ready."""
        sends: list[Send] = []
        if self._is_alone() and self._join_at <= now:
            sends += self._join(now)
        if self._session is not None and self._session.deadline <= now:
            sends += self._retry(now, self._session)
        if self._sync_at <= now:
            self._sync_at = now + self._jittered(self._next_interval)
            self._next_interval = min(2 * self._next_interval, self._interval)
            sends += self._compare(now)
        if self._seed_at <= now:
            self._seed_at = now + self._jittered(SEED_INTERVAL_SECONDS)
            sends += self._ask_absent_seed(now)
        return sends

    def next_deadline(self) -> float:
        """When ``tick`` is to be called, in seconds on the clock of ``now``."""
        deadline = min(self._sync_at, self._seed_at)
        if self._session is not None:
            deadline = min(deadline, self._session.deadline)
        if self._is_alone():
            deadline = min(deadline, self._join_at)
        return deadline

    def _is_alone(self) -> bool:
        return len(self._table.live_ids) == 0

    def _join(self, now: float) -> list[Send]:
        seeds = self._rng.sample(self._seeds, min(JOIN_SEEDS, len(self._seeds)))
        self._join_at = now + self._jittered(JOIN_INTERVAL_SECONDS)
        self._session = SyncSession(True, 0, tuple(seeds), now + PAGE_TIMEOUT_SECONDS + JOIN_INTERVAL_SECONDS)
        return [self._request(seed, self._session) for seed in seeds]

    def _compare(self, now: float) -> list[Send]:
        peers = self._sample(1)
        return self.compare_with(now, peers[0].address) if peers else []

    def _ask_absent_seed(self, now: float) -> list[Send]:
        """Compare with a seed that is not a live member, one in each SEED_INTERVAL_SECONDS."""
        if not self._seeds:
            return []
        seed = self._rng.choice(self._seeds)
        if any(record.address == seed for record in self._table.live()):
            return []
        return self.compare_with(now, seed)

    def _retry(self, now: float, session: SyncSession) -> list[Send]:
        """The same page from somebody else."""
        if session.tries >= PAGE_TRIES:
            self._session = None
            self.given_up += 1
            return []
        session.tries += 1
        return self._ask_page(now, session)

    def _ask_page(self, now: float, session: SyncSession) -> list[Send]:
        session.peers = tuple(record.address for record in self._sample(1)) or session.peers[:1]
        session.deadline = now + PAGE_TIMEOUT_SECONDS
        return [self._request(session.peers[0], session)]

    def _request(self, peer: Address, session: SyncSession) -> Send:
        digests = () if session.full_table else tuple(self._table.digests)
        return Send(peer, SyncRequest(session.cursor, digests), Priority.BULK)

    def _jittered(self, interval: float) -> float:
        return interval * self._rng.uniform(1 - JITTER, 1 + JITTER)

    # ---- answering --------------------------------------------------------------------------------

    def reply(self, message: SyncRequest) -> SyncReply:
        """Return one page. Who wants the whole table has no use for departed members."""
        room = RECORDS_ROOM_BYTES
        records: list[MemberRecord] = []
        buckets = self._table.differing_buckets(message.digests)
        for member in self._table.ids_after(message.cursor, buckets):
            record = self._table.members[member].record
            if is_departed(record.status) and not message.digests:
                continue
            room -= update_size(record)
            if room < 0:
                return self._page(records, True)
            records.append(record)
        return self._page(records, False)

    def _page(self, records: list[MemberRecord], more: bool) -> SyncReply:
        """Leave suspicions out: they travel as broadcasts alone, or one settled since would come back."""
        self.pages_sent += 1
        return SyncReply(tuple([_without_suspicion(record) for record in records]), more)

    # ---- replies ----------------------------------------------------------------------------------

    def on_reply(self, now: float, source: Address, message: SyncReply) -> list[Send]:
        """Go on with the next page. The caller has merged the records of this one.

        A reply that was not requested, or that came before, has no effect.
        """
        session = self._session
        if session is None or source not in session.peers:
            return []
        if not message.more or not message.records:
            self._session = None
            return []
        last = message.records[-1].id
        if last <= session.cursor:
            return []
        session.cursor = last
        session.tries = 1
        return self._ask_page(now, session)


def _without_suspicion(record: MemberRecord) -> MemberRecord:
    if record.status is not Status.SUSPECT:
        return record
    return with_status(record, record.incarnation, Status.ALIVE)
