"""The opening of a client connection: its timeouts, and requests that arrive while the proxy closes it."""

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
    run_loop_iterations,
    send_ping,
    wait_until,
)

pytestmark = pytest.mark.usefixtures("no_front_notice")


def send_after_proxys_end(
    monkeypatch: pytest.MonkeyPatch, clients: list[RemoteConnection], text: bytes
) -> None:
    """Make ``clients`` send ``text`` right after the proxy has half-closed or closed a connection."""

    def then_send(close: Callable[[SocketStream], None]) -> Callable[[SocketStream], None]:
        def close_then_send(self: SocketStream) -> None:
            close(self)
            while clients:
                clients.pop().sock.send(text)

        return close_then_send

    monkeypatch.setattr(SocketStream, "send_eof", then_send(SocketStream.send_eof))
    monkeypatch.setattr(SocketStream, "close", then_send(SocketStream.close))


def shorten_time_limit(monkeypatch: pytest.MonkeyPatch, cause: str) -> None:
    if cause == "first line":
        monkeypatch.setattr(opening, "FIRST_LINE_TIMEOUT_SECONDS", 0.1)
    if cause == "ping":
        monkeypatch.setattr(opening, "PING_TIMEOUT_SECONDS", 0.1)


@pytest.mark.parametrize("cause", ["drain", "first line", "ping", "shed"])
def test_a_request_that_arrives_after_the_half_close_is_neither_forwarded_nor_reset(
    monkeypatch: pytest.MonkeyPatch, cause: str
) -> None:
    """Guards against requests that are lost or reset while the proxy closes an idle connection.

    The client sent its request at the moment of the half-close. The request was forwarded although its answer
    could no longer be sent, or got a reset, which clients count as a failure. It has to get a FIN and nothing
    else.
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
def test_a_request_that_arrives_before_the_half_close_is_answered(
    monkeypatch: pytest.MonkeyPatch, cause: str
) -> None:
    """Guards against dropping a request that has reached the kernel when the timeout expires.

    The reading coroutine had not run since, so the request was dropped. Bytes that arrive before the
    half-close have to be read first.
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


def test_a_request_that_is_read_but_not_yet_parsed_when_the_timeout_expires_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against dropping a request when the timeout expires before the reading coroutine resumes.

    The read is done at that moment and the kernel has no unread bytes, so the connection was closed.
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
def test_protocol_errors_close_the_connection_and_leak_nothing(sent: bytes, cause: str) -> None:
    """Nothing raises and nothing is forwarded; ``RunningProxy`` checks for leaked descriptors and tasks."""

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
            await run_loop_iterations()
            assert nothing_connected(proxy.backends[0])

    asyncio.run(play())
