"""Which servers hold which groups at the other proxies, as far as their messages tell: no I/O, no clock.

Each proxy owns one register: the pairs of server and group of which it holds connections. It tells all the
others each change, and with every message a digest of what it has told. A proxy whose copy has another digest
has missed a message; it asks the owner, and is told the whole register. So a copy agrees within seconds of
the last loss, whatever was lost, doubled or overtaken, and while nothing changes nothing is sent but a sign
of life. A register whose owner has been silent for ``SILENT`` is forgotten: its connections have ended with
it, or it is cut off and places without this proxy's knowledge too. All of it is a hint, not a promise.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from saltcourse.fleet.words import (
    ASKS, BOOT, DIGEST, DROPS, FIGURE, HEAD, HOLDS, MOST_BYTES, MOST_FIGURE, NUMBER, SCALE, VOID,
    BadMessage, Message, name, read, read_figure, write, write_figure,
)
from saltcourse.interface import Settings

PACE = 0.05  # s between messages of one proxy: what changes meanwhile goes together
BEAT = 4.0  # s after which a proxy with nothing to tell gives a sign of life
MARKS, NUMBERS = 1 << 6 * DIGEST, 1 << 6 * NUMBER  # different marks of a pair; numbers of a message
SILENT = 3 * BEAT  # s without a message after which a register is forgotten
DOUBT = 1.0  # s that a copy may differ before its owner is asked: what is under way may still come
LEAST_SCALE = 0.5  # of the peers' mean: one that has just started holds too little to know its own
ASK_AGAIN = 1.5  # s until the next question to the same peer
MOST_PAIRS = 4096  # of one register: what comes from a peer cannot grow this program without bound


@dataclass(slots=True)
class Register:
    """A copy of one peer's register. Each pair is as the newest message that named it says, and a VOID clears
    what older ones said, so that messages give the same copy in whatever order they come."""

    boot: int
    number: int  # of the newest message; it counts on where the messages' own numbers begin again
    pairs: set[str] = field(default_factory=set)  # server's name and group's name together
    said: dict[str, int] = field(default_factory=dict)  # pair -> number of the newest message that named it
    void: int = -1  # the number of the newest VOID
    digest: int = 0
    told: int = 0  # the digest that its owner told last
    heard: float = 0.0
    sound: float = 0.0  # when the copy last agreed
    ask_at: float = 0.0  # when its owner may be asked again
    scale: float = 0.0

    def count_on(self, number: int) -> int:
        return self.number + (number - self.number + NUMBERS // 2) % NUMBERS - NUMBERS // 2

    def say(self, pair: str, held: bool, number: int) -> None:
        if number < max(self.void, self.said.get(pair, -1)) or (held and len(self.pairs) >= MOST_PAIRS):
            return
        self.said[pair] = number
        if (pair in self.pairs) != held:
            (self.pairs.add if held else self.pairs.discard)(pair)
            self.digest ^= mark(pair)
        if len(self.said) > 2 * MOST_PAIRS:  # what is long gone need not be remembered
            self.said = {p: n for p, n in self.said.items() if p in self.pairs}


def mark(pair: str) -> int:
    """A pair's part of the digest; that is their exclusive or, the same in any order."""
    return zlib.crc32(pair.encode()) % MARKS


