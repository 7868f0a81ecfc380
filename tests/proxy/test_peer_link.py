"""The socket between proxies, on loopback: which datagrams are accepted, and where messages are sent."""

from __future__ import annotations

import asyncio

from saltcourse.balancing.actions import SendPeerMessage
from saltcourse.balancing.events import PeerMessageReceived
from saltcourse.config import PeerAddresses
from saltcourse.proxy.peer_link import PeerLink
from tests.free_ports import free_addresses


def test_only_datagrams_from_the_address_of_a_peer_are_accepted() -> None:
    async def play() -> tuple[list[PeerMessageReceived], int]:
        addresses = free_addresses(3)
        queue: asyncio.Queue[PeerMessageReceived] = asyncio.Queue()
        links = [PeerLink(PeerAddresses(addresses[i], addresses, None, i), queue.put_nowait) for i in (0, 1)]
        for link in links:
            await link.open()
        loop = asyncio.get_running_loop()
        outsider, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
        )
        for data in (b"2AAAAAAAA", b"\xff", b"x" * 300):
            outsider.sendto(data, addresses[1])
        links[0]._transport.sendto(b"x" * 300, addresses[1])  # type: ignore[union-attr]
        links[0]._transport.sendto(b"\xff\n", addresses[1])  # type: ignore[union-attr]
        links[0].send_message(SendPeerMessage("x" * 300))
        links[0].send_message(SendPeerMessage("hello", 1))
        links[0].send_message(SendPeerMessage("to all"))  # the third peer is down, which must not matter
        received = [await queue.get(), await queue.get()]
        for end in (outsider, *links):
            end.close()
        return received, links[1].dropped_datagrams

    received, dropped = asyncio.run(play())
    assert received == [PeerMessageReceived(0, "hello"), PeerMessageReceived(0, "to all")] and dropped == 5
