"""Plays recorded exchanges of bytes against the program, on ephemeral ports, and compares.

A section of a file in ``exchanges/`` begins with ``== title`` and perhaps ``| option=value ...``.
Each line after it is one step of a peer: c1, c2 ... are consumers, p1, p2 ... connections that the
providers s0, s1 ... took, d1, d2 ... calls at discovery.

    c1 > text      sends a line; c1 >> text sends just that. \\r, \\xe9 and the like as in Python
    c1 < text      the next line is this, but for the figure of d where the text has d=*, or of BUSY *
    d1 answers {}  sends that body with an HTTP head; p1 floods: sends 5,000 bytes without a line end
    p1 takes       the next connection has come (p1 takes s0: and at that provider)
    c1 ends, resets, closes, sees end, sees reset
    node ...       something done to the program, see ``Player.node``

Steps are taken in turn and each waits for what it expects, so no verdict hangs on how fast that is.
"""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import struct
from dataclasses import replace
from pathlib import Path
from typing import Any

from saltcourse.balancing.settings import DiscoveryMode, Settings
from saltcourse.codec.endpoint_list import read_endpoint_update
from saltcourse.config import Config, ConfigError, Limits
from saltcourse.proxy.messages import MoveAll
from saltcourse.proxy.server import ProxyServer
from tests.balancing.balancer_host import QUICK, settings

PATIENCE = 10.0  # s for a step; far more than any takes
EXCHANGES = Path(__file__).parent / "exchanges"


def sections() -> dict[str, tuple[dict[str, str], list[str]]]:
    found: dict[str, tuple[dict[str, str], list[str]]] = {}
    steps: list[str] = []
    for path in sorted(EXCHANGES.glob("*.txt")):
        for line in path.read_text().splitlines():
            if line.startswith("== "):
                title, _, options = line[3:].partition(" | ")
                steps = []
                assert title not in found, f"{title} stands twice"
                found[title] = dict(o.split("=") for o in options.split()), steps
            elif line.strip() and not line.startswith("#"):
                steps.append(line)
    return found


def listening() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


