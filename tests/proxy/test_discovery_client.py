"""The discovery client against a discovery played by hand: late, silent, broken and restarted."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from contextlib import suppress

import pytest

from saltcourse.balancing.actions import FetchEndpoints, WatchEndpoints
from saltcourse.balancing.events import EndpointsUpdated, EndpointUpdateKind
from saltcourse.balancing.settings import DiscoveryMode
from saltcourse.proxy import discovery_client
from saltcourse.proxy.discovery_client import DiscoveryClient
from saltcourse.proxy.messages import EndpointsReceived
from tests.balancing.balancer_host import BalancerHost, members
from tests.proxy.exchange_player import RemoteConnection, listen
from tests.proxy.running_proxy import run_loop_turns, wait_until

CHANGE_KNOWN_WITHIN = 6.0  # s after which a change of the list counts as known
CALL_TURN = 3.0  # s that a call waits for its turn at discovery at the longest


class Catalog:
    """Discovery played by hand, before a discovery client and nothing else of the proxy."""

    def __init__(self, version: int) -> None:
        self.listener = listen()
        self.received: list[EndpointsReceived] = []
        self.client = DiscoveryClient(self.listener.getsockname(), version, self.received.append)
        self.client.start()
        self.calls: list[RemoteConnection] = []

    async def call(self) -> tuple[RemoteConnection, str]:
        async with asyncio.timeout(10.0):
            sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.calls.append(RemoteConnection(sock))
        target = (await self.calls[-1].line()).split()[1]
        return self.calls[-1], target

    @staticmethod
    async def answer(call: RemoteConnection, version: int, is_snapshot: bool, state: str = "") -> None:
        servers = f'{{"id":"s0","addr":"127.0.0.1:9","state":"{state}"}}' if state else ""
        body = f'{{"version":{version},"full":{str(is_snapshot).lower()},"servers":[{servers}]}}'
        await call.send(f"HTTP/1.1 200 OK\\r\\nContent-Length: {len(body)}\\r\\n\\r\\n{body}", b"")

    def versions(self) -> list[int]:
        return [each.update.version for each in self.received if each.update is not None]

    async def end(self) -> None:
        for task in (self.client.task, *self.client._calls):
            if task is not None:
                task.cancel()
        for call in self.calls:
            call.sock.close()
        self.listener.close()
        await run_loop_turns()


def test_a_late_snapshot_does_not_undo_a_newer_watch_event() -> None:
    """A fetch of the whole list was answered late, after a watch had delivered a newer version.

    The older list took the newer one's place, in which a backend had begun to drain.
    """

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


def test_a_restarted_discovery_counts_though_its_versions_are_lower() -> None:
    """Discovery began anew and counted its versions from the start.

    Its answers looked late and were dropped for as long as its versions were lower than the old ones.
    """

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


def test_a_silent_watch_is_replaced_without_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch got no answer, and a change was held back in it.

    The proxy took that for a failure, and the balancer's backoff delayed the next call. A silence is no
    failure: the whole list is fetched at once, and the balancer has no part in it.
    """
    monkeypatch.setattr(discovery_client, "WATCH_WAIT_SECONDS", 0.05)
    monkeypatch.setattr(discovery_client, "WATCH_SLACK_SECONDS", 0.05)

    async def play() -> None:
        catalog = Catalog(5)
        catalog.client.send(WatchEndpoints())
        _, target = await catalog.call()
        assert "after=5&" in target
        call, target = await catalog.call()
        assert target == discovery_client.LIST_PATH and not catalog.received
        await catalog.answer(call, 9, True, "DRAINING")
        _, target = await catalog.call()
        assert "after=9&" in target and catalog.versions() == [9]
        await catalog.end()

    asyncio.run(play())


def test_a_silent_watch_and_the_call_in_its_place_end_before_a_change_counts_as_known() -> None:
    """From a call that is silent from its first moment to the turn of the next one at discovery."""
    silence = discovery_client.WATCH_WAIT_SECONDS + discovery_client.WATCH_SLACK_SECONDS
    assert silence + CALL_TURN / 2 <= CHANGE_KNOWN_WITHIN
    assert discovery_client.WATCH_WAIT_SECONDS >= 2.0  # and discovery is not called in a hurry


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("fails_after", [0.0, 3.0])
def test_after_any_number_of_failures_the_list_is_fetched_before_a_change_counts_as_known(
    seed: int, fails_after: float
) -> None:
    """Discovery failed several times and was there again right after a call had failed.

    The backoff and the next call's turn together must not take longer than a change may stay unknown.
    """
    node = BalancerHost(seed, discovery_mode=DiscoveryMode.POLLED, poll_interval=10.0)
    node.update_endpoints(members(2), EndpointUpdateKind.CACHED)
    calls: Callable[[], int] = lambda: len(node.actions(WatchEndpoints)) + len(node.actions(FetchEndpoints))  # noqa: E731
    while not calls():
        node.run(0.05)
    for _ in range(12):
        node.run(fails_after)
        before, failed = calls(), node.now
        node.handle(EndpointsUpdated(EndpointUpdateKind.UNAVAILABLE))
        while calls() == before:
            node.run(0.01)
            assert node.now - failed < CHANGE_KNOWN_WITHIN
        assert node.now - failed + CALL_TURN <= CHANGE_KNOWN_WITHIN
        if fails_after:  # it has waited for its turn already
            assert node.now - failed <= 0.5


@pytest.mark.parametrize(
    "answer",
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
def test_broken_answers_are_failures_and_leave_nothing_behind(answer: bytes) -> None:
    """Cut, empty, foreign and endless answers: each ends the call as failed, and no descriptor stays open."""

    async def play() -> None:
        files = len(os.listdir("/proc/self/fd"))
        catalog = Catalog(5)
        catalog.client.send(WatchEndpoints())
        call, _ = await catalog.call()
        with suppress(ConnectionError):
            call.sock.send(answer)
            call.sock.shutdown(socket.SHUT_WR)
        await wait_until(lambda: catalog.received)
        assert catalog.received == [EndpointsReceived(EndpointUpdateKind.UNAVAILABLE)]
        await catalog.end()
        assert len(os.listdir("/proc/self/fd")) <= files

    asyncio.run(play())


def test_an_answer_in_pieces_with_white_space_and_bytes_behind_it_is_read() -> None:
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
