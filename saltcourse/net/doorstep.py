"""Who has connected and not yet said what for: bounded, so that the silent cannot shut others out."""

from __future__ import annotations

from typing import Protocol

SHARE = 0.25  # of the descriptors that may be held by connections without a first line
SPARE = 8  # descriptors left for those who have said what they want: an answer, a call, a probe
LEAST = 4  # even when descriptors are short, so that a client always gets to say something


class Waiting(Protocol):
    def shed(self) -> None: ...


class Doorstep:
    """Connections without a first line, the one that has been quiet longest first."""

    def __init__(self, sockets: int) -> None:
        self.sockets = sockets
        self._waiting: dict[Waiting, None] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def came(self, who: Waiting) -> None:
        """It has just connected, or spoken without opening anything (PING)."""
        self._waiting.pop(who, None)
        self._waiting[who] = None

    def left(self, who: Waiting) -> None:
        self._waiting.pop(who, None)

    def make_room(self, held: int) -> None:
        """Shed the oldest until one more connection fits beside the ``held`` descriptors.

        A usual client speaks as soon as it is connected, so whoever is pushed out by later ones has
        nothing to say; one that has is back in a moment.
        """
        others = held - len(self)
        most = max(LEAST, min(int(SHARE * self.sockets), self.sockets - SPARE - others))
        while len(self) >= most:
            oldest = next(iter(self._waiting))
            self.left(oldest)
            oldest.shed()
