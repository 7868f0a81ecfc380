"""All peers of this proxy: those that send, those that have fallen silent, and who has which entry."""

from __future__ import annotations

from saltcourse.shared_state.messages import EntryKey, Message, TableRecord
from saltcourse.shared_state.peer import LostPeer, Peer

MIN_SCALE_RATIO = 0.5  # of the peers' mean scale


class PeerRegistry:
    """Peers go by their numbers. ``silence_timeout``: seconds of silence after which a peer is lost."""

    def __init__(self, silence_timeout: float) -> None:
        self.silence_timeout = silence_timeout
        self.peers: dict[int, Peer] = {}
        self.lost: dict[int, LostPeer] = {}
        self.holders: dict[EntryKey, set[int]] = {}  # entry -> the peers that have it
        self._incarnations: dict[int, int] = {}  # of the peers, also of the lost ones

    def has_restarted(self, sender: int, message: Message) -> bool:
        """Whether the message is the first of its sender's process."""
        return self._incarnations.get(sender) != message.incarnation

    def sender_of(self, now: float, sender: int, message: Message) -> Peer:
        """The peer that sent the message; a new one where its process is another or where it was lost."""
        self.lost.pop(sender, None)
        peer = self.peers.get(sender)
        if peer is not None and peer.incarnation == message.incarnation:
            return peer
        self._remove(sender)
        self._incarnations[sender] = message.incarnation
        peer = self.peers[sender] = Peer(message.incarnation, message.sequence - 1, synchronized_at=now)
        return peer

    def update_replica(self, sender: int, peer: Peer, sequence: int, record: TableRecord) -> None:
        """Take a record of the sender's table."""
        for key in peer.replica.apply(sequence, record):
            if key in peer.replica.entries:
                self.holders.setdefault(key, set()).add(sender)
            else:
                self._remove_holder(sender, key)

    def minimum_scale(self) -> float:
        """What this proxy's scale is at least, by what the peers report; 0 while none does.

        A proxy that has just started holds too few connections to learn a backend's capacity by itself.
        """
        reported = [peer.scale for peer in self.peers.values() if peer.scale > 0]
        return MIN_SCALE_RATIO * sum(reported) / len(reported) if reported else 0.0

    def connections(self, now: float, backend: EntryKey, own: int) -> float:
        """The whole fleet's at a backend, this proxy's ``own`` included; those of lost peers decay."""
        known = [own, *[peer.replica.entries.get(backend, 0) for peer in self.peers.values()]]
        mean = sum(known) / len(known)
        total = float(sum(known))
        for peer in self.lost.values():
            total += peer.remaining(now, backend, mean)
        return total

    def expire(self, now: float) -> None:
        """Give up the peers that have been silent for longer than a lease term."""
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
                self._remove_holder(sender, key)

    def _remove_holder(self, sender: int, key: EntryKey) -> None:
        holders = self.holders.get(key, set())
        holders.discard(sender)
        if not holders:
            self.holders.pop(key, None)
