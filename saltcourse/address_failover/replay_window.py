"""A window over sequence numbers that accepts each of them once (as in RFC 4303, section 3.4.3)."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_SIZE = 64  # datagrams that may overtake one another
WINDOW_MASK = (1 << WINDOW_SIZE) - 1


@dataclass(slots=True)
class ReplayWindow:
    """``accepted`` has bit i set when the number ``highest - i`` has been accepted."""

    highest: int = 0
    accepted: int = 0

    def accept(self, sequence: int) -> bool:
        """False for a number that was accepted before, or that is too old to tell."""
        ahead = sequence - self.highest
        if ahead > 0:
            self.accepted = (self.accepted << min(ahead, WINDOW_SIZE) | 1) & WINDOW_MASK
            self.highest = sequence
            return True
        behind = -ahead
        if behind >= WINDOW_SIZE or self.accepted >> behind & 1:
            return False
        self.accepted |= 1 << behind
        return True