class Holdings:
    """The own register, and copies of the others'."""

    def __init__(self, settings: Settings, boot: int) -> None:
        """``boot``: another figure with each start of this proxy."""
        self.index, self.count = settings.index, settings.balancers
        if not (settings.peers and settings.groups):
            self.count = 1  # nobody to talk to, or nothing to talk of
        self.boot, self.number = boot % 64**BOOT, 0
        self.own: set[str] = set()
        self.told: set[str] = set()  # what peers that missed nothing believe of this proxy
        self.changed, self.digest = False, 0  # not all of own is told; the digest of what is
        self.scale = self.scale_told = 0.0
        self.least_scale = 0.0  # what this proxy's is at least, by what the peers tell; 0 while none does
        self.others: dict[int, Register] = {}
        self.holders: dict[str, set[int]] = {}  # pair -> the peers that hold it
        self.askers: set[int] = set()  # peers that are to be told the whole register
        self.sent_at = self.beaten = -1e9  # the last message; the last that all were sent
        self.ticked = 0.0
        self.names: dict[str, str] = {}
        self.bad = 0  # messages that could not be read

    # ---- what the module asks and tells -----------------------------------------------------------

    def held_elsewhere(self, server: str, group: str) -> bool:
        return bool(self.holders) and self._pair(server, group) in self.holders

    def hold(self, server: str, group: str, held: bool) -> None:
        """This proxy has got its first connection of the group there, or lost its last."""
        if self.count > 1:
            (self.own.add if held else self.own.discard)(self._pair(server, group))
            self.changed = True

    def tell_scale(self, scale: float) -> None:
        """This proxy's slots in a server's whole load; told when it has changed by a fifth."""
        if abs(scale - self.scale) > 0.2 * self.scale:
            self.scale = scale
            self.changed = self.changed or self.count > 1

    def _pair(self, server: str, group: str) -> str:
        if len(self.names) > 4 * MOST_PAIRS:  # names are dear to make, but groups come and go for ever
            self.names.clear()
        return "".join([self.names.get(n) or self.names.setdefault(n, name(n)) for n in (server, group)])

    # ---- messages ---------------------------------------------------------------------------------

    def heard(self, now: float, sender: int, text: str) -> None:
        if sender == self.index or not 0 <= sender < self.count:
            return
        try:
            message = read(text)
        except BadMessage:
            self.bad += 1
            return
        register = self.others.get(sender)
        if register is None or register.boot != message.boot:
            self._forget(sender)
            register = self.others[sender] = Register(message.boot, message.number - 1, sound=now)
        number, register.heard = register.count_on(message.number), now
        if number > register.number:
            register.number, register.told = number, message.digest
        for record in message.records:
            self._take(sender, register, number, record[0], record[1:])
        if register.digest == register.told:
            register.sound, register.ask_at = now, 0.0

    def _take(self, sender: int, register: Register, number: int, sign: str, rest: str) -> None:
        if sign == VOID:
            register.void = max(register.void, number)
            for pair in [p for p in register.pairs if register.said[p] < number]:
                register.say(pair, False, number)
                self._released(sender, pair)
        elif sign == ASKS:
            self.askers.add(sender)
        elif sign == SCALE:
            register.scale = read_figure(rest) / 100
            told = [r.scale for r in self.others.values() if r.scale > 0]
            self.least_scale = LEAST_SCALE * sum(told) / len(told) if told else 0.0
        else:
            register.say(rest, sign == HOLDS, number)
            if rest in register.pairs:
                self.holders.setdefault(rest, set()).add(sender)
            else:
                self._released(sender, rest)

    def _released(self, sender: int, pair: str) -> None:
        peers = self.holders.get(pair, set())
        peers.discard(sender)
        if not peers:
            self.holders.pop(pair, None)

    def _forget(self, sender: int) -> None:
        register = self.others.pop(sender, None)
        for pair in register.pairs if register is not None else ():
            self._released(sender, pair)

    def due(self, now: float) -> list[tuple[int | None, str]]:
        """The messages to be sent now, each to one peer or to all (None)."""
        if self.count < 2 or now < self.sent_at + PACE:
            return []
        if not self.changed and not self.askers and now < min(self.ticked + DOUBT, self.beaten + BEAT):
            return []
        out: list[tuple[int | None, str]] = []
        asked = [s for s in range(self.count) if s != self.index] if self.number == 0 else []  # a fresh start
        changes = self._changes() if self.changed else []
        if changes or asked or now >= self.beaten + BEAT:
            self.beaten = now
            out += [(None, text) for text in self._messages(changes)]
        if now >= self.ticked + DOUBT:
            self.ticked = now
            for sender in [s for s, r in self.others.items() if now > r.heard + SILENT]:
                self._forget(sender)
            asked += self._doubted(now)
        out += [(peer, text) for peer in asked for text in self._messages([ASKS])]
        for peer in sorted(self.askers):
            whole = [VOID, *[HOLDS + pair for pair in sorted(self.told)], *self._scale_record()]
            out += [(peer, text) for text in self._messages(whole)]
        self.askers.clear()
        self.sent_at = now if out else self.sent_at
        return out

    def _doubted(self, now: float) -> list[int]:
        found = []
        for sender, register in self.others.items():
            full = len(register.pairs) >= MOST_PAIRS  # then the copy cannot agree, however often it asks
            if register.digest != register.told and not full and now > max(
                    register.ask_at, register.sound + DOUBT):
                register.ask_at = now + ASK_AGAIN
                found.append(sender)
        return found

    def _changes(self) -> list[str]:
        changed = [DROPS + pair for pair in sorted(self.told - self.own)]
        changed += [HOLDS + pair for pair in sorted(self.own - self.told)]
        for record in changed:
            self.digest ^= mark(record[1:])
        self.told, self.changed = set(self.own), False
        if self.scale != self.scale_told:
            self.scale_told = self.scale
            changed += self._scale_record()
        return changed

    def _scale_record(self) -> list[str]:
        return [SCALE + write_figure(min(MOST_FIGURE, round(100 * self.scale_told)), FIGURE)]

    def _messages(self, records: list[str]) -> Iterable[str]:
        """As many messages as the records need, at least one. All have the digest of what holds after the
        last: a copy that lacks a part of them is in doubt, and heals."""
        at = 0
        while True:
            size, begin = HEAD, at
            while at < len(records) and size + len(records[at]) <= MOST_BYTES:
                size += len(records[at])
                at += 1
            yield write(Message(self.boot, self.number, self.digest, tuple(records[begin:at])))
            self.number = (self.number + 1) % NUMBERS
            if at == len(records):
                return
