"""The admin server: its sockets and timeouts.

Operators must get a response within a second regardless of the load from clients, so the admin server has its
own listener, a limit on its connections and a timeout for each request. A connection without a complete
request is closed after ``REQUEST_TIMEOUT_SECONDS``. If ``MAX_CONNECTIONS`` are open, the oldest is closed for
a new one, so that slow callers do not delay others.
"""

from __future__ import annotations

import asyncio
import socket

import structlog
from tornado.iostream import IOStream, StreamClosedError

from saltcourse.admin.commands import AdminTarget, execute
from saltcourse.admin.requests import Command, RequestReader
from saltcourse.admin.responses import Response, encode_response
from saltcourse.codec.endpoint_list import Address
from saltcourse.proxy.sockets import start_listening

REQUEST_TIMEOUT_SECONDS = 2.0  # time to receive a complete request; operators' tools send it at once
WRITE_TIMEOUT_SECONDS = 0.5
MAX_CONNECTIONS = 32
READ_BYTES = 4096
BACKLOG = 64  # connections waiting to be accepted; operators' tools open one at a time
MAX_ACCEPTS_PER_EVENT = 16  # bounds the time that a burst of connections blocks the event loop

log = structlog.get_logger("saltcourse")


class AdminServer:
    """Listens on ``address`` and executes commands on ``target``."""

    def __init__(self, address: Address, target: AdminTarget) -> None:
        self._address = address
        self._target = target
        self._listener: socket.socket | None = None
        self._connections: dict[asyncio.Task[None], IOStream] = {}  # oldest first

    def start(self) -> None:
        """Start to listen. Raises ``OSError`` if the address cannot be bound."""
        self._listener = start_listening(self._address, BACKLOG, self._accept_waiting)

    def bound_address(self) -> Address:
        """Return the bound address, with the port chosen by the system if port 0 was configured."""
        assert self._listener is not None
        host, port = self._listener.getsockname()[:2]
        return host, port

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for task in list(self._connections):
            task.cancel()

    def _accept_waiting(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if self._listener is None:
                return
            try:
                connection, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:  # out of file descriptors: the connection stays in the backlog
                log.warning("admin connection not accepted", reason=error.strerror)
                return
            self._close_oldest()
            self._start_serving(connection)

    def _close_oldest(self) -> None:
        """Close the oldest connections until one more is within the limit."""
        while len(self._connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            self._connections.pop(oldest).close()
            oldest.cancel()

    def _start_serving(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        stream = IOStream(connection)
        task = asyncio.get_running_loop().create_task(self._serve(stream))
        self._connections[task] = stream
        task.add_done_callback(self._remove_connection)

    def _remove_connection(self, task: asyncio.Task[None]) -> None:
        self._connections.pop(task, None)

    async def _serve(self, stream: IOStream) -> None:
        """Answer the request of a connection; a caller that disconnects or times out gets no response."""
        try:
            reader = RequestReader()
            request = await self._read_request(stream, reader)
            if isinstance(request, Command):
                response = await execute(request, reader.body, self._target)
            else:
                response = request
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                await stream.write(encode_response(response))
        except (StreamClosedError, TimeoutError, OSError):
            pass
        finally:
            stream.close()

    @staticmethod
    async def _read_request(stream: IOStream, reader: RequestReader) -> Command | Response:
        """Read a complete request. Raises ``TimeoutError`` after ``REQUEST_TIMEOUT_SECONDS``."""
        async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
            while True:
                try:
                    data = await stream.read_bytes(READ_BYTES, partial=True)
                except StreamClosedError:
                    data = b""
                request = reader.feed(data)
                if request is not None:
                    return request
