"""Socket streams: the three ways in which a connection ends, and the bytes that the kernel accepted."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from saltcourse.proxy.errors import ConnectionLostError
from saltcourse.proxy.stream import SocketStream
from tests.proxy.exchange_player import RemoteConnection
from tests.proxy.running_proxy import wait_until

Scenario = Callable[[SocketStream, RemoteConnection], Awaitable[None]]


def play(scenario: Scenario) -> None:
    async def run() -> None:
        open_before = SocketStream.open_count
        listener = socket.create_server(("127.0.0.1", 0))
        remote = RemoteConnection(socket.create_connection(listener.getsockname()))
        accepted, _ = listener.accept()
        stream = SocketStream(accepted)
        try:
            assert SocketStream.open_count == open_before + 1
            await scenario(stream, remote)
        finally:
            stream.close()
            stream.close()  # a second close must not change the count
            remote.sock.close()
            listener.close()
        assert SocketStream.open_count == open_before

    asyncio.run(run())


def test_our_side_can_still_write_after_the_remotes_fin() -> None:
    async def scenario(stream: SocketStream, remote: RemoteConnection) -> None:
        await remote.send("half a li", b"")
        remote.sock.shutdown(socket.SHUT_WR)
        assert await stream.next_line() is None
        assert bytes(stream.buffer.take_remaining()) == b"half a li" and stream.has_ended()
        await stream.write(b"still here\r\n")
        assert await remote.line() == "still here"
        assert stream.bytes_sent == len(b"still here\r\n")
        stream.send_eof()
        await remote.sees("end")

    play(scenario)


def test_a_reset_raises_connection_lost_error() -> None:
    async def scenario(stream: SocketStream, remote: RemoteConnection) -> None:
        remote.reset()
        with pytest.raises(ConnectionLostError):
            await stream.next_line()
        assert stream.has_ended()

    play(scenario)


def test_abort_resets_the_connection() -> None:
    async def scenario(stream: SocketStream, remote: RemoteConnection) -> None:
        stream.abort()
        await remote.sees("reset")
        with pytest.raises(ConnectionLostError):
            await stream.write(b"too late\r\n")

    play(scenario)


def test_has_ended_sees_an_end_behind_unread_bytes() -> None:
    async def scenario(stream: SocketStream, remote: RemoteConnection) -> None:
        assert not stream.has_unread() and not stream.has_ended()
        await remote.send("one line", b"\r\n")
        remote.sock.close()
        await wait_until(stream.has_ended)
        assert stream.has_unread()
        line = await stream.next_line()
        assert line is not None and bytes(line) == b"one line\r\n"

    play(scenario)
