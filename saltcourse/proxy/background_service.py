"""What runs beside the proxy in its process where the operator switched it on, as the server sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from saltcourse.config import Config

if TYPE_CHECKING:  # nothing of it is imported without an admin address
    from saltcourse.admin.commands import GossipHandler


class BackgroundService(Protocol):
    """A part of the process that starts when the proxy serves."""

    async def start(self) -> None:
        """Begin; the proxy is serving."""

    async def leave(self) -> None:
        """Before draining: clients are then already sent elsewhere."""

    def reload(self) -> None:
        """SIGHUP: read the configuration anew."""


class HostProgram(Protocol):
    """What a fleet member needs of the proxy that it runs in."""

    def connections(self) -> int:
        """Connections that clients asked for and that have not ended."""

    def apply_config(self, new: Config) -> None:
        """Put a changed configuration in force."""


class MembershipService(BackgroundService, Protocol):
    """The service that makes the proxy a member of a fleet with gossip."""

    @property
    def gossip_handler(self) -> GossipHandler | None:
        """The calls at the admin address that it answers; None before its start."""

    def attach(self, program: HostProgram) -> None:
        """Before its start: ``program`` reports its connections, and applies a changed configuration."""

    def gauges(self) -> dict[str, int]:
        """Its gauges, by name."""
