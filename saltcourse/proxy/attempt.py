"""The actor that makes one attempt of a request at one backend, from connect to close.

    connecting ──► OPEN written ──► answered UP ──► relaying ──► ended
        │              │                │
        └──────────────┴── timeout, reset, BUSY, ERR, cancelled ──► ended

Rules:

1. The owner is notified of UP at most once, and of the end exactly once, also after ``close``: the balancer
   needs one outcome for each attempt that it has started. The one exception is an attempt whose task raises,
   which is logged as ``task failed``.
2. The OPEN line is written only while the owner still wants an answer. This is checked before the connect and
   again before the write.
3. The outcome tells whether the request may have run: it may have if the kernel accepted the last byte of the
   OPEN line.
4. Only complete lines are relayed to the client, so that MOVE can be written between any two of them.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Protocol

from saltcourse.balancing.events import AttemptStatus
from saltcourse.codec.endpoint_list import Address
from saltcourse.codec.errors import ProtocolError
from saltcourse.codec.lines import BUSY, BYE, ERR, MOVE, UP, parse_load, word_of
from saltcourse.proxy.actor import Actor
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.errors import AttemptAbandonedError, ConnectionLostError, OutOfSocketsError
from saltcourse.proxy.messages import AttemptEnded, AttemptEstablished, ConnectionMessage
from saltcourse.proxy.sockets import open_socket
from saltcourse.proxy.stream import SocketStream

STATUS_BY_ANSWER = {
    BUSY: AttemptStatus.FULL,
    ERR: AttemptStatus.ERROR,
    MOVE: AttemptStatus.CANCELLED,
    BYE: AttemptStatus.OK,
}
# The status of an established connection that has ended, by the first word of the backend's last line.
STATUS_BY_LAST_LINE = {BYE: AttemptStatus.OK, MOVE: AttemptStatus.CANCELLED}


class AttemptOwner(Protocol):
    """The interface of the client connection that its attempt uses."""

    def send(self, message: ConnectionMessage) -> None:
        """Put a message into the owner's mailbox."""

    async def deliver(self, line: memoryview) -> None:
        """Write a backend's line to the client; awaiting the write applies backpressure to the backend."""

    def wants_answer(self) -> bool:
        """Return whether the client is still waiting for an answer, so that an attempt may begin."""

    def open_line_sent(self) -> None:
        """Record that the attempt's OPEN line was written completely."""

    def backend_line_received(self, line: memoryview) -> None:
        """Process a line from the backend other than its answer, without writing it to the client."""


