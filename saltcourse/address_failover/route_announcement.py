"""What the election host needs of whatever announces the service address to the network."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

AvailabilityCallback = Callable[[bool], None]


class AddressAnnouncer(Protocol):
    """Announces and withdraws the address, in the order of the calls.

    ``available``: whether at least one way to announce works; a member without one must not hold the address.
    """

    available: bool

    def start(self, on_availability: AvailabilityCallback) -> None:
        """Begin; ``on_availability`` is called whenever ``available`` changes."""

    def announce(self, term: int) -> None:
        """Announce the address for the lease of a term."""

    def withdraw(self, term: int) -> None:
        """Withdraw the address."""

    async def stop(self, reason: str) -> None:
        """Finish what is still to be withdrawn, in bounded time, and release all resources."""
