"""The proxy's end: every state of a connection is ended as it should be, and signals come at any moment."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import time
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
    DrainTimeline,
)
from saltcourse.proxy.server import Phase
from saltcourse.proxy.stream import SocketStream
from tests.admin.test_server import free_port, values
from tests.proxy.running_proxy import (
    OPEN,
    SHORT,
    RunningProxy,
    expect_end_without_reset,
    send_ping,
    wait_until,
)

pytestmark = pytest.mark.usefixtures("no_front_notice")


def test_the_timeline_follows_the_longest_deadline_up_to_what_the_platform_waits_for() -> None:
    for deadlines, longest in (((0.3, 1.2), 1.2), ((9.0,), MAX_DEADLINE_SECONDS), ((), MAX_DEADLINE_SECONDS)):
        classes = [RequestClass(f"c{i}", 0.1, deadline) for i, deadline in enumerate(deadlines)]
        timeline = DrainTimeline.for_classes(classes)
        assert timeline.duration == longest + KILL_MARGIN_SECONDS
        assert timeline.answer_deadline == timeline.duration - ANSWER_MARGIN_SECONDS
        assert timeline.migration_deadline == timeline.duration - MIGRATION_MARGIN_SECONDS


@pytest.mark.parametrize("state", ["new", "resting", "half", "half and its rest", "waiting", "established"])
def test_every_state_of_a_connection_ends_as_it_should_when_the_proxy_drains(
    monkeypatch: pytest.MonkeyPatch, state: str
) -> None:
    """The proxy was asked to leave while connections were in every state.

    Some ended only with the process, and with a reset. Each has to be ended while the proxy migrates, by the
    line that its state calls for and an end.
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
            if state == "resting":
                await send_ping(client)
            if state.startswith("half"):
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
            if state == "half and its rest":
                await client.send("ick,d=900", b"\r\n")
                backend = await proxy.accept()
                await backend.line()
                await backend.send("UP 2", b"\r\n")
                assert await client.line() == "UP 2"
            if state in ("half and its rest", "established"):
                assert await client.line() == "MOVE"
            if state == "waiting":
                assert await client.line() in ("BUSY", "ERR")
            await expect_end_without_reset(client)
            assert ended == [Phase.MIGRATING]  # not by the end of the process

    asyncio.run(play())


def test_half_a_line_is_waited_for_longer_than_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """The proxy drained while a client's OPEN line was half here.

    A silent client is closed early in a drain. One that has begun its request is waited for to the last
    moment at which an answer can still be sent.
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
    """The rest of a request came while the proxy was leaving, with a deadline after its end.

    The client was cut off without an answer. Late requests get the time that is left.
    """

    async def play() -> None:
        async with RunningProxy(request_class=SHORT) as proxy:
            client = await proxy.client()
            await client.send("OPEN a b c=quick,d=60", b"")
            await wait_until(lambda: client.connection.stream.buffer.has_data)
            proxy.server.stop_requested.set()
            await wait_until(lambda: proxy.server.phase is Phase.MIGRATING)
            await client.send("000", b"\r\n")
            await (await proxy.accept()).line()  # and nothing ever comes back
            assert await client.line() in ("BUSY", "ERR")
            assert not proxy.running.done()

    asyncio.run(play())


def test_the_attempt_of_a_late_request_gets_only_the_time_that_the_proxy_still_runs() -> None:
    """The rest of a request came while the proxy was leaving, with a deadline after its end.

    The request was to be answered only after the proxy's end, so its attempt had all of the client's time and
    the balancer could neither retry nor reject it. The backend has to be given less than the drain's time.
    """
    request_class = replace(SHORT, idempotency=Idempotency.NOT_IDEMPOTENT)  # one attempt has all the time
    answer_deadline = DrainTimeline.for_classes([request_class]).answer_deadline

    async def play() -> None:
        async with RunningProxy(request_class=request_class) as proxy:
            client = await proxy.client()
            await client.send("OPEN a b c=quick,d=60", b"")
            await wait_until(lambda: client.connection.stream.buffer.has_data)
            proxy.server.stop_requested.set()
            await wait_until(lambda: proxy.server.phase is Phase.MIGRATING)
            await client.send("000", b"\r\n")
            found = re.search(r"\bd=(\d+)", await (await proxy.accept()).line())
            assert found is not None
            assert 0 < int(found.group(1)) <= 1000 * answer_deadline
            assert await client.line() in ("BUSY", "ERR")

    asyncio.run(play())


def start_held_up(tmp_path: Path) -> tuple[subprocess.Popen[bytes], Path]:
    """A process that waits at the opening of its configuration: a pipe that nobody has written to."""
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
def test_signals_during_the_start_are_held(tmp_path: Path, sent: tuple[int, ...]) -> None:
    """SIGTERM or SIGHUP came while the program was still importing or reading its configuration.

    Without handlers either of them ended it. They are held from the first moment on and acted upon later.
    """
    process, pipe = start_held_up(tmp_path)
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
    _, errors = process.communicate(timeout=20.0)
    assert process.returncode == 0, errors.decode()
    assert b"Traceback" not in errors


@pytest.mark.parametrize("phase", [Phase.SERVING, Phase.MIGRATING])
def test_signals_in_any_phase_neither_end_nor_break_the_proxy(phase: Phase) -> None:
    """SIGHUP and SIGTERM come again while the proxy serves, migrates, and has stopped."""

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
