"""Crowds of clients against a process with a memory limit; its resident peak is read from outside."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from pathlib import Path

import pytest

from saltcourse.proxy import memory_limit
from tests.proxy.proxy_process import Backend, ProxyProcess, running_process

MEMORY_MB = 44  # some 14 MB above the idle size
SOCKETS = 1024  # far more connections than this memory has room for
CLIENTS = 600
CROWD_SECONDS = 3.0
LONG_LINE_BYTES = 4000

_numbers = itertools.count()


def open_line(fields: str, begin: str = "") -> bytes:
    return f"OPEN {begin}{next(_numbers)} k {fields}\r\n".encode()


def many_fields(first: str) -> bytes:
    fields = first
    for number in range(LONG_LINE_BYTES):
        if len(fields) > LONG_LINE_BYTES - 50:
            break
        fields += f",x{number:x}="
    return open_line(fields)


CROWDS: dict[str, Callable[[], bytes]] = {
    "many fields": lambda: many_fields("c=live-feed,d=30000"),
    "many fields and an error at their end": lambda: many_fields("d=30000"),
    "long ids": lambda: open_line("c=live-feed,d=30000", "x" * (LONG_LINE_BYTES - 50)),
    "half of a long line": lambda: b"OPEN " + b"x" * LONG_LINE_BYTES,
    "half of a megabyte": lambda: b"OPEN " + b"x" * 500_000,
}


async def come_again_and_again(proxy: ProxyProcess, data: Callable[[], bytes]) -> None:
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await proxy.client(data())
            try:
                await reader.read()
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.01)


async def peak_of_crowd(folder: Path, data: Callable[[], bytes]) -> float:
    async with running_process(folder, Backend(), memory_mb=MEMORY_MB, sockets=SOCKETS) as proxy:
        crowd = [asyncio.create_task(come_again_and_again(proxy, data)) for _ in range(CLIENTS)]
        await asyncio.sleep(CROWD_SECONDS)
        peak = proxy.memory_mb("VmHWM")
        for client in crowd:
            client.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        assert proxy.process.poll() is None
        return peak


@pytest.mark.parametrize("crowd", CROWDS)
def test_a_crowd_does_not_take_the_process_over_its_memory_limit(crowd: str, tmp_path: Path) -> None:
    """Guards against a process that is killed for what hundreds of clients make it hold."""
    assert asyncio.run(peak_of_crowd(tmp_path, CROWDS[crowd])) <= MEMORY_MB


def test_connections_are_limited_by_the_memory_that_is_left() -> None:
    idle = 30 * memory_limit.BYTES_PER_MEGABYTE
    room = memory_limit.descriptors_within(64, idle)
    assert room * memory_limit.BYTES_PER_DESCRIPTOR <= 34 * memory_limit.BYTES_PER_MEGABYTE
    assert memory_limit.descriptors_within(128, idle) > 2 * room
    assert memory_limit.descriptors_within(16, idle) == memory_limit.MIN_DESCRIPTORS
