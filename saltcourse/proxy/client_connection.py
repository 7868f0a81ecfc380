"""The actor that serves one client connection, from accept to close.

It reads the request, sends it to the dispatcher, makes the attempts that the dispatcher orders, and ensures
that exactly one final answer is written before the deadline. After UP it relays lines in both directions
until either side ends the connection.

    OPENING ──OPEN──► WAITING ──UP──► ESTABLISHED ──► ENDED
       │                 │
       └── see opening   └── BUSY, ERR, client disconnects ──► ENDED

    message               in WAITING                          in ESTABLISHED
    BeginAttempt          start the attempt                   report NOT_SENT
    AttemptEstablished    write UP to the client              -
    AttemptEnded          report; the balancer may retry      end the client's side the same way
    ClientClosed          cancel the attempt                  end the backend's side the same way
    RejectRequest         write BUSY, close                   -
    FailRequest           write ERR, close                    -
    AbandonRequest        notify balancer, write ERR, close   -
    MigrateConnection     -                                   write MOVE, close

Rules:

1. There is one final answer and one attempt at a time. An attempt is closed before the answer is written.
2. Each ``BeginAttempt`` is answered by exactly one ``AttemptFinished``, even after the actor has ended.
3. The state is checked again after every await: the client may have disconnected, or the deadline passed.
4. MOVE is written between two complete lines, because only complete lines are relayed.
5. When one side ends, the other side is ended in the same way: after a FIN by a FIN, after a reset by a
   reset.
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

REJECT_TIMEOUT_SECONDS = 0.3  # time limit for rejecting a client whose request was not accepted
REJECT_MAX_BYTES = 64 * 1024  # bytes that are read from such a client and discarded
CLOSE_TIMEOUT_SECONDS = 0.5  # time for one side to close after the other; the protocol allows 1 s
LAST_LINE_TIMEOUT_SECONDS = 0.5  # time limit for writing MOVE or the final answer to the client
DEADLINE_GRACE_SECONDS = 0.015  # delay after the deadline before an unanswered request is failed here
RESUME_RETRY_SECONDS = 0.25  # delay between attempts to resume a connection

log = structlog.get_logger("saltcourse")


class ConnectionState(Enum):
    """The state of a client connection."""

    OPENING = "opening"  # waiting for the OPEN line
    WAITING = "waiting"  # the request is waiting for its final answer
    ESTABLISHED = "established"  # UP was relayed to the client
    ENDED = "ended"  # answered, migrated or disconnected


class ClientConnection(Actor[ConnectionMessage]):
    """Serves one client; owns its request and the attempts for it."""

    def __init__(self, stream: SocketStream, context: ConnectionContext) -> None:
        super().__init__("client connection")
        self.stream = stream
        self.context = context
        self.state = ConnectionState.OPENING
        self.opening = Opening(stream, context)
        self.open_request: OpenRequest | None = None
        self.request = ""  # the request id; empty until the OPEN line is read
        self._deadline = 0.0  # clock time (s) by which the final answer has to be written
        self._attempts = RequestAttempts(context)
        self._may_read_lines = asyncio.Event()  # set once the lines after OPEN may be read
        self._reader: asyncio.Task[None] | None = None
        self._is_finished = False
        self._is_rejected = False  # the client was told that a retry is harmless

    @property
    def _is_waiting(self) -> bool:
        return self.state is ConnectionState.WAITING

    # ---- mailbox --------------------------------------------------------------------------------

    def send(self, message: ConnectionMessage) -> None:
        """Put a message into the mailbox; once the actor has ended, report a ``BeginAttempt`` as not sent."""
        if not self._is_finished:
            super().send(message)
        elif isinstance(message, BeginAttempt):
            self._attempts.report_not_sent(message)

    def cleanup(self) -> None:
        """Release all resources, and report every attempt that has no outcome yet."""
        self._is_finished = True
        self.stream.close()
        self.opening.finish()
        self._attempts.close()
        self._attempts.report(AttemptStatus.CANCELLED)
        while not self.mailbox.empty():
            message = self.mailbox.get_nowait()
            if isinstance(message, BeginAttempt):
                self._attempts.report_not_sent(message)
        if self.request:
            may_run_again = self._is_rejected or not self._attempts.may_have_run
            self.context.request_ids.release(self.request, may_run_again)
            self.context.send_to_dispatcher(RequestFinished(self, self.request))

    # ---- main sequence --------------------------------------------------------------------------

    async def run(self) -> None:
        """Read the request, have it answered, and relay lines until the connection ends."""
        open_request = await self._read_request()
        if open_request is None:
            return
        if self.context.is_short_of_descriptors():
            self.context.metrics.count_reply(open_request.request_class, ReplyOutcome.REJECTED)
            await self._reject(busy_line(self.context.settings.longest_retry_after))
            return
        await self._serve(open_request)

    async def _read_request(self) -> OpenRequest | None:
        """Read the request; return None if the client disconnected without one or violated the protocol."""
        try:
            self.open_request = await self.opening.read_request()
        except ProtocolError as error:
            self.context.protocol_errors.record(str(error))
        except ConnectionLostError:
            return None
        else:
            if self.open_request is not None:
                self.request = self.open_request.request
                self.opening.finish()
            return self.open_request
        # After the handler, because the error's traceback keeps all that the parser has made of the line.
        self.opening.finish()
        await self._reject(FAIL_LINE)
        return None

    async def _reject(self, line: bytes) -> None:
        """Write the final answer to a client whose request is not accepted, and close."""
        self.state = ConnectionState.ENDED
        await reject_and_close(self.stream, line, REJECT_TIMEOUT_SECONDS, REJECT_MAX_BYTES)

    async def _serve(self, open_request: OpenRequest) -> None:
        now = self.context.clock.now()
        time_left = time_left_for_answer(open_request, self.context.answer_deadline - now)
        self._deadline = now + time_left
        self.state = ConnectionState.WAITING
        self._reader = spawn(self._read_client(), "client connection reader")
        timer = asyncio.get_running_loop().call_later(
            time_left + DEADLINE_GRACE_SECONDS, self.send, AbandonRequest(AbandonReason.DEADLINE_EXCEEDED)
        )
        try:
            if open_request.resume_backend:
                self._resume(open_request)
            else:
                self.context.send_to_dispatcher(NewRequest(self, request_received(open_request, time_left)))
            while self.state is not ConnectionState.ENDED:
                await self._receive(await self.mailbox.get())
        finally:
            timer.cancel()
            self._may_read_lines.set()

    # ---- lines ----------------------------------------------------------------------------------

    async def _read_client(self) -> None:
        """Read from the client until it ends; relay its lines once the connection is established."""
        reset = False
        try:
            while True:
                if self.stream.buffer.has_data:
                    self._abandon_if_unanswered()
                    await self._may_read_lines.wait()
                while (line := await self.stream.next_buffered_line()) is not None:
                    await self._send_to_backend(line)
                if not await self.stream.receive():
                    break
            if self._may_read_lines.is_set():  # an incomplete last line is relayed unchanged
                await self._send_to_backend(self.stream.buffer.take_remaining())
        except ConnectionLostError:
            reset = True
        except ProtocolError as error:
            log.info("client protocol error", request=self.request, reason=str(error))
            reset = True
        self.send(ClientClosed(reset))

    def _abandon_if_unanswered(self) -> None:
        """Fail the request of a client that sends data before the answer; a resumed client may do so."""
        if self._is_waiting and self.open_request and not self.open_request.resume_backend:
            self.send(AbandonRequest(AbandonReason.DATA_BEFORE_ANSWER))

    async def _send_to_backend(self, line: memoryview) -> None:
        attempt = self._attempts.current
        is_established = self.state is ConnectionState.ESTABLISHED
        if not is_established or attempt is None or attempt.stream is None or not len(line):
            return
        self.context.send_to_dispatcher(LineSent(self.request, self.context.clock.now()))
        with contextlib.suppress(ConnectionLostError):  # the attempt's reader reports the lost connection
            await attempt.stream.write(line)

    async def deliver(self, line: memoryview) -> None:
        """Write a backend's line to the client; awaiting the write applies backpressure to the backend."""
        with contextlib.suppress(ConnectionLostError):  # the client reader reports the lost connection
            await self.stream.write(line)

    def backend_line_received(self, line: memoryview) -> None:
        """Notify the dispatcher that a backend sent a line, or of the load that a LOAD line carries."""
        load = parse_load(line)
        if load is None:
            self.context.send_to_dispatcher(LineReceived(self.request, self.context.clock.now()))
        else:
            self.context.send_to_dispatcher(ConnectionLoadChanged(self.request, load * MICROSECONDS))

    # ---- messages -------------------------------------------------------------------------------

    async def _receive(self, message: ConnectionMessage) -> None:
        """Process one message; messages that do not apply to the current state are dropped."""
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
        """Write the final answer and close; the attempt in flight, if any, is cancelled first."""
        self.state = ConnectionState.ENDED
        self._is_rejected = outcome is ReplyOutcome.REJECTED
        if self.open_request is not None:
            self.context.metrics.count_reply(self.open_request.request_class, outcome)
        self._attempts.close()
        self._attempts.report(AttemptStatus.CANCELLED)
        self._may_read_lines.set()
        if await write_within(self.stream, line, LAST_LINE_TIMEOUT_SECONDS):
            await close_gracefully(self.stream, self._reader, CLOSE_TIMEOUT_SECONDS)

    # ---- attempts -------------------------------------------------------------------------------

    def _begin_attempt(self, message: BeginAttempt) -> None:
        may_begin = self._is_waiting and self._attempts.unreported is None
        if not may_begin or self.open_request is None:
            self._attempts.report_not_sent(message)
            return
        if self.stream.has_ended():  # the reader's ClientClosed has not been processed yet
            self._attempts.report_not_sent(message)
            self.send(ClientClosed(reset=False))
            return
        self._attempts.begin(self, message, self.open_request, self._deadline)

    def wants_answer(self) -> bool:
        """Return whether the request still needs an attempt.

        The kernel is asked whether the client has disconnected, because the reader may report it late.
        """
        return self._is_waiting and not self.stream.has_ended()

    def open_line_sent(self) -> None:
        """Count an attempt whose OPEN line was written completely."""
        self.context.metrics.count_dispatch()

    async def _establish(self, line: bytes) -> None:
        attempt = self._attempts.current
        if attempt is None or self.open_request is None:
            return
        if not self._is_waiting:
            attempt.close()
            return
        self.state = ConnectionState.ESTABLISHED
        self.open_request = self.open_request.without_line()
        self.context.metrics.count_reply(self.open_request.request_class, ReplyOutcome.ESTABLISHED)
        with contextlib.suppress(ConnectionLostError):  # the client reader reports the lost connection
            await self.stream.write(line)
        if self.open_request.resume_backend:
            self.context.send_to_dispatcher(ResumedConnection(self, connection_resumed(self.open_request)))
        elif (begun := self._attempts.unreported) is not None:
            established = ConnectionEstablished(self.request, begun.attempt, self._attempts.elapsed())
            self.context.send_to_dispatcher(established)
        attempt.may_relay.set()
        self._may_read_lines.set()

    async def _end_attempt(self, status: AttemptStatus, reset: bool) -> None:
        if self.state is ConnectionState.ESTABLISHED:
            self.state = ConnectionState.ENDED
            self._attempts.report(status)
            if reset:
                self.stream.abort()
            else:
                await close_gracefully(self.stream, self._reader, CLOSE_TIMEOUT_SECONDS)
        elif self._is_waiting:
            if self.open_request is not None and self.open_request.resume_backend:
                await self._retry_resume(self.open_request, status)
            elif self.stream.has_ended():  # a final outcome, so that the balancer does not retry
                self.state = ConnectionState.ENDED
                self._attempts.report(status)
            else:
                self._attempts.report(status, final=False)

    # ---- client disconnect and migration ----------------------------------------------------------

    async def _end_client(self, reset: bool) -> None:
        was_established = self.state is ConnectionState.ESTABLISHED
        self.state = ConnectionState.ENDED
        if was_established:
            await self._end_backend(reset)
            return
        if self.open_request is None or not self.open_request.resume_backend:
            self.context.send_to_dispatcher(ClientDisconnected(self.request))
        self._attempts.close()
        self._attempts.report(AttemptStatus.CANCELLED)

    async def _end_backend(self, reset: bool) -> None:
        """End the backend's side in the same way as the client ended its own."""
        attempt = self._attempts.current
        if attempt is None or attempt.stream is None:
            return
        if reset:
            attempt.stream.abort()
            self._attempts.report(AttemptStatus.CANCELLED)
            return
        # The client may have closed only its sending direction: what the backend still sends is relayed.
        attempt.stream.send_eof()
        status = await self._wait_for_backend(attempt)
        self._attempts.report(AttemptStatus.OK if status is AttemptStatus.OK else AttemptStatus.CANCELLED)
        self.stream.send_eof()

    async def _wait_for_backend(self, attempt: BackendAttempt) -> AttemptStatus:
        """Wait up to ``CLOSE_TIMEOUT_SECONDS`` for the backend to end; return how it ended."""
        if attempt.task is not None:
            await asyncio.wait([attempt.task], timeout=CLOSE_TIMEOUT_SECONDS)
        status = AttemptStatus.CANCELLED
        # No message is processed during the wait, so the attempt's ``AttemptEnded`` is still in the mailbox.
        # The other messages do not matter after the client has disconnected.
        while not self.mailbox.empty():
            message = self.mailbox.get_nowait()
            if isinstance(message, AttemptEnded):
                status = message.status
        return status

    async def _migrate(self) -> None:
        """Write MOVE after the last complete line, then end both sides."""
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

    # ---- connections resumed after a restart of the proxy -----------------------------------------

    def _resume(self, open_request: OpenRequest) -> None:
        address = self.context.address_of(open_request.resume_backend)
        self._begin_attempt(BeginAttempt(self.request, open_request.resume_backend, 0, 0.0, address))

    async def _retry_resume(self, open_request: OpenRequest, status: AttemptStatus) -> None:
        """Retry at the same backend, which is the only possible one and may be restarting as well."""
        self._attempts.discard_outcome()
        retry_by = self._deadline - 2 * RESUME_RETRY_SECONDS
        if status not in NEVER_RAN or self.context.clock.now() > retry_by:
            await self._answer(FAIL_LINE, ReplyOutcome.FAILED)
            return
        await asyncio.sleep(RESUME_RETRY_SECONDS)
        self._resume(open_request)
