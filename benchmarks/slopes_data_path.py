"""Cost of connections, lines, set-ups and rejections: the proxy compared with a plain relay (the control).

The proxy, the push servers and the relay run as separate processes on loopback, the clients in this process.
"""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

import click
from slopes_results import Results, Sizes
from toy import Platform, Reader, Writer

ROOT = Path(__file__).resolve().parents[1]
HELPER_PROGRAM = ROOT / "benchmarks" / "slopes.py"  # is run with --role
HOST = "127.0.0.1"
PUSH_SERVERS = 100  # enough that their slots do not limit a burst of set-ups
LINE = b"HEADLINE " + 100 * b"x" + b"\r\n"  # sent by push servers; 111 bytes
DELIVERY_INTERVAL = 0.01  # seconds between lines on one connection, so that each is read separately
ACTIVE_CONNECTIONS = 100  # connections that carry lines at the same time
CONCURRENT_SET_UPS = 16  # clients that connect at the same time
CLIENT_DEADLINE_MS = 2_000  # the balancer keeps a timer per request until then
RETRY_DELAY = 0.05  # seconds until a rejected client retries


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of all threads of a process, user and system time together."""
    threads = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) * 1e-9


def resident_kb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return float(status.split("VmRSS:")[1].split()[0])


@contextmanager
def running(*command: str) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen(
        [sys.executable, *command], cwd=ROOT, text=True, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def read_message(process: subprocess.Popen[str]) -> Any:
    """Return the JSON message that a helper process prints once it listens."""
    assert process.stdout is not None
    return json.loads(process.stdout.readline())


class PushServers(Platform):
    """Push servers that answer ``PUSH n`` with n lines at ``DELIVERY_INTERVAL``."""

    async def _push_server(self, name: str, reader: Reader, writer: Writer) -> None:
        if not (await reader.readline()).startswith(b"OPEN "):
            writer.close()
            return
        writer.write(b"UP 1 from %s\r\n" % name.encode())
        while (line := await reader.readline()).startswith(b"PUSH "):
            for number in range(int(line[5:])):
                if number:
                    await asyncio.sleep(DELIVERY_INTERVAL)
                writer.write(LINE)
        writer.close()


async def serve_push_servers() -> None:
    """Run the push servers; print the ports of discovery and of each push server as JSON once they listen."""
    servers = PushServers({f"toy-{i}": 0 for i in range(PUSH_SERVERS)})
    discovery = await servers.start(0)
    print(json.dumps({"discovery": discovery, "servers": servers.ports}), flush=True)
    await asyncio.Event().wait()


class RelayConnection(asyncio.Protocol):
    """One side of the plain relay, which forwards everything that it receives to the other side."""

    def __init__(self, push_server: int = 0, other: RelayConnection | None = None) -> None:
        self._push_server, self._other = push_server, other
        self._buffered: list[bytes] = []  # received before the other side was connected
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._other is None:
            asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        self._other = RelayConnection(other=self)
        await asyncio.get_running_loop().create_connection(lambda: self._other, HOST, self._push_server)
        for data in self._buffered:
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        if self._other is None or self._other._transport is None:
            self._buffered.append(data)
        else:
            self._other._transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._other is not None and self._other._transport is not None:
            self._other._transport.close()


async def serve_pass_through(push_server: int) -> None:
    """Run the plain relay to one push server; print its port once it listens."""
    server = await asyncio.get_running_loop().create_server(lambda: RelayConnection(push_server), HOST, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


@contextmanager
def saltcourse(discovery: int, servers: dict[str, int]) -> Iterator[tuple[int, int]]:
    """Run the proxy; yield its process id and its port for clients."""
    config = json.loads((ROOT / "example" / "config.json").read_text())
    port = free_port()
    config |= {"listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery}"}
    config["known"] = {
        "version": 1,
        "full": True,
        "servers": [
            {"id": name, "addr": f"{HOST}:{server_port}", "state": "SERVING"}
            for name, server_port in servers.items()
        ],
    }
    config["limits"] = {"memory_mb": 2_048, "sockets": 16_384}
    config["settings"]["classes"][0] |= {"aim": 1.0, "give_up": CLIENT_DEADLINE_MS / 1000}
    config["settings"]["limits"]["connect_timeout"] = 1.0
    # So high that a busy machine does not look like slow push servers.
    config["settings"]["extra"]["message_aim"] = [30.0]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        with running("-m", "saltcourse", "serve", "--config", str(path)) as process:
            yield process.pid, port


@contextmanager
def pass_through(push_server: int) -> Iterator[tuple[int, int]]:
    """Run the plain relay; yield its process id and its port for clients."""
    with running(str(HELPER_PROGRAM), "--role", "pass-through", "--port", str(push_server)) as process:
        yield process.pid, read_message(process)


def free_port() -> int:
    with socket.create_server((HOST, 0)) as probe:
        return int(probe.getsockname()[1])


class Client(asyncio.Protocol):
    """One client connection."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.accepted: asyncio.Future[bool] = loop.create_future()  # whether the first line is UP
        self.was_migrated = False
        self._all_received = loop.create_future()
        self._missing_lines = 0  # lines that were requested and have not been received yet
        self._incomplete_line = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\r\n")
        for line in lines:
            self._receive_line(line)

    def _receive_line(self, line: bytes) -> None:
        if not self.accepted.done():
            self.accepted.set_result(line.startswith(b"UP "))
            return
        self.was_migrated |= line == b"MOVE"
        self._missing_lines -= 1
        if self._missing_lines == 0 and not self.was_migrated:
            self._all_received.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.accepted.done():
            self.accepted.set_result(False)
        if self._missing_lines > 0:
            error = RuntimeError(f"a connection was lost with {self._missing_lines} lines still missing")
            self._all_received.set_exception(error)

    async def push(self, lines: int) -> None:
        """Request ``lines`` lines and wait until all of them have been received."""
        self._missing_lines, self._all_received = lines, asyncio.get_running_loop().create_future()
        self.transport.write(b"PUSH %d\r\n" % lines)
        await self._all_received

    async def push_repeatedly(self, times: int, lines: int = 1) -> None:
        """Call ``push`` ``times`` times, one after another."""
        for _ in range(times):
            await self.push(lines)


