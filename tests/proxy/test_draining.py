"""Draining and shutdown of the proxy: connections in every state, and signals at any moment."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest

from saltcourse.balancing.settings import Idempotency, RequestClass
from saltcourse.proxy import draining
from saltcourse.proxy.draining import (
    ANSWER_MARGIN_SECONDS,
    KILL_MARGIN_SECONDS,
    MAX_DEADLINE_SECONDS,
    MIGRATION_MARGIN_SECONDS,
    MIN_MIGRATION_SECONDS,
    DrainTimeline,
)
from saltcourse.proxy.server import Phase
from saltcourse.proxy.stream import SocketStream
from tests.admin.test_server import values
from tests.free_ports import free_port
from tests.proxy.running_proxy import (
    OPEN,
    SHORT,
    RemoteClient,
    RunningProxy,
    expect_end_without_reset,
    send_ping,
    wait_until,
)

LONG = RequestClass("quick", latency_objective=0.1, deadline=1.5)

pytestmark = pytest.mark.usefixtures("no_front_notice")


def test_the_timeline_follows_the_longest_deadline_up_to_the_limit_of_the_platform() -> None:
    for deadlines, longest in (((0.3, 1.2), 1.2), ((9.0,), MAX_DEADLINE_SECONDS), ((), MAX_DEADLINE_SECONDS)):
        classes = [RequestClass(f"c{i}", 0.1, deadline) for i, deadline in enumerate(deadlines)]
        timeline = DrainTimeline.for_classes(classes)
        assert timeline.duration == longest + KILL_MARGIN_SECONDS
        assert timeline.answer_deadline == timeline.duration - ANSWER_MARGIN_SECONDS
        assert timeline.migration_deadline == timeline.duration - MIGRATION_MARGIN_SECONDS
        assert timeline.latest_migration == timeline.migration_deadline - MIN_MIGRATION_SECONDS


@pytest.mark.parametrize(
    "state", ["new", "idle after PING", "incomplete line", "completed line", "waiting", "established"]
)
def test_a_drain_ends_connections_in_every_state_without_a_reset(
    monkeypatch: pytest.MonkeyPatch, state: str
) -> None:
    """Guards against connections that end only with the process, by a reset.

    While the proxy is in the phase MIGRATING, each connection has to get the last line for its state, if any,
    and then a FIN.
    """
    ended: list[Phase] = []
    send_eof = SocketStream.send_eof

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()

            def record_phase(self: SocketStream) -> None:
                if self is client.connection.stream:
                    ended.append(proxy.server.phase)
                send_eof(self)

            monkeypatch.setattr(SocketStream, "send_eof", record_phase)
            if state == "idle after PING":
                await send_ping(client)
            if state in ("incomplete line", "completed line"):
                await client.send("OPEN a b c=qu", b"")
                await wait_until(lambda: client.connection.stream.buffer.has_data)
            if state in ("waiting", "established"):
                await client.send(OPEN.format(5000), b"\r\n")
                backend = await proxy.accept()
                await backend.line()
            if state == "established":
                await backend.send("UP 1", b"\r\n")
                assert await client.line() == "UP 1"
            proxy.server.stop_requested.set()
            await wait_until(lambda: proxy.server.phase is Phase.MIGRATING)
            if state == "completed line":
                await client.send("ick,d=900", b"\r\n")
                backend = await proxy.accept()
                await backend.line()
                await backend.send("UP 2", b"\r\n")
                assert await client.line() == "UP 2"
            if state in ("completed line", "established"):
                assert await client.line() == "MOVE"
            if state == "waiting":
                assert await client.line() in ("BUSY", "ERR")
            await expect_end_without_reset(client)
            assert ended == [Phase.MIGRATING]  # not by the exit of the process

    asyncio.run(play())


def test_a_drain_waits_longer_for_an_incomplete_line_than_for_a_silent_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A drain closes silent clients early, but waits for a client that has begun to send its request.

    It waits until the last moment at which an answer can still be sent.
    """
    monkeypatch.setattr(draining, "SILENT_TIMEOUT_SECONDS", 0.0)

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            await client.send("OPEN a b c=qu", b"")
            await wait_until(lambda: client.connection.stream.buffer.has_data)
            silent = await proxy.client()
            proxy.server.stop_requested.set()
            await silent.sees("end")
            await client.send("ick,d=900", b"\r\n")
            backend = await proxy.accept()
            assert (await backend.line()).startswith("OPEN a b")

    asyncio.run(play())


def test_a_late_request_with_a_long_deadline_is_answered_before_the_proxy_exits() -> None:
    """Guards against a client that gets no answer because its deadline is after the exit of the proxy.

    Its request is completed during the drain, so it gets only the remaining drain time.
    """

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            await client.send("OPEN a b c=quick,d=60", b"")
            await wait_until(lambda: client.connection.stream.buffer.has_data)
            proxy.server.stop_requested.set()
            await wait_until(lambda: proxy.server.phase is Phase.MIGRATING)
            await client.send("000", b"\r\n")
            await (await proxy.accept()).line()  # the backend never answers
            assert await client.line() in ("BUSY", "ERR")
            assert not proxy.running.done()

    asyncio.run(play())


