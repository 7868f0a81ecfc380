"""What a connection, a line, a set-up and a refusal cost: the real program beside a bare pass-through.

Proxy, push servers and control are processes of their own on loopback; the clients are in this one.
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
ROLES = ROOT / "benchmarks" / "slopes.py"  # run with --role
HOST = "127.0.0.1"
PUSH_SERVERS = 100  # so many that a burst of set-ups finds room
LINE = b"HEADLINE " + 100 * b"x" + b"\r\n"  # what a push server sends; 111 bytes
DELIVERY_GAP = 0.01  # s between a push server's lines on one connection: none is read together with the next
ACTIVE = 100  # connections that lines pass on at the same time
SETTING_UP = 16  # clients that connect at the same time
CLIENT_DEADLINE_MS = 2_000  # the module keeps a timer for each request until then
RETRY_DELAY = 0.05  # s until a client that was not served comes again


def cpu_seconds(pid: int) -> float:
    """Time that the process's threads have run, in user and in system mode."""
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
    """What one of our own roles prints once it listens."""
    assert process.stdout is not None
    return json.loads(process.stdout.readline())


class PushServers(Platform):
    """Push servers that answer ``PUSH n`` with n lines, one after another."""

    async def _push_server(self, name: str, reader: Reader, writer: Writer) -> None:
        if not (await reader.readline()).startswith(b"OPEN "):
            writer.close()
            return
        writer.write(b"UP 1 from %s\r\n" % name.encode())
        while (line := await reader.readline()).startswith(b"PUSH "):
            for number in range(int(line[5:])):
                if number:
                    await asyncio.sleep(DELIVERY_GAP)
                writer.write(LINE)
        writer.close()


async def serve_push_servers() -> None:
    """Prints the ports as JSON once they listen: discovery's, and each push server's by name."""
    servers = PushServers({f"toy-{i}": 0 for i in range(PUSH_SERVERS)})
    discovery = await servers.start(0)
    print(json.dumps({"discovery": discovery, "servers": servers.ports}), flush=True)
    await asyncio.Event().wait()


class Leg(asyncio.Protocol):
    """One side of a bare pass-through: what comes goes to the other side."""

    def __init__(self, push_server: int = 0, other: Leg | None = None) -> None:
        self._push_server, self._other = push_server, other
        self._waiting: list[bytes] = []
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._other is None:
            asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        self._other = Leg(other=self)
        await asyncio.get_running_loop().create_connection(lambda: self._other, HOST, self._push_server)
        for data in self._waiting:
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        if self._other is None or self._other._transport is None:
            self._waiting.append(data)
        else:
            self._other._transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._other is not None and self._other._transport is not None:
            self._other._transport.close()


