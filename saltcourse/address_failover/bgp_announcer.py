"""Announces the service address by BGP, over one session to each route server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import structlog

from saltcourse.address_failover.bgp_session import (
    Action,
    BgpSession,
    CloseConnection,
    EstablishedChanged,
    OpenConnection,
    Peering,
    SendBytes,
    SetTimer,
    ranked_route,
)
from saltcourse.address_failover.route_announcement import AvailabilityCallback
from saltcourse.address_failover.terms import term_round
from saltcourse.codec.bgp import Route

READ_SIZE = 4096  # bytes

log = structlog.get_logger("saltcourse")


class BgpConnection:
    """Runs the socket and the timer of one ``BgpSession`` and executes its actions.

    ``on_change`` is called whenever the session becomes established or is lost.
    """

    def __init__(
        self,
        host: str,
        port: int,
        session: BgpSession,
        on_change: Callable[[], None],
        source_address: str | None = None,
    ) -> None:
        self.session = session
        self.name = f"{host}:{port}"
        self.established = False
        self._host = host
        self._port = port
        self._source_address = source_address
        self._on_change = on_change
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def start(self) -> None:
        """Start connecting."""
        self.execute(self.session.start(self._loop.time()))

    def set_route(self, route: Route | None) -> None:
        """Announce a route in place of the previous one; None withdraws it."""
        self.execute(self.session.set_route(self._loop.time(), route))

    def stop(self, reason: str) -> None:
        """Close the session permanently."""
        self.execute(self.session.stop(self._loop.time(), reason))

    def execute(self, actions: Sequence[Action]) -> None:
        """Execute the actions of the session. The previous timer is cancelled first."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for action in actions:
            match action:
                case OpenConnection():
                    self._task = self._loop.create_task(self._run())
                case SendBytes(data):
                    if self._writer is not None:
                        self._writer.write(data)
                case CloseConnection():
                    self.close()
                case SetTimer(at):
                    self._timer = self._loop.call_at(at, self._on_timer)
                case EstablishedChanged(established, reason):
                    self._on_established(established, reason)

    def close(self) -> None:
        """Close the connection, if it is open, without notifying the session."""
        task, self._task = self._task, None
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.close()
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def _on_timer(self) -> None:
        self.execute(self.session.timer_expired(self._loop.time()))

    def _on_established(self, established: bool, reason: str) -> None:
        self.established = established
        event = "route server session established" if established else "route server session lost"
        log.info(event, route_server=self.name, **({"reason": reason} if reason else {}))
        self._on_change()

    async def _run(self) -> None:
        """Open one connection and read from it until it ends; after ``close`` the session is not notified."""
        this_task = asyncio.current_task()
        reason = "connection closed"
        try:
            reader = await self._connect(this_task)
            while reader is not None and (data := await reader.read(READ_SIZE)):
                self.execute(self.session.received(self._loop.time(), data))
                if self._task is not this_task:
                    return
        except OSError as error:
            reason = error.strerror or str(error)
        if self._task is this_task:
            self.close()
            self.execute(self.session.closed(self._loop.time(), reason))

    async def _connect(self, this_task: asyncio.Task[None] | None) -> asyncio.StreamReader | None:
        """Open the connection; return None if the session closed it in the meantime. Raises OSError."""
        local = (self._source_address, 0) if self._source_address else None
        reader, writer = await asyncio.open_connection(self._host, self._port, local_addr=local)
        if self._task is not this_task:
            writer.close()
            return None
        self._writer = writer
        self.execute(self.session.connected(self._loop.time()))
        return reader


class BgpAnnouncer:
    """Announces the address to every route server; available while a session to any of them is established.

    ``seed`` spreads the attempts to connect.
    """

    def __init__(
        self,
        address: str,
        next_hop: str,
        peering: Peering,
        route_servers: Sequence[tuple[str, int]],
        seed: int,
        source_address: str | None = None,
    ) -> None:
        self.address = address
        self.next_hop = next_hop
        self.peering = peering
        self.available = False
        self.connections = [
            BgpConnection(
                host, port, BgpSession(peering, seed + index), self._update_availability, source_address
            )
            for index, (host, port) in enumerate(route_servers)
        ]
        self._on_availability: AvailabilityCallback = lambda available: None

    def start(self, on_availability: AvailabilityCallback) -> None:
        """Start connecting to all route servers."""
        self._on_availability = on_availability
        for connection in self.connections:
            connection.start()

    def announce(self, term: int) -> None:
        """Announce the address with the route preference of the term."""
        self._set_route(ranked_route(self.address, self.next_hop, term_round(term), self.peering))

    def withdraw(self, term: int) -> None:
        """Withdraw the address, regardless of the term."""
        self._set_route(None)

    async def stop(self, reason: str) -> None:
        """Close all sessions and send the reason to the route servers."""
        for connection in self.connections:
            connection.stop(reason)
        await asyncio.sleep(0)  # lets the cancelled tasks finish

    def _set_route(self, route: Route | None) -> None:
        for connection in self.connections:
            connection.set_route(route)

    def _update_availability(self) -> None:
        available = any(connection.established for connection in self.connections)
        if available is not self.available:
            self.available = available
            self._on_availability(available)
