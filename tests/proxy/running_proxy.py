"""Runs a complete proxy, without its command line, in the test process; the test plays clients and backends.

Tests control the order of two events with an ``asyncio.Event`` as a gate instead of sleeping. After the proxy
has exited, open descriptors and tasks are counted to detect leaks.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
import time
from collections.abc import Callable
from types import TracebackType
from typing import Any

import pytest
from structlog.testing import capture_logs

from saltcourse.balancing.settings import DiscoveryMode, RequestClass
from saltcourse.codec.endpoint_list import read_endpoint_update
from saltcourse.config import Config, Limits
from saltcourse.proxy.client_connection import ClientConnection
from saltcourse.proxy.server import Phase, ProxyServer
from saltcourse.proxy.stream import _HalfCloseIOStream
from tests.balancing.balancer_host import QUICK, settings
from tests.proxy.exchange_player import RemoteConnection, listen

LOOP_ITERATIONS = 60  # more than any chain of messages needs without I/O
TEST_MEMORY_MB = 4096  # the proxy shares the process with the test, whose size counts as the proxy's own
OPEN = "OPEN a b c=quick,d={}"
SHORT = RequestClass("quick", latency_objective=0.1, deadline=0.3, message_latency_objective=0.06)


async def run_loop_iterations(count: int = LOOP_ITERATIONS) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def wait_until(condition: Callable[[], Any], seconds: float = 10.0) -> None:
    """Wait until ``condition`` is true; fail after a timeout that is far longer than any expected wait."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.002)


def nothing_connected(listener: socket.socket) -> bool:
    try:
        listener.accept()[0].close()
    except BlockingIOError:
        return True
    return False


def has_left(connection: ClientConnection) -> bool:
    """Return whether the client's FIN or reset has reached the kernel, without the proxy's own methods."""
    sock = connection.stream._socket()
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)  # type: ignore[arg-type]
    return bool(poll.poll(0))


class RemoteClient(RemoteConnection):
    """The client's end of a connection; ``connection`` is the proxy's end."""

    def __init__(self, sock: socket.socket, connection: ClientConnection) -> None:
        super().__init__(sock)
        self.connection = connection


