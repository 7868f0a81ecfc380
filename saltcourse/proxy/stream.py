"""One peer's connection: IOStream with the three ways of ending told apart.

IOStream closes the whole socket on a peer's FIN, so that the other direction would be cut. Here the
socket is kept then, and what still has to be written goes through a fresh IOStream on it.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import Callable
from typing import cast

from tornado.iostream import IOStream

from saltcourse.codec.endpoint_list import Address
from saltcourse.codec.lines import MAX_LINE_BYTES, LineBuffer

WRITE_LIMIT = 64 * 1024  # bytes waiting for one peer; writers await each write, so little gathers
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ENDED = getattr(select, "POLLRDHUP", 0x2000) | select.POLLHUP | select.POLLERR


def listening(address: Address, backlog: int, take: Callable[[], None]) -> socket.socket:
    """A listener on ``address`` that calls ``take`` whenever a connection waits. OSError when the address
    cannot be had; the socket is closed then, so that a failed start holds no descriptor."""
    host, port = address
    listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    asyncio.get_running_loop().add_reader(listener, take)
    return listener


class PeerReset(Exception):
    """The connection broke, or was closed on our side."""


class _HalfStream(IOStream):
    """Keeps its socket at the peer's FIN, and counts the bytes that the kernel has taken."""

    ended = False
    sent = 0
    queued = 0
    kept: socket.socket | None = None

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        count = super().read_from_fd(buf)
        if count == 0:
            self.ended = True
        return count

    def write_to_fd(self, data: memoryview) -> int:
        count = super().write_to_fd(data)
        self.sent += count
        return count

    def close_fd(self) -> None:
        if self.ended:
            self.kept, self.socket = self.socket, None  # type: ignore[assignment]
        else:
            super().close_fd()


class Peer:
    """A socket and the buffer that it is read into. One coroutine reads; any may write."""

    held = 0  # sockets that all peers of this process hold now

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # lines are small and wanted at once
        self.buffer = LineBuffer()
        self._closed = False
        self._sent = 0  # by the streams before this one
        self._read: asyncio.Future[int] | None = None  # the read that ``fill`` waits for
        self._stream = self._wrap(sock)
        Peer.held += 1

    @staticmethod
    def _wrap(sock: socket.socket) -> _HalfStream:
        return _HalfStream(
            sock,
            max_buffer_size=WRITE_LIMIT,
            read_chunk_size=MAX_LINE_BYTES,
            max_write_buffer_size=WRITE_LIMIT,
        )

    @property
    def closed(self) -> bool:
        return self._closed

    @property
    def sent(self) -> int:
        """Bytes that the kernel has taken: whoever waits in ``write`` may be told so later, or never."""
        return self._sent + self._stream.sent

    def _poll(self, events: int) -> int:
        sock = self._socket()
        if sock is None:
            return select.POLLERR
        poll = select.poll()
        poll.register(sock, events)
        found = poll.poll(0)
        return found[0][1] if found else 0

    def has_ended(self) -> bool:
        """The peer has ended its side or broken off, also where that waits unread behind bytes. Asked of the
        kernel: the coroutine that reads may only hear of it after much else that this program has to do."""
        return self._closed or self._stream.ended or bool(self._poll(ENDED) & ENDED)

    def has_unread(self) -> bool:
        """Bytes, or an end, have come of which the coroutine that reads has not heard yet: they wait with the
        kernel, or its read is done and it has not had its turn."""
        if self._closed:
            return False
        return self._read is not None and self._read.done() or bool(self._poll(select.POLLIN) & select.POLLIN)

    async def connect(self, address: tuple[str, int]) -> None:
        try:
            await self._stream.connect(address)
        except OSError as wrong:  # StreamClosedError is one
            raise PeerReset(str(wrong)) from None

    async def fill(self) -> bool:
        """Read what is there into the buffer; False once the peer has ended its side."""
        stream = self._stream
        try:
            room = self.buffer.free_space()
            self._read = cast("asyncio.Future[int]", stream.read_into(cast(bytearray, room), partial=True))
            self.buffer.commit(await self._read)
        except OSError as wrong:
            if stream.ended:
                return False
            raise PeerReset(str(wrong)) from None
        finally:
            self._read = None
        return True

    async def write(self, data: memoryview | bytes) -> None:
        """Returns once the kernel has taken all; until then the slice's buffer must stay as it is."""
        if self._closed:
            raise PeerReset("closed on this side")
        stream = self._writer()
        begin = stream.queued
        stream.queued += len(data)
        try:
            await stream.write(data)
        except OSError as wrong:
            if not stream.ended or self._closed:
                raise PeerReset(str(wrong)) from None
            # The peer ended its side meanwhile, which took the stream but not the socket.
            left = memoryview(data)[max(0, stream.sent - begin) :]
            if len(left):
                await self.write(left)

    def _writer(self) -> _HalfStream:
        if self._stream.kept is not None:
            sock, self._stream.kept = self._stream.kept, None
            self._sent += self._stream.sent
            self._stream = self._wrap(sock)
        return self._stream

    def _socket(self) -> socket.socket | None:
        return self._stream.kept or self._stream.socket

    def finish(self) -> None:
        """End our side with a FIN; the peer's may go on. All writes must have been awaited."""
        sock = self._socket()
        if sock is not None and not self._closed:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """End with a reset."""
        sock = self._socket()
        if sock is not None and not self._closed:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        Peer.held -= not self._closed
        self._closed = True
        stream = self._stream
        stream.close()
        if stream.kept is not None:
            stream.kept.close()
            stream.kept = None


async def part(peer: Peer, reader: asyncio.Task[None] | None, seconds: float) -> None:
    """End our side, let the peer end its own for a while, then close.

    Closing at once would answer what the peer still sends with a reset, and that could overtake the
    last line written to it. ``reader`` is the coroutine that reads this peer, discarding by now.
    """
    peer.finish()
    if reader is not None and not reader.done():
        await asyncio.wait([reader], timeout=seconds)
    peer.close()


async def dismiss(peer: Peer, line: bytes, seconds: float, most: int) -> None:
    """Tell a peer that is not served why, and close on it soon, whatever it goes on sending.

    A little of that is discarded first. Of a flood the rest is left unread until the time is up: a close
    over it is a reset, which must not come before the peer has had the time to read the line.
    """
    with contextlib.suppress(PeerReset, TimeoutError):
        async with asyncio.timeout(seconds):
            await peer.write(line)
            peer.finish()
            peer.buffer.take_remaining()
            while await peer.fill():
                most -= len(peer.buffer.take_remaining())
                if most <= 0:
                    await asyncio.sleep(seconds)
    peer.close()


async def write_within(peer: Peer, data: bytes, seconds: float) -> bool:
    """Write a last line to a peer that may not read; False if it could not be written in time."""
    try:
        async with asyncio.timeout(seconds):
            await peer.write(data)
    except (PeerReset, TimeoutError):
        return False
    return True
