"""Backends ejected by peers. An ejection ends at every proxy when it ends at the proxy that made it.

The end of an ejection is sent as a time on the origin's clock. A receiver estimates the offset between the
two clocks from the clock readings in the origin's messages: the smallest difference between receive time and
reading is the true offset plus the shortest network delay. So a notice that was delayed on its way does not
prolong the ejection; it may have expired when it arrives.
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

MAX_EJECTION_SECONDS = 10.0  # maximum lifetime of a peer's ejection, from the arrival of its notice
MAX_EJECTIONS = 1024  # limit for all peers together; further notices are ignored


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """An estimate of the offset between this proxy's clock and a peer's.

    The estimate is too large by the network delay of the message that it was taken from.
    """

    difference: float  # this proxy's clock minus the peer's, seconds
    measured_at: float  # seconds on this proxy's clock


@dataclass(frozen=True, slots=True)
class PeerEjection:
    """An ejection made by a peer."""

    end: int  # clock units on the origin's clock
    latest_end: float  # upper bound for the end, seconds on this proxy's clock


class Ejections:
    """Queues this proxy's ejection notices and tracks the ejections of its peers.

    ``clock_drift``: the maximum ratio by which the rate of a clock deviates from true time.
    """

    def __init__(self, clock_drift: float) -> None:
        self.clock_drift = clock_drift
        self.offsets: dict[int, ClockOffset] = {}  # clock offset of each peer
        self.peer_ejections: dict[tuple[EntryKey, int], PeerEjection] = {}  # by backend and origin
        self.pending: list[EjectionNotice] = []  # this proxy's notices that have not been broadcast yet

    def announce(self, backend: EntryKey, until: float) -> None:
        """Queue a notice that this proxy has ejected the backend until ``until`` (seconds on its clock)."""
        self.pending.append(EjectionNotice(backend, int(until / CLOCK_UNIT_SECONDS)))

    def pop_pending(self, now: float) -> list[Record]:
        """Return the queued notices, preceded by a reading of the clock they refer to; clear the queue."""
        pending, self.pending = self.pending, []
        return [self.clock_reading(now), *pending] if pending else []

    @staticmethod
    def clock_reading(now: float) -> ClockReading:
        """Return a reading of this proxy's clock. It has to be sent immediately."""
        return ClockReading(int(now / CLOCK_UNIT_SECONDS))

    def receive_clock(self, now: float, sender: int, reading: ClockReading) -> None:
        """Update a peer's clock offset if this message was less delayed than the earlier ones."""
        sample = now - reading.time * CLOCK_UNIT_SECONDS
        known = self.offsets.get(sender)
        if known is None or self._is_less_delayed(now, sample, known):
            self.offsets[sender] = ClockOffset(sample, now)

    def _is_less_delayed(self, now: float, sample: float, known: ClockOffset) -> bool:
        """Return whether the sample's message was less delayed than that of the known offset.

        Allows for the drift of both clocks since the known offset was measured.
        """
        extra_delay = (
            _wrapped_difference((sample - known.difference) / CLOCK_UNIT_SECONDS) * CLOCK_UNIT_SECONDS
        )
        return extra_delay <= 2 * self.clock_drift * (now - known.measured_at)

    def receive_notice(self, now: float, sender: int, notice: EjectionNotice) -> None:
        """Store a peer's ejection.

        The notice is ignored if the sender's clock offset is unknown, because the notice's age cannot be
        determined then, and if there are ``MAX_EJECTIONS`` ejections already.
        """
        if sender in self.offsets and len(self.peer_ejections) < MAX_EJECTIONS:
            self.peer_ejections[notice.backend, sender] = PeerEjection(notice.end, now + MAX_EJECTION_SECONDS)

    def _remaining(self, now: float, origin: int, end: int) -> float:
        """Return the seconds until an ejection ends.

        Uses the current clock offset, which is at least as accurate as the one when the notice arrived.
        """
        offset = self.offsets[origin].difference
        return _wrapped_difference(end - (now - offset) / CLOCK_UNIT_SECONDS) * CLOCK_UNIT_SECONDS

    def active(self, now: float) -> set[EntryKey]:
        """Discard expired ejections, and return the backends that are still ejected by a peer."""
        self.peer_ejections = {
            key: ejection
            for key, ejection in self.peer_ejections.items()
            if now < ejection.latest_end and self._remaining(now, key[1], ejection.end) > 0
        }
        return {backend for backend, _ in self.peer_ejections}

    def forget_peer(self, sender: int) -> None:
        """Discard a peer's ejections and clock offset, because it has restarted and its clock may differ."""
        self.peer_ejections = {
            key: ejection for key, ejection in self.peer_ejections.items() if key[1] != sender
        }
        self.offsets.pop(sender, None)


def _wrapped_difference(units: float) -> float:
    """Map a difference of two wrapped clock readings to the range -CLOCK_MODULUS/2 to CLOCK_MODULUS/2."""
    return (units + CLOCK_MODULUS / 2) % CLOCK_MODULUS - CLOCK_MODULUS / 2
