"""Push servers that peers have ejected, and until when: an ejection ends everywhere as it ends at its origin.

Its end travels in its origin's clock. A receiver knows that clock by the messages that came soonest: each
has the time of its sending, and the least difference to its arrival is the clocks' own and a link's shortest
delay. So a message that was held up on its way brings an ejection that is as old as it is, or over.
"""

from __future__ import annotations

from saltcourse.fleet.codec import (
    CLOCK_LENGTH, CLOCK_READING, CLOCK_UNIT, EJECTION, NAME_LENGTH, decode_number, encode_number,
)

MAX_HOLD = 10.0  # s from its arrival for which any ejection is held
CLOCK_MODULUS = 1 << 6 * CLOCK_LENGTH  # units after which a clock on the wire begins again: four months
MAX_EJECTIONS = 1024  # of all peers together


class Ejections:
    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.offsets: dict[int, tuple[float, float]] = {}  # peer -> its clock's difference, when it was taken
        self.ends: dict[tuple[str, int], tuple[int, float]] = {}  # (server, origin) -> its end, latest end
        self.pending: list[str] = []  # records to be sent to all

    def eject(self, server: str, until: float) -> None:
        """This proxy leaves the server alone until then."""
        self.pending.append(EJECTION + server + encode_number(int(until / CLOCK_UNIT), CLOCK_LENGTH))

    def pop_pending(self, now: float) -> list[str]:
        records, self.pending = self.pending, []
        return [self.clock_reading(now), *records] if records else []

    @staticmethod
    def clock_reading(now: float) -> str:
        return CLOCK_READING + encode_number(int(now / CLOCK_UNIT), CLOCK_LENGTH)

    def receive(self, now: float, sender: int, kind: str, body: str) -> None:
        if kind == CLOCK_READING:
            self._take_clock(now, sender, decode_number(body))
        elif sender in self.offsets and len(self.ends) < MAX_EJECTIONS:  # else how old it is cannot be told
            self.ends[body[:NAME_LENGTH], sender] = decode_number(body[NAME_LENGTH:]), now + MAX_HOLD

    def _take_clock(self, now: float, sender: int, reading: int) -> None:
        sample = now - reading * CLOCK_UNIT
        before, at = self.offsets.get(sender, (sample, now))
        # Differences are compared around the wheel; the old one may have drifted since.
        if _wrapped_difference((sample - before) / CLOCK_UNIT) * CLOCK_UNIT <= 2 * self.drift * (now - at):
            self.offsets[sender] = sample, now

    def _left(self, now: float, sender: int, theirs: int) -> float:
        """By the offset as it is known now: it was no better when the ejection came."""
        offset, _ = self.offsets[sender]
        return _wrapped_difference(theirs - (now - offset) / CLOCK_UNIT) * CLOCK_UNIT

    def active(self, now: float) -> set[str]:
        """Servers that a peer has ejected."""
        self.ends = {key: (theirs, latest) for key, (theirs, latest) in self.ends.items()
                     if now < latest and self._left(now, key[1], theirs) > 0}
        return {server for server, _ in self.ends}

    def forget(self, sender: int) -> None:
        """Its process is another now, with a clock and ejections of its own."""
        self.ends = {key: end for key, end in self.ends.items() if key[1] != sender}
        self.offsets.pop(sender, None)


def _wrapped_difference(units: float) -> float:
    """A difference of clocks on the wire, the short way around."""
    return (units + CLOCK_MODULUS / 2) % CLOCK_MODULUS - CLOCK_MODULUS / 2
