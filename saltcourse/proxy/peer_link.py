"""The UDP socket over which the proxies of a tier exchange shared state.

Delivery is not guaranteed. Only datagrams that come from a peer's configured address, are ASCII and do not
exceed the maximum message size are accepted; all others are counted and dropped before they are parsed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from saltcourse.balancing.actions import SendPeerMessage
from saltcourse.balancing.events import PeerMessageReceived
from saltcourse.codec.endpoint_list import Address
from saltcourse.config import PeerAddresses
from saltcourse.shared_state.codec import MAX_BYTES


class PeerLink(asyncio.DatagramProtocol):
    """Converts datagrams to ``PeerMessageReceived`` events and ``SendPeerMessage`` actions to datagrams."""

    def __init__(self, addresses: PeerAddresses, on_message: Callable[[PeerMessageReceived], None]) -> None:
        self._addresses = addresses
        self._on_message = on_message
        self._peer_index = {address: index for index, address in enumerate(addresses.proxies)}
        self._transport: asyncio.DatagramTransport | None = None
        self.dropped_datagrams = 0  # datagrams from an unknown sender, too long, or not ASCII

    @property
    def address(self) -> str:
        """The address at which this proxy receives, as host:port."""
        return "{}:{}".format(*self._addresses.listen)

    @property
    def is_open(self) -> bool:
        """Whether the socket is open."""
        return self._transport is not None

    async def open(self) -> None:
        """Open the socket; raises ``OSError`` if its address cannot be bound."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=self._addresses.listen
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Report a peer's message; drop any other datagram."""
        sender = self._peer_index.get(addr[:2])
        if sender is None or len(data) > MAX_BYTES or not data.isascii():
            self.dropped_datagrams += 1
            return
        self._on_message(PeerMessageReceived(sender, data.decode("ascii")))

    def error_received(self, exc: Exception) -> None:
        """Ignore an error such as a refused datagram: a peer that is down is detected by its silence."""

    def send_message(self, action: SendPeerMessage) -> None:
        """Send a message to one peer or to all; drop it if the socket is not open or the message too long."""
        data = action.data.encode()
        if self._transport is None or len(data) > MAX_BYTES:
            return
        for address in self._destinations(action.peer):
            self._transport.sendto(data, address)

    def _destinations(self, peer: int | None) -> tuple[Address, ...]:
        proxies = self._addresses.proxies
        if peer is not None:
            return proxies[peer : peer + 1]
        if self._addresses.broadcast is not None:
            return (self._addresses.broadcast,)
        return tuple(address for index, address in enumerate(proxies) if index != self._addresses.own_index)

    def close(self) -> None:
        """Close the socket; later messages are dropped."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
