"""Two events that meet, on real sockets: one is held back until the other is in place.

docs/design/race-conditions.md has the table of states and events that these tests go through.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from saltcourse.balancing.actions import FetchEndpoints, WatchEndpoints
from saltcourse.balancing.events import AttemptStatus, EndpointsUpdated, EndpointUpdateKind
from saltcourse.balancing.settings import DeduplicationScope, DiscoveryMode, Idempotency, RequestClass
from saltcourse.proxy import discovery_client, draining, opening
from saltcourse.proxy.attempt import AttemptRequest, BackendAttempt
from saltcourse.proxy.client_connection import ClientConnection, ConnectionState
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.descriptors import OWN_DESCRIPTORS
from saltcourse.proxy.discovery_client import DiscoveryClient
from saltcourse.proxy.messages import BeginAttempt, ClientClosed, EndpointsReceived, NewRequest
from saltcourse.proxy.opening import Opening
from saltcourse.proxy.server import Phase
from saltcourse.proxy.stream import SocketStream, _HalfCloseIOStream
from tests.admin.test_server import free_port, values
from tests.balancing.balancer_host import QUICK, Node, members
from tests.proxy.exchange_player import RemoteConnection, listen
from tests.proxy.running_proxy import RunningProxy, has_left, nothing_connected, run_loop_turns, wait_until

OPEN = "OPEN a b c=quick,d={}"
TERM, TURN = 6.0, 3.0  # s within which news counts as told; that a call waits for its turn at the longest
SHORT = RequestClass("quick", latency_objective=0.1, deadline=0.3, message_latency_objective=0.06)


@pytest.fixture(autouse=True)
def no_wait_for_the_front(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(draining, "FRONT_NOTICE_SECONDS", 0.0)


def hold_reader(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """What a client does after its first line is heard of by nobody until the gate opens."""
    gate, read = asyncio.Event(), ClientConnection._read_client

    async def held(self: ClientConnection) -> None:
        await gate.wait()
        await read(self)

    monkeypatch.setattr(ClientConnection, "_read_client", held)
    return gate


# ---- attempts and clients that have gone ------------------------------------------------------------


class RecordingOwner:
    def __init__(self) -> None:
        self.told: list[Any] = []
        self.sent = 0

    def send(self, message: Any) -> None:
        self.told.append(message)

    async def deliver(self, line: memoryview) -> None:
        raise AssertionError("no line was to follow")

    def wants_answer(self) -> bool:
        return True

    def open_line_sent(self) -> None:
        self.sent += 1

    def backend_line_received(self, line: memoryview) -> None:
        raise AssertionError("no line was to come")


def call_to(listener: socket.socket, owner: RecordingOwner, seconds: float) -> BackendAttempt:
    line = b"OPEN a b c=quick,d=900\r\n"
    request = AttemptRequest(0, "s0", listener.getsockname(), line, seconds, 1.0)
    return BackendAttempt(owner, Clock(), request)


def test_a_call_given_up_before_its_first_turn_neither_connects_nor_writes() -> None:
    async def play() -> None:
        listener, owner = listen(), RecordingOwner()
        call = call_to(listener, owner, 1.0)
        call.start()
        call.close()
        assert call.task is not None
        await call.task
        assert nothing_connected(listener)
        assert [message.status for message in owner.told] == [AttemptStatus.NOT_SENT] and not owner.sent
        listener.close()

    asyncio.run(play())


def cut_in_parts(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    """The first OPEN line goes in two parts. Between them the loop stands still for so long that the call's
    time is up in the very turn in which the kernel takes the rest."""
    write, calls = _HalfCloseIOStream.write_to_fd, []

    def in_parts(self: _HalfCloseIOStream, data: memoryview) -> int:
        if bytes(data[:4]) != b"OPEN" and not calls or len(calls) > 1:
            return write(self, data)
        calls.append(self)
        if len(calls) == 1:
            return write(self, data[:10])
        time.sleep(seconds)
        return 0

    monkeypatch.setattr(_HalfCloseIOStream, "write_to_fd", in_parts)


def test_time_up_as_the_last_byte_is_taken_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        listener, owner = listen(), RecordingOwner()
        cut_in_parts(monkeypatch, 0.25)
        call = call_to(listener, owner, 0.2)
        call.start()
        assert call.task is not None
        await call.task
        taken = listener.accept()[0]
        assert taken.recv(4096) == b"OPEN a b c=quick,d=900\r\n"
        assert [message.status for message in owner.told] == [AttemptStatus.TIMEOUT] and owner.sent == 1
        taken.close()
        listener.close()

    asyncio.run(play())


@pytest.mark.parametrize(
    ("effect", "scope", "window", "again"),
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
def test_what_may_have_run_is_sent_again_only_where_that_is_harmless(
    monkeypatch: pytest.MonkeyPatch,
    effect: Idempotency,
    scope: DeduplicationScope,
    window: float,
    again: bool,
) -> None:
    request_class = replace(
        QUICK,
        idempotency=effect,
        deduplication_scope=scope,
        deduplication_window=window,
        latency_objective=0.2,
        deadline=0.6,
    )
    seconds = (
        0.65 if effect is Idempotency.NOT_IDEMPOTENT else 0.25
    )  # its attempt has all the time that there is

    async def play() -> None:
        async with RunningProxy(2, request_class, connect_timeout=0.1) as proxy:
            cut_in_parts(monkeypatch, seconds)
            client = await proxy.client(OPEN.format(600))
            first, backend = await proxy.accept_any()
            assert (await backend.line()).startswith("OPEN a b")
            if again:
                assert (await (await proxy.accept(1 - first)).line()).startswith("OPEN a b")
            else:
                assert await client.line() in ("ERR", "BUSY")
                assert nothing_connected(proxy.backends[1 - first]) and nothing_connected(
                    proxy.backends[first]
                )

    asyncio.run(play())


@pytest.mark.parametrize("before_its_end", [b"", b"more than one line"])
def test_a_client_that_left_while_its_request_was_decided_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch, before_its_end: bytes
) -> None:
    async def play() -> None:
        gate = hold_reader(monkeypatch)
        async with RunningProxy() as proxy:
            told, held = proxy.server.dispatcher.send, []
            proxy.server.context.send_to_dispatcher = held.append
            client = await proxy.client(OPEN.format(900))
            await wait_until(lambda: any(isinstance(message, NewRequest) for message in held))
            if before_its_end:
                client.sock.send(before_its_end)
            client.sock.close()
            await wait_until(lambda: has_left(client.connection))
            proxy.server.context.send_to_dispatcher = told
            for message in held:
                told(message)
            await run_loop_turns()
            assert nothing_connected(proxy.backends[0])
            gate.set()

    asyncio.run(play())


def test_a_place_in_front_of_the_clients_end_in_the_mailbox_is_not_carried_out() -> None:
    async def play() -> None:
        async with RunningProxy() as proxy:
            proxy.server.context.send_to_dispatcher = lambda message: None
            client = await proxy.client(OPEN.format(900))
            await wait_until(lambda: client.connection.state is ConnectionState.WAITING)
            actor = client.connection
            # Both are in the mailbox before the connection has its turn; the first is taken without a pause.
            actor.send(BeginAttempt("a", "s0", 0, 0.9, proxy.backends[0].getsockname()))
            actor.send(ClientClosed(reset=False))
            await run_loop_turns()
            assert nothing_connected(proxy.backends[0])
            proxy.server.context.send_to_dispatcher = proxy.server.dispatcher.send

    asyncio.run(play())


def test_a_line_is_not_written_when_the_client_left_while_the_call_connected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        gate = hold_reader(monkeypatch)
        up, connect = asyncio.Event(), SocketStream.connect

        async def late(self: SocketStream, address: tuple[str, int]) -> None:
            await connect(self, address)
            await up.wait()

        monkeypatch.setattr(SocketStream, "connect", late)
        async with RunningProxy() as proxy:
            client = await proxy.client(OPEN.format(1200))
            backend = await proxy.accept()
            client.sock.close()
            await wait_until(lambda: has_left(client.connection))
            up.set()
            await backend.sees("end")
            assert backend.received == b""
            gate.set()

    asyncio.run(play())


def test_no_further_attempt_for_a_client_that_left_during_the_first(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        gate = hold_reader(monkeypatch)
        async with RunningProxy(2) as proxy:
            client = await proxy.client(OPEN.format(1200))
            first, backend = await proxy.accept_any()
            await backend.line()
            client.sock.close()
            await wait_until(lambda: has_left(client.connection))
            await backend.send("BUSY", b"\r\n")
            await backend.sees("end")
            await run_loop_turns()
            assert nothing_connected(proxy.backends[1 - first]) and nothing_connected(proxy.backends[first])
            gate.set()

    asyncio.run(play())


def test_a_burst_of_clients_that_leave_sends_nothing_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Some with a flood behind their line: they are gone, and leave nothing behind in the program."""

    async def play() -> None:
        gate = hold_reader(monkeypatch)
        async with RunningProxy(sockets=400) as proxy:
            told, held = proxy.server.dispatcher.send, []
            proxy.server.context.send_to_dispatcher = held.append
            clients = [await proxy.client(f"OPEN a{n} b c=quick,d=9000") for n in range(60)]
            actors: list[ClientConnection] = [client.connection for client in clients]
            await wait_until(lambda: all(actor.state is ConnectionState.WAITING for actor in actors))
            for client in clients[::3]:
                with suppress(BlockingIOError):
                    client.sock.send(b"x" * 5000)
            for client in clients:
                client.sock.close()
            await wait_until(lambda: all(has_left(actor) for actor in actors))
            proxy.server.context.send_to_dispatcher = told
            for message in held:
                told(message)
            await run_loop_turns()
            assert nothing_connected(proxy.backends[0])
            gate.set()

    asyncio.run(play())


