"""The admin address, called by a real HTTP client on loopback beside a running proxy."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest

from saltcourse.admin.requests import MAX_REQUEST_BYTES, Command, RequestReader
from saltcourse.admin.responses import Response, encode_response
from saltcourse.config import read_config
from saltcourse.proxy.server import Phase, ProxyServer

EXAMPLE = Path(__file__).parents[2] / "example" / "config.json"


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


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


@pytest.mark.parametrize(
    ("data", "asked"),
    [
        (b"GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n", Command.READY),
        (b"GET /_vars?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", Command.VARS),
        (b"PUT /_lameduck/on HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", Command.LAMEDUCK_ON),
        (b"PUT /_lameduck/off HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nno", Command.LAMEDUCK_OFF),
        (b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        (b"POST /_ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /_lameduck/on HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"BLAH\r\n\r\n", 400),
        (b"GET /_ready HTTP/1.1\r\nHost: a\r\nX: " + b"y" * MAX_REQUEST_BYTES + b"\r\n\r\n", 400),
        (
            b"PUT /_lameduck/on HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n"
            + b"z" * MAX_REQUEST_BYTES,
            400,
        ),
    ],
)
def test_each_call_is_read_whole_and_every_wrong_one_gets_its_status(
    data: bytes, asked: Command | int
) -> None:
    reader, got = RequestReader(), None
    for at in range(len(data)):  # cut at every byte: nothing is decided before the call is whole
        got = reader.feed(data[at : at + 1])
        if got is not None:
            break
    if isinstance(asked, Command):
        assert got is asked and at == len(data) - 1
    else:
        assert isinstance(got, Response) and got.status == asked


def test_a_call_cut_short_is_malformed_and_an_answer_closes() -> None:
    reader = RequestReader()
    assert reader.feed(b"GET /_ready HT") is None
    cut = reader.feed(b"")
    assert isinstance(cut, Response) and cut.status == 400
    head = encode_response(Response(405, b"", b"GET")).lower()
    assert head.startswith(b"http/1.1 405 ") and b"connection: close" in head and b"allow: get" in head


async def call(address: tuple[str, int], method: str, path: str) -> tuple[int, bytes, float]:
    loop = asyncio.get_running_loop()
    began = loop.time()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n".encode())
    answer = await reader.read()  # until the proxy closes: one call a connection
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body, loop.time() - began


async def ping(address: tuple[str, int]) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"PING\r\n")
    try:
        return await asyncio.wait_for(reader.readline(), 1.0)
    finally:
        writer.close()


async def beside_a_proxy(**changes: Any) -> None:
    proxy = ProxyServer(read_config(values(**changes), {}))
    running = asyncio.get_running_loop().create_task(proxy.run())
    while proxy.phase is not Phase.SERVING:
        await asyncio.sleep(0.01)
    assert proxy.admin is not None
    admin, clients = proxy.admin.bound_address(), proxy.address()
    # Callers that hold connections without a whole call must not delay the others.
    slow = [socket.create_connection(admin) for _ in range(40)]
    for each in slow:
        each.sendall(b"GET /_rea")
    status, body, took = await call(admin, "GET", "/_ready")
    assert (status, body) == (200, b"yes\n") and took < 1.0
    status, body, _ = await call(admin, "GET", "/_vars")
    assert {b"svc.targets:2|g", b"svc.targets_disabled:1|g"} <= set(body.split())  # one of them drains
    assert await ping(clients) == b"PONG\r\n"
    assert (await call(admin, "PUT", "/_lameduck/on"))[0] == 200
    assert await ping(clients) != b"PONG\r\n"
    assert (await call(admin, "GET", "/_ready"))[0] == 503
    assert (await call(admin, "PUT", "/_lameduck/off"))[0] == 200
    assert await ping(clients) == b"PONG\r\n"
    assert (await call(admin, "GET", "/_ready"))[0] == 200
    for each in slow:
        each.close()
    proxy.leave.set()
    await asyncio.wait_for(running, 5.0)
    assert proxy.phase is Phase.STOPPED
    with pytest.raises(ConnectionRefusedError):  # the admin address ends with the program
        await call(admin, "GET", "/_ready")


def test_the_admin_address_answers_beside_slow_callers_and_empties_the_proxy() -> None:
    asyncio.run(beside_a_proxy())
