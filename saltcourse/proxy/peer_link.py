"""What the proxies tell each other, over one UDP socket. It decides nothing and answers for no delivery.

Only datagrams from a peer's own address are taken, and only as many bytes as a message may have: whatever
else comes to the port is counted and dropped before anything reads it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import structlog

from saltcourse.balancing.actions import SendPeerMessage
from saltcourse.balancing.events import PeerMessageReceived
from saltcourse.codec.endpoint_list import Address
from saltcourse.config import PeerAddresses
from saltcourse.shared_state.codec import MAX_BYTES

log = structlog.get_logger("saltcourse")


class PeerLink(asyncio.DatagramProtocol):
    def __init__(self, addresses: PeerAddresses, tell: Callable[[PeerMessageReceived], None]) -> None:
        self._addresses, self._tell = addresses, tell
        self._index = {address: i for i, address in enumerate(addresses.each)}
        self._transport: asyncio.DatagramTransport | None = None
        self.strange = 0  # datagrams from elsewhere, too long, or no text

    async def open(self) -> None:
        """Raises OSError when the address cannot be had."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=self._addresses.listen
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        sender = self._index.get(addr[:2])
        if sender is None or len(data) > MAX_BYTES or not data.isascii():
            self.strange += 1
            return
        self._tell(PeerMessageReceived(sender, data.decode("ascii")))

    def error_received(self, exc: Exception) -> None:
        """A peer's machine refused a datagram: that peer is down, which its silence tells as well."""

    def say(self, action: SendPeerMessage) -> None:
        data = action.data.encode()
        if self._transport is None or len(data) > MAX_BYTES:
            return
        for address in self._targets(action.peer):
            self._transport.sendto(data, address)

    def _targets(self, peer: int | None) -> tuple[Address, ...]:
        each = self._addresses.each
        if peer is not None:
            return each[peer : peer + 1]
        if self._addresses.everyone is not None:
            return (self._addresses.everyone,)
        return tuple(a for i, a in enumerate(each) if i != self._addresses.own)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
            self._transport = None