# ---- the end of the program ------------------------------------------------------------------------


def crossing(monkeypatch: pytest.MonkeyPatch, ends: list[RemoteConnection], text: bytes) -> None:
    """The client's bytes come right after the program has ended its side, or closed the connection."""

    def crossed(act: Callable[[SocketStream], None]) -> Callable[[SocketStream], None]:
        def acted(self: SocketStream) -> None:
            act(self)
            while ends:
                ends.pop().sock.send(text)

        return acted

    monkeypatch.setattr(SocketStream, "send_eof", crossed(SocketStream.send_eof))
    monkeypatch.setattr(SocketStream, "close", crossed(SocketStream.close))


async def no_reset(end: RemoteConnection) -> None:
    """The client ends its side when it has seen the program's; a reset would come after that."""
    await end.sees("end")
    end.sock.shutdown(socket.SHUT_WR)
    await wait_until(lambda: end.connection.stream.closed)
    await run_loop_turns()
    assert end.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0, "a reset followed the end"
    assert not end.received, f"something else than the end: {end.received!r}"


def short_times(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    if how == "first line":
        monkeypatch.setattr(opening, "FIRST_LINE_TIMEOUT_SECONDS", 0.1)
    if how == "ping":
        monkeypatch.setattr(opening, "PING_TIMEOUT_SECONDS", 0.1)


async def rest(client: RemoteConnection) -> None:
    await client.send("PING", b"\r\n")
    assert await client.line() == "PONG"


@pytest.mark.parametrize("how", ["drain", "first line", "ping", "shed"])
def test_a_request_that_crosses_the_programs_end_is_not_sent_on_and_not_reset(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    short_times(monkeypatch, how)

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            if how in ("drain", "ping"):
                await rest(client)
            ends = [client]
            crossing(monkeypatch, ends, OPEN.format(900).encode() + b"\r\n")
            if how == "drain":
                proxy.server.leave.set()
            if how == "shed":
                client.connection.opening.shed()
            await no_reset(client)
            assert not ends and nothing_connected(proxy.backends[0])

    asyncio.run(play())


@pytest.mark.parametrize("how", ["drain", "first line", "ping"])
def test_a_request_that_came_before_the_programs_end_is_answered(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """Its bytes are with the kernel, and the coroutine that reads has not had its turn."""
    on_timeout = Opening._on_timeout
    ends: list[RemoteConnection] = []

    def crossed(self: Opening, *check_unread: bool) -> None:
        while ends:
            ends.pop().sock.send(OPEN.format(900).encode() + b"\r\n")
        on_timeout(self, *check_unread)

    monkeypatch.setattr(Opening, "_on_timeout", crossed)
    short_times(monkeypatch, how)

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            if how in ("drain", "ping"):
                await rest(client)
            ends.append(client)
            if how == "drain":
                proxy.server.leave.set()
            backend = await proxy.accept()
            await backend.line()
            await backend.send("UP 1", b"\r\n")
            assert await client.line() == "UP 1"

    asyncio.run(play())


def test_a_request_that_is_read_but_not_heard_yet_is_answered_though_its_time_is_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time is up between the read and the turn of the coroutine that waits for it."""
    read = _HalfCloseIOStream.read_from_fd
    actors: list[ClientConnection] = []

    def crossed(self: _HalfCloseIOStream, buf: memoryview) -> int | None:
        count = read(self, buf)
        if count and actors and self is actors[0].stream._stream:
            asyncio.get_running_loop().call_soon(actors.pop().opening._on_timeout)
        return count

    monkeypatch.setattr(_HalfCloseIOStream, "read_from_fd", crossed)

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            await rest(client)
            actors.append(client.connection)
            await client.send(OPEN.format(900), b"\r\n")
            backend = await proxy.accept()
            await backend.line()
            await backend.send("UP 1", b"\r\n")
            assert not actors and await client.line() == "UP 1"

    asyncio.run(play())


@pytest.mark.parametrize("stage", ["new", "resting", "half", "half and its rest", "waiting", "standing"])
def test_every_stage_of_a_connection_ends_as_it_should_when_the_program_leaves(
    monkeypatch: pytest.MonkeyPatch, stage: str
) -> None:
    ended: list[Phase] = []
    finish = SocketStream.send_eof

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()

            def finished(self: SocketStream) -> None:
                if self is client.connection.stream:
                    ended.append(proxy.server.phase)
                finish(self)

            monkeypatch.setattr(SocketStream, "send_eof", finished)
            if stage == "resting":
                await rest(client)
            if stage.startswith("half"):
                await client.send("OPEN a b c=qu", b"")
                await wait_until(lambda: client.connection.stream.buffer.has_data)
            if stage in ("waiting", "standing"):
                await client.send(OPEN.format(5000), b"\r\n")
                backend = await proxy.accept()
                await backend.line()
            if stage == "standing":
                await backend.send("UP 1", b"\r\n")
                assert await client.line() == "UP 1"
            proxy.server.leave.set()
            await wait_until(lambda: proxy.server.phase is Phase.MIGRATING)
            if stage == "half and its rest":
                await client.send("ick,d=900", b"\r\n")
                backend = await proxy.accept()
                await backend.line()
                await backend.send("UP 2", b"\r\n")
                assert await client.line() == "UP 2"
            if stage in ("half and its rest", "standing"):
                assert await client.line() == "MOVE"
            if stage == "waiting":
                assert await client.line() in ("BUSY", "ERR")
            await no_reset(client)
            assert ended == [Phase.MIGRATING]  # not by the end of the process

    asyncio.run(play())


def test_a_request_taken_late_with_all_its_time_is_answered_before_the_program_ends() -> None:
    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            await client.send("OPEN a b c=quick,d=60", b"")
            await wait_until(lambda: client.connection.stream.buffer.has_data)
            proxy.server.leave.set()
            await wait_until(lambda: proxy.server.phase is Phase.MIGRATING)
            await client.send("000", b"\r\n")
            await (await proxy.accept()).line()  # and nothing ever comes back
            assert await client.line() in ("BUSY", "ERR")
            assert not proxy.running.done()

    asyncio.run(play())


def held_up(tmp_path: Path) -> tuple[subprocess.Popen[bytes], Path]:
    """The program stands at the opening of its configuration: a pipe that nobody has written to."""
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)
    process = subprocess.Popen(
        [sys.executable, "-m", "saltcourse"],
        stderr=subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": str(pipe)},
    )
    status, mask = Path(f"/proc/{process.pid}/status"), 1 << (signal.SIGHUP - 1)

    def caught() -> bool:
        row = next(line for line in status.read_text().splitlines() if line.startswith("SigCgt"))
        return bool(int(row.split()[1], 16) & mask)

    end = time.monotonic() + 20.0
    while not caught():
        assert time.monotonic() < end, "SIGHUP is never caught"
        time.sleep(0.005)
    return process, pipe


@pytest.mark.parametrize(
    "sent",
    [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP)],
)
def test_signals_before_the_program_can_act_on_them_are_held(tmp_path: Path, sent: tuple[int, ...]) -> None:
    process, pipe = held_up(tmp_path)
    for number in sent:
        process.send_signal(number)
    config = values()
    config["listen"] = f"127.0.0.1:{free_port()}"
    config.pop("admin", None)
    whole = tmp_path / "whole"
    whole.write_text(json.dumps(config))
    with pipe.open("w") as writer:  # the program has it open; at SIGHUP it reads the file in its place
        whole.replace(pipe)
        writer.write(json.dumps(config))
    _, said = process.communicate(timeout=20.0)
    assert process.returncode == 0, said.decode()
    assert b"Traceback" not in said


@pytest.mark.parametrize("phase", [Phase.SERVING, Phase.MIGRATING])
def test_signals_in_any_phase_neither_end_nor_break_the_program(phase: Phase) -> None:
    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client(OPEN.format(5000))
            await (await proxy.accept()).line()
            if phase is Phase.MIGRATING:
                os.kill(os.getpid(), signal.SIGTERM)
                await wait_until(lambda: proxy.server.phase is Phase.MIGRATING)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                os.kill(os.getpid(), number)
            assert await client.line() in ("BUSY", "ERR")
            await proxy.running
            for number in (signal.SIGHUP, signal.SIGTERM):  # in its last moments
                os.kill(os.getpid(), number)

    asyncio.run(play())


# ---- discovery -------------------------------------------------------------------------------------


class Catalog:
    """Discovery played by hand, before a directory and nothing else of the program."""

    def __init__(self, version: int) -> None:
        self.listener = listen()
        self.told: list[EndpointsReceived] = []
        self.client = DiscoveryClient(self.listener.getsockname(), version, self.told.append)
        self.client.start()
        self.calls: list[RemoteConnection] = []

    async def call(self) -> tuple[RemoteConnection, str]:
        async with asyncio.timeout(10.0):
            sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.calls.append(RemoteConnection(sock))
        target = (await self.calls[-1].line()).split()[1]
        return self.calls[-1], target

    @staticmethod
    async def answer(call: RemoteConnection, version: int, full: bool, state: str = "") -> None:
        servers = f'{{"id":"s0","addr":"127.0.0.1:9","state":"{state}"}}' if state else ""
        body = f'{{"version":{version},"full":{str(full).lower()},"servers":[{servers}]}}'
        await call.send(f"HTTP/1.1 200 OK\\r\\nContent-Length: {len(body)}\\r\\n\\r\\n{body}", b"")

    def versions(self) -> list[int]:
        return [each.update.version for each in self.told if each.update is not None]

    async def end(self) -> None:
        for task in (self.client.task, *self.client._calls):
            if task is not None:
                task.cancel()
        for call in self.calls:
            call.sock.close()
        self.listener.close()
        await run_loop_turns()


def test_a_whole_list_that_is_late_does_not_undo_what_a_watch_told_meanwhile() -> None:
    async def play() -> None:
        catalog = Catalog(5)
        catalog.client.send(FetchEndpoints())
        fetch, _ = await catalog.call()
        catalog.client.send(WatchEndpoints())
        watch, target = await catalog.call()
        assert "after=5&" in target
        await catalog.answer(watch, 7, False, "DRAINING")
        _, target = await catalog.call()
        await catalog.answer(fetch, 6, True, "SERVING")
        await wait_until(lambda: len(catalog.client._calls) == 1)  # the fetch is over
        assert "after=7&" in target and catalog.versions() == [7]
        await catalog.end()

    asyncio.run(play())


def test_a_discovery_that_began_anew_is_believed_though_its_versions_are_lower() -> None:
    async def play() -> None:
        catalog = Catalog(41)
        catalog.client.send(WatchEndpoints())
        call, _ = await catalog.call()
        await catalog.answer(call, 3, False, "DRAINING")  # changes to a list that nobody here has
        call, target = await catalog.call()
        assert "after=0&" in target
        await catalog.answer(call, 3, True, "SERVING")
        call, target = await catalog.call()
        assert "after=3&" in target and catalog.versions() == [3]
        await catalog.end()

    asyncio.run(play())


def test_a_watch_that_falls_silent_is_made_good_without_a_word_of_the_module(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A silence is no refusal: the module, which waits after those, has no part in it."""
    monkeypatch.setattr(discovery_client, "WATCH_WAIT_SECONDS", 0.05)
    monkeypatch.setattr(discovery_client, "WATCH_SLACK_SECONDS", 0.05)

    async def play() -> None:
        catalog = Catalog(5)
        catalog.client.send(WatchEndpoints())
        _, target = await catalog.call()
        assert "after=5&" in target
        call, target = await catalog.call()
        assert target == discovery_client.LIST_PATH and not catalog.told
        await catalog.answer(call, 9, True, "DRAINING")
        _, target = await catalog.call()
        assert "after=9&" in target and catalog.versions() == [9]
        await catalog.end()

    asyncio.run(play())


def test_a_silent_watch_and_the_call_in_its_place_fit_into_the_term() -> None:
    """From a call that is silent from its first moment to the turn of the next one at discovery."""
    assert discovery_client.WATCH_WAIT_SECONDS + discovery_client.WATCH_SLACK_SECONDS + TURN / 2 <= TERM
    assert discovery_client.WATCH_WAIT_SECONDS >= 2.0  # and discovery is not called in a hurry


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("refused_after", [0.0, 3.0])
def test_after_any_number_of_failures_the_list_is_asked_for_within_the_term(
    seed: int, refused_after: float
) -> None:
    """Discovery may be there again right after a call has failed: the wait and the next call's patience."""
    node = Node(seed, discovery_mode=DiscoveryMode.POLLED, poll_interval=10.0)
    node.list(members(2), EndpointUpdateKind.CACHED)
    asked: Callable[[], int] = lambda: len(node.of(WatchEndpoints)) + len(node.of(FetchEndpoints))  # noqa: E731
    while not asked():
        node.run(0.05)
    for _ in range(12):
        node.run(refused_after)
        before, failed = asked(), node.now
        node.give(EndpointsUpdated(EndpointUpdateKind.UNAVAILABLE))
        while asked() == before:
            node.run(0.01)
            assert node.now - failed < TERM
        assert node.now - failed + TURN <= TERM
        if refused_after:  # it has waited for its turn already
            assert node.now - failed <= 0.5


@pytest.mark.parametrize(
    "spoilt",
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{"ver',
        b"HTTP/1.1 200 OK\r\n\r\n[1,2",
        b"\0" * 40 + b"\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"x" * 40_000,
    ],
)
def test_spoilt_lists_are_refusals_and_leave_nothing_behind(spoilt: bytes) -> None:
    async def play() -> None:
        files = len(os.listdir("/proc/self/fd"))
        catalog = Catalog(5)
        catalog.client.send(WatchEndpoints())
        call, _ = await catalog.call()
        with suppress(ConnectionError):
            call.sock.send(spoilt)
            call.sock.shutdown(socket.SHUT_WR)
        await wait_until(lambda: catalog.told)
        assert catalog.told == [EndpointsReceived(EndpointUpdateKind.UNAVAILABLE)]
        await catalog.end()
        assert len(os.listdir("/proc/self/fd")) <= files

    asyncio.run(play())


def test_a_list_in_pieces_with_white_space_and_bytes_behind_it_is_read() -> None:
    async def play() -> None:
        catalog = Catalog(5)
        catalog.client.send(WatchEndpoints())
        call, _ = await catalog.call()
        body = '{\n  "version": 6,\n  "full": true,\n  "servers": [ ]\n}\n'
        for byte in f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}trailing".encode():
            with suppress(ConnectionError):  # the trailing bytes may find it closed
                call.sock.send(bytes([byte]))
            await run_loop_turns(3)
        await wait_until(lambda: catalog.versions() == [6])
        await catalog.end()

    asyncio.run(play())


def test_idle_clients_that_fill_the_descriptors_leave_one_for_the_list() -> None:
    async def play() -> None:
        async with RunningProxy(polled=True, sockets=48, poll_interval=0.4) as proxy:
            crowd = [socket.create_connection(proxy.server.address()) for _ in range(120)]
            for sock in crowd[::2]:
                with suppress(OSError):
                    sock.send(b"OPEN hal")
            for _ in range(3):  # refused, and asked again
                async with asyncio.timeout(10.0):
                    call, _ = await asyncio.get_running_loop().sock_accept(proxy.discovery)
                assert SocketStream.open_count + OWN_DESCRIPTORS <= 48
                call.close()
            for sock in crowd:
                sock.close()
            await wait_until(lambda: not proxy.server.clients)

    asyncio.run(play())


# ---- bad input on these paths: nothing raises, and the proxy counts descriptors and tasks ------------


@pytest.mark.parametrize(
    "sent",
    [
        b"x" * 5000,
        b"OPEN a b c=qu",
        b"OPEN a b\r\n",
        b"\0\xff\r\n",
        b"PING\r\nPING\r\nOPEN",
        b"MOVE\r\n" * 2000,
        OPEN.format(900).encode() + b"\r\n" + OPEN.format(900).encode() + b"\r\n",
    ],
)
@pytest.mark.parametrize("how", ["ends", "resets", "stays until the program leaves"])
def test_bad_lines_are_ended_and_leave_nothing_behind(sent: bytes, how: str) -> None:
    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            with suppress(ConnectionError, BlockingIOError):
                client.sock.send(sent)
            if how == "ends":
                client.sock.shutdown(socket.SHUT_WR)
                await wait_until(lambda: not proxy.server.clients)
            elif how == "resets":
                client.reset()
                await wait_until(lambda: not proxy.server.clients)
            await run_loop_turns()
            assert nothing_connected(proxy.backends[0])

    asyncio.run(play())


def test_a_second_open_while_the_first_waits_fails_it_and_is_not_sent_on() -> None:
    async def play() -> None:
        async with RunningProxy(2) as proxy:
            client = await proxy.client(OPEN.format(5000))
            first, backend = await proxy.accept_any()
            await backend.line()
            await client.send("OPEN c b c=quick,d=5000", b"\r\n")
            assert await client.line() == "ERR"
            await client.sees("end")
            await backend.sees("end")
            assert nothing_connected(proxy.backends[0]) and nothing_connected(proxy.backends[1])

    asyncio.run(play())
