"""Push servers that peers leave alone, and until when: a verdict ends everywhere when it ends where it began.

Its end travels in its maker's clock. A receiver knows that clock by the messages that came soonest: each
tells the time of its sending, and the least difference to its coming is the clocks' own and a link's shortest
delay. So a message that was held up on its way brings a verdict that is as old as it is, or over.
"""

from __future__ import annotations

from saltcourse.fleet.words import CENTI, CLOCK, JUDGES, NAME, TIME, read_figure, write_figure

LONGEST = 10.0  # s from its coming for which any verdict is held
WHEEL = 1 << 6 * CLOCK  # hundredths after which a told clock begins again: four months
MOST_VERDICTS = 1024  # of all peers together


class Verdicts:
    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.offsets: dict[int, tuple[float, float]] = {}  # peer -> its clock's difference, when it was taken
        self.ends: dict[tuple[str, int], tuple[int, float]] = {}  # (server, maker) -> end as told, latest end
        self.new: list[str] = []  # records to be told to all

    def judge(self, server: str, until: float) -> None:
        """This proxy leaves the server alone until then."""
        self.new.append(JUDGES + server + write_figure(int(until / CENTI), CLOCK))

    def told(self, now: float) -> list[str]:
        records, self.new = self.new, []
        return [self.clock(now), *records] if records else []

    @staticmethod
    def clock(now: float) -> str:
        return TIME + write_figure(int(now / CENTI), CLOCK)

    def take(self, now: float, sender: int, sign: str, rest: str) -> None:
        if sign == TIME:
            self._hear_clock(now, sender, read_figure(rest))
        elif sender in self.offsets and len(self.ends) < MOST_VERDICTS:  # else how old it is cannot be told
            self.ends[rest[:NAME], sender] = read_figure(rest[NAME:]), now + LONGEST

    def _hear_clock(self, now: float, sender: int, told: int) -> None:
        sample = now - told * CENTI
        before, at = self.offsets.get(sender, (sample, now))
        # Differences are compared around the wheel; the old one may have drifted since.
        if _around((sample - before) / CENTI) * CENTI <= 2 * self.drift * (now - at):
            self.offsets[sender] = sample, now

    def _left(self, now: float, sender: int, theirs: int) -> float:
        """By the offset as it is known now: it was no better when the verdict came."""
        offset, _ = self.offsets[sender]
        return _around(theirs - (now - offset) / CENTI) * CENTI

    def standing(self, now: float) -> set[str]:
        """Servers that are under a verdict of a peer."""
        self.ends = {key: (theirs, latest) for key, (theirs, latest) in self.ends.items()
                     if now < latest and self._left(now, key[1], theirs) > 0}
        return {server for server, _ in self.ends}

    def forget(self, sender: int) -> None:
        """Its process is another now, with a clock and verdicts of its own."""
        self.ends = {key: end for key, end in self.ends.items() if key[1] != sender}
        self.offsets.pop(sender, None)


def _around(hundredths: float) -> float:
    """A difference of told clocks, the short way around."""
    return (hundredths + WHEEL / 2) % WHEEL - WHEEL / 2
