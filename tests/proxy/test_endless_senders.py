"""Remotes that send without end: none may keep the event loop from its other connections and timers.

The lines that are taken from one connection are counted between two runs of the event loop. The senders share
the loop with the proxy, so that a proxy which does not let it run takes all that the kernel holds at once.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from saltcourse.balancing.actions import FetchEndpoints
from saltcourse.codec.http import ResponseParser
from saltcourse.codec.lines import LineBuffer
from saltcourse.proxy.stream import STEPS_PER_TURN
from tests.proxy.exchange_player import RemoteConnection
from tests.proxy.running_proxy import OPEN, SHORT, RemoteClient, RunningProxy, send_ping
from tests.proxy.test_discovery_client import FakeDiscovery

CHUNK_BYTES = 64 * 1024
ENOUGH_LINES = 20_000  # far more than a proxy that lets the event loop run takes in one turn


class TurnCounter:
    """Counts the lines that each connection takes within one run of the event loop."""

    def __init__(self, proxy: RunningProxy, monkeypatch: pytest.MonkeyPatch) -> None:
        self.lines = 0
        self.most_in_a_turn = 0
        self.longest_mailbox = 0
        self._mailbox = proxy.server.dispatcher.mailbox
        self._in_turn: Counter[int] = Counter()  # lines in this turn, by the identity of the buffer
        take_line = LineBuffer.next_line

        def count_and_take(buffer: LineBuffer) -> memoryview | None:
            line = take_line(buffer)
            if line is not None:
                self._in_turn[id(buffer)] += 1
                self.lines += 1
                self.most_in_a_turn = max(self.most_in_a_turn, self._in_turn[id(buffer)])
            return line

        monkeypatch.setattr(LineBuffer, "next_line", count_and_take)

    async def run(self) -> None:
        while True:
            self.longest_mailbox = max(self.longest_mailbox, self._mailbox.qsize())
            self._in_turn.clear()
            await asyncio.sleep(0)

    async def wait_for_lines(self, count: int) -> None:
        async with asyncio.timeout(20.0):
            while self.lines < count:
                await asyncio.sleep(0)

    def check(self) -> None:
        assert self.most_in_a_turn <= STEPS_PER_TURN, "one connection kept the event loop from running"
        assert self.longest_mailbox <= 2 * STEPS_PER_TURN, "the mailbox of the dispatcher has grown"


@asynccontextmanager
async def background(*works: object) -> AsyncIterator[None]:
    """Run coroutines in the background, and cancel them at the end."""
    tasks = [asyncio.ensure_future(work) for work in works]  # type: ignore[call-overload]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def send_without_end(remote: RemoteConnection, line: bytes) -> None:
    chunk = line * (CHUNK_BYTES // len(line))
    with suppress(ConnectionError):
        while True:
            await asyncio.get_running_loop().sock_sendall(remote.sock, chunk)


async def discard_all(remote: RemoteConnection) -> None:
    with suppress(ConnectionError):
        while await asyncio.get_running_loop().sock_recv(remote.sock, CHUNK_BYTES):
            pass


async def establish(proxy: RunningProxy) -> tuple[RemoteClient, RemoteConnection]:
    client = await proxy.client(OPEN.format(9000))
    backend = await proxy.accept()
    await backend.line()
    await backend.send("UP r", b"\r\n")
    assert await client.line() == "UP r"
    return client, backend


def test_an_answer_that_never_ends_times_out_and_stops_nothing_else(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a proxy that one backend hangs with LOAD lines without end before its answer.

    Neither the timeout of the attempt nor any other task ran while bytes were there, and the dispatcher's
    mailbox grew without bound.
    """

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            counter = TurnCounter(proxy, monkeypatch)
            other = await proxy.client()
            client = await proxy.client(OPEN.format(300))
            backend = await proxy.accept()
            async with background(send_without_end(backend, b"LOAD 5000\r\n"), counter.run()):
                await counter.wait_for_lines(STEPS_PER_TURN)
                await send_ping(other)
                assert (await client.line()).split()[0] in ("BUSY", "ERR")
                counter.check()

    asyncio.run(play())


def test_a_backend_that_sends_lines_without_end_stops_nothing_else(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a proxy that answers nobody while a client reads all that its backend sends."""

    async def play() -> None:
        async with RunningProxy() as proxy:
            client, backend = await establish(proxy)
            other = await proxy.client()
            counter = TurnCounter(proxy, monkeypatch)
            async with background(send_without_end(backend, b"x\r\n"), discard_all(client), counter.run()):
                await counter.wait_for_lines(ENOUGH_LINES)
                await send_ping(other)
                counter.check()

    asyncio.run(play())


def test_a_client_that_sends_lines_without_end_stops_nothing_else(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a proxy that answers nobody while it passes on a client's lines."""

    async def play() -> None:
        async with RunningProxy() as proxy:
            client, backend = await establish(proxy)
            other = await proxy.client()
            counter = TurnCounter(proxy, monkeypatch)
            async with background(send_without_end(client, b"x\r\n"), discard_all(backend), counter.run()):
                await counter.wait_for_lines(ENOUGH_LINES)
                await send_ping(other)
                counter.check()

    asyncio.run(play())


def test_a_client_that_sends_pings_without_end_stops_nothing_else(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a proxy that answers one client's PINGs only."""

    async def play() -> None:
        async with RunningProxy() as proxy:
            client, other = await proxy.client(), await proxy.client()
            counter = TurnCounter(proxy, monkeypatch)
            async with background(send_without_end(client, b"PING\r\n"), discard_all(client), counter.run()):
                await counter.wait_for_lines(ENOUGH_LINES)
                await send_ping(other)
                counter.check()

    asyncio.run(play())


def test_the_list_of_an_endless_response_is_read_in_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a discovery service that stops the proxy while it sends a response of many megabytes."""
    parts: Counter[int] = Counter()  # parts of the response, by the run of the event loop
    turn = 0
    feed = ResponseParser.feed

    def count_and_feed(parser: ResponseParser, data: memoryview | bytes) -> None:
        parts[turn] += 1
        feed(parser, data)

    async def count_turns() -> None:
        nonlocal turn
        while True:
            turn += 1
            await asyncio.sleep(0)

    async def play() -> None:
        discovery = FakeDiscovery(5)
        discovery.client.send(FetchEndpoints())
        call, _ = await discovery.call()
        await call.send(r"HTTP/1.1 200 OK\r\n\r\n", b"")
        async with background(send_without_end(call, b" "), count_turns()):
            async with asyncio.timeout(20.0):
                while not discovery.received:  # the response is too long, which is a failure
                    await asyncio.sleep(0)
        await discovery.end()
        assert max(parts.values()) == 1

    monkeypatch.setattr(ResponseParser, "feed", count_and_feed)
    asyncio.run(play())
