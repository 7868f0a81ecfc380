"""Actions that a voter returns to its node, and the order in which each call returns them."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltcourse.gossip.messages import (
    Address,
    Change,
    Heartbeat,
    Persist,
    Published,
    PublishFailed,
    QuorumMessage,
    ReplicaState,
    Send,
)


@dataclass(frozen=True, slots=True)
class Commit:
    """A majority has accepted the change: it may be disseminated. Commits come in the order of versions."""

    change: Change


@dataclass(frozen=True, slots=True)
class AdvanceHeartbeat:
    """A majority has renewed this publisher's lease; ``heartbeat`` is to be sent in datagram headers."""

    heartbeat: Heartbeat


QuorumAction = Persist | Send | Commit | AdvanceHeartbeat | Published | PublishFailed


@dataclass(slots=True)
class ActionBatch:
    """The actions collected during one call of ``Quorum``."""

    must_persist: bool = False  # the acceptor's state has changed
    sends: list[Send] = field(default_factory=list)
    heartbeats: list[AdvanceHeartbeat] = field(default_factory=list)
    commits: list[Commit] = field(default_factory=list)
    results: list[Published | PublishFailed] = field(default_factory=list)

    def send(self, destination: Address, message: QuorumMessage) -> None:
        """Add a message to one voter."""
        self.sends.append(Send(destination, message))

    @property
    def is_empty(self) -> bool:
        """Whether there is no action, which is the result of most calls."""
        return not (self.must_persist or self.sends or self.heartbeats or self.commits or self.results)

    def ordered(self, state: ReplicaState | None) -> list[QuorumAction]:
        """Return all actions; ``state``, if given, is persisted first, as every message may depend on it."""
        actions: list[QuorumAction] = [] if state is None else [Persist(state)]
        actions += [*self.sends, *self.heartbeats, *self.commits, *self.results]
        return actions
