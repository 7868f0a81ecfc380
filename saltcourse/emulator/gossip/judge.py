"""What is required of every node, judged by what it told its host and by the network's record.

Safety, at every action:

- a process applies positions that strictly rise, its epoch never falls, and it goes forward only by an
  ``Applied`` that it told;
- one version has one position, and the configuration at a position is the same at all members and times;
- a change is there whole or not at all, and a change that an operator was told as published is in every later
  version of everybody;
- on the smaller side of a cut nothing is published that was not agreed before the cut;
- a member without a majority of the voters for ``stale_after`` and ``STALE_SLACK`` has said so;
- tables and queues stay within their bounds, and nothing raises or spins.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

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

STALE_SLACK = 6.0  # s; for which the last heartbeat still goes from member to member on the smaller side
MOST_EVENTS_PER_S = 20_000  # of one process; more is a node that wakes itself without end
LEFT_KEY = "check/left"  # each change writes the same value to both: a half change shows
RIGHT_KEY = "check/right"
TOKEN_PREFIX = "token/"  # each change writes one key of its own


class Broken(AssertionError):
    """A property does not hold; the text says which and when."""


@dataclass
class Process:
    """One process of a member, as the judge sees it."""

    host: str
    node: Node
    position: Position  # the last that it told, or started from
    freshness: Freshness
    alone_since: float | None = None  # true time since which no majority of the voters is connected to it
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
    """What a member told of another one."""

    at: float
    observer: str
    change: MemberChanged


class Judge:
    """Takes each action of each process; raises ``Broken``."""

    def __init__(self) -> None:
        self.now = 0.0
        self.versions: dict[int, Version] = {}
        self.published: dict[int, Position] = {}  # token -> position
        self.failed: dict[int, PublishError] = {}
        self.member_events: list[MemberEvent] = []
        self.cut_versions: dict[str, int] = {}  # voter on a smaller side -> what it may publish

    # ---- actions ----------------------------------------------------------------------------------

    def applied(self, process: Process, action: Applied, is_last: bool) -> None:
        old, new = process.position, action.position
        if new.version <= old.version or new.epoch < old.epoch:
            self.broken(f"{process.host} goes from {old} to {new}")
        self._one_position(process, new)
        process.position = new
        if is_last:
            self._judge_configuration(process, new)

    def restored(self, process: Process, kept: Position) -> None:
        """At a start: what the process has from its disk is judged as if it had just applied it."""
        position = process.node.dissemination.position
        if position < kept:
            self.broken(f"{process.host} starts at {position}, its disk had {kept}")
        if position.version:
            self._judge_configuration(process, position)

    def event_done(self, process: Process) -> None:
        """After each event: nothing has changed silently, and the process does not spin."""
        node = process.node
        if node.dissemination.position != process.position:
            self.broken(f"{process.host} is at {node.dissemination.position} and told {process.position}")
        second = int(self.now)
        process.events[second] += 1
        if process.events[second] > MOST_EVENTS_PER_S:
            self.broken(f"{process.host} wakes without end")

    def told_published(self, process: Process, action: Published) -> None:
        self.published[action.token] = action.position
        for version in self.versions.values():
            if version.position.version >= action.position.version and action.token not in version.tokens:
                self.broken(f"{action.token}, published at {action.position}, is not in {version.position}")
        agreed = self.cut_versions.get(process.host)
        if agreed is not None and action.position.version > agreed:
            self.broken(f"{process.host} published {action.position} on the smaller side of a cut")

    def told_failed(self, action: PublishFailed) -> None:
        self.failed[action.token] = action.error

    def is_answered(self, token: int) -> bool:
        """Whether an operator knows what became of a change."""
        return token in self.published or token in self.failed

    def told_member(self, process: Process, action: MemberChanged) -> None:
        self.member_events.append(MemberEvent(self.now, process.host, action))

    def told_zone(self, process: Process, action: ZoneReachability) -> None:
        if action.reachable:
            process.unreachable.discard(action.zone)
        else:
            process.unreachable.add(action.zone)

    def told_freshness(self, process: Process, action: FreshnessChanged) -> None:
        process.freshness = action.freshness

    # ---- configuration ----------------------------------------------------------------------------

    def _one_position(self, process: Process, position: Position) -> None:
        known = self.versions.get(position.version)
        if known is not None and known.position != position:
            self.broken(f"{process.host} has {position}, others had {known.position}")

    def _judge_configuration(self, process: Process, position: Position) -> None:
        configuration = process.node.dissemination.configuration
        self._one_position(process, position)
        digest = digest_of(configuration)
        known = self.versions.get(position.version)
        if known is None:
            self._first_seen(process, position, configuration, digest)
        elif known.digest != digest:
            self.broken(f"{process.host} has another configuration at {position}")

    def _first_seen(
        self, process: Process, position: Position, configuration: Mapping[str, bytes], digest: bytes
    ) -> None:
        if configuration.get(LEFT_KEY) != configuration.get(RIGHT_KEY):
            self.broken(f"{process.host} has half a change at {position}")
        tokens = frozenset(int(k[len(TOKEN_PREFIX) :]) for k in configuration if k.startswith(TOKEN_PREFIX))
        for token, at in self.published.items():
            if at.version <= position.version and token not in tokens:
                self.broken(f"{process.host} at {position} lacks {token}, published at {at}")
        self.versions[position.version] = Version(position, digest, tokens, self.now)

    # ---- time -------------------------------------------------------------------------------------

    def judge_freshness(self, process: Process, has_majority: bool, stale_after: float) -> None:
        """Called from time to time for each running process."""
        told = process.node.dissemination.freshness
        if told != process.freshness:
            self.broken(f"{process.host} is {told.name} and told {process.freshness.name}")
        if has_majority:
            process.alone_since = None
            return
        if process.alone_since is None:
            process.alone_since = self.now
        alone = self.now - process.alone_since
        if alone > stale_after + STALE_SLACK and process.freshness is Freshness.CURRENT:
            self.broken(f"{process.host} says CURRENT after {alone:.1f} s without a majority of the voters")

    def judge_bounds(self, process: Process) -> None:
        """Called from time to time: tables and queues are within their bounds."""
        membership = process.node.membership
        if len(membership.members) > MAX_MEMBERS:
            self.broken(f"{process.host} keeps {len(membership.members)} members")
        waiting = membership.figures()["broadcasts_waiting"]
        if waiting > MAX_QUEUED:
            self.broken(f"{process.host} has {waiting} updates to pass on")

    def broken(self, what: str) -> None:
        raise Broken(f"at {self.now:.3f} s: {what}")


def digest_of(configuration: Mapping[str, bytes]) -> bytes:
    """Of keys and values, whatever their order."""
    found = hashlib.blake2b(digest_size=16)
    for key in sorted(configuration):
        value = configuration[key]
        found.update(f"{len(key)} {len(value)} {key}".encode())
        found.update(value)
    return found.digest()


def elements(root: object) -> int:
    """How many elements all containers hold that are reached from ``root`` through the package's own objects:
    what a process keeps, whatever the names of its tables are."""
    seen: set[int] = set()
    waiting: list[object] = [root]
    count = 0
    while waiting:
        item = waiting.pop()
        if id(item) in seen:
            continue
        seen.add(id(item))
        if isinstance(item, Mapping):
            count += len(item)
            waiting += list(item.values()) + list(item.keys())
        elif isinstance(item, list | tuple | set | frozenset) or type(item).__name__ == "deque":
            members = list(item)  # type: ignore[call-overload]
            count += len(members)
            waiting += members
        elif type(item).__module__.startswith("saltcourse.gossip"):
            waiting += _attributes(item)
    return count


def _attributes(item: object) -> list[object]:
    names = set(getattr(item, "__dict__", {}))
    for base in type(item).__mro__:
        names |= set(getattr(base, "__slots__", ()))
    return [getattr(item, name) for name in names if hasattr(item, name)]
