"""Hostile clients of a running proxy on loopback.

Lines cut at any byte, silent clients by the hundred with few descriptors, half-written lines, and clients
that reset. Each ends as the protocol says, in bounded time, and the descriptors suffice.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

from saltcourse.config import read_config
from saltcourse.proxy.opening import FIRST_LINE_TIMEOUT_SECONDS
from saltcourse.proxy.server import Phase, ProxyServer
from saltcourse.proxy.stream import SocketStream
from tests.admin.test_server import values
from tests.proxy.test_process_replacement import push_server

SOCKETS = 96  # a small platform's descriptors, and the crowd several times as many
CROWD = 400


async def proxy_beside(server: socket.socket) -> tuple[ProxyServer, asyncio.Task[None]]:
    config: dict[str, Any] = values(
        known={
            "version": 1,
            "full": True,
            "servers": [{"id": "s1", "state": "SERVING", "addr": f"127.0.0.1:{server.getsockname()[1]}"}],
        }
    )
    config["limits"]["sockets"] = SOCKETS
    proxy = ProxyServer(read_config(config, {}))
    running = asyncio.get_running_loop().create_task(proxy.run())
    while proxy.phase is not Phase.SERVING:
        await asyncio.sleep(0.01)
    return proxy, running


async def open_in_pieces(address: tuple[str, int], line: bytes, cut: int) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    try:
        for piece in (line[:cut], line[cut:]):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        return await asyncio.wait_for(reader.readline(), 2.0)
    finally:
        writer.close()


async def meet_hostile_clients() -> None:
    server, _ = push_server()
    proxy, running = await proxy_beside(server)
    address = proxy.address()
    line = b"OPEN r%d x c=live-feed,d=1000\r\n"
    # Cut at every byte: each is a whole line once its last byte is there, and served.
    for cut in range(1, len(line % 0)):
        assert await open_in_pieces(address, line % cut, cut) == b"UP 1\r\n"
    # Half a line, then silence: the proxy ends it by itself, within the time for a first line.
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"OPEN half")
    began = asyncio.get_running_loop().time()
    assert await asyncio.wait_for(reader.read(), FIRST_LINE_TIMEOUT_SECONDS + 2.0) in (b"", b"ERR\r\n")
    assert asyncio.get_running_loop().time() - began < FIRST_LINE_TIMEOUT_SECONDS + 1.0
    writer.close()
    # A crowd that says nothing or half a line, many times what the proxy may hold.
    crowd = [socket.create_connection(address) for _ in range(CROWD)]
    for sock in crowd[::2]:
        with contextlib.suppress(OSError):  # shed already: that is what the crowd may get
            sock.send(b"OPEN cro")
    await asyncio.sleep(0.3)
    assert SocketStream.open_count <= SOCKETS  # what the proxy holds stays within its descriptors
    # Beside the crowd, a client that speaks is served; one that resets costs nothing.
    assert await open_in_pieces(address, b"OPEN late x c=live-feed,d=1000\r\n", 5) == b"UP 1\r\n"
    for number in range(20):  # gone, with a reset, before any answer
        _, leaver = await asyncio.open_connection(*address)
        leaver.write(b"OPEN w%d x c=live-feed,d=1000\r\n" % number)
        leaver.transport.abort()
    assert await open_in_pieces(address, b"OPEN after x c=live-feed,d=1000\r\n", 7) == b"UP 1\r\n"
    for sock in crowd:
        sock.close()
    proxy.stop_requested.set()
    await asyncio.wait_for(running, 5.0)
    assert proxy.phase is Phase.STOPPED
    server.close()


def test_hostile_clients_are_ended_as_the_protocol_says_within_bounds() -> None:
    asyncio.run(meet_hostile_clients())
