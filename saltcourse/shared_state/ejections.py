"""Backends that peers have ejected, and until when: an ejection ends everywhere as it ends at its origin.

Its end travels in its origin's clock. A receiver knows that clock by the messages that were least delayed:
each has the time of its sending, and the least difference to its arrival is the clocks' own and a link's
shortest delay. So a message that was held up on its way carries an ejection that is as old as it is,
or over.
"""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.shared_state.codec import CLOCK_MODULUS
from saltcourse.shared_state.messages import (
    CLOCK_UNIT_SECONDS,
    ClockReading,
    EjectionNotice,
    EntryKey,
    Record,
)

MAX_HOLD_SECONDS = 10.0  # from its arrival, for which any ejection is held
MAX_EJECTIONS = 1024  # of all peers together; later notices are ignored


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """This proxy's clock less a peer's (s), and when it was taken; a message's delay makes it too large."""

    difference: float
    taken_at: float


@dataclass(frozen=True, slots=True)
class PeerEjection:
    """An ejection that a peer has made."""

    end: int  # units of its origin's clock
    latest_end: float  # s of this proxy's clock, whatever the origin's shows


class Ejections:
    """Those of this proxy that are still to be sent, and those of its peers.

    ``drift``: the ratio by which a clock may run too fast or too slow.
    """

    def __init__(self, drift: float) -> None:
        self.drift = drift
        self.offsets: dict[int, ClockOffset] = {}  # by peer
        self.peer_ejections: dict[tuple[EntryKey, int], PeerEjection] = {}  # by backend and origin
        self.pending: list[EjectionNotice] = []  # to be sent to all

    def announce(self, backend: EntryKey, until: float) -> None:
        """This proxy has ejected the backend until then (s)."""
        self.pending.append(EjectionNotice(backend, int(until / CLOCK_UNIT_SECONDS)))

    def pop_pending(self, now: float) -> list[Record]:
        """What is to be sent to all, behind a reading of the clock that it counts in."""
        pending, self.pending = self.pending, []
        return [self.clock_reading(now), *pending] if pending else []

    @staticmethod
    def clock_reading(now: float) -> ClockReading:
        """This proxy's clock, to be sent at once."""
        return ClockReading(int(now / CLOCK_UNIT_SECONDS))

    def receive_clock(self, now: float, sender: int, reading: ClockReading) -> None:
        """Take a peer's clock reading, where its message was less delayed than those before."""
        sample = now - reading.time * CLOCK_UNIT_SECONDS
        known = self.offsets.get(sender)
        if known is None or self._is_less_delayed(now, sample, known):
            self.offsets[sender] = ClockOffset(sample, now)

    def _is_less_delayed(self, now: float, sample: float, known: ClockOffset) -> bool:
        """Allows for the drift of both clocks since the known offset was taken."""
        later = _wrapped_difference((sample - known.difference) / CLOCK_UNIT_SECONDS) * CLOCK_UNIT_SECONDS
        return later <= 2 * self.drift * (now - known.taken_at)

    def receive_notice(self, now: float, sender: int, notice: EjectionNotice) -> None:
        """Ignore the notice where the sender's clock is not known, for then nobody can tell how old it is."""
        if sender in self.offsets and len(self.peer_ejections) < MAX_EJECTIONS:
            self.peer_ejections[notice.backend, sender] = PeerEjection(notice.end, now + MAX_HOLD_SECONDS)

    def _remaining(self, now: float, origin: int, end: int) -> float:
        """Seconds, by the offset as it is known now: it was no better when the ejection came."""
        offset = self.offsets[origin].difference
        return _wrapped_difference(end - (now - offset) / CLOCK_UNIT_SECONDS) * CLOCK_UNIT_SECONDS

    def active(self, now: float) -> set[EntryKey]:
        """Backends that a peer has ejected; ejections that are over are forgotten."""
        self.peer_ejections = {
            key: ejection
            for key, ejection in self.peer_ejections.items()
            if now < ejection.latest_end and self._remaining(now, key[1], ejection.end) > 0
        }
        return {backend for backend, _ in self.peer_ejections}

    def forget_peer(self, sender: int) -> None:
        """Its process is another now, with a clock and ejections of its own."""
        self.peer_ejections = {
            key: ejection for key, ejection in self.peer_ejections.items() if key[1] != sender
        }
        self.offsets.pop(sender, None)


def _wrapped_difference(units: float) -> float:
    """A difference of clocks on the wire, the short way around."""
    return (units + CLOCK_MODULUS / 2) % CLOCK_MODULUS - CLOCK_MODULUS / 2