class ClientPool:
    """Clients of one proxy in this process.

    ``settle`` is the number of seconds to wait after connections were opened or closed.
    """

    def __init__(self, port: int, settle: float) -> None:
        self.settle = settle
        self.port, self.established = port, list[Client]()
        self.retries = 0  # clients that were rejected or migrated
        self._number = 0

    async def open(self) -> Client:
        """Return an established connection; retry while the client is rejected."""
        while True:
            client = await self._connect()
            client.transport.write(self._first_line())
            if await client.accepted:
                return client
            client.transport.close()
            self.retries += 1
            await asyncio.sleep(RETRY_DELAY)

    def _first_line(self) -> bytes:
        self._number += 1
        return b"OPEN %016x %016x c=live-feed,d=%d\r\n" % (self._number, self._number, CLIENT_DEADLINE_MS)

    async def _connect(self) -> Client:
        loop = asyncio.get_running_loop()
        while True:
            try:
                _, client = await loop.create_connection(Client, HOST, self.port)
                return client
            except ConnectionRefusedError:  # the process does not listen yet
                await asyncio.sleep(RETRY_DELAY)

    async def hold(self, count: int) -> None:
        """Open or close connections until ``count`` are established."""
        while len(self.established) != count:
            while len(self.established) > count:
                self.established.pop().transport.close()
            missing = count - len(self.established)
            await in_parallel(
                [partial(self._add, len(share)) for share in split(missing, CONCURRENT_SET_UPS)]
            )
            await asyncio.sleep(self.settle)
            self._close_migrated()

    def _close_migrated(self) -> None:
        for client in self.established:
            if client.was_migrated:
                client.transport.close()
                self.retries += 1
        self.established = [client for client in self.established if not client.was_migrated]

    async def _add(self, count: int) -> None:
        for _ in range(count):
            self.established.append(await self.open())

    async def open_and_close(self, count: int) -> None:
        await in_parallel(
            [partial(self._open_and_close, len(share)) for share in split(count, CONCURRENT_SET_UPS)]
        )

    async def _open_and_close(self, count: int) -> None:
        for _ in range(count):
            (await self.open()).transport.close()

    async def expect_rejections(self, count: int) -> None:
        await in_parallel(
            [partial(self._expect_rejections, len(share)) for share in split(count, CONCURRENT_SET_UPS)]
        )

    async def _expect_rejections(self, count: int) -> None:
        for _ in range(count):
            client = await self._connect()
            client.transport.write(self._first_line())
            if await client.accepted:
                raise RuntimeError("a client was accepted by a proxy whose endpoint list is empty")
            client.transport.close()

    async def push(self, requests: int, lines: int) -> None:
        """Call ``Client.push`` ``requests`` times on each connection, all connections in parallel."""
        await in_parallel([partial(client.push_repeatedly, requests, lines) for client in self.established])


