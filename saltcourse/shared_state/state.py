"""State shared with the other proxies of the tier. The module does no I/O and reads no clock.

``receive`` processes a received message, ``outgoing_messages`` returns the messages to send now. Times are
seconds on this proxy's clock. The balancer gets either hints (which peer serves a group, the capacity scale,
the ejected backends, the connections of a backend) or bounds that hold even if messages are lost (the share
of a budget). The balancer makes the decisions.
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

BROADCAST_INTERVAL_SECONDS = 0.05  # minimum time between broadcasts; changes in between are sent together
CHECK_INTERVAL_SECONDS = MISMATCH_GRACE_SECONDS  # time between checks for silent peers and replica mismatches
STALL_THRESHOLD_SECONDS = 3.0  # time without any event after which this process must have been stopped
STALL_RECOVERY_SECONDS = 0.5  # time to process the messages that were queued in the socket during a stall
SCALE_CHANGE_RATIO = 0.2  # minimum relative change of the capacity scale to announce it again
LONG_AGO = -1e9  # initial value of timestamps, seconds


class BackendConnections(Protocol):
    """The part of the balancer's backend record that is shared with peers."""

    count: int  # connections to the backend through this proxy


class SharedState:
    """The shared state of one proxy.

    If the settings allow no peers, or the tier has only one proxy, it sends no messages and its share is an
    equal part.
    """

    def __init__(
        self, settings: Settings, incarnation: int, backends: Mapping[str, BackendConnections]
    ) -> None:
        """Initialize the state.

        ``incarnation``: a number that differs with each start of this proxy. ``backends``: the balancer's
        mapping of the current backends; it is read whenever connection counts are announced.
        """
        self.index = settings.proxy_index
        self.mesh_size = settings.proxy_count if settings.peers_allowed else 1  # proxies, including this one
        self.settings = settings.shared_state
        self.backends = backends
        self.heartbeat_interval = self.settings.lease_term / HEARTBEATS_PER_TERM  # seconds
        self.short_names = ShortNameCache()
        self.table = LocalTable()
        self.outbox = Outbox(incarnation)
        self.leases = QuotaLeases(
            self.index, settings.proxy_count, self.settings, isolated=self.mesh_size < 2
        )
        self.health_checks = HealthCheckBudget(self.settings.health_checks_per_second, self.leases)
        self.ejections = Ejections(self.settings.clock_drift)
        self.registry = PeerRegistry(self.settings.lease_term)
        self.scale = 0.0  # this proxy's capacity scale: slots at a backend's full load
        self.announced_scale = 0.0
        self.minimum_scale = 0.0  # lower bound for the capacity scale; 0 if no peer reports one
        self.last_broadcast_at = LONG_AGO
        self.last_heartbeat_at = LONG_AGO
        self.last_check_at = 0.0
        self.last_event_at: float | None = None  # time of the last receive or outgoing_messages call
        self.stall_recovered_at = LONG_AGO  # when the messages queued during a stall have been processed
        self.started_at: float | None = None
        self.undecodable_messages = 0
        self.is_linked = True  # whether this process, of the two of a replacement, speaks for this proxy

    @property
    def peers(self) -> Mapping[int, Peer]:
        """The active peers, by proxy index."""
        return self.registry.peers

    @property
    def lost(self) -> Mapping[int, LostPeer]:
        """The peers that have been silent for longer than a lease term, by proxy index."""
        return self.registry.lost

    @property
    def peers_by_key(self) -> Mapping[EntryKey, set[int]]:
        """The indexes of the peers that have an entry, by the entry's key."""
        return self.registry.peers_by_key

    def set_linked(self, now: float, is_linked: bool) -> None:
        """Record whether this process speaks for this proxy; it begins anew when it starts to.

        While a process is replaced, the old and the new one are one proxy to the peers. The one that is not
        linked sends nothing and spends nothing from the fleet's budgets. The one that becomes linked counts
        as started now: the other one may just have granted leases and spent tokens.
        """
        if is_linked and not self.is_linked:
            self.started_at = now
            self.leases.restart(now)
            self.health_checks.restart()
            self.outbox.restart()
        self.is_linked = is_linked

    # ---- interface for the balancer ---------------------------------------------------------------

    def peer_serves_group(self, backend: str, group: str) -> bool:
        """Return whether a peer has connections of the group to the backend."""
        peers_by_key = self.registry.peers_by_key
        return bool(peers_by_key) and self._pair_key(backend, group) in peers_by_key

    def record_group(self, backend: str, group: str, has_connections: bool) -> None:
        """Record that this proxy opened its first connection of the group to the backend, or closed its last.

        ``has_connections``: whether it has any such connection now.
        """
        if self.mesh_size > 1:
            self.table.set_pair(self._pair_key(backend, group), has_connections)

    def set_capacity_scale(self, scale: float) -> None:
        """Set this proxy's estimate of the slots at a backend's full load.

        Changes of at most ``SCALE_CHANGE_RATIO`` are ignored.
        """
        if _has_changed(scale, self.scale):
            self.scale = scale

    def announce_ejection(self, backend: str, until: float) -> None:
        """Announce to the peers that this proxy has ejected the backend until ``until`` (seconds)."""
        if self.mesh_size > 1:
            self.ejections.announce(self.short_names.get(backend), until)

    def peer_ejections(self, now: float) -> list[str]:
        """Return the backends that are currently ejected by a peer."""
        active = self.ejections.active(now)
        return [backend for backend in self.backends if self.short_names.get(backend) in active]

    def relative_share(self, now: float) -> float:
        """Return this proxy's share of a fleet-wide budget in units of an equal part, from 0.5 to 1.5."""
        return self.leases.share(now) * self.leases.proxy_count

    def may_health_check(self, now: float, backend: str) -> bool:
        """Return whether this proxy may send a health check to the backend now; if so, charge the budget."""
        if not self.is_linked:
            return False
        return self.health_checks.spend(now, backend, self._start_time(now))

    def fleet_connections(self, now: float, backend: str) -> float:
        """Return the estimated number of connections of all proxies to the backend.

        The counts of lost peers decay.
        """
        key = self.short_names.get(backend)
        return self.registry.connections(now, key, self.table.entries.get(key, 0))

    def _pair_key(self, backend: str, group: str) -> EntryKey:
        return self.short_names.get(backend) + self.short_names.get(group)

    def _start_time(self, now: float) -> float:
        if self.started_at is None:
            self.started_at = now
        return self.started_at

    # ---- incoming messages ------------------------------------------------------------------------

    def receive(self, now: float, sender: int, text: str) -> list[str]:
        """Process a message from the peer with index ``sender``. Invalid messages are counted and dropped.

        Returns the backends currently ejected by peers if the message has an ejection notice, otherwise an
        empty list.
        """
        if sender == self.index or not 0 <= sender < self.mesh_size:
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
        peer = self.registry.get_or_create(now, sender, message)
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
                self.outbox.queue_reply(sender, self.leases.grant(now, sender, record))
            case LeaseGrant():
                self.leases.receive_grant(now, sender, record)
            case ClockReading():
                if now >= self.stall_recovered_at:
                    self.ejections.receive_clock(now, sender, record)
            case EjectionNotice():
                if now >= self.stall_recovered_at:
                    self.ejections.receive_notice(now, sender, record)
            case SnapshotRequest():
                self.outbox.queue_reply(sender, self._snapshot())
            case ResendRequest():
                missed = self.outbox.records_after(record.after)
                self.outbox.queue_reply(sender, self._snapshot() if missed is None else missed)
            case Scale():
                peer.scale = record.slots
                self.minimum_scale = self.registry.minimum_scale()

    def _detect_stall(self, now: float) -> None:
        """Detect that this process was stopped, and start the recovery period.

        Messages were queued in the socket for an unknown time during the stall. Their clock readings and
        ejection notices are ignored, because they would make ejections last too long.
        """
        if self.last_event_at is not None and now > self.last_event_at + STALL_THRESHOLD_SECONDS:
            self.stall_recovered_at = now + STALL_RECOVERY_SECONDS
        self.last_event_at = now

    # ---- outgoing messages ------------------------------------------------------------------------

    def outgoing_messages(self, now: float) -> list[Outgoing]:
        """Return the messages to send now."""
        self._start_time(now)
        self._detect_stall(now)
        if self.mesh_size < 2 or not self.is_linked or not self._has_work(now):
            return []
        if self.outbox.sequence == 0:  # this process has just started
            self._request_snapshots()
        messages = self._broadcast(now)
        if self._is_check_due(now):
            self.last_check_at = now
            self.registry.expire(now)
            self._request_repairs(now)
        return messages + self.outbox.pop_replies(self.table.digest)

    def _has_work(self, now: float) -> bool:
        if self.outbox.replies or self._is_check_due(now) or self._is_heartbeat_due(now):
            return True
        return self._may_broadcast(now) and bool(self.table.changed or self.ejections.pending)

    def _may_broadcast(self, now: float) -> bool:
        return now >= self.last_broadcast_at + BROADCAST_INTERVAL_SECONDS

    def _is_heartbeat_due(self, now: float) -> bool:
        return now >= self.last_heartbeat_at + self.heartbeat_interval

    def _is_check_due(self, now: float) -> bool:
        return now >= self.last_check_at + CHECK_INTERVAL_SECONDS

    def _request_snapshots(self) -> None:
        for peer in range(self.mesh_size):
            if peer != self.index:
                self.outbox.queue_reply(peer, [SnapshotRequest()])

    def _broadcast(self, now: float) -> list[Outgoing]:
        records = self._collect_broadcast_records(now) if self._may_broadcast(now) else []
        if not records:
            return []
        self.last_broadcast_at = now
        return self.outbox.broadcast(records, self.table.digest)

    def _collect_broadcast_records(self, now: float) -> list[Record]:
        """Return the records to broadcast.

        Connection counts change constantly and are only sent with heartbeats.
        """
        is_heartbeat = self._is_heartbeat_due(now)
        if is_heartbeat and self.settings.share_connection_counts:
            for backend, connections in self.backends.items():
                self.table.set_connections(self.short_names.get(backend), connections.count)
        records: list[Record] = [*self.table.pop_changes(lambda key: is_heartbeat or is_pair(key))]
        if _has_changed(self.scale, self.announced_scale):
            self.announced_scale = self.scale
            records.append(Scale(self.announced_scale))
        records += self.ejections.pop_pending(now)
        if is_heartbeat:
            self.last_heartbeat_at = now
            records += [self.ejections.clock_reading(now), *self.leases.request(now)]
        return records

    def _snapshot(self) -> Sequence[Record]:
        return [*self.table.snapshot(), Scale(self.announced_scale)]

    def _request_repairs(self, now: float) -> None:
        for sender, peer in self.peers.items():
            request = peer.repair_request(now)
            if request is not None:
                self.outbox.queue_reply(sender, [request])


def _has_changed(scale: float, before: float) -> bool:
    return abs(scale - before) > SCALE_CHANGE_RATIO * before
