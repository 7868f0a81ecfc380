"""The discovery client against a fake discovery service that is late, silent, faulty or restarted."""

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
from saltcourse.proxy.discovery_client import ChangeAddress, DiscoveryClient
from saltcourse.proxy.messages import EndpointsReceived
from tests.balancing.balancer_host import BalancerHost, make_endpoints
from tests.proxy.exchange_player import RemoteConnection, listen
from tests.proxy.running_proxy import nothing_connected, run_loop_iterations, wait_until

CHANGE_KNOWN_WITHIN_SECONDS = 6.0  # time within which the proxy is expected to know a change of the list
MAX_CALL_DELAY_SECONDS = 3.0  # maximum time for which discovery may queue a call
NEW_ADDRESS_KNOWN_WITHIN_SECONDS = 4.0  # time after SIGHUP when the list of the new address counts as known
CALL_TURN_SECONDS = 2.6  # time for which a crowded discovery service queues a call that it answers


class FakeDiscovery:
    """A discovery service controlled by the test, with a discovery client and no other part of the proxy."""

    def __init__(self, version: int, mode: DiscoveryMode = DiscoveryMode.POLLED) -> None:
        self.listener = listen()
        self.received: list[EndpointsReceived] = []
        self.client = DiscoveryClient(self.listener.getsockname(), mode, version, self.received.append)
        self.client.start()
        self.calls: list[RemoteConnection] = []

    def move(self) -> None:
        """Replace discovery by one at another address, as after SIGHUP with a new configuration."""
        self.listener.close()
        self.listener = listen()
        self.client.send(ChangeAddress(self.listener.getsockname()))

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
        await run_loop_iterations()


def test_a_late_snapshot_does_not_undo_a_newer_watch_event() -> None:
    """Guards against an older list that replaces a newer one.

    A fetch of the complete list was answered after a watch had delivered a newer version, in which a backend
    had begun to drain.
    """

    async def play() -> None:
        discovery = FakeDiscovery(5)
        discovery.client.send(FetchEndpoints())
        fetch, _ = await discovery.call()
        discovery.client.send(WatchEndpoints())
        watch, target = await discovery.call()
        assert "after=5&" in target
        await discovery.answer(watch, 7, False, "DRAINING")
        _, target = await discovery.call()
        await discovery.answer(fetch, 6, True, "SERVING")
        await wait_until(lambda: len(discovery.client._calls) == 1)  # the fetch is over
        assert "after=7&" in target and discovery.versions() == [7]
        await discovery.end()

    asyncio.run(play())


def test_updates_from_a_restarted_discovery_are_used_despite_lower_versions() -> None:
    """Guards against dropping the responses of a restarted discovery, whose versions start again from 0.

    The responses looked late and were dropped until their versions exceeded the old ones.
    """

    async def play() -> None:
        discovery = FakeDiscovery(41)
        discovery.client.send(WatchEndpoints())
        call, _ = await discovery.call()
        await discovery.answer(call, 3, False, "DRAINING")  # changes to a list that the client does not have
        call, target = await discovery.call()
        assert "after=0&" in target
        await discovery.answer(call, 3, True, "SERVING")
        call, target = await discovery.call()
        assert "after=3&" in target and discovery.versions() == [3]
        await discovery.end()

    asyncio.run(play())


