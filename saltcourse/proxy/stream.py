"""A TCP connection to a client or backend that distinguishes the three ways in which it can end.

A connection ends by the remote's FIN (our side may still write), by a reset, or by a close on our side.
Tornado's IOStream closes the whole socket on the remote's FIN, which would also end our side. This
module keeps the socket open in that case and writes the remaining data through a new IOStream on it.

Rules that hold for every connection:

1. The bytes that the kernel has accepted (``bytes_sent``) determine whether a request may have run, not the
   order in which coroutines resume.
2. The kernel is asked whether the remote has ended (``has_ended``), because the reading coroutine may be
   scheduled late.
3. A connection is closed in three steps: half-close, read until the remote ends or a time limit passes,
   close. Closing a socket with unread bytes sends a reset, which may overtake the last line written.
4. A remote that sends without end delays no other connection, timer or signal: after ``STEPS_PER_TURN`` lines
   and reads that were available at once, the reading coroutine lets the event loop run. An ``await`` that
   completes at once does not do this.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from typing import cast

from tornado.iostream import IOStream

from saltcourse.codec.endpoint_list import Address
from saltcourse.codec.lines import MAX_LINE_BYTES, LineBuffer
from saltcourse.proxy.errors import ConnectionLostError

MAX_WRITE_BUFFER_BYTES = 64 * 1024  # each write is awaited, so that little data accumulates
# Lines and reads of one connection that are processed before the event loop runs.
STEPS_PER_TURN = 16
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close sends a reset
END_EVENTS = getattr(select, "POLLRDHUP", 0x2000) | select.POLLHUP | select.POLLERR


class _HalfCloseIOStream(IOStream):
    """Keeps its socket open on the remote's FIN, and counts the bytes that the kernel has accepted."""

    remote_ended = False
    bytes_sent = 0
    bytes_queued = 0
    detached_socket: socket.socket | None = None

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        count = super().read_from_fd(buf)
        if count == 0:
            self.remote_ended = True
        return count

    def write_to_fd(self, data: memoryview) -> int:
        count = super().write_to_fd(data)
        self.bytes_sent += count
        return count

    def close_fd(self) -> None:
        if self.remote_ended:
            self.detached_socket, self.socket = self.socket, None  # type: ignore[assignment]
        else:
            super().close_fd()


