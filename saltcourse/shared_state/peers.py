"""Registry of this proxy's peers: active ones, lost ones, and an index from entries to peers."""

from __future__ import annotations

from saltcourse.shared_state.messages import EntryKey, Message, TableRecord
from saltcourse.shared_state.peer import LostPeer, Peer

MIN_SCALE_RATIO = 0.5  # ratio of the minimum scale to the peers' mean scale


class PeerRegistry:
    """Tracks peers by proxy index.

    ``silence_timeout``: seconds without a message after which a peer is considered lost.
    """

    def __init__(self, silence_timeout: float) -> None:
        self.silence_timeout = silence_timeout
        self.peers: dict[int, Peer] = {}
        self.lost: dict[int, LostPeer] = {}
        self.peers_by_key: dict[EntryKey, set[int]] = {}  # the peers that have each entry
        self._incarnations: dict[int, int] = {}  # of each peer, including the lost ones

    def has_restarted(self, sender: int, message: Message) -> bool:
        """Return whether the message is the first one from a new process of its sender."""
        return self._incarnations.get(sender) != message.incarnation

    def get_or_create(self, now: float, sender: int, message: Message) -> Peer:
        """Return the peer that sent the message; a new one if it is unknown, was lost or has restarted."""
        self.lost.pop(sender, None)
        peer = self.peers.get(sender)
        if peer is not None and peer.incarnation == message.incarnation:
            return peer
        self._remove(sender)
        self._incarnations[sender] = message.incarnation
        peer = self.peers[sender] = Peer(message.incarnation, message.sequence - 1, synchronized_at=now)
        return peer

    def update_replica(self, sender: int, peer: Peer, sequence: int, record: TableRecord) -> None:
        """Apply a record to the sender's replica and update the index."""
        for key in peer.replica.apply(sequence, record):
            if key in peer.replica.entries:
                self.peers_by_key.setdefault(key, set()).add(sender)
            else:
                self._remove_from_index(sender, key)

    def minimum_scale(self) -> float:
        """Return the lower bound that the peers' reports set for this proxy's scale; 0 without reports.

        A proxy that has just started has too few connections to estimate a backend's capacity on its own.
        """
        reported = [peer.scale for peer in self.peers.values() if peer.scale > 0]
        return MIN_SCALE_RATIO * sum(reported) / len(reported) if reported else 0.0

    def connections(self, now: float, backend: EntryKey, own_count: int) -> float:
        """Return the estimated number of connections of all proxies to a backend.

        ``own_count`` is this proxy's count. The counts of lost peers decay.
        """
        counts = [own_count, *[peer.replica.entries.get(backend, 0) for peer in self.peers.values()]]
        mean = sum(counts) / len(counts)
        total = float(sum(counts))
        for peer in self.lost.values():
            total += peer.remaining(now, backend, mean)
        return total

    def expire(self, now: float) -> None:
        """Move the peers that have been silent for longer than ``silence_timeout`` to the lost peers."""
        silent = [
            sender for sender, peer in self.peers.items() if now > peer.received_at + self.silence_timeout
        ]
        for sender in silent:
            self.lost[sender] = LostPeer(now, self.peers[sender].connections())
            self._remove(sender)

    def _remove(self, sender: int) -> None:
        peer = self.peers.pop(sender, None)
        if peer is not None:
            for key in peer.replica.entries:
                self._remove_from_index(sender, key)

    def _remove_from_index(self, sender: int, key: EntryKey) -> None:
        peers = self.peers_by_key.get(key, set())
        peers.discard(sender)
        if not peers:
            self.peers_by_key.pop(key, None)
