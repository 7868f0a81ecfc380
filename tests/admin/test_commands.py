"""Responses to commands, depending on the state of the program and its membership in a fleet."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from saltcourse.admin.commands import GossipHandler, execute
from saltcourse.admin.requests import GOSSIP_COMMANDS, LAMEDUCK_COMMANDS, Command
from saltcourse.admin.responses import Response


class FakeFleetMember:
    """Responds with the name of the command, and the body of a published change."""

    def members(self) -> Response:
        return Response(200, b"members")

    def configuration(self) -> Response:
        return Response(200, b"configuration")

    async def publish(self, body: bytes) -> Response:
        return Response(200, b"published " + body)


@dataclass
class FakeProgram:
    is_ready: bool = True
    is_leaving: bool = False
    unsupported: frozenset[Command] = frozenset()
    gossip_handler: GossipHandler | None = None
    lameduck_calls: list[bool] = field(default_factory=list)

    def supports(self, command: Command) -> bool:
        return command not in self.unsupported

    def ready(self) -> bool:
        return self.is_ready

    def metrics_text(self) -> bytes:
        return b"svc.concurrent:0|g\n"

    def lameduck(self, on: bool) -> bool:
        self.lameduck_calls.append(on)
        return not self.is_leaving


def run(command: Command, program: FakeProgram, body: bytes = b"") -> tuple[int, bytes]:
    response = asyncio.run(execute(command, body, program))
    return response.status, response.body


@pytest.mark.parametrize(
    ("command", "program", "expected"),
    [
        (Command.READY, FakeProgram(), (200, b"yes\n")),
        (Command.READY, FakeProgram(is_ready=False), (503, b"no\n")),
        (Command.VARS, FakeProgram(), (200, b"svc.concurrent:0|g\n")),
        (Command.LAMEDUCK_ON, FakeProgram(), (200, b"lameduck on\n")),
        (Command.LAMEDUCK_OFF, FakeProgram(), (200, b"lameduck off\n")),
        (Command.LAMEDUCK_ON, FakeProgram(is_leaving=True), (409, b"the proxy is shutting down\n")),
        (Command.LAMEDUCK_ON, FakeProgram(unsupported=LAMEDUCK_COMMANDS), (404, b"no such path\n")),
        (Command.GOSSIP_MEMBERS, FakeProgram(gossip_handler=FakeFleetMember()), (200, b"members")),
        (
            Command.GOSSIP_CONFIGURATION,
            FakeProgram(gossip_handler=FakeFleetMember()),
            (200, b"configuration"),
        ),
        (Command.GOSSIP_PUBLISH, FakeProgram(gossip_handler=FakeFleetMember()), (200, b"published {}")),
    ],
)
def test_each_command_gets_the_response_for_the_state_of_the_program(
    command: Command, program: FakeProgram, expected: tuple[int, bytes]
) -> None:
    assert run(command, program, b"{}") == expected


@pytest.mark.parametrize("command", sorted(GOSSIP_COMMANDS, key=lambda command: command.value))
def test_fleet_commands_without_a_handler_get_404(command: Command) -> None:
    """A member that has not started supports the commands but has no handler, so none may be awaited."""
    assert run(command, FakeProgram()) == (404, b"no such path\n")


def test_an_unsupported_command_is_not_executed() -> None:
    program = FakeProgram(unsupported=LAMEDUCK_COMMANDS)
    run(Command.LAMEDUCK_ON, program)
    assert program.lameduck_calls == []
