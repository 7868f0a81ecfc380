"""Election hosts, BGP sessions and announcer programs on loopback sockets.

The tests check the route server's record for order and outcome only. Timing is checked in the simulation and
in benchmarks.
"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from saltcourse.address_failover.authentication import DatagramAuthenticator, DropReason
from saltcourse.address_failover.bgp_announcer import BgpAnnouncer
from saltcourse.address_failover.bgp_session import Peering
from saltcourse.address_failover.command_announcer import CommandAnnouncer
from saltcourse.address_failover.host import ElectionHost
from saltcourse.address_failover.timing import ElectionTiming
from saltcourse.address_failover.vote_store import VoteStore
from saltcourse.address_failover.voters import ElectionConfig, Voter
from saltcourse.emulator.route_server import RouteServer

ADDRESS = "192.0.2.7"
VOTERS = (Voter("n0", 2), Voter("n1", 1), Voter("w", witness=True))
KEY = b"k" * 32
WAIT_TIMEOUT_SECONDS = 20.0  # the conditions take about 1 s; the rest is for slow machines


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


class Site:
    """Three members, of which n0 and n1 can hold the address, and two route servers, all on loopback."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in VOTERS]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        self.addresses = {s.name: sock.getsockname() for s, sock in zip(VOTERS, socks, strict=True)}
        for sock in socks:
            sock.close()
        self.servers = [RouteServer(64512), RouteServer(64512)]
        self.members: dict[str, ElectionHost] = {}
        self.incarnation = 1

    async def start(self, route_servers_by_member: dict[str, list[int]]) -> None:
        """Start all members; each announces to the route servers with the given indexes."""
        for server in self.servers:
            await server.start()
        for name in ("n0", "w", "n1"):  # n0 becomes the holder before n1 starts
            await self.start_member(name, route_servers_by_member.get(name, []))
            if name == "w":
                await wait_until(lambda: self.members["n0"].is_holder)

    async def start_member(self, name: str, server_indexes: list[int]) -> None:
        self.incarnation += 1
        announcer = None
        if server_indexes:
            peering = Peering(64512, 64512, f"10.0.0.{name[-1]}")
            route_servers = [("127.0.0.1", self.servers[i].port) for i in server_indexes]
            announcer = BgpAnnouncer(ADDRESS, f"10.0.0.{name[-1]}", peering, route_servers, self.incarnation)
        others = {n: p for n, p in self.addresses.items() if n != name}
        member = ElectionHost(
            ElectionConfig(VOTERS, name, ElectionTiming()),
            DatagramAuthenticator(name, self.incarnation, [KEY], others),
            self.incarnation,
            announcer,
            VoteStore(self.folder / name, name),
        )
        await member.start(self.addresses[name])
        self.members[name] = member

    def next_hop(self, server: int = 0) -> str:
        """Return the next hop of the best route at a route server, or an empty string."""
        best = self.servers[server].best(ADDRESS)
        return str(best.next_hop) if best else ""

    def kill(self, name: str) -> None:
        """Simulate kill -9: all sockets are closed and nothing more is sent."""
        member = self.members[name]
        member.close()
        assert isinstance(member.announcer, BgpAnnouncer)
        for connection in member.announcer.connections:
            if connection._writer is not None:
                connection._writer.transport.abort()
            connection.close()
            connection.execute([])

    async def stop(self) -> None:
        for member in self.members.values():
            await member.leave()
        for server in self.servers:
            server.crash()


def run_scenario(
    folder: Path, route_servers_by_member: dict[str, list[int]], scenario: Callable[[Site], Awaitable[None]]
) -> None:
    """Start a site, wait until n0 is the holder and its route is announced, and run the scenario."""

    async def run() -> None:
        site = Site(folder)
        await site.start(route_servers_by_member)
        try:
            await wait_until(
                lambda: site.members["n0"].is_holder and "10.0.0.0" in (site.next_hop(0), site.next_hop(1))
            )
            await scenario(site)
        finally:
            await site.stop()

    asyncio.run(run())


BOTH = {"n0": [0, 1], "n1": [0, 1]}  # each member announces to both route servers


def test_a_killed_holder_is_replaced_and_does_not_depose_its_successor_when_it_returns(
    tmp_path: Path,
) -> None:
    # The holder's process is killed without withdrawing. The other member takes over after the lease has
    # expired. The first member, which has the higher priority, does not take the lease back when it returns.
    async def scenario(site: Site) -> None:
        site.kill("n0")
        await wait_until(lambda: site.next_hop(0) == site.next_hop(1) == "10.0.0.1")
        await site.start_member("n0", [0, 1])
        await asyncio.sleep(1.5)
        assert (
            site.members["n1"].is_holder
            and not site.members["n0"].is_holder
            and site.next_hop() == "10.0.0.1"
        )

    run_scenario(tmp_path, BOTH, scenario)


def test_a_planned_leave_withdraws_before_the_successor_announces(tmp_path: Path) -> None:
    # The holder leaves right after its start, when its successor may not know its term yet. The new route
    # must still have a higher preference.
    async def scenario(site: Site) -> None:
        await site.members["n0"].leave()
        await wait_until(lambda: site.next_hop() == "10.0.0.1")
        order = [(change.peer, change.route is not None) for change in site.servers[0].record]
        assert order[:3] == [("10.0.0.0", True), ("10.0.0.0", False), ("10.0.0.1", True)]
        first, second = (
            change.route.local_pref for change in site.servers[0].record if change.route is not None
        )
        assert first is not None and second is not None and second > first

    run_scenario(tmp_path, BOTH, scenario)


