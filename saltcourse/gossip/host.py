"""Runs a ``Node`` on a UDP socket and the asyncio loop.

Turns received datagrams and expired timers into events of the node, and executes its actions in order. All
protocol decisions are made by the node. The clock is CLOCK_BOOTTIME, which keeps counting while the machine
is suspended, so that a resumed member knows for how long it has received nothing.
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

LEAVE_GRACE_SECONDS = 0.3  # a leaving member keeps its socket this long, so that its departure is received
MIN_TICK_DELAY_SECONDS = 0.001  # prevents a busy loop if a deadline stays in the past
MAX_UNSENT_BYTES = 262_144  # limit of asyncio's send buffer; further datagrams are dropped
MAX_RECEIVE_BYTES = 2_048  # above MAX_DATAGRAM_BYTES, so that longer datagrams are recognized

log = structlog.get_logger("saltcourse")

PublishOutcome = Published | PublishFailed


class StateStore(Protocol):
    """Persistent storage of a voter's state."""

    def save(self, state: ReplicaState) -> None:
        """Return when the state is on disk. Raise ``StoreError`` if it can't be stored."""

    def close(self) -> None:
        """Close the file."""


class Host(asyncio.DatagramProtocol):
    """Runs ``node`` on a UDP socket, with a timer for its deadlines.

    ``store`` keeps a voter's state; other members have none. ``on_applied`` is called for each configuration
    that is applied, ``on_failure`` after the host was closed because the store failed.
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
        self._timer_at = float("inf")  # time on ``clock`` for which the timer is set
        self._publish_tokens = itertools.count(1)
        self._pending_publishes: dict[int, asyncio.Future[PublishOutcome]] = {}
        self._event_log = EventLog()
        self._leaving = False

    async def start(self, address: Address) -> None:
        """Bind the socket and start the node. Raise OSError if the address can't be bound."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self.started_at = self._clock()
        self._execute(self.node.start(self.started_at))
        self._set_timer()

    def leave(self) -> None:
        """Announce the departure, and close ``LEAVE_GRACE_SECONDS`` later."""
        if self._leaving:
            return
        self._leaving = True
        self._handle(Leave())
        self._fail_pending_publishes()
        self._loop.call_later(LEAVE_GRACE_SECONDS, self.close)

    def close(self) -> None:
        """Close socket, timer and store. Pending ``publish`` calls return ``NO_MAJORITY``."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._store is not None:
            self._store.close()
            self._store = None
        self._fail_pending_publishes()
        self._event_log.flush()

    @property
    def is_open(self) -> bool:
        """True while the socket is open."""
        return self._transport is not None

    # ---- calls from the application ---------------------------------------------------------------

    def report_connections(self, connections: int) -> None:
        """Report the number of this proxy's client connections to the node."""
        self._handle(ConnectionCount(connections))

    async def publish(self, writes: tuple[Write, ...]) -> PublishOutcome:
        """Publish a change and return the result, within the node's ``publish_timeout``."""
        token = next(self._publish_tokens)
        if not self.is_open or self._leaving:
            return PublishFailed(token, PublishError.NO_MAJORITY)
        outcome: asyncio.Future[PublishOutcome] = self._loop.create_future()
        self._pending_publishes[token] = outcome
        try:
            self._handle(Publish(token, writes))
            return await outcome
        finally:
            self._pending_publishes.pop(token, None)

    def metrics(self) -> dict[str, int]:
        """Return the metrics shown at ``/_vars``, by name."""
        metrics = self.node.metrics(self._clock())
        metrics |= {f"datagrams.{name}": count for name, count in sorted(self.datagrams.items())}
        return metrics

    def now(self) -> float:
        """Return the time on the node's clock, in seconds."""
        return self._clock()

    # ---- events -----------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Store the transport; called by asyncio when the socket is bound."""
        # asyncio allocates a buffer of this size for each datagram that it reads; the default is 256 KiB.
        transport.max_size = MAX_RECEIVE_BYTES  # type: ignore[attr-defined]
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a received datagram to the node; called by asyncio."""
        self.datagrams["received"] += 1
        self._handle(Received(addr[:2], data))

    def error_received(self, exc: Exception) -> None:
        """Count a send error; called by asyncio.

        The destination can't be reached or its port is closed. The node detects that by missing answers.
        """
        self.datagrams["errors"] += 1

    def _tick(self) -> None:
        self._timer = None
        self._timer_at = float("inf")
        self._handle(Tick())

    def _handle(self, event: Event) -> None:
        if not self.is_open:
            return
        self._execute(self.node.handle(self._clock(), event))
        self._set_timer()

    def _set_timer(self) -> None:
        """Set the timer to the node's next deadline.

        A timer that is set to an earlier time is not changed; it causes one unneeded tick.
        """
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

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Transmit(destination, datagram):
                    self._transmit(destination, datagram)
                case Persist(state):
                    if not self._persist(state):
                        return
                case Published(token) | PublishFailed(token):
                    self._finish_publish(token, action)
                case MemberChanged() | FreshnessChanged() | ZoneReachability():
                    self._event_log.record(action)
                case Applied():
                    self._event_log.record(action)
                    if self._on_applied is not None:
                        self._on_applied(action)

    def _transmit(self, destination: Address, datagram: bytes) -> None:
        if self._transport is None:
            return
        # asyncio's datagram transports have this method, but the type stubs lack it.
        unsent: int = self._transport.get_write_buffer_size()  # type: ignore[attr-defined]
        if unsent > MAX_UNSENT_BYTES:
            self.datagrams["unsent"] += 1
            return
        self.datagrams["sent"] += 1
        self._transport.sendto(datagram, destination)

    def _persist(self, state: ReplicaState) -> bool:
        """Store a voter's state; return whether that succeeded.

        On failure the host closes, because neither messages that depend on the state nor later ones may be
        sent.
        """
        if self._store is None:
            return True
        try:
            self._store.save(state)
        except StoreError as error:
            log.error("gossip state could not be stored; stopping this member", reason=str(error))
            self.close()
            if self._on_failure is not None:
                self._on_failure(error)
            return False
        return True

    def _finish_publish(self, token: int, outcome: PublishOutcome) -> None:
        pending = self._pending_publishes.get(token)
        if pending is not None and not pending.done():
            pending.set_result(outcome)

    def _fail_pending_publishes(self) -> None:
        """Fail the pending ``publish`` calls; the other voters may still commit these changes."""
        for token in list(self._pending_publishes):
            self._finish_publish(token, PublishFailed(token, PublishError.NO_MAJORITY))
