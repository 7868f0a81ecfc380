"""What the cases 6 to 10 share: the record, the program's processes, and the stand-ins of the platform.

It uses the standard library alone. Every address is a loopback address, every port is free when it is taken,
and every process that a case starts is ended with its process group, also when the case fails.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TIME_LIMIT_SECONDS = 110.0
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
# Makes the descriptor that the first argument names descriptor 3, and executes the other arguments.
AS_DESCRIPTOR_3 = "import os, sys; os.dup2(int(sys.argv[1]), 3); os.execv(sys.argv[2], sys.argv[2:])"
Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter


class CannotRunError(Exception):
    """The case could not be played, so that it says nothing about the rule."""


def free_port() -> int:
    """Return a port that is free for TCP and UDP, below the range of outgoing connections."""
    end = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    while True:
        port = 15_000 + int.from_bytes(os.urandom(4), "big") % (end - 15_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        return port


class Case:
    """One run of a case: its record, its temporary folder and its processes."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[Process] = []
        self._begin = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self.log(f"TROUBLE={int(self.trouble)}")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._begin

    def log(self, text: str) -> None:
        """Write one line to the record."""
        print(f"{self.now():8.3f} {text}", file=self._record, flush=True)

    def write_config(self, name: str, values: dict[str, Any]) -> Path:
        """Write a configuration, and replace one of this name at once."""
        path = self.folder / name
        new = self.folder / f"{name}.new"
        new.write_text(json.dumps(values))
        new.replace(path)
        return path

    def start(
        self, name: str, environment: dict[str, str], arguments: str = "", listener: int | None = None
    ) -> Process:
        """Start the program by ``run`` of the deploy file; ``listener`` becomes its descriptor 3."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        command = f"{run} {arguments}".strip()
        shell = ["/bin/sh", "-c", command]
        passed: tuple[int, ...] = ()
        if listener is not None:
            shell = [sys.executable, "-c", AS_DESCRIPTOR_3, str(listener), *shell]
            passed = (listener,)
        output = self.folder / f"{name}-{len(self.processes)}.log"
        kept = {
            key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "SALTCOURSE"))
        }
        started = subprocess.Popen(
            shell,
            cwd=ROOT,
            env=kept | environment,
            stdin=subprocess.DEVNULL,
            stdout=output.open("ab"),
            stderr=subprocess.STDOUT,
            start_new_session=True,
            pass_fds=passed,
        )
        process = Process(name, started, output)
        self.processes.append(process)
        self.log(f"start {name}: pid {started.pid}: {command}")
        return process

    def close(self) -> None:
        """End all processes, add the ends of their logs to the record, and remove the temporary folder."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            self.log(f"log of {process.name} ({process.popen.pid}), exit {process.popen.returncode}:")
            for line in process.output.read_text(errors="replace").splitlines()[-40:]:
                self.log(f"    {line}")
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


class Process:
    """A process of the program, the leader of its own process group."""

    def __init__(self, name: str, popen: subprocess.Popen[bytes], output: Path) -> None:
        self.name, self.popen, self.output = name, popen, output

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.popen.poll() is not None

    def signal(self, number: int) -> None:
        """Send a signal to the process alone."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and all of its group."""
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.popen.pid, signal.SIGKILL)
        self.popen.wait()


def admin(port: int, path: str) -> int:
    """Call the admin address and return the status, 0 if there is no answer."""
    try:
        with urllib.request.urlopen(f"http://{HOST}:{port}{path}", timeout=1.0) as answer:
            return int(answer.status)
    except urllib.error.HTTPError as error:
        return int(error.code)
    except OSError:
        return 0


async def until(condition: Callable[[], bool], seconds: float, every: float = 0.02) -> bool:
    """Wait until a condition holds; return False if it does not within ``seconds``."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= end:
            return False
        await asyncio.sleep(every)
    return True


async def pong(port: int) -> bool:
    """Return whether the proxy answers PING with PONG."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(b"PING\r\n")
                return await reader.readline() == b"PONG\r\n"
            finally:
                writer.close()
    return False


async def until_pong(case: Case, process: Process, port: int, seconds: float = 15.0) -> None:
    """Wait until a proxy that was started serves; raise ``CannotRunError`` if it does not."""
    end = time.monotonic() + seconds
    while not await pong(port):
        if process.ended or time.monotonic() > end:
            raise CannotRunError(f"{process.name} does not serve")
        await asyncio.sleep(0.05)
    case.log(f"{process.name} answers PING with PONG")


