"""Clients that leave a real process with much of what they sent still unread; judged at the backend."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from pathlib import Path

import pytest

from tests.proxy.proxy_process import Backend, ProxyProcess, Reader, Writer, running_process
from tests.proxy.test_process_replacement import admin_answer

SEND_SECONDS = 0.6
HELD_SECONDS = 5.0
ENDED_WITHIN_SECONDS = 1.0  # the time within which a proxy has to end the other side of a connection
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER
LINES = b"x\r\n" * 20_000


class WatchedBackend(Backend):
    """Answers UP, then reads for as long as it ``reads``; records when the last bytes arrived."""

    def __init__(self, reads: bool) -> None:
        super().__init__(self.receive)
        self.last_bytes_at = 0.0
        self._reads = reads

    async def receive(self, reader: Reader, writer: Writer) -> None:
        writer.write(b"UP 1\r\n")
        if not self._reads:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(HELD_SECONDS)
        while await reader.read(65536):
            self.last_bytes_at = time.monotonic()
            writer.write(b"x\r\n")  # a backend that brings nothing back would be left by its clients


def send_much_and_reset(proxy: ProxyProcess) -> float:
    """Send lines for a time after UP, then reset the connection; return the time of that."""
    sock = socket.create_connection((proxy.host, proxy.port))
    sock.sendall(b"OPEN leaves k c=live-feed,d=1000\r\n")
    assert sock.recv(64).startswith(b"UP")
    sock.settimeout(0.2)
    end = time.monotonic() + SEND_SECONDS
    while time.monotonic() < end:
        with contextlib.suppress(TimeoutError):
            sock.sendall(LINES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()
    return time.monotonic()


async def time_until_ended(proxy: ProxyProcess) -> float:
    """Return the time (s) until the process counts no connection any more.

    A backend that does not read cannot tell: the end is behind the bytes that it has not read.
    """
    began = time.monotonic()
    while b"svc.concurrent:0|g" not in (await asyncio.to_thread(admin_answer, proxy.admin_port, "/_vars"))[1]:
        assert time.monotonic() - began < 10 * ENDED_WITHIN_SECONDS, "the connection is held"
        await asyncio.sleep(0.02)
    return time.monotonic() - began


async def play(folder: Path, backend: WatchedBackend) -> tuple[float, float]:
    """Return how long after the reset the last bytes came to the backend, and the connection ended (s)."""
    async with running_process(folder, backend) as proxy:
        left_at = await asyncio.to_thread(send_much_and_reset, proxy)
        ended = await time_until_ended(proxy)
        await asyncio.sleep(ENDED_WITHIN_SECONDS)
        return backend.last_bytes_at - left_at, ended


@pytest.mark.parametrize("reads", [True, False], ids=["fast backend", "backend that does not read"])
def test_lines_of_a_client_that_has_reset_are_not_sent_on(reads: bool, tmp_path: Path) -> None:
    """Guards against lines that reach a backend, and a connection that is held, after their client left."""
    last_bytes, ended = asyncio.run(play(tmp_path, WatchedBackend(reads)))
    assert last_bytes <= ENDED_WITHIN_SECONDS and ended <= ENDED_WITHIN_SECONDS
