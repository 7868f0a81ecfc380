"""One client connection, from its acceptance to its end: one actor for each.

It reads the request, hands it to the dispatcher, makes the attempts that it is given, and sees to it that
exactly one final answer goes out in time. Once UP is passed on, lines go both ways until one side ends.

    OPENING ──OPEN──► WAITING ──UP──► ESTABLISHED ──► ENDED
       │                 │
       └── see opening   └── BUSY, ERR, the client's end ──► ENDED

    message               in WAITING                          in ESTABLISHED
    BeginAttempt          an attempt begins                   reported as not sent
    AttemptEstablished    UP goes to the client               -
    AttemptEnded          reported, to be retried perhaps     the client's side ends the same way
    ClientClosed          the attempt is given up             the backend's side ends the same way
    RejectRequest         BUSY, end                           -
    FailRequest           ERR, end                            -
    AbandonRequest        ERR, end; the balancer is notified  -
    MigrateConnection     -                                   MOVE, end

Rules:

1. One final answer, one attempt at a time; an attempt is closed before the answer goes out.
2. Each ``BeginAttempt`` is answered by exactly one ``AttemptFinished``, even after the actor's end.
3. After an await the state is asked again: the client may have gone, or the time be up.
4. MOVE goes between two whole lines, for only whole lines are passed on.
5. An end is passed on as what it was: FIN as FIN, a reset as a reset.
"""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum

import structlog

from saltcourse.balancing.actions import FailRequest, MigrateConnection, RejectRequest
from saltcourse.balancing.events import (
    NEVER_RAN,
    AttemptStatus,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionLoadChanged,
)
from saltcourse.codec.errors import ProtocolError
from saltcourse.codec.lines import FAIL_LINE, MICROSECONDS, MOVE_LINE, OpenRequest, busy_line, parse_load
from saltcourse.metrics import ReplyOutcome
from saltcourse.proxy.actor import Actor, spawn
from saltcourse.proxy.attempt import BackendAttempt
from saltcourse.proxy.connection_context import ConnectionContext
from saltcourse.proxy.errors import ConnectionLostError
from saltcourse.proxy.messages import (
    AbandonReason,
    AbandonRequest,
    AttemptEnded,
    AttemptEstablished,
    BeginAttempt,
    ClientClosed,
    ConnectionMessage,
    LineReceived,
    LineSent,
    NewRequest,
    RequestFinished,
    ResumedConnection,
)
from saltcourse.proxy.opening import Opening
from saltcourse.proxy.request_attempts import RequestAttempts
from saltcourse.proxy.request_events import connection_resumed, request_received, time_left_for_answer
from saltcourse.proxy.stream import SocketStream, close_gracefully, reject_and_close, write_within

REJECT_TIMEOUT_SECONDS = 0.3  # for a client that is rejected before its request was taken
REJECT_MAX_BYTES = 64 * 1024  # that are read of such a client
CLOSE_TIMEOUT_SECONDS = 0.5  # that a side may take to end after the other; a second is allowed
LAST_LINE_TIMEOUT_SECONDS = 0.5  # for MOVE or the final answer to be taken by the client's socket
OVERDUE_SECONDS = 0.015  # after its deadline at which a request without an answer is failed here
RESUME_RETRY_SECONDS = 0.25  # between attempts to resume a connection

log = structlog.get_logger("saltcourse")


class ConnectionState(Enum):
    """How far a client connection has come."""

    OPENING = "opening"  # its OPEN line is awaited
    WAITING = "waiting"  # the final answer is awaited
    ESTABLISHED = "established"  # UP was passed on
    ENDED = "ended"  # answered, migrated or gone


