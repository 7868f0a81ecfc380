"""The messages between the runner and its worker processes, over the pipe between them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from saltcourse.emulator.scale.scenario import Scenario
from saltcourse.emulator.scale.timeline import Timeline
from saltcourse.emulator.scale.topology import Topology
from saltcourse.gossip.messages import Address


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """What a worker gets at its start. ``members`` are those that it hosts."""

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
    """The addresses of the worker's members."""

    addresses: dict[int, Address]


@dataclass(frozen=True, slots=True)
class Fleet:
    """The addresses of all members, by their indexes; ``real``: those of processes of their own."""

    addresses: tuple[Address, ...]
    real: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class Ready:
    """The worker has composed its members and waits for ``Begin``."""


@dataclass(frozen=True, slots=True)
class Begin:
    """``at``: CLOCK_MONOTONIC of the run's begin."""

    at: float


@dataclass(frozen=True, slots=True)
class Publish:
    """The operator's change for one member.

    With ``kill_after`` only the publisher takes it. It is killed that many seconds later and is started again
    ``restart_after`` seconds after that (0: never).
    """

    change: int
    member: int
    kill_after: float | None = None
    restart_after: float = 0.0
    padding: int = 0


@dataclass(frozen=True, slots=True)
class PublishResult:
    """``reason`` is empty when the change was committed, at ``epoch`` and ``version``."""

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
    """The traceback of the worker's error."""

    text: str


FromRunner = Fleet | Begin | Publish
FromWorker = SocketsBound | Ready | PublishResult | Finished | WorkerFailed
NOT_PUBLISHER = "not the publisher"  # reasons of the worker's own
DOWN = "the member is down"