class RunningProxy:
    def __init__(
        self,
        backends: int = 1,
        request_class: RequestClass = QUICK,
        sockets: int = 512,
        polled: bool = False,
        **changes: Any,
    ) -> None:
        self.open_files = len(os.listdir("/proc/self/fd"))
        self.backends = [listen() for _ in range(backends)]
        self.discovery = listen()
        entries = [self.entry(i) for i in range(backends)]
        known = read_endpoint_update({"version": 1, "full": True, "servers": entries})
        used_settings = settings(
            **{
                "classes": (request_class,),
                "connect_timeout": 2.0,
                "max_attempts": 3,
                "max_retry_after": 0.0,
                "discovery_mode": DiscoveryMode.POLLED if polled else DiscoveryMode.PUSHED,
            }
            | changes
        )
        self.server = ProxyServer(
            Config(
                "test",
                ("127.0.0.1", 0),
                self.discovery.getsockname(),
                7,
                Limits(1.0, TEST_MEMORY_MB, sockets),
                known,
                used_settings,
                True,
            )
        )
        self.remotes: list[RemoteConnection] = []
        self.logs: Any = None

    def entry(self, number: int, state: str = "SERVING") -> dict[str, Any]:
        port = self.backends[number].getsockname()[1]
        return {"id": f"s{number}", "addr": f"127.0.0.1:{port}", "zone": "z0", "cell": number, "state": state}

    async def __aenter__(self) -> RunningProxy:
        self._capture = capture_logs()
        self.logs = self._capture.__enter__()
        self.tasks = len(asyncio.all_tasks())
        self.running = asyncio.create_task(self.server.run())
        await wait_until(lambda: self.server.phase is Phase.SERVING)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for remote in self.remotes:
            remote.sock.close()
        self.server.stop_requested.set()
        await self.running
        discovery = self.server.discovery
        for task in {self.server.dispatcher.task, discovery.task, *discovery._calls}:
            if task is not None:  # these tasks run until the process exits
                task.cancel()
        for listener in (self.discovery, *self.backends):
            listener.close()
        await run_loop_iterations()
        self._capture.__exit__(kind, error, trace)
        if kind is None:
            assert not [e for e in self.logs if e["event"] == "task failed"], "an actor has failed"
            assert not self.server.clients
            assert len(asyncio.all_tasks()) == self.tasks, "a task has leaked"
            assert len(os.listdir("/proc/self/fd")) <= self.open_files, "a descriptor has leaked"

    async def client(self, text: str = "") -> RemoteClient:
        """Connect a new client, which sends ``text`` as its first line if it is not empty."""
        known = set(self.server.clients)
        sock = socket.create_connection(self.server.address())
        await wait_until(lambda: self.server.clients - known)
        client = RemoteClient(sock, next(iter(self.server.clients - known)))
        self.remotes.append(client)
        if text:
            await client.send(text, b"\r\n")
        return client

    async def accept(self, backend: int = 0) -> RemoteConnection:
        """Accept the next connection at the backend with this number."""
        async with asyncio.timeout(10.0):
            sock, _ = await asyncio.get_running_loop().sock_accept(self.backends[backend])
        self.remotes.append(RemoteConnection(sock))
        return self.remotes[-1]

    async def accept_any(self) -> tuple[int, RemoteConnection]:
        """Accept the next connection at any backend; return the backend's number and the connection."""
        connections: list[tuple[int, socket.socket]] = []

        def accepted() -> bool:
            for number, listener in enumerate(self.backends):
                try:
                    connections.append((number, listener.accept()[0]))
                    return True
                except BlockingIOError:
                    continue
            return False

        await wait_until(accepted)
        number, sock = connections[0]
        self.remotes.append(RemoteConnection(sock))
        return number, self.remotes[-1]


def record_then(messages: list[Any], send: Callable[[Any], None]) -> Callable[[Any], None]:
    """Return a function that appends each message to ``messages`` and then sends it."""

    def record_and_send(message: Any) -> None:
        messages.append(message)
        send(message)

    return record_and_send


def record_dispatcher_messages(proxy: RunningProxy) -> list[Any]:
    """Record the messages that client connections send to the dispatcher, which still receives them."""
    messages: list[Any] = []
    proxy.server.context.send_to_dispatcher = record_then(messages, proxy.server.dispatcher.send)
    return messages


def write_open_line_in_parts(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    """Make the first OPEN line be written in two parts.

    The event loop is blocked for ``seconds`` between them, so that the attempt times out in the same loop
    iteration in which the kernel accepts the second part.
    """
    write, calls = _HalfCloseIOStream.write_to_fd, []

    def in_parts(self: _HalfCloseIOStream, data: memoryview) -> int:
        if bytes(data[:4]) != b"OPEN" and not calls or len(calls) > 1:
            return write(self, data)
        calls.append(self)
        if len(calls) == 1:
            return write(self, data[:10])
        time.sleep(seconds)
        return 0

    monkeypatch.setattr(_HalfCloseIOStream, "write_to_fd", in_parts)


async def expect_end_without_reset(client: RemoteClient) -> None:
    """Expect a FIN, close the client's side, and check that neither data nor a reset follows."""
    await client.sees("end")
    client.sock.shutdown(socket.SHUT_WR)
    await wait_until(lambda: client.connection.stream.closed)
    await run_loop_iterations()
    assert client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0, "a reset followed the FIN"
    assert not client.received, f"unexpected data before the FIN: {client.received!r}"


async def send_ping(client: RemoteConnection) -> None:
    await client.send("PING", b"\r\n")
    assert await client.line() == "PONG"