class Discovery:
    """Discovery: the whole list, and a watch that waits for changes.

    ``delay`` is the time (s) for which each call waits for its turn. ``told`` gets the time at which a list
    or a change was written.
    """

    def __init__(self, case: Case, name: str, servers: dict[str, dict[str, Any]], version: int = 1) -> None:
        self.case, self.name, self.servers = case, name, servers
        self.version = version
        self.delay = 0.0
        self.port = 0
        self._changed_at = dict.fromkeys(servers, version)
        self._change = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, free_port())
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Take no new connection; the open ones go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_open_calls(self) -> None:
        """Close the connections of all calls that have no answer yet."""
        for writer in self._writers:
            writer.close()

    def change(self, server: str, state: str) -> None:
        """Change the state of a push server."""
        self.version += 1
        self.servers[server]["state"] = state
        self._changed_at[server] = self.version
        self.case.log(f"{self.name}: {server} is {state} from version {self.version}")
        self._change.set()
        self._change = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            path = request.split(" ")[1]
            self.case.log(f"{self.name}: call {path}")
            if self.delay:
                await asyncio.sleep(self.delay)
            answer = await self._answer(path)
            body = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
            writer.write(b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
            gone = reader.at_eof()
            await writer.drain()
            states = [f"{entry['id']}={entry['state']}" for entry in answer["servers"]]
            end = " (the caller had gone)" if gone else ""
            self.case.log(f"{self.name}: answered {path}: version {answer['version']}, {states}{end}")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, path: str) -> dict[str, Any]:
        watch = re.search(r"after=(\d+)&wait_ms=(\d+)", path)
        if watch is None:
            return self.snapshot()
        after = int(watch[1])
        if after >= self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._change.wait(), int(watch[2]) / 1000)
        changed = [entry for name, entry in self.servers.items() if self._changed_at[name] > after]
        return {"version": self.version, "full": False, "servers": changed}


def entry(name: str, port: int, **fields: Any) -> dict[str, Any]:
    """Return the entry of a push server in the list of discovery."""
    values: dict[str, Any] = {
        "id": name,
        "addr": f"{HOST}:{port}",
        "zone": "",
        "kind": "std",
        "cell": 0,
        "state": "SERVING",
        "weight": 1.0,
        "started_ms": 0,
    }
    return values | fields


class PushServer:
    """A sound push server: it answers OPEN with UP, echoes lines, and turns away new clients in a drain."""

    def __init__(self, case: Case, name: str) -> None:
        self.case, self.name = case, name
        self.port = 0
        self.draining = False
        self.opens: list[tuple[float, str]] = []  # time of the first byte (s), id of the request

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, free_port())
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            line = await reader.readline()
            if line == b"PING\r\n":
                writer.write(b"PONG\r\n")
            elif line.startswith(b"OPEN "):
                await self._open(line, reader, writer)
        writer.close()

    async def _open(self, line: bytes, reader: Reader, writer: Writer) -> None:
        request = line.split(b" ")[1].decode()
        self.opens.append((self.case.now(), request))
        if self.draining:
            self.case.log(f"{self.name}: OPEN {request}, turned away with BUSY: draining")
            writer.write(b"BUSY\r\n")
            return
        self.case.log(f"{self.name}: OPEN {request}, UP")
        writer.write(f"UP {self.name}-{request}\r\n".encode())
        while line := await reader.readline():
            writer.write(line)
            await writer.drain()


def run_case(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit with 1 if ``play`` says that the rule was broken, 0 if it held, 2 otherwise."""
    case = Case(folder)
    status = COULD_NOT_RUN

    def end(number: int, _: object) -> None:
        raise CannotRunError(f"ended by signal {number}")

    signal.signal(signal.SIGTERM, end)
    try:
        status = BROKEN if asyncio.run(_limited(case, play)) else HELD
    except (CannotRunError, OSError, TimeoutError) as error:
        case.log(f"could not run: {type(error).__name__} {error}")
    finally:
        result = {BROKEN: "the rule was broken", HELD: "the rule held", COULD_NOT_RUN: "could not run"}[
            status
        ]
        case.log(f"result: {result} (exit {status})")
        case.close()
        print(f"{folder.name}: {result}", flush=True)
        os._exit(status)  # without the complaints of connections that are still open


async def _limited(case: Case, play: Callable[[Case], Awaitable[bool]]) -> bool:
    async with asyncio.timeout(TIME_LIMIT_SECONDS):
        return await play(case)
