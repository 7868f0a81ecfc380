"""Provider side: one actor for each invoker call (an attempt), and one for each probe."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Protocol

from saltcourse.balancing.events import AttemptStatus, HealthCheckFinished, LoadReport
from saltcourse.codec.endpoint_list import Address
from saltcourse.codec.errors import ProtocolError
from saltcourse.codec.lines import NO, PING, PONG, STATS, parse_load, parse_load_report, word_of
from saltcourse.proxy.actor import Actor
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.messages import CallEnded, CallUp, ToInvocation
from saltcourse.proxy.stream import Peer, PeerReset

PROBE_TIME = 0.3  # s for a probe and its answer
STATUS_OF_ANSWER = {
    b"BUSY": AttemptStatus.FULL,
    b"ERR": AttemptStatus.ERROR,
    b"MOVE": AttemptStatus.CANCELLED,
    b"BYE": AttemptStatus.OK,
}
SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # of what a socket needs


class NoSocket(Exception):
    """This process has no descriptor left for another socket."""


class NotWanted(Exception):
    """Nobody waits for the answer any more: the line must not be sent."""


def open_socket(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        return socket.socket(family, socket.SOCK_STREAM)
    except OSError as wrong:
        if wrong.errno in SHORT:
            raise NoSocket from None
        raise


class CallOwner(Protocol):
    """The consumer, as its call sees it."""

    def tell(self, message: ToInvocation) -> None: ...

    async def deliver(self, line: memoryview) -> None: ...

    def wanted(self) -> bool:
        """An answer is still waited for: an attempt may begin."""

    def dispatched(self) -> None:
        """The attempt's first line has been written whole."""


class InvokerCall(Actor[None]):
    """One attempt. It tells its owner of UP at most once, and of its end exactly once.

    The end is told also after ``close``, so that the module hears one outcome for each send.
    """

    def __init__(
        self,
        owner: CallOwner,
        clock: Clock,
        attempt: int,
        server: str,
        address: Address | None,
        line: bytes,
        timeout: float,
        connect_timeout: float,
        on_line: Callable[[memoryview], None],
    ) -> None:
        super().__init__(f"call to {server}")
        self.owner, self.clock, self.attempt, self.server = owner, clock, attempt, server
        self.began = clock.now()
        self.peer: Peer | None = None
        self.stood = asyncio.Event()  # the owner has passed UP on, and lines may follow
        self.silenced = False  # the client has been told to move: nothing may follow that
        self._address, self._line, self._on_line = address, line, on_line
        self._timeout, self._connect_timeout = timeout, connect_timeout
        self._given_up = False

    async def run(self) -> None:
        status, reset = await self._attempt()
        if self._given_up:
            status = AttemptStatus.CANCELLED if self._ran() else AttemptStatus.NOT_SENT
        self.owner.tell(CallEnded(self, status, reset))

    def cleanup(self) -> None:
        if self.peer is not None:
            self.peer.close()

    def close(self) -> None:
        """Give the attempt up, at once: the next one must not overlap with it."""
        self._given_up = True
        if self.peer is not None:
            self.peer.close()

    def _ran(self) -> bool:
        """It may have run: the kernel has taken the line's last byte. Which coroutine heard of that first
        tells nothing: a time-out or a reset may cross the end of a write that went in parts."""
        return self.peer is not None and self.peer.sent >= len(self._line)

    async def _attempt(self) -> tuple[AttemptStatus, bool]:
        if self._given_up or not self.owner.wanted():  # before this coroutine had its first turn
            return AttemptStatus.NOT_SENT, False
        if self._address is None:
            return AttemptStatus.CONNECT_FAILED, False
        try:
            self.peer = Peer(open_socket(self._address))
        except NoSocket:
            return AttemptStatus.NOT_SENT, False
        try:
            line = await self._ask(self.peer, self._address)
        except TimeoutError:
            return (AttemptStatus.TIMEOUT if self._ran() else AttemptStatus.CONNECT_FAILED), False
        except PeerReset:
            return (AttemptStatus.RESET if self._ran() else AttemptStatus.CONNECT_FAILED), True
        except ProtocolError:
            return AttemptStatus.ERROR, False
        except NotWanted:
            return AttemptStatus.NOT_SENT, False
        finally:
            if self._ran():
                self.owner.dispatched()
        if line is None:
            return AttemptStatus.RESET, False
        if word_of(line) != b"UP":
            return STATUS_OF_ANSWER.get(word_of(line), AttemptStatus.ERROR), False
        self.owner.tell(CallUp(self, bytes(line)))
        await self.stood.wait()
        return await self._pump()

    async def _ask(self, peer: Peer, address: Address) -> memoryview | None:
        """Send the line; the first line that comes back, None where the provider ends without one."""
        async with asyncio.timeout(self._timeout):
            async with asyncio.timeout(self._connect_timeout):
                await peer.connect(address)
            if not self.owner.wanted():  # a connection may come up long after it was asked for
                raise NotWanted
            await peer.write(self._line)
            while (line := await self._next_line()) is not None:
                load = parse_load(line)
                if load is None:
                    break
                self._on_line(line)  # a provider that tells the load before it has answered
            return line

    async def _next_line(self) -> memoryview | None:
        assert self.peer is not None
        while (line := self.peer.buffer.next_line()) is None:
            if not await self.peer.fill():
                return None
        return line

    async def _pump(self) -> tuple[AttemptStatus, bool]:
        """Pass lines on until the provider ends. Only whole lines go to the client, so that MOVE can be
        put between any two of them; a line that the end cuts short follows as it is."""
        assert self.peer is not None
        word = b""
        try:
            while (line := await self._next_line()) is not None:
                if self.silenced:
                    continue
                word = word_of(line)
                self._on_line(line)
                await self.owner.deliver(line)
            rest = self.peer.buffer.take_remaining()
            if len(rest) and not self.silenced:
                await self.owner.deliver(rest)
        except PeerReset:
            return AttemptStatus.RESET, True
        except ProtocolError:
            return AttemptStatus.RESET, True
        if word == b"BYE":
            return AttemptStatus.OK, False
        return (AttemptStatus.CANCELLED if word == b"MOVE" else AttemptStatus.RESET), False


