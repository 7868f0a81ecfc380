"""Tests of hosts on loopback sockets: publishing, connection sums, loss of the majority, departure."""

from __future__ import annotations

import asyncio

from saltcourse.app.gossip import prefix_metric_names
from saltcourse.gossip import messages as m
from tests.gossip.loopback_fleet import LoopbackFleet, wait_until


def test_change_reaches_all_members_and_publishing_survives_the_publisher() -> None:
    async def run() -> None:
        fleet = LoopbackFleet()
        try:
            await fleet.start()
            await fleet.wait_for_members(9)
            first = await fleet.hosts["c1"].publish((("greeting", b"one"), ("other", b"x")))
            assert isinstance(first, m.Published)
            await fleet.wait_for_value("greeting", b"one")
            positions = {name: fleet.position(name) for name in fleet.hosts}
            assert set(positions.values()) == {first.position}
            assert all(fleet.stores[name].saves for name in ("c0", "c1", "c2"))

            await fleet.kill("c1")
            second = await fleet.hosts["c2"].publish((("greeting", b"two"), ("other", None)))
            assert isinstance(second, m.Published) and second.position > first.position
            await fleet.wait_for_value("greeting", b"two")
            await fleet.wait_for_value("other", None)
            await fleet.wait_for_members(8)

            await fleet.start("c1")  # new process with the same name and state
            await fleet.wait_for_value("greeting", b"two")
            await fleet.wait_for_members(9)
            third = await fleet.hosts["c1"].publish((("greeting", b"three"),))
            assert isinstance(third, m.Published) and third.position > second.position
            await fleet.wait_for_value("greeting", b"three")
        finally:
            fleet.close()

    asyncio.run(run())


def test_connections_are_summed_by_zone_and_departures_are_known() -> None:
    async def run() -> None:
        fleet = LoopbackFleet()
        try:
            await fleet.start()
            await fleet.wait_for_members(9)
            for number in range(6):
                fleet.hosts[f"p{number}"].report_connections(10 ** (number // 3))

            def sums(name: str) -> dict[str, int]:
                host = fleet.hosts[name]
                return {z: s.connections for z, s in host.node.aggregation.sums(host.now()).items()}

            expected = {"z0": 11, "z1": 11, "z2": 11}
            await wait_until(
                lambda: all(sums(name) == expected for name in fleet.hosts), "sums at all members"
            )
            assert prefix_metric_names(fleet.hosts["c0"].metrics())["gossip.zone.z1.connections"] == 11
            fleet.hosts["p5"].leave()
            left = fleet.hosts.pop("p5")
            await wait_until(lambda: not left.is_open, "closed")
            left_id = m.member_id("p5")

            def knows_departure(name: str) -> bool:
                return fleet.hosts[name].node.membership.members[left_id].status is m.Status.LEFT

            await wait_until(lambda: all(knows_departure(name) for name in fleet.hosts), "departure is known")
        finally:
            fleet.close()

    asyncio.run(run())


def test_publishing_stops_without_a_majority_and_resumes_with_it() -> None:
    async def run() -> None:
        fleet = LoopbackFleet(proxies=1)
        try:
            await fleet.start()
            await fleet.wait_for_members(4)
            assert isinstance(await fleet.hosts["c0"].publish((("k", b"1"),)), m.Published)
            await fleet.kill("c1")
            await fleet.kill("c2")
            failed = await fleet.hosts["c0"].publish((("k", b"2"),))
            assert isinstance(failed, m.PublishFailed) and failed.error is m.PublishError.NO_MAJORITY
            stale = m.Freshness.STALE
            await wait_until(lambda: fleet.hosts["p0"].node.dissemination.freshness is stale, "p0 is stale")
            assert fleet.hosts["p0"].node.dissemination.configuration["k"] == b"1"
            await fleet.start("c2")
            await wait_until(
                lambda: fleet.hosts["p0"].node.dissemination.freshness is m.Freshness.CURRENT, "p0 is current"
            )
            assert isinstance(await fleet.hosts["c2"].publish((("k", b"3"),)), m.Published)
            await fleet.wait_for_value("k", b"3")
        finally:
            fleet.close()

    asyncio.run(run())


def test_only_voters_publish_and_a_departing_host_fails_pending_changes() -> None:
    async def run() -> None:
        fleet = LoopbackFleet(proxies=1)
        try:
            await fleet.start("p0", "c0")
            at_proxy = await fleet.hosts["p0"].publish((("k", b"v"),))
            assert isinstance(at_proxy, m.PublishFailed) and at_proxy.error is m.PublishError.NOT_CONTROL
            pending = asyncio.create_task(fleet.hosts["c0"].publish((("k", b"v"),)))
            await asyncio.sleep(0)
            fleet.hosts["c0"].leave()
            failed = await asyncio.wait_for(pending, 1.0)
            assert isinstance(failed, m.PublishFailed) and failed.error is m.PublishError.NO_MAJORITY
            rejected = await fleet.hosts["c0"].publish((("k", b"v"),))
            assert isinstance(rejected, m.PublishFailed)
        finally:
            fleet.close()

    asyncio.run(run())
