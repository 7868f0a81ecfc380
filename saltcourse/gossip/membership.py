"""Who is a member of the fleet and whether it is alive: SWIM with suspicion, Lifeguard, and table comparison.

``Membership`` joins the parts and holds the rules that concern more than one of them:

    member_table       records and their order of precedence
    failure_detector   probes and the local health score
    suspicion          timers from suspect to dead
    zone_silence       zones that cannot be reached, which are no heap of dead members
    own_record         objections and rivals for the name
    update_merging     what a claim about a member leads to
    sampling           random choices among live members
    broadcasts         updates that ride on other messages
    table_sync         joining and repair

Work per message is that of its updates, work per second is constant (the probe, gossip and sync intervals).
What grows with the fleet: see each part; all in all about 0.8 kB of memory for each member.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence

from saltcourse.gossip.broadcasts import RECORDS_ROOM_BYTES, BroadcastQueue
from saltcourse.gossip.budget import TokenBucket
from saltcourse.gossip.failure_detector import FailedProbe, FailureDetector, LocalHealth, ProbeOrder
from saltcourse.gossip.member_table import Member, MemberTable, is_departed
from saltcourse.gossip.messages import (
    Ack,
    Address,
    Gossip,
    Header,
    MemberChanged,
    MemberId,
    MemberRecord,
    MembershipMessage,
    Nack,
    Ping,
    PingRequest,
    Priority,
    Send,
    Status,
    SyncReply,
    SyncRequest,
    ZoneReachability,
    ZoneSum,
)
from saltcourse.gossip.own_record import OwnRecord
from saltcourse.gossip.sampling import MemberSampler
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.suspicion import SuspicionTimers, suspicion_timeout
from saltcourse.gossip.table_sync import TableSync
from saltcourse.gossip.update_merging import UpdateMerger
from saltcourse.gossip.zone_silence import ZoneSilence

TELL_INTERVAL = 1.0  # s, between two answers with its own record to one member
STRANGER_ACKS = 100.0  # a second, to all senders that are not in the table
STRANGER_PAGES = 20.0  # a second, of the table to them and asked of them
LEAVE_FANOUT = 8  # members told at once by one that leaves
BUSY_PACE = 2.0  # times the gossip interval while many updates wait: each datagram is then full


class Membership:
    """One member's view of the fleet. Free of I/O; ``now`` is in seconds and never goes back."""

    def __init__(
        self, me: MemberRecord, seeds: tuple[Address, ...], timing: Timing, source: random.Random
    ) -> None:
        self._timing = timing
        self._random = source
        self._id = me.id
        self._table = MemberTable(me)
        self._own = OwnRecord(me)
        self._health = LocalHealth()
        self._queue = BroadcastQueue(timing.retransmit_multiplier)
        self._order = ProbeOrder(self._table, source)
        self._timers = SuspicionTimers()
        self._zones = ZoneSilence(timing, source, self._table)
        self._merger = UpdateMerger(
            timing, self._table, self._own, self._health, self._queue, self._order, self._timers, self._zones
        )
        self._detector = FailureDetector(timing, source, self._health, self._merger.updates_for)
        self._sampler = MemberSampler(source, self._table, self._zones)
        self._sync = TableSync(self._table, seeds, timing, source, self.sample)
        self._last_tick = -math.inf
        self._probe_at = self._gossip_at = self._reconnect_at = math.inf
        self._stranger_acks = TokenBucket(STRANGER_ACKS, STRANGER_ACKS)
        self._stranger_pages = TokenBucket(STRANGER_PAGES, STRANGER_PAGES)
        self._was_joining = False
        self._probe_failures = 0
        self._misaddressed_pings = 0
        self._strangers = 0
        self._stalls = 0

    # ---- reads ------------------------------------------------------------------------------------

    @property
    def me(self) -> MemberRecord:
        return self._own.record

    @property
    def members(self) -> Mapping[MemberId, Member]:
        return self._table.members

    def live(self, zone: str | None = None) -> Sequence[MemberRecord]:
        """Members alive or suspect, without this one, by id. Cached until one of them changes."""
        return self._table.live(zone)

    def sample(self, count: int) -> list[MemberRecord]:
        """Different random live members; fewer where there are not so many."""
        return self._sampler.sample(count)

    def take_received(self) -> list[ZoneSum]:
        received, self._merger.received_sums = self._merger.received_sums, []
        return received

    def take_changes(self) -> list[MemberChanged | ZoneReachability]:
        changes, self._merger.changes = self._merger.changes, []
        return changes

    def figures(self) -> dict[str, int]:
        statuses = self._table.status_counts
        return {
            "alive": statuses[Status.ALIVE],
            "suspect": statuses[Status.SUSPECT],
            "dead": statuses[Status.DEAD],
            "left": statuses[Status.LEFT],
            "incarnation": self.me.incarnation,
            "health": self._health.score,
            "zones_unreachable": len(self._zones.unreachable),
            "probes": self._detector.probes_begun,
            "relays_refused": self._detector.relays_refused,
            "refutations": self._own.refutations,
            "name_conflicts": self._own.name_conflicts,
            "incarnations_exhausted": self._own.exhausted,
            "broadcasts_waiting": len(self._queue),
            "broadcasts_queued": self._queue.queued,
            "broadcasts_sent": self._queue.transmissions,
            "broadcasts_dropped": self._queue.dropped,
            "sync_pages_sent": self._sync.pages_sent,
            "syncs_given_up": self._sync.given_up,
            "probe_failures": self._probe_failures,
            "suspicions": self._merger.suspicions,
            "deaths": self._merger.deaths,
            "invalid_records": self._merger.invalid_records,
            "table_full": self._merger.table_full,
            "zones_silent": self._merger.zones_silent,
            "misaddressed_pings": self._misaddressed_pings,
            "strangers": self._strangers,
            "stalls": self._stalls,
        }

    # ---- start and end ----------------------------------------------------------------------------

    def start(self, now: float) -> list[Send]:
        self._last_tick = now
        self._probe_at = now + self._random.random() * self._timing.probe_interval
        self._gossip_at = now + self._random.random() * self._timing.gossip_interval
        self._reconnect_at = now + self._timing.reconnect_interval
        self._zones.restart(now)
        self._queue.add(self._id, self.me)
        sends = self._sync.start(now)
        self._was_joining = self._sync.is_joining
        return sends

    def leave(self, now: float) -> list[Send]:
        """The members told at once pass it on; this one objects to nothing any more."""
        self._own.leave()
        self._detector.drop(lambda _: True)
        self._merger.publish_own(now)
        message = Gossip((self.me,))
        return [Send(record.address, message, Priority.MEMBERSHIP) for record in self.sample(LEAVE_FANOUT)]

    def broadcast(self, update: ZoneSum) -> None:
        self._queue.add(update.zone, update)

    # ---- datagrams --------------------------------------------------------------------------------

    def heard(self, now: float, header: Header) -> list[Send]:
        """What the sender's being there tells, whatever it said."""
        if header.sender == self._id:
            self._heard_own_name(now, header)
            return []
        self._zones.heard_anyone(now)
        member = self._table.get(header.sender)
        if member is None or member.record.process != header.process:
            return []  # ``handle`` knows where it can be answered
        self._merger.merge_header(now, header.sender, member, header)
        if not is_departed(member.status):
            self._heard_zone(now, member.record.zone)
        return self._tell_record(now, member, member.record.address)

    def handle(self, now: float, source: Address, header: Header, message: MembershipMessage) -> list[Send]:
        if header.sender == self._id and header.process == self.me.process:
            return []  # an own datagram
        sends: list[Send] = []
        is_known = self._is_known(header)
        if not is_known:
            sends += self._meet_stranger(now, source, header)
        if isinstance(message, Ping):
            sends += self._on_ping(now, source, header, message, is_known)
        elif isinstance(message, Ack):
            sends += self._on_ack(now, header, message)
        elif isinstance(message, PingRequest):
            sends += self._on_ping_request(now, source, message, is_known)
        elif isinstance(message, Nack):
            self._detector.on_nack(header.sender, message)
        elif isinstance(message, Gossip):
            self._merger.merge_updates(now, message.updates)
        elif isinstance(message, SyncRequest):
            if is_known or self._stranger_pages.take(now, 1):
                sends.append(Send(source, self._sync.reply(message), Priority.BULK))
        else:
            sends += self._on_sync_reply(now, source, message)
        return sends

    def _on_ping(
        self, now: float, source: Address, header: Header, message: Ping, is_known: bool
    ) -> list[Send]:
        self._merger.merge_updates(now, message.updates)
        if message.target != self._id:
            self._misaddressed_pings += 1
            return []
        if is_known:
            return [Send(source, Ack(message.sequence, self._merger.updates_for(header.sender)))]
        return [Send(source, Ack(message.sequence))] if self._stranger_acks.take(now, 1) else []

    def _on_ack(self, now: float, header: Header, message: Ack) -> list[Send]:
        alive, sends = self._detector.on_ack(now, header.sender, message)
        member = self._table.get(alive) if alive is not None else None
        if member is not None and not is_departed(member.status):
            self._heard_zone(now, member.record.zone)
        self._merger.merge_updates(now, message.updates)
        return sends

    def _on_ping_request(
        self, now: float, source: Address, message: PingRequest, is_known: bool
    ) -> list[Send]:
        self._merger.merge_updates(now, message.updates)
        if not is_known and not self._stranger_acks.take(now, 1):
            return []
        if message.target == self._id:
            return [Send(source, Ack(message.sequence))]
        target = self._table.get(message.target)
        if target is None or not is_known:
            return [Send(source, Nack(message.sequence))]
        return self._detector.relay(now, source, message, target)

    def _on_sync_reply(self, now: float, source: Address, message: SyncReply) -> list[Send]:
        """What a joining member reads is news to nobody else."""
        self._merger.merge_table(now, message.records, spread=not self._sync.is_joining)
        return self._sync.on_reply(now, source, message)

    # ---- senders ----------------------------------------------------------------------------------

    def _is_known(self, header: Header) -> bool:
        """Whether the table has the very process that sent it."""
        member = self._table.get(header.sender)
        return member is not None and member.record.process == header.process

    def _heard_own_name(self, now: float, header: Header) -> None:
        if header.process == self.me.process:
            return
        if self._own.heard_rival(now, header.incarnation, header.process):
            self._merger.publish_own(now)

    def _meet_stranger(self, now: float, source: Address, header: Header) -> list[Send]:
        """Someone new is asked for its table, which has its record. One that bears the name of a known member
        is told which incarnation it has to exceed."""
        self._strangers += 1
        member = self._table.get(header.sender)
        if member is not None and header.incarnation <= member.record.incarnation:
            return self._tell_record(now, member, source, even_alive=True)
        return self._sync.compare_with(now, source) if self._stranger_pages.take(now, 1) else []

    def _tell_record(
        self, now: float, member: Member, destination: Address, even_alive: bool = False
    ) -> list[Send]:
        """Tell a member what is believed of it, so that it can object."""
        if member.status is Status.ALIVE and not even_alive:
            return []
        if now - member.told_at < TELL_INTERVAL:
            return []
        member.told_at = now
        return [Send(destination, Gossip((member.record,)), Priority.MEMBERSHIP)]

    def _heard_zone(self, now: float, zone: str) -> None:
        if self._zones.heard(now, zone):
            self._merger.release_zone(now, zone, self._detector)

    # ---- time -------------------------------------------------------------------------------------

    def next_deadline(self) -> float:
        deadline = min(
            self._probe_at,
            self._reconnect_at,
            self._detector.next_deadline(),
            self._timers.next_deadline(),
            self._zones.next_deadline(),
            self._sync.next_deadline(),
            self._own.next_deadline(),
        )
        if self._queue.has_news_of_members and len(self._table.live_ids):
            deadline = min(deadline, self._gossip_at)
        return deadline

    def tick(self, now: float) -> list[Send]:
        if now - self._last_tick > self._timing.stall:
            self._resume(now)
        self._last_tick = now
        if self._own.raise_if_due(now):
            self._merger.publish_own(now)
        sends = self._tick_zones(now)
        self._end_probes(now)
        sends += self._ping_once(self._merger.expire_suspicions(now))
        sends += self._detector.tick(now, self._choose_relays)
        sends += self._tick_probe(now)
        sends += self._tick_reconnect(now)
        sends += self._sync.tick(now)
        self._end_join()
        sends += self._tick_gossip(now)
        self._table.forget_departed(now - self._timing.forget_after)
        return sends

    def _resume(self, now: float) -> None:
        """This process stood still: what it missed meanwhile proves nothing."""
        self._stalls += 1
        self._detector.drop(lambda _: True)
        self._timers.restart(now, suspicion_timeout(self._timing, self._table.size))
        self._zones.restart(now)

    def _end_join(self) -> None:
        """The own record once more, now that there are members to tell."""
        if self._was_joining and not self._sync.is_joining and len(self._table.live_ids):
            self._was_joining = False
            self._queue.add(self._id, self.me)

    def _tick_zones(self, now: float) -> list[Send]:
        silent, checks = self._zones.evaluate(now)
        for zone in silent:
            self._merger.hold_zone(zone)
        return self._ping_once(checks)

    def _ping_once(self, members: list[MemberId]) -> list[Send]:
        return [self._detector.ping_once(member, self._table.members[member].record) for member in members]

    def _end_probes(self, now: float) -> None:
        for failed in self._detector.take_failed(now):
            self._on_failed_probe(now, failed)

    def _on_failed_probe(self, now: float, failed: FailedProbe) -> None:
        """No proof against a process or an incarnation that the probe was not sent to."""
        entry = self._table.get(failed.target)
        if entry is None or is_departed(entry.status):
            return
        if (entry.record.process, entry.record.incarnation) != (failed.process, failed.incarnation):
            return
        self._probe_failures += 1
        if entry.status is Status.ALIVE and self._zones.is_reachable(entry.record.zone):
            self._health.change(1 + failed.missing_nacks)
        self._merger.suspect(now, failed.target)

    def _choose_relays(self, target: MemberId) -> list[MemberRecord]:
        return self._sampler.relays(target, self._timing.indirect_probes)

    def _tick_probe(self, now: float) -> list[Send]:
        if now < self._probe_at:
            return []
        self._probe_at = _next_time(self._probe_at, self._timing.probe_interval, now)
        target = None if self._own.has_left else self._order.next()
        if target is None:
            return []
        return [self._detector.begin(now, target, self._table.members[target].record)]

    def _tick_reconnect(self, now: float) -> list[Send]:
        """One Ping to somebody dead, or into an unreachable zone, by turns at random."""
        if now < self._reconnect_at:
            return []
        self._reconnect_at = _next_time(self._reconnect_at, self._timing.reconnect_interval, now)
        candidates = []
        if len(self._table.dead_ids):
            candidates.append(self._table.dead_ids.choose(self._random))
        if self._zones.unreachable:
            zone = self._random.choice(list(self._zones.unreachable))
            candidates.append(self._table.zones[zone].live.choose(self._random))
        if not candidates or self._own.has_left:
            return []
        return self._ping_once([self._random.choice(candidates)])

    def _tick_gossip(self, now: float) -> list[Send]:
        if now < self._gossip_at or not self._queue.has_news_of_members:
            return []
        pace = BUSY_PACE if self._queue.is_busy else 1.0
        self._gossip_at = now + pace * self._timing.gossip_interval
        sends = []
        for record in self.sample(self._timing.gossip_fanout):
            updates = self._queue.take(RECORDS_ROOM_BYTES, self._table.size)
            if updates:
                sends.append(Send(record.address, Gossip(updates), Priority.MEMBERSHIP))
        return sends


def _next_time(due: float, interval: float, now: float) -> float:
    """Times that were missed are not made up for."""
    return due + interval if due + interval > now else now + interval
