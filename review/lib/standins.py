"""Stand-ins for the outside of a proxy: discovery, push servers, clients, and the platform that starts it.

They follow the operators' protocol pages. Everything is on loopback addresses and the real clock, in one
event loop; only the proxies are processes of their own, started with the ``run`` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 41, 2  # exit codes of a case; run.sh turns 41 into 1
Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter


_ports_given: set[int] = set()


def free_port() -> int:
    """Return a port that is free now, for TCP and UDP, and was not returned before.

    It is below the range from which the system takes the ports of outgoing connections, so that none of these
    takes it before the process that it is meant for binds it.
    """
    while True:
        port = random.SystemRandom().randrange(15_000, 32_000)
        if port not in _ports_given and _is_free(port):
            _ports_given.add(port)
            return port


def _is_free(port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((HOST, port))
    except OSError:
        return False
    return True


class Record:
    """The record of a run: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write a line that also goes to standard output."""
        self.write(text)
        print(text, flush=True)


# ---- discovery --------------------------------------------------------------------------------------


class ServerList:
    """The list of push servers with its versions; agents and discovery services answer from it."""

    def __init__(self) -> None:
        self.version = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed_in: dict[str, int] = {}
        self._changed = asyncio.Event()

    def add(self, entry: dict[str, Any]) -> None:
        """Add an entry before the run."""
        self.entries[entry["id"]] = entry
        self._changed_in[entry["id"]] = self.version

    def set_state(self, names: list[str], state: str) -> None:
        """Change the state of entries in one new version, and answer the open watches."""
        self.version += 1
        for name in names:
            self.entries[name] = self.entries[name] | {"state": state}
            self._changed_in[name] = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [entry for entry in self.entries.values() if entry["state"] != "DELETED"]
        return {"version": self.version, "full": True, "servers": listed}

    async def changes_after(self, version: int, wait: float) -> dict[str, Any]:
        """Return the entries that changed after ``version``, waiting up to ``wait`` seconds for one."""
        if version >= self.version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._changed.wait()
        changed = [entry for name, entry in self.entries.items() if self._changed_in[name] > version]
        return {"version": self.version, "full": False, "servers": changed}


class Discovery:
    """One address of discovery; with pushed lists, the agent on the machine of one proxy."""

    def __init__(self, name: str, servers: ServerList, record: Record) -> None:
        self.name = name
        self.port = 0
        self.calls = 0
        self._servers = servers
        self._record = record

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                request = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.calls += 1
                target = request.split()[1]
                update = await self._answer(target)
                self._record.write(f"{self.name}: {target} -> version {update['version']}")
                body = json.dumps(update).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                if "connection: close" in request.lower():
                    break
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        _, _, query = target.partition("?")
        if not query:
            return self._servers.whole()
        fields = dict(pair.split("=") for pair in query.split("&"))
        return await self._servers.changes_after(int(fields["after"]), int(fields["wait_ms"]) / 1000)


# ---- push servers -----------------------------------------------------------------------------------


class PushServer:
    """A push server. While it drains it turns new connections away with BUSY and keeps those it has."""

    def __init__(self, name: str, zone: str, capacity: int, record: Record) -> None:
        self.name, self.zone = name, zone
        self.port = 0
        self.is_draining = False
        self.opened: list[float] = []  # times at which the last byte of an OPEN line had come
        self.connections: dict[str, Writer] = {}
        self._capacity = capacity
        self._record = record
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in discovery's form."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": self.zone,
            "kind": "std-4",
            "cell": 0,
            "state": "SERVING",
            "weight": 1.0,
            "started_ms": 0,
        }

    def stop(self) -> None:
        """End as a process does: no new connections, and the open ones are ended."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self.connections.values()):
            writer.close()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        request = ""
        with contextlib.suppress(OSError, ValueError, asyncio.CancelledError):
            line = await reader.readline()
            while line in (b"PING\r\n", b"STATS\r\n"):
                load = len(self.connections) / self._capacity
                writer.write(b"PONG" + (b" queue=0,x0=%.3f" % load if line[0] == 83 else b"") + b"\r\n")
                line = await reader.readline()
            if line.startswith(b"OPEN "):
                request = line.split()[1].decode()
                await self._open(request, reader, writer)
        if self.connections.get(request) is writer:
            del self.connections[request]
        writer.close()

    async def _open(self, request: str, reader: Reader, writer: Writer) -> None:
        self.opened.append(self._record.now())
        if self.is_draining or len(self.connections) >= self._capacity:
            reason = "draining" if self.is_draining else "full"
            self._record.write(f"{self.name} ({reason}): OPEN {request} -> BUSY")
            writer.write(b"BUSY\r\n")
            return
        self._record.write(f"{self.name}: OPEN {request} -> UP")
        self.connections[request] = writer
        writer.write(f"UP {secrets.token_hex(4)}\r\n".encode())
        while line := await reader.readline():
            writer.write(b"HEARD " + line)
            await writer.drain()


