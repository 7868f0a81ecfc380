"""Proxy processes on loopback with network and process faults, checked by the health checks at the backends.

The proxies exchange messages through a relay that can drop, delay and cut them. Clients keep the proxies
busy, so that they need more health checks than the fleet-wide budget allows.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from tests.admin.test_server import EXAMPLE
from tests.free_ports import free_addresses, free_port
from tests.proxy.test_process_replacement import admin_answer

PROXIES, BACKENDS = 4, 3
LEASE_TERM = 2.0  # seconds
HEALTH_CHECK_RATE = 3.0  # health checks per second that one backend may get from all proxies together
ROOT = Path(__file__).parents[2]


class Relay:
    """Forwards datagrams between the proxies, with faults.

    It has a socket for each ordered pair (i, j). Proxy i sends to j's socket (i, j), and j receives the
    datagram from the socket (j, i), to which it also sends its own messages for i.
    """

    def __init__(self, proxy_addresses: list[tuple[str, int]]) -> None:
        self.proxy_addresses, self.random = proxy_addresses, random.Random(7)
        self.sockets: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.addresses: dict[tuple[int, int], tuple[str, int]] = {}
        self.loss, self.delay = 0.0, (0.0017, 0.028)
        self.cut: set[tuple[int, int]] = set()
        self.forwarded = self.longest = 0

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for pair in [(i, j) for i in range(PROXIES) for j in range(PROXIES)]:
            transport, _ = await loop.create_datagram_endpoint(
                lambda pair=pair: _RelaySocket(self, pair), local_addr=("127.0.0.1", 0)
            )  # type: ignore[misc]
            self.sockets[pair] = transport
            self.addresses[pair] = transport.get_extra_info("sockname")

    def forward(self, pair: tuple[int, int], data: bytes) -> None:
        self.longest = max(self.longest, len(data))
        if pair not in self.cut and self.random.random() >= self.loss:
            self.forwarded += 1
            i, j = pair
            asyncio.get_running_loop().call_later(
                self.random.uniform(*self.delay), self.sockets[j, i].sendto, data, self.proxy_addresses[j]
            )

    def partition(self, *parts: set[int]) -> None:
        """Cut all links between the parts; without arguments, restore all links."""
        self.cut = {(i, j) for a in parts for b in parts if a is not b for i in a for j in b}


class _RelaySocket(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, pair: tuple[int, int]) -> None:
        self.relay, self.pair = relay, pair

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.relay.forward(self.pair, data)


class Backend:
    """A backend that answers OPEN and STATS, and records the time of each health check (STATS)."""

    def __init__(self) -> None:
        self.health_checks: list[float] = []
        self.open = 0
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", free_port())

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_open = False
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                if line == b"STATS\r\n":
                    self.health_checks.append(asyncio.get_running_loop().time())
                    writer.write(b"PONG q=0,x0=0.5\r\n")
                elif line.startswith(b"OPEN "):
                    is_open = True
                    self.open += 1
                    writer.write(b"UP 1\r\n")
        self.open -= is_open
        writer.close()

    def over_budget(self) -> bool:
        """Return whether the health checks exceeded rate and burst over any time span."""
        burst = 2 * PROXIES
        delayed = 1  # a health check sent before a process was stopped may arrive later
        lowest_excess = 0.0
        for number, at in enumerate(self.health_checks):
            # Health checks before this one, minus those that the rate allows until now.
            excess = number - HEALTH_CHECK_RATE * (at - self.health_checks[0]) * 1.02
            lowest_excess = min(lowest_excess, excess)
            if excess + 1 - lowest_excess > burst + delayed:
                return True
        return False


def write_config(folder: Path, index: int, relay: Relay, backends: list[Backend]) -> dict[str, Any]:
    values: dict[str, Any] = json.loads(EXAMPLE.read_text())
    own_settings = values["settings"]
    own_settings.update(
        balancers=PROXIES,
        self_index=index,
        zone="z",
        failure_domains=["z"],
        discovery="pushed",
        report={"how": "pull", "fields": ["q", "x0"]},
    )
    own_settings["limits"] |= {"peers": True, "may_probe": True}
    own_settings["extra"] |= {"groups": True}
    values.update(
        name=f"n{index}",
        listen=f"127.0.0.1:{free_port()}",
        admin=f"127.0.0.1:{free_port()}",
        discovery=f"127.0.0.1:{free_port()}",
        peer_listen="{}:{}".format(*relay.proxy_addresses[index]),
        peers=["{}:{}".format(*relay.addresses[index, j]) for j in range(PROXIES)],
        known={
            "version": 1,
            "full": True,
            "servers": [
                {"id": f"s{i}", "state": "SERVING", "zone": "z", "addr": "{}:{}".format(*p.address)}
                for i, p in enumerate(backends)
            ],
        },
    )
    (folder / f"{index}.json").write_text(json.dumps(values))
    return values


class Fleet:
    def __init__(self, folder: Path, relay: Relay, backends: list[Backend]) -> None:
        self.folder = folder
        self.values = [write_config(folder, i, relay, backends) for i in range(PROXIES)]
        (folder / "operator.txtpb").write_text(
            f"fleet {{ term_s: {LEASE_TERM} counts: true probes_per_s: {HEALTH_CHECK_RATE} }}\n"
        )
        self.processes: list[subprocess.Popen[bytes]] = [self.run(i) for i in range(PROXIES)]

    def run(self, index: int) -> subprocess.Popen[bytes]:
        seed = f"{random.SystemRandom().getrandbits(48):x}"  # differs with each start, as on the platform
        values = self.values[index] | {"seed": seed}
        (self.folder / f"{index}.json").write_text(json.dumps(values))
        with (self.folder / f"{index}.log").open("ab") as log:
            return subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "saltcourse",
                    "serve",
                    "--config",
                    str(self.folder / f"{index}.json"),
                    "--operator",
                    str(self.folder / "operator.txtpb"),
                ],
                env=os.environ | {"EDGE_CONFIG": ""},
                stderr=log,
                cwd=ROOT,
            )

    async def metrics(self, index: int) -> dict[str, int]:
        port = int(self.values[index]["admin"].rpartition(":")[2])
        status, body = await asyncio.to_thread(admin_answer, port, "/_vars")
        assert status == 200
        return {
            name: int(rest.partition("|")[0])
            for name, _, rest in (line.partition(":") for line in body.decode().split())
        }

    async def wait_for_metric(self, name: str, indexes: Any, condition: Any, timeout: float) -> None:
        """Poll a metric of some proxies until it has met the condition at each of them.

        Fails if this takes longer than ``timeout`` seconds.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        remaining = set(indexes)
        while remaining:
            values = {i: (await self.metrics(i)).get(f"svc.fleet.{name}") for i in remaining}
            remaining -= {i for i, value in values.items() if condition(value)}
            assert not remaining or asyncio.get_running_loop().time() < deadline, f"{name}: {values}"
            await asyncio.sleep(0.1)

    async def wait_until_ready(self, index: int) -> None:
        port = int(self.values[index]["admin"].rpartition(":")[2])
        for _ in range(200):
            if (await asyncio.to_thread(admin_answer, port, "/_ready"))[0] == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"proxy {index} did not become ready within 200 attempts")


