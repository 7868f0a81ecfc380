"""State of one peer: its message sequence, the replica of its table, and its last known connections."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltcourse.shared_state.codec import SEQUENCE_MODULUS
from saltcourse.shared_state.messages import EntryKey, Message, ResendRequest, SnapshotRequest
from saltcourse.shared_state.table import Replica, is_pair

MISMATCH_GRACE_SECONDS = 1.0  # time to let delayed messages arrive before a repair is requested
RETRY_INTERVAL_SECONDS = 1.5  # minimum time between repair requests to the same peer
LOST_PEER_HALF_LIFE_SECONDS = 30.0  # half-life of a lost peer's connection counts


@dataclass(slots=True)
class Peer:
    """One process of another proxy, from its first message until it restarts or is lost.

    Times are seconds on this proxy's clock.
    """

    incarnation: int
    sequence: int  # sequence number of its newest message, unwrapped
    replica: Replica = field(default_factory=Replica)
    announced_digest: int = 0  # table digest in its newest message
    received_at: float = 0.0  # when its last message arrived
    synchronized_at: float = 0.0  # when the digests last matched
    synchronized_sequence: int | None = None  # sequence number of the newest message at that time
    retry_at: float = 0.0  # when the next repair may be requested; 0 if none was since the last match
    scale: float = 0.0  # capacity scale that it has reported; 0 if none

    def begin_message(self, now: float, message: Message) -> int:
        """Process a message's header; return its sequence number, unwrapped."""
        self.received_at = now
        ahead = (
            message.sequence - self.sequence + SEQUENCE_MODULUS // 2
        ) % SEQUENCE_MODULUS - SEQUENCE_MODULUS // 2
        sequence = self.sequence + ahead
        if ahead > 0:
            self.sequence, self.announced_digest = sequence, message.digest
        return sequence

    def end_message(self, now: float) -> None:
        """Check the replica's digest once all records of a message have been applied."""
        if self.is_synchronized():
            self.synchronized_at = now
            self.synchronized_sequence = self.sequence
            self.retry_at = 0.0

    def is_synchronized(self) -> bool:
        """Return whether the replica's digest matches the one that the peer last announced."""
        return self.replica.digest == self.announced_digest

    def repair_request(self, now: float) -> ResendRequest | SnapshotRequest | None:
        """Return the request to send if the digests have differed for ``MISMATCH_GRACE_SECONDS``, else None.

        The first request is for the records since the message at which the digests last matched; later ones
        are for a snapshot.
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
        """Return the peer's connection counts by backend; empty if it does not send them."""
        return {key: value for key, value in self.replica.entries.items() if not is_pair(key)}


@dataclass(frozen=True, slots=True)
class LostPeer:
    """A peer from which no message has arrived for a lease term. It may still serve its connections."""

    since: float  # when the peer was declared lost, seconds
    connections: dict[EntryKey, int]  # its last known connection counts by backend

    def remaining(self, now: float, backend: EntryKey, mean: float) -> float:
        """Return the estimated number of its connections to a backend.

        The estimate decays exponentially, but not below ``mean``, the average count of the other proxies.
        """
        last_known = self.connections.get(backend, 0)
        decay: float = 0.5 ** ((now - self.since) / LOST_PEER_HALF_LIFE_SECONDS)
        return max(min(last_known, mean), last_known * decay)
