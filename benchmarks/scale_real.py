"""Real ``saltcourse serve`` processes that take part in a scale run, with push servers and clients.

One more process runs without the feature, as the control for its cost. All are observed from outside: by
their admin addresses and by ``/proc``.
"""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "example")]

from toy import Platform, open_line  # noqa: E402

from saltcourse.emulator.scale.records import (  # noqa: E402
    BASELINE_PROCESS,
    ConfigurationSeen,
    Load,
    ProcessSample,
    RecordWriter,
    View,
)
from saltcourse.emulator.scale.runner import RealProcesses  # noqa: E402
from saltcourse.emulator.scale.sockets import LOOPBACK  # noqa: E402
from saltcourse.emulator.scale.topology import MemberSpec, Topology  # noqa: E402
from saltcourse.gossip.messages import Address, Role  # noqa: E402

CLIENTS = 4  # connections through each process
POLL_INTERVAL = 0.5  # s between polls of each admin address
LOAD_INTERVAL = 1.0  # s between records of bytes, CPU and memory
CALL_TIMEOUT = 1.0  # s
END_TIMEOUT = 5.0  # s for a process to end by itself
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class RunningProxy:
    """``place`` is None for the one without gossip."""

    place: MemberSpec | None
    admin: int
    listen: int
    process: subprocess.Popen[bytes]
    version: int = 0
    alive: int = 0
    sent: int = 0
    received: int = 0

    @property
    def member(self) -> int:
        return BASELINE_PROCESS if self.place is None else self.place.index


