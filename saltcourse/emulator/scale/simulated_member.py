"""A hollow member: the program's core without its host and without client connections.

``SimulatedMember`` is the interface between a worker and each mechanism that a run can measure.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, TypeVar

from saltcourse.emulator.scale.scenario import Arrivals
from saltcourse.emulator.scale.topology import MemberSpec, Topology
from saltcourse.gossip.messages import Address, MemberId, Status, Transmit

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class MemberContext:
    """What one process of a member is given at its start."""

    spec: MemberSpec
    topology: Topology
    addresses: tuple[Address, ...]  # of all members, by their indexes
    arrivals: Arrivals
    key: bytes  # of the fleet
    process_id: int  # drawn at this start
    random: Random
    stored: Any = None  # what an earlier process of the member has put on its disk

    @property
    def address(self) -> Address:
        """The member's own address."""
        return self.addresses[self.spec.index]


@dataclass(frozen=True, slots=True)
class MembersView:
    """The members that one member considers alive, itself included."""

    count: int
    digest: int  # XOR of the ids


@dataclass(frozen=True, slots=True)
class StatusObserved:
    """The member believes from now on that another one has this status."""

    name: str
    status: Status


@dataclass(frozen=True, slots=True)
class FreshnessObserved:
    """The member noticed that its configuration may be stale, or no longer is."""

    stale: bool


@dataclass(frozen=True, slots=True)
class ConfigurationObserved:
    """A version of the configuration came into force at the member."""

    epoch: int
    version: int
    digest: int
    changes: tuple[int, ...]  # numbers of the operator's changes that came with it
    torn: tuple[int, ...]  # those of which only a part is there


@dataclass(frozen=True, slots=True)
class PublicationConfirmed:
    """The operator's change was committed."""

    change: int
    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class PublicationFailed:
    """The operator's change was not committed, as far as the member knows."""

    change: int
    reason: str


Observation = (
    StatusObserved | FreshnessObserved | ConfigurationObserved | PublicationConfirmed | PublicationFailed
)


@dataclass(slots=True)
class Output:
    """What a step of a member sends, and what it has observed."""

    datagrams: list[Transmit] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)


class SimulatedMember(ABC):
    """One process of a member.

    ``cpu`` are the seconds that the program's own code took, measured around each call, without what the
    harness adds. Times are seconds of CLOCK_MONOTONIC.
    """

    def __init__(self, context: MemberContext) -> None:
        self.context = context
        self.cpu = 0.0
        self.next_deadline = 0.0  # when ``tick`` is to be called, by the clock of ``now``

    @abstractmethod
    def start(self, now: float) -> Output:
        """Starts the process; called once, before all other steps."""

    @abstractmethod
    def receive(self, now: float, source: Address, datagram: bytes) -> Output:
        """Takes one datagram."""

    @abstractmethod
    def tick(self, now: float) -> Output:
        """Does what is to be done at ``next_deadline``."""

    @abstractmethod
    def publish(self, now: float, change: int, padding: int) -> Output:
        """Takes the operator's change of this number, with ``padding`` bytes more.

        The result is a PublicationConfirmed or PublicationFailed, now or in a later step.
        """

    @abstractmethod
    def is_publisher(self) -> bool:
        """Whether the member publishes changes at present."""

    @abstractmethod
    def view(self) -> MembersView:
        """The members that this one considers alive."""

    def stored(self) -> Any:
        """What is on the member's disk, for its next process."""
        return None

    def _measured(self, call: Callable[..., Result], *arguments: Any) -> Result:
        begin = time.thread_time()
        result = call(*arguments)
        self.cpu += time.thread_time() - begin
        return result


def view_of(own: MemberId, others: list[MemberId]) -> MembersView:
    """The view of a member that considers ``others`` and itself alive."""
    digest = own
    for other in others:
        digest ^= other
    return MembersView(len(others) + 1, digest)
