"""One attempt of a request at one backend, from the connect to the end of the connection.

    connecting ──► OPEN written ──► answered UP ──► relaying ──► ended
        │              │                │
        └──────────────┴── time up, reset, BUSY, ERR, given up ──► ended

Rules:

1. The owner learns of UP at most once and of the end exactly once, also after ``close``, unless its task
   fails, which is logged as ``task failed``: the balancer needs one outcome for each attempt that it has
   started.
2. The OPEN line is written only while the owner still wants an answer, which is checked before the connect
   and again before the write.
3. The outcome says whether the request may have run: it may have when the kernel took the line's last byte.
4. Only whole lines go to the client, so that MOVE can be put between any two of them.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
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

STATUS_OF_ANSWER = {
    BUSY: AttemptStatus.FULL,
    ERR: AttemptStatus.ERROR,
    MOVE: AttemptStatus.CANCELLED,
    BYE: AttemptStatus.OK,
}
STATUS_OF_LAST_LINE = {BYE: AttemptStatus.OK, MOVE: AttemptStatus.CANCELLED}  # of an established connection


class AttemptOwner(Protocol):
    """The client connection, as its attempt sees it."""

    def send(self, message: ConnectionMessage) -> None:
        """Put a message into its mailbox."""

    async def deliver(self, line: memoryview) -> None:
        """Write a backend's line to the client; awaited, so that a slow client slows its backend."""

    def wants_answer(self) -> bool:
        """Whether the client still waits for an answer: an attempt may begin."""

    def open_line_sent(self) -> None:
        """The attempt's OPEN line has been written whole."""

    def backend_line_received(self, line: memoryview) -> None:
        """The backend has sent a line that is no answer; it is not delivered by this."""


@dataclass(frozen=True, slots=True)
class AttemptSpec:
    """What an attempt is to do: send ``open_line`` to the backend and wait for its answer.

    ``timeout`` is for the whole attempt up to the answer, ``connect_timeout`` for its connect alone (s).
    """

    number: int
    backend: str
    address: Address | None
    open_line: bytes
    timeout: float
    connect_timeout: float


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How an attempt ended, and whether the backend reset the connection."""

    status: AttemptStatus
    reset: bool = False


class BackendAttempt(Actor[None]):
    """Runs one attempt for its owner."""

    def __init__(self, owner: AttemptOwner, clock: Clock, spec: AttemptSpec) -> None:
        super().__init__(f"attempt at {spec.backend}")
        self.number, self.backend = spec.number, spec.backend
        self.started = clock.now()
        self.stream: SocketStream | None = None
        self.may_relay = asyncio.Event()  # the owner has passed UP on, and lines may follow
        self.is_muted = False  # the client was sent MOVE: nothing may follow that
        self._owner = owner
        self._spec = spec
        self._given_up = False

    async def run(self) -> None:
        """Make the attempt, relay its connection, and notify the owner how it ended."""
        outcome = await self._attempt()
        status = outcome.status
        if self._given_up:
            status = AttemptStatus.CANCELLED if self._may_have_run() else AttemptStatus.NOT_SENT
        self._owner.send(AttemptEnded(self, status, outcome.reset))

    def cleanup(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            self.stream.close()

    def close(self) -> None:
        """Give the attempt up, at once: the next one must not overlap with it."""
        self._given_up = True
        if self.stream is not None:
            self.stream.close()

    def _may_have_run(self) -> bool:
        """Whether the kernel has taken the OPEN line's last byte.

        Which coroutine learned of that first says nothing: a time-out or a reset may cross the end of a write
        that went in parts.
        """
        return self.stream is not None and self.stream.bytes_sent >= len(self._spec.open_line)

    async def _attempt(self) -> AttemptOutcome:
        if self._given_up or not self._owner.wants_answer():  # before this coroutine had its first turn
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
            if self._may_have_run():
                self._owner.open_line_sent()
        return await self._outcome_of_answer(stream, answer)

    async def _request_answer(self, stream: SocketStream, address: Address) -> memoryview | None:
        """Connect, send the OPEN line and wait for the answer; None where the backend ends without one."""
        async with asyncio.timeout(self._spec.timeout):
            async with asyncio.timeout(self._spec.connect_timeout):
                await stream.connect(address)
            if not self._owner.wants_answer():  # a connection may come up long after it was asked for
                raise AttemptAbandonedError
            await stream.write(self._spec.open_line)
            while (line := await stream.next_line()) is not None:
                if parse_load(line) is None:
                    break
                self._owner.backend_line_received(line)  # LOAD may come before the answer
            return line

    def _outcome_of_failure(self, error: Exception) -> AttemptOutcome:
        match error:
            case TimeoutError():
                status = AttemptStatus.TIMEOUT if self._may_have_run() else AttemptStatus.CONNECT_FAILED
                return AttemptOutcome(status)
            case ConnectionLostError():
                status = AttemptStatus.RESET if self._may_have_run() else AttemptStatus.CONNECT_FAILED
                return AttemptOutcome(status, reset=True)
            case AttemptAbandonedError():
                return AttemptOutcome(AttemptStatus.NOT_SENT)
            case _:  # a line that the protocol does not allow
                return AttemptOutcome(AttemptStatus.ERROR)

    async def _outcome_of_answer(self, stream: SocketStream, answer: memoryview | None) -> AttemptOutcome:
        if answer is None:
            return AttemptOutcome(AttemptStatus.RESET)
        word = word_of(answer)
        if word != UP:
            return AttemptOutcome(STATUS_OF_ANSWER.get(word, AttemptStatus.ERROR))
        self._owner.send(AttemptEstablished(self, bytes(answer)))
        await self.may_relay.wait()
        return await self._relay(stream)

    async def _relay(self, stream: SocketStream) -> AttemptOutcome:
        """Pass the backend's lines on until it ends; a line that the end cuts short follows as it is."""
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
        return AttemptOutcome(STATUS_OF_LAST_LINE.get(last_word, AttemptStatus.RESET))
