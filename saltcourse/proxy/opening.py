"""The opening phase of a client connection: from accept to the OPEN line, or to a close without one.

    new ──PING──► idle ──► ... ──OPEN──► finished (``ClientConnection`` serves the request)
     │              │
     └──────────────┴── timeout, shed, shutdown, PING while not serving ──► closing ──► closed

Timeouts:

    first line           2 s for the complete line, even if it arrives in pieces
    idle between PINGs   30 s

Rules:

1. The proxy half-closes first (FIN), then reads and discards what the client sends for a limited time. A
   request that is in flight at that moment gets a FIN instead of a reset. It is not served, because its
   answer could no longer be written.
2. Bytes that arrived before the half-close are read first: they may complete a request.
3. The reading coroutine is never cancelled, because that could lose bytes that it has read. It ends when it
   sees the end of the stream.
"""

from __future__ import annotations

import asyncio

from saltcourse.codec.errors import ProtocolError
from saltcourse.codec.lines import PING, PONG_LINE, OpenRequest, parse_open, word_of
from saltcourse.proxy.connection_context import ConnectionContext
from saltcourse.proxy.stream import SocketStream

FIRST_LINE_TIMEOUT_SECONDS = 2.0  # for the complete first line; clients send it as soon as they connect
PING_TIMEOUT_SECONDS = 30.0  # idle time after a PING on a connection without a request
HALF_CLOSE_SECONDS = 0.25  # time for a client without a request to close its side after ours
SHED_HALF_CLOSE_SECONDS = 0.1  # the same time for a connection that is shed, whose descriptor is needed
UNREAD_GRACE_SECONDS = 0.05  # extra time for a line whose bytes arrive just as its timeout expires


class Opening:
    """Reads a client's first lines, with timeouts; implements ``PendingConnection``."""

    __slots__ = (
        "_context",
        "_is_closing",
        "_is_finished",
        "_is_idle_after_ping",
        "_partial_line_deadline",
        "_stream",
        "_timer",
    )

    def __init__(self, stream: SocketStream, context: ConnectionContext) -> None:
        self._stream = stream
        self._context = context
        self._is_finished = False
        self._is_idle_after_ping = False  # the client has sent nothing since its last PING was answered
        self._is_closing = False  # our side is half-closed
        self._timer: asyncio.TimerHandle | None = None
        self._partial_line_deadline = 0.0  # loop time until which a shutdown waits for an incomplete line

    async def read_request(self) -> OpenRequest | None:
        """Return the OPEN line, or None if the client disconnects first; answer the PINGs that precede it.

        Raises ``ProtocolError`` for an invalid line, and ``ConnectionLostError``.
        """
        self._context.pending.touch(self)
        self._set_timeout(FIRST_LINE_TIMEOUT_SECONDS)
        while (line := await self._next_line()) is not None and word_of(line) == PING:
            if not self._context.may_answer_ping():
                self.half_close()
                continue
            await self._stream.write(PONG_LINE)
            self._context.pending.touch(self)
            if not self._stream.buffer.has_data and not await self._wait_after_ping():
                return None
            self._set_timeout(FIRST_LINE_TIMEOUT_SECONDS)
        return None if line is None else self._parse(line)

    async def _wait_after_ping(self) -> bool:
        """Wait until the client sends something after a PING; return False if it disconnected instead."""
        self._is_idle_after_ping = True
        self._set_timeout(PING_TIMEOUT_SECONDS)
        if not await self._stream.receive():
            return False
        self._is_idle_after_ping = False
        return True

    def _parse(self, line: memoryview) -> OpenRequest:
        open_request = parse_open(line)
        if open_request.request_class not in self._context.request_classes:
            raise ProtocolError("OPEN: request class is not in the settings")
        if self._stream.buffer.has_data:
            # A client has to wait for its answer before it sends more. No backend may see further commands
            # sent with the first, and serving only the first would look as if one of the others had run.
            raise ProtocolError("OPEN: data follows the line before its answer")
        self._context.request_ids.claim(open_request.request)
        return open_request

    async def _next_line(self) -> memoryview | None:
        """Return the next line, or None once the client has ended; discard its data while closing."""
        await self._stream.yield_if_due()
        while (line := None if self._is_closing else self._stream.buffer.next_line()) is None:
            if self._is_closing:
                self._stream.buffer.take_remaining()
            if not await self._stream.receive():
                return None
        return line

    def finish(self) -> None:
        """Stop all opening timeouts: the request has been read, or the connection is ending."""
        self._is_finished = True
        self._cancel_timer()
        self._context.pending.remove(self)

    # ---- closing without a request ----------------------------------------------------------------

    def half_close(self, timeout: float = HALF_CLOSE_SECONDS) -> None:
        """Close our sending direction, and close fully when the client ends or after ``timeout`` s."""
        if self._is_finished or self._is_closing:
            return
        self._is_closing = True
        self._cancel_timer()  # a timer left behind would keep the closed connection and its buffers in memory
        self._context.pending.mark_closing(self)
        self._stream.send_eof()
        self._timer = asyncio.get_running_loop().call_later(timeout, self._stream.close)

    def shed(self) -> None:
        """Half-close, with the shorter timeout, to free the descriptor for other clients."""
        self.half_close(SHED_HALF_CLOSE_SECONDS)

    def drop(self) -> None:
        """Close the connection immediately."""
        self._stream.close()

    def limit_for_shutdown(self, silent_timeout: float, partial_line_timeout: float) -> None:
        """Shorten the timeouts because the proxy is shutting down and accepts no more clients.

        A connection that is idle after a PING is closed immediately, one that has sent nothing after
        ``silent_timeout`` s, and one with an incomplete line after ``partial_line_timeout`` s.
        """
        if not self._is_finished:
            self._partial_line_deadline = asyncio.get_running_loop().time() + partial_line_timeout
            self._set_timeout(0.0 if self._is_idle_after_ping else silent_timeout)

    def _set_timeout(self, seconds: float) -> None:
        """Restart the timer. It limits the time for a complete line, so a slow sender gains no time."""
        if not self._is_closing:
            self._cancel_timer()
            self._timer = asyncio.get_running_loop().call_later(seconds, self._on_timeout)

    def _on_timeout(self, check_unread: bool = True) -> None:
        loop = asyncio.get_running_loop()
        if check_unread and self._stream.has_unread():
            self._timer = loop.call_later(UNREAD_GRACE_SECONDS, self._on_timeout, False)
        elif self._stream.buffer.has_data and loop.time() < self._partial_line_deadline:
            self._timer = loop.call_at(self._partial_line_deadline, self._on_timeout)
        else:
            self.half_close()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
