"""One attempt at one backend: may the request have run, and is the line written at all?"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from saltcourse.balancing.events import AttemptStatus
from saltcourse.proxy.attempt import AttemptSpec, BackendAttempt
from saltcourse.proxy.clock import Clock
from tests.proxy.exchange_player import listen
from tests.proxy.running_proxy import nothing_connected, write_open_line_in_parts


class RecordingOwner:
    """In the place of a client connection: keeps what it is sent."""

    def __init__(self) -> None:
        self.messages: list[Any] = []
        self.open_lines_sent = 0

    def send(self, message: Any) -> None:
        self.messages.append(message)

    async def deliver(self, line: memoryview) -> None:
        raise AssertionError("no line was to follow")

    def wants_answer(self) -> bool:
        return True

    def open_line_sent(self) -> None:
        self.open_lines_sent += 1

    def backend_line_received(self, line: memoryview) -> None:
        raise AssertionError("no line was to come")


def attempt_at(listener: socket.socket, owner: RecordingOwner, seconds: float) -> BackendAttempt:
    line = b"OPEN a b c=quick,d=900\r\n"
    spec = AttemptSpec(0, "s0", listener.getsockname(), line, seconds, 1.0)
    return BackendAttempt(owner, Clock(), spec)


def test_an_attempt_given_up_before_its_first_turn_neither_connects_nor_writes() -> None:
    """An attempt was started and given up in the same turn of the loop.

    Its coroutine began after that, connected and sent the request, for which nobody waited any more.
    Giving up has to be a state that the attempt checks itself, not only a close of what it holds.
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


def test_a_timeout_as_the_last_byte_is_taken_counts_as_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """The OPEN line went in two parts, and the time-out came as the kernel took the rest.

    The attempt reported that it had not been sent, and a request that may not run twice was sent again. The
    bytes that the kernel took decide, not which coroutine resumes first.
    """

    async def play() -> None:
        listener, owner = listen(), RecordingOwner()
        write_open_line_in_parts(monkeypatch, 0.25)
        attempt = attempt_at(listener, owner, 0.2)
        attempt.start()
        assert attempt.task is not None
        await attempt.task
        taken = listener.accept()[0]
        assert taken.recv(4096) == b"OPEN a b c=quick,d=900\r\n"
        assert [message.status for message in owner.messages] == [AttemptStatus.TIMEOUT]
        assert owner.open_lines_sent == 1
        taken.close()
        listener.close()

    asyncio.run(play())
