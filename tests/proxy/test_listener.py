"""The listener for clients: descriptor limit, inherited sockets, and addresses that cannot be bound."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest
from structlog.testing import capture_logs

from saltcourse.proxy.descriptors import OWN_DESCRIPTORS, DescriptorLimit
from saltcourse.proxy.errors import ListenError
from saltcourse.proxy.listener import ClientListener
from saltcourse.proxy.pending_connections import PendingConnections
from saltcourse.proxy.stream import SocketStream
from tests.proxy.running_proxy import run_loop_iterations, wait_until


def listener_with(limit: DescriptorLimit, accepted: list[socket.socket]) -> ClientListener:
    return ClientListener(limit, PendingConnections(limit.for_connections), accepted.append)


def test_accepting_pauses_without_descriptors_and_resumes_when_some_are_free() -> None:
    """Clients that connect while all descriptors are in use wait in the backlog.

    The listener must neither poll them in a busy loop nor log every attempt to accept.
    """

    async def play() -> None:
        accepted: list[socket.socket] = []
        limit = DescriptorLimit(OWN_DESCRIPTORS + SocketStream.open_count)
        listener = listener_with(limit, accepted)
        listener.open(("127.0.0.1", 0), None)
        clients = [socket.create_connection(listener.address()) for _ in range(3)]
        with capture_logs() as logs:
            await asyncio.sleep(0.2)  # several pauses
            assert not accepted
            assert [entry["event"] for entry in logs] == ["client accept paused"]
            limit.limit += 10
            await wait_until(lambda: len(accepted) == 3)
        listener.close(accept_backlog=False)
        for sock in (*accepted, *clients):
            sock.close()

    asyncio.run(play())


@pytest.mark.parametrize("accept_backlog", [True, False])
def test_the_backlog_is_accepted_before_closing_only_if_the_socket_is_not_shared(
    accept_backlog: bool,
) -> None:
    async def play() -> None:
        accepted: list[socket.socket] = []
        shared = socket.create_server(("127.0.0.1", 0))
        listener = listener_with(DescriptorLimit(512), accepted)
        listener.open(("127.0.0.1", 0), os.dup(shared.fileno()))
        client = socket.create_connection(shared.getsockname())
        listener.close(accept_backlog)  # before the event loop could accept the client
        await run_loop_iterations()
        assert len(accepted) == accept_backlog
        if not accept_backlog:  # left for the other process that shares the socket
            shared.setblocking(False)
            accepted.append(shared.accept()[0])
        for sock in (*accepted, client, shared):
            sock.close()

    asyncio.run(play())


def test_a_listen_error_names_the_configuration_key() -> None:
    async def play() -> None:
        listener = listener_with(DescriptorLimit(512), [])
        with socket.create_server(("127.0.0.1", 0)) as in_use, pytest.raises(ListenError, match="'listen'"):
            listener.open(in_use.getsockname(), None)
        with socket.socket() as not_listening, pytest.raises(ListenError, match="EDGE_LISTEN_FD"):
            listener.open(("127.0.0.1", 0), not_listening.fileno())

    asyncio.run(play())
