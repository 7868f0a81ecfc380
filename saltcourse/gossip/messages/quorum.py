"""Messages between the voters, which agree on changes by Multi-Paxos, and the state that a voter stores."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.gossip.messages.configuration import Change, Position


@dataclass(frozen=True, slots=True)
class Prepare:
    """The sender wants to publish under ``epoch``."""

    epoch: int


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that a voter has accepted, and the publisher's epoch under which it did.

    That is not always ``change.position.epoch``: a later publisher proposes a change again as it is.
    """

    epoch: int
    change: Change


@dataclass(frozen=True, slots=True)
class Promise:
    """The sender accepts nothing of an older epoch any more.

    ``committed`` is what it has applied, ``last_accepted`` the version up to which it has accepted changes
    (``committed.version``: none behind it). It sends one Promise for each of those changes: what it has is
    known when all of them have arrived.
    """

    epoch: int
    committed: Position
    last_accepted: int
    accepted: AcceptedChange | None = None


@dataclass(frozen=True, slots=True)
class Propose:
    """Accept ``change`` under the publisher's ``epoch``.

    The change keeps the position that its first publisher gave it, also where a later one proposes it again:
    a change that was committed before is then the same one.
    """

    epoch: int
    change: Change


@dataclass(frozen=True, slots=True)
class Accepted:
    """The sender has the change at ``position``, and all behind its committed ones up to it, on its disk."""

    epoch: int
    position: Position


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """The publisher asks for a renewal; a majority of grants lets it advance its heartbeat."""

    epoch: int
    count: int


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The sender follows the publisher of ``epoch``; ``count`` is the request's."""

    epoch: int
    count: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The sender has promised ``epoch``, newer than that of the message which it rejects."""

    epoch: int


QuorumMessage = Prepare | Promise | Propose | Accepted | LeaseRequest | LeaseGrant | Rejected


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What a voter must not forget over a restart."""

    promised: int = 0  # the newest epoch that it has promised or published under
    committed: Position = Position()
    configuration: tuple[tuple[str, bytes], ...] = ()  # at ``committed``, in the order of the keys
    accepted: tuple[AcceptedChange, ...] = ()  # consecutive versions right behind ``committed``
