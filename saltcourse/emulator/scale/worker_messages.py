"""The messages on the pipe between the runner and a worker process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from saltcourse.emulator.scale.scenario import Scenario
from saltcourse.emulator.scale.timeline import Timeline
from saltcourse.emulator.scale.topology import Topology
from saltcourse.gossip.messages import Address


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """The parameters of a worker. It hosts the members with the indexes ``members``."""

    mechanism: str
    scenario: Scenario
    topology: Topology
    timeline: Timeline
    members: tuple[int, ...]
    seed: int
    key: bytes
    records: Path


@dataclass(frozen=True, slots=True)
class SocketsBound:
    """The worker has bound the sockets of its members to these addresses, by member index."""

    addresses: dict[int, Address]


@dataclass(frozen=True, slots=True)
class Fleet:
    """The addresses of all members, by member index. ``real`` holds the indexes of real proxies."""

    addresses: tuple[Address, ...]
    real: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class Ready:
    """The worker has set up its members and waits for ``StartRun``."""


@dataclass(frozen=True, slots=True)
class StartRun:
    """The run starts at ``at``, in seconds of CLOCK_MONOTONIC."""

    at: float


@dataclass(frozen=True, slots=True)
class Publish:
    """A request to publish a change of the operator at one member.

    With ``kill_after``, only the publisher accepts the change; it is killed ``kill_after`` seconds later and
    restarted ``restart_after`` seconds after that (0: never). ``padding`` is the number of additional bytes.
    """

    change: int
    member: int
    kill_after: float | None = None
    restart_after: float = 0.0
    padding: int = 0


@dataclass(frozen=True, slots=True)
class PublishResult:
    """The result of a publish request.

    ``reason`` is empty if the change was committed at ``epoch`` and ``version``.
    """

    change: int
    member: int
    reason: str
    epoch: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Finished:
    """The worker has written all its records."""


@dataclass(frozen=True, slots=True)
class WorkerFailed:
    """The worker raised an exception; ``text`` is its traceback."""

    text: str


FromRunner = Fleet | StartRun | Publish
FromWorker = SocketsBound | Ready | PublishResult | Finished | WorkerFailed
# Reasons in a PublishResult that come from the worker and not from the member.
NOT_PUBLISHER = "not the publisher"
DOWN = "the member is down"