@dataclass(frozen=True, slots=True)
class AttemptSpec:
    """The parameters of an attempt, which sends ``open_line`` to the backend and waits for its answer.

    ``timeout`` (s) limits the time from the start to the answer, ``connect_timeout`` (s) the connect alone.
    ``address`` is None if the endpoint list has no address for the backend.
    """

    number: int
    backend: str
    address: Address | None
    open_line: bytes
    timeout: float
    connect_timeout: float


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The status with which an attempt ended, and whether the backend reset the connection."""

    status: AttemptStatus
    reset: bool = False


class BackendAttempt(Actor[None]):
    """Makes one attempt for its owner."""

    def __init__(self, owner: AttemptOwner, clock: Clock, spec: AttemptSpec) -> None:
        super().__init__(f"attempt at {spec.backend}")
        self.number, self.backend = spec.number, spec.backend
        self.started = clock.now()
        self.stream: SocketStream | None = None
        self.may_relay = asyncio.Event()  # set once the owner has relayed UP, so that lines may follow
        self.is_muted = False  # the client was sent MOVE, after which nothing may be written to it
        self._owner = owner
        self._spec = spec
        self._open_line_length = len(spec.open_line)
        self._is_cancelled = False

    def may_have_run(self) -> bool:
        """Return whether the kernel has accepted the last byte of the OPEN line.

        The order in which coroutines resume does not show this: a timeout or a reset may arrive while the
        last part of a partial write completes.
        """
        return self.stream is not None and self.stream.bytes_sent >= self._open_line_length

    async def run(self) -> None:
        """Make the attempt, relay its connection, and notify the owner of the outcome."""
        outcome = await self._make_attempt()
        status = outcome.status
        if self._is_cancelled:
            status = AttemptStatus.CANCELLED if self.may_have_run() else AttemptStatus.NOT_SENT
        self._owner.send(AttemptEnded(self, status, outcome.reset))

    def cleanup(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            self.stream.close()

    def close(self) -> None:
        """Cancel the attempt and close its connection, because the next attempt must not overlap with it."""
        self._is_cancelled = True
        self.may_relay.set()  # the owner may have ended without relaying UP
        if self.stream is not None:
            self.stream.close()

    async def _make_attempt(self) -> AttemptOutcome:
        if self._is_cancelled or not self._owner.wants_answer():  # cancelled before this task first ran
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        address = self._spec.address
        if address is None:
            return AttemptOutcome(AttemptStatus.CONNECT_FAILED)
        try:
            self.stream = stream = SocketStream(open_socket(address))
        except OutOfSocketsError:
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        try:
            answer = await self._request_answer(stream, address)
        except (TimeoutError, ConnectionLostError, ProtocolError, AttemptAbandonedError) as error:
            return self._outcome_of_failure(error)
        finally:
            if self.may_have_run():
                self._owner.open_line_sent()
        return await self._outcome_of_answer(stream, answer)

    async def _request_answer(self, stream: SocketStream, address: Address) -> memoryview | None:
        """Connect, send the OPEN line and return the answer, or None if the backend ends without one.

        Raises ``TimeoutError``, ``ConnectionLostError``, ``ProtocolError``, and ``AttemptAbandonedError`` if
        the client stopped waiting during the connect.
        """
        async with asyncio.timeout(self._spec.timeout):
            async with asyncio.timeout(self._spec.connect_timeout):
                await stream.connect(address)
            if not self._owner.wants_answer():  # the client may have disconnected in the meantime
                raise AttemptAbandonedError
            await stream.write(self._spec.open_line)
            self._spec = replace(self._spec, open_line=b"")  # frees the line, which may be long
            while (line := await stream.next_line()) is not None:
                if parse_load(line) is None:
                    break
                self._owner.backend_line_received(line)  # LOAD lines may precede the answer
            return line

    def _outcome_of_failure(self, error: Exception) -> AttemptOutcome:
        match error:
            case TimeoutError():
                status = AttemptStatus.TIMEOUT if self.may_have_run() else AttemptStatus.CONNECT_FAILED
                return AttemptOutcome(status)
            case ConnectionLostError():
                status = AttemptStatus.RESET if self.may_have_run() else AttemptStatus.CONNECT_FAILED
                return AttemptOutcome(status, reset=True)
            case AttemptAbandonedError():
                return AttemptOutcome(AttemptStatus.NOT_SENT)
            case _:  # ProtocolError: the backend sent an invalid line
                return AttemptOutcome(AttemptStatus.ERROR)

    async def _outcome_of_answer(self, stream: SocketStream, answer: memoryview | None) -> AttemptOutcome:
        if answer is None:
            return AttemptOutcome(AttemptStatus.RESET)
        word = word_of(answer)
        if word != UP:
            return AttemptOutcome(STATUS_BY_ANSWER.get(word, AttemptStatus.ERROR))
        self._owner.send(AttemptEstablished(self, bytes(answer)))
        await self.may_relay.wait()
        if self._is_cancelled:
            return AttemptOutcome(AttemptStatus.CANCELLED)
        return await self._relay(stream)

    async def _relay(self, stream: SocketStream) -> AttemptOutcome:
        """Relay the backend's lines until it ends; an incomplete last line is relayed unchanged."""
        last_word = b""
        try:
            while (line := await stream.next_line()) is not None:
                if self.is_muted:
                    continue
                last_word = word_of(line)
                self._owner.backend_line_received(line)
                await self._owner.deliver(line)
            remaining = stream.buffer.take_remaining()
            if len(remaining) and not self.is_muted:
                await self._owner.deliver(remaining)
        except (ConnectionLostError, ProtocolError):
            return AttemptOutcome(AttemptStatus.RESET, reset=True)
        return AttemptOutcome(STATUS_BY_LAST_LINE.get(last_word, AttemptStatus.RESET))
