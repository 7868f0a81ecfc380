"""Consumer side: one actor for each client connection, from its first line to its end.

It reads the invocation, tells the decider, carries out what the decider answers, and sees to it that
exactly one final answer goes out in time. Once UP is passed on, lines go both ways until one side ends.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from enum import Enum

import structlog

from saltcourse.balancing.actions import FailRequest, MigrateConnection, RejectRequest
from saltcourse.balancing.events import (
    NEVER_RAN,
    AttemptFinished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
    ConnectionResumed,
    RequestReceived,
)
from saltcourse.balancing.settings import Settings
from saltcourse.codec.endpoint_list import Address
from saltcourse.codec.errors import ProtocolError
from saltcourse.codec.lines import (
    FAIL_LINE,
    MICRO,
    MOVE_LINE,
    PING,
    PONG_LINE,
    OpenRequest,
    busy_line,
    parse_load,
    parse_open,
    word_of,
)
from saltcourse.metrics import Metrics
from saltcourse.proxy.actor import Actor, spawn
from saltcourse.proxy.attempt import InvokerCall
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.messages import (
    Arrived,
    CallEnded,
    CallUp,
    ClientEnded,
    Forfeit,
    Left,
    LineBack,
    LineSent,
    Place,
    Resumed,
    Retract,
    ToDecider,
    ToInvocation,
)
from saltcourse.proxy.pending_connections import Doorstep
from saltcourse.proxy.stream import Peer, PeerReset, dismiss, part, write_within

FIRST_LINE_TIME = 2.0  # s for a whole first line, however it trickles in; clients send it at once
PING_TIME = 30.0  # s that a connection which was only pinged on may rest between two PINGs
DISMISS_TIME, DISMISS_BYTES = 0.3, 64 * 1024  # what is read of a client after it was turned away unheard
TELL_EVERY = 5.0  # s between log lines on bad first lines, for they come in floods
PART_TIME = 0.5  # s that a side may take to end after the other; a second is allowed
LEAVE_TIME = 0.25  # s for a client that opened nothing to end its side after ours; in a crowd its
SHED_TIME = 0.1  # descriptor is wanted sooner
CROSSING = 0.05  # s more for a line whose bytes have come in the very moment in which its time is up
MOVE_TIME = 0.5  # s for MOVE to be taken by the client's socket, and again for the client to leave
OVERDUE = 0.015  # s after its time is up at which an invocation without an answer is failed here
CALL_ENDS = 0.005  # s before the client's time is up at which a call that still waits is given up
RESUME_TIME = 40.0  # s for a resumed connection to stand again; its `d` says over an hour
RESUME_AGAIN = 0.25  # s between attempts to come back to the server of a resumed connection

log = structlog.get_logger("saltcourse")


class Stage(Enum):
    OPENING = "opening"  # its first line is awaited
    WAITING = "waiting"  # the final answer is owed
    STANDING = "standing"  # UP was passed on
    ENDED = "ended"  # answered, moved or gone


class Host:
    """What every consumer needs of the program."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        tell_decider: Callable[[ToDecider], None],
        address_of: Callable[[str], Address | None],
        may_answer_ping: Callable[[], bool],
        short: Callable[[], bool],
        doorstep: Doorstep,
        figures: Metrics,
    ) -> None:
        self.settings, self.clock, self.figures = settings, clock, figures
        self.tell_decider, self.address_of = tell_decider, address_of
        self.may_answer_ping, self.short, self.doorstep = may_answer_ping, short, doorstep
        self.answer_by = float("inf")  # when every answer has to be out, for the program ends soon after
        self.classes = frozenset(c.name for c in settings.classes)
        self._open: set[str] = set()  # ids of the invocations that are under way or stand
        self._bad, self._told = 0, -TELL_EVERY

    def claim(self, request: str) -> None:
        """Ids are new with every connection: whoever uses one that is open must not touch its owner."""
        if request in self._open:
            raise ProtocolError("OPEN: an id that is open")
        self._open.add(request)

    def release(self, request: str) -> None:
        self._open.discard(request)

    def bad_line(self, reason: str) -> None:
        """Counted each time, logged now and then."""
        self._bad += 1
        now = self.clock.now()
        if now - self._told >= TELL_EVERY:
            log.info("bad lines from clients", count=self._bad, last=reason)
            self._bad, self._told = 0, now


