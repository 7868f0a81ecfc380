"""Connections without a request: bounded, the one that has been quiet longest shed first."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from saltcourse.proxy.descriptors import OWN_DESCRIPTORS
from saltcourse.proxy.pending_connections import MAX_CLOSING, MIN_PENDING, PendingConnections
from saltcourse.proxy.stream import SocketStream
from tests.proxy.running_proxy import RunningProxy, wait_until


class Idle:
    """A pending connection that records what is done to it."""

    def __init__(self) -> None:
        self.acts: list[str] = []

    def shed(self) -> None:
        self.acts.append("shed")

    def drop(self) -> None:
        self.acts.append("drop")


def test_the_connection_quiet_longest_is_shed_first() -> None:
    pending = PendingConnections(max_descriptors=400)
    connections = [Idle() for _ in range(100)]
    for connection in connections:
        pending.touch(connection)
    pending.touch(connections[0])  # it has sent a PING
    pending.make_room(open_descriptors=100)  # a quarter of the descriptors are pending
    assert [number for number, each in enumerate(connections) if each.acts] == [1]
    assert len(pending) == 99


def test_few_are_kept_when_descriptors_are_short_and_few_of_the_shed_wait_for_their_client() -> None:
    pending = PendingConnections(max_descriptors=40)
    connections = [Idle() for _ in range(20)]
    for connection in connections:
        pending.touch(connection)
    pending.make_room(open_descriptors=60)
    assert len(pending) == MIN_PENDING - 1  # one more fits
    shed = [each for each in connections if each.acts]
    assert len(shed) == 20 - len(pending)
    assert sum(1 for each in shed if each.acts == ["shed", "drop"]) == len(shed) - MAX_CLOSING


def test_idle_clients_that_fill_the_descriptors_leave_one_for_the_endpoint_list() -> None:
    """A crowd of idle clients holds all descriptors that clients may have; discovery is still called."""

    async def play() -> None:
        async with RunningProxy(polled=True, sockets=48, poll_interval=0.4) as proxy:
            crowd = [socket.create_connection(proxy.server.address()) for _ in range(120)]
            for sock in crowd[::2]:
                with suppress(OSError):
                    sock.send(b"OPEN hal")
            for _ in range(3):  # each call is cut off, and made again
                async with asyncio.timeout(10.0):
                    call, _ = await asyncio.get_running_loop().sock_accept(proxy.discovery)
                assert SocketStream.open_count + OWN_DESCRIPTORS <= 48
                call.close()
            for sock in crowd:
                sock.close()
            await wait_until(lambda: not proxy.server.clients)

    asyncio.run(play())
