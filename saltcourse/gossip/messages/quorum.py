"""Messages of Multi-Paxos, by which the voters agree on changes, and the state that a voter stores."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.gossip.messages.configuration import Change, Position


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks for the promises that the sender needs to become the publisher of ``epoch``."""

    epoch: int


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that a voter has accepted, with the epoch of the publisher that proposed it.

    ``epoch`` may be higher than ``change.position.epoch``, because a later publisher proposes an earlier
    change again without altering it.
    """

    epoch: int
    change: Change


@dataclass(frozen=True, slots=True)
class Promise:
    """Promises to accept no proposal of an epoch lower than ``epoch``.

    ``committed`` is the position that the sender has applied, ``last_accepted`` the last version that it has
    accepted, which equals ``committed.version`` if it has accepted no change after that. The sender sends one
    Promise for each accepted change; the promise is complete when all of them have arrived.
    """

    epoch: int
    committed: Position
    last_accepted: int
    accepted: AcceptedChange | None = None


@dataclass(frozen=True, slots=True)
class Propose:
    """Asks the receiver to accept ``change`` from the publisher of ``epoch``.

    A later publisher that proposes the change again keeps the position assigned by the first one, so that a
    change that is already committed stays identical.
    """

    epoch: int
    change: Change


@dataclass(frozen=True, slots=True)
class Accepted:
    """Reports that the change at ``position`` is stored on the sender's disk.

    So are all changes between the sender's committed position and ``position``.
    """

    epoch: int
    position: Position


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Requests a renewal of the publisher's lease.

    The publisher advances its heartbeat when a majority of the voters has granted the renewal.
    """

    epoch: int
    count: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Grants the ``LeaseRequest`` with the same ``epoch`` and ``count``."""

    epoch: int
    count: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Rejects a message because the sender has promised ``epoch``, which is higher than the message's."""

    epoch: int


QuorumMessage = Prepare | Promise | Propose | Accepted | LeaseRequest | LeaseGrant | Rejected


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """State that a voter must keep across restarts."""

    promised: int = 0  # the highest epoch that it has promised, or in which it was the publisher
    committed: Position = Position()
    configuration: tuple[tuple[str, bytes], ...] = ()  # at position ``committed``, sorted by key
    accepted: tuple[AcceptedChange, ...] = ()  # consecutive versions that directly follow ``committed``
