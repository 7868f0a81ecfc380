"""A toy platform to try saltcourse with: two push servers and discovery, or one reader.

    python example/toy.py platform      push servers on 8101 and 8102, discovery on 8500
    python example/toy.py reader        opens one connection through the proxy and prints what comes

``example/demo.py`` plays both in one terminal, with a push server that drains.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import re
import secrets
import sys
from collections import Counter
from typing import Any

HOST = "127.0.0.1"
PROXY_PORT = 8081
DISCOVERY_PORT = 8500
SERVER_PORTS = {"toy-1": 8101, "toy-2": 8102}
Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter


class Platform:
    """Push servers on their ports (0: any) and the list of them, with versions and watches."""

    def __init__(self, servers: dict[str, int], headline_every: float = 5.0) -> None:
        self.ports, self.headline_every = dict(servers), headline_every
        self.states = dict.fromkeys(servers, "SERVING")
        self.version = 1
        self.accepted: Counter[str] = Counter()
        self._changed = asyncio.Event()
        self._receipts = itertools.count(1)

    async def start(self, discovery: int) -> int:
        """Start all listeners; returns discovery's port."""
        for name, port in self.ports.items():
            server = await asyncio.start_server(lambda r, w, n=name: self._push_server(n, r, w), HOST, port)
            self.ports[name] = server.sockets[0].getsockname()[1]
        server = await asyncio.start_server(self._discovery, HOST, discovery)
        return int(server.sockets[0].getsockname()[1])

    def drain(self, name: str) -> None:
        """Tell discovery's watches that a push server drains."""
        self.states[name] = "DRAINING"
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _push_server(self, name: str, reader: Reader, writer: Writer) -> None:
        """Accept a connection, answer each line at once and send a headline now and then."""
        first = await reader.readline()
        if not first.startswith(b"OPEN "):
            writer.close()
            return
        self.accepted[name] += 1
        writer.write(b"UP %d from %s\r\n" % (next(self._receipts), name.encode()))
        while not writer.is_closing():
            try:
                line = await asyncio.wait_for(reader.readline(), self.headline_every)
            except TimeoutError:
                writer.write(b"HEADLINE nothing has happened in Lima\r\n")
                continue
            except ConnectionError:
                return
            if not line:
                writer.close()
            writer.write(b"HEARD " + line)

    async def _discovery(self, reader: Reader, writer: Writer) -> None:
        """Answer with the whole endpoint list, at once or, to a watch, as soon as there is a newer one."""
        request = (await reader.readuntil(b"\r\n\r\n")).decode()
        watch = re.search(r"after=(\d+)&wait_ms=(\d+)", request)
        if watch and int(watch[1]) >= self.version:
            # Cancelled when the toy ends: a watch that waits then is nobody's error.
            with contextlib.suppress(TimeoutError, asyncio.CancelledError):
                await asyncio.wait_for(self._changed.wait(), int(watch[2]) / 1000)
        servers: list[dict[str, Any]] = []
        if watch is None or int(watch[1]) < self.version:
            servers = [
                {
                    "id": name,
                    "addr": f"{HOST}:{port}",
                    "zone": "",
                    "kind": "toy",
                    "cell": 0,
                    "state": self.states[name],
                    "weight": 1.0,
                    "started_ms": 0,
                }
                for name, port in self.ports.items()
            ]
        body = json.dumps({"version": self.version, "full": bool(servers), "servers": servers}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()


def open_line() -> bytes:
    """An OPEN line with a new id and key."""
    return f"OPEN {secrets.token_hex(8)} {secrets.token_hex(8)} c=live-feed,d=1200\r\n".encode()


async def platform() -> None:
    """Run the push servers and discovery until Ctrl-C."""
    await Platform(SERVER_PORTS).start(DISCOVERY_PORT)
    print("push servers and discovery are up; end with Ctrl-C")
    await asyncio.Event().wait()


async def reader() -> None:
    """Open one connection and print what comes."""
    stream, writer = await asyncio.open_connection(HOST, PROXY_PORT)
    writer.write(open_line())
    while line := await stream.readline():
        print(line.decode().rstrip())
        if line.startswith(b"UP "):
            writer.write(b"good morning\r\n")
    print("the connection has ended")


if __name__ == "__main__":
    role = {"platform": platform, "reader": reader}.get("".join(sys.argv[1:]))
    if role is None:
        raise SystemExit(__doc__)
    try:
        asyncio.run(role())
    except ConnectionRefusedError:
        raise SystemExit(f"nothing listens on {HOST}:{PROXY_PORT}: start the proxy first") from None
    except KeyboardInterrupt:
        pass