@contextlib.asynccontextmanager
async def client_load(fleet: Fleet) -> AsyncIterator[None]:
    """Keep opening client connections of 7 groups at all proxies; 30% of them stay open."""
    draw = random.Random(3)
    open_connections: list[asyncio.StreamWriter] = []

    async def client(index: int, number: int) -> None:
        host, _, port = fleet.values[index]["listen"].rpartition(":")
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            open_connections.append(writer)
            request = f"OPEN r{index}x{number} k{number} c=live-feed,d=1000,g=g{number % 7}"
            writer.write(f"{request}\r\n".encode())
            if not (await reader.readline()).startswith(b"UP") or draw.random() < 0.7:
                writer.close()

    async def start_clients() -> None:
        number = 0
        while True:
            number += 1
            for index in range(PROXIES):
                tasks.append(asyncio.create_task(client(index, number)))
            await asyncio.sleep(0.15)

    tasks: list[asyncio.Task[None]] = []
    starter = asyncio.create_task(start_clients())
    try:
        yield
    finally:
        starter.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(starter, *tasks, return_exceptions=True)
        for writer in open_connections:
            writer.close()


async def run_scenario(folder: Path) -> None:
    relay = Relay(list(free_addresses(PROXIES)))
    await relay.open()
    backends = [Backend() for _ in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    fleet = Fleet(folder, relay, backends)
    all_proxies = range(PROXIES)
    try:
        for i in all_proxies:
            await fleet.wait_until_ready(i)
        async with client_load(fleet):
            await fleet.wait_for_metric("peers", all_proxies, lambda n: n == PROXIES - 1, 3 * LEASE_TERM)
            await fleet.wait_for_metric("pace", all_proxies, lambda n: n == 1000, 3 * LEASE_TERM)
            relay.loss = 0.2
            relay.partition({0}, {1, 2, 3})  # proxy 0 is isolated: it is lost, and its portions are inherited
            await fleet.wait_for_metric("peers", [0], lambda n: n == 0, 4 * LEASE_TERM)
            await fleet.wait_for_metric("peers", [1, 2, 3], lambda n: n == 2, 4 * LEASE_TERM)
            relay.loss = 0.5
            relay.partition({0, 1}, {2, 3})  # two halves
            await asyncio.sleep(2 * LEASE_TERM)
            relay.partition()
            relay.loss = 0.1
            fleet.processes[2].send_signal(signal.SIGSTOP)
            await asyncio.sleep(2 * LEASE_TERM)  # until all its leases have expired
            fleet.processes[2].send_signal(signal.SIGCONT)
            fleet.processes[1].kill()
            await asyncio.to_thread(fleet.processes[1].wait)
            fleet.processes[1] = fleet.run(1)
            # One backend stops for a short time. The proxy that detects it first notifies the others.
            server = backends[2].server
            assert server is not None
            server.close()
            await fleet.wait_for_metric("judged", [0, 2, 3], lambda n: n >= 1, 3 * LEASE_TERM)
            await backends[2].start()
            await fleet.wait_until_ready(1)
        relay.loss = 0.0
        # An ejection lasts 10 s at most.
        await fleet.wait_for_metric("judged", all_proxies, lambda n: n == 0, 12.0)
        await fleet.wait_for_metric("peers", all_proxies, lambda n: n == PROXIES - 1, 3 * LEASE_TERM)
        await fleet.wait_for_metric("pace", all_proxies, lambda n: n == 1000, 3 * LEASE_TERM)
        open_connections = sum(p.open for p in backends)
        await fleet.wait_for_metric(
            "connections", all_proxies, lambda n: n == open_connections, 3 * LEASE_TERM
        )
        for i in all_proxies:
            assert (await fleet.metrics(i))["svc.fleet.unreadable"] == 0
    finally:
        for process in fleet.processes:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in fleet.processes:
            await asyncio.to_thread(process.wait, 10)
        for transport in relay.sockets.values():
            transport.close()
    assert relay.forwarded > 100 and relay.longest <= 256
    span = max(p.health_checks[-1] for p in backends) - min(p.health_checks[0] for p in backends)
    for backend in backends:
        assert not backend.over_budget()
    # The budget was the limit: without it, each proxy would send a health check every 0.5 s or more often.
    assert sum(len(p.health_checks) for p in backends) > 0.3 * HEALTH_CHECK_RATE * BACKENDS * span
    for i in all_proxies:
        assert "Traceback" not in (folder / f"{i}.log").read_text()


def test_budgets_connection_counts_and_ejections_are_shared_between_processes_despite_faults(
    tmp_path: Path,
) -> None:
    asyncio.run(run_scenario(tmp_path))
