"""The admin server of a running proxy, called over loopback."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest

from saltcourse.config import read_config
from saltcourse.proxy.server import Phase, ProxyServer
from tests.free_ports import free_port

EXAMPLE = Path(__file__).parents[2] / "example" / "config.json"


def values(**changes: Any) -> dict[str, Any]:
    config: dict[str, Any] = json.loads(EXAMPLE.read_text())
    config.update(
        listen=f"127.0.0.1:{free_port()}",
        discovery="127.0.0.1:9",
        admin=f"127.0.0.1:{free_port()}",
        known={
            "version": 1,
            "full": True,
            "servers": [
                {"id": "s1", "state": "SERVING", "addr": "127.0.0.1:9"},
                {"id": "s2", "state": "DRAINING", "addr": "127.0.0.1:9"},
            ],
        },
    )
    return config | changes


async def call(address: tuple[str, int], method: str, path: str) -> tuple[int, bytes, float]:
    loop = asyncio.get_running_loop()
    started = loop.time()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n".encode())
    response = await reader.read()  # until the proxy closes: one request per connection
    writer.close()
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split()[1]), body, loop.time() - started


async def ping(address: tuple[str, int]) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"PING\r\n")
    try:
        return await asyncio.wait_for(reader.readline(), 1.0)
    finally:
        writer.close()


async def call_with_slow_connections_open(**changes: Any) -> None:
    proxy = ProxyServer(read_config(values(**changes), {}))
    running = asyncio.get_running_loop().create_task(proxy.run())
    while proxy.phase is not Phase.SERVING:
        await asyncio.sleep(0.01)
    assert proxy.admin is not None
    admin, clients = proxy.admin.bound_address(), proxy.address()
    # Connections without a complete request must not delay other callers.
    slow_connections = [socket.create_connection(admin) for _ in range(40)]
    for connection in slow_connections:
        connection.sendall(b"GET /_rea")
    status, body, elapsed = await call(admin, "GET", "/_ready")
    assert (status, body) == (200, b"yes\n") and elapsed < 1.0
    status, body, _ = await call(admin, "GET", "/_vars")
    assert {b"svc.targets:2|g", b"svc.targets_disabled:1|g"} <= set(body.split())  # s2 is draining
    assert await ping(clients) == b"PONG\r\n"
    assert (await call(admin, "PUT", "/_lameduck/on"))[0] == 200
    assert await ping(clients) != b"PONG\r\n"
    assert (await call(admin, "GET", "/_ready"))[0] == 503
    assert (await call(admin, "PUT", "/_lameduck/off"))[0] == 200
    assert await ping(clients) == b"PONG\r\n"
    assert (await call(admin, "GET", "/_ready"))[0] == 200
    for connection in slow_connections:
        connection.close()
    proxy.stop_requested.set()
    await asyncio.wait_for(running, 5.0)
    assert proxy.phase is Phase.STOPPED
    with pytest.raises(ConnectionRefusedError):  # the admin server stops with the program
        await call(admin, "GET", "/_ready")


def test_the_admin_server_responds_within_a_second_despite_slow_callers() -> None:
    """Forty callers send half a request and wait, which exceeds the limit of admin connections.

    Operators must still get responses within a second, drain the proxy and return it to service.
    """
    asyncio.run(call_with_slow_connections_open())
