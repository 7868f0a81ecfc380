"""What this proxy knows of the others of its tier by their messages: no I/O and no clock of its own.

``receive`` takes a message that has come, ``due`` returns those that are to be sent; both are told the time.
Everything that is asked of it is a hint to the module (who holds which group, what a server bears, which are
ejected, how many connections stand where) or a bound that holds whatever was lost (a budget's share). It
decides nothing.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from saltcourse.balancing.settings import Settings
from saltcourse.shared_state.codec import BadMessage, decode
from saltcourse.shared_state.ejections import Ejections
from saltcourse.shared_state.messages import (
    TABLE_RECORDS,
    ClockReading,
    EjectionNotice,
    EntryKey,
    LeaseGrant,
    LeaseRequest,
    Message,
    OtherRecord,
    Record,
    ResendRequest,
    Scale,
    SnapshotRequest,
    TableRecord,
)
from saltcourse.shared_state.names import ShortNames
from saltcourse.shared_state.outbox import Outbox, Outgoing
from saltcourse.shared_state.peer import MISMATCH_GRACE, LostPeer, Peer
from saltcourse.shared_state.quota import HEARTBEATS_PER_TERM, QuotaLeases, TokenBucket
from saltcourse.shared_state.table import LocalTable, is_pair

BROADCAST_INTERVAL = 0.05  # s between messages of one proxy to all: what changes meanwhile goes together
CHECK_INTERVAL = MISMATCH_GRACE  # s between looks for silent peers and differing replicas
STALL_THRESHOLD = 3.0  # s without any event: this process stood still
STALL_RECOVERY = 0.5  # s in which it takes what waited meanwhile
MIN_SCALE_RATIO = 0.5  # of the peers' mean: who has just started holds too little to know its own
SCALE_CHANGE = 0.2  # of the scale, by which it has to change to be sent again
PROBES_IN_BURST = 2.0  # for each proxy: the smallest share then holds one
LONG_AGO = -1e9  # s


class Holding(Protocol):
    """What the module knows of a server, as far as peers are told of it."""

    count: int  # connections that stand there through this proxy


class SharedState:
    """The state of one proxy. With no others to talk to it sends nothing, and its shares are equal parts."""

    def __init__(self, settings: Settings, incarnation: int, servers: Mapping[str, Holding]) -> None:
        """``incarnation``: another number with each start of this proxy. ``servers``: those it knows now."""
        self.index, self.count = settings.proxy_index, settings.proxy_count if settings.peers_allowed else 1
        self.terms, self.servers = settings.shared_state, servers
        self.heartbeat_interval = self.terms.lease_term / HEARTBEATS_PER_TERM  # s
        self.names = ShortNames()
        self.table, self.outbox = LocalTable(), Outbox(incarnation)
        self.leases = QuotaLeases(self.index, settings.proxy_count, self.terms, alone=self.count < 2)
        self.budgets: dict[str, TokenBucket] = {}  # server -> of probes
        self.ejections = Ejections(self.terms.clock_drift)
        self.peers: dict[int, Peer] = {}
        self.lost: dict[int, LostPeer] = {}
        self.incarnations: dict[int, int] = {}  # of the peers, also of the lost ones
        self.holders: dict[EntryKey, set[int]] = {}  # entry -> the peers that have it
        self.scale = self.announced_scale = 0.0
        self.minimum_scale = 0.0  # what this proxy's is at least, by what the peers report; 0 while none does
        self.broadcast_at = self.heartbeat_at = LONG_AGO  # the last message to all; the last heartbeat
        self.checked_at = 0.0
        self.event_at = LONG_AGO  # when anything happened here
        self.trusted_from = LONG_AGO  # from when on what comes has not waited
        self.started_at: float | None = None
        self.undecodable_messages = 0  # messages

    # ---- what the module asks and tells -----------------------------------------------------------

    def peer_serves_group(self, server: str, group: str) -> bool:
        """A peer has connections of the group there."""
        return bool(self.holders) and self._pair(server, group) in self.holders

    def record_group(self, server: str, group: str, held: bool) -> None:
        """This proxy has got its first connection of the group there, or lost its last."""
        if self.count > 1:
            self.table.set_pair(self._pair(server, group), held)

    def set_capacity_scale(self, scale: float) -> None:
        """This proxy's slots in a server's whole load; sent when it has changed by a fifth."""
        if _has_changed(scale, self.scale):
            self.scale = scale

    def announce_ejection(self, server: str, until: float) -> None:
        """This proxy has ejected the server until then."""
        if self.count > 1:
            self.ejections.eject(self.names.of(server), until)

    def peer_ejections(self, now: float) -> list[str]:
        """Servers that a peer has ejected now."""
        active = self.ejections.active(now)
        return [server for server in self.servers if self.names.of(server) in active]

    def relative_share(self, now: float) -> float:
        """This proxy's share over an equal part, for what each does at a pace of its own: 0.5 to 1.5."""
        return self.leases.share(now) * self.leases.count

    def may_health_check(self, now: float, server: str) -> bool:
        """One probe there of those that the fleet may send in a second, if this proxy's share has it left."""
        budget = self.budgets.get(server)
        if budget is None:
            budget = self.budgets[server] = self._new_budget(now)
        return budget.spend(now, self.leases.share(now))

    def _new_budget(self, now: float) -> TokenBucket:
        """Empty at the start, unless this proxy is alone: an earlier life may have spent it."""
        burst = PROBES_IN_BURST * self.leases.count
        tokens = burst if self.leases.alone else 0.0
        return TokenBucket(self.terms.health_checks_per_second, burst, tokens, self._started(now))

    def fleet_connections(self, now: float, server: str) -> float:
        """Those of the whole fleet, as far as is known; what lost peers held fades."""
        key = self.names.of(server)
        known = [
            self.table.entries.get(key, 0),
            *[peer.replica.entries.get(key, 0) for peer in self.peers.values()],
        ]
        total, mean = float(sum(known)), sum(known) / len(known)
        for peer in self.lost.values():
            total += peer.remaining(now, key, mean)
        return total

    def _pair(self, server: str, group: str) -> EntryKey:
        return self.names.of(server) + self.names.of(group)

    def _started(self, now: float) -> float:
        self.started_at = now if self.started_at is None else self.started_at
        return self.started_at

    # ---- messages that come -----------------------------------------------------------------------

    def receive(self, now: float, sender: int, text: str) -> list[str]:
        """The servers that peers have ejected, when the message brings an ejection."""
        if sender == self.index or not 0 <= sender < self.count:
            return []
        self._note_event(now)
        try:
            message = decode(text)
        except BadMessage:
            self.undecodable_messages += 1
            return []
        peer = self._peer(now, sender, message)
        sequence = peer.begin(now, message)
        for record in message.records:
            if isinstance(record, TABLE_RECORDS):
                self._update_replica(sender, peer, sequence, record)
            else:
                self._answer(now, sender, peer, record)
        peer.end(now)
        brings_ejection = any([type(record) is EjectionNotice for record in message.records])
        return self.peer_ejections(now) if brings_ejection else []

    def _note_event(self, now: float) -> None:
        """After a stop of this process, what came meanwhile waits: how old it is cannot be told."""
        if now > self.event_at + STALL_THRESHOLD > 0:
            self.trusted_from = now + STALL_RECOVERY
        self.event_at = now

    def _peer(self, now: float, sender: int, message: Message) -> Peer:
        """The sender, anew where it has started anew or was lost."""
        self.lost.pop(sender, None)
        peer = self.peers.get(sender)
        if peer is not None and peer.incarnation == message.incarnation:
            return peer
        self._remove_peer(sender)
        if self.incarnations.get(sender) != message.incarnation:
            self.incarnations[sender] = message.incarnation
            self.ejections.forget(sender)
        peer = self.peers[sender] = Peer(message.incarnation, message.sequence - 1, matched_at=now)
        return peer

    def _answer(self, now: float, sender: int, peer: Peer, record: OtherRecord) -> None:
        match record:
            case LeaseRequest():
                self.outbox.reply(sender, self.leases.grant(now, sender, record))
            case LeaseGrant():
                self.leases.renew(now, sender, record)
            case ClockReading():
                if now >= self.trusted_from:
                    self.ejections.take_clock(now, sender, record)
            case EjectionNotice():
                if now >= self.trusted_from:
                    self.ejections.take_notice(now, sender, record)
            case SnapshotRequest():
                self.outbox.reply(sender, self._snapshot())
            case ResendRequest():
                missed = self.outbox.broadcast_after(record.after)
                self.outbox.reply(sender, self._snapshot() if missed is None else missed)
            case Scale():
                peer.scale = record.slots
                self._update_minimum_scale()

    def _update_replica(self, sender: int, peer: Peer, sequence: int, record: TableRecord) -> None:
        for key in peer.replica.apply(sequence, record):
            if key in peer.replica.entries:
                self.holders.setdefault(key, set()).add(sender)
            else:
                self._remove_holder(sender, key)

    def _update_minimum_scale(self) -> None:
        reported = [peer.scale for peer in self.peers.values() if peer.scale > 0]
        self.minimum_scale = MIN_SCALE_RATIO * sum(reported) / len(reported) if reported else 0.0

    def _remove_holder(self, sender: int, key: EntryKey) -> None:
        peers = self.holders.get(key, set())
        peers.discard(sender)
        if not peers:
            self.holders.pop(key, None)

    def _remove_peer(self, sender: int) -> None:
        peer = self.peers.pop(sender, None)
        if peer is not None:
            for key in peer.replica.entries:
                self._remove_holder(sender, key)

    # ---- messages that go -------------------------------------------------------------------------

    def outgoing_messages(self, now: float) -> list[Outgoing]:
        """The messages to be sent now."""
        self._started(now)
        self._note_event(now)
        if self.count < 2 or not self._has_work(now):
            return []
        if self.outbox.sequence == 0:  # a fresh start
            self._request_snapshots()
        messages = self._broadcast(now)
        if now >= self.checked_at + CHECK_INTERVAL:
            self.checked_at = now
            self._expire_peers(now)
            self._request_repairs(now)
        return messages + self.outbox.pop_replies(self.table.digest)

    def _has_work(self, now: float) -> bool:
        if self.outbox.replies or now >= self.checked_at + CHECK_INTERVAL or self._heartbeat_due(now):
            return True
        return self._may_broadcast(now) and bool(self.table.changed or self.ejections.pending)

    def _may_broadcast(self, now: float) -> bool:
        return now >= self.broadcast_at + BROADCAST_INTERVAL

    def _heartbeat_due(self, now: float) -> bool:
        return now >= self.heartbeat_at + self.heartbeat_interval

    def _request_snapshots(self) -> None:
        for peer in range(self.count):
            if peer != self.index:
                self.outbox.reply(peer, [SnapshotRequest()])

    def _broadcast(self, now: float) -> list[Outgoing]:
        records = self._news(now) if self._may_broadcast(now) else []
        if not records:
            return []
        self.broadcast_at = now
        return self.outbox.broadcast(records, self.table.digest)

    def _news(self, now: float) -> list[Record]:
        """What all are to hear. Numbers of connections change all the time and wait for the heartbeat."""
        heartbeat = self._heartbeat_due(now)
        if heartbeat and self.terms.share_connection_counts:
            for server, holding in self.servers.items():
                self.table.set_connections(self.names.of(server), holding.count)
        records: list[Record] = [*self.table.pop_changes(lambda key: heartbeat or is_pair(key))]
        if _has_changed(self.scale, self.announced_scale):
            self.announced_scale = self.scale
            records.append(Scale(self.announced_scale))
        records += self.ejections.pop_pending(now)
        if heartbeat:
            self.heartbeat_at = now
            records += [self.ejections.clock_reading(now), *self.leases.request(now)]
        return records

    def _snapshot(self) -> Sequence[Record]:
        return [*self.table.snapshot(), Scale(self.announced_scale)]

    def _expire_peers(self, now: float) -> None:
        silent = [
            sender for sender, peer in self.peers.items() if now > peer.received_at + self.terms.lease_term
        ]
        for sender in silent:
            self.lost[sender] = LostPeer(now, self.peers[sender].connections())
            self._remove_peer(sender)

    def _request_repairs(self, now: float) -> None:
        for sender, peer in self.peers.items():
            request = peer.repair(now)
            if request is not None:
                self.outbox.reply(sender, [request])


def _has_changed(scale: float, before: float) -> bool:
    return abs(scale - before) > SCALE_CHANGE * before
