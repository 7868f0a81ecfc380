"""The UDP socket over which the proxies of a tier exchange shared state.

It makes no decision and does not promise delivery. Only datagrams from a peer's own address are taken, and
only as many bytes as a message may have: whatever else comes to the port is counted and dropped before
anything parses it.
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
    """Turns datagrams into ``PeerMessageReceived`` and ``SendPeerMessage`` into datagrams."""

    def __init__(self, addresses: PeerAddresses, on_message: Callable[[PeerMessageReceived], None]) -> None:
        self._addresses = addresses
        self._on_message = on_message
        self._peer_index = {address: index for index, address in enumerate(addresses.proxies)}
        self._transport: asyncio.DatagramTransport | None = None
        self.dropped_datagrams = 0  # from elsewhere, too long, or not ASCII

    async def open(self) -> None:
        """Raises ``OSError`` when the address cannot be had."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=self._addresses.listen
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a peer's message; drop anything else."""
        sender = self._peer_index.get(addr[:2])
        if sender is None or len(data) > MAX_BYTES or not data.isascii():
            self.dropped_datagrams += 1
            return
        self._on_message(PeerMessageReceived(sender, data.decode("ascii")))

    def error_received(self, exc: Exception) -> None:
        """A peer's machine refused a datagram: that peer is down, which its silence shows as well."""

    def send_message(self, action: SendPeerMessage) -> None:
        """Send to one peer or to all; nothing is sent before ``open`` or over the size of a message."""
        data = action.data.encode()
        if self._transport is None or len(data) > MAX_BYTES:
            return
        for address in self._destinations(action.peer):
            self._transport.sendto(data, address)

    def _destinations(self, peer: int | None) -> tuple[Address, ...]:
        each = self._addresses.proxies
        if peer is not None:
            return each[peer : peer + 1]
        if self._addresses.broadcast is not None:
            return (self._addresses.broadcast,)
        return tuple(address for index, address in enumerate(each) if index != self._addresses.own_index)

    def close(self) -> None:
        """Close the socket; messages after it are not sent."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
