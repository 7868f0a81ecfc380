"""Gossip members on real sockets of loopback: nine hosts in this process, then some processes."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
from structlog.testing import capture_logs

from saltcourse.app.gossip import prefix_metric_names
from saltcourse.gossip import messages as m
from saltcourse.gossip.codec import Codec
from saltcourse.gossip.errors import StoreError
from saltcourse.gossip.event_log import LOG_INTERVAL_SECONDS, EventLog
from saltcourse.gossip.host import MAX_UNSENT_BYTES, Host
from saltcourse.gossip.node import Node
from tests.gossip.site import EXAMPLE, KEY, Processes, Site, call, figure, until, wait_for

# ---- nine hosts --------------------------------------------------------------------------------------


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
            assert prefix_metric_names(site.hosts["c0"].figures())["gossip.zone.z1.connections"] == 11
            site.hosts["p5"].leave()
            left = site.hosts.pop("p5")
            await until(lambda: not left.is_open, "closed")
            leaver = m.member_id("p5")

            def told(name: str) -> bool:
                return site.hosts[name].node.membership.members[leaver].status is m.Status.LEFT

            await until(lambda: all(told(name) for name in site.hosts), "told of the goodbye")
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
            await until(lambda: site.hosts["p0"].node.dissemination.freshness is stale, "told as stale")
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


def test_datagrams_of_strangers_are_counted_by_reason_and_change_nothing() -> None:
    async def run() -> None:
        site = Site(proxies=2)
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            await site.start()
            await site.all_know(5)
            before = site.hosts["p0"].node.figures(0.0)
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
                stranger.sendto(datagram, site.addresses["p0"])
            host = site.hosts["p0"]
            await until(lambda: sum(host.node.dropped[r] for r in sent) == 8, "eight dropped")
            assert {reason: host.node.dropped[reason] for reason in sent} == {
                reason: len(several) for reason, several in sent.items()
            }
            assert record.id not in host.node.membership.members
            assert host.node.dissemination.position == m.Position()
            after = prefix_metric_names(host.figures())
            assert after["gossip.dropped.authentication"] == 2
            assert after["gossip.datagrams.received"] >= 8
            assert after["gossip.bytes.received"] > before["bytes.received"]
            assert site.alive("p0") == 5
        finally:
            stranger.close()
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


# ---- the host alone ----------------------------------------------------------------------------------


class ScriptedNode:
    """Gives the actions that a test wants for the next event."""

    def __init__(self, *scripted: m.Action) -> None:
        self.scripted = list(scripted)
        self.deadline = float("inf")
        self.events: list[m.Event] = []

    def start(self, now: float) -> list[m.Action]:
        return []

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        self.events.append(event)
        actions, self.scripted = self.scripted, []
        return actions

    def next_deadline(self) -> float:
        return self.deadline


class FailingStore:
    def __init__(self) -> None:
        self.closed = False

    def save(self, state: m.ReplicaState) -> None:
        raise StoreError("disk full")

    def close(self) -> None:
        self.closed = True


def test_nothing_is_sent_after_a_state_that_could_not_be_kept() -> None:
    async def run() -> None:
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        receiver.bind(("127.0.0.1", 0))
        receiver.setblocking(False)
        address = receiver.getsockname()
        first, second = m.Transmit(address, b"before"), m.Transmit(address, b"after")
        node = ScriptedNode(first, m.Persist(m.ReplicaState()), second)
        store, failures = FailingStore(), list[StoreError]()
        host = Host(cast(Node, node), store, on_failure=failures.append)
        await host.start(("127.0.0.1", 0))
        with capture_logs() as logs:
            host.report_connections(1)
        loop = asyncio.get_running_loop()
        assert await asyncio.wait_for(loop.sock_recv(receiver, 100), 5.0) == b"before"
        assert str(failures[0]) == "disk full" and store.closed and not host.is_open
        assert any("gossip state could not be stored" in line["event"] for line in logs)
        host.report_connections(2)
        assert node.events == [m.ConnectionCount(1)]  # it has ended
        await asyncio.sleep(0.05)
        with pytest.raises(BlockingIOError):
            receiver.recv(100)
        receiver.close()

    asyncio.run(run())


def test_the_timer_follows_the_nodes_deadline_and_does_not_spin() -> None:
    async def run() -> None:
        node = ScriptedNode()
        now = [100.0]
        host = Host(cast(Node, node), clock=lambda: now[0])
        await host.start(("127.0.0.1", 0))
        await asyncio.sleep(0.02)
        assert node.events == []  # nothing is due ever
        node.deadline = 50.0  # long past, and it stays so: a node that makes no progress
        host.report_connections(1)
        await asyncio.sleep(0.1)
        ticks = sum(isinstance(event, m.Tick) for event in node.events)
        assert 1 <= ticks <= 110
        node.deadline = float("inf")
        await asyncio.sleep(0.02)
        ticks = len(node.events)
        await asyncio.sleep(0.05)
        assert len(node.events) == ticks
        host.close()

    asyncio.run(run())


def test_what_the_system_does_not_send_is_counted() -> None:
    async def run() -> None:
        node = ScriptedNode(m.Transmit(("::1", 9), b"an address of the other family"))
        host = Host(cast(Node, node))
        await host.start(("127.0.0.1", 0))
        host.report_connections(1)
        assert host.datagrams["errors"] == 1
        transport = host._transport
        assert transport is not None
        transport.get_write_buffer_size = lambda: MAX_UNSENT_BYTES + 1  # type: ignore[attr-defined]
        node.scripted = [m.Transmit(("127.0.0.1", 9), b"the socket takes no more")]
        host.report_connections(2)
        assert host.datagrams["unsent"] == 1
        host.close()

    asyncio.run(run())


def test_a_wave_of_events_is_a_few_lines() -> None:
    async def run() -> None:
        events = EventLog()
        with capture_logs() as logs:
            for number in range(100):
                for status in (m.Status.SUSPECT, m.Status.DEAD, m.Status.ALIVE):
                    events.record(m.MemberChanged(f"p{number}", "z", status))
                events.record(m.Applied(m.Position(1, number), ("a", f"k{number}")))
            events.record(m.ZoneReachability("z1", False))
            events.record(m.FreshnessChanged(m.Freshness.STALE))
            assert logs == []
            await asyncio.sleep(LOG_INTERVAL_SECONDS + 0.1)
        assert len(logs) == 4
        by_event = {line["event"]: line for line in logs}
        changed = by_event["gossip members changed"]
        assert changed["alive"] == 100 and changed["members"].endswith("and 92 more")
        applied = by_event["gossip configuration applied"]
        assert (applied["version"], applied["times"]) == (99, 100)
        assert by_event["gossip zones unreachable"]["log_level"] == "warning"

    asyncio.run(run())


# ---- processes ---------------------------------------------------------------------------------------


EVERYONE = ["c0", "c1", "c2", "m0", "p0", "p1"]


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    found = Processes(tmp_path, EVERYONE)
    yield found
    found.stop()


def values(found: Processes, name: str) -> dict[str, Any]:
    return dict(call(found.admin[name], "/_gossip/configuration").json["values"])


def test_a_fleet_of_processes(processes: Processes) -> None:
    fleet = processes
    for name in EVERYONE:
        fleet.start(name)
    for name in EVERYONE:
        wait_for(
            lambda n=name: set(fleet.statuses(n).values()) == {"alive"} and len(fleet.statuses(n)) == 6,
            f"{name} knows all",
        )
    for name in ("c0", "c1", "c2", "m0"):
        assert call(fleet.admin[name], "/_ready").status == 200
        assert call(fleet.admin[name], "/_lameduck/on", "PUT").status == 404
    members = call(fleet.admin["p0"], "/_gossip/members").json["members"]
    own = next(member for member in members if member["name"] == "p0")
    assert (own["role"], own["zone"], own["region"]) == ("proxy", "z0", "here")
    assert all(0 <= member["since_s"] < 60 for member in members)
    publishing_through_the_command(fleet)
    what_is_wrong_is_said(fleet)
    the_overlay(fleet)
    a_killed_control_member(fleet)
    a_process_that_stands_still(fleet)
    everyone_leaves(fleet)


def publishing_through_the_command(fleet: Processes) -> None:
    done = fleet.publish("c0", "site/note=h\u00e9llo", "proxy/limits.sockets=500")
    assert (done.returncode, done.stderr) == (0, "") and done.stdout.startswith("published: epoch ")
    for name in EVERYONE:
        wait_for(lambda n=name: values(fleet, n).get("site/note") == "h\u00e9llo", f"published to {name}")
    position = call(fleet.admin["p1"], "/_gossip/configuration").json
    assert f"version {position['version']}" in done.stdout and position["freshness"] == "current"


def what_is_wrong_is_said(fleet: Processes) -> None:
    admin, path = fleet.admin["c0"], "/_gossip/configuration"
    for body, status, said in [
        (b"no json", 400, b"not JSON"),
        (b"[]", 400, b"not an object"),
        (b"{}", 400, b"no key"),
        (b'{"k": 3}', 400, b"must be a text"),
        (b'{"": "v"}', 400, b"a key has 1 to 128 bytes"),
        (b'{"k": "' + b"v" * 1_000 + b'"}', 413, b"over 1000 bytes"),
        (b'{"k": "' + b"v" * 9_000 + b'"}', 413, b"too large"),
    ]:
        reply = call(admin, path, "PUT", body)
        assert reply.status == status and said in reply.body
    for name in ("p0", "m0"):
        refused = call(fleet.admin[name], path, "PUT", b'{"k": "v"}')
        assert refused.status == 404 and b"no control member that votes" in refused.body
    assert call(admin, path, "POST", b"").status == 405
    at_proxy = fleet.publish("p0", "k=v")
    assert at_proxy.returncode == 1 and "404" in at_proxy.stderr
    nobody = fleet.publish("c0", "k=" + "v" * 1_200)
    assert nobody.returncode == 1 and "413" in nobody.stderr


def the_overlay(fleet: Processes) -> None:
    """Keys of the fleet's configuration stand over the proxy's file, and a bad value changes nothing."""
    wait_for(lambda: "sockets=500" in fleet.log("p0"), "taken over")
    assert fleet.publish("c1", "proxy/discovery=127.0.0.1:19").returncode == 0
    wait_for(lambda: "discovery=127.0.0.1:19" in fleet.log("p0"), "taken over")
    assert figure(fleet.admin["p0"], "rejected_version") == 0
    assert fleet.publish("c1", "proxy/discovery=nowhere", "proxy/limits.sockets=600").returncode == 0
    wait_for(lambda: "sockets=600" in fleet.log("p0"), "the good one of the two")
    version = call(fleet.admin["p0"], "/_gossip/configuration").json["version"]
    assert figure(fleet.admin["p0"], "rejected_version") == version
    assert figure(fleet.admin["p0"], "rejections") == 1
    log = fleet.log("p0")
    assert "value rejected" in log and "key=proxy/discovery" in log
    assert "discovery=127.0.0.1:19 sockets=600" in log
    deleted = fleet.publish("c1", "--delete", "proxy/discovery", "--delete", "proxy/limits.sockets")
    assert deleted.returncode == 0
    sockets = json.loads(EXAMPLE.read_text())["limits"]["sockets"]
    own = f"discovery=127.0.0.1:9 sockets={sockets}"
    wait_for(lambda: fleet.log("p0").rfind(own) > fleet.log("p0").rfind("sockets=600"), "back to the file")
    assert figure(fleet.admin["p0"], "rejected_version") == 0


def a_killed_control_member(fleet: Processes) -> None:
    version = call(fleet.admin["c1"], "/_gossip/configuration").json["version"]
    fleet.end("c1", signal.SIGKILL)
    assert fleet.publish("c2", "after=kill").returncode == 0
    wait_for(lambda: values(fleet, "p1").get("after") == "kill", "published without c1")
    wait_for(lambda: fleet.statuses("p0")["c1"] == "dead", "found dead")
    fleet.start("c1")
    wait_for(lambda: fleet.statuses("p0")["c1"] == "alive", "back")
    wait_for(lambda: values(fleet, "c1").get("after") == "kill", "caught up")
    assert call(fleet.admin["c1"], "/_gossip/configuration").json["version"] > version


def a_process_that_stands_still(fleet: Processes) -> None:
    fleet.running["p1"].send_signal(signal.SIGSTOP)
    wait_for(lambda: fleet.statuses("c0")["p1"] == "dead", "found dead")
    fleet.running["p1"].send_signal(signal.SIGCONT)
    wait_for(lambda: set(fleet.statuses("c0").values()) == {"alive"}, "back")
    wait_for(lambda: set(fleet.statuses("p1").values()) == {"alive"}, "the others are alive for it")


def everyone_leaves(fleet: Processes) -> None:
    assert fleet.end("p1") == 0
    wait_for(lambda: fleet.statuses("c0")["p1"] == "left", "its goodbye came")
    assert fleet.end("c1", signal.SIGINT) == 0
    assert fleet.end("c2") == 0
    lone = fleet.publish("c0", "k=v")
    assert lone.returncode == 1 and "503" in lone.stderr and "may still be committed" in lone.stderr
    wait_for(lambda: call(fleet.admin["c0"], "/_ready").status == 503, "no majority known")
    wait_for(lambda: figure(fleet.admin["p0"], "freshness") == m.Freshness.STALE, "stale")
    assert fleet.end("c0") == 0 and fleet.end("p0", signal.SIGINT) == 0
    assert fleet.end("m0") == 0
    for name in EVERYONE:
        assert "Traceback" not in fleet.log(name)
    gone = fleet.publish("c0", "k=v")
    assert gone.returncode == 1 and "not published" in gone.stderr
