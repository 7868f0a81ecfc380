"""Invariants of gossip nodes, checked on their actions, their state and the network's connectivity.

- The versions that a process applies strictly increase, its epoch never decreases, and each move to another
  position is reported as ``Applied``.
- A version has one position, and the configuration at a position is the same at all members and times.
- A change is applied completely or not at all, and a change reported as published to its operator is in every
  later version at all members.
- The minority side of a partition publishes only versions accepted before the partition.
- A member without a majority of the voters for ``stale_after`` + ``STALE_SLACK_SECONDS`` has reported STALE.
- Tables and queues stay within their bounds, and no process raises an exception or wakes up endlessly.
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

STALE_SLACK_SECONDS = 6.0  # the last heartbeat still spreads within the minority side this long
MAX_EVENTS_PER_SECOND = 20_000  # per process; more means a node that wakes up endlessly
# Each change writes the same value to both keys, so a partially applied change is detected.
LEFT_KEY = "check/left"
RIGHT_KEY = "check/right"
TOKEN_PREFIX = "token/"  # each change also writes a key of its own


@dataclass
class Process:
    """A process of a member, with the state that it has reported."""

    host: str
    node: Node
    position: Position  # last reported position, or the one at start
    freshness: Freshness
    isolated_since: float | None = None  # true time since which it has no majority of the voters
    events: Counter[int] = field(default_factory=Counter)  # second of true time -> events handled
    unreachable: set[str] = field(default_factory=set)  # zones reported as unreachable


@dataclass(frozen=True)
class Version:
    """The configuration of a version, as first applied by a process."""

    position: Position
    digest: bytes
    tokens: frozenset[int]
    first_seen: float  # true time


@dataclass(frozen=True)
class MemberEvent:
    """A change of a member's status, as reported by an observer."""

    at: float  # true time
    observer: str
    change: MemberChanged


