"""Sliding window that accepts each sequence number once (as in RFC 4303, section 3.4.3)."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_SIZE = 64  # sequence numbers: the maximum distance over which datagrams may be reordered
WINDOW_MASK = (1 << WINDOW_SIZE) - 1


@dataclass(slots=True)
class ReplayWindow:
    """The highest accepted sequence number, and a bitmap: bit i is set if ``highest - i`` was accepted."""

    highest: int = 0
    accepted: int = 0

    def accept(self, sequence: int) -> bool:
        """Accept a sequence number; return False if it was accepted before or is older than the window."""
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
