"""The opening of a client connection: from its acceptance to its OPEN line, or to its end without one.

    new ──PING──► idle ──► ... ──OPEN──► finished (the client connection goes on)
     │              │
     └──────────────┴── time up, shed, shutdown, PING while not serving ──► closing ──► closed

Time for the first line:   2 s for a whole line, however it trickles in
Time between two PINGs:    30 s

Rules:

1. Our side ends first by half (FIN); then what the client still sends is read and thrown away for a while,
   so that a request which crosses our end is met by an end and not by a reset. It is not served: its answer
   could not be sent any more.
2. Bytes that came before our end are read first: they may be the rest of a request.
3. The coroutine that reads is never cancelled: that could take read bytes with it. It sees the end itself.
"""

from __future__ import annotations

import asyncio

from saltcourse.codec.errors import ProtocolError
from saltcourse.codec.lines import PING, PONG_LINE, OpenRequest, parse_open, word_of
from saltcourse.proxy.connection_context import ConnectionContext
from saltcourse.proxy.stream import SocketStream

FIRST_LINE_TIMEOUT_SECONDS = 2.0  # for a whole first line; clients send it at once
PING_TIMEOUT_SECONDS = 30.0  # that a connection which only sent PINGs may stay idle between two of them
HALF_CLOSE_SECONDS = 0.25  # for a client that sent no request to end its side after ours
SHED_HALF_CLOSE_SECONDS = 0.1  # in a crowd its descriptor is wanted sooner
UNREAD_GRACE_SECONDS = 0.05  # for a line whose bytes have come in the very moment in which its time is up


class Opening:
    """Reads a client's first lines under time limits; a ``PendingConnection``."""

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
        self._is_idle_after_ping = False  # it was answered a PING and has sent nothing since
        self._is_closing = False  # our side is ended
        self._timer: asyncio.TimerHandle | None = None
        self._partial_line_deadline = 0.0  # loop time until which a program that ends waits for half a line

    async def read_request(self) -> OpenRequest | None:
        """The OPEN line; the front's PINGs before it are answered. None when the client has left.

        Raises ``ProtocolError`` and ``ConnectionLostError``.
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
        """Wait for something after a PING; False when the client has ended."""
        self._is_idle_after_ping = True
        self._set_timeout(PING_TIMEOUT_SECONDS)
        if not await self._stream.receive():
            return False
        self._is_idle_after_ping = False
        return True

    def _parse(self, line: memoryview) -> OpenRequest:
        opened = parse_open(line)
        if opened.request_class not in self._context.request_classes:
            raise ProtocolError("OPEN: a class that is not in the settings")
        if self._stream.buffer.has_data:
            # The client has to wait for its answer. Of many commands at once no backend may see the others,
            # and to serve the first alone would look to the client as if one of those had run.
            raise ProtocolError("OPEN: more than one line at once")
        self._context.request_ids.claim(opened.request)
        return opened

    async def _next_line(self) -> memoryview | None:
        """None when the client has ended; once our side is ended, what it sends is thrown away."""
        while (line := None if self._is_closing else self._stream.buffer.next_line()) is None:
            if self._is_closing:
                self._stream.buffer.take_remaining()
            if not await self._stream.receive():
                return None
        return line

    def finish(self) -> None:
        """No time limit of the opening holds any more: the request is read, or the connection ends."""
        self._is_finished = True
        self._cancel_timer()
        self._context.pending.remove(self)

    # ---- its end without a request ----------------------------------------------------------------

    def half_close(self, timeout: float = HALF_CLOSE_SECONDS) -> None:
        """End our side, and read on to the client's end for at most ``timeout`` s."""
        if self._is_finished or self._is_closing:
            return
        self._is_closing = True
        self._context.pending.mark_closing(self)
        self._stream.send_eof()
        self._timer = asyncio.get_running_loop().call_later(timeout, self._stream.close)

    def shed(self) -> None:
        """Others need its place and it has sent no request."""
        self.half_close(SHED_HALF_CLOSE_SECONDS)

    def drop(self) -> None:
        """Close it now."""
        self._stream.close()

    def limit_for_shutdown(self, silent_timeout: float, partial_line_timeout: float) -> None:
        """The program ends and takes no new clients.

        A connection that is idle after a PING is closed at once, a silent one after ``silent_timeout`` s, one
        with half a line after ``partial_line_timeout`` s.
        """
        if not self._is_finished:
            self._partial_line_deadline = asyncio.get_running_loop().time() + partial_line_timeout
            self._set_timeout(0.0 if self._is_idle_after_ping else silent_timeout)

    def _set_timeout(self, seconds: float) -> None:
        """The time counts for a whole line: one that trickles in holds its place no longer than silence."""
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
