"""A toy platform to try saltcourse with: two push servers and discovery, or one client.

    python example/toy.py platform      runs push servers on ports 8101 and 8102, and discovery on port 8500
    python example/toy.py reader        opens one connection through the proxy and prints each received line

``example/demo.py`` runs both in one terminal and drains a push server.
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
    """Push servers, and a discovery service that serves the endpoint list and supports long polling.

    ``servers`` maps the names of the push servers to their ports. Port 0 stands for any free port; ``ports``
    has the actual ports after ``start``. An idle connection gets a headline every ``headline_every`` seconds.
    """

    def __init__(self, servers: dict[str, int], headline_every: float = 5.0) -> None:
        self.ports, self.headline_every = dict(servers), headline_every
        self.states = dict.fromkeys(servers, "SERVING")
        self.version = 1
        self.accepted: Counter[str] = Counter()
        self._changed = asyncio.Event()
        self._receipts = itertools.count(1)

    async def start(self, discovery: int) -> int:
        """Start all listeners, with discovery on the given port (0: any); return the port of discovery."""
        for name, port in self.ports.items():
            server = await asyncio.start_server(lambda r, w, n=name: self._push_server(n, r, w), HOST, port)
            self.ports[name] = server.sockets[0].getsockname()[1]
        server = await asyncio.start_server(self._discovery, HOST, discovery)
        return int(server.sockets[0].getsockname()[1])

    def drain(self, name: str) -> None:
        """Mark a push server as draining, and answer the pending long polls of discovery."""
        self.states[name] = "DRAINING"
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _push_server(self, name: str, reader: Reader, writer: Writer) -> None:
        """Serve one connection: echo each line, and send a headline when the connection has been idle."""
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
        """Answer one discovery request with the complete endpoint list.

        A long poll, which names a version and a maximum time to wait, is answered as soon as the list is
        newer, or with an empty update when the time is over.
        """
        request = (await reader.readuntil(b"\r\n\r\n")).decode()
        long_poll = re.search(r"after=(\d+)&wait_ms=(\d+)", request)
        if long_poll and int(long_poll[1]) >= self.version:
            # Cancellation is expected: a long poll may be pending when the program exits.
            with contextlib.suppress(TimeoutError, asyncio.CancelledError):
                await asyncio.wait_for(self._changed.wait(), int(long_poll[2]) / 1000)
        servers: list[dict[str, Any]] = []
        if long_poll is None or int(long_poll[1]) < self.version:
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
    """Return an OPEN line with a random request id and client key."""
    return f"OPEN {secrets.token_hex(8)} {secrets.token_hex(8)} c=live-feed,d=1200\r\n".encode()


async def platform() -> None:
    """Run the push servers and discovery until Ctrl-C."""
    await Platform(SERVER_PORTS).start(DISCOVERY_PORT)
    print("push servers and discovery are listening; stop with Ctrl-C")
    await asyncio.Event().wait()


async def reader() -> None:
    """Open one connection through the proxy and print each received line."""
    stream, writer = await asyncio.open_connection(HOST, PROXY_PORT)
    writer.write(open_line())
    while line := await stream.readline():
        print(line.decode().rstrip())
        if line.startswith(b"UP "):
            writer.write(b"good morning\r\n")
    print("connection closed")


if __name__ == "__main__":
    role = {"platform": platform, "reader": reader}.get("".join(sys.argv[1:]))
    if role is None:
        raise SystemExit(__doc__)
    try:
        asyncio.run(role())
    except ConnectionRefusedError:
        raise SystemExit(f"connection to {HOST}:{PROXY_PORT} refused: start the proxy first") from None
    except KeyboardInterrupt:
        pass
