"""Several processes of the program on loopback, and faults between them: audited by what the backends saw.

Each proxy reaches each other one through a relay, which loses, delays and cuts. The proxies are busy with
clients all the while, so that they want more health checks than the fleet may send.
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

from tests.admin.test_server import EXAMPLE, free_port
from tests.free_ports import free_addresses
from tests.proxy.test_process_replacement import admin_answer

COUNT, BACKENDS = 4, 3
LEASE_TERM = 2.0  # s
HEALTH_CHECKS = 3.0  # a second that one backend gets of all proxies together
ROOT = Path(__file__).parents[2]


class Relay:
    """A socket for each ordered pair (i, j): where i sends to j; j hears i from that of the pair (j, i)."""

    def __init__(self, listens: list[tuple[str, int]]) -> None:
        self.listens, self.random = listens, random.Random(7)
        self.sockets: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.addresses: dict[tuple[int, int], tuple[str, int]] = {}
        self.loss, self.delay = 0.0, (0.0017, 0.028)
        self.cut: set[tuple[int, int]] = set()
        self.forwarded = self.longest = 0

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for pair in [(i, j) for i in range(COUNT) for j in range(COUNT)]:
            transport, _ = await loop.create_datagram_endpoint(
                lambda pair=pair: _End(self, pair), local_addr=("127.0.0.1", 0)
            )  # type: ignore[misc]
            self.sockets[pair] = transport
            self.addresses[pair] = transport.get_extra_info("sockname")

    def forward(self, pair: tuple[int, int], data: bytes) -> None:
        self.longest = max(self.longest, len(data))
        if pair not in self.cut and self.random.random() >= self.loss:
            self.forwarded += 1
            i, j = pair
            asyncio.get_running_loop().call_later(
                self.random.uniform(*self.delay), self.sockets[j, i].sendto, data, self.listens[j]
            )

    def split(self, *parts: set[int]) -> None:
        self.cut = {(i, j) for a in parts for b in parts if a is not b for i in a for j in b}


class _End(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, pair: tuple[int, int]) -> None:
        self.relay, self.pair = relay, pair

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.relay.forward(self.pair, data)


class Backend:
    """Answers OPEN and STATS, and keeps the time of each question for its load."""

    def __init__(self) -> None:
        self.health_checks: list[float] = []
        self.open = 0
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", free_port())

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        held = False
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                if line == b"STATS\r\n":
                    self.health_checks.append(asyncio.get_running_loop().time())
                    writer.write(b"PONG q=0,x0=0.5\r\n")
                elif line.startswith(b"OPEN "):
                    held = True
                    self.open += 1
                    writer.write(b"UP 1\r\n")
        self.open -= held
        writer.close()

    def over_budget(self) -> bool:
        low = 0.0
        for n, at in enumerate(self.health_checks):
            level = n - HEALTH_CHECKS * (at - self.health_checks[0]) * 1.02
            low = min(low, level)
            if level + 1 - low > 2 * COUNT + 1:  # the burst; one that was on its way from before a stop
                return True
        return False


def write_config(folder: Path, index: int, relay: Relay, backends: list[Backend]) -> dict[str, Any]:
    values: dict[str, Any] = json.loads(EXAMPLE.read_text())
    own_settings = values["settings"]
    own_settings.update(
        balancers=COUNT,
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
        peer_listen="{}:{}".format(*relay.listens[index]),
        peers=["{}:{}".format(*relay.addresses[index, j]) for j in range(COUNT)],
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
        self.values = [write_config(folder, i, relay, backends) for i in range(COUNT)]
        (folder / "operator.txtpb").write_text(
            f"fleet {{ term_s: {LEASE_TERM} counts: true probes_per_s: {HEALTH_CHECKS} }}\n"
        )
        self.processes: list[subprocess.Popen[bytes]] = [self.run(i) for i in range(COUNT)]

    def run(self, index: int) -> subprocess.Popen[bytes]:
        seed = f"{random.SystemRandom().getrandbits(48):x}"  # new with each start, as on the platform
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

    async def figures(self, index: int) -> dict[str, int]:
        port = int(self.values[index]["admin"].rpartition(":")[2])
        status, body = await asyncio.to_thread(admin_answer, port, "/_vars")
        assert status == 200
        return {
            name: int(rest.partition("|")[0])
            for name, _, rest in (line.partition(":") for line in body.decode().split())
        }

    async def until(self, what: str, indexes: Any, want: Any, patience: float) -> None:
        """Figures are asked for until each has been as wanted, which the fleet owes within ``patience``."""
        end = asyncio.get_running_loop().time() + patience
        left = set(indexes)
        while left:
            found = {i: (await self.figures(i)).get(f"svc.fleet.{what}") for i in left}
            left -= {i for i, figure in found.items() if want(figure)}
            assert not left or asyncio.get_running_loop().time() < end, f"{what}: {found}"
            await asyncio.sleep(0.1)

    async def ready(self, index: int) -> None:
        port = int(self.values[index]["admin"].rpartition(":")[2])
        for _ in range(200):
            if (await asyncio.to_thread(admin_answer, port, "/_ready"))[0] == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"{index} never said it was ready")


@contextlib.asynccontextmanager
async def busy(fleet: Fleet) -> AsyncIterator[None]:
    """Clients come to every proxy and stay a while, each of one of some groups."""
    draw = random.Random(3)
    held: list[asyncio.StreamWriter] = []

    async def client(index: int, number: int) -> None:
        host, _, port = fleet.values[index]["listen"].rpartition(":")
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            held.append(writer)
            words = f"OPEN r{index}x{number} k{number} c=live-feed,d=1000,g=g{number % 7}"
            writer.write(f"{words}\r\n".encode())
            if not (await reader.readline()).startswith(b"UP") or draw.random() < 0.7:
                writer.close()

    async def come() -> None:
        number = 0
        while True:
            number += 1
            for index in range(COUNT):
                tasks.append(asyncio.create_task(client(index, number)))
            await asyncio.sleep(0.15)

    tasks: list[asyncio.Task[None]] = []
    coming = asyncio.create_task(come())
    try:
        yield
    finally:
        coming.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(coming, *tasks, return_exceptions=True)
        for writer in held:
            writer.close()


async def play(folder: Path) -> None:
    relay = Relay(list(free_addresses(COUNT)))
    await relay.open()
    backends = [Backend() for _ in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    fleet = Fleet(folder, relay, backends)
    everyone = range(COUNT)
    try:
        for i in everyone:
            await fleet.ready(i)
        async with busy(fleet):
            await fleet.until("peers", everyone, lambda n: n == COUNT - 1, 3 * LEASE_TERM)
            await fleet.until("pace", everyone, lambda n: n == 1000, 3 * LEASE_TERM)
            relay.loss = 0.2
            relay.split({0}, {1, 2, 3})  # one hears nothing: given up, and its tokens inherited
            await fleet.until("peers", [0], lambda n: n == 0, 4 * LEASE_TERM)
            await fleet.until("peers", [1, 2, 3], lambda n: n == 2, 4 * LEASE_TERM)
            relay.loss = 0.5
            relay.split({0, 1}, {2, 3})  # and then half
            await asyncio.sleep(2 * LEASE_TERM)
            relay.split()
            relay.loss = 0.1
            fleet.processes[2].send_signal(signal.SIGSTOP)
            await asyncio.sleep(2 * LEASE_TERM)  # past all that was promised to it
            fleet.processes[2].send_signal(signal.SIGCONT)
            fleet.processes[1].kill()
            await asyncio.to_thread(fleet.processes[1].wait)
            fleet.processes[1] = fleet.run(1)
            # A backend that is gone for a moment: whoever meets it first notifies the others.
            server = backends[2].server
            assert server is not None
            server.close()
            await fleet.until("judged", [0, 2, 3], lambda n: n >= 1, 3 * LEASE_TERM)
            await backends[2].start()
            await fleet.ready(1)
        relay.loss = 0.0
        await fleet.until("judged", everyone, lambda n: n == 0, 12.0)  # the longest rest is 10 s
        await fleet.until("peers", everyone, lambda n: n == COUNT - 1, 3 * LEASE_TERM)
        await fleet.until("pace", everyone, lambda n: n == 1000, 3 * LEASE_TERM)
        standing = sum(p.open for p in backends)
        await fleet.until("connections", everyone, lambda n: n == standing, 3 * LEASE_TERM)
        for i in everyone:
            assert (await fleet.figures(i))["svc.fleet.unreadable"] == 0
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
    # The budget was wanted: without one each proxy asks every half a second and more.
    assert sum(len(p.health_checks) for p in backends) > 0.3 * HEALTH_CHECKS * BACKENDS * span
    for i in everyone:
        assert "Traceback" not in (folder / f"{i}.log").read_text()


def test_budget_counts_and_ejection_notices_hold_between_processes_with_faults(tmp_path: Path) -> None:
    asyncio.run(play(tmp_path))
