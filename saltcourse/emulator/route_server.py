"""A fake route server on loopback: accepts BGP sessions and records every route change.

A test can make it hang or crash.
"""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
from dataclasses import dataclass, field

from saltcourse.codec import bgp
from saltcourse.codec.bgp_decoder import MessageBuffer, decode

KEEPALIVE_INTERVAL_SECONDS = 0.5
HANG_POLL_SECONDS = 0.01
IDENTIFIER = ipaddress.IPv4Address("127.0.0.254")
DEFAULT_LOCAL_PREF = 100


@dataclass(frozen=True, slots=True)
class RouteChange:
    """A peer's announcement of a route to an address, or its withdrawal if ``route`` is None.

    ``time`` is the event loop's clock, in seconds.
    """

    time: float
    peer: str
    address: bgp.Address
    route: bgp.Route | None


@dataclass
class RouteServer:
    """A route server with the routes of its peers, each identified by its BGP identifier."""

    asn: int
    record: list[RouteChange] = field(default_factory=list)
    routes: dict[tuple[str, bgp.Address], bgp.Route] = field(default_factory=dict)  # by (peer, address)
    hangs: bool = False  # while set, nothing is read or sent; connections stay open
    port: int = 0

    async def start(self, port: int = 0) -> None:
        """Listen on 127.0.0.1; with ``port`` 0 the system chooses a free port."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def best(self, address: str) -> bgp.Route | None:
        """Return the best route to an address, or None without a route.

        Of the decision process in RFC 4271, 9.1.2.2 only LOCAL_PREF and MED apply to these routes.
        """
        target = ipaddress.ip_address(address)
        candidates = [route for (_, destination), route in self.routes.items() if destination == target]
        return max(candidates, key=_preference, default=None)

    def _record_change(self, peer: str, address: bgp.Address, route: bgp.Route | None) -> None:
        self.record.append(RouteChange(asyncio.get_running_loop().time(), peer, address, route))
        if route is not None:
            self.routes[peer, address] = route
        else:
            self.routes.pop((peer, address), None)

    def _drop_routes(self, peer: str) -> None:
        for owner, address in list(self.routes):
            if owner == peer:
                self._record_change(peer, address, None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        keepalives = asyncio.create_task(self._send_keepalives(writer))
        session = _Session(self, writer)
        try:
            await session.run(reader)
        except (OSError, bgp.BgpError):
            pass
        finally:
            keepalives.cancel()
            self._tasks.discard(task)
            self._drop_routes(session.peer)
            with contextlib.suppress(RuntimeError):  # The event loop may be closing.
                writer.transport.abort()

    async def _send_keepalives(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(KEEPALIVE_INTERVAL_SECONDS)
            if not self.hangs:
                writer.write(bgp.encode_keepalive())


class _Session:
    """A BGP session with one peer."""

    def __init__(self, server: RouteServer, writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.writer = writer
        self.peer = ""
        self._buffer = MessageBuffer()

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Process messages until the peer ends the session. Raises OSError and BgpError."""
        while data := await reader.read(4096):
            while self.server.hangs:
                await asyncio.sleep(HANG_POLL_SECONDS)
            self._buffer.feed(data)
            while (frame := self._buffer.next()) is not None:
                message = decode(frame)
                if isinstance(message, bgp.Notification):
                    return
                self._receive(message)

    def _receive(self, message: bgp.Message) -> None:
        match message:
            case bgp.Open():
                self.peer = str(message.identifier)
                own_open = bgp.Open(self.server.asn, message.hold_time, IDENTIFIER)
                self.writer.write(bgp.encode_open(own_open) + bgp.encode_keepalive())
            case bgp.Update():
                for route in message.announced:
                    self.server._record_change(self.peer, route.address, route)
                for address in message.withdrawn:
                    self.server._record_change(self.peer, address, None)


def _preference(route: bgp.Route) -> tuple[int, int]:
    return route.local_pref or DEFAULT_LOCAL_PREF, -(route.med or 0)
