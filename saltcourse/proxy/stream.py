"""A TCP connection to a client or backend, with the three ways of ending told apart.

An end is a FIN (the other direction may go on), a reset, or a close on our side. IOStream closes the whole
socket on the remote's FIN, so that the other direction would be cut. Here the socket is kept then, and what
still has to be written goes through a fresh IOStream on it.

Rules that hold for every connection:

1. "May the request have run?" is answered by the bytes that the kernel took (``bytes_sent``), not by which
   coroutine resumed first.
2. "Is the client there?" is asked of the kernel (``has_ended``), for the coroutine that reads may learn of an
   end late.
3. An end goes in order: half-close, read to the remote's end for a bounded time, close. A close over unread
   bytes is a reset and may overtake the last line written.
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

MAX_WRITE_BUFFER_BYTES = 64 * 1024  # writers await each write, so little gathers
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER: the close is a reset
END_EVENTS = getattr(select, "POLLRDHUP", 0x2000) | select.POLLHUP | select.POLLERR


class _HalfCloseIOStream(IOStream):
    """Keeps its socket at the remote's FIN, and counts the bytes that the kernel has taken."""

    remote_ended = False
    bytes_sent = 0
    bytes_queued = 0
    kept_socket: socket.socket | None = None

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
            self.kept_socket, self.socket = self.socket, None  # type: ignore[assignment]
        else:
            super().close_fd()


class SocketStream:
    """A socket and the buffer that it is read into. One coroutine reads; any may write."""

    open_count = 0  # sockets that all streams of this process hold now

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # lines are small and wanted at once
        self.buffer = LineBuffer()
        self._closed = False
        self._bytes_sent_before = 0  # by the IOStreams before the present one
        self._pending_read: asyncio.Future[int] | None = None  # the read that ``receive`` waits for
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
        """Whether our side has closed it."""
        return self._closed

    @property
    def bytes_sent(self) -> int:
        """Bytes that the kernel has taken; whoever waits in ``write`` may resume later, or never."""
        return self._bytes_sent_before + self._stream.bytes_sent

    def has_ended(self) -> bool:
        """The remote has ended its side or reset the connection, even if that waits unread behind bytes.

        Asked of the kernel: the coroutine that reads may only learn of it after much else that this program
        has to do.
        """
        return self._closed or self._stream.remote_ended or bool(self._poll(END_EVENTS) & END_EVENTS)

    def has_unread(self) -> bool:
        """Bytes, or an end, have come that the coroutine that reads has not seen yet.

        They wait with the kernel, or the read is done and its coroutine has not had its turn.
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
        found = poll.poll(0)
        return found[0][1] if found else 0

    async def connect(self, address: Address) -> None:
        """Raises ``ConnectionLostError`` when the connection cannot be made."""
        try:
            await self._stream.connect(address)
        except OSError as error:  # StreamClosedError is one
            raise ConnectionLostError(str(error)) from None

    async def receive(self) -> bool:
        """Read what is there into the buffer; False once the remote has ended its side.

        Raises ``ConnectionLostError``.
        """
        stream = self._stream
        try:
            space = cast(bytearray, self.buffer.free_space())
            self._pending_read = cast("asyncio.Future[int]", stream.read_into(space, partial=True))
            self.buffer.commit(await self._pending_read)
        except OSError as error:
            if stream.remote_ended:
                return False
            raise ConnectionLostError(str(error)) from None
        finally:
            self._pending_read = None
        return True

    async def next_line(self) -> memoryview | None:
        """The next whole line; None once the remote has ended its side.

        Raises ``ConnectionLostError``, and ``ProtocolError`` for a line that is too long.
        """
        while (line := self.buffer.next_line()) is None:
            if not await self.receive():
                return None
        return line

    async def write(self, data: memoryview | bytes) -> None:
        """Return once the kernel has taken all; until then a slice's buffer must stay as it is.

        Raises ``ConnectionLostError``.
        """
        if self._closed:
            raise ConnectionLostError("closed on this side")
        stream = self._writable_stream()
        begin = stream.bytes_queued
        stream.bytes_queued += len(data)
        try:
            await stream.write(data)
        except OSError as error:
            if not stream.remote_ended or self._closed:
                raise ConnectionLostError(str(error)) from None
            # The remote ended its side meanwhile, which took the IOStream but not the socket.
            unsent = memoryview(data)[max(0, stream.bytes_sent - begin) :]
            if len(unsent):
                await self.write(unsent)

    def _writable_stream(self) -> _HalfCloseIOStream:
        if self._stream.kept_socket is not None:
            sock, self._stream.kept_socket = self._stream.kept_socket, None
            self._bytes_sent_before += self._stream.bytes_sent
            self._stream = self._wrap(sock)
        return self._stream

    def _socket(self) -> socket.socket | None:
        return self._stream.kept_socket or self._stream.socket

    def send_eof(self) -> None:
        """End our side with a FIN; the remote's may go on. All writes must have been awaited."""
        sock = self._socket()
        if sock is not None and not self._closed:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """End with a reset."""
        sock = self._socket()
        if sock is not None and not self._closed:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.close()

    def close(self) -> None:
        """Give the descriptor back."""
        SocketStream.open_count -= not self._closed
        self._closed = True
        stream = self._stream
        stream.close()
        if stream.kept_socket is not None:
            stream.kept_socket.close()
            stream.kept_socket = None


async def close_gracefully(stream: SocketStream, reader: asyncio.Task[None] | None, seconds: float) -> None:
    """End our side, let the remote end its own within ``seconds``, then close.

    Closing at once would answer what the remote still sends with a reset, and that could overtake the last
    line written to it. ``reader`` is the task that reads this stream, discarding by now.
    """
    stream.send_eof()
    if reader is not None and not reader.done():
        await asyncio.wait([reader], timeout=seconds)
    stream.close()


async def reject_and_close(stream: SocketStream, line: bytes, seconds: float, max_bytes: int) -> None:
    """Write a last line to a client that is not served, and close soon, whatever it goes on sending.

    At most ``max_bytes`` of that are discarded first. Of a flood the rest is left unread until ``seconds``
    have passed: a close over it is a reset, which must not come before the client could read the line.
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
    """Write a last line to a remote that may not read; False if it could not be written in time."""
    try:
        async with asyncio.timeout(seconds):
            await stream.write(data)
    except (ConnectionLostError, TimeoutError):
        return False
    return True
