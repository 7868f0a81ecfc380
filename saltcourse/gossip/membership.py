"""Fleet membership and failure detection: SWIM with suspicion and Lifeguard, plus anti-entropy table sync.

``Membership`` combines the modules below and implements the rules that involve more than one of them:

    member_table       records and their order of precedence
    failure_detector   probes and the local health score
    suspicion          timers from suspect to dead
    zone_silence       detection of unreachable zones, as opposed to many dead members
    own_record         refutations, and name conflicts with other processes
    member_updates     effects of a claim about a member
    sampling           random choices among live members
    broadcasts         updates that are piggybacked on other messages
    rounds             probe, reconnection and gossip at constant intervals
    table_sync         joining and anti-entropy repair
    unknown_senders    rate limits for senders that are not in the table

States of a member, as seen by another member:

    ALIVE -- probe failed --> SUSPECT -- timeout --> DEAD -- forget_after --> (removed)
      ^                          |                     |
      +------ refuted, by a higher incarnation --------+      ALIVE, SUSPECT -- Leave --> LEFT

The work per message is proportional to its updates. The periodic work per second is constant (probe, gossip
and sync intervals). Memory is about 0.8 kB for each member of the fleet; each module states its other costs
that grow with the fleet.
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

NOTIFY_INTERVAL_SECONDS = 1.0  # minimum time between two messages that send one member its own record
LEAVE_FANOUT = 8  # members that a leaving member notifies directly


class Membership:
    """One member's view of the fleet.

    Performs no I/O. ``now`` is in seconds on a monotonic clock; ``tick`` has to be called at
    ``next_deadline``.
    """

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
        """All entries of the table, including this member and departed members."""
        return self._table.members

    def live(self, zone: str | None = None) -> Sequence[MemberRecord]:
        """Return the other members that are alive or suspect, by id. Cached until one of them changes."""
        return self._table.live(zone)

    def sample(self, count: int) -> list[MemberRecord]:
        """Return up to ``count`` distinct random live members."""
        return self._sampler.sample(count)

    def take_zone_sums(self) -> list[ZoneSum]:
        """Return the zone sums received since the last call, for the aggregation."""
        received, self._updater.received_sums = self._updater.received_sums, []
        return received

    def take_changes(self) -> list[MemberChanged | ZoneReachability]:
        """Return the changes since the last call, in order, for the host."""
        changes, self._updater.changes = self._updater.changes, []
        return changes

    def metrics(self) -> dict[str, int]:
        """Return the metrics shown at ``/_vars``, by name."""
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
        """Start the periodic rounds and request the member table from the seeds."""
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
        """Mark this member as LEFT and notify LEAVE_FANOUT members, which broadcast it.

        Claims about this member are not refuted after this call.
        """
        self._own.leave()
        self._detector.cancel_probes(lambda _: True)
        self._updater.broadcast_own(now)
        message = Gossip((self.own_record,))
        return [Send(record.address, message, Priority.MEMBERSHIP) for record in self.sample(LEAVE_FANOUT)]

    def broadcast(self, update: ZoneSum) -> None:
        """Queue a zone sum for broadcast to all members."""
        self._queue.add(update.zone, update)

    # ---- datagrams --------------------------------------------------------------------------------

    def observe(self, now: float, header: Header) -> list[Send]:
        """Process the header of a received datagram, which shows that its sender is alive.

        Called for every datagram, whatever its message.
        """
        if header.sender == self._id:
            self._observe_name_conflict(now, header)
            return []
        self._zones.on_any_contact(now)
        member = self._table.get(header.sender)
        if member is None or member.record.process_id != header.process_id:
            return []  # ``handle`` has the source address and answers unknown senders
        self._updater.merge_header(now, header.sender, member, header)
        if not is_departed(member.status):
            self._on_zone_contact(now, member.record.zone)
        return self._notify_of_record(now, member, member.record.address)

    def handle(self, now: float, source: Address, header: Header, message: MembershipMessage) -> list[Send]:
        """Handle a membership message. The caller has already called ``observe`` with its header."""
        if header.sender == self._id and header.process_id == self.own_record.process_id:
            return []  # a datagram that this member sent itself
        sends: list[Send] = []
        is_known = self._is_known(header)
        if not is_known:
            sends += self._on_unknown_sender(now, source, header)
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
        confirmed, sends = self._detector.on_ack(now, header.sender, message)
        member = self._table.get(confirmed) if confirmed is not None else None
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
        """Merge a page of records and request the next one.

        Records read while joining are not broadcast, since the other members already have them.
        """
        self._updater.merge_table(now, message.records, broadcast=not self._sync.is_joining)
        return self._sync.on_reply(now, source, message)

    # ---- senders ----------------------------------------------------------------------------------

    def _is_known(self, header: Header) -> bool:
        """Return whether the sending process is the one in the member table."""
        member = self._table.get(header.sender)
        return member is not None and member.record.process_id == header.process_id

    def _observe_name_conflict(self, now: float, header: Header) -> None:
        if header.process_id == self.own_record.process_id:
            return
        if self._own.on_name_conflict(now, header.incarnation, header.process_id):
            self._updater.broadcast_own(now)

    def _on_unknown_sender(self, now: float, source: Address, header: Header) -> list[Send]:
        """Request the table of an unknown sender, since that table contains the sender's record.

        A sender with the name of a known member and an incarnation that is not higher is sent the known
        record instead, so that it can exceed that incarnation.
        """
        self._unknown_senders.count += 1
        member = self._table.get(header.sender)
        if member is not None and header.incarnation <= member.record.incarnation:
            return self._notify_of_record(now, member, source, include_alive=True)
        return self._sync.compare_with(now, source) if self._unknown_senders.allow_page(now) else []

    def _notify_of_record(
        self, now: float, member: Member, destination: Address, include_alive: bool = False
    ) -> list[Send]:
        """Send a member its record in this table, so that it can refute its status.

        A member that is believed alive is sent nothing unless ``include_alive`` is set.
        """
        if member.status is Status.ALIVE and not include_alive:
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
        """Return the time of the next required ``tick``, in seconds on the clock of ``now``."""
        deadline = min(
            self._probe_round.deadline,
            self._reconnect_round.deadline,
            self._detector.next_deadline(),
            self._timers.next_deadline(),
            self._zones.next_deadline(),
            self._sync.next_deadline(),
            self._own.next_deadline(),
        )
        if self._queue.has_member_updates and len(self._table.live_ids):
            deadline = min(deadline, self._gossip_round.deadline)
        return deadline

    def tick(self, now: float) -> list[Send]:
        """Run everything scheduled up to ``now`` and return the messages to send."""
        if now - self._last_tick > self._timing.stall:
            self._resume(now)
        self._last_tick = now
        if self._own.raise_incarnation_if_allowed(now):
            self._updater.broadcast_own(now)
        sends = self._tick_zones(now)
        self._end_probes(now)
        sends += self._ping_once(self._updater.expire_suspicions(now))
        sends += self._detector.tick(now, self._choose_relays)
        sends += self._tick_probe(now)
        sends += self._ping_once(self._reconnect_round.targets(now))
        sends += self._sync.tick(now)
        self._broadcast_after_join()
        sends += self._gossip_round.messages(now)
        self._table.forget_departed(now - self._timing.forget_after)
        return sends

    def _resume(self, now: float) -> None:
        """Cancel probes and restart timers after this process was stalled.

        Missing answers during the stall do not show that the other members failed.
        """
        self._stalls += 1
        self._detector.cancel_probes(lambda _: True)
        self._timers.restart(now, suspicion_timeout(self._timing, self._table.size))
        self._zones.restart(now)

    def _broadcast_after_join(self) -> None:
        """Broadcast the own record again after joining, when there are members to receive it."""
        if self._was_joining and not self._sync.is_joining and len(self._table.live_ids):
            self._was_joining = False
            self._queue.add(self._id, self.own_record)

    def _tick_zones(self, now: float) -> list[Send]:
        newly_unreachable, to_ping = self._zones.evaluate(now)
        for zone in newly_unreachable:
            self._updater.pause_suspicions(zone)
        return self._ping_once(to_ping)

    def _ping_once(self, members: list[MemberId]) -> list[Send]:
        return [self._detector.ping_once(member, self._table.members[member].record) for member in members]

    def _end_probes(self, now: float) -> None:
        for failed in self._detector.take_failed(now):
            self._on_failed_probe(now, failed)

    def _on_failed_probe(self, now: float, failed: FailedProbe) -> None:
        """Suspect the target, unless its process or incarnation has changed since the probe started."""
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
