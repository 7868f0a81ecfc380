"""The ids of requests: each is run once, by one process or by the two of a replacement."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from pathlib import Path

import pytest
from structlog.testing import capture_logs

from saltcourse.codec.errors import ProtocolError
from saltcourse.proxy.request_id_table import BUCKET_ENTRIES, BUCKETS, TABLE_BYTES, RequestIdTable
from saltcourse.proxy.request_ids import REFRESH_SECONDS, REMEMBERED_SECONDS, RequestIds
from saltcourse.proxy.shared_request_ids import shared_request_ids
from tests.free_ports import free_port
from tests.proxy.manual_clock import ManualClock
from tests.proxy.proxy_process import Backend, ProxyProcess, Reader, Writer, configuration, running_process

LISTEN = ("127.0.0.1", 8081)


def is_refused(ids: RequestIds, request: str) -> bool:
    try:
        ids.claim(request)
    except ProtocolError:
        return True
    return False


def test_a_request_id_cannot_be_claimed_twice_until_it_is_released() -> None:
    ids = RequestIds()
    ids.claim("a")
    with pytest.raises(ProtocolError):
        ids.claim("a")
    ids.release("a", may_run_again=True)
    ids.claim("a")


def test_the_id_of_a_request_that_may_have_run_is_refused_for_a_time() -> None:
    clock = ManualClock()
    ids = RequestIds(clock=clock.now)
    ids.claim("a")
    clock.time += 10 * REMEMBERED_SECONDS  # the time counts from the end
    ids.release("a", may_run_again=False)
    clock.time += REMEMBERED_SECONDS - 0.01
    assert is_refused(ids, "a")
    clock.time += 0.02
    assert not is_refused(ids, "a")


def test_ids_are_shared_by_the_processes_of_one_proxy_and_by_no_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    old, new = shared_request_ids("n1", LISTEN), shared_request_ids("n1", LISTEN)
    other = shared_request_ids("n2", LISTEN)
    old.claim("open")
    old.claim("ran")
    old.release("ran", may_run_again=False)
    old.claim("busy")
    old.release("busy", may_run_again=True)
    assert [is_refused(new, request) for request in ("open", "ran", "busy")] == [True, True, False]
    assert is_refused(old, "busy") and not is_refused(other, "open")


def test_an_open_id_does_not_expire_in_a_shared_table() -> None:
    clock = ManualClock()
    table = RequestIdTable(memoryview(bytearray(TABLE_BYTES)))
    old, new = RequestIds(table, clock=clock.now), RequestIds(table, clock=clock.now)
    old.claim("open")
    for _ in range(10):
        clock.time += REFRESH_SECONDS
        old.refresh()
    assert is_refused(new, "open")
    clock.time += REMEMBERED_SECONDS + 0.01  # the old process was killed
    assert not is_refused(new, "open")


def test_a_flood_of_ids_replaces_those_that_expire_first() -> None:
    clock = ManualClock()
    ids = RequestIds(clock=clock.now)
    for number in range(4 * BUCKETS * BUCKET_ENTRIES):
        clock.time += 0.001
        ids.claim(f"flood{number}")
        ids.release(f"flood{number}", may_run_again=False)
    assert is_refused(ids, f"flood{number}") and not is_refused(ids, "flood0")


def test_without_a_usable_file_the_ids_are_those_of_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path / "missing"))
    with capture_logs() as logs:
        ids = shared_request_ids("n1", LISTEN)
    assert [entry["event"] for entry in logs] == ["request ids not shared"]
    ids.claim("a")
    assert is_refused(ids, "a")


class HeldBackend(Backend):
    """Takes a request and gives no answer before its other side ends."""

    def __init__(self) -> None:
        super().__init__(self.hold)

    async def hold(self, reader: Reader, writer: Writer) -> None:
        await reader.read()


async def until_taken(backend: Backend) -> None:
    async with asyncio.timeout(5.0):
        while not backend.open_lines:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("effect", ["unsafe", "keyed", "safe"])
def test_an_id_does_not_run_again_after_its_client_has_left(effect: str, tmp_path: Path) -> None:
    """Guards against a request that runs twice, when its id comes again after the first client left."""

    async def play() -> None:
        backend = HeldBackend()
        async with running_process(tmp_path, backend, effect=effect) as proxy:
            line = b"OPEN again k c=live-feed,d=1000\r\n"
            _, first = await proxy.client(line)
            await until_taken(backend)
            first.close()
            for _ in range(5):
                reader, writer = await proxy.client(line)
                assert await reader.readline() == b"ERR\r\n"
                writer.close()
                await asyncio.sleep(0.05)
            assert len(backend.open_lines) == 1

    asyncio.run(play())


def test_an_id_does_not_run_at_both_processes_of_a_replacement(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second run of an id that is open, or has run, at the other process."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def ask(proxy: ProxyProcess, request: str) -> tuple[bytes, Writer]:
        reader, writer = await proxy.client(f"OPEN {request} k c=live-feed,d=1000\r\n".encode())
        return await reader.readline(), writer

    async def play(listener: socket.socket) -> None:
        backend = Backend()
        server = await backend.start()
        config = configuration(backend) | {"listen": f"127.0.0.1:{listener.getsockname()[1]}"}
        old = ProxyProcess(config, tmp_path / "old.json", listener.fileno())
        await old.ready()
        answer, writer = await ask(old, "ran")
        writer.close()
        assert answer == b"UP 1\r\n" == (await ask(old, "open"))[0]
        config["admin"] = f"127.0.0.1:{free_port()}"
        new = ProxyProcess(config, tmp_path / "new.json", listener.fileno())
        await new.ready()
        try:
            os.kill(old.process.pid, signal.SIGSTOP)  # the new process accepts all clients
            for request in ("open", "ran"):
                assert (await ask(new, request))[0] == b"ERR\r\n"
            assert (await ask(new, "fresh"))[0] == b"UP 1\r\n"
            old.end()
            for request in ("open", "ran"):
                assert (await ask(new, request))[0] == b"ERR\r\n"
            assert len(backend.open_lines) == 3
        finally:
            old.end()
            new.end()
            server.close()

    with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
        asyncio.run(play(listener))
