"""Push servers that peers have ejected, and until when: an ejection ends everywhere as it ends at its origin.

Its end travels in its origin's clock. A receiver knows that clock by the messages that came soonest: each
has the time of its sending, and the least difference to its arrival is the clocks' own and a link's shortest
delay. So a message that was held up on its way brings an ejection that is as old as it is, or over.
"""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.shared_state.codec import CLOCK_MODULUS
from saltcourse.shared_state.messages import CLOCK_UNIT, ClockReading, EjectionNotice, EntryKey, Record

MAX_HOLD = 10.0  # s from its arrival for which any ejection is held
MAX_EJECTIONS = 1024  # of all peers together


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """This proxy's clock less a peer's, and when it was taken; a message's delay makes it too large."""

    difference: float
    taken_at: float


@dataclass(frozen=True, slots=True)
class PeerEjection:
    end: int  # units of its origin's clock
    latest_end: float  # by this proxy's clock, whatever the origin's says


class Ejections:
    """Those of this proxy that are still to be sent, and those of its peers."""

    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.offsets: dict[int, ClockOffset] = {}  # of the peers
        self.of_peers: dict[tuple[EntryKey, int], PeerEjection] = {}  # by server and origin
        self.pending: list[EjectionNotice] = []  # to be sent to all

    def eject(self, server: EntryKey, until: float) -> None:
        """This proxy has ejected the server until then."""
        self.pending.append(EjectionNotice(server, int(until / CLOCK_UNIT)))

    def pop_pending(self, now: float) -> list[Record]:
        """What is to be sent to all, with the clock that it is told in."""
        pending, self.pending = self.pending, []
        return [self.clock_reading(now), *pending] if pending else []

    @staticmethod
    def clock_reading(now: float) -> ClockReading:
        return ClockReading(int(now / CLOCK_UNIT))

    def take_clock(self, now: float, sender: int, reading: ClockReading) -> None:
        sample = now - reading.time * CLOCK_UNIT
        known = self.offsets.get(sender)
        if known is None or self._is_sooner(now, sample, known):
            self.offsets[sender] = ClockOffset(sample, now)

    def _is_sooner(self, now: float, sample: float, known: ClockOffset) -> bool:
        """The message was less delayed than the one behind the known offset, which may have drifted since."""
        later = _wrapped_difference((sample - known.difference) / CLOCK_UNIT) * CLOCK_UNIT
        return later <= 2 * self.drift * (now - known.taken_at)

    def take_notice(self, now: float, sender: int, notice: EjectionNotice) -> None:
        """Passed over where the sender's clock is not known, for how old it is cannot be told then."""
        if sender in self.offsets and len(self.of_peers) < MAX_EJECTIONS:
            self.of_peers[notice.server, sender] = PeerEjection(notice.end, now + MAX_HOLD)

    def _remaining(self, now: float, origin: int, end: int) -> float:
        """By the offset as it is known now: it was no better when the ejection came."""
        offset = self.offsets[origin].difference
        return _wrapped_difference(end - (now - offset) / CLOCK_UNIT) * CLOCK_UNIT

    def active(self, now: float) -> set[EntryKey]:
        """Servers that a peer has ejected."""
        self.of_peers = {
            key: ejection
            for key, ejection in self.of_peers.items()
            if now < ejection.latest_end and self._remaining(now, key[1], ejection.end) > 0
        }
        return {server for server, _ in self.of_peers}

    def forget(self, sender: int) -> None:
        """Its process is another now, with a clock and ejections of its own."""
        self.of_peers = {key: ejection for key, ejection in self.of_peers.items() if key[1] != sender}
        self.offsets.pop(sender, None)


def _wrapped_difference(units: float) -> float:
    """A difference of clocks on the wire, the short way around."""
    return (units + CLOCK_MODULUS / 2) % CLOCK_MODULUS - CLOCK_MODULUS / 2
