"""What share of a fleet-wide budget this proxy may spend now: all shares together never pass the whole.

The whole is cut into ``count`` equal parts, one for each proxy of the settings. Half of a part is its proxy's
for good. The other half is cut into tokens, one for each of the next proxies in the order of their numbers,
the token's *heir*. A proxy has a token only while its heir has promised it: it wishes, and the heir gives,
for ``term`` counted from the wish by the proxy's own clock, and from the giving by the heir's, each on its
safe side of the clocks' drift. When a promise has run out unrenewed its heir has the token: so what a dead
proxy could spend is not lost, and one that is cut off, or stopped and resumed, has ceased to count on it.

At every moment a token is had by one proxy at most, whatever is lost, late or doubled and whoever restarts:
the giving is after the wish, and an heir that starts anew has no token that might still be promised. Nothing
has to be agreed on, so nothing waits for a majority. Only the owner ever wishes for a token.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from saltcourse.fleet.words import FIGURE, GIVES, WISHES, read_figure, write_figure
from saltcourse.interface import FleetTerms

BEATS = 4  # wishes and signs of life in a term: two in a row may be lost
HEIRS = 3  # tokens of a proxy, at most
WISHES_KEPT = 8  # of the latest; an answer to an older one is worth little
WISH_NUMBERS = 64**FIGURE


class Shares:
    """``alone``: no word reaches another proxy, and the equal part is all that is safe."""

    def __init__(self, index: int, count: int, terms: FleetTerms, alone: bool = False) -> None:
        self.terms, self.count, self.alone = terms, count, alone or count < 2
        near = range(1, min(HEIRS, count - 1) + 1)
        self.heirs = [(index + step) % count for step in near]
        self.owners = [(index - step) % count for step in near]  # whose tokens come here
        self.mine = dict.fromkeys(self.heirs, -math.inf)  # heir -> until when it has surely promised
        self.promised: dict[int, float] = {}  # owner -> until when it may count on its token
        self.wishes: dict[int, float] = {}  # number -> when
        self.number = 0
        self.wished = -math.inf

    def _begin(self, now: float) -> None:
        """An earlier life of this proxy may have promised: nothing is inherited before that has run out."""
        if not self.promised:
            self.promised = dict.fromkeys(self.owners, now + self._long())

    def _long(self) -> float:
        return self.terms.term * (1 + self.terms.drift)

    def share(self, now: float) -> float:
        """Of the whole, from ``1 / 2 count`` to ``3 / 2 count``."""
        if self.alone:
            return 1.0 / self.count
        self._begin(now)
        had = sum([until > now for until in self.mine.values()])
        inherited = sum([until <= now for until in self.promised.values()])
        return (1 + (had + inherited) / len(self.heirs)) / 2 / self.count

    def wish(self, now: float) -> list[str]:
        """A record for all, when it is time for another; those that are no heirs pass it over."""
        self._begin(now)
        if now < self.wished + self.terms.term / BEATS:
            return []
        self.wished = now
        self.number = (self.number + 1) % WISH_NUMBERS
        self.wishes[self.number] = now
        while len(self.wishes) > WISHES_KEPT:
            del self.wishes[next(iter(self.wishes))]
        return [WISHES + write_figure(self.number, FIGURE)]

    def take(self, now: float, sender: int, sign: str, rest: str) -> list[str]:
        """What is to be answered to the sender."""
        self._begin(now)
        if sign == WISHES and sender in self.promised:
            self.promised[sender] = max(self.promised[sender], now + self._long())
            return [GIVES + rest]
        if sign == GIVES and sender in self.mine:
            wished = self.wishes.get(read_figure(rest))
            if wished is not None:
                self.mine[sender] = max(self.mine[sender], wished + self.terms.term * (1 - self.terms.drift))
        return []


@dataclass(slots=True)
class Budget:
    """A bucket that this proxy's share fills. All proxies' spendings over any span of time stay under
    ``rate`` times the span plus ``burst``, for a share that grows brings no tokens with it."""

    rate: float  # of the whole fleet, a second
    burst: float
    tokens: float = 0.0
    at: float = 0.0

    def spend(self, now: float, share: float, amount: float = 1.0) -> bool:
        self.tokens = min(share * self.burst, self.tokens + share * self.rate * max(0.0, now - self.at))
        self.at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True