async def serve_pass_through(push_server: int) -> None:
    server = await asyncio.get_running_loop().create_server(lambda: Leg(push_server), HOST, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


@contextmanager
def saltcourse(discovery: int, servers: dict[str, int]) -> Iterator[tuple[int, int]]:
    """The program itself: its process id and the port for clients."""
    config = json.loads((ROOT / "example" / "config.json").read_text())
    port = free_port()
    config |= {"listen": f"{HOST}:{port}", "discovery": f"{HOST}:{discovery}"}
    config["known"] = {
        "version": 1,
        "full": True,
        "servers": [{"id": name, "addr": f"{HOST}:{at}", "state": "SERVING"} for name, at in servers.items()],
    }
    config["limits"] = {"memory_mb": 2_048, "sockets": 16_384}
    config["settings"]["classes"][0] |= {"aim": 1.0, "give_up": CLIENT_DEADLINE_MS / 1000}
    config["settings"]["limits"]["connect_timeout"] = 1.0
    config["settings"]["extra"]["message_aim"] = [30.0]  # a busy machine must not look like slow push servers
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        with running("-m", "saltcourse", "serve", "--config", str(path)) as process:
            yield process.pid, port


@contextmanager
def pass_through(push_server: int) -> Iterator[tuple[int, int]]:
    with running(str(ROLES), "--role", "pass-through", "--port", str(push_server)) as process:
        yield process.pid, read_message(process)


def free_port() -> int:
    with socket.create_server((HOST, 0)) as probe:
        return int(probe.getsockname()[1])


class Client(asyncio.Protocol):
    """One client connection."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.up: asyncio.Future[bool] = loop.create_future()
        self.moved = False  # was asked to reconnect elsewhere
        self._served = loop.create_future()
        self._owed = 0  # lines that are still to come
        self._rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\r\n")
        for line in lines:
            self._take(line)

    def _take(self, line: bytes) -> None:
        if not self.up.done():
            self.up.set_result(line.startswith(b"UP "))
            return
        self.moved |= line == b"MOVE"
        self._owed -= 1
        if self._owed == 0 and not self.moved:
            self._served.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.up.done():
            self.up.set_result(False)
        if self._owed > 0:
            self._served.set_exception(RuntimeError("a connection was lost while lines were to come"))

    async def push(self, lines: int) -> None:
        """Send a line and wait for so many."""
        self._owed, self._served = lines, asyncio.get_running_loop().create_future()
        self.transport.write(b"PUSH %d\r\n" % lines)
        await self._served

    async def push_again(self, times: int, lines: int = 1) -> None:
        """So many lines there, one after another, and for each so many back."""
        for _ in range(times):
            await self.push(lines)


class Crowd:
    """Clients of one proxy, in this process."""

    def __init__(self, port: int, settle: float) -> None:
        self.settle = settle
        self.port, self.established = port, list[Client]()
        self.retries = 0  # clients that were rejected or migrated
        self._number = 0

    async def open(self) -> Client:
        """An established connection; a rejected client retries."""
        while True:
            client = await self._connect()
            client.transport.write(self._first_line())
            if await client.up:
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
            except ConnectionRefusedError:  # the process has just been started
                await asyncio.sleep(RETRY_DELAY)

    async def hold(self, count: int) -> None:
        """Connect or disconnect until ``count`` are established."""
        while len(self.established) != count:
            while len(self.established) > count:
                self.established.pop().transport.close()
            missing = count - len(self.established)
            await in_parallel([partial(self._add, len(part)) for part in split(missing, SETTING_UP)])
            await asyncio.sleep(self.settle)
            self._drop_moved()

    def _drop_moved(self) -> None:
        for client in self.established:
            if client.moved:
                client.transport.close()
                self.retries += 1
        self.established = [client for client in self.established if not client.moved]

    async def _add(self, count: int) -> None:
        for _ in range(count):
            self.established.append(await self.open())

    async def come_and_go(self, count: int) -> None:
        await in_parallel([partial(self._pass, len(part)) for part in split(count, SETTING_UP)])

    async def _pass(self, count: int) -> None:
        for _ in range(count):
            (await self.open()).transport.close()

    async def be_refused(self, count: int) -> None:
        await in_parallel([partial(self._be_refused, len(part)) for part in split(count, SETTING_UP)])

    async def _be_refused(self, count: int) -> None:
        for _ in range(count):
            client = await self._connect()
            client.transport.write(self._first_line())
            if await client.up:
                raise RuntimeError("a client was served where no push server is listed")
            client.transport.close()

    async def push(self, requests: int, lines: int) -> None:
        """On all connections at once."""
        await in_parallel([partial(client.push_again, requests, lines) for client in self.established])


def split(count: int, parts: int) -> list[range]:
    return [range(i, count, parts) for i in range(min(count, parts))]


async def in_parallel(works: list[Callable[[], Any]]) -> None:
    async with asyncio.TaskGroup() as group:
        for work in works:
            group.create_task(work())


async def cost(pid: int, work: Callable[..., Any], size: float, wait: float = 0.0) -> float:
    """CPU in ms that the process spends on the work, and on what it leaves to do within ``wait`` s after."""
    before = cpu_seconds(pid)
    await work(size)
    await asyncio.sleep(wait)
    return 1e3 * (cpu_seconds(pid) - before)


async def data_path(results: Results, suffix: str, pid: int, port: int, sizes: Sizes) -> int:
    """Everything that one proxy process is put through; returns how many clients came again."""
    crowd = Crowd(port, sizes.settle)
    timers = sizes.settle if suffix else sizes.timers  # the control has none
    await crowd.hold(10)  # warm
    memory, idle = [], []
    for count in sizes.connections:
        await crowd.hold(count)
        memory.append(resident_kb(pid))
        if not suffix:
            await asyncio.sleep(timers)
            idle.append(await cost(pid, asyncio.sleep, sizes.idle_seconds) / sizes.idle_seconds)
    results.add(f"connection_memory{suffix}", "kb", "connection", sizes.connections, memory)
    if not suffix:
        results.add("connection_idle", "ms_per_s", "connection", sizes.connections, idle)

    await crowd.hold(ACTIVE)
    await asyncio.sleep(timers)
    alone = [await cost(pid, crowd.established[0].push_again, n) for n in sizes.lines_alone]
    results.add(f"line_alone{suffix}", "ms", "trip", sizes.lines_alone, alone)
    trips = [await cost(pid, lambda n: crowd.push(n // ACTIVE, 1), n) for n in sizes.lines]
    results.add(f"line_trip{suffix}", "ms", "trip", sizes.lines, trips)
    deliveries = [await cost(pid, lambda n: crowd.push(1, n // ACTIVE), n) for n in sizes.lines]
    results.add(f"delivery{suffix}", "ms", "line", sizes.lines, deliveries)
    set_ups = [await cost(pid, crowd.come_and_go, n, timers) for n in sizes.set_ups]
    results.add(f"set_up{suffix}", "ms", "set_up", sizes.set_ups, set_ups)
    return crowd.retries


async def refusals(results: Results, pid: int, port: int, sizes: Sizes) -> None:
    """A proxy that knows no push server answers every client BUSY."""
    crowd = Crowd(port, sizes.settle)
    await crowd.be_refused(10)
    await asyncio.sleep(sizes.timers)
    found = [await cost(pid, crowd.be_refused, n, sizes.timers) for n in sizes.set_ups]
    results.add("refusal", "ms", "refusal", sizes.set_ups, found)


def measure_data_path(results: Results, sizes: Sizes) -> None:
    with running(str(ROLES), "--role", "push-servers") as process:
        ports = read_message(process)
        with saltcourse(ports["discovery"], ports["servers"]) as (pid, port):
            retries = asyncio.run(data_path(results, "", pid, port, sizes))
        if retries:
            click.echo(f"{retries} clients were refused or moved and came again", err=True)
        with saltcourse(free_port(), {}) as (pid, port):
            asyncio.run(refusals(results, pid, port, sizes))
        with pass_through(ports["servers"]["toy-0"]) as (pid, port):
            asyncio.run(data_path(results, "_control", pid, port, sizes))
