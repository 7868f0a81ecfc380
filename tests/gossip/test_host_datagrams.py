"""Datagrams from outside the fleet at a host on a real socket: dropped, counted, without effect."""

from __future__ import annotations

import asyncio
import socket
from random import Random

from saltcourse.app.gossip import prefix_metric_names
from saltcourse.gossip import messages as m
from saltcourse.gossip.codec import Codec
from tests.gossip.site import KEY, Site, until


def test_datagrams_of_unknown_senders_are_counted_by_reason_and_change_nothing() -> None:
    async def run() -> None:
        site = Site(proxies=2)
        outsider = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            await site.start()
            await site.all_know(5)
            before = site.hosts["p0"].node.metrics(0.0)
            record = m.MemberRecord("evil", ("127.0.0.1", 9), "r", "z", m.Role.PROXY, 9, 9)
            header = m.Header(record.id, 9, 9, m.Position(2**32 - 1, 2**32 - 1))
            forged = Codec(b"another key" * 3).encode(header, m.Gossip((record,)))
            good = Codec(KEY).encode(header, m.Nack(1))
            random = Random(7)
            sent = {
                "form": [b"", b"hello", random.randbytes(200)],
                "too_long": [random.randbytes(1_201), random.randbytes(9_000)],
                "version": [good[:2] + b"\xff" + good[3:]],
                "authentication": [forged, good[:-1] + b"\xff"],
            }
            for datagram in [each for several in sent.values() for each in several]:
                outsider.sendto(datagram, site.addresses["p0"])
            host = site.hosts["p0"]
            await until(lambda: sum(host.node.dropped[r] for r in sent) == 8, "eight dropped")
            assert {reason: host.node.dropped[reason] for reason in sent} == {
                reason: len(several) for reason, several in sent.items()
            }
            assert record.id not in host.node.membership.members
            assert host.node.dissemination.position == m.Position()
            after = prefix_metric_names(host.metrics())
            assert after["gossip.dropped.authentication"] == 2
            assert after["gossip.datagrams.received"] >= 8
            assert after["gossip.bytes.received"] > before["bytes.received"]
            assert site.alive("p0") == 5
        finally:
            outsider.close()
            site.close()

    asyncio.run(run())


def test_a_member_with_another_key_stays_outside() -> None:
    async def run() -> None:
        site = Site(proxies=2)
        try:
            await site.start("c0", "c1", "c2", "p0")
            site.key = b"another key of 32 bytes ........"
            await site.start("p1")
            await site.hosts["c0"].publish((("k", b"v"),))
            dropped = site.hosts["c0"].node.dropped
            await until(lambda: dropped["authentication"] > 0, "its datagrams are dropped")
            await until(lambda: site.alive("p0") == 4, "the others know each other")
            assert site.alive("p1") == 1
            assert site.hosts["p1"].node.dissemination.freshness is m.Freshness.STALE
            assert site.position("p1") == m.Position()
        finally:
            site.close()

    asyncio.run(run())
