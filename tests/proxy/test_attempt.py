"""A single attempt: whether the OPEN line is written, and whether the request may have run."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from saltcourse.balancing.events import AttemptStatus
from saltcourse.proxy.attempt import AttemptSpec, BackendAttempt
from saltcourse.proxy.clock import Clock
from tests.proxy.exchange_player import listen
from tests.proxy.running_proxy import nothing_connected, wait_until, write_open_line_in_parts


class RecordingOwner:
    """Replaces a client connection and records the messages that it is sent."""

    def __init__(self) -> None:
        self.messages: list[Any] = []
        self.open_lines_sent = 0

    def send(self, message: Any) -> None:
        self.messages.append(message)

    async def deliver(self, line: memoryview) -> None:
        raise AssertionError("unexpected line to the client")

    def wants_answer(self) -> bool:
        return True

    def open_line_sent(self) -> None:
        self.open_lines_sent += 1

    def backend_line_received(self, line: memoryview) -> None:
        raise AssertionError("unexpected line from the backend")


def attempt_at(listener: socket.socket, owner: RecordingOwner, seconds: float) -> BackendAttempt:
    line = b"OPEN a b c=quick,d=900\r\n"
    spec = AttemptSpec(0, "s0", listener.getsockname(), line, seconds, 1.0)
    return BackendAttempt(owner, Clock(), spec)


def test_an_attempt_cancelled_before_its_task_runs_neither_connects_nor_writes() -> None:
    """Guards against an attempt that connects and sends its request although it was cancelled.

    An attempt can be started and cancelled in the same loop iteration, before its coroutine first runs.
    Closing its resources has no effect then, so the coroutine has to check whether it was cancelled.
    """

    async def play() -> None:
        listener, owner = listen(), RecordingOwner()
        attempt = attempt_at(listener, owner, 1.0)
        attempt.start()
        attempt.close()
        assert attempt.task is not None
        await attempt.task
        assert nothing_connected(listener)
        assert [message.status for message in owner.messages] == [AttemptStatus.NOT_SENT]
        assert not owner.open_lines_sent
        listener.close()

    asyncio.run(play())


def test_a_timeout_during_the_last_part_of_the_write_counts_as_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that must not run twice being sent again.

    The OPEN line was written in two parts, and the timeout expired while the kernel accepted the second one.
    The attempt was reported as not sent. The bytes that the kernel accepted must decide, not which coroutine
    resumes first.
    """

    async def play() -> None:
        listener, owner = listen(), RecordingOwner()
        write_open_line_in_parts(monkeypatch, 0.25)
        attempt = attempt_at(listener, owner, 0.2)
        attempt.start()
        assert attempt.task is not None
        await attempt.task
        accepted = listener.accept()[0]
        assert accepted.recv(4096) == b"OPEN a b c=quick,d=900\r\n"
        assert [message.status for message in owner.messages] == [AttemptStatus.TIMEOUT]
        assert owner.open_lines_sent == 1
        accepted.close()
        listener.close()

    asyncio.run(play())


def test_an_attempt_cancelled_between_up_and_its_relay_ends() -> None:
    """Guards against a task and its buffers that stay for good.

    The owner gave its final answer while the message about UP was in its mailbox, so it never relayed UP, and
    the attempt went on waiting for that although its connection was closed.
    """

    async def play() -> None:
        listener, owner = listen(), RecordingOwner()
        attempt = attempt_at(listener, owner, 1.0)
        attempt.start()
        backend, _ = await asyncio.get_running_loop().sock_accept(listener)
        backend.sendall(b"UP r\r\nafter\r\n")
        await wait_until(lambda: owner.messages)
        attempt.close()
        assert attempt.task is not None
        await asyncio.wait_for(attempt.task, 5.0)
        assert owner.messages[-1].status is AttemptStatus.CANCELLED
        backend.close()
        listener.close()

    asyncio.run(play())
