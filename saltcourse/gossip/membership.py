"""Who is a member of the fleet and whether it is alive: SWIM with suspicion, Lifeguard, and table comparison.

``Membership`` joins the parts and holds the rules that concern more than one of them:

    member_table       records and their order of precedence
    failure_detector   probes and the local health score
    suspicion          timers from suspect to dead
    zone_silence       zones that cannot be reached, as opposed to many dead members
    own_record         refutations, and other processes of this name
    member_updates     what a claim about a member leads to
    sampling           random choices among live members
    broadcasts         updates that are piggybacked on other messages
    rounds             probe, reconnection and gossip at constant intervals
    table_sync         joining and anti-entropy repair
    unknown_senders    limits for senders that are not in the table

The life of a member, as another one sees it:

    ALIVE -- probe failed --> SUSPECT -- timeout --> DEAD -- forget_after --> (removed)
      ^                          |                     |
      +------ refuted, by a higher incarnation --------+      ALIVE, SUSPECT -- Leave --> LEFT

Work per message is that of its updates, work per second is constant (the probe, gossip and sync intervals).
What grows with the fleet: see each part; all in all about 0.8 kB of memory for each member.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence

from saltcourse.gossip.broadcasts import BroadcastQueue
from saltcourse.gossip.failure_detector import FailedProbe, FailureDetector, LocalHealth, ProbeOrder
from saltcourse.gossip.member_table import Member, MemberTable, is_departed
from saltcourse.gossip.member_updates import MemberUpdater
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
from saltcourse.gossip.rounds import GossipRound, ProbeRound, ReconnectRound
from saltcourse.gossip.sampling import MemberSampler
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.suspicion import SuspicionTimers, suspicion_timeout
from saltcourse.gossip.table_sync import TableSync
from saltcourse.gossip.unknown_senders import UnknownSenders
from saltcourse.gossip.zone_silence import ZoneSilence

NOTIFY_INTERVAL_SECONDS = 1.0  # between two notices to one member of what is believed of it
LEAVE_FANOUT = 8  # members notified at once by one that leaves


class Membership:
    """One member's view of the fleet. Free of I/O; ``now`` is in seconds and never goes back."""

    def __init__(
        self, own_record: MemberRecord, seeds: tuple[Address, ...], timing: Timing, rng: random.Random
    ) -> None:
        self._timing = timing
        self._rng = rng
        self._id = own_record.id
        self._table = MemberTable(own_record)
        self._own = OwnRecord(own_record)
        self._health = LocalHealth()
        self._queue = BroadcastQueue(timing.retransmit_multiplier)
        self._order = ProbeOrder(self._table, rng)
        self._timers = SuspicionTimers()
        self._zones = ZoneSilence(timing, rng, self._table)
        self._updater = MemberUpdater(
            timing, self._table, self._own, self._health, self._queue, self._order, self._timers, self._zones
        )
        self._detector = FailureDetector(timing, rng, self._health, self._updater.updates_for)
        self._sampler = MemberSampler(rng, self._table, self._zones)
        self._sync = TableSync(self._table, seeds, timing, rng, self.sample)
        self._probe_round = ProbeRound(timing, self._own, self._order)
        self._gossip_round = GossipRound(timing, self._queue, self._table, self._sampler)
        self._reconnect_round = ReconnectRound(timing, rng, self._own, self._table, self._zones)
        self._unknown_senders = UnknownSenders()
        self._last_tick = -math.inf
        self._was_joining = False
        self._probe_failures = 0
        self._misaddressed_pings = 0
        self._stalls = 0

    # ---- reads ------------------------------------------------------------------------------------

    @property
    def own_record(self) -> MemberRecord:
        """This member's own record."""
        return self._own.record

    @property
    def members(self) -> Mapping[MemberId, Member]:
        """All entries of the table, this member and departed ones included."""
        return self._table.members

    def live(self, zone: str | None = None) -> Sequence[MemberRecord]:
        """Members alive or suspect, without this one, by id. Cached until one of them changes."""
        return self._table.live(zone)

    def sample(self, count: int) -> list[MemberRecord]:
        """Different random live members; fewer where there are not so many."""
        return self._sampler.sample(count)

    def take_received(self) -> list[ZoneSum]:
        """Zone sums that came as updates since the last call; they belong to the aggregation."""
        received, self._updater.received_sums = self._updater.received_sums, []
        return received

    def take_changes(self) -> list[MemberChanged | ZoneReachability]:
        """Changes since the last call, in order, for the host."""
        changes, self._updater.changes = self._updater.changes, []
        return changes

    def metrics(self) -> dict[str, int]:
        """Metrics of ``/_vars``, by name."""
        statuses = self._table.status_counts
        return {
            "alive": statuses[Status.ALIVE],
            "suspect": statuses[Status.SUSPECT],
            "dead": statuses[Status.DEAD],
            "left": statuses[Status.LEFT],
            "incarnation": self.own_record.incarnation,
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
            "suspicions": self._updater.suspicions,
            "deaths": self._updater.deaths,
            "invalid_records": self._updater.invalid_records,
            "table_full": self._updater.table_full,
            "zones_silent": self._updater.zones_silent,
            "misaddressed_pings": self._misaddressed_pings,
            "strangers": self._unknown_senders.count,
            "stalls": self._stalls,
        }

    # ---- start and end ----------------------------------------------------------------------------

    def start(self, now: float) -> list[Send]:
        """Begin the rounds, and ask the seeds for the table."""
        self._last_tick = now
        self._probe_round.start(now, self._rng)
        self._gossip_round.start(now, self._rng)
        self._reconnect_round.start(now)
        self._zones.restart(now)
        self._queue.add(self._id, self.own_record)
        sends = self._sync.start(now)
        self._was_joining = self._sync.is_joining
        return sends

    def leave(self, now: float) -> list[Send]:
        """Notify a few members, who pass it on; this one refutes nothing any more."""
        self._own.leave()
        self._detector.cancel_probes(lambda _: True)
        self._updater.publish_own(now)
        message = Gossip((self.own_record,))
        return [Send(record.address, message, Priority.MEMBERSHIP) for record in self.sample(LEAVE_FANOUT)]

    def broadcast(self, update: ZoneSum) -> None:
        """Pass an update of the aggregation on to all members."""
        self._queue.add(update.zone, update)

    # ---- datagrams --------------------------------------------------------------------------------

    def observe(self, now: float, header: Header) -> list[Send]:
        """Of every datagram, whatever its message: its sender is alive."""
        if header.sender == self._id:
            self._observe_own_name(now, header)
            return []
        self._zones.on_any_contact(now)
        member = self._table.get(header.sender)
        if member is None or member.record.process_id != header.process_id:
            return []  # ``handle`` knows where it can be answered
        self._updater.merge_header(now, header.sender, member, header)
        if not is_departed(member.status):
            self._on_zone_contact(now, member.record.zone)
        return self._notify_of_record(now, member, member.record.address)

    def handle(self, now: float, source: Address, header: Header, message: MembershipMessage) -> list[Send]:
        """A message of this part. ``observe`` was called with its header before."""
        if header.sender == self._id and header.process_id == self.own_record.process_id:
            return []  # an own datagram
        sends: list[Send] = []
        is_known = self._is_known(header)
        if not is_known:
            sends += self._meet_unknown(now, source, header)
        if isinstance(message, Ping):
            sends += self._on_ping(now, source, header, message, is_known)
        elif isinstance(message, Ack):
            sends += self._on_ack(now, header, message)
        elif isinstance(message, PingRequest):
            sends += self._on_ping_request(now, source, message, is_known)
        elif isinstance(message, Nack):
            self._detector.on_nack(header.sender, message)
        elif isinstance(message, Gossip):
            self._updater.merge_updates(now, message.updates)
        elif isinstance(message, SyncRequest):
            if is_known or self._unknown_senders.allow_page(now):
                sends.append(Send(source, self._sync.reply(message), Priority.BULK))
        else:
            sends += self._on_sync_reply(now, source, message)
        return sends

    def _on_ping(
        self, now: float, source: Address, header: Header, message: Ping, is_known: bool
    ) -> list[Send]:
        self._updater.merge_updates(now, message.updates)
        if message.target != self._id:
            self._misaddressed_pings += 1
            return []
        if is_known:
            return [Send(source, Ack(message.sequence, self._updater.updates_for(header.sender)))]
        return [Send(source, Ack(message.sequence))] if self._unknown_senders.allow_ack(now) else []

    def _on_ack(self, now: float, header: Header, message: Ack) -> list[Send]:
        alive, sends = self._detector.on_ack(now, header.sender, message)
        member = self._table.get(alive) if alive is not None else None
        if member is not None and not is_departed(member.status):
            self._on_zone_contact(now, member.record.zone)
        self._updater.merge_updates(now, message.updates)
        return sends

    def _on_ping_request(
        self, now: float, source: Address, message: PingRequest, is_known: bool
    ) -> list[Send]:
        self._updater.merge_updates(now, message.updates)
        if not is_known and not self._unknown_senders.allow_ack(now):
            return []
        if message.target == self._id:
            return [Send(source, Ack(message.sequence))]
        target = self._table.get(message.target)
        if target is None or not is_known:
            return [Send(source, Nack(message.sequence))]
        return self._detector.relay(now, source, message, target)

    def _on_sync_reply(self, now: float, source: Address, message: SyncReply) -> list[Send]:
        """Records that a joining member reads are new to nobody else, so they are not passed on."""
        self._updater.merge_table(now, message.records, spread=not self._sync.is_joining)
        return self._sync.on_reply(now, source, message)

    # ---- senders ----------------------------------------------------------------------------------

    def _is_known(self, header: Header) -> bool:
        """Whether the table has the very process that sent it."""
        member = self._table.get(header.sender)
        return member is not None and member.record.process_id == header.process_id

    def _observe_own_name(self, now: float, header: Header) -> None:
        if header.process_id == self.own_record.process_id:
            return
        if self._own.on_name_conflict(now, header.incarnation, header.process_id):
            self._updater.publish_own(now)

    def _meet_unknown(self, now: float, source: Address, header: Header) -> list[Send]:
        """Ask a new member for its table, which has its record.

        One that has the name of a known member is notified of the incarnation that it has to exceed.
        """
        self._unknown_senders.count += 1
        member = self._table.get(header.sender)
        if member is not None and header.incarnation <= member.record.incarnation:
            return self._notify_of_record(now, member, source, even_alive=True)
        return self._sync.compare_with(now, source) if self._unknown_senders.allow_page(now) else []

    def _notify_of_record(
        self, now: float, member: Member, destination: Address, even_alive: bool = False
    ) -> list[Send]:
        """Send a member what is believed of it, so that it can refute that."""
        if member.status is Status.ALIVE and not even_alive:
            return []
        if now - member.notified_at < NOTIFY_INTERVAL_SECONDS:
            return []
        member.notified_at = now
        return [Send(destination, Gossip((member.record,)), Priority.MEMBERSHIP)]

    def _on_zone_contact(self, now: float, zone: str) -> None:
        if self._zones.on_contact(now, zone):
            self._updater.clear_suspicions(now, zone, self._detector)

    # ---- time -------------------------------------------------------------------------------------

    def next_deadline(self) -> float:
        """When ``tick`` is to be called, in seconds on the clock of ``now``."""
        deadline = min(
            self._probe_round.deadline,
            self._reconnect_round.deadline,
            self._detector.next_deadline(),
            self._timers.next_deadline(),
            self._zones.next_deadline(),
            self._sync.next_deadline(),
            self._own.next_deadline(),
        )
        if self._queue.has_news_of_members and len(self._table.live_ids):
            deadline = min(deadline, self._gossip_round.deadline)
        return deadline

    def tick(self, now: float) -> list[Send]:
        """Do what has become ready by ``now``."""
        if now - self._last_tick > self._timing.stall:
            self._resume(now)
        self._last_tick = now
        if self._own.raise_if_allowed(now):
            self._updater.publish_own(now)
        sends = self._tick_zones(now)
        self._end_probes(now)
        sends += self._ping_once(self._updater.expire_suspicions(now))
        sends += self._detector.tick(now, self._choose_relays)
        sends += self._tick_probe(now)
        sends += self._ping_once(self._reconnect_round.targets(now))
        sends += self._sync.tick(now)
        self._end_join()
        sends += self._gossip_round.messages(now)
        self._table.forget_departed(now - self._timing.forget_after)
        return sends

    def _resume(self, now: float) -> None:
        """After a stall of this process: the silence of others meanwhile proves nothing."""
        self._stalls += 1
        self._detector.cancel_probes(lambda _: True)
        self._timers.restart(now, suspicion_timeout(self._timing, self._table.size))
        self._zones.restart(now)

    def _end_join(self) -> None:
        """Broadcast the own record once more, now that there are members to receive it."""
        if self._was_joining and not self._sync.is_joining and len(self._table.live_ids):
            self._was_joining = False
            self._queue.add(self._id, self.own_record)

    def _tick_zones(self, now: float) -> list[Send]:
        silent, to_ping = self._zones.evaluate(now)
        for zone in silent:
            self._updater.pause_suspicions(zone)
        return self._ping_once(to_ping)

    def _ping_once(self, members: list[MemberId]) -> list[Send]:
        return [self._detector.ping_once(member, self._table.members[member].record) for member in members]

    def _end_probes(self, now: float) -> None:
        for failed in self._detector.take_failed(now):
            self._on_failed_probe(now, failed)

    def _on_failed_probe(self, now: float, failed: FailedProbe) -> None:
        """Suspect the target, unless it is another process or incarnation than the one that was probed."""
        entry = self._table.get(failed.target)
        if entry is None or is_departed(entry.status):
            return
        if (entry.record.process_id, entry.record.incarnation) != (failed.process_id, failed.incarnation):
            return
        self._probe_failures += 1
        if entry.status is Status.ALIVE and self._zones.is_reachable(entry.record.zone):
            self._health.change(1 + failed.missing_nacks)
        self._updater.suspect(now, failed.target)

    def _choose_relays(self, target: MemberId) -> list[MemberRecord]:
        return self._sampler.relays(target, self._timing.indirect_probes)

    def _tick_probe(self, now: float) -> list[Send]:
        target = self._probe_round.next_target(now)
        if target is None:
            return []
        return [self._detector.begin(now, target, self._table.members[target].record)]
