"""One client that sends at full speed to a real process: the answers of other clients, and the memory."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.proxy.proxy_process import Backend, ProxyProcess, running_process

FLOOD_SECONDS = 3.0
SOCKET_TIMEOUT_SECONDS = 0.5
ANSWERED_WITHIN_SECONDS = 1.0  # the answers at the admin address are owed in this time as well
MAX_GROWTH_MB = 4.0

_numbers = itertools.count()


def open_line(name: str, milliseconds: int) -> bytes:
    return f"OPEN {name}{next(_numbers)} k c=live-feed,d={milliseconds}\r\n".encode()


def send_lines(proxy: ProxyProcess, lines: bytes, begin: bytes = b"") -> None:
    """Send ``lines`` on one connection until the proxy ends it or stops reading, and read nothing."""
    with contextlib.closing(socket.create_connection((proxy.host, proxy.port))) as sock:
        sock.settimeout(SOCKET_TIMEOUT_SECONDS)
        sock.sendall(begin)
        if begin:
            sock.recv(64)
        while True:
            sock.sendall(lines)


def leave_after_up(proxy: ProxyProcess) -> None:
    """Send one request under a new, long name, and leave once it is answered."""
    with contextlib.closing(socket.create_connection((proxy.host, proxy.port))) as sock:
        sock.settimeout(SOCKET_TIMEOUT_SECONDS)
        sock.sendall(open_line("x" * 3900, 60_000))
        sock.recv(64)


FLOODS: dict[str, Callable[[ProxyProcess], None]] = {
    "PINGs": lambda proxy: send_lines(proxy, b"PING\r\n" * 1000),
    "unknown lines": lambda proxy: send_lines(proxy, b"x\r\n" * 1000),
    "lines after UP": lambda proxy: send_lines(proxy, b"x\r\n" * 1000, open_line("flood", 1000)),
    "requests under ever new names": leave_after_up,
}


@contextmanager
def flood(proxy: ProxyProcess, send: Callable[[ProxyProcess], None]) -> Iterator[None]:
    end = time.monotonic() + FLOOD_SECONDS

    def run() -> None:
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                send(proxy)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    yield
    thread.join()


async def time_of_answer(proxy: ProxyProcess, line: bytes, expected: bytes) -> float:
    began = time.monotonic()
    reader, writer = await proxy.client(line)
    async with asyncio.timeout(5.0):
        assert (await reader.readline()).startswith(expected)
    writer.close()
    return time.monotonic() - began


async def play(folder: Path, send: Callable[[ProxyProcess], None]) -> tuple[list[float], float]:
    """Return the times (s) until other clients were answered, and the growth of the process (MB)."""
    times = []
    async with running_process(folder, Backend()) as proxy:
        idle = proxy.memory_mb("VmRSS")
        with flood(proxy, send):
            end = time.monotonic() + FLOOD_SECONDS - 0.5
            while time.monotonic() < end:
                times.append(await time_of_answer(proxy, b"PING\r\n", b"PONG"))
                times.append(await time_of_answer(proxy, open_line("other", 1000), b"UP"))
                await asyncio.sleep(0.02)
        return times, proxy.memory_mb("VmHWM") - idle


@pytest.mark.parametrize("kind", FLOODS)
def test_one_client_at_full_speed_neither_delays_others_nor_fills_the_memory(
    kind: str, tmp_path: Path
) -> None:
    """Guards against a process that one client keeps busy, or that keeps what each of its requests held."""
    times, growth = asyncio.run(play(tmp_path, FLOODS[kind]))
    assert len(times) >= 20 and max(times) <= ANSWERED_WITHIN_SECONDS
    assert growth <= MAX_GROWTH_MB
