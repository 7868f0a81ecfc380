"""What this proxy knows of the others of its tier by their messages: no I/O and no clock of its own.

``handle(now, event)`` takes what has come and the time, and returns what is to be sent. Everything that is
asked of it is a hint to the module (who holds which group, what a server bears, whom others leave alone, how
many connections stand where) or a bound that holds whatever was lost (a budget's share). It decides nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from saltcourse.fleet.shares import BEATS, Budget, Shares
from saltcourse.fleet.table import Copy, Table
from saltcourse.fleet.verdicts import Verdicts
from saltcourse.fleet.words import (
    ASKS, ASKS_ALL, BOOT, COUNTS, DROPS, FIGURE, GIVES, HEAD, HOLDS, JUDGES, MOST_BYTES, NAME, NUMBER, SCALE,
    TIME, VOID, WISHES, BadMessage, Message, at_most, name, read, read_figure, write, write_figure,
)
from saltcourse.interface import Settings

PACE = 0.05  # s between messages of one proxy to all: what changes meanwhile goes together
DOUBT = 1.0  # s that a copy may differ before its owner is asked: what is under way may still come
ASK_AGAIN = 1.5  # s until the next question to the same peer
NUMBERS = 1 << 6 * NUMBER  # of messages, before they begin again
KEPT = 256  # records told to all that can be told again to one that missed some
STOPPED, WAKING = 3.0, 0.5  # s without any event: this process stood still; s in which it takes what waited
LEAST_SCALE = 0.5  # of the peers' mean: one that has just started holds too little to know its own
FADE = 30.0  # s in which what a lost peer held falls by half, down to what the others hold in the mean
MOST_NAMES = 20_000


@dataclass(frozen=True, slots=True)
class Heard:
    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class Tick:
    pass


Event = Heard | Tick
Sends = list[tuple[int | None, str]]  # to one peer, or to all (None)


@dataclass(slots=True)
class Peer:
    """One other proxy, from its first message to its silence or its next start."""

    boot: int
    number: int  # of its newest message; it counts on where the messages' own numbers begin again
    copy: Copy = field(default_factory=Copy)
    told: int = 0  # the digest that it told last
    heard: float = 0.0
    sound: float = 0.0  # when the copy last agreed
    agreed: int | None = None  # and with which message
    ask_at: float = 0.0  # when it may be asked again
    scale: float = 0.0

    def count_on(self, number: int) -> int:
        return self.number + (number - self.number + NUMBERS // 2) % NUMBERS - NUMBERS // 2


class Holding(Protocol):
    """What the module knows of a server, as far as it is told on."""

    count: int  # connections that stand there through this proxy


class Fleet:
    def __init__(self, settings: Settings, boot: int, servers: Mapping[str, Holding]) -> None:
        """``boot``: another figure with each start of this proxy. ``servers``: those that it knows now."""
        self.index, self.count = settings.index, settings.balancers if settings.peers else 1
        self.boot, self.number = boot % 64**BOOT, 0
        self.terms, self.servers = settings.fleet, servers
        self.beat = self.terms.term / BEATS  # s after which a proxy with nothing to tell gives a sign of life
        self.table, self.peers = Table(), dict[int, Peer]()
        self.shares = Shares(self.index, settings.balancers, self.terms, alone=self.count < 2)
        self.budgets: dict[str, Budget] = {}
        self.verdicts = Verdicts(self.terms.drift)
        self.holders: dict[str, set[int]] = {}  # pair -> the peers that hold it
        self.scale = self.scale_told = 0.0
        self.least_scale = 0.0  # what this proxy's is at least, by what the peers tell; 0 while none does
        self.boots: dict[int, int] = {}  # of the peers, also of those that were given up
        self.lost: dict[int, tuple[float, dict[str, int]]] = {}  # peer -> when it was given up, what it held
        self.answers: dict[int, list[str]] = {}  # peer -> records that it alone is to get
        self.kept: deque[tuple[int, str]] = deque(maxlen=KEPT)  # records told to all, and in which message
        self.sent_at = self.beaten = -1e9  # the last message to all; the last sign of life
        self.ticked = 0.0
        self.seen = self.awake = -1e9  # when anything happened here; from when what comes has not waited
        self.began: float | None = None
        self.names: dict[str, str] = {}
        self.bad = 0  # messages that could not be read

    # ---- what the module asks and tells -----------------------------------------------------------

    def held_elsewhere(self, server: str, group: str) -> bool:
        return bool(self.holders) and self._name(server) + self._name(group) in self.holders

    def hold(self, server: str, group: str, held: bool) -> None:
        """This proxy has got its first connection of the group there, or lost its last."""
        if self.count > 1:
            self.table.set(self._name(server) + self._name(group), "" if held else None)

    def tell_scale(self, scale: float) -> None:
        """This proxy's slots in a server's whole load; told when it has changed by a fifth."""
        if abs(scale - self.scale) > 0.2 * self.scale:
            self.scale = scale

    def judge(self, server: str, until: float) -> None:
        """This proxy leaves the server alone until then."""
        if self.count > 1:
            self.verdicts.judge(self._name(server), until)

    def pace(self, now: float) -> float:
        """This proxy's share over an equal part, for what each does at a pace of its own: 0.5 to 1.5."""
        return self.shares.share(now) * self.shares.count

    def _began(self, now: float) -> float:
        self.began = now if self.began is None else self.began
        return self.began

    def may_probe(self, now: float, server: str) -> bool:
        """One probe there of those that the fleet may send in a second, if this proxy's share has it left."""
        budget = self.budgets.get(server)
        if budget is None:
            # The smallest share holds one. A budget is empty at the start: an earlier life may have spent it.
            burst = 2.0 * self.shares.count
            budget = Budget(self.terms.probes, burst, burst if self.shares.alone else 0.0, self._began(now))
            self.budgets[server] = budget
        return budget.spend(now, self.shares.share(now))

    def connections(self, now: float, server: str) -> float:
        """Those of the whole fleet, as far as is known. What a lost peer held fades to what the others hold
        in the mean, and not to nothing: it may serve them still, where nobody hears it."""
        key = self._name(server)
        known = [read_figure(value) for value in [self.table.own.get(key, ""), *[
            p.copy.entries.get(key, "") for p in self.peers.values()]]]
        total, mean = float(sum(known)), sum(known) / len(known)
        for since, held in self.lost.values():
            last = held.get(key, 0)
            total += max(min(last, mean), last * 0.5 ** ((now - since) / FADE))
        return total

    def _name(self, identifier: str) -> str:
        if len(self.names) > MOST_NAMES:  # names are dear to make, but groups come and go for ever
            self.names.clear()
        return self.names.get(identifier) or self.names.setdefault(identifier, name(identifier))

    # ---- messages ---------------------------------------------------------------------------------

    def handle(self, now: float, event: Event) -> Sends:
        if isinstance(event, Heard):
            self.heard(now, event.sender, event.text)
        return self.due(now)

    def heard(self, now: float, sender: int, text: str) -> list[str]:
        """Those of the servers that a peer leaves alone, when the message brings a verdict."""
        if sender == self.index or not 0 <= sender < self.count:
            return []
        self._notice(now)
        try:
            message = read(text)
        except BadMessage:
            self.bad += 1
            return []
        peer = self.peers.get(sender)
        if peer is None or peer.boot != message.boot:
            self._forget(sender)
            if self.boots.get(sender) != message.boot:
                self.boots[sender] = message.boot
                self.verdicts.forget(sender)
            peer = self.peers[sender] = Peer(message.boot, message.number - 1, sound=now)
        self.lost.pop(sender, None)
        number, peer.heard = peer.count_on(message.number), now
        if number > peer.number:
            peer.number, peer.told = number, message.digest
        for record in message.records:
            self._take(now, sender, peer, number, record[0], record[1:])
        if peer.copy.digest == peer.told:
            peer.sound, peer.agreed, peer.ask_at = now, peer.number, 0.0
        return self.judged(now) if any([r[0] == JUDGES for r in message.records]) else []

    def judged(self, now: float) -> list[str]:
        """Servers that a peer leaves alone now."""
        standing = self.verdicts.standing(now)
        return [s for s in self.servers if self._name(s) in standing]

    def _notice(self, now: float) -> None:
        """After a stop of this process, what came meanwhile waits: how old it is cannot be told."""
        if now > self.seen + STOPPED > 0:
            self.awake = now + WAKING
        self.seen = now

    def _take(self, now: float, sender: int, peer: Peer, number: int, sign: str, rest: str) -> None:
        if sign in (HOLDS, DROPS, COUNTS, VOID):
            for key in peer.copy.take(number, sign, rest):
                if key in peer.copy.entries:
                    self.holders.setdefault(key, set()).add(sender)
                else:
                    self._released(sender, key)
        elif sign in (WISHES, GIVES):
            self._answer(sender, self.shares.take(now, sender, sign, rest))
        elif sign in (TIME, JUDGES):
            if now >= self.awake:
                self.verdicts.take(now, sender, sign, rest)
        elif sign == ASKS_ALL:
            self._answer(sender, self._all())
        elif sign == ASKS:
            since = self.number - (self.number - read_figure(rest)) % NUMBERS
            missed = {r[1:1 + (NAME if r[0] == COUNTS else 2 * NAME)]: r for n, r in self.kept if n > since}
            known = since >= 0 and (len(self.kept) < KEPT or self.kept[0][0] <= since)
            self._answer(sender, list(missed.values()) if known else self._all())
        elif sign == SCALE:
            peer.scale = read_figure(rest) / 100
            told = [p.scale for p in self.peers.values() if p.scale > 0]
            self.least_scale = LEAST_SCALE * sum(told) / len(told) if told else 0.0

    def _answer(self, sender: int, records: list[str]) -> None:
        if records:
            self.answers.setdefault(sender, []).extend(records)

    def _all(self) -> list[str]:
        return [*self.table.whole(), *self._scale_record()]

    def _released(self, sender: int, key: str) -> None:
        peers = self.holders.get(key, set())
        peers.discard(sender)
        if not peers:
            self.holders.pop(key, None)

    def _forget(self, sender: int) -> None:
        peer = self.peers.pop(sender, None)
        if peer is not None:
            for key in peer.copy.entries:
                self._released(sender, key)

    def due(self, now: float) -> Sends:
        """The messages to be sent now."""
        self._began(now)
        self._notice(now)
        pressing = self.answers or (now >= self.sent_at + PACE and (self.table.changed or self.verdicts.new))
        if self.count < 2 or not pressing and now < min(self.ticked + DOUBT, self.beaten + self.beat):
            return []
        out: Sends = []
        if self.number == 0:  # a fresh start
            for peer in range(self.count):
                self._answer(peer, [ASKS_ALL] if peer != self.index else [])
        if now >= self.sent_at + PACE:
            records = self._news(now)
            if records:
                self.sent_at = now
                out += [(None, text) for text in self._messages(records, to_all=True)]
        if now >= self.ticked + DOUBT:
            self.ticked = now
            self._give_up(now)
            self._doubt(now)
        out += [(peer, text) for peer, records in sorted(self.answers.items())
                for text in self._messages(records)]
        self.answers.clear()
        return out

    def _news(self, now: float) -> list[str]:
        """What all are to hear. Numbers of connections change all the time and wait for the sign of life."""
        beat = now >= self.beaten + self.beat
        if beat and self.terms.counts:
            for server, holding in self.servers.items():
                self.table.count(self._name(server), holding.count)
        records = self.table.changes(lambda key: beat or len(key) > NAME)
        if abs(self.scale - self.scale_told) > 0.2 * self.scale_told:
            self.scale_told = self.scale
            records += self._scale_record()
        records += self.verdicts.told(now)
        if beat:
            self.beaten = now
            records += [self.verdicts.clock(now), *self.shares.wish(now)]
        return records

    def _give_up(self, now: float) -> None:
        for sender in [s for s, p in self.peers.items() if now > p.heard + self.terms.term]:
            held = {k: read_figure(v) for k, v in self.peers[sender].copy.entries.items() if v}
            self._forget(sender)
            self.lost[sender] = now, held

    def _doubt(self, now: float) -> None:
        """Ask those whose copy has differed for a while: first for what came behind the last agreement."""
        for sender, peer in self.peers.items():
            if peer.copy.digest != peer.told and not peer.copy.full() and now > max(
                    peer.ask_at, peer.sound + DOUBT):
                first = peer.ask_at == 0.0 and peer.agreed is not None
                self._answer(sender, [ASKS + write_figure(peer.agreed or 0, NUMBER) if first else ASKS_ALL])
                peer.ask_at = now + ASK_AGAIN

    def _scale_record(self) -> list[str]:
        return [SCALE + at_most(round(100 * self.scale_told), FIGURE)]

    def _messages(self, records: list[str], to_all: bool = False) -> Iterable[str]:
        """As many messages as the records need, at least one. All have the digest of what holds after the
        last: a copy that lacks a part of them is in doubt, and heals."""
        at = 0
        while True:
            size, begin = HEAD, at
            while at < len(records) and size + len(records[at]) <= MOST_BYTES:
                size += len(records[at])
                at += 1
            part = records[begin:at]
            yield write(Message(self.boot, self.number, self.table.digest, tuple(part)))
            if to_all:
                self.kept.extend([(self.number, r) for r in part if r[0] in (HOLDS, DROPS, COUNTS)])
            self.number += 1
            if at == len(records):
                return