# ---- clients ----------------------------------------------------------------------------------------


class Client:
    """A client: opens a connection, sends a line every 2 s, and comes again after MOVE or a break.

    ``port`` returns the client port of the proxy that the front deals it to. A request without an answer
    after ``give_up`` seconds ends as ``none``.
    """

    LINE_SECONDS = 2.0

    def __init__(self, port: Callable[[], int], fields: str, give_up: float, record: Record) -> None:
        self.outcomes: list[tuple[float, str, str]] = []  # time, request id, how a connection ended
        self.task: asyncio.Task[None] | None = None
        self._port = port
        self._fields = fields
        self._give_up = give_up
        self._record = record

    def start(self, seconds: float, random_source: random.Random) -> None:
        """Run ``live`` in a task of its own."""
        self.task = asyncio.create_task(self.live(seconds, random_source))

    def leave(self) -> None:
        """Close the connection, if there is one, and come no more."""
        if self.task is not None:
            self.task.cancel()

    async def live(self, seconds: float, random_source: random.Random) -> None:
        """Stay connected for ``seconds``; after a refusal, retry up to twice."""
        end = self._record.now() + seconds
        marks, retries = "", 0
        while self._record.now() < end:
            outcome = await self._connect(end, marks)
            if outcome in ("UP-left", "none", "failed"):
                return
            if outcome.startswith("BUSY"):
                retries += 1
                if retries > 2:
                    return
                marks = ",r=1"
                await asyncio.sleep(int(outcome[5:] or 0) / 1000 + random_source.uniform(0.03, 0.28))
            else:
                marks, retries = ",again=1", 0
                await asyncio.sleep(random_source.uniform(0.15, 1.8))

    async def _connect(self, end: float, marks: str) -> str:
        request = secrets.token_hex(8)
        try:
            reader, writer = await asyncio.open_connection(HOST, self._port())
        except OSError:
            return self._ended(request, "refused by the machine")
        try:
            writer.write(f"OPEN {request} {secrets.token_hex(8)} {self._fields}{marks}\r\n".encode())
            answer = await self._read(reader, self._give_up)
            if not answer.startswith("UP "):
                known = answer.startswith("BUSY") or answer in ("none", "cut")
                return self._ended(request, answer if known else "failed")
            self._record.write(f"client {request}: {answer}")
            return self._ended(request, await self._stay(reader, writer, end))
        finally:
            writer.close()

    async def _stay(self, reader: Reader, writer: Writer, end: float) -> str:
        next_line = self._record.now()
        while (now := self._record.now()) < end:
            if now >= next_line:
                next_line += self.LINE_SECONDS
                writer.write(b"here\r\n")
            line = await self._read(reader, min(next_line, end) - now)
            if line == "MOVE":
                return "UP-moved"
            if line == "cut":
                return "UP-cut"
        return "UP-left"

    @staticmethod
    async def _read(reader: Reader, seconds: float) -> str:
        """Return a line, ``none`` if none came in time, or ``cut`` if the connection has ended."""
        try:
            async with asyncio.timeout(max(0.001, seconds)):
                line = await reader.readline()
        except TimeoutError:
            return "none"
        except OSError:
            return "cut"
        return line.decode(errors="replace").rstrip("\r\n") if line else "cut"

    def _ended(self, request: str, outcome: str) -> str:
        self._record.write(f"client {request}: {outcome}")
        self.outcomes.append((self._record.now(), request, outcome))
        return outcome