class ClientConnection(Actor[ConnectionMessage]):
    """Serves one client; the owner of its request and of the attempts for it."""

    def __init__(self, stream: SocketStream, context: ConnectionContext) -> None:
        super().__init__("client connection")
        self.stream = stream
        self.context = context
        self.state = ConnectionState.OPENING
        self.opening = Opening(stream, context)
        self.opened: OpenRequest | None = None
        self.request = ""  # the request's id, once it is read
        self._deadline = 0.0  # of the answer, on the clock (s)
        self._attempts = RequestAttempts(context)
        self._may_read_on = asyncio.Event()  # the client's further lines may be read
        self._reader: asyncio.Task[None] | None = None
        self._is_over = False

    @property
    def _is_waiting(self) -> bool:
        return self.state is ConnectionState.WAITING

    # ---- mailbox --------------------------------------------------------------------------------

    def send(self, message: ConnectionMessage) -> None:
        """A ``BeginAttempt`` can cross the actor's end; it gets an outcome too."""
        if not self._is_over:
            super().send(message)
        elif isinstance(message, BeginAttempt):
            self._attempts.report_not_sent(message)

    def cleanup(self) -> None:
        """Release all that is held, and report what has not been reported."""
        self._is_over = True
        self.stream.close()
        self.opening.finish()
        self._attempts.close()
        self._attempts.report(AttemptStatus.CANCELLED)
        while not self.mailbox.empty():
            message = self.mailbox.get_nowait()
            if isinstance(message, BeginAttempt):
                self._attempts.report_not_sent(message)
        if self.request:
            self.context.request_ids.release(self.request)
            self.context.send_to_dispatcher(RequestFinished(self, self.request))

    # ---- life -----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Read the request, get it answered, and relay lines to the end."""
        opened = await self._open()
        if opened is None:
            return
        if self.context.is_short_of_descriptors():
            self.context.metrics.count_reply(opened.request_class, ReplyOutcome.REJECTED)
            await self._reject(busy_line(self.context.settings.longest_retry_after))
            return
        await self._serve(opened)

    async def _open(self) -> OpenRequest | None:
        """The request; None when the client has left without one, or broke the protocol."""
        try:
            self.opened = await self.opening.read_request()
        except ProtocolError as error:
            self.context.protocol_errors.record(str(error))
            self.opening.finish()
            await self._reject(FAIL_LINE)
            return None
        except ConnectionLostError:
            return None
        if self.opened is not None:
            self.request = self.opened.request
            self.opening.finish()
        return self.opened

    async def _reject(self, line: bytes) -> None:
        """Answer a client whose request is not taken."""
        self.state = ConnectionState.ENDED
        await reject_and_close(self.stream, line, REJECT_TIMEOUT_SECONDS, REJECT_MAX_BYTES)

    async def _serve(self, opened: OpenRequest) -> None:
        now = self.context.clock.now()
        time_left = time_left_for_answer(opened, self.context.answer_deadline - now)
        self._deadline = now + time_left
        self.state = ConnectionState.WAITING
        self._reader = spawn(self._read_client(), "client connection reader")
        timer = asyncio.get_running_loop().call_later(
            time_left + OVERDUE_SECONDS, self.send, AbandonRequest(AbandonReason.OVERDUE)
        )
        try:
            if opened.resume_backend:
                self._resume(opened)
            else:
                self.context.send_to_dispatcher(NewRequest(self, request_received(opened, time_left)))
            while self.state is not ConnectionState.ENDED:
                await self._receive(await self.mailbox.get())
        finally:
            timer.cancel()
            self._may_read_on.set()

    # ---- lines ----------------------------------------------------------------------------------

    async def _read_client(self) -> None:
        """Read the client for as long as it is there; its lines go on once the connection is established."""
        reset = False
        try:
            while True:
                if self.stream.buffer.has_data:
                    self._check_client_waits()
                    await self._may_read_on.wait()
                while (line := self.stream.buffer.next_line()) is not None:
                    await self._send_to_backend(line)
                if not await self.stream.receive():
                    break
            if self._may_read_on.is_set():  # a line that the client's end cuts short follows as it is
                await self._send_to_backend(self.stream.buffer.take_remaining())
        except ConnectionLostError:
            reset = True
        except ProtocolError as error:
            log.info("client protocol error", request=self.request, reason=str(error))
            reset = True
        self.send(ClientClosed(reset))

    def _check_client_waits(self) -> None:
        """A client that sends more before its answer is failed; one that is resumed may do so."""
        if self._is_waiting and self.opened and not self.opened.resume_backend:
            self.send(AbandonRequest(AbandonReason.CLIENT_DID_NOT_WAIT))

    async def _send_to_backend(self, line: memoryview) -> None:
        attempt = self._attempts.current
        is_established = self.state is ConnectionState.ESTABLISHED
        if not is_established or attempt is None or attempt.stream is None or not len(line):
            return
        self.context.send_to_dispatcher(LineSent(self.request, self.context.clock.now()))
        with contextlib.suppress(ConnectionLostError):  # the attempt's own reader sees that end
            await attempt.stream.write(line)

    async def deliver(self, line: memoryview) -> None:
        """Write a backend's line to the client; awaited, so that a slow client slows its backend."""
        with contextlib.suppress(ConnectionLostError):  # our reader sees it
            await self.stream.write(line)

    def backend_line_received(self, line: memoryview) -> None:
        """Notify the dispatcher of a backend's line, or of the load in it."""
        load = parse_load(line)
        if load is None:
            self.context.send_to_dispatcher(LineReceived(self.request, self.context.clock.now()))
        else:
            self.context.send_to_dispatcher(ConnectionLoadChanged(self.request, load * MICROSECONDS))

    # ---- messages -------------------------------------------------------------------------------

    async def _receive(self, message: ConnectionMessage) -> None:
        """What comes in a state where it has no meaning any more is dropped."""
        match message:
            case BeginAttempt():
                self._begin_attempt(message)
            case AttemptEstablished(attempt, line) if attempt is self._attempts.current:
                await self._establish(line)
            case AttemptEnded(attempt, status, reset) if attempt is self._attempts.current:
                await self._end_attempt(status, reset)
            case ClientClosed(reset):
                await self._end_client(reset)
            case MigrateConnection() if self.state is ConnectionState.ESTABLISHED:
                await self._migrate()
            case RejectRequest(_, retry_after) if self._is_waiting:
                await self._answer(busy_line(retry_after), ReplyOutcome.REJECTED)
            case FailRequest() if self._is_waiting:
                await self._answer(FAIL_LINE, ReplyOutcome.FAILED)
            case AbandonRequest(reason) if self._is_waiting:
                log.info("request abandoned", request=self.request, reason=reason.value)
                self.context.send_to_dispatcher(ClientDisconnected(self.request))
                await self._answer(FAIL_LINE, ReplyOutcome.FAILED)

    async def _answer(self, line: bytes, outcome: ReplyOutcome) -> None:
        """The final answer. The attempt in flight, if any, is given up first."""
        self.state = ConnectionState.ENDED
        if self.opened is not None:
            self.context.metrics.count_reply(self.opened.request_class, outcome)
        self._attempts.close()
        self._attempts.report(AttemptStatus.CANCELLED)
        self._may_read_on.set()
        if await write_within(self.stream, line, LAST_LINE_TIMEOUT_SECONDS):
            await close_gracefully(self.stream, self._reader, CLOSE_TIMEOUT_SECONDS)

    # ---- attempts -------------------------------------------------------------------------------

    def _begin_attempt(self, message: BeginAttempt) -> None:
        is_free = self._is_waiting and self._attempts.unreported is None
        if not is_free or self.opened is None:
            self._attempts.report_not_sent(message)
            return
        if self.stream.has_ended():  # this message came before the reader's message of the client's end
            self._attempts.report_not_sent(message)
            self.send(ClientClosed(reset=False))
            return
        self._attempts.begin(self, message, self.opened, self._deadline)

    def wants_answer(self) -> bool:
        """Whether an attempt may still begin; asked of the kernel, for the reader's message may be late."""
        return self._is_waiting and not self.stream.has_ended()

    def open_line_sent(self) -> None:
        """Count an attempt whose OPEN line was written whole."""
        self.context.metrics.count_dispatch()

    async def _establish(self, line: bytes) -> None:
        attempt = self._attempts.current
        if attempt is None or self.opened is None:
            return
        if not self._is_waiting:
            attempt.close()
            return
        self.state = ConnectionState.ESTABLISHED
        self.context.metrics.count_reply(self.opened.request_class, ReplyOutcome.ESTABLISHED)
        with contextlib.suppress(ConnectionLostError):  # the reader reports it
            await self.stream.write(line)
        if self.opened.resume_backend:
            self.context.send_to_dispatcher(ResumedConnection(self, connection_resumed(self.opened)))
        elif (begun := self._attempts.unreported) is not None:
            established = ConnectionEstablished(self.request, begun.attempt, self._attempts.elapsed())
            self.context.send_to_dispatcher(established)
        attempt.may_relay.set()
        self._may_read_on.set()

    async def _end_attempt(self, status: AttemptStatus, reset: bool) -> None:
        if self.state is ConnectionState.ESTABLISHED:
            self.state = ConnectionState.ENDED
            self._attempts.report(status)
            if reset:
                self.stream.abort()
            else:
                await close_gracefully(self.stream, self._reader, CLOSE_TIMEOUT_SECONDS)
        elif self._is_waiting:
            if self.opened is not None and self.opened.resume_backend:
                await self._resume_again(self.opened, status)
            elif self.stream.has_ended():  # no retry is even asked for
                self.state = ConnectionState.ENDED
                self._attempts.report(status)
            else:
                self._attempts.report(status, final=False)

    # ---- the client's end, and MOVE ---------------------------------------------------------------

    async def _end_client(self, reset: bool) -> None:
        was_established = self.state is ConnectionState.ESTABLISHED
        self.state = ConnectionState.ENDED
        if was_established:
            await self._end_backend(reset)
            return
        if self.opened is None or not self.opened.resume_backend:
            self.context.send_to_dispatcher(ClientDisconnected(self.request))
        self._attempts.close()
        self._attempts.report(AttemptStatus.CANCELLED)

    async def _end_backend(self, reset: bool) -> None:
        """End the backend's side as the client has ended its own."""
        attempt = self._attempts.current
        if attempt is None or attempt.stream is None:
            return
        if reset:
            attempt.stream.abort()
            self._attempts.report(AttemptStatus.CANCELLED)
            return
        # The client has perhaps ended its sending only: what the backend still sends goes to it.
        attempt.stream.send_eof()
        status = await self._wait_for_backend(attempt)
        self._attempts.report(AttemptStatus.OK if status is AttemptStatus.OK else AttemptStatus.CANCELLED)
        self.stream.send_eof()

    async def _wait_for_backend(self, attempt: BackendAttempt) -> AttemptStatus:
        """How the backend ended its side within the time that it has."""
        if attempt.task is not None:
            await asyncio.wait([attempt.task], timeout=CLOSE_TIMEOUT_SECONDS)
        status = AttemptStatus.CANCELLED
        # The actor takes no message while it waits here, so the attempt's end is still in the mailbox. The
        # others have no meaning after the client's end.
        while not self.mailbox.empty():
            message = self.mailbox.get_nowait()
            if isinstance(message, AttemptEnded):
                status = message.status
        return status

    async def _migrate(self) -> None:
        """Send MOVE after the last whole line, then end both sides."""
        self.state = ConnectionState.ENDED
        attempt = self._attempts.current
        if attempt is None or attempt.stream is None:
            return
        attempt.is_muted = True
        written = await write_within(self.stream, MOVE_LINE, LAST_LINE_TIMEOUT_SECONDS)
        attempt.stream.send_eof()
        self._attempts.report(AttemptStatus.CANCELLED)
        if written:
            await close_gracefully(self.stream, self._reader, CLOSE_TIMEOUT_SECONDS)
        else:
            self.stream.abort()

    # ---- connections from before this program's start ---------------------------------------------

    def _resume(self, opened: OpenRequest) -> None:
        address = self.context.address_of(opened.resume_backend)
        self._begin_attempt(BeginAttempt(self.request, opened.resume_backend, 0, 0.0, address))

    async def _resume_again(self, opened: OpenRequest, status: AttemptStatus) -> None:
        """There is one backend to go to, and it may only just be starting as well."""
        self._attempts.drop_outcome()
        retry_by = self._deadline - 2 * RESUME_RETRY_SECONDS
        if status not in NEVER_RAN or self.context.clock.now() > retry_by:
            await self._answer(FAIL_LINE, ReplyOutcome.FAILED)
            return
        await asyncio.sleep(RESUME_RETRY_SECONDS)
        self._resume(opened)
