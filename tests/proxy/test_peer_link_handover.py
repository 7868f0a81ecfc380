"""The address between proxies while a process is replaced: on loopback, and with real processes."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from structlog.testing import capture_logs

from saltcourse.balancing.events import PeerLinkChanged, PeerMessageReceived
from saltcourse.config import PeerAddresses
from saltcourse.proxy import peer_link_handover
from saltcourse.proxy.peer_link import PeerLink
from saltcourse.proxy.peer_link_handover import PeerLinkHandover
from tests.free_ports import free_addresses, free_port
from tests.proxy.proxy_process import Backend, ProxyProcess, configuration
from tests.proxy.running_proxy import wait_until
from tests.proxy.test_process_replacement import admin_answer

PROXIES = 2
EXITED_WITHIN_SECONDS = 3.7  # the platform's SIGKILL
OPEN, CLOSED = PeerLinkChanged(is_open=True), PeerLinkChanged(is_open=False)


class Handover:
    """One process's end of a handover: its link, and the changes that it has reported."""

    def __init__(self, addresses: tuple[tuple[str, int], ...]) -> None:
        self.received: list[PeerMessageReceived] = []
        self.changes: list[PeerLinkChanged] = []
        self.link = PeerLink(PeerAddresses(addresses[0], addresses, None, 0), self.received.append)
        self.handover = PeerLinkHandover(self.link, self.changes.append)


def test_the_link_is_opened_once_the_other_process_releases_it() -> None:
    async def play() -> None:
        addresses = free_addresses(2)
        old, new = Handover(addresses), Handover(addresses)
        await old.handover.open_when_free()
        await new.handover.open_when_free()
        assert old.changes == [] and new.changes == [CLOSED]
        assert old.link.is_open and not new.link.is_open
        old.handover.release()
        assert old.changes == [CLOSED]
        await wait_until(lambda: new.link.is_open, seconds=2.0)
        assert new.changes == [CLOSED, OPEN]
        new.handover.release()

    asyncio.run(play())


def test_a_process_that_ends_before_it_has_the_address_leaves_it_to_the_old_one() -> None:
    async def play() -> None:
        addresses = free_addresses(2)
        old, new = Handover(addresses), Handover(addresses)
        await old.handover.open_when_free()
        await new.handover.open_when_free()
        await asyncio.sleep(0)
        new.handover.release()
        await asyncio.sleep(2 * peer_link_handover.RETRY_INTERVAL_SECONDS)
        assert old.link.is_open and not new.link.is_open
        old.handover.release()

    asyncio.run(play())


def test_an_address_that_stays_taken_is_reported_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_link_handover, "REPLACED_WITHIN_SECONDS", 0.0)
    monkeypatch.setattr(peer_link_handover, "RETRY_INTERVAL_SECONDS", 0.01)

    async def play() -> None:
        new = Handover(free_addresses(2))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as foreign, capture_logs() as logs:
            host, port = new.link.address.split(":")
            foreign.bind((host, int(port)))
            await new.handover.open_when_free()
            await asyncio.sleep(0.1)
        errors = [entry for entry in logs if entry["log_level"] == "error"]
        assert [entry["event"] for entry in errors] == ["peer address is held by another program"]
        await wait_until(lambda: new.link.is_open, seconds=2.0)
        new.handover.release()

    asyncio.run(play())


def test_an_address_that_cannot_be_bound_at_all_is_an_error() -> None:
    async def play() -> None:
        with pytest.raises(OSError):
            await Handover((("192.0.2.1", free_port()), ("192.0.2.2", 9))).handover.open_when_free()

    asyncio.run(play())


class Platform:
    """Two proxies that are peers; the platform holds their listening sockets and replaces their processes."""

    def __init__(self, folder: Path, backend: Backend) -> None:
        self._folder, self._backend, self._starts = folder, backend, 0
        self._peers = ["{}:{}".format(*address) for address in free_addresses(PROXIES)]
        self._listeners = [socket.create_server(("127.0.0.1", 0), backlog=128) for _ in range(PROXIES)]
        self.processes: list[ProxyProcess] = []

    def start(self, index: int) -> ProxyProcess:
        listener = self._listeners[index]
        self._starts += 1
        config: dict[str, Any] = configuration(self._backend) | {
            "name": f"n{index}",
            "seed": f"{self._starts:x}",
            "listen": f"127.0.0.1:{listener.getsockname()[1]}",
            "peer_listen": self._peers[index],
            "peers": self._peers,
        }
        config["settings"] |= {"balancers": PROXIES, "self_index": index}
        config["settings"]["limits"]["peers"] = True
        config["settings"]["extra"]["groups"] = True
        path = self._folder / f"{self._starts}.json"
        self.processes.append(ProxyProcess(config, path, listener.fileno()))
        return self.processes[-1]

    def close(self) -> None:
        for process in self.processes:
            process.end()
        for listener in self._listeners:
            listener.close()


async def until_figure(proxy: ProxyProcess, figure: bytes, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while figure not in (await asyncio.to_thread(admin_answer, proxy.admin_port, "/_vars"))[1].split():
            await asyncio.sleep(0.05)


def test_processes_with_peers_are_replaced_one_after_another(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a new process that ends at its start, because the old one holds ``peer_listen``."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def play() -> None:
        backend = Backend()
        server = await backend.start()
        platform = Platform(tmp_path, backend)
        try:
            old, peer = platform.start(0), platform.start(1)
            for process in (old, peer):
                await process.ready()
            await until_figure(old, b"svc.fleet.peers:1|g", 5.0)
            abandoned = platform.start(0)  # killed before it takes over: the old process goes on
            await abandoned.ready()
            abandoned.end()
            for _ in range(2):
                await until_figure(old, b"svc.fleet.linked:1|g", 5.0)
                new = platform.start(0)
                await new.ready()
                await until_figure(new, b"svc.fleet.linked:0|g", 1.0)
                old.process.send_signal(signal.SIGTERM)
                await until_figure(new, b"svc.fleet.linked:1|g", 1.0)
                await until_figure(new, b"svc.fleet.peers:1|g", 5.0)
                assert await asyncio.to_thread(old.process.wait, EXITED_WITHIN_SECONDS) == 0
                old = new
            await until_figure(peer, b"svc.fleet.unreadable:0|g", 1.0)
            assert all(process.process.poll() is None for process in (old, peer))
        finally:
            platform.close()
            server.close()

    asyncio.run(play())