def split(count: int, parts: int) -> list[range]:
    """Divide ``range(count)`` into at most ``parts`` shares of nearly equal length."""
    return [range(i, count, parts) for i in range(min(count, parts))]


async def in_parallel(functions: list[Callable[[], Any]]) -> None:
    async with asyncio.TaskGroup() as group:
        for function in functions:
            group.create_task(function())


async def cost(pid: int, load: Callable[..., Any], size: float, wait: float = 0.0) -> float:
    """Return the CPU milliseconds of a process during ``load(size)`` and the ``wait`` seconds after it."""
    before = cpu_seconds(pid)
    await load(size)
    await asyncio.sleep(wait)
    return 1e3 * (cpu_seconds(pid) - before)


async def data_path(results: Results, suffix: str, pid: int, port: int, sizes: Sizes) -> int:
    """Measure one proxy or relay process; return the number of client retries.

    ``suffix`` is appended to the names of the slopes; it is empty for the proxy.
    """
    clients = ClientPool(port, sizes.settle)
    timers = sizes.settle if suffix else sizes.timers  # the relay sets no timers
    await clients.hold(10)  # warm-up
    memory, idle = [], []
    for count in sizes.connections:
        await clients.hold(count)
        memory.append(resident_kb(pid))
        if not suffix:
            await asyncio.sleep(timers)
            idle.append(await cost(pid, asyncio.sleep, sizes.idle_seconds) / sizes.idle_seconds)
    results.add(f"connection_memory{suffix}", "kb", "connection", sizes.connections, memory)
    if not suffix:
        results.add("connection_idle", "ms_per_s", "connection", sizes.connections, idle)

    await clients.hold(ACTIVE_CONNECTIONS)
    await asyncio.sleep(timers)
    alone = [await cost(pid, clients.established[0].push_repeatedly, n) for n in sizes.lines_alone]
    results.add(f"line_alone{suffix}", "ms", "trip", sizes.lines_alone, alone)
    trips = [await cost(pid, lambda n: clients.push(n // ACTIVE_CONNECTIONS, 1), n) for n in sizes.lines]
    results.add(f"line_trip{suffix}", "ms", "trip", sizes.lines, trips)
    deliveries = [await cost(pid, lambda n: clients.push(1, n // ACTIVE_CONNECTIONS), n) for n in sizes.lines]
    results.add(f"delivery{suffix}", "ms", "line", sizes.lines, deliveries)
    set_ups = [await cost(pid, clients.open_and_close, n, timers) for n in sizes.set_ups]
    results.add(f"set_up{suffix}", "ms", "set_up", sizes.set_ups, set_ups)
    return clients.retries


async def rejections(results: Results, pid: int, port: int, sizes: Sizes) -> None:
    """Measure a proxy with an empty endpoint list, which answers every client BUSY."""
    clients = ClientPool(port, sizes.settle)
    await clients.expect_rejections(10)
    await asyncio.sleep(sizes.timers)
    costs = [await cost(pid, clients.expect_rejections, n, sizes.timers) for n in sizes.set_ups]
    results.add("refusal", "ms", "refusal", sizes.set_ups, costs)


def measure_data_path(results: Results, sizes: Sizes) -> None:
    with running(str(HELPER_PROGRAM), "--role", "push-servers") as process:
        ports = read_message(process)
        with saltcourse(ports["discovery"], ports["servers"]) as (pid, port):
            retries = asyncio.run(data_path(results, "", pid, port, sizes))
        if retries:
            click.echo(f"{retries} clients were rejected or migrated and retried", err=True)
        with saltcourse(free_port(), {}) as (pid, port):
            asyncio.run(rejections(results, pid, port, sizes))
        with pass_through(ports["servers"]["toy-0"]) as (pid, port):
            asyncio.run(data_path(results, "_control", pid, port, sizes))
