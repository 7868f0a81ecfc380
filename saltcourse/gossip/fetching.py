"""Fetches the changes that this member lacks from others, one request at a time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from saltcourse.gossip.configuration import FleetConfiguration
from saltcourse.gossip.messages import Address, Fetch, MemberRecord, Position, Priority, Send
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.sources import Sources

Sample = Callable[[int], list[MemberRecord]]  # at most so many random live members


@dataclass(frozen=True, slots=True)
class PendingFetch:
    """``server`` was asked for the changes behind ``after``; ``None``: nobody is known yet."""

    server: Address | None
    after: Position
    target: Position  # what the server announced; ``after`` where it announced nothing
    deadline: float


class Fetcher:
    """At most one request is in flight.

    After its timeout another member is asked, as long as a higher position is known.
    """

    def __init__(
        self,
        timing: Timing,
        rng: Random,
        sample: Sample,
        configuration: FleetConfiguration,
        counters: Counter[str],
    ) -> None:
        self._timeout = timing.fetch_timeout
        self._sample = sample
        self._configuration = configuration
        self._counters = counters
        self._sources = Sources(timing.stale_after, rng)
        self._pending: PendingFetch | None = None

    @property
    def waiting(self) -> bool:
        """Whether a request is in flight."""
        return self._pending is not None

    @property
    def behind(self) -> bool:
        """Whether somebody has announced a higher position."""
        return len(self._sources) > 0

    @property
    def source_count(self) -> int:
        """The number of members known to be ahead."""
        return len(self._sources)

    def note(self, now: float, source: Address, position: Position) -> None:
        """``source`` has announced ``position``, which is ahead of this member's."""
        self._sources.note(now, source, position)

    def prune(self, now: float) -> None:
        """Forget announcements that this member has caught up with, or that are old."""
        self._sources.prune(now, self._configuration)

    def fetch(self, now: float, server: Address | None = None, avoid: Address | None = None) -> list[Send]:
        """Ask ``server``; without one, a member that announced a higher position, else a random one."""
        server = server or self.choose_server(avoid)
        after = self._configuration.position
        target = after
        if server is not None:
            target = self._sources.position_of(server) or after
        self._pending = PendingFetch(server, after, target, now + self._timeout)
        if server is None:
            return []
        self._counters["fetches"] += 1
        return [Send(server, Fetch(after), Priority.CONFIGURATION)]

    def retry_later(self, now: float, avoid: Address) -> None:
        """Ask another member than ``avoid`` after a pause.

        So one that always gives a wrong answer is not asked without end.
        """
        after = self._configuration.position
        self._pending = PendingFetch(avoid, after, after, now + self._timeout)

    def settle(self) -> None:
        """The request in flight needs no answer any more."""
        self._pending = None

    def choose_server(self, avoid: Address | None) -> Address | None:
        """``avoid`` only when there is nobody else."""
        announced = self._sources.choose(avoid)
        if announced is not None:
            return announced
        for member in self._sample(2):
            if member.address != avoid:
                return member.address
        return avoid

    def continue_after(self, now: float, source: Address) -> list[Send]:
        """Fetch again at once if there are more changes, now that those of ``source`` were applied.

        From any member that has announced some, so that a burst is not served by its publisher alone. Only
        after progress, so that useless answers can't keep up a loop.
        """
        if not self._is_answered(source):
            return []
        self._pending = None
        self.prune(now)
        if not self.behind:
            return []
        return self.fetch(now)

    def tick(self, now: float) -> list[Send]:
        """Ask another member when the request in flight has timed out."""
        pending = self._pending
        if pending is None or now < pending.deadline:
            return []
        self._pending = None
        self.prune(now)
        if not self.behind:
            return []
        self._counters["fetch_timeouts"] += 1
        return self.fetch(now, avoid=pending.server)

    def next_deadline(self) -> float:
        """When ``tick`` is to be called, in seconds on the clock of ``now``."""
        expiry = self._sources.next_deadline()
        return expiry if self._pending is None else min(expiry, self._pending.deadline)

    def _is_answered(self, source: Address) -> bool:
        """By ``source`` itself, or because others have brought this member to the target."""
        pending = self._pending
        if pending is None:
            return False
        if source == pending.server and self._configuration.position != pending.after:
            return True
        return pending.target != pending.after and not self._configuration.is_ahead(pending.target)