class ProbeCall(Actor[None]):
    """One PING or STATS on a connection of its own."""

    def __init__(
        self,
        server: str,
        address: Address | None,
        stats: bool,
        clock: Clock,
        told: Callable[[HealthCheckFinished], None],
    ) -> None:
        super().__init__(f"probe of {server}")
        self._server, self._address, self._stats = server, address, stats
        self._clock, self._told = clock, told
        self._peer: Peer | None = None

    async def run(self) -> None:
        began = self._clock.now()
        status = AttemptStatus.CONNECT_FAILED
        report = None
        try:
            if self._address is not None:
                async with asyncio.timeout(PROBE_TIME):
                    status, report = await self._ask(self._address)
        except NoSocket:
            status = AttemptStatus.NOT_SENT
        except TimeoutError:
            status = AttemptStatus.TIMEOUT
        except PeerReset:
            status = AttemptStatus.CONNECT_FAILED
        except ProtocolError:
            status = AttemptStatus.ERROR
        self._told(HealthCheckFinished(self._server, status, self._clock.now() - began, report))

    async def _ask(self, address: Address) -> tuple[AttemptStatus, LoadReport | None]:
        peer = self._peer = Peer(open_socket(address))
        await peer.connect(address)
        await peer.write((STATS if self._stats else PING) + b"\r\n")
        while (line := peer.buffer.next_line()) is None:
            if not await peer.fill():
                return AttemptStatus.RESET, None
        word = word_of(line)
        if word == NO:
            return AttemptStatus.NOT_SENT, None
        return (AttemptStatus.OK if word == PONG else AttemptStatus.ERROR), parse_load_report(line)

    def cleanup(self) -> None:
        if self._peer is not None:
            self._peer.close()
