"""Anti-entropy: compares member tables with random members, and fetches the whole table for a joining member.

Cost: one request of 32 digests in each ``sync_interval``, independent of the fleet size, and pages of full
records for the buckets that differ. A joining member reads the whole table, about 60 bytes for each member of
the fleet, in pages of one datagram from different members.
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

JOIN_INTERVAL_SECONDS = 1.0  # time between requests to the seeds while no other member is known
JOIN_SEEDS = 3  # seeds asked at the same time
SEED_INTERVAL_SECONDS = 30.0  # time between requests to a seed that is not a live member
PAGE_TIMEOUT_SECONDS = 1.0  # time after which another member is asked for the same page
MAX_PAGE_ATTEMPTS = 5  # requests for one page before the comparison is abandoned
FIRST_SYNC_SECONDS = 1.0  # first interval after the start; doubled each time, up to ``sync_interval``
JITTER = 0.2  # fraction of an interval, in either direction


@dataclass(slots=True)
class SyncSession:
    """A running comparison, page by page."""

    full_table: bool  # request all records instead of those in differing buckets
    cursor: MemberId  # last id received; 0 before the first page
    peers: tuple[Address, ...]  # members asked for the page after the cursor
    deadline: float  # time in seconds at which the request is repeated
    attempts: int = 1  # requests for the current page


class TableSync:
    """Runs at most one comparison at a time, schedules the next ones and answers those of other members."""

    def __init__(
        self,
        table: MemberTable,
        seeds: tuple[Address, ...],
        timing: Timing,
        rng: random.Random,
        sample: Callable[[int], list[MemberRecord]],
    ) -> None:
        self.pages_sent = 0
        self.given_up = 0  # comparisons abandoned after MAX_PAGE_ATTEMPTS
        self._table = table
        self._seeds = tuple(seed for seed in seeds if seed != table.own_record.address)
        self._interval = timing.sync_interval
        self._rng = rng
        self._sample = sample
        self._session: SyncSession | None = None
        self._next_interval = FIRST_SYNC_SECONDS
        self._sync_at = math.inf
        self._seed_at = math.inf
        self._join_at = math.inf  # next request to the seeds if no other member is known by then

    @property
    def is_joining(self) -> bool:
        """Whether the whole table is being read from the seeds or other members."""
        return self._session is not None and self._session.full_table

    # ---- requests of this member ------------------------------------------------------------------

    def start(self, now: float) -> list[Send]:
        """Start the schedule and request the whole table from the seeds."""
        self._sync_at = now + self._jittered(FIRST_SYNC_SECONDS)
        self._seed_at = now + self._jittered(SEED_INTERVAL_SECONDS)
        return self._join(now) if self._seeds else []

    def compare_with(self, now: float, peer: Address) -> list[Send]:
        """Start a comparison with one member, unless one is already running."""
        if self._session is not None:
            return []
        self._session = SyncSession(False, 0, (peer,), now + PAGE_TIMEOUT_SECONDS)
        return [self._request(peer, self._session)]

    def tick(self, now: float) -> list[Send]:
        """Start the scheduled comparisons and repeat requests that have timed out."""
        sends: list[Send] = []
        if self._knows_no_members() and self._join_at <= now:
            sends += self._join(now)
        if self._session is not None and self._session.deadline <= now:
            sends += self._retry(now, self._session)
        if self._sync_at <= now:
            self._sync_at = now + self._jittered(self._next_interval)
            self._next_interval = min(2 * self._next_interval, self._interval)
            sends += self._compare(now)
        if self._seed_at <= now:
            self._seed_at = now + self._jittered(SEED_INTERVAL_SECONDS)
            sends += self._sync_with_absent_seed(now)
        return sends

    def next_deadline(self) -> float:
        """Return the time of the next required ``tick``, in seconds on the clock of ``now``."""
        deadline = min(self._sync_at, self._seed_at)
        if self._session is not None:
            deadline = min(deadline, self._session.deadline)
        if self._knows_no_members():
            deadline = min(deadline, self._join_at)
        return deadline

    def _knows_no_members(self) -> bool:
        return len(self._table.live_ids) == 0

    def _join(self, now: float) -> list[Send]:
        seeds = self._rng.sample(self._seeds, min(JOIN_SEEDS, len(self._seeds)))
        self._join_at = now + self._jittered(JOIN_INTERVAL_SECONDS)
        self._session = SyncSession(True, 0, tuple(seeds), now + PAGE_TIMEOUT_SECONDS + JOIN_INTERVAL_SECONDS)
        return [self._request(seed, self._session) for seed in seeds]

    def _compare(self, now: float) -> list[Send]:
        peers = self._sample(1)
        return self.compare_with(now, peers[0].address) if peers else []

    def _sync_with_absent_seed(self, now: float) -> list[Send]:
        """Compare tables with a random seed if it is not a live member."""
        if not self._seeds:
            return []
        seed = self._rng.choice(self._seeds)
        if any(record.address == seed for record in self._table.live()):
            return []
        return self.compare_with(now, seed)

    def _retry(self, now: float, session: SyncSession) -> list[Send]:
        """Request the same page from another member, or abandon the comparison after MAX_PAGE_ATTEMPTS."""
        if session.attempts >= MAX_PAGE_ATTEMPTS:
            self._session = None
            self.given_up += 1
            return []
        session.attempts += 1
        return self._request_page(now, session)

    def _request_page(self, now: float, session: SyncSession) -> list[Send]:
        session.peers = tuple(record.address for record in self._sample(1)) or session.peers[:1]
        session.deadline = now + PAGE_TIMEOUT_SECONDS
        return [self._request(session.peers[0], session)]

    def _request(self, peer: Address, session: SyncSession) -> Send:
        digests = () if session.full_table else tuple(self._table.digests)
        return Send(peer, SyncRequest(session.cursor, digests), Priority.BULK)

    def _jittered(self, interval: float) -> float:
        return interval * self._rng.uniform(1 - JITTER, 1 + JITTER)

    # ---- requests of other members ----------------------------------------------------------------

    def reply(self, message: SyncRequest) -> SyncReply:
        """Return one page of records. A request for the whole table is answered without departed members."""
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
        """Build a page without suspicions.

        Suspicions are only broadcast, since a page could restore a suspicion that has already been refuted.
        """
        self.pages_sent += 1
        return SyncReply(tuple([_without_suspicion(record) for record in records]), more)

    # ---- replies to this member -------------------------------------------------------------------

    def on_reply(self, now: float, source: Address, message: SyncReply) -> list[Send]:
        """Request the page after ``message``, whose records the caller has already merged.

        A reply that was not requested or that is a duplicate has no effect.
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
        session.attempts = 1
        return self._request_page(now, session)


def _without_suspicion(record: MemberRecord) -> MemberRecord:
    if record.status is not Status.SUSPECT:
        return record
    return with_status(record, record.incarnation, Status.ALIVE)
