"""Interfaces of the optional services that run in the proxy's process when the operator enables them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from saltcourse.config import Config

if TYPE_CHECKING:  # the admin package is not imported at run time unless an admin address is configured
    from saltcourse.admin.commands import GossipHandler


class BackgroundService(Protocol):
    """A service that starts when the proxy is serving and stops when it begins to drain."""

    async def start(self) -> None:
        """Start the service; called once the proxy is serving."""

    async def leave(self) -> None:
        """Stop the service, so that clients are routed elsewhere; the drain waits a limited time for it."""

    def reload(self) -> None:
        """Read the service's configuration again; called on SIGHUP."""


class HostProgram(Protocol):
    """The interface of the proxy that its membership service uses."""

    def connections(self) -> int:
        """Return the number of client connections that are waiting for an answer or established."""

    def apply_config(self, new: Config) -> None:
        """Apply a changed configuration."""


class MembershipService(BackgroundService, Protocol):
    """The service that makes the proxy a member of a fleet with gossip."""

    @property
    def gossip_handler(self) -> GossipHandler | None:
        """The handler of the gossip commands at the admin address; None before the service has started."""

    def attach(self, program: HostProgram) -> None:
        """Set the proxy that the service runs in; called before ``start``."""

    def gauges(self) -> dict[str, int]:
        """Return the service's gauges, by name."""
