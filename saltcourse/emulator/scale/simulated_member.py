"""The interface between a worker and the simulated members of each mechanism that a run can measure.

A simulated member runs the production protocol code without a proxy around it: no event loop, no sockets
and no client connections.
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
    """The parameters of one process of a simulated member."""

    spec: MemberSpec
    topology: Topology
    addresses: tuple[Address, ...]  # addresses of all members, by member index
    arrivals: Arrivals
    key: bytes  # authentication key shared by the fleet
    process_id: int  # random, different for each process of a member
    random: Random
    stored: Any = None  # state that an earlier process of the member persisted

    @property
    def address(self) -> Address:
        """The member's own address."""
        return self.addresses[self.spec.index]


@dataclass(frozen=True, slots=True)
class MembersView:
    """The members that one member considers alive, including itself."""

    count: int
    digest: int  # XOR of their ids


@dataclass(frozen=True, slots=True)
class StatusObserved:
    """The member changed its view of another member's status."""

    name: str
    status: Status


@dataclass(frozen=True, slots=True)
class FreshnessObserved:
    """The member's configuration became possibly stale, or current again."""

    stale: bool


@dataclass(frozen=True, slots=True)
class ConfigurationObserved:
    """A version of the configuration came into force at the member."""

    epoch: int
    version: int
    digest: int
    changes: tuple[int, ...]  # numbers of the operator's changes that this version applied
    torn: tuple[int, ...]  # the changes of which only a part is in the configuration


@dataclass(frozen=True, slots=True)
class PublicationConfirmed:
    """The operator's change was committed."""

    change: int
    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class PublicationFailed:
    """The operator's change failed at this member. It may still have been committed by others."""

    change: int
    reason: str


Observation = (
    StatusObserved | FreshnessObserved | ConfigurationObserved | PublicationConfirmed | PublicationFailed
)


@dataclass(slots=True)
class Output:
    """The datagrams that one step of a member sends, and its observations."""

    datagrams: list[Transmit] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)


class SimulatedMember(ABC):
    """One process of a member.

    ``cpu`` is the CPU time in seconds of the production code, measured around each call; the emulator's own
    CPU time is not included. ``now`` and ``next_deadline`` are seconds of CLOCK_MONOTONIC.
    """

    def __init__(self, context: MemberContext) -> None:
        self.context = context
        self.cpu = 0.0
        self.next_deadline = 0.0  # when ``tick`` must be called next

    @abstractmethod
    def start(self, now: float) -> Output:
        """Start the process. Called once, before all other steps."""

    @abstractmethod
    def receive(self, now: float, source: Address, datagram: bytes) -> Output:
        """Process one received datagram."""

    @abstractmethod
    def tick(self, now: float) -> Output:
        """Run the work that is scheduled for ``next_deadline``."""

    @abstractmethod
    def publish(self, now: float, change: int, padding: int) -> Output:
        """Publish the operator's change with this number and ``padding`` additional bytes.

        The result is a PublicationConfirmed or PublicationFailed observation of this or a later step.
        """

    @abstractmethod
    def is_publisher(self) -> bool:
        """Return whether the member currently publishes changes."""

    @abstractmethod
    def view(self) -> MembersView:
        """Return the members that this member considers alive."""

    def stored(self) -> Any:
        """Return the persisted state for the member's next process."""
        return None

    def _measure_cpu(self, call: Callable[..., Result], *arguments: Any) -> Result:
        start = time.thread_time()
        result = call(*arguments)
        self.cpu += time.thread_time() - start
        return result


def build_view(own: MemberId, others: list[MemberId]) -> MembersView:
    """Return the view of a member that considers itself and ``others`` alive."""
    digest = own
    for other in others:
        digest ^= other
    return MembersView(len(others) + 1, digest)
