"""Faults as the operators' page lists them, on nine hosts on loopback: c0 to c2 vote, zones z0 to z2."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from saltcourse.app.gossip import create_host, prefix_metric_names
from saltcourse.gossip import messages as m
from tests.gossip.site import QUICK, Site, until

TIMING = replace(QUICK, zone_silence=0.6, publish_timeout=1.0)


def at_a_site(test: Callable[[Site], Awaitable[None]], **changes: object) -> None:
    async def run() -> None:
        site = Site(**({"timing": TIMING} | changes))  # type: ignore[arg-type]
        try:
            await site.start()
            await site.all_know(len(site.addresses))
            await test(site)
        finally:
            site.close()

    asyncio.run(run())


def figure(site: Site, name: str, key: str) -> int:
    return site.hosts[name].metrics()[key]


def freshness(site: Site, name: str) -> m.Freshness:
    return site.hosts[name].node.dissemination.freshness


async def published(site: Site, name: str, value: bytes) -> bool:
    return isinstance(await site.hosts[name].publish((("k", value),)), m.Published)


def test_a_region_cut_off_goes_on_alone_and_the_side_with_most_voters_publishes() -> None:
    async def run(site: Site) -> None:
        assert await published(site, "c0", b"before")
        await site.all_have("k", b"before")
        smaller = frozenset({"c2", "p2", "p5"})
        larger = [name for name in site.hosts if name not in smaller]
        site.cut_off = smaller
        assert await published(site, "c1", b"during")
        failed = await site.hosts["c2"].publish((("k", b"lost"),))
        assert isinstance(failed, m.PublishFailed) and failed.error is m.PublishError.NO_MAJORITY
        await until(lambda: all(freshness(site, name) is m.Freshness.STALE for name in smaller), "stale")
        for name in smaller:
            assert site.hosts[name].node.dissemination.configuration["k"] == b"before"
        current = m.Freshness.CURRENT
        await until(lambda: all(freshness(site, name) is current for name in larger), "current")
        site.cut_off = frozenset()
        await site.all_have("k", b"during")
        await site.all_know(9)
        await until(lambda: all(freshness(site, name) is current for name in site.hosts), "all current")

    at_a_site(run)


def test_a_silent_zone_is_unreachable_and_not_a_heap_of_dead_members() -> None:
    async def run(site: Site) -> None:
        silent = frozenset({"c2", "p2", "p5", "p8", "p11"})  # all of z2
        site.cut_off = silent
        others = [name for name in site.hosts if name not in silent]
        await until(
            lambda: all(figure(site, name, "zones_unreachable") == 1 for name in others),
            "reported as unreachable",
        )
        await asyncio.sleep(1.0)
        deaths = {name: figure(site, name, "members.dead") for name in others}
        assert set(deaths.values()) == {0}, deaths
        site.cut_off = frozenset()
        await site.all_know(15)
        assert all(figure(site, name, "zones_unreachable") == 0 for name in site.hosts)

    at_a_site(run, proxies=12)


def test_a_fifth_of_all_datagrams_lost_delays_and_loses_nothing() -> None:
    async def run(site: Site) -> None:
        site.loss = 0.2
        for value in (b"1", b"2", b"3"):
            # Lost questions are asked again after 0.3, 0.6 and 1.2 s: a try fails now and then, operators
            # are notified and publish again.
            tries = 1
            while not await published(site, "c0", value):
                tries += 1
                assert tries <= 3
            await site.all_have("k", value)

    at_a_site(run, timing=replace(TIMING, publish_timeout=4.0))


def test_a_late_joiner_takes_a_snapshot_and_what_was_published_meanwhile() -> None:
    async def run(site: Site) -> None:
        await site.kill("p5")
        for number in range(150):
            assert isinstance(await site.hosts["c0"].publish(((f"k{number}", b"v" * 100),)), m.Published)
        await site.all_have("k149", b"v" * 100)  # one that lags has the whole log
        await site.start("p5")
        joiner = site.hosts["p5"]
        await until(lambda: freshness(site, "p5") is m.Freshness.BEHIND, "it knows that it is behind")
        assert await published(site, "c1", b"meanwhile")
        await site.all_have("k", b"meanwhile")
        assert dict(joiner.node.dissemination.configuration) == dict(
            site.hosts["c0"].node.dissemination.configuration
        )
        assert figure(site, "p5", "snapshot_transfers") == 1

    at_a_site(run)


def test_a_name_used_twice_is_counted_at_both() -> None:
    async def run(site: Site) -> None:
        await site.kill("p4")
        twin = create_host(replace(site.settings("p5"), advertise=site.addresses["p4"]))
        await twin.start(site.addresses["p4"])
        site.hosts["twin"] = twin
        await until(
            lambda: figure(site, "p5", "name_conflicts") > 0 and figure(site, "twin", "name_conflicts") > 0,
            "both know",
        )
        assert prefix_metric_names(twin.metrics())["gossip.name_conflicts"] > 0

    at_a_site(run)


def test_a_voter_whose_disk_was_lost_follows_and_votes_again() -> None:
    async def run(site: Site) -> None:
        assert await published(site, "c1", b"kept by c0 and c2")
        await site.all_have("k", b"kept by c0 and c2")
        await site.kill("c1")
        site.stores.pop("c1")
        await site.start("c1")
        await site.all_have("k", b"kept by c0 and c2")
        await site.kill("c2")
        assert await published(site, "c0", b"with the new c1")
        await site.all_have("k", b"with the new c1")

    at_a_site(run)
