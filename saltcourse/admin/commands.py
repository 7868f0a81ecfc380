"""Carries out an operator's command at the program, and says with which status."""

from __future__ import annotations

from typing import Protocol

from saltcourse.admin.requests import GOSSIP_COMMANDS, LAMEDUCK_COMMANDS, NO_SUCH_PATH, Command
from saltcourse.admin.responses import Response


class GossipHandler(Protocol):
    """Answers the commands about the fleet: a member of it."""

    def members(self) -> Response:
        """Return the members that this one knows."""

    def configuration(self) -> Response:
        """Return the fleet's configuration as this member has it."""

    async def publish(self, body: bytes) -> Response:
        """Change the configuration; takes as long as the control members need to agree, or to give up."""


class AdminTarget(Protocol):
    """The program that the commands are about."""

    def supports(self, command: Command) -> bool:
        """Whether the program has what the command is about; its path is unknown otherwise."""

    @property
    def gossip_handler(self) -> GossipHandler | None:
        """None unless the program is a member of a fleet."""

    def ready(self) -> bool:
        """Whether it can serve now."""

    def metrics_text(self) -> bytes:
        """Return the metrics, one a line."""

    def lameduck(self, on: bool) -> bool:
        """Drain the program, or take it back into service; False once it is leaving for good."""


async def execute(command: Command, body: bytes, target: AdminTarget) -> Response:
    """Carry out a command; ``body`` is that of its request."""
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
        return Response(409, b"the proxy is leaving\n")
    return Response(200, b"lameduck on\n" if on else b"lameduck off\n")


async def _execute_gossip(command: Command, body: bytes, handler: GossipHandler) -> Response:
    if command is Command.GOSSIP_MEMBERS:
        return handler.members()
    if command is Command.GOSSIP_CONFIGURATION:
        return handler.configuration()
    return await handler.publish(body)