# ---- the platform's side of a proxy -----------------------------------------------------------------


class ProxyProcess:
    """A proxy, started from the root of the repository with the ``run`` command of the deploy file."""

    def __init__(
        self, config: dict[str, Any], record: Record, listening: socket.socket | None = None
    ) -> None:
        self.config = config
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._record = record
        self._listening = listening
        self._process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        """The name in the configuration."""
        return str(self.config["name"])

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the process. A listening socket of the platform is inherited as descriptor 3."""
        file = self.folder / "config.json"
        file.write_text(json.dumps(self.config))
        keep = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        environment = keep | {"EDGE_CONFIG": str(file), "TMPDIR": str(self.folder)}
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        descriptors: tuple[int, ...] = ()
        if self._listening is not None:
            descriptors = (self._listening.fileno(),)
            environment["EDGE_LISTEN_FD"] = "3"
            command = f"exec 3<&{descriptors[0]}; {command}"
        with (self.folder / "log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
            )
        self._record.write(f"platform: {self.name} started")

    async def is_ready(self) -> bool:
        """Return whether the admin address says yes."""
        host, _, port = self.config["admin"].rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /_ready HTTP/1.1\r\nHost: proxy\r\n\r\n")
                status = await reader.readline()
                writer.close()
                return b" 200 " in status
        return False

    async def wait_until_ready(self, seconds: float) -> bool:
        """Return whether the process says yes within ``seconds``; return at once if it has ended."""
        end = self._record.now() + seconds
        while self._record.now() < end and self.exit_code is None:
            if await self.is_ready() and self.exit_code is None:
                return True
            await asyncio.sleep(0.05)
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
            self._record.write(f"platform: {number.name} to {self.name}")

    async def end(self, seconds: float) -> None:
        """Wait for the process to end; kill it after ``seconds``."""
        if self._process is None:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()
        self._record.write(f"platform: {self.name} ended with {self._process.returncode}")

    def peak_memory_mb(self) -> int:
        """Return the most memory that the running process has had so far, in megabytes; 0 if it has ended."""
        return round(self._memory_mb("VmHWM:"))

    def anonymous_memory_mb(self) -> float:
        """Return the running process's memory without mapped files, in megabytes; 0 if it has ended."""
        return self._memory_mb("RssAnon:")

    def _memory_mb(self, field: str) -> float:
        if self._process is None or self._process.returncode is not None:
            return 0.0
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
                if line.startswith(field):
                    return int(line.split()[1]) / 1024
        return 0.0

    def log_lines(self) -> list[str]:
        """Return what the process wrote to its log."""
        log = self.folder / "log"
        return log.read_text(errors="replace").splitlines() if log.exists() else []

    def remove_folder(self) -> None:
        """Copy the log, without its summaries, to the record, and remove the temporary folder."""
        for line in self.log_lines():
            if "traffic" not in line:
                self._record.write(f"log of {self.name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


class Front:
    """The front: deals connections to the proxies that answer PING, and notices a silent one after 3.7 s."""

    NOTICE_SECONDS = 3.7  # the longest time for which the front goes on sending to a dead proxy

    def __init__(self, ports: dict[str, int], random_source: random.Random, record: Record) -> None:
        self.longest_silence = dict.fromkeys(ports, 0.0)  # seconds, by proxy
        self._ports = ports
        self._random = random_source
        self._record = record
        self._answered = dict.fromkeys(ports, record.now())
        self._tasks = [asyncio.create_task(self._watch(name)) for name in ports]

    def port(self) -> int:
        """Return the client port of a proxy for the next connection."""
        now = self._record.now()
        serving = [name for name, at in self._answered.items() if now - at < self.NOTICE_SECONDS]
        return self._ports[self._random.choice(serving or list(self._ports))]

    def stop(self) -> None:
        """Stop asking."""
        for task in self._tasks:
            task.cancel()

    async def _watch(self, name: str) -> None:
        while True:
            answered = await self._ping(self._ports[name])
            now = self._record.now()
            if answered:
                self._answered[name] = now
            silence = now - self._answered[name]
            self.longest_silence[name] = max(self.longest_silence[name], silence)
            await asyncio.sleep(0.1)

    @staticmethod
    async def _ping(port: int) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(HOST, port)
                try:
                    writer.write(b"PING\r\n")
                    return await reader.readline() == b"PONG\r\n"
                finally:
                    writer.close()
        return False


def lima_push_settings(proxies: int, index: int) -> dict[str, Any]:
    """Return settings like those of lima-push: discovery is asked, no load reports, no peers."""
    return {
        "balancers": proxies,
        "self_index": index,
        "zone": "lima-1",
        "failure_domains": ["lima-1"],
        "classes": [
            {
                "name": "live-feed",
                "aim": 0.3,
                "give_up": 1.2,
                "repeat": "safe",
                "dedup_scope": "all",
                "window": 5.0,
                "worth": 1.0,
                "late_worth": 0.0,
                "streamed": True,
            }
        ],
        "callers": {"marks_retry": True},
        "discovery": "on_request",
        "extra": {"groups": True, "message_aim": [0.05], "mode": "proxy", "tells_load": True},
        "kinds": ["fast-3c", "std-3c"],
        "limits": {
            "connect_timeout": 0.25,
            "may_cancel": True,
            "may_probe": True,
            "max_retry_after": 0.6,
            "parallel_tries": False,
            "peers": False,
            "retry_after": True,
            "send_cap": 3,
        },
        "obligations": {
            "ask_within": 10.0,
            "drain_grace": 3.0,
            "grace_to_answer": 0.016,
            "overload_factor": 3.0,
            "overload_for": 3.0,
            "start_capacity": 0.3,
            "warm_after": 8.8,
        },
        "report": {"fields": [], "how": "silent"},
        "step": 0.004,
        "weights": "nominal",
    }


def casa_main_settings(proxies: int, index: int) -> dict[str, Any]:
    """Return settings like those of casa-main: pushed lists, probes with load reports, and peers."""
    return {
        "balancers": proxies,
        "self_index": index,
        "zone": f"site-{'abcd'[index % 4]}",
        "failure_domains": ["site-a", "site-b", "site-c", "site-d"],
        "classes": [
            {
                "name": "rider-stream",
                "aim": 0.5,
                "give_up": 3.0,
                "repeat": "safe",
                "dedup_scope": "all",
                "window": 5.0,
                "worth": 1.0,
                "late_worth": 0.0,
                "streamed": True,
            }
        ],
        "callers": {"marks_retry": True},
        "discovery": "pushed",
        "extra": {"groups": True, "message_aim": [0.05], "mode": "proxy", "tells_load": True},
        "kinds": ["std-4", "slow-4"],
        "limits": {
            "connect_timeout": 0.25,
            "may_cancel": True,
            "may_probe": True,
            "max_retry_after": 1.5,
            "parallel_tries": False,
            "peers": True,
            "retry_after": True,
            "send_cap": 5,
        },
        "obligations": {
            "drain_grace": 3.0,
            "grace_to_answer": 0.016,
            "overload_factor": 3.0,
            "overload_for": 2.0,
            "start_capacity": 0.31,
            "warm_after": 7.9,
        },
        "report": {"fields": ["q", "x0"], "how": "pull"},
        "step": 0.004,
        "weights": "live",
    }


async def run_case(record: Record, play: Callable[[Record], Any]) -> int:
    """Play a case and return its exit code; an error of the case itself is no verdict."""
    try:
        return int(await play(record))
    except Exception as error:  # any failure of the stand-ins, such as a port that was taken meanwhile
        record.conclude(f"the case could not run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN
