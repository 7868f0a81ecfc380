"""What today's program costs, as slopes: ``python benchmarks/slopes.py [--quick] [--json] [--save FILE]``.

Each cost is measured at three or more sizes, and a straight line is fitted through them by least squares; the
repetitions give the spread. The data path is the real ``saltcourse serve`` on loopback, with push servers in
a process of their own; its CPU and memory are read from ``/proc``. A bare pass-through of bytes in asyncio,
played the same in the same run, is the control. The other costs are taken by driving the module and the
fleet's core directly. ``benchmarks/capacity.py`` reads what ``--save`` writes. The last line is one JSON
object: for each slope its middle, and ``_low`` and ``_high`` over the repetitions.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import platform
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import click
import orjson

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "example"), str(ROOT / "benchmarks")]

from fleet import Site  # noqa: E402
from toy import Platform, Reader, Writer  # noqa: E402

from saltcourse import interface as lg  # noqa: E402
from saltcourse.fleet.core import Fleet, Sends  # noqa: E402
from saltcourse.policy import Balancer  # noqa: E402
from saltcourse.wire.members import read_list  # noqa: E402

HOST = "127.0.0.1"
PUSH_SERVERS = 100  # so many that a burst of set-ups finds room
LINE = b"HEADLINE " + 100 * b"x" + b"\r\n"  # what a push server sends; 111 bytes
DELIVERY_GAP = 0.01  # s between a push server's lines on one connection: none is read together with the next
ACTIVE = 100  # connections that lines pass on at the same time
SETTING_UP = 16  # clients that connect at the same time
CLIENT_DEADLINE_MS = 5_000
COME_AGAIN = 0.05  # s until a client that was not served comes again
OBSERVERS = 2  # proxies of the mesh that hear all others and are measured
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Sizes:
    """At which sizes each cost is measured."""

    repetitions: int = 3
    settle: float = 0.5  # s between the last event and the look at CPU or memory
    connections: tuple[int, ...] = (200, 600, 1_200, 2_000)
    idle_seconds: float = 2.0
    lines: tuple[int, ...] = (1_000, 2_000, 4_000)
    set_ups: tuple[int, ...] = (200, 400, 800)
    fleet: tuple[int, ...] = (20, 40, 80, 160, 490)
    fleet_settle: float = 10.0  # s of virtual time from the fleet's start, until whole tables are told
    fleet_seconds: float = 8.0  # s of virtual time that are measured: two of the fleet's heartbeats
    crowds: tuple[int, ...] = (1, 2, 4, 8)  # times the new connections of ``fleet.ARRIVALS``
    servers: tuple[int, ...] = (10, 100, 1_000, 2_000, 5_000)
    placements: int = 40
    groups: tuple[int, ...] = (1_000, 2_000, 4_000)
    datagrams: tuple[int, ...] = (2_000, 4_000, 8_000)


QUICK = Sizes(
    settle=0.1, connections=(100, 200, 400), idle_seconds=0.2, lines=(300, 600, 1_200),
    set_ups=(50, 100, 200), fleet=(8, 16, 32), fleet_settle=4.0, fleet_seconds=4.0, crowds=(1, 2, 3),
    servers=(10, 100, 1_000), placements=20, groups=(500, 1_000, 2_000), datagrams=(500, 1_000, 2_000))


# ---- fits -------------------------------------------------------------------------------------------


@dataclass
class Slope:
    """One cost by size. ``values`` has a row for each repetition."""

    unit: str
    per: str
    sizes: tuple[int, ...]
    values: list[list[float]] = field(default_factory=list)

    def fits(self) -> list[tuple[float, float]]:
        """Intercept and slope of each repetition."""
        return [least_squares(self.sizes, row) for row in self.values]

    def summary(self) -> tuple[float, float, float]:
        """The slope's middle, lowest and highest."""
        slopes = [slope for _, slope in self.fits()]
        return statistics.median(slopes), min(slopes), max(slopes)


def least_squares(xs: tuple[int, ...], ys: list[float]) -> tuple[float, float]:
    found = statistics.linear_regression(xs, ys)
    return found.intercept, found.slope


