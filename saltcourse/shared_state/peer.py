"""What this proxy knows of one other: how far its messages have come, its replica, what it held when lost."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltcourse.shared_state.codec import SEQUENCES
from saltcourse.shared_state.messages import EntryKey, Message, ResendRequest, SnapshotRequest
from saltcourse.shared_state.table import Replica, is_pair

MISMATCH_GRACE = 1.0  # s that a digest may differ before a peer is asked: what is under way may come
RETRY_INTERVAL = 1.5  # s until the next request to the same peer
LOST_PEER_HALF_LIFE = 30.0  # s


@dataclass(slots=True)
class Peer:
    """One other proxy, from its first message to its silence or its next start."""

    incarnation: int
    sequence: int  # of its newest message; it counts on where those on the wire begin again
    replica: Replica = field(default_factory=Replica)
    announced_digest: int = 0  # the digest that it sent last
    received_at: float = 0.0
    matched_at: float = 0.0  # when the replica last agreed
    matched_sequence: int | None = None  # and with which message
    retry_at: float = 0.0  # when it may be asked again; 0: not asked since the last agreement
    scale: float = 0.0

    def begin(self, now: float, message: Message) -> int:
        """Take the message's header. Its sequence, counted on."""
        self.received_at = now
        ahead = (message.sequence - self.sequence + SEQUENCES // 2) % SEQUENCES - SEQUENCES // 2
        sequence = self.sequence + ahead
        if ahead > 0:
            self.sequence, self.announced_digest = sequence, message.digest
        return sequence

    def end(self, now: float) -> None:
        """The message's records have been taken."""
        if self.agrees():
            self.matched_at, self.matched_sequence, self.retry_at = now, self.sequence, 0.0

    def agrees(self) -> bool:
        return self.replica.digest == self.announced_digest

    def repair(self, now: float) -> ResendRequest | SnapshotRequest | None:
        """What to ask it for when its digest has differed for a while: first for what followed the last
        agreement."""
        if (
            self.agrees()
            or self.replica.is_full()
            or now <= max(self.retry_at, self.matched_at + MISMATCH_GRACE)
        ):
            return None
        first, self.retry_at = self.retry_at == 0.0, now + RETRY_INTERVAL
        if first and self.matched_sequence is not None:
            return ResendRequest(self.matched_sequence)
        return SnapshotRequest()

    def connections(self) -> dict[EntryKey, int]:
        """Its connections at each server, as far as it sends them."""
        return {key: value for key, value in self.replica.entries.items() if not is_pair(key)}


@dataclass(frozen=True, slots=True)
class LostPeer:
    """What a peer held that has fallen silent. It may serve that still, where nobody hears it."""

    since: float
    connections: dict[EntryKey, int]

    def remaining(self, now: float, server: EntryKey, mean: float) -> float:
        """Its connections fade to what the others hold in the ``mean``, and not to nothing."""
        held = self.connections.get(server, 0)
        kept: float = 0.5 ** ((now - self.since) / LOST_PEER_HALF_LIFE)
        return max(min(held, mean), held * kept)
