"""The whole program but its command line, in this process, between push servers and clients played by hand.

What a test holds back it lets go by a gate, so that two events meet and nothing is slept for.
When the stand ends it has counted descriptors and tasks: none may be left.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
from types import TracebackType
from typing import Any

from structlog.testing import capture_logs

from saltcourse.balancing.settings import DiscoveryMode, RequestClass
from saltcourse.codec.endpoint_list import read_endpoint_update
from saltcourse.config import Config, Limits
from saltcourse.proxy.client_connection import Consumer
from saltcourse.proxy.server import Phase, ProxyServer
from tests.balancing.balancer_host import QUICK, settings
from tests.proxy.exchange_player import End, listening

TURNS = 60  # of the loop: more than any chain of messages takes that waits for nothing outside


async def turns(count: int = TURNS) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def until(true: Any, seconds: float = 10.0) -> None:
    """Far more time than it takes: a test that runs into it has failed."""
    async with asyncio.timeout(seconds):
        while not true():
            await asyncio.sleep(0.002)


def nobody_came(door: socket.socket) -> bool:
    try:
        door.accept()[0].close()
    except BlockingIOError:
        return True
    return False


def has_left(consumer: Consumer) -> bool:
    """The kernel knows of the client's end; asked here without the program's own help."""
    sock = consumer.peer._socket()
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)  # type: ignore[arg-type]
    return bool(poll.poll(0))


class Stand:
    def __init__(
        self,
        servers: int = 1,
        klass: RequestClass = QUICK,
        sockets: int = 512,
        asked: bool = False,
        **changes: Any,
    ) -> None:
        self.files = len(os.listdir("/proc/self/fd"))
        self.doors = [listening() for _ in range(servers)]
        self.discovery = listening()
        known = read_endpoint_update(
            {"version": 1, "full": True, "servers": [self.entry(i) for i in range(servers)]}
        )
        told = settings(
            **{
                "classes": (klass,),
                "connect_timeout": 2.0,
                "max_attempts": 3,
                "max_retry_after": 0.0,
                "discovery_mode": DiscoveryMode.POLLED if asked else DiscoveryMode.PUSHED,
            }
            | changes
        )
        self.life = ProxyServer(
            Config(
                "test",
                ("127.0.0.1", 0),
                self.discovery.getsockname(),
                7,
                Limits(1.0, 192, sockets),
                known,
                told,
                True,
            )
        )
        self.ends: list[End] = []
        self.logs: Any = None

    def entry(self, number: int, state: str = "SERVING") -> dict[str, Any]:
        port = self.doors[number].getsockname()[1]
        return {"id": f"s{number}", "addr": f"127.0.0.1:{port}", "zone": "z0", "cell": number, "state": state}

    async def __aenter__(self) -> Stand:
        self._capture = capture_logs()
        self.logs = self._capture.__enter__()
        self.tasks = len(asyncio.all_tasks())
        self.running = asyncio.create_task(self.life.run())
        await until(lambda: self.life.phase is Phase.SERVING)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, wrong: BaseException | None, trace: TracebackType | None
    ) -> None:
        for end in self.ends:
            end.sock.close()
        self.life.leave.set()
        await self.running
        own = {self.life.decider.task, self.life.directory.task, *self.life.directory._calls}
        for task in own:  # they run for as long as the program does
            if task is not None:
                task.cancel()
        for door in (self.discovery, *self.doors):
            door.close()
        await turns()
        self._capture.__exit__(kind, wrong, trace)
        if kind is None:
            assert not [e for e in self.logs if e["event"] == "task failed"], "an actor has failed"
            assert not self.life.consumers
            assert len(asyncio.all_tasks()) == self.tasks, "a task has leaked"
            assert len(os.listdir("/proc/self/fd")) <= self.files, "a descriptor has leaked"

    async def client(self, text: str = "") -> End:
        known = set(self.life.consumers)
        end = End(socket.create_connection(self.life.address()))
        self.ends.append(end)
        await until(lambda: self.life.consumers - known)
        end.consumer = next(iter(self.life.consumers - known))  # type: ignore[attr-defined]
        if text:
            await end.send(text, b"\r\n")
        return end

    async def taken(self, server: int = 0) -> End:
        async with asyncio.timeout(10.0):
            sock, _ = await asyncio.get_running_loop().sock_accept(self.doors[server])
        self.ends.append(End(sock))
        return self.ends[-1]

    async def any_taken(self) -> tuple[int, End]:
        found: list[tuple[int, socket.socket]] = []

        def came() -> bool:
            for number, door in enumerate(self.doors):
                try:
                    found.append((number, door.accept()[0]))
                    return True
                except BlockingIOError:
                    continue
            return False

        await until(came)
        number, sock = found[0]
        self.ends.append(End(sock))
        return number, self.ends[-1]
