"""Tests that datagrams from outside the fleet are dropped, counted and have no effect."""

from __future__ import annotations

import asyncio
import socket
from random import Random

from saltcourse.app.gossip import prefix_metric_names
from saltcourse.gossip import messages as m
from saltcourse.gossip.codec import Codec
from tests.gossip.loopback_fleet import KEY, LoopbackFleet, wait_until


def test_invalid_datagrams_are_counted_by_reason_and_have_no_effect() -> None:
    async def run() -> None:
        fleet = LoopbackFleet(proxies=2)
        outsider = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            await fleet.start()
            await fleet.wait_for_members(5)
            before = fleet.hosts["p0"].node.metrics(0.0)
            record = m.MemberRecord("evil", ("127.0.0.1", 9), "r", "z", m.Role.PROXY, 9, 9)
            header = m.Header(record.id, 9, 9, m.Position(2**32 - 1, 2**32 - 1))
            wrong_key = Codec(b"another key" * 3).encode(header, m.Gossip((record,)))
            valid = Codec(KEY).encode(header, m.Nack(1))
            random = Random(7)
            sent = {
                "form": [b"", b"hello", random.randbytes(200)],
                "too_long": [random.randbytes(1_201), random.randbytes(9_000)],
                "version": [valid[:2] + b"\xff" + valid[3:]],
                "authentication": [wrong_key, valid[:-1] + b"\xff"],
            }
            for datagram in [datagram for datagrams in sent.values() for datagram in datagrams]:
                outsider.sendto(datagram, fleet.addresses["p0"])
            host = fleet.hosts["p0"]
            await wait_until(
                lambda: sum(host.node.dropped[reason] for reason in sent) == 8, "8 datagrams dropped"
            )
            assert {reason: host.node.dropped[reason] for reason in sent} == {
                reason: len(datagrams) for reason, datagrams in sent.items()
            }
            assert record.id not in host.node.membership.members
            assert host.node.dissemination.position == m.Position()
            after = prefix_metric_names(host.metrics())
            assert after["gossip.dropped.authentication"] == 2
            assert after["gossip.datagrams.received"] >= 8
            assert after["gossip.bytes.received"] > before["bytes.received"]
            assert fleet.alive_count("p0") == 5
        finally:
            outsider.close()
            fleet.close()

    asyncio.run(run())


def test_member_with_another_key_does_not_join() -> None:
    async def run() -> None:
        fleet = LoopbackFleet(proxies=2)
        try:
            await fleet.start("c0", "c1", "c2", "p0")
            fleet.key = b"another key of 32 bytes ........"
            await fleet.start("p1")
            await fleet.hosts["c0"].publish((("k", b"v"),))
            dropped = fleet.hosts["c0"].node.dropped
            await wait_until(lambda: dropped["authentication"] > 0, "c0 drops datagrams of p1")
            await wait_until(lambda: fleet.alive_count("p0") == 4, "p0 knows the other members")
            assert fleet.alive_count("p1") == 1
            assert fleet.hosts["p1"].node.dissemination.freshness is m.Freshness.STALE
            assert fleet.position("p1") == m.Position()
        finally:
            fleet.close()

    asyncio.run(run())
