"""A proxy in its own process, with stand-in backends in the test process; judged from outside alone."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.admin.test_server import values
from tests.proxy.test_process_replacement import admin_answer

Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter
REPOSITORY = Path(__file__).parents[2]
READY_WITHIN_SECONDS = 15.0


@dataclass
class Backend:
    """A backend that answers UP and echoes lines; ``serve`` replaces what it does after its OPEN line."""

    serve: Callable[[Reader, Writer], Awaitable[None]] | None = None
    open_lines: list[bytes] = field(default_factory=list)
    port: int = 0

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=1024)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _accept(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, TimeoutError, asyncio.CancelledError):
            line = await reader.readline()
            if line.startswith(b"OPEN "):
                self.open_lines.append(line)
                await (self.serve or self.echo)(reader, writer)
        writer.close()

    @staticmethod
    async def echo(reader: Reader, writer: Writer) -> None:
        writer.write(b"UP 1\r\n")
        while line := await reader.readline():
            writer.write(line)
            await writer.drain()


class ProxyProcess:
    """A started process of the program, with its addresses."""

    def __init__(self, config: dict[str, Any], path: Path, listener: int | None = None) -> None:
        self.host, port = config["listen"].split(":")
        self.port = int(port)
        self.admin_port = int(config["admin"].split(":")[1])
        path.write_text(json.dumps(config))
        environment = dict(os.environ)
        if listener is not None:
            environment["EDGE_LISTEN_FD"] = str(listener)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "saltcourse", "serve", "--config", str(path)],
            env=environment,
            pass_fds=() if listener is None else (listener,),
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            cwd=REPOSITORY,
        )

    async def ready(self) -> None:
        async with asyncio.timeout(READY_WITHIN_SECONDS):
            while (await asyncio.to_thread(admin_answer, self.admin_port, "/_ready"))[0] != 200:
                assert self.process.poll() is None, "the proxy has ended"
                await asyncio.sleep(0.05)

    def memory_mb(self, entry: str) -> float:
        """Return an entry of the process's status, such as ``VmHWM``, the peak of its resident size."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(entry):
                return int(line.split()[1]) / 1024
        raise AssertionError(f"no {entry}")

    async def client(self, data: bytes = b"") -> tuple[Reader, Writer]:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        writer.write(data)
        return reader, writer

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


def configuration(
    backend: Backend, memory_mb: float = 192, sockets: int = 512, effect: str = "safe"
) -> dict[str, Any]:
    """Return a configuration with one backend; ``effect`` is that of the one request class."""
    entry = {"id": "s1", "state": "SERVING", "addr": f"127.0.0.1:{backend.port}"}
    config = values(known={"version": 1, "full": True, "servers": [entry]})
    config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
    config["settings"]["classes"][0]["repeat"] = effect
    return config


@asynccontextmanager
async def running_process(folder: Path, backend: Backend, **options: Any) -> AsyncIterator[ProxyProcess]:
    server = await backend.start()
    proxy = ProxyProcess(configuration(backend, **options), folder / "config.json")
    try:
        await proxy.ready()
        yield proxy
    finally:
        proxy.end()
        server.close()
