"""Failure detection: SWIM probes, direct and then through relays, with Lifeguard's local health score.

    ping -- no ack in probe_timeout --> ping requests to relays -- no ack by the end of the probe --> failed

The cost for each member is constant: it starts one probe in each ``probe_interval``. A high health score
lengthens each probe but not the interval between them, so that up to MAX_HEALTH_SCORE + 1 probes run
concurrently. The probe order is a list of all live members, 8 bytes each, that is shuffled once for each
round over all members.
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

MAX_HEALTH_SCORE = 8  # worst local health score; 0 is healthy
MAX_RELAYED_PROBES = 64  # concurrent probes for other members; requests above the limit are not answered
NACK_FRACTION = 0.8  # fraction of ``probe_timeout``; the Nack has to arrive before the requester's probe ends
SEQUENCE_BITS = 32

Piggyback = Callable[[MemberId], tuple[Update, ...]]  # returns the updates to add to a message to one member


class LocalHealth:
    """Lifeguard's local health score: the higher it is, the less this member trusts its own observations."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def factor(self) -> int:
        """Multiplier for probe timeouts."""
        return 1 + self.score

    def change(self, delta: int) -> None:
        """Add ``delta`` to the score, clamped to 0 .. MAX_HEALTH_SCORE."""
        self.score = min(max(self.score + delta, 0), MAX_HEALTH_SCORE)


@dataclass(slots=True)
class Probe:
    """A probe started by this member. Times in seconds."""

    target: MemberId
    process_id: int
    incarnation: int
    ask_relays_at: float
    ends_at: float
    relays: set[MemberId] | None = None  # None until the relays have been asked
    nacks: set[MemberId] = field(default_factory=set)  # relays that answered with a Nack


@dataclass(slots=True)
class RelayedProbe:
    """A probe on behalf of another member. Times in seconds."""

    requester: Address
    sequence: int  # sequence number of the requester's probe
    target: MemberId
    nack_at: float
    ends_at: float  # until then a late Ack is forwarded to the requester


@dataclass(frozen=True, slots=True)
class FailedProbe:
    """A probe by this member that ended without an Ack.

    ``missing_nacks`` counts the relays that sent neither an Ack nor a Nack.
    """

    target: MemberId
    process_id: int
    incarnation: int
    missing_nacks: int


class AckOutcome(NamedTuple):
    """Result of handling an Ack."""

    confirmed_member: MemberId | None  # target of this member's probe that the Ack has ended
    sends: list[Send]  # Ack forwarded to the requester of a relayed probe


class ProbeOrder:
    """Round-robin order of probes over the live members, reshuffled for each round."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        self._round: list[MemberId] = []  # members still to be probed in this round; the last one is next

    def insert(self, member: MemberId) -> None:
        """Insert a new member at a random position of the current round."""
        self._round.append(member)
        index = int(self._rng.random() * len(self._round))
        self._round[index], self._round[-1] = self._round[-1], self._round[index]

    def next(self) -> MemberId | None:
        """Return the next member to probe, or None if there are no live members."""
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
    """Runs this member's probes and relayed probes. The caller decides what a failed probe means."""

    def __init__(self, timing: Timing, rng: random.Random, health: LocalHealth, piggyback: Piggyback) -> None:
        self.probes_begun = 0
        self.relays_refused = 0
        self._timing = timing
        self._rng = rng
        self._health = health
        self._piggyback = piggyback
        self._probes: dict[int, Probe] = {}  # by sequence number
        self._relayed: dict[int, RelayedProbe] = {}  # by sequence number of this member's Ping

    # ---- probes by this member --------------------------------------------------------------------

    def begin(self, now: float, target: MemberId, record: MemberRecord) -> Send:
        """Start a probe with a direct Ping. ``tick`` asks relays if the Ping is not answered in time."""
        factor = self._health.factor
        sequence = self._draw_sequence()
        ask_relays_at = now + self._timing.probe_timeout * factor
        ends_at = now + self._timing.probe_interval * factor
        self._probes[sequence] = Probe(target, record.process_id, record.incarnation, ask_relays_at, ends_at)
        self.probes_begun += 1
        return Send(record.address, Ping(sequence, target, self._piggyback(target)))

    def ping_once(self, target: MemberId, record: MemberRecord) -> Send:
        """Return a Ping outside of any probe. An Ack shows that the target is alive; no Ack has no effect."""
        return Send(record.address, Ping(self._draw_sequence(), target, self._piggyback(target)))

    def on_ack(self, now: float, sender: MemberId, message: Ack) -> AckOutcome:
        """End the direct or relayed probe with this sequence number.

        An Ack from a member that was not asked is ignored.
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
        """Record that a relay is working although the target did not answer it."""
        probe = self._probes.get(message.sequence)
        if probe is not None and probe.relays is not None and sender in probe.relays:
            probe.nacks.add(sender)

    # ---- probes for other members -----------------------------------------------------------------

    def relay(self, now: float, source: Address, message: PingRequest, target: Member) -> list[Send]:
        """Ping the target of a PingRequest; ignore the request if MAX_RELAYED_PROBES are running."""
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            self.relays_refused += 1
            return []
        sequence = self._draw_sequence()
        nack_at = now + NACK_FRACTION * self._timing.probe_timeout
        ends_at = now + self._timing.probe_timeout * (1 + MAX_HEALTH_SCORE)
        self._relayed[sequence] = RelayedProbe(source, message.sequence, message.target, nack_at, ends_at)
        return [Send(target.record.address, Ping(sequence, message.target, self._piggyback(message.target)))]

    # ---- time -------------------------------------------------------------------------------------

    def tick(self, now: float, choose_relays: Callable[[MemberId], list[MemberRecord]]) -> list[Send]:
        """Ask relays for unanswered probes, and send Nacks for relayed probes whose target did not answer."""
        sends = []
        for sequence, probe in self._probes.items():
            if probe.relays is None and probe.ask_relays_at <= now < probe.ends_at:
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
        """Remove and return this member's probes that have ended without an Ack."""
        failed = []
        for sequence, probe in list(self._probes.items()):
            if probe.ends_at <= now:
                del self._probes[sequence]
                missing_nacks = len((probe.relays or set()) - probe.nacks)
                failed.append(FailedProbe(probe.target, probe.process_id, probe.incarnation, missing_nacks))
        return failed

    def cancel_probes(self, matches: Callable[[MemberId], bool]) -> None:
        """Drop this member's probes of all targets for which ``matches`` returns true.

        Called when missing answers do not show that these targets have failed.
        """
        self._probes = {
            sequence: probe for sequence, probe in self._probes.items() if not matches(probe.target)
        }

    def next_deadline(self) -> float:
        """Return the time of the next required ``tick`` or ``take_failed``, in seconds.

        Scans at most MAX_HEALTH_SCORE + 1 of this member's probes and MAX_RELAYED_PROBES relayed probes.
        """
        deadline = math.inf
        for probe in self._probes.values():
            deadline = min(deadline, probe.ask_relays_at if probe.relays is None else probe.ends_at)
        for relayed in self._relayed.values():
            deadline = min(deadline, relayed.nack_at, relayed.ends_at)
        return deadline

    def _draw_sequence(self) -> int:
        return self._rng.getrandbits(SEQUENCE_BITS)
