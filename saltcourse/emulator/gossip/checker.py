"""Invariants of every node, checked by what it reports to its host and by the network's record.

Safety, at every action:

- a process applies positions that strictly rise, its epoch never falls, and it goes forward only by an
  ``Applied`` that it reported;
- one version has one position, and the configuration at a position is the same at all members and times;
- a change is applied completely or not at all, and a change that was reported as published to its operator
  is in every later version of all members;
- on the minority side of a partition nothing is published that was not agreed before it;
- a member without a majority of the voters for ``stale_after`` + ``STALE_SLACK_SECONDS`` has reported STALE;
- tables and queues stay within their bounds, and nothing raises or spins.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from saltcourse.emulator.invariants import InvariantError
from saltcourse.gossip.broadcasts import MAX_QUEUED
from saltcourse.gossip.messages import (
    MAX_MEMBERS,
    Applied,
    Freshness,
    FreshnessChanged,
    MemberChanged,
    Position,
    Published,
    PublishError,
    PublishFailed,
    ZoneReachability,
)
from saltcourse.gossip.node import Node

STALE_SLACK_SECONDS = 6.0  # for which the last heartbeat is still passed on within the minority side
MAX_EVENTS_PER_SECOND = 20_000  # of one process; more is a node that wakes itself without end
LEFT_KEY = "check/left"  # each change writes the same value to both: a half change shows
RIGHT_KEY = "check/right"
TOKEN_PREFIX = "token/"  # each change writes one key of its own


@dataclass
class Process:
    """One process of a member, as the checker sees it."""

    host: str
    node: Node
    position: Position  # the last that it reported, or started from
    freshness: Freshness
    isolated_since: float | None = None  # true time since which no majority of the voters is connected to it
    events: Counter[int] = field(default_factory=Counter)  # by second
    unreachable: set[str] = field(default_factory=set)  # zones


@dataclass(frozen=True)
class Version:
    """The configuration of one version, as first seen."""

    position: Position
    digest: bytes
    tokens: frozenset[int]
    first_seen: float


@dataclass(frozen=True)
class MemberEvent:
    """What a member reported of another one."""

    at: float
    observer: str
    change: MemberChanged


class InvariantChecker:
    """Takes each action of each process; raises ``InvariantError``."""

    def __init__(self) -> None:
        self.now = 0.0
        self.versions: dict[int, Version] = {}
        self.published: dict[int, Position] = {}  # token -> position
        self.failed: dict[int, PublishError] = {}
        self.member_events: list[MemberEvent] = []
        self.minority_versions: dict[str, int] = {}  # voter on a minority side -> what it may publish

    # ---- actions ----------------------------------------------------------------------------------

    def on_applied(self, process: Process, action: Applied, is_last: bool) -> None:
        """A process reports a position. ``is_last``: its configuration is at that position now."""
        old, new = process.position, action.position
        if new.version <= old.version or new.epoch < old.epoch:
            self.fail(f"{process.host} goes from {old} to {new}")
        self._check_position(process, new)
        process.position = new
        if is_last:
            self._check_configuration(process, new)

    def on_start(self, process: Process, stored: Position) -> None:
        """Check what a new process has from its disk, as if it had just applied it."""
        position = process.node.dissemination.position
        if position < stored:
            self.fail(f"{process.host} starts at {position}, its disk had {stored}")
        if position.version:
            self._check_configuration(process, position)

    def after_event(self, process: Process) -> None:
        """After each event: nothing has changed without a report, and the process does not spin."""
        node = process.node
        if node.dissemination.position != process.position:
            self.fail(f"{process.host} is at {node.dissemination.position} and reported {process.position}")
        second = int(self.now)
        process.events[second] += 1
        if process.events[second] > MAX_EVENTS_PER_SECOND:
            self.fail(f"{process.host} wakes without end")

    def on_published(self, process: Process, action: Published) -> None:
        """An operator has got the result that its change is committed."""
        self.published[action.token] = action.position
        for version in self.versions.values():
            if version.position.version >= action.position.version and action.token not in version.tokens:
                self.fail(f"{action.token}, published at {action.position}, is not in {version.position}")
        agreed = self.minority_versions.get(process.host)
        if agreed is not None and action.position.version > agreed:
            self.fail(f"{process.host} published {action.position} on the smaller side of a cut")

    def on_publish_failed(self, action: PublishFailed) -> None:
        """An operator has got an error."""
        self.failed[action.token] = action.error

    def is_answered(self, token: int) -> bool:
        """Whether an operator has got a result."""
        return token in self.published or token in self.failed

    def on_member_changed(self, process: Process, action: MemberChanged) -> None:
        """A process reports a member."""
        self.member_events.append(MemberEvent(self.now, process.host, action))

    def on_zone_reachability(self, process: Process, action: ZoneReachability) -> None:
        """A process reports a zone."""
        if action.reachable:
            process.unreachable.discard(action.zone)
        else:
            process.unreachable.add(action.zone)

    def on_freshness_changed(self, process: Process, action: FreshnessChanged) -> None:
        """A process reports its freshness."""
        process.freshness = action.freshness

    # ---- configuration ----------------------------------------------------------------------------

    def _check_position(self, process: Process, position: Position) -> None:
        known = self.versions.get(position.version)
        if known is not None and known.position != position:
            self.fail(f"{process.host} has {position}, others had {known.position}")

    def _check_configuration(self, process: Process, position: Position) -> None:
        configuration = process.node.dissemination.configuration
        self._check_position(process, position)
        digest = digest_of(configuration)
        known = self.versions.get(position.version)
        if known is None:
            self._first_seen(process, position, configuration, digest)
        elif known.digest != digest:
            self.fail(f"{process.host} has another configuration at {position}")

    def _first_seen(
        self, process: Process, position: Position, configuration: Mapping[str, bytes], digest: bytes
    ) -> None:
        if configuration.get(LEFT_KEY) != configuration.get(RIGHT_KEY):
            self.fail(f"{process.host} has half a change at {position}")
        tokens = frozenset(int(k[len(TOKEN_PREFIX) :]) for k in configuration if k.startswith(TOKEN_PREFIX))
        for token, at in self.published.items():
            if at.version <= position.version and token not in tokens:
                self.fail(f"{process.host} at {position} lacks {token}, published at {at}")
        self.versions[position.version] = Version(position, digest, tokens, self.now)

    # ---- time -------------------------------------------------------------------------------------

    def check_freshness(self, process: Process, has_majority: bool, stale_after: float) -> None:
        """Check a running process from time to time: it must know that it may be behind."""
        actual = process.node.dissemination.freshness
        if actual != process.freshness:
            self.fail(f"{process.host} is {actual.name} and reported {process.freshness.name}")
        if has_majority:
            process.isolated_since = None
            return
        if process.isolated_since is None:
            process.isolated_since = self.now
        isolated_s = self.now - process.isolated_since
        if isolated_s > stale_after + STALE_SLACK_SECONDS and process.freshness is Freshness.CURRENT:
            self.fail(
                f"{process.host} reports CURRENT after {isolated_s:.1f} s without a majority of the voters"
            )

    def check_bounds(self, process: Process) -> None:
        """Check from time to time that tables and queues are within their bounds."""
        membership = process.node.membership
        if len(membership.members) > MAX_MEMBERS:
            self.fail(f"{process.host} keeps {len(membership.members)} members")
        waiting = membership.metrics()["broadcasts_waiting"]
        if waiting > MAX_QUEUED:
            self.fail(f"{process.host} has {waiting} updates to pass on")

    def fail(self, what: str) -> None:
        """Raise ``InvariantError`` with the time."""
        raise InvariantError(f"at {self.now:.3f} s: {what}")


def digest_of(configuration: Mapping[str, bytes]) -> bytes:
    """Return a digest of keys and values, whatever their order."""
    digest = hashlib.blake2b(digest_size=16)
    for key in sorted(configuration):
        value = configuration[key]
        digest.update(f"{len(key)} {len(value)} {key}".encode())
        digest.update(value)
    return digest.digest()
