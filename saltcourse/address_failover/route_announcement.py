"""Interface between the election host and the component that announces the service address."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

AvailabilityCallback = Callable[[bool], None]


class AddressAnnouncer(Protocol):
    """Announces and withdraws the address, in the order of the calls.

    ``available``: whether the address can be announced. If not, the member must not hold the address.
    """

    available: bool

    def start(self, on_availability: AvailabilityCallback) -> None:
        """Start, and call ``on_availability`` whenever ``available`` changes."""

    def announce(self, term: int) -> None:
        """Announce the address for the lease of ``term``."""

    def withdraw(self, term: int) -> None:
        """Withdraw the address, which was announced for the lease of ``term``."""

    async def stop(self, reason: str) -> None:
        """Complete pending withdrawals within a bounded time and release all resources.

        ``reason`` is sent to the route servers by announcers that have any.
        """
