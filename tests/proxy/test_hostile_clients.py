"""Hostile clients against a running proxy on loopback.

Clients send lines in pieces split at any byte, send incomplete lines or reset, and hundreds of them stay
silent while descriptors are scarce. Each must be handled as the protocol requires, in bounded time, and
within the descriptor limit.
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

SOCKETS = 96  # the descriptor limit of a small platform
IDLE_CLIENTS = 400  # several times the descriptor limit


async def start_proxy(server: socket.socket) -> tuple[ProxyServer, asyncio.Task[None]]:
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


async def run_hostile_clients() -> None:
    server, _ = push_server()
    proxy, running = await start_proxy(server)
    address = proxy.address()
    line = b"OPEN r%d x c=live-feed,d=1000\r\n"
    # A line split at any byte is served once it is complete.
    for cut in range(1, len(line % 0)):
        assert await open_in_pieces(address, line % cut, cut) == b"UP 1\r\n"
    # A client that stops in the middle of a line is disconnected when the first-line timeout expires.
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"OPEN half")
    began = asyncio.get_running_loop().time()
    assert await asyncio.wait_for(reader.read(), FIRST_LINE_TIMEOUT_SECONDS + 2.0) in (b"", b"ERR\r\n")
    assert asyncio.get_running_loop().time() - began < FIRST_LINE_TIMEOUT_SECONDS + 1.0
    writer.close()
    # Many times more clients than the descriptor limit allows send nothing or an incomplete line.
    idle_clients = [socket.create_connection(address) for _ in range(IDLE_CLIENTS)]
    for sock in idle_clients[::2]:
        with contextlib.suppress(OSError):  # the proxy may have shed this client already
            sock.send(b"OPEN cro")
    await asyncio.sleep(0.3)
    assert SocketStream.open_count <= SOCKETS  # the proxy stays within its descriptor limit
    # In the meantime a client with a request is served, also after others have reset their connections.
    assert await open_in_pieces(address, b"OPEN late x c=live-feed,d=1000\r\n", 5) == b"UP 1\r\n"
    for number in range(20):  # clients that reset before any answer
        _, resetting = await asyncio.open_connection(*address)
        resetting.write(b"OPEN w%d x c=live-feed,d=1000\r\n" % number)
        resetting.transport.abort()
    assert await open_in_pieces(address, b"OPEN after x c=live-feed,d=1000\r\n", 7) == b"UP 1\r\n"
    for sock in idle_clients:
        sock.close()
    proxy.stop_requested.set()
    await asyncio.wait_for(running, 5.0)
    assert proxy.phase is Phase.STOPPED
    server.close()


def test_hostile_clients_are_handled_within_the_time_and_descriptor_limits() -> None:
    asyncio.run(run_hostile_clients())