class RealFleet(RealProcesses):
    def __init__(self) -> None:
        self._topology: Topology | None = None
        self._own: dict[int, Address] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._proxies: list[RunningProxy] = []
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []

    def bind(self, topology: Topology) -> dict[int, Address]:
        self._topology = topology
        ports = free_ports(socket.SOCK_DGRAM, len(topology.real))
        self._own = {place.index: (LOOPBACK, port) for place, port in zip(topology.real, ports, strict=True)}
        return self._own

    def start(self, addresses: tuple[Address, ...], key: bytes, begin: float, records: Path) -> None:
        assert self._topology is not None
        folder = Path(self._folder.name)
        key_file = folder / "key"
        key_file.write_text(key.hex())
        key_file.chmod(0o600)
        ports = free_ports(socket.SOCK_STREAM, 2 * (len(self._topology.real) + 1))
        discovery = self._start_platform()
        places: list[MemberSpec | None] = [*self._topology.real, None]
        for place in places:
            self._proxies.append(
                self._start_proxy(folder, place, addresses, ports.pop(), ports.pop(), discovery)
            )
        self._start_thread(self._poll, begin, records)

    def _start_thread(self, body: object, *arguments: object) -> None:
        thread = threading.Thread(target=body, args=arguments, daemon=True)  # type: ignore[arg-type]
        thread.start()
        self._threads.append(thread)

    def close(self) -> None:
        self._stop.set()
        for proxy in self._proxies:
            proxy.process.terminate()
        for proxy in self._proxies:
            try:
                proxy.process.wait(END_TIMEOUT)
            except subprocess.TimeoutExpired:
                proxy.process.kill()
                proxy.process.wait()
        for thread in self._threads:
            thread.join(END_TIMEOUT)
        self._folder.cleanup()

    # ---- what is started -----------------------------------------------------------------------------

    def _start_proxy(
        self,
        folder: Path,
        place: MemberSpec | None,
        addresses: tuple[Address, ...],
        listen: int,
        admin: int,
        discovery: int,
    ) -> RunningProxy:
        name = "without" if place is None else place.name
        config = json.loads((ROOT / "example" / "config.json").read_text())
        config |= {
            "name": name,
            "listen": f"{LOOPBACK}:{listen}",
            "admin": f"{LOOPBACK}:{admin}",
            "discovery": f"{LOOPBACK}:{discovery}",
        }
        config["settings"]["limits"]["peers"] = True
        config_path = folder / f"{name}.json"
        config_path.write_text(json.dumps(config))
        command = [sys.executable, "-m", "saltcourse", "serve", "--config", str(config_path)]
        if place is not None:
            operator_path = folder / f"{name}.txtpb"
            operator_path.write_text(self._operator_file(place, addresses))
            command += ["--operator", str(operator_path)]
        environment = os.environ | {"EDGE_CONFIG": "", "PYTHONPATH": str(ROOT)}
        with (folder / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(command, env=environment, cwd=folder, stderr=log)
        return RunningProxy(place, admin, listen, process)

    def _operator_file(self, place: MemberSpec, addresses: tuple[Address, ...]) -> str:
        assert self._topology is not None
        lines = [
            f'me: "{place.name}"',
            f'listen: "{text(self._own[place.index])}"',
            f'region: "{place.region}"',
            f'zone: "{place.zone}"',
            'key_file: "key"',
        ]
        control = [other for other in self._topology.members if other.role is Role.CONTROL]
        lines += [f'seed: "{text(addresses[other.index])}"' for other in control]
        lines += [
            f'voter {{ name: "{voter.name}" address: "{text(addresses[voter.index])}" }}'
            for voter in self._topology.voters
        ]
        return "gossip {\n  " + "\n  ".join(lines) + "\n}\n"

    def _start_platform(self) -> int:
        """Push servers, discovery and clients have an event loop of their own; returns discovery's port."""
        started: list[int] = []
        ready = threading.Event()

        async def run() -> None:
            started.append(await Platform({"toy-1": 0, "toy-2": 0}).start(0))
            ready.set()
            await self._hold_clients()

        self._start_thread(run_to_end, run())
        if not ready.wait(END_TIMEOUT):
            raise RuntimeError("the toy platform did not start")
        return started[0]

    async def _hold_clients(self) -> None:
        tasks: dict[tuple[int, int], asyncio.Task[None]] = {}
        while not self._stop.is_set():
            for proxy in self._proxies:
                for number in range(CLIENTS):
                    task = tasks.get((proxy.listen, number))
                    if task is None or task.done():
                        tasks[proxy.listen, number] = asyncio.create_task(client(proxy.listen))
            await asyncio.sleep(0.5)
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)

    # ---- what is seen of them ------------------------------------------------------------------------

    def _poll(self, begin: float, path: Path) -> None:
        records = RecordWriter(path)
        next_load = begin + LOAD_INTERVAL
        while not self._stop.wait(POLL_INTERVAL):
            loads = time.monotonic() >= next_load
            for proxy in self._proxies:
                self._look(proxy, begin, loads, records)
            if loads:
                next_load += LOAD_INTERVAL
                records.flush()
        records.close()

    def _look(self, proxy: RunningProxy, begin: float, loads: bool, records: RecordWriter) -> None:
        with contextlib.suppress(OSError, ValueError, http.client.HTTPException):
            found = admin_figures(proxy.admin)
            at = time.monotonic() - begin
            if proxy.place is not None:
                self._record_figures(proxy, at, found, loads, records)
            if loads:
                cpu, memory = process_usage(proxy.process.pid)
                records.write(ProcessSample(at, proxy.member, cpu, memory))

    def _record_figures(
        self, proxy: RunningProxy, at: float, found: dict[str, int], loads: bool, records: RecordWriter
    ) -> None:
        epoch = found.get("gossip.position.epoch", 0)
        version = found.get("gossip.position.version", 0)
        if version != proxy.version:
            proxy.version = version
            records.write(ConfigurationSeen(at, proxy.member, epoch, version, 0, [], []))
        alive = found.get("gossip.members.alive", 0)
        if alive != proxy.alive:
            proxy.alive = alive
            records.write(View(at, proxy.member, alive, 0))
        if loads:
            sent = found.get("gossip.bytes.sent", 0)
            received = found.get("gossip.bytes.received", 0)
            records.write(Load(at, proxy.member, sent - proxy.sent, received - proxy.received, 0.0))
            proxy.sent, proxy.received = sent, received


def run_to_end(main: Coroutine[object, object, None]) -> None:
    """As ``asyncio.run``, but what the toy still has to do is left undone and not reported task by task."""
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda loop, context: None)
    loop.run_until_complete(main)


async def client(port: int) -> None:
    """One connection through a proxy, held until it ends."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(open_line())
        while await reader.readline():
            pass
        writer.close()


def free_ports(kind: socket.SocketKind, count: int) -> list[int]:
    """All are held at once while they are sought, so that they differ."""
    held = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for one in held:
        one.bind((LOOPBACK, 0))
    ports = [int(one.getsockname()[1]) for one in held]
    for one in held:
        one.close()
    return ports


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def admin_figures(port: int) -> dict[str, int]:
    """The program's figures without the name's first part, which all of them share."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=CALL_TIMEOUT)
    try:
        connection.request("GET", "/_vars")
        lines = connection.getresponse().read().decode().split()
    finally:
        connection.close()
    found = {}
    for line in lines:
        name, _, rest = line.partition(":")
        found[name.partition(".")[2]] = int(rest.partition("|")[0])
    return found


def process_usage(pid: int) -> tuple[float, int]:
    """Seconds of CPU since its start, and bytes of resident memory."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    return cpu, resident
