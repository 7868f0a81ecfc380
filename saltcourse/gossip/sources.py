"""Members that announced a higher position than this member's, from which changes can be fetched.

Only the ``MAX_SOURCES`` members that announced last are remembered. An announcement that is not repeated
expires, so a position that no member can deliver is forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from saltcourse.gossip.configuration import FleetConfiguration
from saltcourse.gossip.messages import Address, Position

MAX_SOURCES = 8


@dataclass(frozen=True, slots=True)
class Announcement:
    """A position that a member has announced, and when the announcement expires (seconds)."""

    position: Position
    expires: float


class Sources:
    """The latest announcement of each member that is ahead, by address."""

    def __init__(self, lifetime: float, rng: Random) -> None:
        """``lifetime`` is the time in seconds after which an announcement expires if it is not repeated."""
        self._lifetime = lifetime
        self._rng = rng
        self._announcements: dict[Address, Announcement] = {}  # the least recently repeated first

    def __len__(self) -> int:
        """Return the number of members that are ahead."""
        return len(self._announcements)

    def add(self, now: float, address: Address, position: Position) -> None:
        """Record that a member has announced a position ahead of this member's."""
        self._announcements.pop(address, None)
        self._announcements[address] = Announcement(position, now + self._lifetime)
        if len(self._announcements) > MAX_SOURCES:
            del self._announcements[next(iter(self._announcements))]

    def prune(self, now: float, configuration: FleetConfiguration) -> None:
        """Forget announcements that have expired or that this member has caught up with."""
        if not self._announcements:
            return
        self._announcements = {
            address: announcement
            for address, announcement in self._announcements.items()
            if now < announcement.expires and configuration.is_ahead(announcement.position)
        }

    def position_of(self, address: Address) -> Position | None:
        """Return the position that the member at ``address`` has announced, or None."""
        announcement = self._announcements.get(address)
        return announcement.position if announcement is not None else None

    def choose(self, exclude: Address | None) -> Address | None:
        """Return a random member other than ``exclude``, or None if there is none."""
        addresses = [address for address in self._announcements if address != exclude]
        return self._rng.choice(addresses) if addresses else None

    def next_deadline(self) -> float:
        """Return the time at which the first announcement expires, in seconds."""
        if not self._announcements:
            return float("inf")
        return min([announcement.expires for announcement in self._announcements.values()])
