"""A client connection between its OPEN line and its answer: clients that leave, and unsafe retries.

Each test delays one event until another has happened; docs/design/race-conditions.md has a table of the
races.
"""

from __future__ import annotations

import asyncio
import gc
import weakref
from contextlib import suppress
from dataclasses import replace

import pytest

from saltcourse.balancing.events import AttemptFinished, AttemptStatus, ClientDisconnected
from saltcourse.balancing.settings import DeduplicationScope, Idempotency
from saltcourse.codec.errors import ProtocolError
from saltcourse.codec.lines import OpenRequest
from saltcourse.proxy import opening
from saltcourse.proxy.client_connection import ClientConnection, ConnectionState
from saltcourse.proxy.messages import BeginAttempt, ClientClosed, NewRequest
from saltcourse.proxy.stream import SocketStream
from tests.balancing.balancer_host import QUICK
from tests.proxy.running_proxy import (
    OPEN,
    RunningProxy,
    has_left,
    nothing_connected,
    record_dispatcher_messages,
    record_then,
    run_loop_iterations,
    wait_until,
    write_open_line_in_parts,
)

pytestmark = pytest.mark.usefixtures("no_front_notice")


def hold_reader(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Delay the client reader until the returned gate is set, so that it sees nothing after the OPEN line."""
    gate, read = asyncio.Event(), ClientConnection._read_client

    async def read_after_gate(self: ClientConnection) -> None:
        await gate.wait()
        await read(self)

    monkeypatch.setattr(ClientConnection, "_read_client", read_after_gate)
    return gate


@pytest.mark.parametrize(
    ("idempotency", "scope", "window", "is_retried"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0, True),
        (Idempotency.KEYED, DeduplicationScope.ALL, 60.0, True),
        (Idempotency.KEYED, DeduplicationScope.ALL, 0.1, False),
        (Idempotency.KEYED, DeduplicationScope.ZONE, 60.0, True),
        (Idempotency.KEYED, DeduplicationScope.ZONE, 0.1, False),
        (Idempotency.KEYED, DeduplicationScope.CELL, 60.0, False),
        (Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 60.0, False),
    ],
)
def test_a_request_that_may_have_run_is_retried_only_if_that_is_safe(
    monkeypatch: pytest.MonkeyPatch,
    idempotency: Idempotency,
    scope: DeduplicationScope,
    window: float,
    is_retried: bool,
) -> None:
    """Guards against a request that runs twice.

    An attempt timed out while the kernel accepted the last byte of its OPEN line, and the request was retried
    as if it had not been sent. A retry is allowed only if the request class is idempotent, or has an
    idempotency key and the retry falls within its deduplication scope and window.
    """
    request_class = replace(
        QUICK,
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window=window,
        latency_objective=0.2,
        deadline=0.6,
    )
    # The single attempt of a request that must not run twice gets all of the request's time.
    seconds = 0.65 if idempotency is Idempotency.NOT_IDEMPOTENT else 0.25

    async def play() -> None:
        async with RunningProxy(2, request_class, connect_timeout=0.1) as proxy:
            write_open_line_in_parts(monkeypatch, seconds)
            client = await proxy.client(OPEN.format(600))
            first, backend = await proxy.accept_any()
            assert (await backend.line()).startswith("OPEN a b")
            if is_retried:
                retry = await proxy.accept(1 - first)
                assert (await retry.line()).startswith("OPEN a b")
            else:
                assert await client.line() in ("ERR", "BUSY")
                assert all(nothing_connected(listener) for listener in proxy.backends)

    asyncio.run(play())


@pytest.mark.parametrize("sent_before_leaving", [b"", b"more than one line"])
def test_a_request_is_not_forwarded_if_its_client_left_during_the_decision(
    monkeypatch: pytest.MonkeyPatch, sent_before_leaving: bytes
) -> None:
    """Guards against a backend running a request whose client has left.

    The client left while the balancer decided, and the attempt began before the reader had seen the client's
    end. The kernel knows of the end, even if it follows unread bytes.
    """

    async def play() -> None:
        gate = hold_reader(monkeypatch)
        async with RunningProxy() as proxy:
            send, delayed = proxy.server.dispatcher.send, []
            proxy.server.context.send_to_dispatcher = delayed.append
            client = await proxy.client(OPEN.format(900))
            await wait_until(lambda: any(isinstance(message, NewRequest) for message in delayed))
            if sent_before_leaving:
                client.sock.send(sent_before_leaving)
            client.sock.close()
            await wait_until(lambda: has_left(client.connection))
            proxy.server.context.send_to_dispatcher = send
            for message in delayed:
                send(message)
            await run_loop_iterations()
            assert nothing_connected(proxy.backends[0])
            gate.set()

    asyncio.run(play())


def test_an_attempt_queued_before_the_client_disconnect_does_not_begin() -> None:
    """Guards against an attempt that begins while ``ClientClosed`` is already queued behind its order."""

    async def play() -> None:
        async with RunningProxy() as proxy:
            proxy.server.context.send_to_dispatcher = lambda message: None
            client = await proxy.client(OPEN.format(900))
            await wait_until(lambda: client.connection.state is ConnectionState.WAITING)
            connection = client.connection
            # Both messages are in the mailbox before the connection runs, and it does not wait between them.
            connection.send(BeginAttempt("a", "s0", 0, 0.9, proxy.backends[0].getsockname()))
            connection.send(ClientClosed(reset=False))
            await run_loop_iterations()
            assert nothing_connected(proxy.backends[0])
            proxy.server.context.send_to_dispatcher = proxy.server.dispatcher.send

    asyncio.run(play())


def test_the_balancer_is_notified_immediately_if_the_client_left_before_its_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a balancer that is not notified of a client's disconnect.

    The client had left before its attempt was to begin, and the reader had not seen the end yet. The attempt
    was not sent, but ``ClientDisconnected`` was missing. The connection has to report both as soon as it gets
    the order to begin.
    """

    async def play() -> None:
        gate = hold_reader(monkeypatch)
        async with RunningProxy() as proxy:
            proxy.server.context.send_to_dispatcher = lambda message: None
            client = await proxy.client(OPEN.format(900))
            connection = client.connection
            await wait_until(lambda: connection.state is ConnectionState.WAITING)
            client.sock.close()
            await wait_until(lambda: has_left(connection))
            sent = record_dispatcher_messages(proxy)
            connection.send(BeginAttempt("a", "s0", 0, 0.9, proxy.backends[0].getsockname()))
            await wait_until(lambda: not proxy.server.clients)
            attempts = [message for message in sent if isinstance(message, AttemptFinished)]
            assert [(each.status, each.final) for each in attempts] == [(AttemptStatus.NOT_SENT, True)]
            assert ClientDisconnected("a") in sent
            assert nothing_connected(proxy.backends[0])
            gate.set()

    asyncio.run(play())


def test_the_open_line_is_not_written_when_the_client_left_during_the_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an OPEN line that is written after a slow connect although the client has left."""

    async def play() -> None:
        gate = hold_reader(monkeypatch)
        connected, connect = asyncio.Event(), SocketStream.connect

        async def late(self: SocketStream, address: tuple[str, int]) -> None:
            await connect(self, address)
            await connected.wait()

        monkeypatch.setattr(SocketStream, "connect", late)
        async with RunningProxy() as proxy:
            client = await proxy.client(OPEN.format(1200))
            backend = await proxy.accept()
            client.sock.close()
            await wait_until(lambda: has_left(client.connection))
            connected.set()
            await backend.sees("end")
            assert backend.received == b""
            gate.set()

    asyncio.run(play())


def test_no_retry_for_a_client_that_left_during_its_first_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a retry for a client that has left.

    The client left during its first attempt, which then failed. The request was retried at another backend
    before the reader had seen the client's end.
    """

    async def play() -> None:
        gate = hold_reader(monkeypatch)
        async with RunningProxy(2) as proxy:
            client = await proxy.client(OPEN.format(1200))
            _, backend = await proxy.accept_any()
            await backend.line()
            client.sock.close()
            await wait_until(lambda: has_left(client.connection))
            await backend.send("BUSY", b"\r\n")
            await backend.sees("end")
            await run_loop_iterations()
            assert all(nothing_connected(listener) for listener in proxy.backends)
            gate.set()

    asyncio.run(play())


def test_the_outcome_of_a_failed_attempt_is_final_if_the_client_has_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against retry budget that is spent for a client that has left.

    The client left during its first attempt, which failed before the reader had seen the client's end. The
    balancer chose a backend for a retry and spent retry budget. The attempt's outcome has to be final, so
    that no second attempt is ordered.
    """

    async def play() -> None:
        gate = hold_reader(monkeypatch)
        async with RunningProxy(2) as proxy:
            sent = record_dispatcher_messages(proxy)
            client = await proxy.client(OPEN.format(1200))
            _, backend = await proxy.accept_any()
            await backend.line()
            ordered: list[object] = []
            monkeypatch.setattr(client.connection, "send", record_then(ordered, client.connection.send))
            client.sock.close()
            await wait_until(lambda: has_left(client.connection))
            await backend.send("BUSY", b"\r\n")
            await backend.sees("end")
            await run_loop_iterations()
            outcomes = [message for message in sent if isinstance(message, AttemptFinished)]
            assert [(each.status, each.final) for each in outcomes] == [(AttemptStatus.FULL, True)]
            assert not [message for message in ordered if isinstance(message, BeginAttempt)]
            gate.set()

    asyncio.run(play())


def test_no_request_is_forwarded_for_a_burst_of_clients_that_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against forwarding the requests of many clients that leave at the same time.

    Sixty clients leave while their requests are decided, a third of them after sending a flood behind their
    OPEN line, and the readers have not seen their ends yet. No request may be forwarded, and the proxy must
    not leak descriptors or tasks.
    """

    async def play() -> None:
        gate = hold_reader(monkeypatch)
        async with RunningProxy(sockets=400) as proxy:
            send, delayed = proxy.server.dispatcher.send, []
            proxy.server.context.send_to_dispatcher = delayed.append
            clients = [await proxy.client(f"OPEN a{n} b c=quick,d=9000") for n in range(60)]
            connections: list[ClientConnection] = [client.connection for client in clients]
            await wait_until(lambda: all(each.state is ConnectionState.WAITING for each in connections))
            for client in clients[::3]:
                with suppress(BlockingIOError):
                    client.sock.send(b"x" * 5000)
            for client in clients:
                client.sock.close()
            await wait_until(lambda: all(has_left(connection) for connection in connections))
            proxy.server.context.send_to_dispatcher = send
            for message in delayed:
                send(message)
            await run_loop_iterations()
            assert nothing_connected(proxy.backends[0])
            gate.set()

    asyncio.run(play())


def test_a_second_open_before_the_answer_fails_the_request_and_is_not_forwarded() -> None:
    """A client that does not wait for its answer violates the protocol: its request is failed."""

    async def play() -> None:
        async with RunningProxy(2) as proxy:
            client = await proxy.client(OPEN.format(5000))
            _, backend = await proxy.accept_any()
            await backend.line()
            await client.send("OPEN c b c=quick,d=5000", b"\r\n")
            assert await client.line() == "ERR"
            await client.sees("end")
            await backend.sees("end")
            assert all(nothing_connected(listener) for listener in proxy.backends)

    asyncio.run(play())


def test_a_rejected_client_does_not_keep_what_was_parsed_of_its_line(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the traceback of a protocol error, which kept all fields of a line during its rejection.

    Each rejected client cost some 100 KB for 0.3 s, so hundreds of them took a process over its limit.
    """
    errors: list[weakref.ref[ProtocolError]] = []

    def fail(line: memoryview) -> OpenRequest:
        error = ProtocolError("invalid line")
        errors.append(weakref.ref(error))
        raise error

    monkeypatch.setattr(opening, "parse_open", fail)

    async def play() -> None:
        async with RunningProxy() as proxy:
            client = await proxy.client(OPEN.format(900))
            assert await client.line() == "ERR"
            await run_loop_iterations()
            assert proxy.server.clients, "the proxy waits for the client to close"
            gc.collect()  # the error is in a cycle with the frame of ``fail``
            assert [error() for error in errors] == [None]

    asyncio.run(play())