def test_a_holder_that_receives_nothing_withdraws_before_another_announces(tmp_path: Path) -> None:
    # The holder's UDP socket fails while its BGP sessions stay up: it must withdraw because its lease
    # expires.
    async def scenario(site: Site) -> None:
        transport = site.members["n0"]._socket
        assert transport is not None
        transport.close()
        await wait_until(lambda: site.next_hop() == "10.0.0.1")
        order = [(change.peer, change.route is not None) for change in site.servers[0].record]
        assert order == [("10.0.0.0", True), ("10.0.0.0", False), ("10.0.0.1", True)]

    run_scenario(tmp_path, BOTH, scenario)


@pytest.mark.parametrize("failure", ["crashes", "hangs"])
def test_a_holder_without_a_route_server_transfers_its_lease(failure: str, tmp_path: Path) -> None:
    # The holder's only route server crashes, or hangs with the session open. The other member uses another
    # route server.
    async def scenario(site: Site) -> None:
        if failure == "crashes":
            site.servers[0].crash()
        else:
            site.servers[0].hangs = True
        await wait_until(lambda: site.next_hop(1) == "10.0.0.1")
        assert not site.members["n0"].is_holder
        site.servers[0].hangs = False

    run_scenario(tmp_path, {"n0": [0], "n1": [1]}, scenario)


def test_members_learn_the_incarnation_of_a_restarted_member_by_hellos(tmp_path: Path) -> None:
    # Without Hellos, the witness would not know the incarnation of a member that has restarted, because
    # followers send it nothing. The next transfer of the lease would lose its first vote request and take 60
    # ms longer.
    async def scenario(site: Site) -> None:
        site.kill("n1")
        await asyncio.sleep(0.05)  # the event loop frees the port in its next iteration
        await site.start_member("n1", [0, 1])
        member, witness = site.members["n1"].authenticator, site.members["w"].authenticator
        await wait_until(
            lambda: (
                member.peers["w"].incarnation == witness.incarnation
                and witness.peers["n1"].incarnation == member.incarnation
            )
        )

    run_scenario(tmp_path, BOTH, scenario)


def test_junk_datagrams_are_counted_and_do_not_affect_the_lease(tmp_path: Path) -> None:
    # The holder's port is flooded with random bytes, half of them after a valid magic number.
    async def scenario(site: Site) -> None:
        draw = random.Random(4)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for i in range(2000):
                junk = draw.randbytes(draw.randrange(600)) if i % 2 else b"SC\x01" + draw.randbytes(90)
                sock.sendto(junk, site.addresses["n0"])
                if i % 100 == 0:
                    await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        dropped = site.members["n0"].authenticator.dropped
        assert dropped[DropReason.MALFORMED] > 500 and dropped[DropReason.UNKNOWN_KEY] > 500
        assert site.members["n0"].is_holder and len(site.servers[0].record) == 1

    run_scenario(tmp_path, BOTH, scenario)


def test_a_vote_that_cannot_be_stored_is_not_sent(tmp_path: Path) -> None:
    # The witness's disk fails before the holder leaves. A vote that is sent but not stored could be given
    # twice, so the witness stops, and the remaining member has no majority.
    async def scenario(site: Site) -> None:
        witness = site.members["w"]
        assert witness.vote_store is not None
        witness.vote_store.close()
        await site.members["n0"].leave()
        await wait_until(lambda: witness._socket is not None and witness._socket.is_closing())
        assert not site.members["n1"].is_holder

    run_scenario(tmp_path, BOTH, scenario)


PROGRAM = """
import sys, time
open({log!r}, "a").write(" ".join(sys.argv[1:]) + "\\n")
mode = open({mode!r}).read()
time.sleep(30 if mode == "hang" else 0)
sys.exit(mode == "fail")
"""


@pytest.mark.parametrize("mode", ["fail", "hang"])
def test_a_program_that_fails_or_hangs_makes_the_member_unavailable_for_the_backoff_time(
    mode: str, tmp_path: Path
) -> None:
    # The operator's program fails to announce, or hangs and is killed. The member must report that
    # it is unavailable until the backoff has passed, and must still withdraw the address, which the program
    # may have announced.
    log, mode_file = tmp_path / "log", tmp_path / "mode"
    (tmp_path / "program.py").write_text(PROGRAM.format(log=str(log), mode=str(mode_file)))

    async def run() -> None:
        mode_file.write_text("work")
        reports: list[bool] = []
        announcer = CommandAnnouncer(ADDRESS, [sys.executable, str(tmp_path / "program.py")], timeout=2.0)
        announcer.start(reports.append)
        announcer.announce(65)
        await announcer._queue.join()
        assert reports == [True]
        mode_file.write_text(mode)
        announcer.announce(129)
        await wait_until(lambda: reports == [True, False])
        mode_file.write_text("work")
        announcer.withdraw(129)
        await wait_until(lambda: reports == [True, False, True])
        await announcer.stop("done")
        assert log.read_text().splitlines() == [
            f"announce {ADDRESS} 65",
            f"announce {ADDRESS} 129",
            f"withdraw {ADDRESS} 129",
        ]

    asyncio.run(run())
