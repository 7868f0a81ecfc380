"""Fetches the changes that this member lacks from other members, one request at a time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from saltcourse.gossip.configuration import FleetConfiguration
from saltcourse.gossip.messages import Address, Fetch, MemberRecord, Position, Priority, Send
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.sources import Sources

# Returns random live members, at most as many as requested.
SampleMembers = Callable[[int], list[MemberRecord]]


@dataclass(frozen=True, slots=True)
class PendingFetch:
    """A request for the changes after ``after``; ``server`` is None while no member to ask is known."""

    server: Address | None
    after: Position
    target: Position  # the position that the server announced; ``after`` if it announced none
    deadline: float  # seconds on the clock of ``now``


class Fetcher:
    """Keeps at most one request in flight.

    After a timeout it asks another member, while a higher position is known.
    """

    def __init__(
        self,
        timing: Timing,
        rng: Random,
        sample_members: SampleMembers,
        configuration: FleetConfiguration,
        counters: Counter[str],
    ) -> None:
        self._timeout = timing.fetch_timeout
        self._sample_members = sample_members
        self._configuration = configuration
        self._counters = counters
        self._sources = Sources(timing.stale_after, rng)
        self._pending: PendingFetch | None = None

    @property
    def is_request_pending(self) -> bool:
        """Whether a request is in flight."""
        return self._pending is not None

    @property
    def is_behind(self) -> bool:
        """Whether another member has announced a higher position."""
        return len(self._sources) > 0

    @property
    def source_count(self) -> int:
        """The number of members known to be ahead of this member."""
        return len(self._sources)

    def add_source(self, now: float, source: Address, position: Position) -> None:
        """Record that ``source`` has announced ``position``, which is ahead of this member's position."""
        self._sources.add(now, source, position)

    def prune(self, now: float) -> None:
        """Forget announcements that have expired or that this member has caught up with."""
        self._sources.prune(now, self._configuration)

    def fetch(self, now: float, server: Address | None = None, avoid: Address | None = None) -> list[Send]:
        """Request changes from ``server``, by default a member that is ahead, or else a random member."""
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
        """Fetch from a member other than ``avoid``, but only after ``fetch_timeout``.

        The wait prevents an endless loop of requests to a member that always returns an invalid answer.
        """
        after = self._configuration.position
        self._pending = PendingFetch(avoid, after, after, now + self._timeout)

    def cancel(self) -> None:
        """Drop the request in flight, since its answer is not needed any more."""
        self._pending = None

    def choose_server(self, avoid: Address | None) -> Address | None:
        """Return a member to ask; ``avoid`` only if no other member is known."""
        announced = self._sources.choose(avoid)
        if announced is not None:
            return announced
        for member in self._sample_members(2):
            if member.address != avoid:
                return member.address
        return avoid

    def on_changes_applied(self, now: float, source: Address) -> list[Send]:
        """After changes from ``source`` were applied, request the next ones immediately if there are more.

        The next request goes to any member that has announced a higher position, so that the publisher does
        not serve a burst alone. It is sent only after progress, so that answers without new changes can't
        cause a loop.
        """
        if not self._is_answered(source):
            return []
        self._pending = None
        self.prune(now)
        if not self.is_behind:
            return []
        return self.fetch(now)

    def tick(self, now: float) -> list[Send]:
        """Send a new request to another member if the request in flight has timed out."""
        pending = self._pending
        if pending is None or now < pending.deadline:
            return []
        self._pending = None
        self.prune(now)
        if not self.is_behind:
            return []
        self._counters["fetch_timeouts"] += 1
        return self.fetch(now, avoid=pending.server)

    def next_deadline(self) -> float:
        """Return the time of the next ``tick``, in seconds on the clock of ``now``."""
        expiry = self._sources.next_deadline()
        return expiry if self._pending is None else min(expiry, self._pending.deadline)

    def _is_answered(self, source: Address) -> bool:
        """Return whether ``source`` answered the request, or changes from others reached its target."""
        pending = self._pending
        if pending is None:
            return False
        if source == pending.server and self._configuration.position != pending.after:
            return True
        return pending.target != pending.after and not self._configuration.is_ahead(pending.target)