def test_the_attempt_of_a_late_request_is_limited_to_the_remaining_drain_time() -> None:
    """Guards against an attempt that lasts beyond the exit of the proxy.

    A request is completed during the drain, with a deadline after its end. If its attempt got the client's
    whole time, the balancer could neither retry nor reject it. The backend must get less time than the drain.
    """
    request_class = replace(SHORT, idempotency=Idempotency.NOT_IDEMPOTENT)  # one attempt gets the whole time
    answer_deadline = DrainTimeline.for_classes([request_class]).answer_deadline

    async def play() -> None:
        async with RunningProxy(request_class=request_class) as proxy:
            client = await proxy.client()
            await client.send("OPEN a b c=quick,d=60", b"")
            await wait_until(lambda: client.connection.stream.buffer.has_data)
            proxy.server.stop_requested.set()
            await wait_until(lambda: proxy.server.phase is Phase.MIGRATING)
            await client.send("000", b"\r\n")
            timeout = re.search(r"\bd=(\d+)", await (await proxy.accept()).line())
            assert timeout is not None
            assert 0 < int(timeout.group(1)) <= 1000 * answer_deadline
            assert await client.line() in ("BUSY", "ERR")

    asyncio.run(play())


def start_blocked_on_config(tmp_path: Path) -> tuple[subprocess.Popen[bytes], Path]:
    """Start a process that blocks on its configuration file, which is a pipe without a writer."""
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)
    process = subprocess.Popen(
        [sys.executable, "-m", "saltcourse"],
        stderr=subprocess.PIPE,
        env=os.environ | {"EDGE_CONFIG": str(pipe)},
    )
    status, mask = Path(f"/proc/{process.pid}/status"), 1 << (signal.SIGHUP - 1)

    def catches_sighup() -> bool:
        row = next(line for line in status.read_text().splitlines() if line.startswith("SigCgt"))
        return bool(int(row.split()[1], 16) & mask)

    end = time.monotonic() + 20.0
    while not catches_sighup():
        assert time.monotonic() < end, "the process has not installed a handler for SIGHUP within 20 s"
        time.sleep(0.005)
    return process, pipe


@pytest.mark.parametrize(
    "sent",
    [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP)],
)
def test_signals_during_startup_are_held(tmp_path: Path, sent: tuple[int, ...]) -> None:
    """Guards against SIGTERM or SIGHUP killing a process that is importing or reading its configuration.

    The signals have to be held from the first moment and handled after startup.
    """
    process, pipe = start_blocked_on_config(tmp_path)
    for number in sent:
        process.send_signal(number)
    config = values()
    config["listen"] = f"127.0.0.1:{free_port()}"
    config.pop("admin", None)
    regular_file = tmp_path / "regular_file"
    regular_file.write_text(json.dumps(config))
    with pipe.open("w") as writer:  # the process has the pipe open; on SIGHUP it reads the regular file
        regular_file.replace(pipe)
        writer.write(json.dumps(config))
    _, errors = process.communicate(timeout=20.0)
    assert process.returncode == 0, errors.decode()
    assert b"Traceback" not in errors


@pytest.mark.parametrize("phase", [Phase.SERVING, Phase.MIGRATING])
def test_repeated_signals_in_any_phase_do_not_break_the_proxy(phase: Phase) -> None:
    """SIGHUP and SIGTERM arrive repeatedly while the proxy serves, migrates and has stopped."""

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
            for number in (signal.SIGHUP, signal.SIGTERM):  # after it has stopped
                os.kill(os.getpid(), number)

    asyncio.run(play())


class SlowService:
    """A background service that has left once the test sets ``may_leave``."""

    def __init__(self) -> None:
        self.may_leave = asyncio.Event()
        self.is_leaving = False

    async def start(self) -> None:
        pass

    async def leave(self) -> None:
        self.is_leaving = True
        await self.may_leave.wait()

    def reload(self) -> None:
        pass


@asynccontextmanager
async def proxy_with_slow_service() -> AsyncIterator[tuple[RunningProxy, SlowService]]:
    service = SlowService()
    async with RunningProxy(request_class=LONG) as proxy:
        proxy.server._background_services.append(service)
        try:
            yield proxy, service
        finally:
            service.may_leave.set()


async def establish(proxy: RunningProxy, request: str) -> RemoteClient:
    client = await proxy.client(OPEN.format(900).replace(" a ", f" {request} "))
    backend = await proxy.accept()
    await backend.line()
    await backend.send("UP 1", b"\r\n")
    assert await client.line() == "UP 1"
    return client


def test_connections_are_moved_in_time_while_a_background_service_is_slow_to_leave() -> None:
    """Guards against connections that are cut by SIGKILL.

    The drain began, and its time counted, only when the operator's program had withdrawn the service address.
    """

    async def play() -> None:
        loop = asyncio.get_running_loop()
        async with proxy_with_slow_service() as (proxy, service):
            client = await establish(proxy, "first")
            proxy.server.stop_requested.set()
            stopped = loop.time()
            await wait_until(lambda: service.is_leaving)
            assert not proxy.server.ready()
            late = await establish(proxy, "late")  # the address still leads here
            async with asyncio.timeout(DrainTimeline.for_classes([LONG]).duration):
                for each in (client, late):
                    assert await each.line() == "MOVE"
            assert loop.time() - stopped <= DrainTimeline.for_classes([LONG]).duration

    asyncio.run(play())


def test_nobody_is_moved_before_the_background_services_have_left() -> None:
    """A client that is moved while the service address still leads here would come back to this proxy."""

    async def play() -> None:
        async with proxy_with_slow_service() as (proxy, service):
            client = await establish(proxy, "first")
            proxy.server.stop_requested.set()
            await wait_until(lambda: service.is_leaving)
            await asyncio.sleep(0.3)  # longer than the monitor's interval between checks
            assert proxy.server.phase is Phase.DRAINING and not client.received
            service.may_leave.set()
            assert await client.line() == "MOVE"

    asyncio.run(play())
