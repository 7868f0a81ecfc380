"""What this proxy knows of the others of its tier by their messages: no I/O and no clock of its own.

``handle(now, event)`` takes what has come and the time, and returns what is to be sent. Everything that is
asked of it is a hint to the module (who holds which group, what a server bears, which are ejected, how many
connections stand where) or a bound that holds whatever was lost (a budget's share). It decides nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from saltcourse.fleet.codec import (
    CLOCK_READING, CONNECTIONS, EJECTION, HEADER_LENGTH, INCARNATION_LENGTH, LEASE_GRANT, LEASE_REQUEST,
    MAX_BYTES, NAME_LENGTH, NUMBER_LENGTH, PAIR_HELD, PAIR_RELEASED, RESEND_REQUEST, RESET, SCALE,
    SEQUENCE_LENGTH, SNAPSHOT_REQUEST, BadMessage, Message, decode, decode_number, encode, encode_clamped,
    encode_number, short_name,
)
from saltcourse.fleet.ejections import Ejections
from saltcourse.fleet.quota import HEARTBEATS_PER_TERM, QuotaLeases, TokenBucket
from saltcourse.fleet.table import LocalTable, Replica
from saltcourse.interface import Settings

BROADCAST_INTERVAL = 0.05  # s between messages of one proxy to all: what changes meanwhile goes together
MISMATCH_GRACE = 1.0  # s that a digest may differ before a peer is asked: what is under way may come
RETRY_INTERVAL = 1.5  # s until the next request to the same peer
SEQUENCES = 1 << 6 * SEQUENCE_LENGTH  # different ones, before they begin again
HISTORY_LENGTH = 256  # records sent to all that can be sent again to one that missed some
STALL_THRESHOLD = 3.0  # s without any event: this process stood still
STALL_RECOVERY = 0.5  # s in which it takes what waited meanwhile
MIN_SCALE_RATIO = 0.5  # of the peers' mean: who has just started holds too little to know its own
LOST_PEER_HALF_LIFE = 30.0  # s; down to what the others hold in the mean
MAX_CACHED_NAMES = 20_000


@dataclass(frozen=True, slots=True)
class Received:
    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class Tick:
    pass


Event = Received | Tick
Sends = list[tuple[int | None, str]]  # to one peer, or to all (None)


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
    retry_at: float = 0.0  # when it may be asked again
    scale: float = 0.0

    def unwrap(self, sequence: int) -> int:
        return self.sequence + (sequence - self.sequence + SEQUENCES // 2) % SEQUENCES - SEQUENCES // 2


class Holding(Protocol):
    """What the module knows of a server, as far as peers are told of it."""

    count: int  # connections that stand there through this proxy


class Fleet:
    def __init__(self, settings: Settings, incarnation: int, servers: Mapping[str, Holding]) -> None:
        """``incarnation``: another number with each start of this proxy. ``servers``: those it knows now."""
        self.index, self.count = settings.index, settings.balancers if settings.peers else 1
        self.incarnation, self.sequence = incarnation % 64**INCARNATION_LENGTH, 0
        self.terms, self.servers = settings.fleet, servers
        self.heartbeat_interval = self.terms.term / HEARTBEATS_PER_TERM  # s
        self.table, self.peers = LocalTable(), dict[int, Peer]()
        self.leases = QuotaLeases(self.index, settings.balancers, self.terms, alone=self.count < 2)
        self.budgets: dict[str, TokenBucket] = {}
        self.ejections = Ejections(self.terms.drift)
        self.holders: dict[str, set[int]] = {}  # pair -> the peers that hold it
        self.scale = self.announced_scale = 0.0
        self.least_scale = 0.0  # what this proxy's is at least, by what the peers report; 0 while none does
        self.incarnations: dict[int, int] = {}  # of the peers, also of the lost ones
        self.lost: dict[int, tuple[float, dict[str, int]]] = {}  # peer -> when it was lost, what it held
        self.replies: dict[int, list[str]] = {}  # peer -> records that it alone is to get
        self.history: deque[tuple[int, str]] = deque(maxlen=HISTORY_LENGTH)  # sequence, record sent to all
        self.broadcast_at = self.heartbeat_at = -1e9  # the last message to all; the last heartbeat
        self.checked_at = 0.0
        self.event_at = -1e9  # when anything happened here
        self.trusted_from = -1e9  # from when on what comes has not waited
        self.started_at: float | None = None
        self.name_cache: dict[str, str] = {}
        self.undecodable = 0  # messages that could not be decoded

    # ---- what the module asks and tells -----------------------------------------------------------

    def held_elsewhere(self, server: str, group: str) -> bool:
        return bool(self.holders) and self._name(server) + self._name(group) in self.holders

    def hold(self, server: str, group: str, held: bool) -> None:
        """This proxy has got its first connection of the group there, or lost its last."""
        if self.count > 1:
            self.table.set(self._name(server) + self._name(group), "" if held else None)

    def set_scale(self, scale: float) -> None:
        """This proxy's slots in a server's whole load; sent when it has changed by a fifth."""
        if abs(scale - self.scale) > 0.2 * self.scale:
            self.scale = scale

    def eject(self, server: str, until: float) -> None:
        """This proxy has ejected the server until then."""
        if self.count > 1:
            self.ejections.eject(self._name(server), until)

    def relative_share(self, now: float) -> float:
        """This proxy's share over an equal part, for what each does at a pace of its own: 0.5 to 1.5."""
        return self.leases.share(now) * self.leases.count

    def _start(self, now: float) -> float:
        self.started_at = now if self.started_at is None else self.started_at
        return self.started_at

    def may_probe(self, now: float, server: str) -> bool:
        """One probe there of those that the fleet may send in a second, if this proxy's share has it left."""
        budget = self.budgets.get(server)
        if budget is None:
            # The smallest share holds one. A budget is empty at the start: an earlier life may have spent it.
            burst = 2.0 * self.leases.count
            tokens = burst if self.leases.alone else 0.0
            budget = TokenBucket(self.terms.probes, burst, tokens, self._start(now))
            self.budgets[server] = budget
        return budget.spend(now, self.leases.share(now))

    def connections(self, now: float, server: str) -> float:
        """Those of the whole fleet, as far as is known. What a lost peer held fades to what the others hold
        in the mean, and not to nothing: it may serve them still, where nobody hears it."""
        key = self._name(server)
        known = [decode_number(value) for value in [self.table.entries.get(key, ""), *[
            p.replica.entries.get(key, "") for p in self.peers.values()]]]
        total, mean = float(sum(known)), sum(known) / len(known)
        for since, held in self.lost.values():
            last = held.get(key, 0)
            total += max(min(last, mean), last * 0.5 ** ((now - since) / LOST_PEER_HALF_LIFE))
        return total

    def _name(self, identifier: str) -> str:
        if len(self.name_cache) > MAX_CACHED_NAMES:  # names are dear to make, but groups come and go for ever
            self.name_cache.clear()
        known = self.name_cache.get(identifier)
        return known or self.name_cache.setdefault(identifier, short_name(identifier))

    # ---- messages ---------------------------------------------------------------------------------

    def handle(self, now: float, event: Event) -> Sends:
        if isinstance(event, Received):
            self.receive(now, event.sender, event.text)
        return self.due(now)

    def receive(self, now: float, sender: int, text: str) -> list[str]:
        """The servers that peers have ejected, when the message brings an ejection."""
        if sender == self.index or not 0 <= sender < self.count:
            return []
        self._note_event(now)
        try:
            message = decode(text)
        except BadMessage:
            self.undecodable += 1
            return []
        peer = self.peers.get(sender)
        if peer is None or peer.incarnation != message.incarnation:
            self._remove_peer(sender)
            if self.incarnations.get(sender) != message.incarnation:
                self.incarnations[sender] = message.incarnation
                self.ejections.forget(sender)
            peer = self.peers[sender] = Peer(message.incarnation, message.sequence - 1, matched_at=now)
        self.lost.pop(sender, None)
        sequence, peer.received_at = peer.unwrap(message.sequence), now
        if sequence > peer.sequence:
            peer.sequence, peer.announced_digest = sequence, message.digest
        for record in message.records:
            self._apply(now, sender, peer, sequence, record[0], record[1:])
        if peer.replica.digest == peer.announced_digest:
            peer.matched_at, peer.matched_sequence, peer.retry_at = now, peer.sequence, 0.0
        return self.ejected(now) if any([r[0] == EJECTION for r in message.records]) else []

    def ejected(self, now: float) -> list[str]:
        """Servers that a peer has ejected now."""
        active = self.ejections.active(now)
        return [s for s in self.servers if self._name(s) in active]

    def _note_event(self, now: float) -> None:
        """After a stop of this process, what came meanwhile waits: how old it is cannot be told."""
        if now > self.event_at + STALL_THRESHOLD > 0:
            self.trusted_from = now + STALL_RECOVERY
        self.event_at = now

    def _apply(self, now: float, sender: int, peer: Peer, sequence: int, kind: str, body: str) -> None:
        if kind in (PAIR_HELD, PAIR_RELEASED, CONNECTIONS, RESET):
            for key in peer.replica.apply(sequence, kind, body):
                if key in peer.replica.entries:
                    self.holders.setdefault(key, set()).add(sender)
                else:
                    self._remove_holder(sender, key)
        elif kind in (LEASE_REQUEST, LEASE_GRANT):
            self._reply(sender, self.leases.receive(now, sender, kind, body))
        elif kind in (CLOCK_READING, EJECTION):
            if now >= self.trusted_from:
                self.ejections.receive(now, sender, kind, body)
        elif kind == SNAPSHOT_REQUEST:
            self._reply(sender, self._snapshot())
        elif kind == RESEND_REQUEST:
            since = self.sequence - (self.sequence - decode_number(body)) % SEQUENCES
            missed = {r[1:1 + (NAME_LENGTH if r[0] == CONNECTIONS else 2 * NAME_LENGTH)]: r
                      for n, r in self.history if n > since}
            known = since >= 0 and (len(self.history) < HISTORY_LENGTH or self.history[0][0] <= since)
            self._reply(sender, list(missed.values()) if known else self._snapshot())
        elif kind == SCALE:
            peer.scale = decode_number(body) / 100
            reported = [p.scale for p in self.peers.values() if p.scale > 0]
            self.least_scale = MIN_SCALE_RATIO * sum(reported) / len(reported) if reported else 0.0

    def _reply(self, sender: int, records: list[str]) -> None:
        if records:
            self.replies.setdefault(sender, []).extend(records)

    def _snapshot(self) -> list[str]:
        return [*self.table.snapshot(), *self._scale_record()]

    def _remove_holder(self, sender: int, key: str) -> None:
        peers = self.holders.get(key, set())
        peers.discard(sender)
        if not peers:
            self.holders.pop(key, None)

    def _remove_peer(self, sender: int) -> None:
        peer = self.peers.pop(sender, None)
        if peer is not None:
            for key in peer.replica.entries:
                self._remove_holder(sender, key)

    def due(self, now: float) -> Sends:
        """The messages to be sent now."""
        self._start(now)
        self._note_event(now)
        pressing = self.replies or (now >= self.broadcast_at + BROADCAST_INTERVAL and (
            self.table.changed or self.ejections.pending))
        if self.count < 2 or not pressing and now < min(
                self.checked_at + MISMATCH_GRACE, self.heartbeat_at + self.heartbeat_interval):
            return []
        out: Sends = []
        if self.sequence == 0:  # a fresh start
            for peer in range(self.count):
                self._reply(peer, [SNAPSHOT_REQUEST] if peer != self.index else [])
        if now >= self.broadcast_at + BROADCAST_INTERVAL:
            records = self._broadcast_records(now)
            if records:
                self.broadcast_at = now
                out += [(None, text) for text in self._packed(records, to_all=True)]
        if now >= self.checked_at + MISMATCH_GRACE:
            self.checked_at = now
            self._expire_peers(now)
            self._request_repairs(now)
        out += [(peer, text) for peer, records in sorted(self.replies.items())
                for text in self._packed(records)]
        self.replies.clear()
        return out

    def _broadcast_records(self, now: float) -> list[str]:
        """What all are to hear. Numbers of connections change all the time and wait for the heartbeat."""
        heartbeat = now >= self.heartbeat_at + self.heartbeat_interval
        if heartbeat and self.terms.counts:
            for server, holding in self.servers.items():
                self.table.set_connections(self._name(server), holding.count)
        records = self.table.pop_changes(lambda key: heartbeat or len(key) > NAME_LENGTH)
        if abs(self.scale - self.announced_scale) > 0.2 * self.announced_scale:
            self.announced_scale = self.scale
            records += self._scale_record()
        records += self.ejections.pop_pending(now)
        if heartbeat:
            self.heartbeat_at = now
            records += [self.ejections.clock_reading(now), *self.leases.request(now)]
        return records

    def _expire_peers(self, now: float) -> None:
        for sender in [s for s, p in self.peers.items() if now > p.received_at + self.terms.term]:
            held = {k: decode_number(v) for k, v in self.peers[sender].replica.entries.items() if v}
            self._remove_peer(sender)
            self.lost[sender] = now, held

    def _request_repairs(self, now: float) -> None:
        """Ask those whose digest has differed for a while: first for what followed the last agreement."""
        for sender, peer in self.peers.items():
            if peer.replica.digest != peer.announced_digest and not peer.replica.is_full() and now > max(
                    peer.retry_at, peer.matched_at + MISMATCH_GRACE):
                first = peer.retry_at == 0.0 and peer.matched_sequence is not None
                since = encode_number(peer.matched_sequence or 0, SEQUENCE_LENGTH)
                self._reply(sender, [RESEND_REQUEST + since if first else SNAPSHOT_REQUEST])
                peer.retry_at = now + RETRY_INTERVAL

    def _scale_record(self) -> list[str]:
        return [SCALE + encode_clamped(round(100 * self.announced_scale), NUMBER_LENGTH)]

    def _packed(self, records: list[str], to_all: bool = False) -> Iterable[str]:
        """As many messages as the records need, at least one. All have the digest of what holds after the
        last: a replica that lacks a part of them has another one, and asks."""
        at = 0
        while True:
            size, begin = HEADER_LENGTH, at
            while at < len(records) and size + len(records[at]) <= MAX_BYTES:
                size += len(records[at])
                at += 1
            part = records[begin:at]
            yield encode(Message(self.incarnation, self.sequence, self.table.digest, tuple(part)))
            if to_all:
                self.history.extend([
                    (self.sequence, r) for r in part if r[0] in (PAIR_HELD, PAIR_RELEASED, CONNECTIONS)])
            self.sequence += 1
            if at == len(records):
                return
