r"""Plays scripted exchanges of bytes against a proxy on ephemeral ports, and checks what the remotes receive.

A section of a file in ``exchanges/`` begins with ``== title``, optionally followed by
``| option=value ...``. Each further line is one step of a remote: c1, c2 ... are clients, p1, p2 ... are
connections that the backends s0, s1 ... accepted, d1, d2 ... are calls to discovery.

    c1 > text      send a line; c1 >> text sends no line end. \r, \xe9 and the like are escapes as in Python
    c1 < text      expect this line; d=* and BUSY * in the text match any number
    d1 answers {}  send this body in an HTTP response
    p1 floods      send 5,000 bytes without a line end
    p1 accepts     accept the next connection (p1 accepts s0: at that backend)
    c1 ends        half-close; c1 resets, c1 closes: close with a reset, close
    c1 sees end    read to the end and expect a FIN; c1 sees reset: expect a reset
    proxy ...      an action on the proxy, see ``ExchangePlayer.act_on_proxy``

The steps run in sequence and each waits for what it expects, so that results do not depend on timing.

Options: ``backends``, ``unreachable`` (backends where nothing listens), ``sockets`` (descriptor limit),
``polled`` (discovery is watched), the time limits of ``test_exchanges``, and any setting by its name.
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

from saltcourse.balancing.events import Event
from saltcourse.balancing.settings import DiscoveryMode, Settings
from saltcourse.codec.endpoint_list import read_endpoint_update
from saltcourse.config import Config, ConfigError, Limits
from saltcourse.proxy.messages import StartDraining
from saltcourse.proxy.server import Phase, ProxyServer
from tests.balancing.balancer_host import QUICK, settings

STEP_TIMEOUT_SECONDS = 10.0  # far more than any step takes
EXCHANGES = Path(__file__).parent / "exchanges"


def sections() -> dict[str, tuple[dict[str, str], list[str]]]:
    """Return the options and steps of each section, by title."""
    by_title: dict[str, tuple[dict[str, str], list[str]]] = {}
    steps: list[str] = []
    for path in sorted(EXCHANGES.glob("*.txt")):
        for line in path.read_text().splitlines():
            if line.startswith("== "):
                title, _, options = line[3:].partition(" | ")
                steps = []
                assert title not in by_title, f"{path.name}: duplicate section title {title!r}"
                by_title[title] = dict(option.split("=") for option in options.split()), steps
            elif line.strip() and not line.startswith("#"):
                steps.append(line)
    return by_title


def listen() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


class RemoteConnection:
    """The remote end of a connection with the proxy: a client's, a backend's or discovery's."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock, self.received = sock, b""

    async def receive(self) -> bytes:
        data = await asyncio.get_running_loop().sock_recv(self.sock, 65536)
        self.received += data
        return data

    async def line(self) -> str:
        while b"\r\n" not in self.received:
            assert await self.receive(), f"connection ended after {self.received!r}, expected a line"
        line, _, self.received = self.received.partition(b"\r\n")
        return line.decode()

    async def send(self, text: str, end: bytes) -> None:
        data = text.encode().decode("unicode_escape").encode("latin-1") + end
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def sees(self, expected: str) -> None:
        """Read to the end of the connection, and check that it is ``expected``: "end" (FIN) or "reset"."""
        try:
            while await self.receive():
                pass
        except ConnectionResetError:
            assert expected == "reset", "got a reset, expected a FIN"
        else:
            assert expected == "end", "got a FIN, expected a reset"

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class FaultyBalancer:
    """Replaces the proxy's balancer and raises an exception on every event."""

    def handle(self, now: float, event: Event) -> list[Any]:
        raise RuntimeError("a fault in the balancer")

    def backend_reports(self, now: float) -> list[Any]:
        return []

    is_failing = False


