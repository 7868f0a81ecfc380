"""What this proxy knows of one peer: how far its messages have come, its replica, what it held when lost."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltcourse.shared_state.codec import SEQUENCES
from saltcourse.shared_state.messages import EntryKey, Message, ResendRequest, SnapshotRequest
from saltcourse.shared_state.table import Replica, is_pair

MISMATCH_GRACE_SECONDS = 1.0  # that a digest may differ before a peer is asked: a message may be on its way
RETRY_INTERVAL_SECONDS = 1.5  # until the next request to the same peer
LOST_PEER_HALF_LIFE_SECONDS = 30.0


@dataclass(slots=True)
class Peer:
    """One other proxy, from its first message to its silence or its next start. Times are seconds."""

    incarnation: int
    sequence: int  # of its newest message; it does not wrap, as those on the wire do
    replica: Replica = field(default_factory=Replica)
    announced_digest: int = 0  # the digest of its newest message
    received_at: float = 0.0
    synchronized_at: float = 0.0  # when the replica last agreed
    synchronized_sequence: int | None = None  # and with which message
    retry_at: float = 0.0  # when it may be asked again; 0: not asked since the replica last agreed
    scale: float = 0.0  # the capacity scale that it has reported; 0: none

    def begin_message(self, now: float, message: Message) -> int:
        """Take the message's header. Its sequence, as one that does not wrap."""
        self.received_at = now
        ahead = (message.sequence - self.sequence + SEQUENCES // 2) % SEQUENCES - SEQUENCES // 2
        sequence = self.sequence + ahead
        if ahead > 0:
            self.sequence, self.announced_digest = sequence, message.digest
        return sequence

    def end_message(self, now: float) -> None:
        """Note whether the replica agrees with the peer's table, now that the whole message is applied."""
        if self.is_synchronized():
            self.synchronized_at = now
            self.synchronized_sequence = self.sequence
            self.retry_at = 0.0

    def is_synchronized(self) -> bool:
        """Whether the replica is as the peer last announced its table."""
        return self.replica.digest == self.announced_digest

    def repair_request(self, now: float) -> ResendRequest | SnapshotRequest | None:
        """What to ask the peer for where its digest has differed for a while.

        First what followed the message that the replica last agreed with, then a snapshot.
        """
        if (
            self.is_synchronized()
            or self.replica.is_full()
            or now <= max(self.retry_at, self.synchronized_at + MISMATCH_GRACE_SECONDS)
        ):
            return None
        is_first = self.retry_at == 0.0
        self.retry_at = now + RETRY_INTERVAL_SECONDS
        if is_first and self.synchronized_sequence is not None:
            return ResendRequest(self.synchronized_sequence)
        return SnapshotRequest()

    def connections(self) -> dict[EntryKey, int]:
        """Its connections at each backend, as far as it sends them."""
        return {key: value for key, value in self.replica.entries.items() if not is_pair(key)}


@dataclass(frozen=True, slots=True)
class LostPeer:
    """What a peer held that has fallen silent. It may still serve those connections."""

    since: float
    connections: dict[EntryKey, int]

    def remaining(self, now: float, backend: EntryKey, mean: float) -> float:
        """Its connections at a backend; they decay to the ``mean`` of the other proxies, not to nothing."""
        held = self.connections.get(backend, 0)
        decay: float = 0.5 ** ((now - self.since) / LOST_PEER_HALF_LIFE_SECONDS)
        return max(min(held, mean), held * decay)
