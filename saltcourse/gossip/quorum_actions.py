"""What a voter's quorum core asks its node to do, and the order in which one call gives it out."""

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
    """A majority has accepted the change: it may leave the voters. Versions come in order."""

    change: Change


@dataclass(frozen=True, slots=True)
class AdvanceHeartbeat:
    """A majority has renewed this publisher's lease: the heartbeat goes into the headers."""

    heartbeat: Heartbeat


QuorumAction = Persist | Send | Commit | AdvanceHeartbeat | Published | PublishFailed


@dataclass(slots=True)
class ActionBatch:
    """Actions collected during one call of the core."""

    must_persist: bool = False  # the acceptor's state has changed
    sends: list[Send] = field(default_factory=list)
    heartbeats: list[AdvanceHeartbeat] = field(default_factory=list)
    commits: list[Commit] = field(default_factory=list)
    results: list[Published | PublishFailed] = field(default_factory=list)

    def send(self, destination: Address, message: QuorumMessage) -> None:
        """Queue a message to one voter."""
        self.sends.append(Send(destination, message))

    @property
    def is_empty(self) -> bool:
        """Whether the call had no effect outside the core, as most calls have none."""
        return not (self.must_persist or self.sends or self.heartbeats or self.commits or self.results)

    def in_order(self, state: ReplicaState | None) -> list[QuorumAction]:
        """All of them. ``state`` is to be persisted, and first: every message may depend on it."""
        actions: list[QuorumAction] = [] if state is None else [Persist(state)]
        actions += [*self.sends, *self.heartbeats, *self.commits, *self.results]
        return actions
