"""The opening of a client connection: its time limits, and requests that cross the proxy's end of it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

import pytest

from saltcourse.proxy import opening
from saltcourse.proxy.client_connection import ClientConnection
from saltcourse.proxy.opening import Opening
from saltcourse.proxy.stream import SocketStream, _HalfCloseIOStream
from tests.proxy.exchange_player import RemoteConnection
from tests.proxy.running_proxy import (
    OPEN,
    SHORT,
    RunningProxy,
    expect_end_without_reset,
    nothing_connected,
    run_loop_turns,
    send_ping,
    wait_until,
)

pytestmark = pytest.mark.usefixtures("no_front_notice")


def send_after_proxys_end(
    monkeypatch: pytest.MonkeyPatch, clients: list[RemoteConnection], text: bytes
) -> None:
    """The client's bytes come right after the proxy has ended its side, or closed the connection."""

    def with_crossing(act: Callable[[SocketStream], None]) -> Callable[[SocketStream], None]:
        def act_then_send(self: SocketStream) -> None:
            act(self)
            while clients:
                clients.pop().sock.send(text)

        return act_then_send

    monkeypatch.setattr(SocketStream, "send_eof", with_crossing(SocketStream.send_eof))
    monkeypatch.setattr(SocketStream, "close", with_crossing(SocketStream.close))


def shorten_time_limit(monkeypatch: pytest.MonkeyPatch, cause: str) -> None:
    if cause == "first line":
        monkeypatch.setattr(opening, "FIRST_LINE_TIMEOUT_SECONDS", 0.1)
    if cause == "ping":
        monkeypatch.setattr(opening, "PING_TIMEOUT_SECONDS", 0.1)


@pytest.mark.parametrize("cause", ["drain", "first line", "ping", "shed"])
def test_a_request_that_crosses_the_proxys_end_is_not_forwarded_and_not_reset(
    monkeypatch: pytest.MonkeyPatch, cause: str
) -> None:
    """The proxy ended a connection without a request in the moment in which the client sent one.

    The request was forwarded though its answer could not be sent any more, or was met by a reset, which
    clients count as a failure. It has to be met by an end, and by nothing after it.
    """
    shorten_time_limit(monkeypatch, cause)

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            if cause in ("drain", "ping"):
                await send_ping(client)
            clients = [client]
            send_after_proxys_end(monkeypatch, clients, OPEN.format(900).encode() + b"\r\n")
            if cause == "drain":
                proxy.server.stop_requested.set()
            if cause == "shed":
                client.connection.opening.shed()
            await expect_end_without_reset(client)
            assert not clients and nothing_connected(proxy.backends[0])

    asyncio.run(play())


@pytest.mark.parametrize("cause", ["drain", "first line", "ping"])
def test_a_request_that_came_before_the_proxys_end_is_answered(
    monkeypatch: pytest.MonkeyPatch, cause: str
) -> None:
    """A request had reached the kernel when the time of its connection was up.

    The coroutine that reads had not had its turn, so the request was dropped. Bytes that came before our end
    are read first.
    """
    on_timeout = Opening._on_timeout
    clients: list[RemoteConnection] = []

    def send_then_time_out(self: Opening, *check_unread: bool) -> None:
        while clients:
            clients.pop().sock.send(OPEN.format(900).encode() + b"\r\n")
        on_timeout(self, *check_unread)

    monkeypatch.setattr(Opening, "_on_timeout", send_then_time_out)
    shorten_time_limit(monkeypatch, cause)

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            if cause in ("drain", "ping"):
                await send_ping(client)
            clients.append(client)
            if cause == "drain":
                proxy.server.stop_requested.set()
            backend = await proxy.accept()
            await backend.line()
            await backend.send("UP 1", b"\r\n")
            assert await client.line() == "UP 1"

    asyncio.run(play())


def test_a_request_that_is_read_but_not_yet_parsed_is_answered_though_its_time_is_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time of a connection was up between a read and the turn of the coroutine that waits for it.

    The kernel had nothing unread any more, so the connection was ended and its request dropped.
    """
    read = _HalfCloseIOStream.read_from_fd
    connections: list[ClientConnection] = []

    def read_then_time_out(self: _HalfCloseIOStream, buf: memoryview) -> int | None:
        count = read(self, buf)
        if count and connections and self is connections[0].stream._stream:
            asyncio.get_running_loop().call_soon(connections.pop().opening._on_timeout)
        return count

    monkeypatch.setattr(_HalfCloseIOStream, "read_from_fd", read_then_time_out)

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            await send_ping(client)
            connections.append(client.connection)
            await client.send(OPEN.format(900), b"\r\n")
            backend = await proxy.accept()
            await backend.line()
            await backend.send("UP 1", b"\r\n")
            assert not connections and await client.line() == "UP 1"

    asyncio.run(play())


@pytest.mark.parametrize(
    "sent",
    [
        b"x" * 5000,
        b"OPEN a b c=qu",
        b"OPEN a b\r\n",
        b"\0\xff\r\n",
        b"PING\r\nPING\r\nOPEN",
        b"MOVE\r\n" * 2000,
        OPEN.format(900).encode() + b"\r\n" + OPEN.format(900).encode() + b"\r\n",
    ],
)
@pytest.mark.parametrize("cause", ["ends", "resets", "stays until the proxy exits"])
def test_protocol_errors_end_the_connection_and_leave_nothing_behind(sent: bytes, cause: str) -> None:
    """Nothing raises and nothing is forwarded; the running proxy counts descriptors and tasks."""

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            with suppress(ConnectionError, BlockingIOError):
                client.sock.send(sent)
            if cause == "ends":
                client.sock.shutdown(socket.SHUT_WR)
                await wait_until(lambda: not proxy.server.clients)
            elif cause == "resets":
                client.reset()
                await wait_until(lambda: not proxy.server.clients)
            await run_loop_turns()
            assert nothing_connected(proxy.backends[0])

    asyncio.run(play())