class End:
    """One end of a connection, as a peer of the program holds it."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock, self.read = sock, b""

    async def more(self) -> bytes:
        data = await asyncio.get_running_loop().sock_recv(self.sock, 65536)
        self.read += data
        return data

    async def line(self) -> str:
        while b"\r\n" not in self.read:
            assert await self.more(), f"ended after {self.read!r}"
        line, _, self.read = self.read.partition(b"\r\n")
        return line.decode()

    async def send(self, text: str, end: bytes) -> None:
        data = text.encode().decode("unicode_escape").encode("latin-1") + end
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def sees(self, what: str) -> None:
        try:
            while await self.more():
                pass
        except ConnectionResetError:
            assert what == "reset", "a reset, not an end"
        else:
            assert what == "end", "an end, not a reset"

    def resets(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class Player:
    def __init__(self, options: dict[str, str]) -> None:
        numbers = {k: float(v) for k, v in options.items()}
        count = int(numbers.pop("servers", 1))
        dead = int(numbers.pop("dead", 0))
        sockets = int(numbers.pop("sockets", 512))
        self.faults = bool(numbers.pop("faults", 0))
        self.ends: dict[str, End] = {}
        self.files = len(os.listdir("/proc/self/fd"))
        self.doors = {f"s{i}": listening() for i in range(count)}
        self.discovery = listening()
        servers = [self.entry(i, s.getsockname()[1]) for i, s in enumerate(self.doors.values())]
        for i in range(count, count + dead):
            servers.append(self.entry(i, 1))  # nothing listens there
        known = read_endpoint_update({"version": 1, "full": True, "servers": servers})
        self.config = Config(
            "test",
            ("127.0.0.1", 0),
            self.discovery.getsockname(),
            7,
            Limits(1.0, 192, sockets),
            known,
            self.settings(numbers),
            True,
        )
        self.broken = False
        self.life = ProxyServer(self.config, self.reread)

    def reread(self) -> Config:
        if self.broken:
            raise ConfigError("'discovery': missing")
        return replace(self.config, discovery=self.discovery.getsockname())

    @staticmethod
    def settings(changes: dict[str, float]) -> Settings:
        changes = {"connect_timeout": 2.0, "max_attempts": 3} | changes
        asked = changes.pop("asked", 0)
        return settings(
            classes=(QUICK,),
            discovery=DiscoveryMode.POLLED if asked else DiscoveryMode.PUSHED,
            **changes | {"max_attempts": int(changes["max_attempts"])},
        )

    @staticmethod
    def entry(number: int, port: int) -> dict[str, Any]:
        return {"id": f"s{number}", "addr": f"127.0.0.1:{port}", "zone": "z0", "state": "SERVING"}

    async def play(self, steps: list[str]) -> None:
        running = asyncio.create_task(self.life.run())
        while self.life._listener is None:
            await asyncio.sleep(0)
        try:
            for step in steps:
                try:
                    async with asyncio.timeout(PATIENCE):
                        await self.step(step, running)
                except TimeoutError:
                    raise AssertionError(f"nothing came: {step}") from None
                except AssertionError as wrong:
                    raise AssertionError(f"{step}: {wrong}") from None
        finally:
            for end in self.ends.values():
                end.sock.close()
            self.life.leave.set()
            await running
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            for door in (self.discovery, *self.doors.values()):
                door.close()
        assert not self.life.consumers
        await asyncio.sleep(0)
        assert len(os.listdir("/proc/self/fd")) <= self.files, "a descriptor has leaked"

    async def step(self, step: str, running: asyncio.Task[None]) -> None:
        name, what, rest = (step.split(" ", 2) + [""])[:3]
        if name == "node":
            await self.node(what, running)
            return
        if name[0] == "c" and name not in self.ends:
            self.ends[name] = End(socket.create_connection(self.life.address()))
        if what == "takes":
            self.ends[name] = await self.taken(name, rest)
            return
        end = self.ends[name]
        if what == "<":
            line = await end.line()
            seen = re.sub(r"\b(d=|BUSY )\d+", r"\1*", line) if "*" in rest else line
            assert seen == rest, f"got {line!r}"
        elif what in (">", ">>"):
            await end.send(rest, b"\r\n" if what == ">" else b"")
        elif what == "answers":
            await end.send(f"HTTP/1.1 200 OK\\r\\nContent-Length: {len(rest)}\\r\\n\\r\\n{rest}", b"")
        elif what == "floods":
            await end.send("x" * 5000, b"")
        elif what == "sees":
            await end.sees(rest)
            assert not end.read or name[0] == "d", f"unexpected before its end: {end.read!r}"
        elif what == "ends":
            end.sock.shutdown(socket.SHUT_WR)
        elif what == "resets":
            end.resets()
        elif what == "closes":
            end.sock.close()
        else:
            raise ValueError(step)

    async def taken(self, name: str, where: str) -> End:
        loop = asyncio.get_running_loop()
        doors = {"d": [self.discovery]}.get(name[0]) or [s for n, s in self.doors.items() if where in ("", n)]
        tasks = [loop.create_task(loop.sock_accept(door)) for door in doors]
        done, others = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        return End(done.pop().result()[0])

    async def node(self, what: str, running: asyncio.Task[None]) -> None:
        """moves: what the module's Move does to every standing connection. faults: the module raises at
        its next event. leaves: SIGTERM. left: it has exited by itself. reloads: discovery has moved and
        SIGHUP tells; breaks: SIGHUP, but the file is broken."""
        decider = self.life.decider
        if what == "moves":
            decider.tell(MoveAll())
        elif what == "faults":
            decider._balancer.handlers.clear()
        elif what == "leaves":
            self.life.leave.set()
        elif what in ("reloads", "breaks"):
            self.broken = what == "breaks"
            if not self.broken:
                self.discovery.close()
                self.discovery = listening()
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.05 if self.broken else 0)
        elif what == "left":
            await running
        else:
            raise ValueError(what)
