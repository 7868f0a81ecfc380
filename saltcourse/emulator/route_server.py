"""A stand-in for a route server, on loopback: takes BGP sessions, keeps a record of every announcement and
withdrawal with its time, and tells the best path. It can be told to hang, to refuse and to die."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
from dataclasses import dataclass, field

from saltcourse.codec import bgp


@dataclass
class RouteServer:
    asn: int
    record: list[tuple[float, str, bgp.Address, bgp.Route | None]] = field(default_factory=list)
    routes: dict[tuple[str, bgp.Address], bgp.Route] = field(default_factory=dict)  # by peer's identifier
    hangs: bool = False  # reads nothing and says nothing, with its connections open
    port: int = 0

    async def start(self, port: int = 0) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """At once; connections are reset."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def best(self, address: str) -> bgp.Route | None:
        """RFC 4271, 9.1.2.2, as far as these routes differ: LOCAL_PREF, then MED."""
        found = [r for (_, a), r in self.routes.items() if a == ipaddress.ip_address(address)]
        return max(found, key=lambda r: (r.local_pref or 100, -(r.med or 0)), default=None)

    def _note(self, peer: str, address: bgp.Address, route: bgp.Route | None) -> None:
        self.record.append((asyncio.get_running_loop().time(), peer, address, route))
        if route is not None:
            self.routes[peer, address] = route
        else:
            self.routes.pop((peer, address), None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        peer = ""
        beat = asyncio.create_task(self._beat(writer))
        buffer = bgp.Buffer()
        try:
            while data := await reader.read(4096):
                while self.hangs:
                    await asyncio.sleep(0.01)
                buffer.feed(data)
                while (found := buffer.next()) is not None:
                    message = bgp.read(*found)
                    match message:
                        case bgp.Open():
                            peer = str(message.identifier)
                            mine = bgp.Open(self.asn, message.hold, ipaddress.IPv4Address("127.0.0.254"))
                            writer.write(bgp.open_message(mine) + bgp.keepalive())
                        case bgp.Notification():
                            return
                        case bgp.Update():
                            for route in message.announced:
                                self._note(peer, route.address, route)
                            for address in message.withdrawn:
                                self._note(peer, address, None)
        except (OSError, bgp.BgpError):
            pass
        finally:
            beat.cancel()
            self._tasks.discard(task)
            for owner, address in list(self.routes):
                if owner == peer:
                    self._note(peer, address, None)
            with contextlib.suppress(RuntimeError):  # the loop may be closing
                writer.transport.abort()

    async def _beat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(0.5)
            if not self.hangs:
                writer.write(bgp.keepalive())
