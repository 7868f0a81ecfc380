"""Tests of network, process and disk faults on a loopback fleet; c0 to c2 are the voters, zones z0 to z2."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from saltcourse.app.gossip import create_host, prefix_metric_names
from saltcourse.gossip import messages as m
from tests.gossip.loopback_fleet import FAST_TIMING, LoopbackFleet, wait_until

TIMING = replace(FAST_TIMING, zone_silence=0.6, publish_timeout=1.0)


def run_with_fleet(test: Callable[[LoopbackFleet], Awaitable[None]], **options: object) -> None:
    async def run() -> None:
        fleet = LoopbackFleet(**({"timing": TIMING} | options))  # type: ignore[arg-type]
        try:
            await fleet.start()
            await fleet.wait_for_members(len(fleet.addresses))
            await test(fleet)
        finally:
            fleet.close()

    asyncio.run(run())


def metric(fleet: LoopbackFleet, name: str, key: str) -> int:
    return fleet.hosts[name].metrics()[key]


def freshness(fleet: LoopbackFleet, name: str) -> m.Freshness:
    return fleet.hosts[name].node.dissemination.freshness


async def published(fleet: LoopbackFleet, name: str, value: bytes) -> bool:
    return isinstance(await fleet.hosts[name].publish((("k", value),)), m.Published)


def test_partition_leaves_the_minority_stale_and_the_majority_publishing() -> None:
    async def run(fleet: LoopbackFleet) -> None:
        assert await published(fleet, "c0", b"before")
        await fleet.wait_for_value("k", b"before")
        minority = frozenset({"c2", "p2", "p5"})
        majority = [name for name in fleet.hosts if name not in minority]
        fleet.isolated = minority
        assert await published(fleet, "c1", b"during")
        failed = await fleet.hosts["c2"].publish((("k", b"lost"),))
        assert isinstance(failed, m.PublishFailed) and failed.error is m.PublishError.NO_MAJORITY
        await wait_until(
            lambda: all(freshness(fleet, name) is m.Freshness.STALE for name in minority), "stale"
        )
        for name in minority:
            assert fleet.hosts[name].node.dissemination.configuration["k"] == b"before"
        current = m.Freshness.CURRENT
        await wait_until(lambda: all(freshness(fleet, name) is current for name in majority), "current")
        fleet.isolated = frozenset()
        await fleet.wait_for_value("k", b"during")
        await fleet.wait_for_members(9)
        await wait_until(
            lambda: all(freshness(fleet, name) is current for name in fleet.hosts), "all current"
        )

    run_with_fleet(run)


def test_isolated_zone_is_reported_unreachable_and_its_members_not_dead() -> None:
    async def run(fleet: LoopbackFleet) -> None:
        silent = frozenset({"c2", "p2", "p5", "p8", "p11"})  # all members of z2
        fleet.isolated = silent
        others = [name for name in fleet.hosts if name not in silent]
        await wait_until(
            lambda: all(metric(fleet, name, "zones_unreachable") == 1 for name in others),
            "zone is reported as unreachable",
        )
        await asyncio.sleep(1.0)
        deaths = {name: metric(fleet, name, "members.dead") for name in others}
        assert set(deaths.values()) == {0}, deaths
        fleet.isolated = frozenset()
        await fleet.wait_for_members(15)
        assert all(metric(fleet, name, "zones_unreachable") == 0 for name in fleet.hosts)

    run_with_fleet(run, proxies=12)


def test_changes_are_published_despite_20_percent_loss() -> None:
    async def run(fleet: LoopbackFleet) -> None:
        fleet.loss = 0.2
        for value in (b"1", b"2", b"3"):
            # Lost requests are repeated after 0.3, 0.6 and 1.2 s, so an attempt may fail within the publish
            # timeout. The operator gets an error and publishes again.
            attempts = 1
            while not await published(fleet, "c0", value):
                attempts += 1
                assert attempts <= 3
            await fleet.wait_for_value("k", value)

    run_with_fleet(run, timing=replace(TIMING, publish_timeout=4.0))


def test_late_joiner_fetches_a_snapshot_and_later_changes() -> None:
    async def run(fleet: LoopbackFleet) -> None:
        await fleet.kill("p5")
        for number in range(150):
            assert isinstance(await fleet.hosts["c0"].publish(((f"k{number}", b"v" * 100),)), m.Published)
        # Wait for all members: one that lags could still serve the joiner without a snapshot.
        await fleet.wait_for_value("k149", b"v" * 100)
        await fleet.start("p5")
        joiner = fleet.hosts["p5"]
        await wait_until(lambda: freshness(fleet, "p5") is m.Freshness.BEHIND, "p5 is behind")
        assert await published(fleet, "c1", b"meanwhile")
        await fleet.wait_for_value("k", b"meanwhile")
        assert dict(joiner.node.dissemination.configuration) == dict(
            fleet.hosts["c0"].node.dissemination.configuration
        )
        assert metric(fleet, "p5", "snapshot_transfers") == 1

    run_with_fleet(run)


def test_duplicate_name_is_counted_at_both_members() -> None:
    async def run(fleet: LoopbackFleet) -> None:
        await fleet.kill("p4")
        duplicate = create_host(replace(fleet.settings("p5"), advertise=fleet.addresses["p4"]))
        await duplicate.start(fleet.addresses["p4"])
        fleet.hosts["duplicate"] = duplicate
        await wait_until(
            lambda: (
                metric(fleet, "p5", "name_conflicts") > 0 and metric(fleet, "duplicate", "name_conflicts") > 0
            ),
            "both count conflicts",
        )
        assert prefix_metric_names(duplicate.metrics())["gossip.name_conflicts"] > 0

    run_with_fleet(run)


def test_voter_votes_again_after_losing_its_disk() -> None:
    async def run(fleet: LoopbackFleet) -> None:
        assert await published(fleet, "c1", b"kept by c0 and c2")
        await fleet.wait_for_value("k", b"kept by c0 and c2")
        await fleet.kill("c1")
        fleet.stores.pop("c1")
        await fleet.start("c1")
        await fleet.wait_for_value("k", b"kept by c0 and c2")
        await fleet.kill("c2")
        assert await published(fleet, "c0", b"with the new c1")
        await fleet.wait_for_value("k", b"with the new c1")

    run_with_fleet(run)
