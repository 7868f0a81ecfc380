"""Who has connected and not yet said what for: bounded, so that the silent cannot shut others out."""

from __future__ import annotations

from typing import Protocol

SHARE = 0.25  # of the descriptors that may be held by connections without a first line
SPARE = 8  # descriptors left for those who have said what they want: an answer, a call, a probe
LINGERING = 4  # of those pushed out that may wait for their client's end; the descriptors are wanted
LEAST = 4  # even when descriptors are short, so that a client always gets to say something


class Waiting(Protocol):
    def shed(self) -> None:
        """Tell it to go; its descriptor may come back a moment later."""

    def drop(self) -> None:
        """Give its descriptor back now."""


class Doorstep:
    """Connections without a first line, the one that has been quiet longest first."""

    def __init__(self, sockets: int) -> None:
        self.sockets = sockets
        self._waiting: dict[Waiting, None] = {}
        self._leaving: dict[Waiting, None] = {}  # told to go; their descriptors come back in a moment

    def __len__(self) -> int:
        return len(self._waiting)

    def came(self, who: Waiting) -> None:
        """It has just connected, or spoken without opening anything (PING)."""
        self._waiting.pop(who, None)
        self._waiting[who] = None

    def leaves(self, who: Waiting) -> None:
        self._waiting.pop(who, None)
        self._leaving[who] = None

    def left(self, who: Waiting) -> None:
        self._waiting.pop(who, None)
        self._leaving.pop(who, None)

    def make_room(self, held: int) -> None:
        """Shed the oldest until one more connection fits beside the ``held`` descriptors.

        A usual client speaks as soon as it is connected, so whoever is pushed out by later ones has
        nothing to say; one that has is back in a moment.
        """
        others = held - len(self) - len(self._leaving)
        most = max(LEAST, min(int(SHARE * self.sockets), self.sockets - SPARE - others))
        while len(self) >= most:
            oldest = next(iter(self._waiting))
            self.leaves(oldest)
            oldest.shed()
            if len(self._leaving) > LINGERING:
                first = next(iter(self._leaving))
                self.left(first)
                first.drop()
