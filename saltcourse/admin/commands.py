"""Executes an operator's command and returns the HTTP response."""

from __future__ import annotations

from typing import Protocol

from saltcourse.admin.requests import GOSSIP_COMMANDS, LAMEDUCK_COMMANDS, NO_SUCH_PATH, Command
from saltcourse.admin.responses import Response


class GossipHandler(Protocol):
    """Executes the commands about the fleet; implemented by a gossip member."""

    def members(self) -> Response:
        """Return the members that this member knows."""

    def configuration(self) -> Response:
        """Return this member's copy of the fleet's configuration."""

    async def publish(self, body: bytes) -> Response:
        """Change the configuration, and return once the control members have committed it or timed out."""


class AdminTarget(Protocol):
    """The program that the commands act on."""

    def supports(self, command: Command) -> bool:
        """Return whether the program supports the command; the path of others is answered with 404."""

    @property
    def gossip_handler(self) -> GossipHandler | None:
        """The handler of commands about the fleet; None unless the program is a member of one."""

    def ready(self) -> bool:
        """Return whether the program can serve now."""

    def metrics_text(self) -> bytes:
        """Return the metrics, one per line."""

    def lameduck(self, on: bool) -> bool:
        """Drain the program, or return it to service; return False if it is shutting down."""


async def execute(command: Command, body: bytes, target: AdminTarget) -> Response:
    """Execute a command and return its response; ``body`` is the body of the request."""
    if not target.supports(command):
        return NO_SUCH_PATH
    if command is Command.READY:
        return Response(200, b"yes\n") if target.ready() else Response(503, b"no\n")
    if command is Command.VARS:
        return Response(200, target.metrics_text())
    if command in LAMEDUCK_COMMANDS:
        return _set_lameduck(target, command is Command.LAMEDUCK_ON)
    if command in GOSSIP_COMMANDS and target.gossip_handler is not None:
        return await _execute_gossip(command, body, target.gossip_handler)
    return NO_SUCH_PATH


def _set_lameduck(target: AdminTarget, on: bool) -> Response:
    if not target.lameduck(on):
        return Response(409, b"the proxy is shutting down\n")
    return Response(200, b"lameduck on\n" if on else b"lameduck off\n")


async def _execute_gossip(command: Command, body: bytes, handler: GossipHandler) -> Response:
    if command is Command.GOSSIP_MEMBERS:
        return handler.members()
    if command is Command.GOSSIP_CONFIGURATION:
        return handler.configuration()
    return await handler.publish(body)
