"""A member without client connections: what a worker asks of each mechanism that a run can measure."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, TypeVar

from saltcourse.emulator.scale.scenario import Arrivals
from saltcourse.emulator.scale.topology import Place, Topology
from saltcourse.gossip.messages import Address, MemberId, Status, Transmit

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Seat:
    """What one process of a member is told at its start."""

    place: Place
    topology: Topology
    addresses: tuple[Address, ...]  # of all members, by their indexes
    arrivals: Arrivals
    key: bytes  # of the fleet
    process: int  # drawn at this start
    random: Random
    stored: Any = None  # what an earlier process of the member has put on its disk

    @property
    def address(self) -> Address:
        return self.addresses[self.place.index]


@dataclass(frozen=True, slots=True)
class MembersView:
    """Whom a member holds for alive, itself included."""

    count: int
    digest: int  # XOR of the ids


@dataclass(frozen=True, slots=True)
class StatusObserved:
    name: str
    status: Status


@dataclass(frozen=True, slots=True)
class FreshnessObserved:
    stale: bool  # it knows that it may lack news


@dataclass(frozen=True, slots=True)
class ConfigurationObserved:
    epoch: int
    version: int
    digest: int
    changes: tuple[int, ...]
    torn: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class PublicationConfirmed:
    change: int
    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class PublicationFailed:
    change: int
    reason: str


Observation = (
    StatusObserved | FreshnessObserved | ConfigurationObserved | PublicationConfirmed | PublicationFailed
)


@dataclass(slots=True)
class Output:
    """What a step of a member sends, and what it has told of itself."""

    datagrams: list[Transmit] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)


class HollowMember(ABC):
    """One process of a member. ``cpu`` are the seconds that the program's own code took, measured around each
    call; what the harness adds is not in it."""

    def __init__(self, seat: Seat) -> None:
        self.seat = seat
        self.cpu = 0.0
        self.next_deadline = 0.0  # when ``tick`` is due, by the clock of ``now``

    @abstractmethod
    def start(self, now: float) -> Output: ...

    @abstractmethod
    def receive(self, now: float, source: Address, datagram: bytes) -> Output: ...

    @abstractmethod
    def tick(self, now: float) -> Output: ...

    @abstractmethod
    def publish(self, now: float, change: int, padding: int) -> Output:
        """The operator hands over its change of this number, with ``padding`` bytes more. It is answered with
        PublicationConfirmed or PublicationFailed, at once or later."""

    @abstractmethod
    def is_publisher(self) -> bool: ...

    @abstractmethod
    def view(self) -> MembersView: ...

    def stored(self) -> Any:
        """What is on the member's disk, for its next process."""
        return None

    def _measured(self, call: Callable[..., Result], *arguments: Any) -> Result:
        begin = time.thread_time()
        result = call(*arguments)
        self.cpu += time.thread_time() - begin
        return result


def view_of(own: MemberId, others: list[MemberId]) -> MembersView:
    digest = own
    for other in others:
        digest ^= other
    return MembersView(len(others) + 1, digest)
