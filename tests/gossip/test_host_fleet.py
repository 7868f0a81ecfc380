"""Nine hosts in this process on real sockets of loopback: publishing, sums, a lost majority, leaving."""

from __future__ import annotations

import asyncio

from saltcourse.app.gossip import prefix_metric_names
from saltcourse.gossip import messages as m
from tests.gossip.site import Site, until


def test_a_publish_reaches_all_and_goes_on_without_the_publisher() -> None:
    async def run() -> None:
        site = Site()
        try:
            await site.start()
            await site.all_know(9)
            first = await site.hosts["c1"].publish((("greeting", b"one"), ("other", b"x")))
            assert isinstance(first, m.Published)
            await site.all_have("greeting", b"one")
            positions = {name: site.position(name) for name in site.hosts}
            assert set(positions.values()) == {first.position}
            assert all(site.stores[name].saves for name in ("c0", "c1", "c2"))

            await site.kill("c1")
            second = await site.hosts["c2"].publish((("greeting", b"two"), ("other", None)))
            assert isinstance(second, m.Published) and second.position > first.position
            await site.all_have("greeting", b"two")
            await site.all_have("other", None)
            await site.all_know(8)

            await site.start("c1")  # the same name and disk, another process
            await site.all_have("greeting", b"two")
            await site.all_know(9)
            third = await site.hosts["c1"].publish((("greeting", b"three"),))
            assert isinstance(third, m.Published) and third.position > second.position
            await site.all_have("greeting", b"three")
        finally:
            site.close()

    asyncio.run(run())


def test_connections_are_summed_by_zone_and_a_member_that_leaves_is_gone_at_once() -> None:
    async def run() -> None:
        site = Site()
        try:
            await site.start()
            await site.all_know(9)
            for number in range(6):
                site.hosts[f"p{number}"].report_connections(10 ** (number // 3))

            def sums(name: str) -> dict[str, int]:
                host = site.hosts[name]
                return {z: s.connections for z, s in host.node.aggregation.sums(host.now()).items()}

            wanted = {"z0": 11, "z1": 11, "z2": 11}
            await until(lambda: all(sums(name) == wanted for name in site.hosts), "the sums")
            assert prefix_metric_names(site.hosts["c0"].metrics())["gossip.zone.z1.connections"] == 11
            site.hosts["p5"].leave()
            left = site.hosts.pop("p5")
            await until(lambda: not left.is_open, "closed")
            leaver = m.member_id("p5")

            def knows_of_the_leave(name: str) -> bool:
                return site.hosts[name].node.membership.members[leaver].status is m.Status.LEFT

            await until(lambda: all(knows_of_the_leave(name) for name in site.hosts), "notified of the leave")
        finally:
            site.close()

    asyncio.run(run())


def test_without_a_majority_nothing_is_published_and_its_return_is_enough() -> None:
    async def run() -> None:
        site = Site(proxies=1)
        try:
            await site.start()
            await site.all_know(4)
            assert isinstance(await site.hosts["c0"].publish((("k", b"1"),)), m.Published)
            await site.kill("c1")
            await site.kill("c2")
            failed = await site.hosts["c0"].publish((("k", b"2"),))
            assert isinstance(failed, m.PublishFailed) and failed.error is m.PublishError.NO_MAJORITY
            stale = m.Freshness.STALE
            await until(lambda: site.hosts["p0"].node.dissemination.freshness is stale, "reported as stale")
            assert site.hosts["p0"].node.dissemination.configuration["k"] == b"1"
            await site.start("c2")
            await until(
                lambda: site.hosts["p0"].node.dissemination.freshness is m.Freshness.CURRENT, "current again"
            )
            assert isinstance(await site.hosts["c2"].publish((("k", b"3"),)), m.Published)
            await site.all_have("k", b"3")
        finally:
            site.close()

    asyncio.run(run())


def test_only_a_voter_publishes_and_a_leaving_host_abandons_what_is_under_way() -> None:
    async def run() -> None:
        site = Site(proxies=1)
        try:
            await site.start("p0", "c0")
            at_proxy = await site.hosts["p0"].publish((("k", b"v"),))
            assert isinstance(at_proxy, m.PublishFailed) and at_proxy.error is m.PublishError.NOT_CONTROL
            under_way = asyncio.create_task(site.hosts["c0"].publish((("k", b"v"),)))
            await asyncio.sleep(0)
            site.hosts["c0"].leave()
            failed = await asyncio.wait_for(under_way, 1.0)
            assert isinstance(failed, m.PublishFailed) and failed.error is m.PublishError.NO_MAJORITY
            after = await site.hosts["c0"].publish((("k", b"v"),))
            assert isinstance(after, m.PublishFailed)
        finally:
            site.close()

    asyncio.run(run())
