"""Tests of the host with a scripted node: sending, the timer, and a failing store."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

import pytest
from structlog.testing import capture_logs

from saltcourse.gossip import messages as m
from saltcourse.gossip.errors import StoreError
from saltcourse.gossip.host import MAX_UNSENT_BYTES, Host
from saltcourse.gossip.node import Node


class ScriptedNode:
    """Replacement of ``Node`` that returns predefined actions for the next event."""

    def __init__(self, *scripted: m.Action) -> None:
        self.scripted = list(scripted)
        self.deadline = float("inf")
        self.events: list[m.Event] = []

    def start(self, now: float) -> list[m.Action]:
        return []

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        self.events.append(event)
        actions, self.scripted = self.scripted, []
        return actions

    def next_deadline(self) -> float:
        return self.deadline


class FailingStore:
    def __init__(self) -> None:
        self.closed = False

    def save(self, state: m.ReplicaState) -> None:
        raise StoreError("disk full")

    def close(self) -> None:
        self.closed = True


def test_nothing_is_sent_after_a_failed_save() -> None:
    async def run() -> None:
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        receiver.bind(("127.0.0.1", 0))
        receiver.setblocking(False)
        address = receiver.getsockname()
        first, second = m.Transmit(address, b"before"), m.Transmit(address, b"after")
        node = ScriptedNode(first, m.Persist(m.ReplicaState()), second)
        store, failures = FailingStore(), list[StoreError]()
        host = Host(cast(Node, node), store, on_failure=failures.append)
        await host.start(("127.0.0.1", 0))
        with capture_logs() as logs:
            host.report_connections(1)
        loop = asyncio.get_running_loop()
        assert await asyncio.wait_for(loop.sock_recv(receiver, 100), 5.0) == b"before"
        assert str(failures[0]) == "disk full" and store.closed and not host.is_open
        assert any("gossip state could not be stored" in line["event"] for line in logs)
        host.report_connections(2)
        assert node.events == [m.ConnectionCount(1)]  # the host is closed
        await asyncio.sleep(0.05)
        with pytest.raises(BlockingIOError):
            receiver.recv(100)
        receiver.close()

    asyncio.run(run())


def test_timer_follows_the_deadline_without_a_busy_loop() -> None:
    async def run() -> None:
        node = ScriptedNode()
        now = [100.0]
        host = Host(cast(Node, node), clock=lambda: now[0])
        await host.start(("127.0.0.1", 0))
        await asyncio.sleep(0.02)
        assert node.events == []  # there is no deadline
        node.deadline = 50.0  # stays in the past, as that of a node that makes no progress
        host.report_connections(1)
        await asyncio.sleep(0.1)
        ticks = sum(isinstance(event, m.Tick) for event in node.events)
        assert 1 <= ticks <= 110
        node.deadline = float("inf")
        await asyncio.sleep(0.02)
        ticks = len(node.events)
        await asyncio.sleep(0.05)
        assert len(node.events) == ticks
        host.close()

    asyncio.run(run())


def test_unsent_datagrams_are_counted() -> None:
    async def run() -> None:
        node = ScriptedNode(m.Transmit(("::1", 9), b"address of another family"))
        host = Host(cast(Node, node))
        await host.start(("127.0.0.1", 0))
        host.report_connections(1)
        assert host.datagrams["errors"] == 1
        transport = host._transport
        assert transport is not None
        transport.get_write_buffer_size = lambda: MAX_UNSENT_BYTES + 1  # type: ignore[attr-defined]
        node.scripted = [m.Transmit(("127.0.0.1", 9), b"exceeds the send buffer")]
        host.report_connections(2)
        assert host.datagrams["unsent"] == 1
        host.close()

    asyncio.run(run())
