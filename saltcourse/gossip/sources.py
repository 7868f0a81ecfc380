"""Members that announced a higher version than this member's: whom to ask for it.

At most ``MAX_SOURCES`` are remembered, the last ones that announced; a claim that is not repeated expires. So
a claim that nobody can satisfy is forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from saltcourse.gossip.configuration import FleetConfiguration
from saltcourse.gossip.messages import Address, Position

MAX_SOURCES = 8


@dataclass(frozen=True, slots=True)
class Claim:
    """A position that a member has announced, and until when it counts."""

    position: Position
    expires: float


class Sources:
    """Claims by the address of their member."""

    def __init__(self, lifetime: float, rng: Random) -> None:
        """``lifetime``: seconds for which a claim counts when it is not repeated."""
        self._lifetime = lifetime
        self._rng = rng
        self._claims: dict[Address, Claim] = {}  # in the order of their last announcements

    def __len__(self) -> int:
        """Count the claims."""
        return len(self._claims)

    def note(self, now: float, address: Address, position: Position) -> None:
        """A member has announced a position ahead of this member's."""
        self._claims.pop(address, None)
        self._claims[address] = Claim(position, now + self._lifetime)
        if len(self._claims) > MAX_SOURCES:
            del self._claims[next(iter(self._claims))]

    def prune(self, now: float, configuration: FleetConfiguration) -> None:
        """Forget claims that expired, or that this member has caught up with."""
        if not self._claims:
            return
        self._claims = {
            address: claim
            for address, claim in self._claims.items()
            if now < claim.expires and configuration.is_ahead(claim.position)
        }

    def position_of(self, address: Address) -> Position | None:
        """None when the member has no claim."""
        claim = self._claims.get(address)
        return claim.position if claim is not None else None

    def choose(self, exclude: Address | None) -> Address | None:
        """A random one of them, ``exclude`` left out."""
        addresses = [address for address in self._claims if address != exclude]
        return self._rng.choice(addresses) if addresses else None

    def next_deadline(self) -> float:
        """When the first claim expires."""
        if not self._claims:
            return float("inf")
        return min([claim.expires for claim in self._claims.values()])
