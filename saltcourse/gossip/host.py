"""A ``Node`` on a real UDP socket: datagrams and time become events, its actions are carried out in order.

It decides nothing. The clock is CLOCK_BOOTTIME, which also counts while the machine is suspended, so that a
member that wakes up knows how long it received nothing.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from typing import Protocol

import structlog

from saltcourse.boottime import boottime_seconds
from saltcourse.gossip.errors import StoreError
from saltcourse.gossip.event_log import EventLog
from saltcourse.gossip.messages import (
    Action,
    Address,
    Applied,
    ConnectionCount,
    Event,
    FreshnessChanged,
    Leave,
    MemberChanged,
    Persist,
    Publish,
    Published,
    PublishError,
    PublishFailed,
    Received,
    ReplicaState,
    Tick,
    Transmit,
    Write,
    ZoneReachability,
)
from saltcourse.gossip.node import Node

LEAVE_GRACE_SECONDS = 0.3  # for which a leaving member still answers, so that its goodbye gets through
MIN_TICK_DELAY_SECONDS = 0.001  # a deadline that does not move must not spin
MAX_UNSENT_BYTES = 262_144  # that wait for the socket; more is dropped, as the network would
MAX_RECEIVE_BYTES = 2_048  # of one datagram; over MAX_DATAGRAM_BYTES, so that longer ones are found out

log = structlog.get_logger("saltcourse")

PublishOutcome = Published | PublishFailed


class StateStore(Protocol):
    """Where a voter's state survives a restart."""

    def save(self, state: ReplicaState) -> None:
        """Returns when it is on the disk; ``StoreError`` when it can't be stored."""

    def close(self) -> None:
        """Release the file."""


class Host(asyncio.DatagramProtocol):
    """A ``Node`` on a real UDP socket, with its timer.

    ``store`` is a voter's; ``on_applied`` is called for each new configuration, ``on_failure`` when the store
    has failed and this member has ended for it.
    """

    def __init__(
        self,
        node: Node,
        store: StateStore | None = None,
        on_applied: Callable[[Applied], None] | None = None,
        on_failure: Callable[[StoreError], None] | None = None,
        clock: Callable[[], float] = boottime_seconds,
    ) -> None:
        self.node = node
        self.datagrams: Counter[str] = Counter()
        self.started_at = 0.0
        self._store = store
        self._on_applied = on_applied
        self._on_failure = on_failure
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")  # on this host's clock
        self._tokens = itertools.count(1)
        self._publishing: dict[int, asyncio.Future[PublishOutcome]] = {}
        self._events = EventLog()
        self._leaving = False

    async def start(self, address: Address) -> None:
        """Bind the socket and start the node. OSError when the address can't be bound."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self.started_at = self._clock()
        self._carry_out(self.node.start(self.started_at))
        self._arm()

    def leave(self) -> None:
        """Announce the departure at once, and close ``LEAVE_GRACE_SECONDS`` later."""
        if self._leaving:
            return
        self._leaving = True
        self._handle(Leave())
        self._abandon_publishing()
        self._loop.call_later(LEAVE_GRACE_SECONDS, self.close)

    def close(self) -> None:
        """Close socket, timer and store at once; publishers that wait are answered."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._store is not None:
            self._store.close()
            self._store = None
        self._abandon_publishing()
        self._events.flush()

    @property
    def is_open(self) -> bool:
        """Whether the socket is bound."""
        return self._transport is not None

    # ---- calls of the program ---------------------------------------------------------------------

    def report_connections(self, connections: int) -> None:
        """Set the number of this proxy's client connections."""
        self._handle(ConnectionCount(connections))

    async def publish(self, writes: tuple[Write, ...]) -> PublishOutcome:
        """Publish a change. Returns within the node's ``publish_timeout``."""
        token = next(self._tokens)
        if not self.is_open or self._leaving:
            return PublishFailed(token, PublishError.NO_MAJORITY)
        outcome: asyncio.Future[PublishOutcome] = self._loop.create_future()
        self._publishing[token] = outcome
        try:
            self._handle(Publish(token, writes))
            return await outcome
        finally:
            self._publishing.pop(token, None)

    def metrics(self) -> dict[str, int]:
        """Metrics of ``/_vars``, by name."""
        metrics = self.node.metrics(self._clock())
        metrics |= {f"datagrams.{name}": count for name, count in sorted(self.datagrams.items())}
        return metrics

    def now(self) -> float:
        """Seconds on the node's clock."""
        return self._clock()

    # ---- events -----------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Asyncio has bound the socket."""
        # asyncio sets aside this much memory for each datagram that it reads; by default 256 KiB.
        transport.max_size = MAX_RECEIVE_BYTES  # type: ignore[attr-defined]
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Asyncio has read a datagram."""
        self.datagrams["received"] += 1
        self._handle(Received(addr[:2], data))

    def error_received(self, exc: Exception) -> None:
        """A destination can't be reached, or its port is closed; its silence is what the node sees."""
        self.datagrams["errors"] += 1

    def _tick(self) -> None:
        self._timer = None
        self._timer_at = float("inf")
        self._handle(Tick())

    def _handle(self, event: Event) -> None:
        if not self.is_open:
            return
        self._carry_out(self.node.handle(self._clock(), event))
        self._arm()

    def _arm(self) -> None:
        """Set one timer to the node's next deadline. One for an earlier time is left: it costs a tick."""
        if not self.is_open:
            return
        deadline = self.node.next_deadline()
        if deadline >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        delay = max(MIN_TICK_DELAY_SECONDS, deadline - self._clock())
        self._timer = self._loop.call_later(delay, self._tick)
        self._timer_at = deadline

    # ---- actions ----------------------------------------------------------------------------------

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Transmit(destination, datagram):
                    self._transmit(destination, datagram)
                case Persist(state):
                    if not self._persist(state):
                        return
                case Published(token) | PublishFailed(token):
                    self._settle(token, action)
                case MemberChanged() | FreshnessChanged() | ZoneReachability():
                    self._events.record(action)
                case Applied():
                    self._events.record(action)
                    if self._on_applied is not None:
                        self._on_applied(action)

    def _transmit(self, destination: Address, datagram: bytes) -> None:
        if self._transport is None:
            return
        # Of every asyncio transport that writes; its type lacks it.
        unsent: int = self._transport.get_write_buffer_size()  # type: ignore[attr-defined]
        if unsent > MAX_UNSENT_BYTES:
            self.datagrams["unsent"] += 1
            return
        self.datagrams["sent"] += 1
        self._transport.sendto(datagram, destination)

    def _persist(self, state: ReplicaState) -> bool:
        """Store a voter's state.

        What can't be stored must not be sent, nor anything after it: this member ends.
        """
        if self._store is None:
            return True
        try:
            self._store.save(state)
        except StoreError as error:
            log.error("gossip state could not be stored; this member stops", reason=str(error))
            self.close()
            if self._on_failure is not None:
                self._on_failure(error)
            return False
        return True

    def _settle(self, token: int, outcome: PublishOutcome) -> None:
        waiting = self._publishing.get(token)
        if waiting is not None and not waiting.done():
            waiting.set_result(outcome)

    def _abandon_publishing(self) -> None:
        """Answer the publishers that wait: others may still commit what is under way."""
        for token in list(self._publishing):
            self._settle(token, PublishFailed(token, PublishError.NO_MAJORITY))
