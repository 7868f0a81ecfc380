"""Connections without a request: their number is limited, and the oldest activity is shed first."""

from __future__ import annotations

import asyncio
import gc
import socket
import weakref
from contextlib import suppress

from saltcourse.proxy.descriptors import OWN_DESCRIPTORS
from saltcourse.proxy.pending_connections import MAX_CLOSING, MIN_PENDING, PendingConnections
from saltcourse.proxy.stream import SocketStream
from tests.proxy.running_proxy import RunningProxy, run_loop_iterations, wait_until


class RecordingConnection:
    """A pending connection that records the calls of its methods."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def shed(self) -> None:
        self.calls.append("shed")

    def drop(self) -> None:
        self.calls.append("drop")


def test_the_connection_with_the_oldest_activity_is_shed_first() -> None:
    pending = PendingConnections(max_descriptors=400)
    connections = [RecordingConnection() for _ in range(100)]
    for connection in connections:
        pending.touch(connection)
    pending.touch(connections[0])  # it has sent a PING
    pending.make_room(open_descriptors=100)  # pending connections use a quarter of the descriptors
    assert [number for number, each in enumerate(connections) if each.calls] == [1]
    assert len(pending) == 99


def test_few_connections_stay_pending_or_closing_when_descriptors_run_short() -> None:
    pending = PendingConnections(max_descriptors=40)
    connections = [RecordingConnection() for _ in range(20)]
    for connection in connections:
        pending.touch(connection)
    pending.make_room(open_descriptors=60)
    assert len(pending) == MIN_PENDING - 1  # there is room for one more
    shed = [each for each in connections if each.calls]
    assert len(shed) == 20 - len(pending)
    assert sum(1 for each in shed if each.calls == ["shed", "drop"]) == len(shed) - MAX_CLOSING


def test_idle_clients_cannot_use_the_descriptors_of_discovery_calls() -> None:
    """Discovery is still called while idle clients use all descriptors that clients may have."""

    async def play() -> None:
        async with RunningProxy(polled=True, sockets=48, poll_interval=0.4) as proxy:
            idle_clients = [socket.create_connection(proxy.server.address()) for _ in range(120)]
            for sock in idle_clients[::2]:
                with suppress(OSError):
                    sock.send(b"OPEN hal")
            for _ in range(3):  # each call is closed without an answer, and repeated by the proxy
                async with asyncio.timeout(10.0):
                    call, _ = await asyncio.get_running_loop().sock_accept(proxy.discovery)
                assert SocketStream.open_count + OWN_DESCRIPTORS <= 48
                call.close()
            for sock in idle_clients:
                sock.close()
            await wait_until(lambda: not proxy.server.clients)

    asyncio.run(play())


def test_a_shed_connection_is_freed_as_soon_as_it_is_closed() -> None:
    """Guards against a crowd of idle clients that takes the proxy over its memory limit.

    The timer for the first line stayed scheduled after the half-close, and kept each shed connection and its
    buffers in memory until it expired, up to 2 s after the socket was closed.
    """

    async def play() -> None:
        async with RunningProxy() as proxy:
            client = await proxy.client()
            stream = weakref.ref(client.connection.stream)
            client.connection.opening.shed()
            client.sock.close()
            await wait_until(lambda: not proxy.server.clients)
            del client
            proxy.remotes.clear()
            await run_loop_iterations()
            gc.collect()
            assert stream() is None

    asyncio.run(play())
