"""What this proxy knows of the others of its tier by their messages. No I/O, no clock of its own.

``receive`` takes a message that has come, ``outgoing_messages`` returns those that are to be sent now;
times are seconds on this proxy's clock. All that is asked of it is either a hint (which peer serves which
group, the capacity scale, which backends are ejected, how many connections a backend has) or a bound that
holds whatever was lost (a share of a budget). It decides nothing.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from saltcourse.balancing.settings import Settings
from saltcourse.shared_state.codec import decode
from saltcourse.shared_state.ejections import Ejections
from saltcourse.shared_state.errors import MalformedMessageError
from saltcourse.shared_state.health_check_budget import HealthCheckBudget
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
)
from saltcourse.shared_state.outbox import Outbox, Outgoing
from saltcourse.shared_state.peer import MISMATCH_GRACE_SECONDS, LostPeer, Peer
from saltcourse.shared_state.peers import PeerRegistry
from saltcourse.shared_state.quota import HEARTBEATS_PER_TERM, QuotaLeases
from saltcourse.shared_state.short_names import ShortNameCache
from saltcourse.shared_state.table import LocalTable, is_pair

BROADCAST_INTERVAL_SECONDS = 0.05  # between broadcasts of one proxy: what changes meanwhile goes together
CHECK_INTERVAL_SECONDS = MISMATCH_GRACE_SECONDS  # between checks for silent peers and differing replicas
STALL_THRESHOLD_SECONDS = 3.0  # without any event: this process was stopped
STALL_RECOVERY_SECONDS = 0.5  # after a stall, in which this process takes what waited meanwhile
SCALE_CHANGE_RATIO = 0.2  # by which the capacity scale has to change to be sent again
LONG_AGO = -1e9  # s


class Holding(Protocol):
    """What the balancing knows of a backend, as far as peers are sent it."""

    count: int  # connections there through this proxy


class SharedState:
    """The state of one proxy. With no others to talk to it sends nothing, and its shares are equal parts."""

    def __init__(self, settings: Settings, incarnation: int, backends: Mapping[str, Holding]) -> None:
        """``incarnation``: another number with each start of this proxy. ``backends``: those it knows now."""
        self.index = settings.proxy_index
        self.count = settings.proxy_count if settings.peers_allowed else 1
        self.settings = settings.shared_state
        self.backends = backends
        self.heartbeat_interval = self.settings.lease_term / HEARTBEATS_PER_TERM  # s
        self.names = ShortNameCache()
        self.table = LocalTable()
        self.outbox = Outbox(incarnation)
        self.leases = QuotaLeases(self.index, settings.proxy_count, self.settings, alone=self.count < 2)
        self.health_checks = HealthCheckBudget(self.settings.health_checks_per_second, self.leases)
        self.ejections = Ejections(self.settings.clock_drift)
        self.registry = PeerRegistry(self.settings.lease_term)
        self.scale = 0.0  # this proxy's capacity scale: slots in a backend's whole load
        self.announced_scale = 0.0
        self.minimum_scale = 0.0  # what the capacity scale is at least; 0 while no peer reports one
        self.broadcast_at = LONG_AGO
        self.heartbeat_at = LONG_AGO
        self.checked_at = 0.0
        self.event_at: float | None = None  # when anything happened here last
        self.trusted_from = LONG_AGO  # when the messages that waited during a stall have been taken
        self.started_at: float | None = None
        self.undecodable_messages = 0

    @property
    def peers(self) -> Mapping[int, Peer]:
        """The peers that send, by their numbers."""
        return self.registry.peers

    @property
    def lost(self) -> Mapping[int, LostPeer]:
        """The peers that have fallen silent, by their numbers."""
        return self.registry.lost

    @property
    def holders(self) -> Mapping[EntryKey, set[int]]:
        """The peers that have an entry, by its key."""
        return self.registry.holders

    # ---- for the balancing ------------------------------------------------------------------------

    def peer_serves_group(self, backend: str, group: str) -> bool:
        """Whether a peer has connections of the group at the backend."""
        holders = self.registry.holders
        return bool(holders) and self._pair(backend, group) in holders

    def record_group(self, backend: str, group: str, held: bool) -> None:
        """This proxy has got its first connection of the group at the backend, or lost its last."""
        if self.count > 1:
            self.table.set_pair(self._pair(backend, group), held)

    def set_capacity_scale(self, scale: float) -> None:
        """Note this proxy's slots in a backend's whole load; sent when it has changed by a fifth."""
        if _has_changed(scale, self.scale):
            self.scale = scale

    def announce_ejection(self, backend: str, until: float) -> None:
        """This proxy has ejected the backend until then."""
        if self.count > 1:
            self.ejections.announce(self.names.get(backend), until)

    def peer_ejections(self, now: float) -> list[str]:
        """Backends that a peer has ejected and that are ejected still."""
        active = self.ejections.active(now)
        return [backend for backend in self.backends if self.names.get(backend) in active]

    def relative_share(self, now: float) -> float:
        """This proxy's share in equal parts, for what each proxy does at a rate of its own: 0.5 to 1.5."""
        return self.leases.share(now) * self.leases.proxy_count

    def may_health_check(self, now: float, backend: str) -> bool:
        """Take one of the health checks that the fleet may send a second, if its share has one left."""
        return self.health_checks.spend(now, backend, self._started(now))

    def fleet_connections(self, now: float, backend: str) -> float:
        """The whole fleet's connections at the backend, as far as is known; those of lost peers decay."""
        key = self.names.get(backend)
        return self.registry.connections(now, key, self.table.entries.get(key, 0))

    def _pair(self, backend: str, group: str) -> EntryKey:
        return self.names.get(backend) + self.names.get(group)

    def _started(self, now: float) -> float:
        if self.started_at is None:
            self.started_at = now
        return self.started_at

    # ---- incoming messages ------------------------------------------------------------------------

    def receive(self, now: float, sender: int, text: str) -> list[str]:
        """Take a message of the peer ``sender``.

        Returns the backends that peers have ejected if the message has an ejection notice, otherwise nothing.
        """
        if sender == self.index or not 0 <= sender < self.count:
            return []
        self._detect_stall(now)
        try:
            message = decode(text)
        except MalformedMessageError:
            self.undecodable_messages += 1
            return []
        self._apply_message(now, sender, message)
        has_ejection_notice = any([type(record) is EjectionNotice for record in message.records])
        return self.peer_ejections(now) if has_ejection_notice else []

    def _apply_message(self, now: float, sender: int, message: Message) -> None:
        if self.registry.has_restarted(sender, message):
            self.ejections.forget_peer(sender)
        peer = self.registry.sender_of(now, sender, message)
        sequence = peer.begin_message(now, message)
        for record in message.records:
            if isinstance(record, TABLE_RECORDS):
                self.registry.update_replica(sender, peer, sequence, record)
            else:
                self._handle_record(now, sender, peer, record)
        peer.end_message(now)

    def _handle_record(self, now: float, sender: int, peer: Peer, record: OtherRecord) -> None:
        match record:
            case LeaseRequest():
                self.outbox.reply(sender, self.leases.grant(now, sender, record))
            case LeaseGrant():
                self.leases.receive_grant(now, sender, record)
            case ClockReading():
                if now >= self.trusted_from:
                    self.ejections.receive_clock(now, sender, record)
            case EjectionNotice():
                if now >= self.trusted_from:
                    self.ejections.receive_notice(now, sender, record)
            case SnapshotRequest():
                self.outbox.reply(sender, self._snapshot())
            case ResendRequest():
                missed = self.outbox.records_after(record.after)
                self.outbox.reply(sender, self._snapshot() if missed is None else missed)
            case Scale():
                peer.scale = record.slots
                self.minimum_scale = self.registry.minimum_scale()

    def _detect_stall(self, now: float) -> None:
        """After a stall, messages have waited in the socket, and nobody can tell for how long.

        Their clock readings and ejections are ignored, or an ejection would outlive its end.
        """
        if self.event_at is not None and now > self.event_at + STALL_THRESHOLD_SECONDS:
            self.trusted_from = now + STALL_RECOVERY_SECONDS
        self.event_at = now

    # ---- outgoing messages ------------------------------------------------------------------------

    def outgoing_messages(self, now: float) -> list[Outgoing]:
        """The messages to be sent now."""
        self._started(now)
        self._detect_stall(now)
        if self.count < 2 or not self._has_work(now):
            return []
        if self.outbox.sequence == 0:  # this process has just started
            self._request_snapshots()
        messages = self._broadcast(now)
        if self._is_check_due(now):
            self.checked_at = now
            self.registry.expire(now)
            self._request_repairs(now)
        return messages + self.outbox.pop_replies(self.table.digest)

    def _has_work(self, now: float) -> bool:
        if self.outbox.replies or self._is_check_due(now) or self._is_heartbeat_due(now):
            return True
        return self._may_broadcast(now) and bool(self.table.changed or self.ejections.pending)

    def _may_broadcast(self, now: float) -> bool:
        return now >= self.broadcast_at + BROADCAST_INTERVAL_SECONDS

    def _is_heartbeat_due(self, now: float) -> bool:
        return now >= self.heartbeat_at + self.heartbeat_interval

    def _is_check_due(self, now: float) -> bool:
        return now >= self.checked_at + CHECK_INTERVAL_SECONDS

    def _request_snapshots(self) -> None:
        for peer in range(self.count):
            if peer != self.index:
                self.outbox.reply(peer, [SnapshotRequest()])

    def _broadcast(self, now: float) -> list[Outgoing]:
        records = self._collect_broadcast_records(now) if self._may_broadcast(now) else []
        if not records:
            return []
        self.broadcast_at = now
        return self.outbox.broadcast(records, self.table.digest)

    def _collect_broadcast_records(self, now: float) -> list[Record]:
        """What all peers are to be sent. Connection counts change all the time and wait for the heartbeat."""
        is_heartbeat = self._is_heartbeat_due(now)
        if is_heartbeat and self.settings.share_connection_counts:
            for backend, holding in self.backends.items():
                self.table.set_connections(self.names.get(backend), holding.count)
        records: list[Record] = [*self.table.pop_changes(lambda key: is_heartbeat or is_pair(key))]
        if _has_changed(self.scale, self.announced_scale):
            self.announced_scale = self.scale
            records.append(Scale(self.announced_scale))
        records += self.ejections.pop_pending(now)
        if is_heartbeat:
            self.heartbeat_at = now
            records += [self.ejections.clock_reading(now), *self.leases.request(now)]
        return records

    def _snapshot(self) -> Sequence[Record]:
        return [*self.table.snapshot(), Scale(self.announced_scale)]

    def _request_repairs(self, now: float) -> None:
        for sender, peer in self.peers.items():
            request = peer.repair_request(now)
            if request is not None:
                self.outbox.reply(sender, [request])


def _has_changed(scale: float, before: float) -> bool:
    return abs(scale - before) > SCALE_CHANGE_RATIO * before
