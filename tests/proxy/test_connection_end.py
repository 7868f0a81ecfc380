"""The end of an established connection: what either side still sends after the proxy has ended the other.

One event is held back until the other is in place; docs/design/race-conditions.md has the table of them.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from saltcourse.balancing.actions import MigrateConnection
from saltcourse.proxy import client_connection
from saltcourse.proxy.client_connection import ConnectionState
from saltcourse.proxy.messages import LineSent
from saltcourse.proxy.stream import SocketStream, write_within
from tests.proxy.exchange_player import RemoteConnection
from tests.proxy.running_proxy import (
    OPEN,
    RemoteClient,
    RunningProxy,
    record_dispatcher_messages,
    run_loop_turns,
    wait_until,
)

pytestmark = pytest.mark.usefixtures("no_front_notice")


async def establish(proxy: RunningProxy) -> tuple[RemoteClient, RemoteConnection]:
    """Both ends of a connection on which UP was passed on."""
    client = await proxy.client(OPEN.format(5000))
    backend = await proxy.accept()
    await backend.line()
    await backend.send("UP 1", b"\r\n")
    assert await client.line() == "UP 1"
    return client, backend


def hold_end_after_move(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """MOVE is written, and neither side is ended before the gate opens."""
    gate = asyncio.Event()

    async def write_then_wait(stream: SocketStream, data: bytes, seconds: float) -> bool:
        written = await write_within(stream, data, seconds)
        await gate.wait()
        return written

    monkeypatch.setattr(client_connection, "write_within", write_then_wait)
    return gate


@pytest.mark.parametrize("cause", ["MOVE", "the backend's end"])
def test_a_clients_line_after_the_proxys_half_close_is_dropped(
    monkeypatch: pytest.MonkeyPatch, cause: str
) -> None:
    """A client sent a line while it had not read the end of its connection yet.

    The line was counted as sent to the backend, whose side had ended. After MOVE it was written to a socket
    that the proxy had shut for writing, and that failure closed the backend's connection by a reset.
    """
    monkeypatch.setattr(client_connection, "CLOSE_TIMEOUT_SECONDS", 10.0)

    async def play() -> None:
        async with RunningProxy() as proxy:
            client, backend = await establish(proxy)
            sent = record_dispatcher_messages(proxy)
            if cause == "MOVE":
                client.connection.send(MigrateConnection("a"))
                assert await client.line() == "MOVE"
            else:
                await backend.send("BYE", b"\r\n")
                backend.sock.shutdown(socket.SHUT_WR)
                assert await client.line() == "BYE"
            await client.sees("end")
            await client.send("late", b"\r\n")
            await wait_until(lambda: not client.connection.stream.has_unread())
            await run_loop_turns()
            assert not [message for message in sent if isinstance(message, LineSent)]
            if cause == "MOVE":
                await backend.sees("end")
                await backend.send("LOAD 1", b"\r\n")
                await run_loop_turns()
                assert backend.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
            client.sock.close()
            await wait_until(lambda: not proxy.server.clients)

    asyncio.run(play())


def test_a_clients_line_while_move_is_written_is_not_passed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client sent a line while MOVE was on its way to it.

    The backend got the line though the connection was over, and its answer could reach nobody.
    """

    async def play() -> None:
        gate = hold_end_after_move(monkeypatch)
        async with RunningProxy() as proxy:
            client, backend = await establish(proxy)
            client.connection.send(MigrateConnection("a"))
            assert await client.line() == "MOVE"
            await client.send("late", b"\r\n")
            await wait_until(lambda: not client.connection.stream.has_unread())
            await run_loop_turns()
            gate.set()
            await backend.sees("end")
            assert backend.received == b""

    asyncio.run(play())


@pytest.mark.parametrize("late", [b"late\r\n", b"half a line, then the end"])
def test_nothing_follows_move(monkeypatch: pytest.MonkeyPatch, late: bytes) -> None:
    """A backend's line came between MOVE and the end of the connection.

    It was passed on behind MOVE, as was the rest of a line that the backend's end had cut short. MOVE is the
    last line of a connection; what the backend sends later is read and dropped.
    """

    async def play() -> None:
        gate = hold_end_after_move(monkeypatch)
        async with RunningProxy() as proxy:
            client, backend = await establish(proxy)
            attempt = client.connection._attempts.current
            assert attempt is not None and attempt.stream is not None and attempt.task is not None
            stream, task = attempt.stream, attempt.task
            client.connection.send(MigrateConnection("a"))
            assert await client.line() == "MOVE"
            assert client.connection.state is ConnectionState.ENDED
            backend.sock.send(late)
            if late.endswith(b"\r\n"):
                await wait_until(lambda: not stream.has_unread())
            else:
                backend.sock.shutdown(socket.SHUT_WR)
                await wait_until(task.done)
            await run_loop_turns()
            gate.set()
            await client.sees("end")
            assert client.received == b""

    asyncio.run(play())