class ExchangePlayer:
    def __init__(self, options: dict[str, str]) -> None:
        numbers = {name: float(value) for name, value in options.items()}
        backends = int(numbers.pop("backends", 1))
        unreachable = int(numbers.pop("unreachable", 0))
        sockets = int(numbers.pop("sockets", 512))
        self.remotes: dict[str, RemoteConnection] = {}
        self.open_files = len(os.listdir("/proc/self/fd"))
        self.backends = {f"s{i}": listen() for i in range(backends)}
        self.discovery = listen()
        entries = [self.entry(i, s.getsockname()[1]) for i, s in enumerate(self.backends.values())]
        for i in range(backends, backends + unreachable):
            entries.append(self.entry(i, 1))  # nothing listens there
        known = read_endpoint_update({"version": 1, "full": True, "servers": entries})
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
        self.config_is_broken = False
        self.server = ProxyServer(self.config, self.reread)

    def reread(self) -> Config:
        if self.config_is_broken:
            raise ConfigError("'discovery': missing")
        return replace(self.config, discovery=self.discovery.getsockname())

    @staticmethod
    def settings(changes: dict[str, float]) -> Settings:
        changes = {"connect_timeout": 2.0, "max_attempts": 3} | changes
        polled = changes.pop("polled", 0)
        return settings(
            classes=(QUICK,),
            discovery_mode=DiscoveryMode.POLLED if polled else DiscoveryMode.PUSHED,
            **changes | {"max_attempts": int(changes["max_attempts"])},
        )

    @staticmethod
    def entry(number: int, port: int) -> dict[str, Any]:
        return {"id": f"s{number}", "addr": f"127.0.0.1:{port}", "zone": "z0", "state": "SERVING"}

    async def play(self, steps: list[str]) -> None:
        running = asyncio.create_task(self.server.run())
        while self.server.phase is Phase.STARTING:
            await asyncio.sleep(0)
        try:
            for step in steps:
                try:
                    async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
                        await self.step(step, running)
                except TimeoutError:
                    raise AssertionError(f"{step}: timed out after {STEP_TIMEOUT_SECONDS} s") from None
                except AssertionError as error:
                    raise AssertionError(f"{step}: {error}") from None
        finally:
            for remote in self.remotes.values():
                remote.sock.close()
            self.server.stop_requested.set()
            await running
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            for listener in (self.discovery, *self.backends.values()):
                listener.close()
        assert not self.server.clients
        await asyncio.sleep(0)
        assert len(os.listdir("/proc/self/fd")) <= self.open_files, "a descriptor has leaked"

    async def step(self, step: str, running: asyncio.Task[None]) -> None:
        name, verb, rest = (step.split(" ", 2) + [""])[:3]
        if name == "proxy":
            await self.act_on_proxy(f"{verb} {rest}".strip(), running)
            return
        if name[0] == "c" and name not in self.remotes:
            self.remotes[name] = RemoteConnection(socket.create_connection(self.server.address()))
        if verb == "accepts":
            self.remotes[name] = await self.accept(name, rest)
            return
        remote = self.remotes[name]
        if verb == "<":
            line = await remote.line()
            seen = re.sub(r"\b(d=|BUSY )\d+", r"\1*", line) if "*" in rest else line
            assert seen == rest, f"got {line!r}"
        elif verb in (">", ">>"):
            await remote.send(rest, b"\r\n" if verb == ">" else b"")
        elif verb == "answers":
            await remote.send(f"HTTP/1.1 200 OK\\r\\nContent-Length: {len(rest)}\\r\\n\\r\\n{rest}", b"")
        elif verb == "floods":
            await remote.send("x" * 5000, b"")
        elif verb == "sees":
            await remote.sees(rest)
            assert not remote.received or name[0] == "d", f"unexpected data: {remote.received!r}"
        elif verb == "ends":
            remote.sock.shutdown(socket.SHUT_WR)
        elif verb == "resets":
            remote.reset()
        elif verb == "closes":
            remote.sock.close()
        else:
            raise ValueError(step)

    async def accept(self, name: str, backend: str) -> RemoteConnection:
        """Accept the next connection at discovery, at ``backend``, or at any backend if it is empty."""
        loop = asyncio.get_running_loop()
        if name[0] == "d":
            listeners = [self.discovery]
        else:
            listeners = [sock for each, sock in self.backends.items() if backend in ("", each)]
        tasks = [loop.create_task(loop.sock_accept(listener)) for listener in listeners]
        done, others = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        return RemoteConnection(done.pop().result()[0])

    async def act_on_proxy(self, action: str, running: asyncio.Task[None]) -> None:
        """Perform an action on the proxy.

        migrates: migrate all established connections. faults: the balancer raises an exception on its next
        event. leaves: request the shutdown, as SIGTERM does. has exited: wait for its exit. reloads: SIGHUP
        after discovery has moved to another address. breaks: SIGHUP with an invalid configuration file.
        """
        dispatcher = self.server.dispatcher
        if action == "migrates":
            dispatcher.send(StartDraining())
        elif action == "faults":
            dispatcher._balancer = FaultyBalancer()  # type: ignore[assignment]
        elif action == "leaves":
            self.server.stop_requested.set()
        elif action in ("reloads", "breaks"):
            self.config_is_broken = action == "breaks"
            if not self.config_is_broken:
                self.discovery.close()
                self.discovery = listen()
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.05 if self.config_is_broken else 0)
        elif action == "has exited":
            await running
        else:
            raise ValueError(action)
