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

HOST, PROXY, DISCOVERY, SERVERS = "127.0.0.1", 8081, 8500, {"toy-1": 8101, "toy-2": 8102}
Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter


class Platform:
    """Push servers on their ports (0: any) and the list of them, with versions and watches."""

    def __init__(self, servers: dict[str, int], headline_every: float = 5.0) -> None:
        self.ports, self.headline_every = dict(servers), headline_every
        self.states = dict.fromkeys(servers, "SERVING")
        self.version = 1
        self.taken: Counter[str] = Counter()
        self._changed = asyncio.Event()
        self._receipts = itertools.count(1)

    async def start(self, discovery: int) -> int:
        """All of it; returns discovery's port."""
        for name, port in self.ports.items():
            server = await asyncio.start_server(lambda r, w, n=name: self._push_server(n, r, w), HOST, port)
            self.ports[name] = server.sockets[0].getsockname()[1]
        server = await asyncio.start_server(self._discovery, HOST, discovery)
        return int(server.sockets[0].getsockname()[1])

    def drain(self, name: str) -> None:
        self.states[name] = "DRAINING"
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _push_server(self, name: str, reader: Reader, writer: Writer) -> None:
        """Takes a connection, answers each line at once and sends a headline now and then."""
        first = await reader.readline()
        if not first.startswith(b"OPEN "):
            writer.close()
            return
        self.taken[name] += 1
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
        """The whole list, at once or as soon as there is a newer one."""
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
    return f"OPEN {secrets.token_hex(8)} {secrets.token_hex(8)} c=live-feed,d=1200\r\n".encode()


async def platform() -> None:
    await Platform(SERVERS).start(DISCOVERY)
    print("push servers and discovery are up; end with Ctrl-C")
    await asyncio.Event().wait()


async def reader() -> None:
    stream, writer = await asyncio.open_connection(HOST, PROXY)
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
        raise SystemExit(f"nothing listens on {HOST}:{PROXY}: start the proxy first") from None
    except KeyboardInterrupt:
        pass