class Consumer(Actor[ToInvocation]):
    def __init__(self, peer: Peer, host: Host) -> None:
        super().__init__("consumer")
        self.peer, self.host = peer, host
        self.stage = Stage.OPENING
        self.opened: OpenRequest | None = None
        self.request = ""
        self.deadline = 0.0
        self.call: InvokerCall | None = None
        self._released = asyncio.Event()  # no answer is owed any more: what the client says may be read
        self._reader: asyncio.Task[None] | None = None
        self._owed: Place | None = None  # the send that the module has not heard the outcome of
        self._over = False
        self._rests = False  # it was answered a PING and has said nothing since
        self._leaving = False  # our side is ended before anything was opened: what still comes is not heard
        self._leave_at: asyncio.TimerHandle | None = None
        self._rest_of_line = 0.0  # loop time until which a program that ends waits for the rest of a line

    # ---- mailbox --------------------------------------------------------------------------------

    def tell(self, message: ToInvocation) -> None:
        """After the end a send can still arrive that crossed it; it is owed an outcome too."""
        if not self._over:
            super().tell(message)
        elif isinstance(message, Place):
            self._never_sent(message)

    def cleanup(self) -> None:
        self._over = True
        self.peer.close()
        self._no_longer_leaves()
        if self.call is not None:
            self.call.close()
        self._settle(AttemptStatus.CANCELLED)
        while not self.mailbox.empty():
            message = self.mailbox.get_nowait()
            if isinstance(message, Place):
                self._never_sent(message)
        self.host.doorstep.left(self)
        if self.request:
            self.host.release(self.request)
            self.host.tell_decider(Left(self, self.request))

    def _never_sent(self, place: Place) -> None:
        self.host.tell_decider(
            AttemptFinished(place.request, place.attempt, AttemptStatus.NOT_SENT, 0.0, True)
        )

    def _settle(self, status: AttemptStatus, final: bool = True) -> None:
        """Tell the module how the send that is out has ended; once for each send."""
        place, self._owed = self._owed, None
        if place is not None and self.call is not None:
            took = self.host.clock.now() - self.call.began
            self.host.tell_decider(AttemptFinished(place.request, place.attempt, status, took, final))

    # ---- life -----------------------------------------------------------------------------------

    async def run(self) -> None:
        self.host.doorstep.came(self)
        try:
            self.opened = await self._first_line()
        except ProtocolError as wrong:
            self.host.bad_line(str(wrong))
            self._opens_no_more()
            await dismiss(self.peer, FAIL_LINE, DISMISS_TIME, DISMISS_BYTES)
            return
        except PeerReset:
            return
        if self.opened is None:
            return
        self._opens_no_more()
        if self.host.short():
            self.host.figures.reply(self.opened.request_class, "overload")
            busy = busy_line(self.host.settings.longest_retry_after)
            await dismiss(self.peer, busy, DISMISS_TIME, DISMISS_BYTES)
            return
        wait = (
            min(self.opened.time_left, RESUME_TIME) if self.opened.resume_backend else self.opened.time_left
        )
        wait = max(0.001, min(wait, self.host.answer_by - self.host.clock.now()))
        self.deadline = self.host.clock.now() + wait
        self.stage = Stage.WAITING
        self._reader = spawn(self._read_client(), "consumer's reader")
        loop = asyncio.get_running_loop()
        guard = loop.call_later(wait + OVERDUE, self.tell, Forfeit("no answer in time"))
        try:
            if self.opened.resume_backend:
                self._resume(self.opened)
            else:
                self.host.tell_decider(Arrived(self, self._event(self.opened, wait)))
            while self.stage is not Stage.ENDED:
                await self._take(await self.mailbox.get())
        finally:
            guard.cancel()
            self._released.set()

    async def _first_line(self) -> OpenRequest | None:
        """The OPEN line; the front's PINGs before it are answered. None when the client has left."""
        self._leave_in(FIRST_LINE_TIME)
        while (line := await self._next_line()) is not None and word_of(line) == PING:
            if not self.host.may_answer_ping():
                self.leave()
                continue
            await self.peer.write(PONG_LINE)
            self.host.doorstep.came(self)
            if not self.peer.buffer.has_data:
                self._rests = True
                self._leave_in(PING_TIME)
                if not await self.peer.fill():
                    return None
                self._rests = False
            self._leave_in(FIRST_LINE_TIME)
        if line is None:
            return None
        opened = parse_open(line)
        if opened.request_class not in self.host.classes:
            raise ProtocolError("OPEN: a class that is not in the settings")
        if self.peer.buffer.has_data:
            # The client has to wait for its answer. Of many commands at once no provider may see the others,
            # and to serve the first alone would look to the client as if one of those had run.
            raise ProtocolError("OPEN: more than one line at once")
        self.host.claim(opened.request)
        self.request = opened.request
        return opened

    async def _next_line(self) -> memoryview | None:
        """None when the client has ended; once we leave, what it says is thrown away."""
        while (line := None if self._leaving else self.peer.buffer.next_line()) is None:
            if self._leaving:
                self.peer.buffer.take_remaining()
            if not await self.peer.fill():
                return None
        return line

    # ---- the end of a client that has opened nothing ----------------------------------------------

    def leave(self, linger: float = LEAVE_TIME) -> None:
        """End our side and read on to the client's end for a while, so that a request which crosses ours is
        met by an end and not by a reset. It is not served: its answer could not be told any more.

        This is no cancelling of the coroutine that reads: that could take read bytes with it.
        """
        if self.stage is not Stage.OPENING or self._leaving:
            return
        self._leaving = True
        self.host.doorstep.leaves(self)
        self.peer.finish()
        self._leave_at = asyncio.get_running_loop().call_later(linger, self.peer.close)

    def _leave_in(self, seconds: float) -> None:
        """The time counts for a whole line: one that trickles in holds its place no longer than silence."""
        if not self._leaving:
            self._no_longer_leaves()
            self._leave_at = asyncio.get_running_loop().call_later(seconds, self._time_is_up)

    def _time_is_up(self, again: bool = True) -> None:
        """Bytes that have come before our end are read first: they may be the rest of a request."""
        loop = asyncio.get_running_loop()
        if again and self.peer.has_unread():
            self._leave_at = loop.call_later(CROSSING, self._time_is_up, False)
        elif self.peer.buffer.has_data and loop.time() < self._rest_of_line:
            self._leave_at = loop.call_at(self._rest_of_line, self._time_is_up)
        else:
            self.leave()

    def _no_longer_leaves(self) -> None:
        if self._leave_at is not None:
            self._leave_at.cancel()
            self._leave_at = None

    def _opens_no_more(self) -> None:
        self.stage = Stage.ENDED
        self._no_longer_leaves()
        self.host.doorstep.left(self)

    def shed(self) -> None:
        """Others need its place and it has said nothing; its own coroutine sees the end."""
        self.leave(SHED_TIME)

    def drop(self) -> None:
        """Its own coroutine sees the end."""
        self.peer.close()

    def retire(self, quiet: float, last: float) -> None:
        """The program leaves and takes no new clients: this one, if it has opened nothing, goes at once where
        it rests after a PING, after ``quiet`` s where it is silent, after ``last`` s with half a line."""
        if self.stage is Stage.OPENING:
            self._rest_of_line = asyncio.get_running_loop().time() + last
            self._leave_in(0.0 if self._rests else quiet)

    @staticmethod
    def _event(opened: OpenRequest, patience: float) -> RequestReceived:
        return RequestReceived(
            opened.request,
            opened.request_class,
            patience,
            opened.tenant,
            opened.load_hint,
            opened.key,
            opened.group,
            opened.is_retry,
            False,
            opened.came_back,
        )

    async def _read_client(self) -> None:
        """Read the client for as long as it is there; its lines go on once the connection stands."""
        reset = False
        try:
            while True:
                if self.peer.buffer.has_data:
                    if (
                        self.stage is Stage.WAITING
                        and self.opened is not None
                        and not self.opened.resume_backend
                    ):
                        self.tell(Forfeit("the client did not wait for its answer"))
                    await self._released.wait()
                while (line := self.peer.buffer.next_line()) is not None:
                    await self._to_provider(line)
                if not await self.peer.fill():
                    break
            if self._released.is_set():
                await self._to_provider(self.peer.buffer.take_remaining())
        except PeerReset:
            reset = True
        except ProtocolError as wrong:
            log.info("bad line from a client", reason=str(wrong))
            reset = True
        self.tell(ClientEnded(reset))

    async def _to_provider(self, line: memoryview) -> None:
        if self.stage is not Stage.STANDING or self.call is None or self.call.peer is None or not len(line):
            return
        self.host.tell_decider(LineSent(self.request, self.host.clock.now()))
        with contextlib.suppress(PeerReset):  # the call's own reader sees that end and tells it
            await self.call.peer.write(line)

    async def deliver(self, line: memoryview) -> None:
        """The provider's lines; awaited by the call, so that a slow client slows its provider."""
        with contextlib.suppress(PeerReset):  # our reader sees it
            await self.peer.write(line)

    # ---- messages -------------------------------------------------------------------------------

    async def _take(self, message: ToInvocation) -> None:
        match message:
            case Place():
                self._place(message)
            case CallUp(call, line) if self.call is not None and call is self.call:
                await self._up(self.call, line)
            case CallEnded(call, status, reset) if call is self.call:
                await self._call_ended(status, reset)
            case ClientEnded(reset):
                await self._client_ended(reset)
            case RejectRequest(_, retry_after) if self.stage is Stage.WAITING:
                await self._answer(busy_line(retry_after), "overload")
            case FailRequest() if self.stage is Stage.WAITING:
                await self._answer(FAIL_LINE, "error")
            case MigrateConnection() if self.stage is Stage.STANDING:
                await self._move()
            case Retract(attempt) if self.stage is Stage.WAITING and self._owed is not None:
                if self._owed.attempt == attempt and self.call is not None:
                    self.call.close()
            case Forfeit(reason) if self.stage is Stage.WAITING:
                log.info("failed without the module", request=self.request, reason=reason)
                self.host.tell_decider(ClientDisconnected(self.request))
                await self._answer(FAIL_LINE, "error")

    def _place(self, place: Place) -> None:
        if self.stage is not Stage.WAITING or self._owed is not None or self.opened is None:
            self._never_sent(place)
            return
        if self.peer.has_ended():  # the reader has not come to it yet, and this message stood before its word
            self._never_sent(place)
            self.tell(ClientEnded(reset=False))
            return
        # The call's time is up before the module's own timer for the deadline: the module must know that
        # nothing is out any more to be able to refuse, which tells the client that it may come again.
        left = self.deadline - CALL_ENDS - self.host.clock.now()
        timeout = min(place.timeout, left) if place.timeout > 0 else left
        self._owed = place
        self.call = InvokerCall(
            self,
            self.host.clock,
            place.attempt,
            place.server,
            place.address,
            self.opened.with_timeout(timeout),
            max(0.0, timeout),
            self.host.settings.connect_timeout,
            self._line_passed,
        )
        self.call.start()

    def wanted(self) -> bool:
        return self.stage is Stage.WAITING and not self.peer.has_ended()

    def dispatched(self) -> None:
        self.host.figures.dispatched()

    def _line_passed(self, line: memoryview) -> None:
        load = parse_load(line)
        if load is None:
            self.host.tell_decider(LineBack(self.request, self.host.clock.now()))
        else:
            self.host.tell_decider(ConnectionLoadChanged(self.request, load * MICRO))

    async def _up(self, call: InvokerCall, line: bytes) -> None:
        if self.stage is not Stage.WAITING:
            call.close()
            return
        self.stage = Stage.STANDING
        if self.opened is not None:
            self.host.figures.reply(self.opened.request_class, "success")
        with contextlib.suppress(PeerReset):  # the reader tells of it
            await self.peer.write(line)
        if self.opened is not None and self.opened.resume_backend:
            self.host.tell_decider(
                Resumed(
                    self,
                    ConnectionResumed(
                        self.request,
                        self.opened.request_class,
                        self.opened.resume_backend,
                        self.opened.tenant,
                        self.opened.load_hint,
                        self.opened.group,
                    ),
                )
            )
        elif self._owed is not None:
            took = self.host.clock.now() - call.began
            self.host.tell_decider(ConnectionEstablished(self.request, self._owed.attempt, took))
        call.stood.set()
        self._released.set()

    async def _call_ended(self, status: AttemptStatus, reset: bool) -> None:
        if self.stage is Stage.STANDING:
            self.stage = Stage.ENDED
            self._settle(status)
            if reset:
                self.peer.abort()
            else:
                await part(self.peer, self._reader, PART_TIME)
        elif self.stage is Stage.WAITING:
            if self.opened is not None and self.opened.resume_backend:
                await self._resume_failed(status)
            elif self.peer.has_ended():  # no further attempt is even asked for
                self.stage = Stage.ENDED
                self._settle(status)
            else:
                self._settle(status, final=False)

    async def _client_ended(self, reset: bool) -> None:
        standing, self.stage = self.stage is Stage.STANDING, Stage.ENDED
        if not standing:
            if not (self.opened is not None and self.opened.resume_backend):
                self.host.tell_decider(ClientDisconnected(self.request))
            if self.call is not None:
                self.call.close()
            self._settle(AttemptStatus.CANCELLED)
            return
        call = self.call
        if call is None or call.peer is None:
            return
        if reset:
            call.peer.abort()
            self._settle(AttemptStatus.CANCELLED)
            return
        # The client has only ended its sending, perhaps: what the provider still says goes to it.
        call.peer.finish()
        status = await self._provider_end(call)
        self._settle(AttemptStatus.OK if status is AttemptStatus.OK else AttemptStatus.CANCELLED)
        self.peer.finish()

    async def _provider_end(self, call: InvokerCall) -> AttemptStatus:
        if call.task is not None:
            await asyncio.wait([call.task], timeout=PART_TIME)
        status = AttemptStatus.CANCELLED
        while not self.mailbox.empty():
            message = self.mailbox.get_nowait()
            if isinstance(message, CallEnded):
                status = message.status
        return status

    async def _answer(self, line: bytes, outcome: str) -> None:
        """The final answer. The attempt that is out, if any, is given up first."""
        self.stage = Stage.ENDED
        if self.opened is not None:
            self.host.figures.reply(self.opened.request_class, outcome)
        if self.call is not None:
            self.call.close()
        self._settle(AttemptStatus.CANCELLED)
        self._released.set()
        if await write_within(self.peer, line, MOVE_TIME):
            await part(self.peer, self._reader, PART_TIME)

    async def _move(self) -> None:
        """MOVE goes between two whole lines, for only whole lines are passed on; then both sides end."""
        self.stage = Stage.ENDED
        call = self.call
        if call is None or call.peer is None:
            return
        call.silenced = True
        written = await write_within(self.peer, MOVE_LINE, MOVE_TIME)
        call.peer.finish()
        self._settle(AttemptStatus.CANCELLED)
        if written:
            await part(self.peer, self._reader, PART_TIME)
        else:
            self.peer.abort()

    # ---- connections from before this program's start ---------------------------------------------

    def _resume(self, opened: OpenRequest) -> None:
        self._place(
            Place(self.request, opened.resume_backend, 0, 0.0, self.host.address_of(opened.resume_backend))
        )

    async def _resume_failed(self, status: AttemptStatus) -> None:
        """It has one place to go to, and the server may only just be coming up as well."""
        self._owed = None
        if self.opened is None:
            return
        if status not in NEVER_RAN or self.deadline - self.host.clock.now() < 2 * RESUME_AGAIN:
            await self._answer(FAIL_LINE, "error")
            return
        await asyncio.sleep(RESUME_AGAIN)
        self._resume(self.opened)
