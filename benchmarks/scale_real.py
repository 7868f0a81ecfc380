"""Real ``saltcourse serve`` processes that take part in a scale run, with push servers and clients.

One additional process runs without gossip, as the baseline for the cost of gossip. All of them are observed
from outside, through their admin addresses and ``/proc``.
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

CLIENTS_PER_PROXY = 4
CLIENT_CHECK_INTERVAL = 0.5  # seconds between checks for ended client connections
POLL_INTERVAL = 0.5  # seconds between polls of each admin address
LOAD_INTERVAL = 1.0  # seconds between records of bytes, CPU time and memory
ADMIN_TIMEOUT = 1.0  # seconds
STOP_TIMEOUT = 5.0  # seconds; a process that has not exited by then is killed
START_TIMEOUT = 5.0  # seconds until the push servers and discovery listen
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class RunningProxy:
    """A proxy process and the values last read from it; ``spec`` is None for the baseline without gossip."""

    spec: MemberSpec | None
    admin: int
    listen: int
    process: subprocess.Popen[bytes]
    version: int = 0  # of the configuration
    alive: int = 0  # members that it considers alive
    sent: int = 0  # bytes
    received: int = 0  # bytes

    @property
    def member(self) -> int:
        return BASELINE_PROCESS if self.spec is None else self.spec.index


class RealFleet(RealProcesses):
    """Starts, observes and stops the real proxies of one run."""

    def __init__(self) -> None:
        self._topology: Topology | None = None
        self._gossip_addresses: dict[int, Address] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._proxies: list[RunningProxy] = []
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []

    def bind(self, topology: Topology) -> dict[int, Address]:
        self._topology = topology
        ports = free_ports(socket.SOCK_DGRAM, len(topology.real))
        self._gossip_addresses = {
            spec.index: (LOOPBACK, port) for spec, port in zip(topology.real, ports, strict=True)
        }
        return self._gossip_addresses

    def start(self, addresses: tuple[Address, ...], key: bytes, begin: float, records: Path) -> None:
        assert self._topology is not None
        folder = Path(self._folder.name)
        key_file = folder / "key"
        key_file.write_text(key.hex())
        key_file.chmod(0o600)
        ports = free_ports(socket.SOCK_STREAM, 2 * (len(self._topology.real) + 1))
        discovery = self._start_platform()
        specs: list[MemberSpec | None] = [*self._topology.real, None]
        for spec in specs:
            self._proxies.append(
                self._start_proxy(folder, spec, addresses, ports.pop(), ports.pop(), discovery)
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
                proxy.process.wait(STOP_TIMEOUT)
            except subprocess.TimeoutExpired:
                proxy.process.kill()
                proxy.process.wait()
        for thread in self._threads:
            thread.join(STOP_TIMEOUT)
        self._folder.cleanup()

    # ---- starting ------------------------------------------------------------------------------------

    def _start_proxy(
        self,
        folder: Path,
        spec: MemberSpec | None,
        addresses: tuple[Address, ...],
        listen: int,
        admin: int,
        discovery: int,
    ) -> RunningProxy:
        name = "without" if spec is None else spec.name
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
        if spec is not None:
            operator_path = folder / f"{name}.txtpb"
            operator_path.write_text(self._operator_file(spec, addresses))
            command += ["--operator", str(operator_path)]
        environment = os.environ | {"EDGE_CONFIG": "", "PYTHONPATH": str(ROOT)}
        with (folder / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(command, env=environment, cwd=folder, stderr=log)
        return RunningProxy(spec, admin, listen, process)

    def _operator_file(self, spec: MemberSpec, addresses: tuple[Address, ...]) -> str:
        assert self._topology is not None
        lines = [
            f'me: "{spec.name}"',
            f'listen: "{address_text(self._gossip_addresses[spec.index])}"',
            f'region: "{spec.region}"',
            f'zone: "{spec.zone}"',
            'key_file: "key"',
        ]
        control_members = [other for other in self._topology.members if other.role is Role.CONTROL]
        lines += [f'seed: "{address_text(addresses[other.index])}"' for other in control_members]
        lines += [
            f'voter {{ name: "{voter.name}" address: "{address_text(addresses[voter.index])}" }}'
            for voter in self._topology.voters
        ]
        return "gossip {\n  " + "\n  ".join(lines) + "\n}\n"

    def _start_platform(self) -> int:
        """Run push servers, discovery and clients in a thread; return the port of discovery."""
        discovery_ports: list[int] = []
        ready = threading.Event()

        async def run() -> None:
            discovery_ports.append(await Platform({"toy-1": 0, "toy-2": 0}).start(0))
            ready.set()
            await self._hold_clients()

        self._start_thread(run_to_end, run())
        if not ready.wait(START_TIMEOUT):
            raise RuntimeError(f"the toy platform did not start within {START_TIMEOUT:g} s")
        return discovery_ports[0]

    async def _hold_clients(self) -> None:
        tasks: dict[tuple[int, int], asyncio.Task[None]] = {}
        while not self._stop.is_set():
            for proxy in self._proxies:
                for number in range(CLIENTS_PER_PROXY):
                    task = tasks.get((proxy.listen, number))
                    if task is None or task.done():
                        tasks[proxy.listen, number] = asyncio.create_task(hold_connection(proxy.listen))
            await asyncio.sleep(CLIENT_CHECK_INTERVAL)
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)

    # ---- observing -----------------------------------------------------------------------------------

    def _poll(self, begin: float, path: Path) -> None:
        records = RecordWriter(path)
        next_load = begin + LOAD_INTERVAL
        while not self._stop.wait(POLL_INTERVAL):
            record_load = time.monotonic() >= next_load
            for proxy in self._proxies:
                self._observe(proxy, begin, record_load, records)
            if record_load:
                next_load += LOAD_INTERVAL
                records.flush()
        records.close()

    def _observe(self, proxy: RunningProxy, begin: float, record_load: bool, records: RecordWriter) -> None:
        with contextlib.suppress(OSError, ValueError, http.client.HTTPException):
            metrics = admin_metrics(proxy.admin)
            at = time.monotonic() - begin
            if proxy.spec is not None:
                self._record_metrics(proxy, at, metrics, record_load, records)
            if record_load:
                cpu, memory = process_usage(proxy.process.pid)
                records.write(ProcessSample(at, proxy.member, cpu, memory))

    def _record_metrics(
        self,
        proxy: RunningProxy,
        at: float,
        metrics: dict[str, int],
        record_load: bool,
        records: RecordWriter,
    ) -> None:
        epoch = metrics.get("gossip.position.epoch", 0)
        version = metrics.get("gossip.position.version", 0)
        if version != proxy.version:
            proxy.version = version
            records.write(ConfigurationSeen(at, proxy.member, epoch, version, 0, [], []))
        alive = metrics.get("gossip.members.alive", 0)
        if alive != proxy.alive:
            proxy.alive = alive
            records.write(View(at, proxy.member, alive, 0))
        if record_load:
            sent = metrics.get("gossip.bytes.sent", 0)
            received = metrics.get("gossip.bytes.received", 0)
            records.write(Load(at, proxy.member, sent - proxy.sent, received - proxy.received, 0.0))
            proxy.sent, proxy.received = sent, received


def run_to_end(main: Coroutine[object, object, None]) -> None:
    """Run a coroutine in a new event loop, and neither cancel nor report the tasks that it leaves."""
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda loop, context: None)
    loop.run_until_complete(main)


async def hold_connection(port: int) -> None:
    """Open one connection through a proxy and read from it until it is closed."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(open_line())
        while await reader.readline():
            pass
        writer.close()


def free_ports(kind: socket.SocketKind, count: int) -> list[int]:
    """Return different free ports: all sockets are bound before the first one is closed."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for bound in sockets:
        bound.bind((LOOPBACK, 0))
    ports = [int(bound.getsockname()[1]) for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


def address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def admin_metrics(port: int) -> dict[str, int]:
    """Return the metrics of ``/_vars`` by name, without the first component, which all names share."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=ADMIN_TIMEOUT)
    try:
        connection.request("GET", "/_vars")
        lines = connection.getresponse().read().decode().split()
    finally:
        connection.close()
    metrics = {}
    for line in lines:
        name, _, rest = line.partition(":")
        metrics[name.partition(".")[2]] = int(rest.partition("|")[0])
    return metrics


def process_usage(pid: int) -> tuple[float, int]:
    """Return the CPU seconds of a process since its start, and its resident memory in bytes."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    return cpu, resident
