"""A proxy to which lists are pushed, against its agent: the list is followed from the first moment."""

from __future__ import annotations

import asyncio
import json
import re

import pytest

from saltcourse.balancing.events import EndpointUpdateKind
from saltcourse.balancing.settings import DiscoveryMode
from saltcourse.proxy import discovery_client
from saltcourse.proxy.discovery_client import LIST_PATH
from saltcourse.proxy.messages import EndpointsReceived
from tests.proxy.exchange_player import RemoteConnection
from tests.proxy.running_proxy import OPEN, RunningProxy, wait_until
from tests.proxy.test_discovery_client import FakeDiscovery

DRAIN_GRACE_SECONDS = 3.0  # no request may be sent to a draining backend later than this after the change
MAX_DELAY_SECONDS = 0.15  # for which a proxy may be held up
VERSION = 1  # of the list in the configuration


async def agent_call(proxy: RunningProxy) -> tuple[RemoteConnection, str]:
    """Accept the next call at the agent; return it and its target."""
    async with asyncio.timeout(10.0):
        sock, _ = await asyncio.get_running_loop().sock_accept(proxy.discovery)
    call = RemoteConnection(sock)
    proxy.remotes.append(call)
    return call, (await call.line()).split()[1]


async def answer(call: RemoteConnection, version: int, *entries: dict[str, object]) -> None:
    body = json.dumps({"version": version, "full": False, "servers": list(entries)})
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    await asyncio.get_running_loop().sock_sendall(call.sock, (head + body).encode())


def test_a_pushed_drain_moves_clients_and_keeps_new_ones_away() -> None:
    """Guards against a proxy that never asks its agent: it went on sending to backends that drain.

    Nothing began a watch where lists are pushed, so clients were cut when their backend stopped.
    """

    async def play() -> None:
        async with RunningProxy(backends=2) as proxy:
            call, target = await agent_call(proxy)  # without an order, and before any request
            assert f"after={VERSION}&" in target
            client = await proxy.client(OPEN.format(9000))
            draining, backend = await proxy.accept_any()
            await backend.line()
            await backend.send("UP r", b"\r\n")
            assert await client.line() == "UP r"
            await answer(call, VERSION + 1, proxy.entry(draining, "DRAINING"))
            assert await client.line() == "MOVE"
            for number in range(4):
                await proxy.client(f"OPEN next{number} key{number} c=quick,d=9000")
                used, backend = await proxy.accept_any()
                assert used != draining
                await backend.send("UP r", b"\r\n")

    asyncio.run(play())


def test_a_watch_at_the_agent_that_fails_is_begun_again() -> None:
    """Guards against a proxy that loses its agent once and never follows the list again."""

    async def play() -> None:
        async with RunningProxy() as proxy:
            call, _ = await agent_call(proxy)
            call.reset()
            call, target = await agent_call(proxy)
            assert target == LIST_PATH
            await answer(call, VERSION + 1)
            _, target = await agent_call(proxy)
            assert f"after={VERSION + 1}&" in target

    asyncio.run(play())


def test_a_silent_agent_is_asked_again_until_it_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a list that is known too late after an outage in which the agent was silent."""
    monkeypatch.setattr(discovery_client, "AGENT_WATCH_WAIT_SECONDS", 0.05)
    monkeypatch.setattr(discovery_client, "WATCH_SLACK_SECONDS", 0.05)
    monkeypatch.setattr(discovery_client, "AGENT_LIST_CALL_TIMEOUT_SECONDS", 0.1)

    async def play() -> None:
        discovery = FakeDiscovery(5, DiscoveryMode.PUSHED)
        _, target = await discovery.call()
        assert re.search(r"after=5&wait_ms=50$", target)
        for _ in range(3):
            call, target = await discovery.call()
            assert target == LIST_PATH and not discovery.received
        await discovery.answer(call, 9, True, "DRAINING")
        await wait_until(lambda: discovery.received)
        assert [each.kind for each in discovery.received] == [EndpointUpdateKind.SNAPSHOT]
        assert all(isinstance(each, EndpointsReceived) for each in discovery.received)
        await discovery.end()

    asyncio.run(play())


def test_what_an_agent_has_is_known_within_the_drain_grace() -> None:
    """A call that gets no answer is replaced, and its answer processed, before the grace is over."""
    silent_watch = discovery_client.AGENT_WATCH_WAIT_SECONDS + discovery_client.WATCH_SLACK_SECONDS
    silent_fetch = discovery_client.AGENT_LIST_CALL_TIMEOUT_SECONDS
    assert max(silent_watch, silent_fetch) + 2 * MAX_DELAY_SECONDS <= DRAIN_GRACE_SECONDS