class InvariantChecker:
    """Checks the actions of all processes; raises ``InvariantError`` if an invariant is violated."""

    def __init__(self) -> None:
        self.now = 0.0
        self.versions: dict[int, Version] = {}
        self.published: dict[int, Position] = {}  # token -> position
        self.failed: dict[int, PublishError] = {}
        self.member_events: list[MemberEvent] = []
        # Voter on a minority side -> highest version that it may publish.
        self.minority_version_limits: dict[str, int] = {}

    # ---- actions ----------------------------------------------------------------------------------

    def on_applied(self, process: Process, action: Applied, is_last: bool) -> None:
        """Check a reported position and, for the last ``Applied`` of a list of actions, the configuration."""
        old, new = process.position, action.position
        if new.version <= old.version or new.epoch < old.epoch:
            self.fail(
                f"{process.host} goes from {old} to {new}; versions must increase, epochs must not decrease"
            )
        self._check_position(process, new)
        process.position = new
        if is_last:
            self._check_configuration(process, new)

    def on_start(self, process: Process, stored: Position) -> None:
        """Check the position and configuration that a new process has loaded from its disk."""
        position = process.node.dissemination.position
        if position < stored:
            self.fail(f"{process.host} starts at {position}, but its disk has {stored}")
        if position.version:
            self._check_configuration(process, position)

    def after_event(self, process: Process) -> None:
        """Check that the position was reported and that the process does not wake up endlessly."""
        node = process.node
        if node.dissemination.position != process.position:
            self.fail(f"{process.host} is at {node.dissemination.position}, but reported {process.position}")
        second = int(self.now)
        process.events[second] += 1
        if process.events[second] > MAX_EVENTS_PER_SECOND:
            self.fail(f"{process.host} handled over {MAX_EVENTS_PER_SECOND} events in a second")

    def on_published(self, process: Process, action: Published) -> None:
        """Check a change reported to its operator as published."""
        self.published[action.token] = action.position
        for version in self.versions.values():
            if version.position.version >= action.position.version and action.token not in version.tokens:
                self.fail(
                    f"change {action.token}, published at {action.position}, is not in {version.position}"
                )
        limit = self.minority_version_limits.get(process.host)
        if limit is not None and action.position.version > limit:
            self.fail(f"{process.host} published {action.position} on the minority side of a partition")

    def on_publish_failed(self, action: PublishFailed) -> None:
        """Record a change reported to its operator as failed."""
        self.failed[action.token] = action.error

    def is_answered(self, token: int) -> bool:
        """Return whether an operator's change has a result."""
        return token in self.published or token in self.failed

    def on_member_changed(self, process: Process, action: MemberChanged) -> None:
        """Record a member's status reported by a process."""
        self.member_events.append(MemberEvent(self.now, process.host, action))

    def on_zone_reachability(self, process: Process, action: ZoneReachability) -> None:
        """Record a zone's reachability reported by a process."""
        if action.reachable:
            process.unreachable.discard(action.zone)
        else:
            process.unreachable.add(action.zone)

    def on_freshness_changed(self, process: Process, action: FreshnessChanged) -> None:
        """Record the freshness reported by a process."""
        process.freshness = action.freshness

    # ---- configuration ----------------------------------------------------------------------------

    def _check_position(self, process: Process, position: Position) -> None:
        known = self.versions.get(position.version)
        if known is not None and known.position != position:
            self.fail(f"{process.host} applied {position}, but other members applied {known.position}")

    def _check_configuration(self, process: Process, position: Position) -> None:
        configuration = process.node.dissemination.configuration
        self._check_position(process, position)
        digest = digest_of(configuration)
        known = self.versions.get(position.version)
        if known is None:
            self._record_version(process, position, configuration, digest)
        elif known.digest != digest:
            self.fail(f"{process.host} has another configuration at {position} than other members")

    def _record_version(
        self, process: Process, position: Position, configuration: Mapping[str, bytes], digest: bytes
    ) -> None:
        if configuration.get(LEFT_KEY) != configuration.get(RIGHT_KEY):
            self.fail(
                f"{process.host} applied a change partially: {LEFT_KEY} and {RIGHT_KEY} differ at {position}"
            )
        tokens = frozenset(
            int(key[len(TOKEN_PREFIX) :]) for key in configuration if key.startswith(TOKEN_PREFIX)
        )
        for token, published_at in self.published.items():
            if published_at.version <= position.version and token not in tokens:
                self.fail(f"{process.host} at {position} lacks change {token}, published at {published_at}")
        self.versions[position.version] = Version(position, digest, tokens, self.now)

    # ---- periodic checks --------------------------------------------------------------------------

    def check_freshness(self, process: Process, has_majority: bool, stale_after: float) -> None:
        """Check the freshness of a running process; called periodically.

        The reported freshness must be the present one, and must not be CURRENT when the process has had no
        majority of the voters for longer than ``stale_after`` seconds and the slack.
        """
        actual = process.node.dissemination.freshness
        if actual != process.freshness:
            self.fail(f"{process.host} is {actual.name}, but reported {process.freshness.name}")
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
        """Check that tables and queues are within their bounds; called periodically."""
        membership = process.node.membership
        if len(membership.members) > MAX_MEMBERS:
            self.fail(
                f"{process.host} stores {len(membership.members)} members, at most {MAX_MEMBERS} allowed"
            )
        waiting = membership.metrics()["broadcasts_waiting"]
        if waiting > MAX_QUEUED:
            self.fail(f"{process.host} has {waiting} queued updates, at most {MAX_QUEUED} allowed")

    def fail(self, violation: str) -> None:
        """Raise ``InvariantError`` with the true time and the violation."""
        raise InvariantError(f"at {self.now:.3f} s: {violation}")


def digest_of(configuration: Mapping[str, bytes]) -> bytes:
    """Return a digest of all keys and values that does not depend on their order."""
    digest = hashlib.blake2b(digest_size=16)
    for key in sorted(configuration):
        value = configuration[key]
        digest.update(f"{len(key)} {len(value)} {key}".encode())
        digest.update(value)
    return digest.digest()