class SocketStream:
    """A connected socket with its read buffer. Only one coroutine may read; any coroutine may write."""

    open_count = 0  # sockets that are currently open in all streams of this process

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # lines are short and latency matters
        self.buffer = LineBuffer()
        self._closed = False
        self._bytes_sent_before = 0  # bytes sent by the IOStreams that preceded the current one
        self._pending_read: asyncio.Future[int] | None = None  # the read that ``receive`` is waiting for
        self._steps = 0  # lines and reads since the event loop last ran
        self._stream = self._wrap(sock)
        SocketStream.open_count += 1

    @staticmethod
    def _wrap(sock: socket.socket) -> _HalfCloseIOStream:
        return _HalfCloseIOStream(
            sock,
            max_buffer_size=MAX_WRITE_BUFFER_BYTES,
            read_chunk_size=MAX_LINE_BYTES,
            max_write_buffer_size=MAX_WRITE_BUFFER_BYTES,
        )

    @property
    def closed(self) -> bool:
        """Whether our side has closed the connection."""
        return self._closed

    @property
    def bytes_sent(self) -> int:
        """The number of bytes that the kernel has accepted, even if ``write`` has not returned yet."""
        return self._bytes_sent_before + self._stream.bytes_sent

    def has_ended(self) -> bool:
        """Return whether the remote has ended its side or reset the connection, even behind unread bytes.

        The kernel is asked, because the reading coroutine may be scheduled much later on a busy loop.
        """
        return self._closed or self._stream.remote_ended or bool(self._poll(END_EVENTS) & END_EVENTS)

    def has_unread(self) -> bool:
        """Return whether bytes, or an end, have arrived that the reading coroutine has not processed yet.

        They are in the kernel's buffer, or the read is done and its coroutine has not resumed yet.
        """
        if self._closed:
            return False
        if self._pending_read is not None and self._pending_read.done():
            return True
        return bool(self._poll(select.POLLIN) & select.POLLIN)

    def _poll(self, events: int) -> int:
        sock = self._socket()
        if sock is None:
            return select.POLLERR
        poll = select.poll()
        poll.register(sock, events)
        ready = poll.poll(0)
        return ready[0][1] if ready else 0

    async def connect(self, address: Address) -> None:
        """Connect to ``address``; raises ``ConnectionLostError`` if that fails."""
        try:
            await self._stream.connect(address)
        except OSError as error:  # includes StreamClosedError
            raise ConnectionLostError(str(error)) from None

    async def receive(self) -> bool:
        """Read available bytes into the buffer; return False once the remote has ended its side.

        Raises ``ConnectionLostError``.
        """
        await self.yield_if_due()
        stream = self._stream
        try:
            space = cast(bytearray, self.buffer.free_space())
            self._pending_read = cast("asyncio.Future[int]", stream.read_into(space, partial=True))
            if not self._pending_read.done():
                self._steps = 1  # the wait lets the event loop run, and this read is the first step after it
            self.buffer.commit(await self._pending_read)
        except OSError as error:
            if stream.remote_ended:
                return False
            raise ConnectionLostError(str(error)) from None
        finally:
            self._pending_read = None
        return True

    async def next_line(self) -> memoryview | None:
        """Return the next complete line, or None once the remote has ended its side.

        Raises ``ConnectionLostError``, and ``ProtocolError`` for a line that is too long.
        """
        while (line := await self.next_buffered_line()) is None:
            if not await self.receive():
                return None
        return line

    async def next_buffered_line(self) -> memoryview | None:
        """Return the next complete line of the buffer, or None if more bytes are needed.

        Raises ``ConnectionLostError``, and ``ProtocolError`` for a line that is too long.
        """
        await self.yield_if_due()
        return self.buffer.next_line()

    async def yield_if_due(self) -> None:
        """Count one step, and let the event loop run after ``STEPS_PER_TURN`` of them.

        A coroutine that takes lines from ``buffer`` itself calls this before each of them. Raises
        ``ConnectionLostError`` if our side was closed in the meantime.
        """
        self._steps += 1
        if self._steps > STEPS_PER_TURN:
            self._steps = 1
            await asyncio.sleep(0)
            if self._closed:
                raise ConnectionLostError("connection is closed on our side")

    async def write(self, data: memoryview | bytes) -> None:
        """Write ``data`` and return once the kernel has accepted all of it.

        The buffer behind a ``memoryview`` must not change until then. Raises ``ConnectionLostError``.
        """
        if self._closed:
            raise ConnectionLostError("connection is closed on our side")
        stream = self._writable_stream()
        begin = stream.bytes_queued
        stream.bytes_queued += len(data)
        try:
            await stream.write(data)
        except OSError as error:
            if not stream.remote_ended or self._closed:
                raise ConnectionLostError(str(error)) from None
            # The remote ended its side during the write: the IOStream is closed, but the socket is open.
            unsent = memoryview(data)[max(0, stream.bytes_sent - begin) :]
            if len(unsent):
                await self.write(unsent)

    def _writable_stream(self) -> _HalfCloseIOStream:
        if self._stream.detached_socket is not None:
            sock, self._stream.detached_socket = self._stream.detached_socket, None
            self._bytes_sent_before += self._stream.bytes_sent
            self._stream = self._wrap(sock)
        return self._stream

    def _socket(self) -> socket.socket | None:
        return self._stream.detached_socket or self._stream.socket

    def send_eof(self) -> None:
        """Send a FIN; the remote may still send. All writes must have been awaited before."""
        sock = self._socket()
        if sock is not None and not self._closed:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Close the connection with a reset."""
        sock = self._socket()
        if sock is not None and not self._closed:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.close()

    def close(self) -> None:
        """Close the socket; a second call has no effect."""
        SocketStream.open_count -= not self._closed
        self._closed = True
        stream = self._stream
        stream.close()
        if stream.detached_socket is not None:
            stream.detached_socket.close()
            stream.detached_socket = None


async def close_gracefully(stream: SocketStream, reader: asyncio.Task[None] | None, seconds: float) -> None:
    """Half-close, wait up to ``seconds`` for the remote to end its side, then close.

    An immediate close would answer what the remote still sends with a reset, which could overtake the last
    line written. ``reader`` is the task that reads this stream and now discards what it reads.
    """
    stream.send_eof()
    if reader is not None and not reader.done():
        await asyncio.wait([reader], timeout=seconds)
    stream.close()


async def reject_and_close(stream: SocketStream, line: bytes, seconds: float, max_bytes: int) -> None:
    """Write a last line to a client that is not served, and close within ``seconds``.

    Up to ``max_bytes`` that the client sends are read and discarded. After more than that, the rest stays
    unread until ``seconds`` have passed: closing with unread bytes sends a reset, which must not arrive
    before the client could read the line.
    """
    with contextlib.suppress(ConnectionLostError, TimeoutError):
        async with asyncio.timeout(seconds):
            await stream.write(line)
            stream.send_eof()
            stream.buffer.take_remaining()
            while await stream.receive():
                max_bytes -= len(stream.buffer.take_remaining())
                if max_bytes <= 0:
                    await asyncio.sleep(seconds)
    stream.close()


async def write_within(stream: SocketStream, data: bytes, seconds: float) -> bool:
    """Write a last line to a remote that may not be reading; return whether it was written in time."""
    try:
        async with asyncio.timeout(seconds):
            await stream.write(data)
    except (ConnectionLostError, TimeoutError):
        return False
    return True
