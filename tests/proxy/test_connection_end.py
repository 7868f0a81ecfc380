"""The end of an established connection: data that one side still sends after the proxy has ended the other.

Each test delays one event until another has happened; docs/design/race-conditions.md has a table of the
races.
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
    run_loop_iterations,
    wait_until,
)

pytestmark = pytest.mark.usefixtures("no_front_notice")


async def establish(proxy: RunningProxy) -> tuple[RemoteClient, RemoteConnection]:
    """Establish a connection; return the client's and the backend's end."""
    client = await proxy.client(OPEN.format(5000))
    backend = await proxy.accept()
    await backend.line()
    await backend.send("UP 1", b"\r\n")
    assert await client.line() == "UP 1"
    return client, backend


def hold_end_after_move(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Delay the proxy between writing MOVE and closing either side until the returned gate is set."""
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
    """Guards against relaying a client's line to a backend whose side has ended.

    A client sent a line before it had read the end of its connection. The line was counted as sent to the
    backend. After MOVE it was also written to a socket that the proxy had shut down for writing, and that
    error closed the backend's connection with a reset.
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
            await run_loop_iterations()
            assert not [message for message in sent if isinstance(message, LineSent)]
            if cause == "MOVE":
                await backend.sees("end")
                await backend.send("LOAD 1", b"\r\n")
                await run_loop_iterations()
                assert backend.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
            client.sock.close()
            await wait_until(lambda: not proxy.server.clients)

    asyncio.run(play())


def test_a_clients_line_while_move_is_written_is_not_relayed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against relaying a line that the client sent while MOVE was in flight.

    The backend received the line although the connection had ended and its answer could not be delivered.
    """

    async def play() -> None:
        gate = hold_end_after_move(monkeypatch)
        async with RunningProxy() as proxy:
            client, backend = await establish(proxy)
            client.connection.send(MigrateConnection("a"))
            assert await client.line() == "MOVE"
            await client.send("late", b"\r\n")
            await wait_until(lambda: not client.connection.stream.has_unread())
            await run_loop_iterations()
            gate.set()
            await backend.sees("end")
            assert backend.received == b""

    asyncio.run(play())


@pytest.mark.parametrize("late", [b"late\r\n", b"incomplete line, then FIN"])
def test_no_data_is_written_after_move(monkeypatch: pytest.MonkeyPatch, late: bytes) -> None:
    """Guards against data after MOVE, which has to be the last line of a connection.

    A backend's line arrived between MOVE and the close and was relayed, as was an incomplete last line. What
    the backend sends after MOVE has to be read and dropped.
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
            await run_loop_iterations()
            gate.set()
            await client.sees("end")
            assert client.received == b""

    asyncio.run(play())