def test_a_watch_that_times_out_is_replaced_without_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a late endpoint list after a watch that gets no answer while a change is pending.

    The timeout was treated as a failure, and the balancer's backoff delayed the next call. Instead the
    complete list has to be fetched immediately, without involving the balancer.
    """
    monkeypatch.setattr(discovery_client, "WATCH_WAIT_SECONDS", 0.05)
    monkeypatch.setattr(discovery_client, "WATCH_SLACK_SECONDS", 0.05)

    async def play() -> None:
        discovery = FakeDiscovery(5)
        discovery.client.send(WatchEndpoints())
        _, target = await discovery.call()
        assert "after=5&" in target
        call, target = await discovery.call()
        assert target == discovery_client.LIST_PATH and not discovery.received
        await discovery.answer(call, 9, True, "DRAINING")
        _, target = await discovery.call()
        assert "after=9&" in target and discovery.versions() == [9]
        await discovery.end()

    asyncio.run(play())


def test_a_watch_timeout_and_the_fetch_that_replaces_it_fit_into_the_time_to_know_a_change() -> None:
    """The time counts from the start of an unanswered watch until discovery processes the next call."""
    watch_timeout = discovery_client.WATCH_WAIT_SECONDS + discovery_client.WATCH_SLACK_SECONDS
    assert watch_timeout + MAX_CALL_DELAY_SECONDS / 2 <= CHANGE_KNOWN_WITHIN_SECONDS
    assert discovery_client.WATCH_WAIT_SECONDS >= 2.0  # discovery must not be called too often


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("fails_after", [0.0, 3.0])
def test_after_any_number_of_failures_the_list_is_fetched_within_the_time_to_know_a_change(
    seed: int, fails_after: float
) -> None:
    """Discovery fails several times and is available again immediately after a failed call.

    The backoff and the queueing of the next call together must not exceed the time within which a change has
    to be known.
    """
    node = BalancerHost(seed, discovery_mode=DiscoveryMode.POLLED, poll_interval=10.0)
    node.update_endpoints(make_endpoints(2), EndpointUpdateKind.CACHED)
    calls: Callable[[], int] = lambda: len(node.actions(WatchEndpoints)) + len(node.actions(FetchEndpoints))  # noqa: E731
    while not calls():
        node.run(0.05)
    for _ in range(12):
        node.run(fails_after)
        before, failed = calls(), node.now
        node.handle(EndpointsUpdated(EndpointUpdateKind.UNAVAILABLE))
        while calls() == before:
            node.run(0.01)
            assert node.now - failed < CHANGE_KNOWN_WITHIN_SECONDS
        assert node.now - failed + MAX_CALL_DELAY_SECONDS <= CHANGE_KNOWN_WITHIN_SECONDS
        if fails_after:  # the failed call has already been queued
            assert node.now - failed <= 0.5


def test_the_first_call_at_a_new_address_keeps_its_place_in_a_slow_queue() -> None:
    """Guards against a queued call that is given up and queued again, so that its answer is never read.

    After SIGHUP the list of a slow discovery service came too late, and draining backends got requests.
    """

    async def play() -> None:
        discovery = FakeDiscovery(5)
        discovery.move()
        first, target = await discovery.call()
        assert target == discovery_client.LIST_PATH
        await discovery.call()  # made while the first one is still in the queue
        await discovery.answer(first, 9, True, "DRAINING")
        await wait_until(lambda: discovery.versions() == [9], seconds=2.0)
        await discovery.end()

    asyncio.run(play())


def test_a_lost_first_call_at_a_new_address_is_replaced_within_the_time_to_know_the_list() -> None:
    """The replacing call may be queued for the full time, and the list has to be known 4 s after SIGHUP."""

    async def play() -> None:
        loop = asyncio.get_running_loop()
        discovery = FakeDiscovery(5)
        began = loop.time()
        discovery.move()
        await discovery.call()  # gets no answer
        second, target = await discovery.call()
        assert target == discovery_client.LIST_PATH
        assert loop.time() - began + CALL_TURN_SECONDS <= NEW_ADDRESS_KNOWN_WITHIN_SECONDS
        await discovery.answer(second, 9, True, "DRAINING")
        _, target = await discovery.call()
        assert "after=9&" in target and discovery.versions() == [9]
        await discovery.end()

    asyncio.run(play())


def test_a_new_address_that_stays_silent_gets_two_calls_at_a_time_at_most() -> None:
    """Guards against calls without number from each proxy to a discovery service that is already crowded."""

    async def play() -> None:
        discovery = FakeDiscovery(5)
        discovery.move()
        first, second = (await discovery.call())[0], (await discovery.call())[0]
        first.sock.close()  # failed, so the second call is waited for alone
        discovery.listener.settimeout(0)
        await asyncio.sleep(1.0)
        assert nothing_connected(discovery.listener)
        second.sock.close()  # no call is left, so the next one follows
        third, target = await discovery.call()
        assert target == discovery_client.LIST_PATH
        await discovery.answer(third, 9, True, "DRAINING")
        await wait_until(lambda: discovery.versions() == [9])
        await discovery.end()

    asyncio.run(play())


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
def test_invalid_responses_are_failures_and_leak_no_descriptor(answer: bytes) -> None:
    """Truncated, empty, non-HTTP, erroneous and oversized responses all count as a failed call."""

    async def play() -> None:
        files = len(os.listdir("/proc/self/fd"))
        discovery = FakeDiscovery(5)
        discovery.client.send(WatchEndpoints())
        call, _ = await discovery.call()
        with suppress(ConnectionError):
            call.sock.send(answer)
            call.sock.shutdown(socket.SHUT_WR)
        await wait_until(lambda: discovery.received)
        assert discovery.received == [EndpointsReceived(EndpointUpdateKind.UNAVAILABLE)]
        await discovery.end()
        assert len(os.listdir("/proc/self/fd")) <= files

    asyncio.run(play())


def test_a_response_in_pieces_with_white_space_and_trailing_bytes_is_read() -> None:
    async def play() -> None:
        discovery = FakeDiscovery(5)
        discovery.client.send(WatchEndpoints())
        call, _ = await discovery.call()
        body = '{\n  "version": 6,\n  "full": true,\n  "servers": [ ]\n}\n'
        for byte in f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}trailing".encode():
            with suppress(ConnectionError):  # the connection may be closed before the trailing bytes
                call.sock.send(bytes([byte]))
            await run_loop_iterations(3)
        await wait_until(lambda: discovery.versions() == [6])
        await discovery.end()

    asyncio.run(play())