class Results:
    """All slopes by name, filled one repetition after another."""

    def __init__(self) -> None:
        self.slopes: dict[str, Slope] = {}

    def add(self, name: str, unit: str, per: str, sizes: tuple[int, ...], values: list[float]) -> None:
        self.slopes.setdefault(name, Slope(unit, per, sizes)).values.append(values)

    def flat(self) -> dict[str, float]:
        found: dict[str, float] = {}
        for name, slope in self.slopes.items():
            middle, low, high = slope.summary()
            for suffix, value in (("", middle), ("_low", low), ("_high", high)):
                found[f"{name}_{slope.unit}_per_{slope.per}{suffix}"] = float(f"{value:.4g}")
        return found


# ---- processes --------------------------------------------------------------------------------------


def cpu_seconds(pid: int) -> float:
    """User and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_kb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return float(status.split("VmRSS:")[1].split()[0])


@contextmanager
def running(*command: str) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen([sys.executable, *command], cwd=ROOT, text=True, stdout=subprocess.PIPE,
                               stderr=subprocess.DEVNULL)
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def told(process: subprocess.Popen[str]) -> Any:
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
    config["known"] = {"version": 1, "full": True, "servers": [
        {"id": name, "addr": f"{HOST}:{at}", "state": "SERVING"} for name, at in servers.items()]}
    config["limits"] = {"memory_mb": 2_048, "sockets": 16_384}
    config["settings"]["classes"][0] |= {"aim": 2.0, "give_up": CLIENT_DEADLINE_MS / 1000}
    config["settings"]["limits"]["connect_timeout"] = 2.0
    config["settings"]["extra"]["message_aim"] = [30.0]  # a busy machine must not look like slow push servers
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        with running("-m", "saltcourse", "serve", "--config", str(path)) as process:
            yield process.pid, port


@contextmanager
def pass_through(push_server: int) -> Iterator[tuple[int, int]]:
    with running(__file__, "--role", "pass-through", "--port", str(push_server)) as process:
        yield process.pid, told(process)


def free_port() -> int:
    with socket.create_server((HOST, 0)) as probe:
        return int(probe.getsockname()[1])


# ---- the data path ----------------------------------------------------------------------------------


class Client(asyncio.Protocol):
    """One client connection."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.up: asyncio.Future[bool] = loop.create_future()
        self.moved = False  # told to come back elsewhere
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


class Crowd:
    """Clients of one proxy, in this process."""

    def __init__(self, port: int, settle: float) -> None:
        self.settle = settle
        self.port, self.standing = port, list[Client]()
        self.came_again = 0  # clients that were refused or moved
        self._number = 0

    async def open(self) -> Client:
        """A connection that stands; a refused client comes again."""
        while True:
            client = await self._connect()
            client.transport.write(self._first_line())
            if await client.up:
                return client
            client.transport.close()
            self.came_again += 1
            await asyncio.sleep(COME_AGAIN)

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
                await asyncio.sleep(COME_AGAIN)

    async def hold(self, count: int) -> None:
        """Come or go until ``count`` stand."""
        while len(self.standing) != count:
            while len(self.standing) > count:
                self.standing.pop().transport.close()
            missing = count - len(self.standing)
            await in_parallel([partial(self._add, len(part)) for part in split(missing, SETTING_UP)])
            await asyncio.sleep(self.settle)
            self._drop_moved()

    def _drop_moved(self) -> None:
        for client in self.standing:
            if client.moved:
                client.transport.close()
                self.came_again += 1
        self.standing = [client for client in self.standing if not client.moved]

    async def _add(self, count: int) -> None:
        for _ in range(count):
            self.standing.append(await self.open())

    async def come_and_go(self, count: int) -> None:
        await in_parallel([partial(self._pass, len(part)) for part in split(count, SETTING_UP)])
        await asyncio.sleep(self.settle)

    async def _pass(self, count: int) -> None:
        for _ in range(count):
            (await self.open()).transport.close()

    async def be_refused(self, count: int) -> None:
        await in_parallel([partial(self._be_refused, len(part)) for part in split(count, SETTING_UP)])
        await asyncio.sleep(self.settle)

    async def _be_refused(self, count: int) -> None:
        for _ in range(count):
            client = await self._connect()
            client.transport.write(self._first_line())
            if await client.up:
                raise RuntimeError("a client was served where no push server is listed")
            client.transport.close()

    async def push(self, requests: int, lines: int) -> None:
        """Each connection sends ``requests`` lines, one after another, and gets ``lines`` for each."""
        await in_parallel([partial(self._push, client, requests, lines) for client in self.standing])

    @staticmethod
    async def _push(client: Client, requests: int, lines: int) -> None:
        for _ in range(requests):
            await client.push(lines)


