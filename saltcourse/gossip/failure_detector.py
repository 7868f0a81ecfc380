"""SWIM's probes with Lifeguard's local health: one member after the other, and through others where it fails.

    ping -- no ack in probe_timeout --> ping requests to relays -- no ack by the end of the period --> failed

Cost is constant per member of the fleet: one probe is begun in each ``probe_interval``. A poor local health
lengthens each probe, not the pace, so that up to MAX_HEALTH + 1 of them run side by side. The order of a
round is a list of all live members, 8 bytes each, shuffled once in as many intervals as there are members.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from saltcourse.gossip.member_table import Member, MemberTable
from saltcourse.gossip.messages import (
    Ack,
    Address,
    MemberId,
    MemberRecord,
    Nack,
    Ping,
    PingRequest,
    Send,
    Update,
)
from saltcourse.gossip.settings import Timing

MAX_HEALTH = 8  # of the local health score: 0 is well
MAX_RELAYED_PROBES = 64  # run for others at once; what comes beyond is not answered
NACK_FRACTION = 0.8  # of the probe timeout: the Nack has to be back before the asker's period ends
SEQUENCE_BITS = 32

Piggyback = Callable[[MemberId], tuple[Update, ...]]  # updates for one receiver


class LocalHealth:
    """How far this member trusts its own observations (Lifeguard's local health multiplier)."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def factor(self) -> int:
        """By which timeouts grow."""
        return 1 + self.score

    def change(self, by: int) -> None:
        """Add to the score, which stays between 0 and MAX_HEALTH."""
        self.score = min(max(self.score + by, 0), MAX_HEALTH)


@dataclass(slots=True)
class Probe:
    """A probe of this member's own."""

    target: MemberId
    process_id: int
    incarnation: int
    relays_at: float  # when others are asked
    ends_at: float
    relays: set[MemberId] | None = None  # None: not asked yet
    nacks: set[MemberId] = field(default_factory=set)  # relays that got no answer either


@dataclass(slots=True)
class RelayedProbe:
    """A probe run for another member."""

    requester: Address
    sequence: int  # the requester's
    target: MemberId
    nack_at: float
    ends_at: float  # a late Ack is passed on until then


@dataclass(frozen=True, slots=True)
class FailedProbe:
    """An own probe that ended without an Ack. ``missing_nacks``: relays that sent none either."""

    target: MemberId
    process_id: int
    incarnation: int
    missing_nacks: int


class AckOutcome(NamedTuple):
    """What an Ack shows, and what is to be sent for it."""

    confirmed_member: MemberId | None  # the target of an own probe
    sends: list[Send]  # the Ack of a relayed probe, to its requester


class ProbeOrder:
    """Round-robin over a shuffled list of the live members, shuffled anew in each round."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        self._round: list[MemberId] = []  # still to be probed, the next one last

    def insert(self, member: MemberId) -> None:
        """A new member takes a random place in the running round."""
        self._round.append(member)
        place = int(self._rng.random() * len(self._round))
        self._round[place], self._round[-1] = self._round[-1], self._round[place]

    def next(self) -> MemberId | None:
        """None: there is nobody to probe."""
        member = self._next_of_round()
        if member is None:
            self._round = list(self._table.live_ids)
            self._rng.shuffle(self._round)
            member = self._next_of_round()
        return member

    def _next_of_round(self) -> MemberId | None:
        while self._round:
            member = self._round.pop()
            if member in self._table.live_ids:
                return member
        return None


class FailureDetector:
    """Runs the probes; what follows from a failed one is for the caller to decide."""

    def __init__(self, timing: Timing, rng: random.Random, health: LocalHealth, piggyback: Piggyback) -> None:
        self.probes_begun = 0
        self.relays_refused = 0
        self._timing = timing
        self._rng = rng
        self._health = health
        self._piggyback = piggyback
        self._probes: dict[int, Probe] = {}  # by sequence, as the relayed ones
        self._relayed: dict[int, RelayedProbe] = {}

    # ---- own probes -------------------------------------------------------------------------------

    def begin(self, now: float, target: MemberId, record: MemberRecord) -> Send:
        """Begin an own probe with a direct Ping; relays are asked when it stays unanswered."""
        factor = self._health.factor
        sequence = self._draw_sequence()
        relays_at = now + self._timing.probe_timeout * factor
        ends_at = now + self._timing.probe_interval * factor
        self._probes[sequence] = Probe(target, record.process_id, record.incarnation, relays_at, ends_at)
        self.probes_begun += 1
        return Send(record.address, Ping(sequence, target, self._piggyback(target)))

    def ping_once(self, target: MemberId, record: MemberRecord) -> Send:
        """A Ping of which nothing follows but that its Ack shows the target to be alive."""
        return Send(record.address, Ping(self._draw_sequence(), target, self._piggyback(target)))

    def on_ack(self, now: float, sender: MemberId, message: Ack) -> AckOutcome:
        """End the own or relayed probe of this sequence.

        An Ack of a member that was not asked proves nothing.
        """
        probe = self._probes.get(message.sequence)
        if probe is not None:
            return AckOutcome(self._end_probe(sender, message.sequence, probe), [])
        relayed = self._relayed.get(message.sequence)
        if relayed is not None and sender == relayed.target:
            del self._relayed[message.sequence]
            return AckOutcome(None, [Send(relayed.requester, Ack(relayed.sequence))])
        return AckOutcome(None, [])

    def _end_probe(self, sender: MemberId, sequence: int, probe: Probe) -> MemberId | None:
        if sender != probe.target and (probe.relays is None or sender not in probe.relays):
            return None
        del self._probes[sequence]
        if probe.relays is None:
            self._health.change(-1)
        return probe.target

    def on_nack(self, sender: MemberId, message: Nack) -> None:
        """A relay reports that the target has not answered it: the relay itself is well."""
        probe = self._probes.get(message.sequence)
        if probe is not None and probe.relays is not None and sender in probe.relays:
            probe.nacks.add(sender)

    # ---- probes for others ------------------------------------------------------------------------

    def relay(self, now: float, source: Address, message: PingRequest, target: Member) -> list[Send]:
        """Ping the target of a PingRequest; ignored when too many of these run."""
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            self.relays_refused += 1
            return []
        sequence = self._draw_sequence()
        nack_at = now + NACK_FRACTION * self._timing.probe_timeout
        ends_at = now + self._timing.probe_timeout * (1 + MAX_HEALTH)
        self._relayed[sequence] = RelayedProbe(source, message.sequence, message.target, nack_at, ends_at)
        return [Send(target.record.address, Ping(sequence, message.target, self._piggyback(message.target)))]

    # ---- time -------------------------------------------------------------------------------------

    def tick(self, now: float, choose_relays: Callable[[MemberId], list[MemberRecord]]) -> list[Send]:
        """Ask relays, and send a Nack for relayed probes whose target stayed silent."""
        sends = []
        for sequence, probe in self._probes.items():
            if probe.relays is None and probe.relays_at <= now < probe.ends_at:
                sends += self._ask_relays(sequence, probe, choose_relays(probe.target))
        for sequence, relayed in list(self._relayed.items()):
            if relayed.nack_at <= now:
                sends.append(Send(relayed.requester, Nack(relayed.sequence)))
                relayed.nack_at = math.inf
            if relayed.ends_at <= now:
                del self._relayed[sequence]
        return sends

    def _ask_relays(self, sequence: int, probe: Probe, relays: list[MemberRecord]) -> list[Send]:
        probe.relays = set()
        sends = []
        for relay in relays:
            relay_id = relay.id
            probe.relays.add(relay_id)
            request = PingRequest(sequence, probe.target, self._piggyback(relay_id))
            sends.append(Send(relay.address, request))
        return sends

    def take_failed(self, now: float) -> list[FailedProbe]:
        """Own probes that have ended without an Ack."""
        failed = []
        for sequence, probe in list(self._probes.items()):
            if probe.ends_at <= now:
                del self._probes[sequence]
                missing_nacks = len((probe.relays or set()) - probe.nacks)
                failed.append(FailedProbe(probe.target, probe.process_id, probe.incarnation, missing_nacks))
        return failed

    def cancel_probes(self, concerned: Callable[[MemberId], bool]) -> None:
        """Forget own probes of some members: their silence proves nothing any more."""
        self._probes = {
            sequence: probe for sequence, probe in self._probes.items() if not concerned(probe.target)
        }

    def next_deadline(self) -> float:
        """At most MAX_HEALTH + 1 own probes and MAX_RELAYED_PROBES others are looked at."""
        deadline = math.inf
        for probe in self._probes.values():
            deadline = min(deadline, probe.relays_at if probe.relays is None else probe.ends_at)
        for relayed in self._relayed.values():
            deadline = min(deadline, relayed.nack_at, relayed.ends_at)
        return deadline

    def _draw_sequence(self) -> int:
        return self._rng.getrandbits(SEQUENCE_BITS)
