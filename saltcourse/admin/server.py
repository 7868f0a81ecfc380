"""The admin listener: sockets and time only; what a call means is asked of the program.

Answers are owed within a second whatever the clients' side does, so the admin port has its own
listener, its own bound on connections and its own time for a whole call. A caller that holds a
connection without finishing its call is closed after ``CALL_TIME``; when ``MOST_CALLERS`` are open,
the one that has been open longest is shed to make room, for a new caller must not wait on the slow.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

import structlog
from tornado.iostream import IOStream, StreamClosedError

from saltcourse.admin.calls import NO_SUCH_PATH, Answer, Ask, Reader, answer_bytes
from saltcourse.codec.endpoint_list import Address
from saltcourse.proxy.sockets import start_listening

CALL_TIME = 2.0  # s for a whole call; operators' tools send it at once
WRITE_TIME = 0.5  # s for the answer to be taken
MOST_CALLERS = 32  # admin connections open at once
READ_SIZE = 4096
BACKLOG = 64  # callers that wait to be taken; operators' tools call one at a time

log = structlog.get_logger("saltcourse")


class GossipCalls(Protocol):
    """What a member of the fleet answers for."""

    def members(self) -> Answer: ...

    def configuration(self) -> Answer: ...

    async def publish(self, body: bytes) -> Answer:
        """Takes as long as the control members need to agree, or to give up."""


class Operated(Protocol):
    """What the program answers for."""

    def offers(self, ask: Ask) -> bool:
        """Whether it has what is asked for at all."""

    @property
    def gossip_calls(self) -> GossipCalls | None: ...

    def ready(self) -> bool: ...

    def figures_text(self) -> bytes: ...

    def lameduck(self, on: bool) -> bool:
        """True when the program is now as asked."""


class AdminServer:
    def __init__(self, address: Address, program: Operated) -> None:
        self.address, self.program = address, program
        self._listener: socket.socket | None = None
        self._callers: dict[asyncio.Task[None], IOStream] = {}

    def start(self) -> None:
        """OSError when the address cannot be had."""
        self._listener = start_listening(self.address, BACKLOG, self._take)

    def bound(self) -> Address:
        assert self._listener is not None
        host, port = self._listener.getsockname()[:2]
        return host, port

    def stop(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for task in list(self._callers):
            task.cancel()

    def _take(self) -> None:
        for _ in range(16):
            if self._listener is None:
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as wrong:  # short of descriptors: the caller is left in the backlog
                log.warning("admin call not taken", reason=wrong.strerror)
                return
            while len(self._callers) >= MOST_CALLERS:
                oldest = next(iter(self._callers))
                self._callers.pop(oldest).close()
                oldest.cancel()
            sock.setblocking(False)
            stream = IOStream(sock)
            task = asyncio.get_running_loop().create_task(self._serve(stream))
            self._callers[task] = stream
            task.add_done_callback(self._gone)

    def _gone(self, task: asyncio.Task[None]) -> None:
        self._callers.pop(task, None)

    async def _serve(self, stream: IOStream) -> None:
        try:
            reader = Reader()
            asked = await self._read(stream, reader)
            if asked is None:
                return
            answer = asked if isinstance(asked, Answer) else await self._answer(asked, reader.body)
            async with asyncio.timeout(WRITE_TIME):
                await stream.write(answer_bytes(answer))
        except (StreamClosedError, TimeoutError, OSError):
            pass
        finally:
            stream.close()

    @staticmethod
    async def _read(stream: IOStream, reader: Reader) -> Ask | Answer | None:
        """None when the caller left or took too long: nobody waits for an answer then."""
        async with asyncio.timeout(CALL_TIME):
            while True:
                try:
                    data = await stream.read_bytes(READ_SIZE, partial=True)
                except StreamClosedError:
                    data = b""
                asked = reader.feed(data)
                if asked is not None:
                    return asked
                if not data:
                    return None

    async def _answer(self, ask: Ask, body: bytes) -> Answer:
        if not self.program.offers(ask):
            return Answer(404, NO_SUCH_PATH)
        gossip = self.program.gossip_calls
        match ask:
            case Ask.READY:
                return Answer(200, b"yes\n") if self.program.ready() else Answer(503, b"no\n")
            case Ask.VARS:
                return Answer(200, self.program.figures_text())
            case Ask.LAMEDUCK_ON | Ask.LAMEDUCK_OFF:
                on = ask is Ask.LAMEDUCK_ON
                if self.program.lameduck(on):
                    return Answer(200, b"lameduck on\n" if on else b"lameduck off\n")
                return Answer(409, b"the proxy is leaving\n")
            case Ask.GOSSIP_MEMBERS if gossip is not None:
                return gossip.members()
            case Ask.GOSSIP_CONFIGURATION if gossip is not None:
                return gossip.configuration()
            case Ask.GOSSIP_PUBLISH if gossip is not None:
                return await gossip.publish(body)
            case _:
                return Answer(404, NO_SUCH_PATH)