def split(count: int, parts: int) -> list[range]:
    return [range(i, count, parts) for i in range(min(count, parts))]


async def in_parallel(works: list[Callable[[], Any]]) -> None:
    async with asyncio.TaskGroup() as group:
        for work in works:
            group.create_task(work())


async def data_path(results: Results, suffix: str, pid: int, port: int, sizes: Sizes) -> int:
    """Everything that one proxy process is put through; returns how many clients came again."""
    crowd = Crowd(port, sizes.settle)
    await crowd.hold(10)  # warm
    memory, idle = [], []
    for count in sizes.connections:
        await crowd.hold(count)
        memory.append(resident_kb(pid))
        before = cpu_seconds(pid)
        await asyncio.sleep(sizes.idle_seconds)
        idle.append(1e3 * (cpu_seconds(pid) - before) / sizes.idle_seconds)
    results.add(f"connection_memory{suffix}", "kb", "connection", sizes.connections, memory)
    results.add(f"connection_idle{suffix}", "ms_per_s", "connection", sizes.connections, idle)

    await crowd.hold(ACTIVE)

    async def cost(work: Callable[[int], Any], size: int) -> float:
        before = cpu_seconds(pid)
        await work(size)
        return 1e3 * (cpu_seconds(pid) - before)

    trips = [await cost(lambda n: crowd.push(n // ACTIVE, 1), n) for n in sizes.lines]
    results.add(f"line_trip{suffix}", "ms", "trip", sizes.lines, trips)
    deliveries = [await cost(lambda n: crowd.push(1, n // ACTIVE), n) for n in sizes.lines]
    results.add(f"delivery{suffix}", "ms", "line", sizes.lines, deliveries)
    set_ups = [await cost(crowd.come_and_go, n) for n in sizes.set_ups]
    results.add(f"set_up{suffix}", "ms", "set_up", sizes.set_ups, set_ups)
    return crowd.came_again


async def refusals(results: Results, pid: int, port: int, sizes: Sizes) -> None:
    """A proxy that knows no push server answers every client BUSY."""
    crowd, found = Crowd(port, sizes.settle), []
    await crowd.be_refused(10)
    for count in sizes.set_ups:
        before = cpu_seconds(pid)
        await crowd.be_refused(count)
        found.append(1e3 * (cpu_seconds(pid) - before))
    results.add("refusal", "ms", "refusal", sizes.set_ups, found)


def measure_data_path(results: Results, sizes: Sizes) -> None:
    with running(__file__, "--role", "push-servers") as process:
        ports = told(process)
        with saltcourse(ports["discovery"], ports["servers"]) as (pid, port):
            came_again = asyncio.run(data_path(results, "", pid, port, sizes))
        if came_again:
            click.echo(f"{came_again} clients were refused or moved and came again", err=True)
        with saltcourse(free_port(), {}) as (pid, port):
            asyncio.run(refusals(results, pid, port, sizes))
        with pass_through(ports["servers"]["toy-0"]) as (pid, port):
            asyncio.run(data_path(results, "_control", pid, port, sizes))


# ---- the mesh of the proxies ------------------------------------------------------------------------


class ObservedSite(Site):
    """A fleet in which only the first proxies hear all others, as every proxy does in a real one.

    The others tell all that they have to tell, but hear only the observers. So the cost of a run grows with
    the fleet's size and not with its square; what the observers send, receive and keep is the same.
    """

    def __init__(self, size: int, crowd: int, seed: int) -> None:
        self.crowd = crowd
        self.begin()
        super().__init__(size, counts=True)
        self.random.seed(seed)
        self.net.random.seed(seed)

    def comes(self, i: int) -> None:
        for _ in range(self.crowd):
            super().comes(i)

    def step(self, i: int) -> None:
        begin = time.process_time()
        sends = self.cores[i].due(self.net.now)
        self.send_cpu += (time.process_time() - begin) * (i < OBSERVERS)
        self.send(i, sends)
        super().step(i)

    def send(self, i: int, sends: Sends) -> None:
        for peer, text in sends:
            if peer is None:
                self.to_all += len(text)
            elif i < OBSERVERS:
                self.to_one += len(text)
            for other in range(self.size) if peer is None else [peer]:
                if other != i and min(i, other) < OBSERVERS:
                    self.net.send(str(i), str(other), (i, text))

    def got(self, host: Any, event: Any) -> None:
        receiver = int(host.name)
        if receiver < OBSERVERS:
            self.received += len(event[1])
            super().got(host, event)
        else:
            self.cores[receiver].heard(self.net.now, *event)

    def begin(self) -> None:
        """Forget what was counted."""
        self.to_all = self.to_one = self.received = self.taken = 0
        self.cpu = self.send_cpu = 0.0

    def sent_bytes(self) -> float:
        """Bytes of one proxy in the mean: to all as every proxy tells them, to one as the observers do."""
        return self.to_all * (self.size - 1) / self.size + self.to_one / OBSERVERS


def deep_bytes(root: Any, seen: set[int]) -> int:
    """Memory of an object and of all that it holds, each counted once."""
    if id(root) in seen or isinstance(root, type):
        return 0
    seen.add(id(root))
    held: list[Any] = []
    if isinstance(root, dict):
        held = [*root.keys(), *root.values()]
    elif isinstance(root, (list, tuple, set, frozenset)):
        held = list(root)
    elif hasattr(root, "__slots__"):
        held = [getattr(root, name) for name in root.__slots__]
    return sys.getsizeof(root) + sum(deep_bytes(each, seen) for each in held)


def observe(size: int, crowd: int, seed: int, sizes: Sizes) -> dict[str, float]:
    """What one proxy of the mesh spends; bytes are those of the messages, without IP and UDP headers."""
    site = ObservedSite(size, crowd, seed)
    site.net.run(sizes.fleet_settle)
    start_bytes, start_cpu = site.received / OBSERVERS, site.cpu / OBSERVERS
    site.begin()
    site.net.run(sizes.fleet_settle + sizes.fleet_seconds)
    spent = sizes.fleet_seconds * OBSERVERS
    core = site.cores[0]
    return {
        "mesh_start_received": start_bytes / 1e3, "mesh_start_take": 1e3 * start_cpu,
        "mesh_sent": site.sent_bytes() / sizes.fleet_seconds / 1e3,
        "mesh_received": site.received / spent / 1e3,
        "mesh_messages": site.taken / spent, "mesh_take": 1e3 * site.cpu / spent,
        "mesh_send": 1e3 * site.send_cpu / spent,
        "mesh_memory": deep_bytes([core.peers, core.holders], set()) / 1e3,
    }


UNITS = {"mesh_start_received": "kb", "mesh_start_take": "ms", "mesh_sent": "kb_per_s",
         "mesh_received": "kb_per_s", "mesh_messages": "per_s", "mesh_take": "ms_per_s",
         "mesh_send": "ms_per_s", "mesh_memory": "kb"}
CROWD_COSTS = ("mesh_sent", "mesh_messages", "mesh_take", "mesh_memory")


def measure_mesh(results: Results, sizes: Sizes) -> None:
    """The repetitions beside each other, each in a process of its own: only CPU time is counted."""
    with ProcessPoolExecutor(sizes.repetitions) as pool:
        for by_size, by_crowd in pool.map(partial(mesh_repetition, sizes), range(sizes.repetitions)):
            for name, unit in UNITS.items():
                results.add(name, unit, "proxy", sizes.fleet, [found[name] for found in by_size])
            for name in CROWD_COSTS:
                values = [found[name] for found in by_crowd]
                results.add(f"{name}_crowd", UNITS[name], "crowd", sizes.crowds, values)


def mesh_repetition(sizes: Sizes, seed: int) -> tuple[list[dict[str, float]], list[dict[str, float]]]:
    """By the size of the fleet, and by the rate of new connections in a fleet of the second size."""
    by_size = [observe(size, 1, seed, sizes) for size in sizes.fleet]
    by_crowd = [observe(sizes.fleet[1], crowd, seed, sizes) for crowd in sizes.crowds]
    return by_size, by_crowd


def measure_datagrams(results: Results, sizes: Sizes) -> None:
    async def both(count: int) -> tuple[float, float]:
        loop, taken = asyncio.get_running_loop(), list[bytes]()

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: Any) -> None:
                taken.append(data)

        receiving, _ = await loop.create_datagram_endpoint(Receiver, local_addr=(HOST, 0))
        sending, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(HOST, 0))
        address, sent, took = receiving.get_extra_info("sockname"), 0.0, 0.0
        for _ in range(count // 100):  # as many as a socket's buffer holds
            taken.clear()
            begin = time.process_time()
            for _ in range(100):
                sending.sendto(LINE, address)
            between = time.process_time()
            while len(taken) < 100:
                await asyncio.sleep(0)
            sent, took = sent + between - begin, took + time.process_time() - between
        sending.close()
        receiving.close()
        return 1e3 * sent, 1e3 * took

    found = [asyncio.run(both(count)) for count in sizes.datagrams]
    results.add("datagram_send", "ms", "datagram", sizes.datagrams, [sent for sent, _ in found])
    results.add("datagram_take", "ms", "datagram", sizes.datagrams, [took for _, took in found])


# ---- the module -------------------------------------------------------------------------------------


def settings(**changes: Any) -> lg.Settings:
    return lg.Settings((lg.RequestClass("c", 1.0, 3.0),), **changes)


def members(count: int) -> tuple[lg.Member, ...]:
    return tuple(lg.Member(f"server-{i}") for i in range(count))


def timed(balancer: Balancer, now: float, event: lg.Event) -> tuple[float, list[lg.Action]]:
    """CPU in ms of one event, and the module's actions."""
    begin = time.process_time()
    actions = balancer.handle(now, event)
    return 1e3 * (time.process_time() - begin), actions


def place(balancer: Balancer, number: int, group: str) -> float:
    """CPU in ms of one placement; the connection then stands."""
    now, request = 10.0 + number / 100, f"r{number}"
    cpu, _ = timed(balancer, now, lg.NewRequest(request, "c", 3.0, group=group))
    balancer.handle(now, lg.Established(request, 0, 0.01))
    return cpu


def placements(servers: int, count: int, groups: bool) -> tuple[float, float]:
    """Mean CPU of a placement: of groups that are new here, and of the same groups again."""
    balancer = Balancer(settings(groups=groups), 1)
    balancer.handle(0.0, lg.MembersChanged(lg.ListKind.WHOLE, members(servers)))
    names = [f"group-{i}" if groups else "" for i in range(count)]
    first = statistics.mean([place(balancer, i, name) for i, name in enumerate(names)])
    again = statistics.mean([place(balancer, count + i, name) for i, name in enumerate(names)])
    return first, again


def list_costs(servers: int) -> dict[str, float]:
    """The list's way into the module: text read, first whole list, one change, a whole list again."""
    text = orjson.dumps({"version": 1, "full": True, "servers": [
        {"id": f"server-{i}", "addr": f"10.0.{i // 250}.{i % 250}:8081", "zone": "z1", "kind": "m2",
         "cell": 1, "state": "SERVING", "weight": 1.0, "started_ms": 0} for i in range(servers)]})
    begin = time.process_time()
    read_list(orjson.loads(text))
    read = 1e3 * (time.process_time() - begin)
    balancer, whole = Balancer(settings(), 1), members(servers)
    first, _ = timed(balancer, 0.0, lg.MembersChanged(lg.ListKind.WHOLE, whole))
    drained = (lg.Member("server-0", lg.ServerState.DRAINING),)
    change, _ = timed(balancer, 1.0, lg.MembersChanged(lg.ListKind.CHANGED, drained))
    again, _ = timed(balancer, 2.0, lg.MembersChanged(lg.ListKind.WHOLE, whole))
    return {"list_read": read, "list_first": first, "list_change": change, "list_whole": again,
            "list_text": len(text) / 1e3}


def measure_module(results: Results, sizes: Sizes) -> None:
    plain = [placements(count, sizes.placements, groups=False) for count in sizes.servers]
    grouped = [placements(count, sizes.placements, groups=True) for count in sizes.servers]
    lists = [list_costs(count) for count in sizes.servers]
    results.add("placement", "ms", "server", sizes.servers, [first for first, _ in plain])
    results.add("placement_new_group", "ms", "server", sizes.servers, [first for first, _ in grouped])
    results.add("placement_held_group", "ms", "server", sizes.servers, [again for _, again in grouped])
    for name, unit in {"list_read": "ms", "list_first": "ms", "list_change": "ms", "list_whole": "ms",
                       "list_text": "kb"}.items():
        results.add(name, unit, "server", sizes.servers, [found[name] for found in lists])


# ---- what a group costs -----------------------------------------------------------------------------


def traced(work: Callable[[], Any]) -> float:
    """kB that what ``work`` returns, and what it changed, keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = work()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held / 1e3


def resume(count: int, groups: bool) -> Balancer:
    """A module that holds so many connections, each of a group of its own or of none."""
    balancer = Balancer(settings(groups=True, peers=True, balancers=2), 1)
    balancer.handle(0.0, lg.MembersChanged(lg.ListKind.WHOLE, members(100)))
    for i in range(count):
        group = f"group-{i}" if groups else ""
        balancer.handle(1.0, lg.ConnectionResumed(f"r{i}", "c", f"server-{i % 100}", group=group))
    balancer.handle(20.0, lg.ClientGone("nobody"))  # what there is to tell is told
    return balancer


def pairs_of_peer(count: int) -> float:
    """kB that one peer's pairs take in this proxy's copy."""
    told = partial(settings, balancers=2, peers=True, groups=True)
    owner, receiver = Fleet(told(index=0), 1, {}), Fleet(told(index=1), 2, {})
    for i in range(count):
        owner.hold(f"server-{i % 100}", f"group-{i}", True)
    texts = [text for peer, text in owner.due(1.0) if peer is None]

    def hear() -> Fleet:
        for text in texts:
            receiver.heard(1.1, 0, text)
        return receiver

    return traced(hear)


def measure_groups(results: Results, sizes: Sizes) -> None:
    own = [traced(lambda n=n: resume(n, True)) - traced(lambda n=n: resume(n, False)) for n in sizes.groups]
    results.add("group_in_module", "kb", "group", sizes.groups, own)
    results.add("pair_of_peer", "kb", "pair", sizes.groups, [pairs_of_peer(n) for n in sizes.groups])


# ---- all of it --------------------------------------------------------------------------------------


def commit() -> str:
    """The commit that was measured; ``+`` where the program differs from it."""
    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=ROOT, text=True, capture_output=True).stdout.strip()

    return git("rev-parse", "--short", "HEAD") + ("+" if git("status", "--porcelain", "saltcourse") else "")


def measure(sizes: Sizes, tell: Callable[[str], None]) -> Results:
    results = Results()
    parts: dict[str, Callable[[], None]] = {
        "data path": lambda: measure_data_path(results, sizes),
        "datagrams": lambda: measure_datagrams(results, sizes),
        "module": lambda: measure_module(results, sizes),
        "groups": lambda: measure_groups(results, sizes),
    }
    for repetition in range(sizes.repetitions):
        for name, work in parts.items():
            began = time.monotonic()
            work()
            tell(f"repetition {repetition + 1}, {name}: {time.monotonic() - began:.0f} s")
    began = time.monotonic()
    measure_mesh(results, sizes)
    tell(f"mesh, all repetitions: {time.monotonic() - began:.0f} s")
    return results


def kept(results: Results, command: str) -> dict[str, Any]:
    return {"command": command, "commit": commit(), "python": platform.python_version(),
            "cores": os.cpu_count(), "machine": platform.machine(),
            "repetitions": len(next(iter(results.slopes.values())).values),
            "slopes": {name: asdict(slope) for name, slope in results.slopes.items()}}


@click.command()
@click.option("--quick", is_flag=True, help="Small sizes, within 40 s.")
@click.option("--json", "only", is_flag=True, help="Only the last line.")
@click.option("--save", metavar="FILE", help="Keep all values for benchmarks/capacity.py.")
@click.option("--role", type=click.Choice(["push-servers", "pass-through"]), hidden=True)
@click.option("--port", type=int, default=0, hidden=True)
def main(quick: bool, only: bool, save: str | None, role: str | None, port: int) -> None:
    """Measure what today's program costs, as slopes."""
    if role is not None:
        asyncio.run(serve_push_servers() if role == "push-servers" else serve_pass_through(port))
        return
    results = measure(QUICK if quick else Sizes(), (lambda _: None) if only else click.echo)
    if save:
        command = "python benchmarks/slopes.py" + (" --quick" if quick else "")
        Path(save).write_text(json.dumps(kept(results, command), indent=1) + "\n")
    if not only:
        for name, slope in results.slopes.items():
            middle, low, high = slope.summary()
            click.echo(f"{name:28} {middle:10.4g} ({low:.4g} to {high:.4g}) {slope.unit} per {slope.per}")
    click.echo(json.dumps(results.flat()))


if __name__ == "__main__":
    main()
